package syncer

import (
	"fmt"
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
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// newPeer returns the client of an instance that serves other instances and is not the conductor.
func newPeer(t *testing.T, name string, seeds ...string) *Client {
	s, holder := newServer()
	*holder = false
	s.Neighbours = &Neighbours{}
	mux := http.NewServeMux()
	queries, commands := peerv1.NewFleetQueriesServer(s), peerv1.NewFleetCommandsServer(s)
	mux.Handle(queries.PathPrefix(), queries)
	mux.Handle(commands.PathPrefix(), commands)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s.Self = &peerv1.Member{Instance: name, Incarnation: name + "1", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	return &Client{
		Self: s.Self, HTTP: server.Client(), Server: s, Neighbours: s.Neighbours, Losses: s.Losses, Seeds: seeds, Lease: &leaser.Lease{Log: zap.NewNop()},
		Log: zap.NewNop(), IsStopping: func() bool { return false }, Links: &linkwatcher.Watcher{},
	}
}

// TestInstancesWithoutMembersExchangeLosses guards against instances that count losses each for itself
// because they have started without a conductor and know nothing but the addresses of seeds.
func TestInstancesWithoutMembersExchangeLosses(t *testing.T) {
	a := newPeer(t, "a")
	b, c := newPeer(t, "b", a.Self.GetPeerAddress()), newPeer(t, "c", a.Self.GetPeerAddress())
	b.probeOnce(t)
	c.probeOnce(t) // learns of b from the seed
	lost := losstracker.Loss{Fingerprint: 7, Incarnation: registrar.Incarnation{ID: "e1", StartedAtMs: 1}}
	c.Losses.Begin(lost.Incarnation, lost.Fingerprint).End(losstracker.Broken, time.Now())
	c.probeOnce(t)
	for _, x := range []*Client{a, b, c} {
		require.Equal(t, []losstracker.Loss{lost}, x.Losses.Recent(time.Now()), x.Self.GetInstance())
	}
	require.Equal(t, []losstracker.Loss{lost}, a.Losses.Unreported("conductor", time.Now()))
}

// TestLossFromAnInstanceWithoutConductorIsReported guards against losses that the conductor does not
// get, because only an instance that does not reach it has observed them.
func TestLossFromAnInstanceWithoutConductorIsReported(t *testing.T) {
	a := newPeer(t, "a")
	b := newPeer(t, "b", a.Self.GetPeerAddress())
	require.Empty(t, a.Losses.Unreported("conductor", time.Now()), "the conductor is known before")
	var lost []losstracker.Loss
	for n := range int64(2) {
		require.Empty(t, a.Losses.Unreported("conductor", time.Now()), "hardly any single loss matters, and its instance reports it later")
		l := losstracker.Loss{Fingerprint: 7, Incarnation: registrar.Incarnation{ID: "e1", StartedAtMs: 1 + n}}
		b.Losses.Begin(l.Incarnation, l.Fingerprint).End(losstracker.Broken, time.Now())
		b.probeOnce(t)
		lost = append(lost, l)
	}
	require.ElementsMatch(t, lost, a.Losses.Unreported("conductor", time.Now()))
}

// TestLossesReachMembersBeforeAView guards against instances that each let a request crash upstreams
// until the conductor has told them of the losses of the others.
func TestLossesReachMembersBeforeAView(t *testing.T) {
	a, b, conductor := newPeer(t, "a"), newPeer(t, "b"), newPeer(t, "conductor")
	b.members = []*peerv1.Member{a.Self, b.Self, conductor.Self}
	b.Lease.Observe(leaser.Claim{Holder: "conductor", Incarnation: "conductor1", Address: conductor.Self.GetPeerAddress()})
	lost := losstracker.Loss{Fingerprint: 7, Incarnation: registrar.Incarnation{ID: "e1", StartedAtMs: 1}}
	b.Losses.Begin(lost.Incarnation, lost.Fingerprint).End(losstracker.Broken, time.Now())
	var wg sync.WaitGroup
	require.Equal(t, 1, b.sendLosses(t.Context(), b.membersForLosses(), &wg, callTimeout))
	wg.Wait()
	require.Equal(t, []losstracker.Loss{lost}, a.Losses.Recent(time.Now()))
	require.Empty(t, conductor.Losses.Recent(time.Now()), "it gets a report, with the demand")
	require.Empty(t, b.Losses.New(maxLossesSent, time.Now().Add(time.Minute)), "it is sent once it is new")
}

// TestHolderOfAnOlderClaimIsProbed guards against instances that do not find each other although they
// have all read where the last conductor was.
func TestHolderOfAnOlderClaimIsProbed(t *testing.T) {
	c := newPeer(t, "c", "192.0.2.1:1")
	c.Lease.Observe(leaser.Claim{Holder: "x", Incarnation: "x1", Address: "192.0.2.2:1"})
	c.Lease.ObserveEra(5)
	var addresses []string
	for _, m := range c.peersToProbe(time.Now()) {
		addresses = append(addresses, m.GetPeerAddress())
	}
	require.Equal(t, []string{"192.0.2.1:1", "192.0.2.2:1"}, addresses)
}

// The load: hundreds of instances start without a conductor and call the same seed.
func TestNeighboursAreBounded(t *testing.T) {
	now := time.Now()
	c := newPeer(t, "seed", "192.0.2.1:1")
	for n := range 2 * maxNeighbours {
		name := fmt.Sprint("edge-", n)
		c.Neighbours.recordResponse(&peerv1.Member{Instance: name, PeerAddress: name + ":1"}, now)
	}
	require.Len(t, c.Neighbours.known(now), maxNeighbours)
	told := c.Neighbours.sample("edge-7", now)
	require.LessOrEqual(t, len(told), maxNeighboursNamed+1)
	require.Equal(t, "edge-7", told[len(told)-1].GetInstance(), "it need not report itself")
	require.Len(t, c.Neighbours.sample("", now), maxNeighboursNamed)
	c.Lease.Observe(leaser.Claim{Holder: "x", Incarnation: "x1", Address: "192.0.2.2:1"})
	require.Len(t, c.peersToProbe(now), maxReadersProbed+maxOthersProbed+1, "one seed, or where the last conductor was")
	require.Empty(t, c.Neighbours.sample("edge-7", now.Add(memberTTL)), "they may be gone")
	require.Empty(t, c.Neighbours.known(now.Add(neighbourTTL+time.Millisecond)))
}

// TestManyLossesBeginFewRounds guards against a fleet whose links carry little else than losses when many
// upstreams crash together.
func TestManyLossesBeginFewRounds(t *testing.T) {
	var e exchange
	began, numFirst := time.Now(), 0
	for range 1000 {
		if e.mayBegin(false) && e.urgent.AllowN(time.Now(), maxReadersProbed+maxOthersProbed) {
			numFirst++
		}
	}
	numMore := int(time.Since(began).Seconds()*float64(urgentCalls)) + 1
	require.LessOrEqual(t, numFirst, (urgentBurst-suspectReserve)/(maxReadersProbed+maxOthersProbed)+1+numMore)
	require.True(t, e.mayBegin(true), "some calls are left for requests that may crash upstreams")
}

// TestProbeOfTheConductorIsSmall guards against a conductor that sends its whole view to each instance that
// has lost it and probes it, and is lost by more of them for that work.
func TestProbeOfTheConductorIsSmall(t *testing.T) {
	s, _ := newServer()
	for n := range 200 {
		s.ApplyReport(report(fmt.Sprint("edge-", n), "1", false), time.Now())
	}
	c := newClientOf(t, s)
	s.Self.PeerAddress = c.members[0].GetPeerAddress()
	v, err := s.Watch(t.Context(), &peerv1.WatchRequest{Instance: "b", IsProbe: true})
	require.NoError(t, err)
	require.Len(t, v.GetMembers(), 1)
	require.Zero(t, v.GetAnswer(), "the next watch gets a whole view")
	c.probeOnce(t)
	require.Equal(t, s.Self.GetIncarnation(), c.Lease.Newest().Incarnation, "it is found by the probe")
}

// TestLateProbesDelayTheNextRound guards against a fleet whose probes take the processor time that the
// responses need.
func TestLateProbesDelayTheNextRound(t *testing.T) {
	c := &Client{}
	c.exchange.init()
	for n := range maxLateProbes {
		c.exchange.running[fmt.Sprint(n)] = true
	}
	require.False(t, c.areProbesLate(), "a few addresses may be those of instances that have ended")
	c.exchange.running["another"] = true
	require.True(t, c.areProbesLate())
}
