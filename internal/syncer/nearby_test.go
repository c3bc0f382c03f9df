package syncer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// reader is a fake member that returns records of some age.
type reader struct {
	peerv1.FleetQueries
	ageMs, calls atomic.Uint32
	isDown       atomic.Bool
}

func (r *reader) Records(context.Context, *peerv1.RecordsRequest) (*peerv1.RecordsResponse, error) {
	r.calls.Add(1)
	age := r.ageMs.Load()
	return &peerv1.RecordsResponse{NextOffset: 7, AgeMs: age, KnownAgeMs: &age}, nil
}

func (r *reader) member(t *testing.T, name string) *peerv1.Member {
	handler := peerv1.NewFleetQueriesServer(r)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.isDown.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, q)
	}))
	t.Cleanup(s.Close)
	return &peerv1.Member{Instance: name, DataCentre: "dc", PeerAddress: strings.TrimPrefix(s.URL, "http://"), KnowsAccounts: true}
}

// TestSecondReaderServesWhileTheFirstCannot guards against a data centre whose instances all
// read the log directly because their reader cannot: each of these calls has a cost.
func TestSecondReaderServesWhileTheFirstCannot(t *testing.T) {
	var first, second reader
	members := []*peerv1.Member{second.member(t, "b"), first.member(t, "a"), {Instance: "c", DataCentre: "dc"}}
	newRead := func(self *peerv1.Member) func() bool {
		c := &Client{Self: self, HTTP: NewHTTPClient(), Log: zap.NewNop(), members: members, viewAt: time.Now().Add(time.Hour), readerTimeout: time.Hour}
		read := c.NearbyReader("t", time.Second)
		return func() bool { _, ok := read(t.Context(), sequencer.Position{Offset: 7}); return ok }
	}
	read := newRead(members[2])
	require.True(t, read())
	require.Zero(t, second.calls.Load())
	first.ageMs.Store(5000)
	for range 5 {
		require.True(t, read())
	}
	require.EqualValues(t, 5, second.calls.Load())
	require.False(t, newRead(members[0])(), "the second one reads the log itself")
	second.ageMs.Store(5000)
	require.False(t, read(), "no reader can be used")
	first.ageMs.Store(0)
	first.isDown.Store(true)
	before := second.calls.Load()
	require.False(t, newRead(members[2])(), "after a failed call the log is read directly")
	require.Equal(t, before, second.calls.Load())
}

// TestNewestIsAskedOfOneReaderOfEachDataCentre guards against an instance that cannot learn how
// old its knowledge is because its own data centre cannot read the log either.
func TestNewestIsAskedOfOneReaderOfEachDataCentre(t *testing.T) {
	var near, far, other reader
	near.ageMs.Store(9000)
	far.ageMs.Store(300)
	remote := far.member(t, "m")
	remote.DataCentre = "dc-2"
	last := other.member(t, "n")
	last.DataCentre = "dc-2"
	members := []*peerv1.Member{near.member(t, "a"), {Instance: "b", DataCentre: "dc"}, last, remote}
	c := &Client{Self: members[1], HTTP: NewHTTPClient(), Log: zap.NewNop(), Lease: &leaser.Lease{}, members: members, viewAt: time.Now().Add(time.Hour)}
	ages := make(chan time.Duration, 4)
	c.RequestNewest(t.Context(), "t", sequencer.Position{Offset: 7}, func(b follower.Batch, _ time.Duration) {
		require.True(t, b.IsCurrent)
		ages <- b.KnownAge
	}, func() bool { return false })
	close(ages)
	var got []time.Duration
	for a := range ages {
		got = append(got, a)
	}
	require.ElementsMatch(t, []time.Duration{9 * time.Second, 300 * time.Millisecond}, got)
	require.Zero(t, other.calls.Load())
}
