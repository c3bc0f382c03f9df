package leaser

import "time"

// Claim is a record of the lease topic: an acquisition, renewal or release.
type Claim struct {
	// Offset is the record's offset in the log, and the fencing token.
	Offset int64
	// Holder is the instance, and Incarnation identifies the run of its process.
	Holder      string
	Incarnation string
	// Address is the address on which the holder serves its peers.
	Address string
	// IsReleased reports whether the holder has released the lease and sends no
	// more orders.
	IsReleased bool
	// FirstOrderDelay is how long after the claim the holder must wait before it
	// sends its first order.
	FirstOrderDelay time.Duration
}

// IsZero reports whether there is no claim.
func (c Claim) IsZero() bool { return c.Holder == "" }

// Timing configures a State. Points in time are durations on the boot clock, which
// runs while the machine is suspended.
type Timing struct {
	// LeaseDuration is the duration of the lease, counted from when the holder sent
	// its claim.
	LeaseDuration time.Duration
	// HandoverGap is the minimum time between the orders of two holders.
	HandoverGap time.Duration
	// ExpiryMargin is how long before the lease expires the holder stops sending
	// orders.
	ExpiryMargin time.Duration
	// RenewAfter is the age at which the holder renews its claim.
	RenewAfter time.Duration
}

// State is the lease as known to one instance.
type State struct {
	Timing
	Incarnation string // of this instance

	newest       Claim
	seenAt       time.Duration // when this instance first read the newest claim
	endedAt      time.Duration // when the newest holder was found to have ended or released, 0 if it has not
	sentAt       time.Duration // when this instance sent its newest claim
	firstOrderAt time.Duration // earliest time of an order of this instance
}

// Newest returns the newest known claim.
func (s *State) Newest() Claim { return s.newest }

// IsHolder reports whether the newest claim is this instance's and not released.
func (s *State) IsHolder() bool {
	return !s.newest.IsZero() && s.newest.Incarnation == s.Incarnation && !s.newest.IsReleased
}

// Observe applies a claim that was read from the log: one of another instance, or
// one of this instance whose append got no response. sentAt is when this instance
// sent that append.
func (s *State) Observe(c Claim, now, sentAt time.Duration) {
	if !s.newest.IsZero() && c.Offset <= s.newest.Offset {
		return
	}
	if c.Incarnation == s.Incarnation {
		s.RecordAcquired(c, sentAt, now)
		return
	}
	s.newest, s.seenAt, s.endedAt = c, now, 0
	if c.IsReleased {
		s.endedAt = now
	}
}

// RecordProcessEnded records that an incarnation has provably ended. It has no
// effect unless that incarnation is the newest holder.
func (s *State) RecordProcessEnded(incarnation string, now time.Duration) {
	if s.newest.Incarnation == incarnation && s.endedAt == 0 {
		s.endedAt = now
	}
}

// CanClaim reports whether this instance may claim the lease: there is none, it
// has expired or was released, or its holder has ended.
func (s *State) CanClaim(now time.Duration) bool {
	return s.newest.IsZero() || s.endedAt != 0 || now-s.seenAt >= s.LeaseDuration
}

// IsRenewalDue reports whether this instance holds the lease and should renew it.
func (s *State) IsRenewalDue(now time.Duration) bool {
	return s.IsHolder() && now-s.sentAt >= s.RenewAfter
}

// RecordAcquired records that a claim of this instance, sent at sentAt, has
// succeeded.
func (s *State) RecordAcquired(c Claim, sentAt, now time.Duration) {
	switch {
	case s.newest.IsZero():
		s.firstOrderAt = 0
	case s.IsHolder():
		// A renewal: no other instance has held the lease since the last claim.
	case s.newest.Holder == c.Holder && s.newest.Incarnation != c.Incarnation:
		// The former holder is an earlier incarnation of this instance, which has
		// ended.
		s.firstOrderAt = s.seenAt + s.newest.FirstOrderDelay
	case s.endedAt != 0:
		s.firstOrderAt = min(s.endedAt, s.seenAt+s.LeaseDuration-s.ExpiryMargin) + s.HandoverGap
	default:
		// The former holder stopped sending orders ExpiryMargin before its lease expired.
		s.firstOrderAt = s.seenAt + s.LeaseDuration - s.ExpiryMargin + s.HandoverGap
	}
	s.newest, s.sentAt, s.seenAt, s.endedAt = c, sentAt, now, 0
}

// ExpiresAt returns when this instance's lease expires, 0 if it holds none.
func (s *State) ExpiresAt() time.Duration {
	if !s.IsHolder() {
		return 0
	}
	return s.sentAt + s.LeaseDuration
}

// CanOrder reports whether this instance may send an order now.
func (s *State) CanOrder(now time.Duration) bool {
	return s.IsHolder() && now >= s.firstOrderAt && now < s.ExpiresAt()-s.ExpiryMargin
}

// FirstOrderDelay returns how long this instance must wait before its first order
// if it claims the lease now.
func (s *State) FirstOrderDelay(holder string, now time.Duration) time.Duration {
	next := *s
	next.RecordAcquired(Claim{Offset: s.newest.Offset + 1, Holder: holder, Incarnation: s.Incarnation}, now, now)
	return max(0, next.firstOrderAt-now)
}
