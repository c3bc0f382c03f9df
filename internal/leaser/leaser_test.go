package leaser

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// TestRecordThatIsNoClaimKeepsNobodyFromRenewing guards against a holder that loses the lease because of a
// record of another writer behind its claim: the log does not end there any more.
func TestRecordThatIsNoClaimKeepsNobodyFromRenewing(t *testing.T) {
	newest := claimOf("a", "a1", 5)
	end := newest.Next()
	end.Offset++
	l := leaseOn(&newest, nil)
	l.Store = Store{
		Newest: func(context.Context) (Claim, sequencer.Position, error) { return newest, end, nil },
		Append: func(_ context.Context, c Claim) error {
			if c.Position != end {
				return ErrConflict
			}
			newest, end = c, c.Next()
			return nil
		},
	}
	now := clocker.SinceStart()
	l.state.RecordAcquired(newest, now, now)
	for range 2 {
		l.renewTriedAt, l.state.sentAt = 0, now-testTimes.RenewAfter
		l.step(t.Context())
	}
	require.EqualValues(t, 7, newest.Offset)
	require.Equal(t, newest.Position, l.Newest().Position)
	require.True(t, l.IsHolder())
}

// simulatedStore is a log with the claims of a test. Appends get no response if isSilent.
type simulatedStore struct {
	log      simulatedLog
	isSilent bool
}

func (s *simulatedStore) store() Store {
	return Store{
		Newest: func(context.Context) (Claim, sequencer.Position, error) {
			if n := len(s.log.claims); n > 0 {
				return s.log.claims[n-1], s.log.end(), nil
			}
			return Claim{}, s.log.end(), nil
		},
		Append: func(_ context.Context, c Claim) error {
			switch isAppended := s.log.append(c); {
			case s.isSilent:
				return errors.New("no response")
			case !isAppended:
				return ErrConflict
			}
			return nil
		},
	}
}

// appointing returns a lease on the store whose holder has appointed *list, nothing if it is nil.
func appointing(s *simulatedStore, name string, list *string) *Lease {
	l := leaseOn(&Claim{}, new(int))
	l.Store, l.ClaimDelay, l.Self = s.store(), 0, Claim{Holder: name, Incarnation: name + "1"}
	l.state.Incarnation = l.Self.Incarnation
	l.Appointments = func() (string, bool) { return *list, *list != "" }
	return l
}

// TestNextHolderLearnsTheAppointments guards against appointments that are lost with the process
// that made them, and against ones that are taken as known while a claim may state others.
func TestNextHolderLearnsTheAppointments(t *testing.T) {
	s, list := &simulatedStore{log: simulatedLog{era: sequencer.FirstEra}}, ""
	l := appointing(s, "a", &list)
	requireClaims := func(l *Lease, isFirst bool, want ...string) {
		t.Helper()
		got, first := l.Claims()
		require.Equal(t, want, got)
		require.Equal(t, isFirst, first)
	}
	requireClaims(l, false)
	l.step(t.Context())
	requireClaims(l, true, "")
	l.step(t.Context())
	require.Len(t, s.log.claims, 1, "not renewed early without appointments")

	list, s.isSilent = "[1]", true
	l.step(t.Context())
	require.Len(t, s.log.claims, 2, "renewed early")
	requireClaims(l, false, "", "[1]")
	list, s.isSilent = "[2]", false
	l.renewTriedAt = 0
	l.step(t.Context()) // reads its own claim back
	requireClaims(l, false, "[1]")
	l.renewTriedAt = 0
	l.step(t.Context())
	requireClaims(l, false, "[2]")
	list = "" // it does not know its configuration any more
	l.state.sentAt -= testTimes.RenewAfter
	l.renewTriedAt = 0
	l.step(t.Context())
	require.Len(t, s.log.claims, 4)
	requireClaims(l, false, "[2]")

	next := appointing(s, "b", &list)
	bare := s.log.claims[3]
	bare.Appointments = "" // as the responses of peers state it
	next.Observe(bare)
	next.state.seenAt -= testTimes.LeaseDuration
	next.readAndClaim(t.Context(), clocker.SinceStart())
	next.readAndClaim(t.Context(), clocker.SinceStart()+takeoverDelay)
	require.True(t, next.IsHolder())
	requireClaims(next, false, "[2]")

	s.log.era++ // claims may be missing
	third := appointing(s, "c", &list)
	third.ObserveEra(s.log.era)
	third.state.eraSeenAt -= testTimes.LeaseDuration
	third.readAndClaim(t.Context(), clocker.SinceStart())
	third.readAndClaim(t.Context(), clocker.SinceStart()+takeoverDelay)
	require.True(t, third.IsHolder())
	requireClaims(third, false, "")
}
