package watcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
)

const (
	live    = platformv1.InstanceState_INSTANCE_STATE_LIVE
	leaving = platformv1.InstanceState_INSTANCE_STATE_LEAVING
	gone    = platformv1.InstanceState_INSTANCE_STATE_GONE
)

// bench drives a watcher in virtual time.
type bench struct {
	*Watcher
	at time.Time
}

func newBench() *bench {
	b := &bench{at: time.Unix(1000, 0)}
	b.Watcher = &Watcher{Self: Member{Name: "self", Incarnation: "s1"}, Now: func() time.Time { return b.at }}
	return b
}

func (b *bench) list(state platformv1.InstanceState, incarnation string) {
	b.takeList([]*platformv1.Instance{{
		Name: "peer", Address: "a", State: state, Incarnation: incarnation, Role: platformv1.InstanceRole_INSTANCE_ROLE_ENTRY,
	}})
}

func (b *bench) answer(incarnation string, leaves bool) {
	b.applyStatus("peer", &peerv1.StatusResponse{Instance: "peer", Incarnation: incarnation, Leaving: leaves}, nil)
}

func (b *bench) silence(d time.Duration) {
	b.at = b.at.Add(d)
	b.applyStatus("peer", nil, errors.New("no answer"))
}

// want is what a watcher must think of the peer.
type want struct {
	known, usable, alive bool
	incarnation          string
	gone                 string
}

func TestMembership(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(*bench)
		want want
	}{
		{"listed, never heard", func(b *bench) { b.list(live, "") }, want{known: true}},
		{"heard", func(b *bench) { b.list(live, ""); b.answer("p1", false) }, want{true, true, true, "p1", ""}},
		{"one answer lost", func(b *bench) {
			b.list(live, "")
			b.answer("p1", false)
			b.silence(DefaultLostAfter / 2)
		}, want{true, true, true, "p1", ""}},
		{"lost", func(b *bench) {
			b.list(live, "")
			b.answer("p1", false)
			b.silence(2 * DefaultLostAfter)
		}, want{true, false, false, "p1", ""}},
		{"cut in one direction: it asks but its answers do not come", func(b *bench) {
			b.list(live, "")
			b.answer("p1", false)
			b.silence(2 * DefaultLostAfter)
			b.Asked("peer", "p1")
		}, want{true, false, true, "p1", ""}},
		{"an older run's question is no sign of life", func(b *bench) {
			b.list(live, "")
			b.answer("p2", false)
			b.silence(2 * DefaultLostAfter)
			b.Asked("peer", "p1")
		}, want{true, false, false, "p2", ""}},
		{"the list says leaving, the peer does not know", func(b *bench) {
			b.list(live, "p1")
			b.answer("p1", false)
			b.list(leaving, "p1")
			b.answer("p1", false)
		}, want{true, false, true, "p1", ""}},
		{"the peer says leaving, the list lags", func(b *bench) {
			b.list(live, "p1")
			b.answer("p1", true)
			b.list(live, "p1")
		}, want{true, false, true, "p1", ""}},
		{"a new run where the list still says leaving", func(b *bench) {
			b.list(live, "p1")
			b.answer("p1", false)
			b.list(leaving, "p1")
			b.answer("p2", false)
			b.list(leaving, "p1")
		}, want{true, true, true, "p2", ""}},
		{"gone", func(b *bench) {
			b.list(live, "p1")
			b.answer("p1", false)
			b.list(gone, "p1")
		}, want{gone: "p1"}},
		{"the old run is gone, the new one is heard", func(b *bench) {
			b.list(live, "p1")
			b.answer("p2", false)
			b.list(gone, "p1")
		}, want{true, true, true, "p2", "p1"}},
		{"two names at one address", func(b *bench) {
			b.list(live, "")
			b.applyStatus("peer", &peerv1.StatusResponse{Instance: "other", Incarnation: "o1"}, nil)
		}, want{known: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench()
			tc.do(b)
			m, ok := b.Member("peer")
			got := want{ok, ok && m.IsUsable(), m.Alive, m.Incarnation, ""}
			if tc.want.gone != "" && b.IsGone(tc.want.gone) {
				got.gone = tc.want.gone
			}
			require.Equal(t, tc.want, got)
		})
	}
}

type hangingList struct{}

func (hangingList) List(ctx context.Context, _ *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A list that hangs must not make the peers look lost.
func TestListHangs(t *testing.T) {
	srv := httptest.NewServer(peerv1.NewPeerQueriesServer(answering{}))
	defer srv.Close()
	b := newBench()
	b.HTTP = http.DefaultClient
	b.List = hangingList{}
	b.takeList([]*platformv1.Instance{{
		Name: "peer", Address: strings.TrimPrefix(srv.URL, "http://"), State: live, Role: platformv1.InstanceRole_INSTANCE_ROLE_ENTRY,
	}})
	for range 3 {
		b.round(context.Background(), 100*time.Millisecond)
		b.at = b.at.Add(2 * DefaultLostAfter)
	}
	m, _ := b.Member("peer")
	require.True(t, m.IsUsable())
}

type answering struct{ peerv1.PeerQueries }

func (answering) Status(context.Context, *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	return &peerv1.StatusResponse{Instance: "peer", Incarnation: "p1"}, nil
}
