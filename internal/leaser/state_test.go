package leaser

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

var testTimes = Timing{LeaseDuration: 8 * time.Second, HandoverGap: 3500 * time.Millisecond, ExpiryMargin: 700 * time.Millisecond, RenewAfter: 2400 * time.Millisecond}

func newState(incarnation string) *State { return &State{Timing: testTimes, Incarnation: incarnation} }

func claimOf(holder, incarnation string, offset int64) Claim {
	return Claim{Position: sequencer.Position{Offset: offset}, Holder: holder, Incarnation: incarnation}
}

const sec = time.Second

func TestFirstHolderOrdersImmediately(t *testing.T) {
	s := newState("a1")
	require.True(t, s.CanClaim(0))
	s.RecordAcquired(claimOf("a", "a1", 0), sec, sec)
	require.True(t, s.CanOrder(sec))
	require.False(t, s.CanOrder(9*sec-700*time.Millisecond), "no orders within the margin before the lease expires")
}

func TestNewHolderWaitsForExpiryAndGap(t *testing.T) {
	s := newState("b1")
	s.Observe(claimOf("a", "a1", 0), 0, 10*sec, 0)
	require.False(t, s.CanClaim(17*sec))
	require.True(t, s.CanClaim(18*sec))
	s.RecordAcquired(claimOf("b", "b1", 1), 18*sec, 18*sec)
	require.False(t, s.CanOrder(20700*time.Millisecond))
	require.True(t, s.CanOrder(20800*time.Millisecond), "the former lease without its margin, and the gap, have passed")
}

func TestOnlyGapIsNeededAfterEndedOrReleasedHolder(t *testing.T) {
	ended := newState("b1")
	ended.Observe(claimOf("a", "a1", 0), 0, 10*sec, 0)
	ended.RecordProcessEnded("a1", 12*sec)
	released := newState("b1")
	released.Observe(Claim{Holder: "a", Incarnation: "a1", IsReleased: true}, 0, 12*sec, 0)
	for _, s := range []*State{ended, released} {
		require.True(t, s.CanClaim(12*sec))
		s.RecordAcquired(claimOf("b", "b1", 1), 12*sec, 12*sec)
		require.False(t, s.CanOrder(15*sec))
		require.True(t, s.CanOrder(15500*time.Millisecond))
	}
}

func TestRestartedHolderOrdersImmediately(t *testing.T) {
	s := newState("a2")
	s.Observe(claimOf("a", "a1", 4), 0, 10*sec, 0)
	s.RecordAcquired(claimOf("a", "a2", 5), 10*sec, 10*sec)
	require.True(t, s.CanOrder(10*sec))

	delayed := newState("a2")
	c := claimOf("a", "a1", 4)
	c.FirstOrderDelay = 3 * sec // the earlier incarnation still had to wait for another holder
	delayed.Observe(c, 0, 10*sec, 0)
	delayed.RecordAcquired(claimOf("a", "a2", 5), 10*sec, 10*sec)
	require.False(t, delayed.CanOrder(12*sec))
	require.True(t, delayed.CanOrder(13*sec))
}

// The lease of a claim whose append got no response counts from when it was sent,
// not from when it is read back.
func TestClaimReadBackCountsFromSending(t *testing.T) {
	s := newState("a1")
	s.Observe(claimOf("a", "a1", 0), 0, 20*sec, 13*sec)
	require.True(t, s.IsHolder())
	require.True(t, s.CanOrder(20*sec))
	require.False(t, s.CanOrder(20400*time.Millisecond))
}

func TestNewerClaimEndsLease(t *testing.T) {
	s := newState("a1")
	s.RecordAcquired(claimOf("a", "a1", 0), 0, 0)
	s.Observe(claimOf("b", "b1", 1), 0, 2*sec, 0)
	require.False(t, s.IsHolder())
	require.False(t, s.CanOrder(2*sec))
	s.Observe(claimOf("a", "a1", 0), 0, 3*sec, 0)
	require.False(t, s.IsHolder(), "an older claim changes nothing")
}

// Each instance decides by its own clock and by the claims in the log. With any
// sequence of pauses, lost and late responses, restarts and restores of the log, the
// orders of two instances are at least 3 s, less the latency of an order, apart, their
// tokens rise, and soon after the last restore some instance may send orders.
// HandoverGap is 3 s and a margin of 500 ms for orders in flight.
func TestOrdersOfTwoHoldersAreSeparated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newLeaseSimulation(testTimes, rapid.IntRange(2, 5).Draw(t, "instances"))
		sim.run(func(least, most int, label string) int { return rapid.IntRange(least, most).Draw(t, label) })
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	})
}

// numViolations returns how many of 2,000 seeded runs violate the guarantees.
func numViolations(t *testing.T, timing Timing, comparesOnlyOffsets bool) int {
	n := 0
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sim := newLeaseSimulation(timing, 3)
		sim.comparesOnlyOffsets = comparesOnlyOffsets
		sim.run(func(least, most int, _ string) int { return least + rng.IntN(most-least+1) })
		if sim.violation != "" {
			n++
		}
	}
	t.Logf("%d of 2000 runs violate the guarantees", n)
	return n
}

// Without the gap between two holders, the same simulation finds orders that are
// too close together.
func TestSimulationFindsViolationsWithoutGap(t *testing.T) {
	timing := testTimes
	timing.HandoverGap = 0
	require.Positive(t, numViolations(t, timing, false))
}

// If positions are compared by their offsets alone, a restore of the log makes two
// instances send orders at the same time, or stops all orders.
func TestSimulationFindsViolationsIfErasAreIgnored(t *testing.T) {
	require.Positive(t, numViolations(t, testTimes, true))
	require.Zero(t, numViolations(t, testTimes, false))
}

// A holder whose claim was lost in a restore continues until its lease expires, and
// continues without a gap if it claims the lease again in time.
func TestHolderContinuesAfterRestore(t *testing.T) {
	s := newState("a1")
	s.RecordAcquired(Claim{Position: sequencer.Position{Era: 1, Offset: 7}, Holder: "a", Incarnation: "a1"}, 0, 0)
	s.ObserveEra(2, sec)
	require.True(t, s.CanOrder(sec))
	require.True(t, s.IsRenewalDue(sec))
	s.Observe(Claim{Position: sequencer.Position{Era: 1, Offset: 5}, Holder: "b", Incarnation: "b1"}, 2, sec, 0)
	require.True(t, s.IsHolder(), "a claim from before its own")
	s.RecordAcquired(Claim{Position: sequencer.Position{Era: 2, Offset: 6}, Holder: "a", Incarnation: "a1"}, sec, sec)
	require.True(t, s.CanOrder(8*sec))
	require.False(t, s.MayMissClaims())

	s.ObserveEra(3, 9*sec)
	require.False(t, s.CanClaim(16*sec), "its lease has expired, so another instance may have held it")
	require.True(t, s.CanClaim(17*sec))
	s.RecordAcquired(Claim{Position: sequencer.Position{Era: 3, Offset: 6}, Holder: "a", Incarnation: "a1"}, 17*sec, 17*sec)
	require.False(t, s.CanOrder(19*sec))
	require.True(t, s.CanOrder(20*sec), "a lease and a gap after the restore")
}

// An instance that reads a released claim, or none, from a restored log waits as if
// the lease were held.
func TestRestoredLogDoesNotShowThatLeaseIsFree(t *testing.T) {
	for name, c := range map[string]Claim{
		"none":             {},
		"released":         {Position: sequencer.Position{Era: 1, Offset: 5}, Holder: "a", Incarnation: "a1", IsReleased: true},
		"earlier own run":  {Position: sequencer.Position{Era: 1, Offset: 5}, Holder: "b", Incarnation: "b0"},
		"of an ended run":  {Position: sequencer.Position{Era: 1, Offset: 5}, Holder: "c", Incarnation: "c1"},
		"crossed the rest": {Position: sequencer.Position{Era: 1, Offset: 5}, Holder: "b", Incarnation: "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newState("b1")
			s.ObserveEra(2, 10*sec)
			if !c.IsZero() {
				s.Observe(c, 2, 10*sec, 10*sec)
				s.RecordProcessEnded(c.Incarnation, 10*sec)
			}
			require.False(t, s.IsHolder())
			require.False(t, s.CanClaim(17*sec))
			require.Equal(t, 10*sec+800*time.Millisecond, s.FirstOrderDelay("b", 10*sec))
		})
	}
}

// A log whose eras begin with 0 has been restored once in era 1.
func TestEraAfterZeroIsRestore(t *testing.T) {
	holder, other := newState("a1"), newState("b1")
	holder.RecordAcquired(claimOf("a", "a1", 4), 0, 0)
	other.Observe(Claim{Holder: "a", Incarnation: "a1", IsReleased: true}, 0, 0, 0)
	for _, s := range []*State{holder, other} {
		s.ObserveEra(1, sec)
		require.True(t, s.MayMissClaims())
	}
	require.True(t, holder.IsRenewalDue(sec))
	require.True(t, holder.CanClaim(sec), "it renews its lease in the new era")
	require.False(t, other.CanClaim(sec), "a released claim may not be the last one")
	fresh := newState("c1")
	fresh.ObserveEra(1, sec)
	require.False(t, fresh.MayMissClaims())
}
