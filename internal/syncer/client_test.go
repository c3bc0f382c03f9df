package syncer

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// While no conductor responds, the last view does not show which members are alive.
func TestMembersWithoutConductorAreThoseThatRespond(t *testing.T) {
	now := time.Now()
	c := &Client{Self: &peerv1.Member{Instance: "a"}}
	for _, name := range []string{"a", "b", "c"} {
		c.members = append(c.members, &peerv1.Member{Instance: name})
	}
	c.viewAt = now
	require.Len(t, c.Members(), 3)
	c.viewAt = now.Add(-conductorTTL)
	c.respondedAt = map[string]time.Time{"b": now, "c": now.Add(-memberTTL)}
	var names []string
	for _, m := range c.Members() {
		names = append(names, m.GetInstance())
	}
	require.Equal(t, []string{"a", "b"}, names, "this instance, and the member that responds to it")
}

// TestAllMembersShareUntilTheyHaveBeenProbed guards against instances that each take the whole of what an upstream
// takes from all, for the moment after the loss of the conductor in which none has responded to a probe.
func TestAllMembersShareUntilTheyHaveBeenProbed(t *testing.T) {
	now := time.Now()
	c := &Client{Self: &peerv1.Member{Instance: "a"}, members: []*peerv1.Member{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}}
	c.viewAt = now.Add(-conductorTTL)
	require.Len(t, c.Members(), 1)
	require.Len(t, c.Sharers(), 3)
	c.respondedAt = map[string]time.Time{"b": now}
	c.viewAt = now.Add(-conductorTTL - firstProbeTime)
	require.Len(t, c.Sharers(), 2)
}

// The load: a conductor is lost in a fleet of hundreds of instances, and each of them
// looks for live members and for the next conductor.
func TestProbesAreBounded(t *testing.T) {
	self := &peerv1.Member{Instance: "edge-a-03", DataCentre: "a"}
	var members []*peerv1.Member
	for _, dc := range []string{"b", "a"} {
		for n := range 100 {
			members = append(members, &peerv1.Member{Instance: fmt.Sprintf("edge-%s-%02d", dc, n), DataCentre: dc})
		}
	}
	names := func(list []*peerv1.Member) (out []string) {
		for _, m := range list {
			out = append(out, m.GetInstance())
		}
		return out
	}
	perm := rand.New(rand.NewPCG(1, 0)).Perm
	seen := make(map[string]bool)
	for range 200 {
		probed := names(membersToProbe(members, self, perm))
		require.Len(t, probed, maxReadersProbed+maxOthersProbed)
		require.Equal(t, []string{"edge-a-00", "edge-a-01", "edge-a-02"}, probed[:maxReadersProbed], "those that may read the log for it")
		require.NotContains(t, probed, self.GetInstance())
		for _, name := range probed {
			seen[name] = true
		}
	}
	require.Len(t, seen, 199, "every other member is probed after some rounds")
	require.Len(t, membersToProbe(members[:6], self, perm), 6, "all of a small fleet")
}

// An instance that is not the conductor passes on the newest claim that it knows.
// newClientOf returns a client whose only member is served by s.
func newClientOf(t *testing.T, s *Server) *Client {
	mux := http.NewServeMux()
	queries := peerv1.NewFleetQueriesServer(s)
	mux.Handle(queries.PathPrefix(), queries)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c := &Client{Self: &peerv1.Member{Instance: "b"}, HTTP: server.Client(), Lease: &leaser.Lease{Log: zap.NewNop()}, Losses: &losstracker.Tracker{}, Log: zap.NewNop(), IsStopping: func() bool { return false }, Links: &linkwatcher.Watcher{}}
	c.members = []*peerv1.Member{{Instance: "a", PeerAddress: strings.TrimPrefix(server.URL, "http://")}}
	return c
}

func (c *Client) probeOnce(t *testing.T) {
	var wg sync.WaitGroup
	c.probePeers(t.Context(), &wg, callTimeout)
	wg.Wait()
}

func TestClaimsSpreadThroughProbes(t *testing.T) {
	s, holder := newServer()
	*holder = false
	s.NewestClaim = func() leaser.Claim {
		return leaser.Claim{Position: sequencer.Position{Era: 2, Offset: 5}, Holder: "x", Incarnation: "x1", Address: "192.0.2.1:1"}
	}
	c := newClientOf(t, s)
	c.probeOnce(t)
	require.Equal(t, s.NewestClaim(), c.Lease.Newest())
	require.Len(t, c.Members(), 1, "it responds")
}

// TestLossesSpreadThroughProbes guards against losses that nobody is told while there is
// no conductor.
func TestLossesSpreadThroughProbes(t *testing.T) {
	s, holder := newServer()
	*holder = false
	lost := losstracker.Loss{Fingerprint: 7, Incarnation: registrar.Incarnation{ID: "e1", StartedAtMs: 1}}
	s.Losses.MergeReport([]losstracker.Loss{lost}, time.Now())
	c := newClientOf(t, s)
	c.probeOnce(t)
	require.Equal(t, []losstracker.Loss{lost}, c.Losses.Recent(time.Now()))
}
