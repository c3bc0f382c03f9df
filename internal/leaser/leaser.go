package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

const (
	// yieldDelay is how long a holder keeps the lease that could send no orders. It is longer
	// than its last orders are in flight.
	yieldDelay = 2 * time.Second
	// unsuitedClaimDelay is how long an instance that could send no orders leaves a free lease
	// to others.
	unsuitedClaimDelay = 5 * time.Second
	// checkInterval is the time between two checks of the lease.
	checkInterval = 100 * time.Millisecond
	// storeTimeout bounds a call to the store, which responds within a few
	// milliseconds, and within a few hundred when it is slow.
	storeTimeout = 800 * time.Millisecond
	// peerStoreTimeout bounds a store call that goes through peers.
	peerStoreTimeout = 1500 * time.Millisecond
	// readInterval is the time between two reads of the lease while the holder does
	// not respond and this instance may claim the lease. idleReadInterval is that time
	// while it may not: it then learns of another holder from the other instances.
	readInterval     = 600 * time.Millisecond
	idleReadInterval = 2400 * time.Millisecond
	// renewRetryInterval is the time between two attempts to renew the lease.
	renewRetryInterval = 400 * time.Millisecond
	// takeoverDelay gives a holder whose process was killed time to restart: its
	// next incarnation may send orders at once, another instance may not.
	takeoverDelay = 2600 * time.Millisecond
)

// ErrConflict is returned by an append that expected a different end of the topic.
var ErrConflict = errors.New("another claim was appended first")

// Store reads and appends claims.
type Store struct {
	// Newest returns the newest claim, zero if there is none, and the end of the topic
	// in the log's present era.
	Newest func(ctx context.Context) (c Claim, end sequencer.Position, err error)
	// Append appends a claim if the topic ends at the claim's position, and returns
	// ErrConflict otherwise. After any other error the claim may have been appended,
	// also if the log is in another era by now.
	Append func(ctx context.Context, c Claim) error
}

// Lease keeps a State up to date. Its exported fields must be set before Run.
type Lease struct {
	Store Store
	// PeerStore reaches the store through peers, for when this instance cannot reach
	// it directly.
	PeerStore Store
	// Self is the claim that this instance appends, without an offset.
	Self Claim
	// HasConductor reports whether the holder responds to this instance, which then
	// does not need to read the lease.
	HasConductor func() bool
	Log          *zap.Logger
	Times        Timing
	// ClaimDelay is how long this instance leaves a lease to others that it has found to
	// be free. It is longer than readInterval on an instance that is less suited to
	// hold the lease.
	ClaimDelay time.Duration
	// IsUnsuited, if set, reports whether this instance could not send orders at present. It
	// releases the lease after a while, and claims it only if no other instance does.
	IsUnsuited func() bool
	// Appointments, if set, returns the appointments for the next claim of this instance as the
	// holder, and false if it has none of its own. They are renewed early after a change.
	Appointments func() (appointments string, ok bool)
	// OnHolderChange, if set, is called after the holder has changed.
	OnHolderChange func(Claim)

	mu            sync.Mutex
	state         State
	unknownSentAt time.Duration // when the first append with an unknown outcome was sent, 0 for none
	isReleasing   bool
	// attempts are the claims of this instance that may have been appended after the newest
	// known one.
	attempts []Claim
	// end is the end of the topic when it was last found to be behind the next position of the newest
	// claim.
	end     sequencer.Position
	isFirst bool // this instance holds the lease by the first claim of all
	// isInitial is isFirst whatever the appointments, and also in a log that states no era.
	isInitial bool

	// Used only by the goroutine in Run.
	unreachableSince time.Duration // when the holder stopped responding, 0 while it responds
	unsuitedSince    time.Duration // 0 while it is suited
	freeSince        time.Duration // when a read found that the lease is free, 0 if it is not
	readAt           time.Duration // the last read of the lease
	renewTriedAt     time.Duration // the last attempt to renew
}

// Run claims and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) {
	l.mu.Lock()
	l.state.Timing, l.state.Incarnation = l.Times, l.Self.Incarnation
	l.mu.Unlock()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		l.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (l *Lease) step(ctx context.Context) {
	now := clocker.SinceStart()
	appointments, hasAppointments := l.appointments()
	l.mu.Lock()
	isHolder, isDue, isReleasing := l.state.IsHolder(), l.state.IsRenewalDue(now), l.isReleasing
	isDue = isDue || isHolder && hasAppointments && appointments != l.state.newest.Appointments
	isInEra := l.state.era == l.state.newest.Era
	isUnsuited := l.isUnsuited(now)
	interval := readInterval
	if !l.state.CanClaim(now) {
		interval = idleReadInterval
	}
	l.mu.Unlock()
	switch {
	case isReleasing:
	case isHolder && isUnsuited && now-l.unsuitedSince >= yieldDelay:
		l.release(ctx)
	case isHolder && isDue && now-l.renewTriedAt < renewRetryInterval && l.renewTriedAt != 0:
	case isHolder && isDue && isInEra:
		l.renewTriedAt = now
		l.claim(ctx, l.nextPosition())
	case isHolder && isDue:
		l.renewTriedAt = now
		l.claimInNewEra(ctx)
	case isHolder:
	case l.HasConductor():
		l.unreachableSince, l.freeSince = 0, 0
	case now-l.readAt >= interval || l.readAt == 0:
		l.readAndClaim(ctx, now)
	}
}

// isUnsuited reports whether this instance is unsuited to hold the lease.
func (l *Lease) isUnsuited(now time.Duration) bool {
	switch {
	case l.IsUnsuited == nil || !l.IsUnsuited():
		l.unsuitedSince = 0
	case l.unsuitedSince == 0:
		l.unsuitedSince = now
	}
	return l.unsuitedSince != 0
}

// claimInNewEra renews the lease after a restore of the log, at the end that the topic
// has now.
func (l *Lease) claimInNewEra(ctx context.Context) {
	c, end, err := l.read(ctx)
	if err != nil {
		l.Log.Warn("failed to read the lease after a restore of the log", logger.Error(err))
		return
	}
	l.observe(c, end.Era)
	l.mu.Lock()
	canClaim := l.state.IsHolder() && l.state.CanClaim(clocker.SinceStart())
	l.mu.Unlock()
	if canClaim {
		l.claim(ctx, end)
	}
}

// readAndClaim reads the newest claim, and claims the lease if it is free.
func (l *Lease) readAndClaim(ctx context.Context, now time.Duration) {
	if l.unreachableSince == 0 {
		l.unreachableSince = now
	}
	l.readAt = now
	c, end, err := l.read(ctx)
	if err != nil {
		l.Log.Warn("failed to read the lease", logger.Error(err))
		return
	}
	l.observe(c, end.Era)
	l.mu.Lock()
	isFree := l.state.CanClaim(clocker.SinceStart()) && !l.state.IsHolder()
	mayMissClaims := l.state.MayMissClaims()
	l.mu.Unlock()
	if !isFree {
		l.freeSince = 0
	} else if l.freeSince == 0 {
		l.freeSince = now
	}
	if isFree && now-l.freeSince < l.ClaimDelay || isFree && l.unsuitedSince != 0 && now-l.freeSince < unsuitedClaimDelay {
		return
	}
	isOwnOrNone := c.Holder == l.Self.Holder || c.IsZero()
	if isFree && !isOwnOrNone && now-l.unreachableSince < takeoverDelay {
		return
	}
	// An earlier incarnation of this instance has ended, even if its lease has not
	// expired. Another instance may have held the lease after it if claims are missing.
	isOwnEarlier := c.Holder == l.Self.Holder && c.Incarnation != l.Self.Incarnation && !mayMissClaims
	if isFree || isOwnEarlier {
		l.claim(ctx, end)
	}
}

// read returns the newest claim and the end of the topic, from the store or through
// peers.
func (l *Lease) read(ctx context.Context) (Claim, sequencer.Position, error) {
	direct, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, end, err := l.Store.Newest(direct)
	if err == nil || l.PeerStore.Newest == nil {
		return c, end, err
	}
	viaPeers, cancelViaPeers := context.WithTimeout(ctx, peerStoreTimeout)
	defer cancelViaPeers()
	c, end, peerErr := l.PeerStore.Newest(viaPeers)
	if peerErr != nil {
		return c, end, errors.Join(err, peerErr)
	}
	return c, end, nil
}

// append appends a claim, through peers if the store does not respond. Trying
// both is safe: only one of two appends at the same position succeeds.
func (l *Lease) append(ctx context.Context, c Claim) error {
	timeout := storeTimeout
	if end, ok := ctx.Deadline(); ok && l.PeerStore.Append != nil {
		timeout = min(timeout, time.Until(end)/2) // the rest is for the peers
	}
	direct, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := l.Store.Append(direct, c)
	if err == nil || errors.Is(err, ErrConflict) || l.PeerStore.Append == nil {
		return err
	}
	viaPeers, cancelViaPeers := context.WithTimeout(ctx, peerStoreTimeout)
	defer cancelViaPeers()
	peerErr := l.PeerStore.Append(viaPeers, c)
	if peerErr != nil && !errors.Is(peerErr, ErrConflict) {
		return errors.Join(err, peerErr)
	}
	if peerErr == nil {
		l.Log.Info("claim appended through a peer", zap.Int64("token", c.Token()), logger.Error(err))
	}
	return peerErr
}

// claim appends a claim at the end of the topic.
func (l *Lease) claim(ctx context.Context, end sequencer.Position) {
	sentAt := clocker.SinceStart()
	c := l.Self
	c.Position = end
	appointments, ok := l.appointments()
	l.mu.Lock()
	c.FirstOrderDelay = l.state.FirstOrderDelay(c.Holder, sentAt)
	switch {
	case !l.state.IsHolder():
		c.Appointments = l.state.InheritedAppointments(end)
	case !l.state.isContinuing(sentAt):
		// Another instance may have held the lease by a claim that the log has lost.
	case ok:
		c.Appointments = appointments
	default:
		c.Appointments = l.state.newest.Appointments
	}
	l.addAttemptLocked(c)
	l.mu.Unlock()
	err := l.append(ctx, c)
	switch {
	case err == nil:
		l.recordAcquired(c, sentAt)
	case errors.Is(err, ErrConflict):
		// The other claim may be this instance's own, from an append whose response
		// was lost.
		l.mu.Lock()
		if l.unknownSentAt == 0 {
			l.unknownSentAt = sentAt
		}
		l.mu.Unlock()
		if c, end, err := l.read(ctx); err != nil {
			l.Log.Warn("failed to read the lease back", logger.Error(err))
		} else {
			l.observe(c, end.Era)
			l.mu.Lock()
			l.end = end
			l.mu.Unlock()
		}
	default:
		// The append may still succeed, so a claim that is read back counts from when
		// this one was sent.
		l.mu.Lock()
		if l.unknownSentAt == 0 {
			l.unknownSentAt = sentAt
		}
		l.mu.Unlock()
		l.Log.Warn("outcome of the claim is unknown", logger.Error(err), zap.Int64("era", end.Era), zap.Int64("at", end.Offset))
	}
}

func (l *Lease) recordAcquired(c Claim, sentAt time.Duration) {
	l.mu.Lock()
	wasHolder := l.state.IsHolder()
	isFirst := l.state.newest.IsZero() && !l.state.MayMissClaims() && c.Offset == 0
	l.state.RecordAcquired(c, sentAt, clocker.SinceStart())
	l.settleAttemptsLocked()
	l.isInitial = (isFirst || l.isInitial && wasHolder) && c.Era <= sequencer.FirstEra
	l.isFirst = (isFirst || l.isFirst && wasHolder) && c.Appointments == "" && c.Era == sequencer.FirstEra
	l.unknownSentAt = 0
	wait := max(0, l.state.firstOrderAt-clocker.SinceStart())
	l.mu.Unlock()
	if !wasHolder {
		l.Log.Info("lease taken", zap.Int64("token", c.Token()), zap.Duration("first-order-in", wait))
		l.holderChanged(c)
	}
}

// ObserveEra applies the era of the log that another reader of it has found.
func (l *Lease) ObserveEra(era int64) {
	l.mu.Lock()
	before := l.state.era
	l.state.ObserveEra(era, clocker.SinceStart())
	newest, mayMissClaims := l.state.Newest(), l.state.MayMissClaims()
	l.mu.Unlock()
	if era > before && mayMissClaims {
		l.Log.Warn("log was restored; claims may be missing", zap.Int64("era", era), zap.Int64("before", before),
			zap.String("holder", newest.Holder), zap.Int64("token", newest.Token()))
	}
}

// observe applies a claim that was read from the log in the given era.
func (l *Lease) observe(c Claim, era int64) {
	l.ObserveEra(era)
	if c.IsZero() {
		return
	}
	now := clocker.SinceStart()
	l.mu.Lock()
	before, wasHolder := l.state.Newest(), l.state.IsHolder()
	sentAt := now
	if l.unknownSentAt != 0 {
		sentAt = l.unknownSentAt
	}
	l.state.Observe(c, era, now, sentAt)
	after, isHolder := l.state.Newest(), l.state.IsHolder()
	if isHolder {
		l.unknownSentAt = 0
	}
	l.settleAttemptsLocked()
	l.isFirst = l.isFirst && isHolder && after.Appointments == ""
	l.isInitial = l.isInitial && isHolder
	l.mu.Unlock()
	if wasHolder && !isHolder {
		l.Log.Warn("lease lost", zap.String("holder", after.Holder), zap.Int64("token", after.Token()))
	}
	if before.Incarnation != after.Incarnation || wasHolder != isHolder {
		l.Log.Info("lease held", zap.String("holder", after.Holder), zap.String("incarnation", after.Incarnation),
			zap.Int64("token", after.Token()), zap.Bool("released", after.IsReleased))
		l.holderChanged(after)
	}
}

// Observe applies a claim that a peer reported.
func (l *Lease) Observe(c Claim) {
	if c.Incarnation != l.Self.Incarnation {
		l.observe(c, c.Era)
	}
}

// RecordProcessEnded records that an incarnation of a holder has provably ended.
func (l *Lease) RecordProcessEnded(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.RecordProcessEnded(incarnation, clocker.SinceStart())
}

func (l *Lease) holderChanged(c Claim) {
	if l.OnHolderChange != nil {
		l.OnHolderChange(c)
	}
}

// Newest returns the newest known claim.
func (l *Lease) Newest() Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Newest()
}

// nextPosition returns where the next claim of the holder is appended: behind the newest claim, and
// behind records that are no claims. If another claim is behind that, the append conflicts.
func (l *Lease) nextPosition() sequencer.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextPositionLocked()
}

func (l *Lease) nextPositionLocked() sequencer.Position {
	next := l.state.newest.Next()
	if l.end.Era == next.Era && l.end.IsAfter(next) {
		return l.end
	}
	return next
}

// IsHolder reports whether this instance holds the lease and it has not expired.
func (l *Lease) IsHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.IsHolder() && clocker.SinceStart() < l.state.ExpiresAt()
}

// Token returns the fencing token, and whether this instance may send an order
// now.
func (l *Lease) Token() (token int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Newest().Token(), l.state.CanOrder(clocker.SinceStart())
}

// Release releases the lease. The caller must have no order in flight, and must
// send none after the call.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	l.isReleasing = true
	l.mu.Unlock()
	l.release(ctx)
}

func (l *Lease) release(ctx context.Context) {
	appointments, ok := l.appointments()
	l.mu.Lock()
	isHolder := l.state.IsHolder()
	c := l.Self
	c.Position = l.nextPositionLocked()
	c.IsReleased = true
	if c.Appointments = l.state.newest.Appointments; ok {
		c.Appointments = appointments
	}
	c.FirstOrderDelay = max(0, l.state.firstOrderAt-clocker.SinceStart())
	if isHolder {
		l.state.newest.IsReleased = true
	}
	l.mu.Unlock()
	if !isHolder {
		return
	}
	if err := l.append(ctx, c); err != nil {
		l.Log.Warn("failed to release the lease", logger.Error(err))
		return
	}
	l.Log.Info("lease given back", zap.Int64("token", c.Token()))
}
