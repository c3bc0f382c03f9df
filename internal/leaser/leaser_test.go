package leaser

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// leaseOn returns a lease that reads the given claim.
func leaseOn(c *Claim, numAppends *int) *Lease {
	l := &Lease{
		Store: Store{
			Newest: func(context.Context) (Claim, sequencer.Position, error) { return *c, c.Next(), nil },
			Append: func(context.Context, Claim) error { *numAppends++; return nil },
		},
		Self: Claim{Holder: "a", Incarnation: "a1"}, Log: zap.NewNop(), Times: testTimes,
		HasConductor: func() bool { return false }, ClaimDelay: time.Minute,
	}
	l.state.Timing, l.state.Incarnation = l.Times, l.Self.Incarnation
	return l
}

// The delay counts from when the lease is free, not from when its holder was lost: the
// lease of a lost holder ends seconds later.
func TestClaimDelayBeginsWhenLeaseIsFree(t *testing.T) {
	numAppends := 0
	c := claimOf("b", "b1", 4)
	l := leaseOn(&c, &numAppends)
	now := clocker.SinceStart()
	l.readAndClaim(t.Context(), now)
	l.state.seenAt -= testTimes.LeaseDuration
	now += 2 * l.ClaimDelay
	l.readAndClaim(t.Context(), now)
	require.Zero(t, numAppends)
	l.readAndClaim(t.Context(), now+l.ClaimDelay)
	require.Equal(t, 1, numAppends)
}

// An instance with little processor time leaves a free lease to the others for a
// while, and takes it if nobody else does.
func TestSmallInstanceLeavesFreeLeaseToOthers(t *testing.T) {
	numAppends := 0
	l := leaseOn(&Claim{}, &numAppends)
	now := clocker.SinceStart()
	l.readAndClaim(t.Context(), now)
	l.readAndClaim(t.Context(), now+l.ClaimDelay-1)
	require.Zero(t, numAppends)
	l.readAndClaim(t.Context(), now+l.ClaimDelay)
	require.Equal(t, 1, numAppends)
	require.True(t, l.IsHolder())
}

// TestHolderThatCannotSendOrdersYieldsTheLease guards against a conductor without links to the
// upstreams that keeps the others from sending orders.
func TestHolderThatCannotSendOrdersYieldsTheLease(t *testing.T) {
	numAppends := 0
	c := claimOf("b", "b1", 4)
	l := leaseOn(&c, &numAppends)
	l.ClaimDelay = 0
	isUnsuited := false
	l.IsUnsuited = func() bool { return isUnsuited }
	now := clocker.SinceStart()
	l.state.RecordAcquired(claimOf("a", "a1", 5), now, now)
	l.step(t.Context())
	require.True(t, l.IsHolder())
	isUnsuited = true
	l.step(t.Context())
	require.True(t, l.IsHolder(), "for a while")
	l.unsuitedSince -= yieldDelay
	l.step(t.Context())
	require.False(t, l.IsHolder())
	require.Equal(t, 1, numAppends, "the release")
	_, ok := l.Token()
	require.False(t, ok)
	l.state.seenAt -= testTimes.LeaseDuration // the lease is free for this instance, too
	l.readAndClaim(t.Context(), now)
	require.False(t, l.IsHolder(), "left to others")
	l.readAndClaim(t.Context(), now+unsuitedClaimDelay)
	require.Equal(t, 2, numAppends, "taken if nobody else does")
}
