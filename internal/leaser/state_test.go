package leaser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testTimes = Timing{LeaseDuration: 8 * time.Second, HandoverGap: 3500 * time.Millisecond, ExpiryMargin: 700 * time.Millisecond, RenewAfter: 2400 * time.Millisecond}

func newState(incarnation string) *State { return &State{Timing: testTimes, Incarnation: incarnation} }

func claimOf(holder, incarnation string, offset int64) Claim {
	return Claim{Offset: offset, Holder: holder, Incarnation: incarnation}
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
	s.Observe(claimOf("a", "a1", 0), 10*sec, 0)
	require.False(t, s.CanClaim(17*sec))
	require.True(t, s.CanClaim(18*sec))
	s.RecordAcquired(claimOf("b", "b1", 1), 18*sec, 18*sec)
	require.False(t, s.CanOrder(20700*time.Millisecond))
	require.True(t, s.CanOrder(20800*time.Millisecond), "the former lease without its margin, and the gap, have passed")
}

func TestOnlyGapIsNeededAfterEndedOrReleasedHolder(t *testing.T) {
	ended := newState("b1")
	ended.Observe(claimOf("a", "a1", 0), 10*sec, 0)
	ended.RecordProcessEnded("a1", 12*sec)
	released := newState("b1")
	released.Observe(Claim{Offset: 0, Holder: "a", Incarnation: "a1", IsReleased: true}, 12*sec, 0)
	for _, s := range []*State{ended, released} {
		require.True(t, s.CanClaim(12*sec))
		s.RecordAcquired(claimOf("b", "b1", 1), 12*sec, 12*sec)
		require.False(t, s.CanOrder(15*sec))
		require.True(t, s.CanOrder(15500*time.Millisecond))
	}
}

func TestRestartedHolderOrdersImmediately(t *testing.T) {
	s := newState("a2")
	s.Observe(claimOf("a", "a1", 4), 10*sec, 0)
	s.RecordAcquired(claimOf("a", "a2", 5), 10*sec, 10*sec)
	require.True(t, s.CanOrder(10*sec))

	delayed := newState("a2")
	c := claimOf("a", "a1", 4)
	c.FirstOrderDelay = 3 * sec // the earlier incarnation still had to wait for another holder
	delayed.Observe(c, 10*sec, 0)
	delayed.RecordAcquired(claimOf("a", "a2", 5), 10*sec, 10*sec)
	require.False(t, delayed.CanOrder(12*sec))
	require.True(t, delayed.CanOrder(13*sec))
}

// The lease of a claim whose append got no response counts from when it was sent,
// not from when it is read back.
func TestClaimReadBackCountsFromSending(t *testing.T) {
	s := newState("a1")
	s.Observe(claimOf("a", "a1", 0), 20*sec, 13*sec)
	require.True(t, s.IsHolder())
	require.True(t, s.CanOrder(20*sec))
	require.False(t, s.CanOrder(20400*time.Millisecond))
}

func TestNewerClaimEndsLease(t *testing.T) {
	s := newState("a1")
	s.RecordAcquired(claimOf("a", "a1", 0), 0, 0)
	s.Observe(claimOf("b", "b1", 1), 2*sec, 0)
	require.False(t, s.IsHolder())
	require.False(t, s.CanOrder(2*sec))
	s.Observe(claimOf("a", "a1", 0), 3*sec, 0)
	require.False(t, s.IsHolder(), "an older claim changes nothing")
}

// Each instance decides by its own clock and by the claims in the log. With any
// sequence of pauses, lost responses and restarts, the orders of two instances are
// at least 3 s, less the latency of an order, apart. HandoverGap is 3 s and a margin
// of 500 ms for orders in flight.
func TestOrdersOfTwoHoldersAreSeparated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		violation := simulateLease(testTimes, func(least, most int, label string) int { return rapid.IntRange(least, most).Draw(t, label) })
		if violation != "" {
			t.Fatal(violation)
		}
	})
}

// Without the gap between two holders, the same simulation finds orders that are
// too close together.
func TestSimulationFindsViolationsWithoutGap(t *testing.T) {
	timing := testTimes
	timing.HandoverGap = 0
	violations := 0
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		if simulateLease(timing, func(least, most int, _ string) int { return least + rng.IntN(most-least+1) }) != "" {
			violations++
		}
	}
	t.Logf("%d of 2000 runs violate the separation", violations)
	require.Positive(t, violations)
}

// simulateLease simulates pauses, restarts, claims with and without a response and
// releases of three instances. It returns a description of the first two orders of
// different holders that are too close together, or the empty string.
func simulateLease(timing Timing, draw func(least, most int, label string) int) string {
	const orderLatency = 400 * time.Millisecond // of an order that was sent just before a pause
	names := []string{"a", "b", "c"}
	states := make(map[string]*State)
	numStarts := make(map[string]int)
	unknownSentAt := make(map[string]time.Duration) // when the first claim without a response was sent
	start := func(name string) {
		numStarts[name]++
		delete(unknownSentAt, name)
		states[name] = &State{Timing: timing, Incarnation: name + string(rune('0'+numStarts[name]))}
	}
	for _, n := range names {
		start(n)
	}
	var newest Claim
	newest.Offset = -1
	var lastOrder time.Duration
	var lastHolder string
	now := time.Duration(0)
	for range draw(100, 600, "steps") {
		now += time.Duration(draw(20, 700, "ms")) * time.Millisecond
		name := names[draw(0, len(names)-1, "instance")]
		s := states[name]
		switch draw(0, 9, "step") {
		case 0:
			start(name)
		case 1, 2, 3: // reads the log
			if newest.Offset >= 0 {
				sentAt, ok := unknownSentAt[name]
				if !ok {
					sentAt = now
				}
				s.Observe(newest, now, sentAt)
				delete(unknownSentAt, name)
			}
		case 4, 5: // claims at the end of the topic as far as the instance knows it
			isOwn := s.Newest().Holder == name && s.Newest().Incarnation != s.Incarnation
			end := int64(0) // of the topic, as far as the instance knows it
			if !s.Newest().IsZero() {
				end = s.Newest().Offset + 1
			}
			if !s.IsHolder() && !s.CanClaim(now) && !isOwn || end != newest.Offset+1 {
				break
			}
			c := claimOf(name, s.Incarnation, newest.Offset+1)
			c.FirstOrderDelay = s.FirstOrderDelay(name, now)
			newest = c
			if draw(0, 1, "answered") == 1 {
				s.RecordAcquired(c, now, now+20*time.Millisecond)
			} else if _, ok := unknownSentAt[name]; !ok {
				unknownSentAt[name] = now
			}
		case 6:
			if s.IsHolder() && newest.Incarnation == s.Incarnation {
				c := claimOf(name, s.Incarnation, newest.Offset+1)
				c.IsReleased = true
				c.FirstOrderDelay = s.FirstOrderDelay(name, now)
				newest = c
				s.newest.IsReleased = true
			}
		default:
			if !s.CanOrder(now) {
				break
			}
			if lastHolder != "" && lastHolder != name && now-lastOrder < 3*sec-orderLatency {
				return fmt.Sprintf("%s sent an order at %v, %s at %v", name, now, lastHolder, lastOrder)
			}
			lastOrder, lastHolder = now, name
		}
	}
	return ""
}
