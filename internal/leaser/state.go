package leaser

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// Claim is a record of the lease topic: an acquisition, renewal or release.
type Claim struct {
	// Position is the position at which the claim was appended. Its era is part of the
	// record, so that a claim from before a restore of the log is recognized.
	sequencer.Position
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
	// Appointments is what the holder has appointed, in its own encoding, so that the next
	// holder knows it also if all processes have ended. It is empty if it is not known.
	Appointments string
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

	era       int64         // newest known era of the log
	eraSeenAt time.Duration // when this instance found that era
}

// Newest returns the newest known claim.
func (s *State) Newest() Claim { return s.newest }

// ObserveEra records the era of the log.
func (s *State) ObserveEra(era int64, now time.Duration) {
	if era > s.era {
		s.era, s.eraSeenAt = era, now
	}
}

// MayMissClaims reports whether the log was restored after the newest known claim, so
// that it may have lost claims that no instance can read any more.
func (s *State) MayMissClaims() bool {
	if s.newest.IsZero() {
		return s.era > sequencer.FirstEra
	}
	return s.era > s.newest.Era
}

// IsHolder reports whether the newest claim is this instance's and not released.
func (s *State) IsHolder() bool {
	return !s.newest.IsZero() && s.newest.Incarnation == s.Incarnation && !s.newest.IsReleased
}

// Observe applies a claim that was read from the log in the given era: one of another
// instance, or one of this instance whose append got no response. sentAt is when this
// instance sent that append.
func (s *State) Observe(c Claim, era int64, now, sentAt time.Duration) {
	s.ObserveEra(era, now)
	if !s.newest.IsZero() && !c.IsAfter(s.newest.Position) {
		if c.Position == s.newest.Position && c.Incarnation == s.newest.Incarnation && s.newest.Appointments == "" {
			s.newest.Appointments = c.Appointments // peers report claims without them
		}
		return
	}
	if c.Incarnation == s.Incarnation {
		if c.Era != era {
			// The append may have arrived after the restore, at an offset that another
			// claim had before.
			return
		}
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
// has expired or was released, or its holder has ended. If claims may be missing, any
// of them may be in force until a whole lease after the restore.
func (s *State) CanClaim(now time.Duration) bool {
	if s.MayMissClaims() {
		return s.isContinuing(now) || now-s.eraSeenAt >= s.LeaseDuration
	}
	return s.newest.IsZero() || s.endedAt != 0 || now-s.seenAt >= s.LeaseDuration
}

// IsRenewalDue reports whether this instance holds the lease and should renew it: its
// claim is old, or was made in an earlier era of the log.
func (s *State) IsRenewalDue(now time.Duration) bool {
	return s.IsHolder() && (now-s.sentAt >= s.RenewAfter || s.era > s.newest.Era)
}

// isContinuing reports whether a claim of this instance that is sent at the given time
// renews the lease that it holds: no other instance can have held it since.
func (s *State) isContinuing(sentAt time.Duration) bool {
	return s.IsHolder() && (!s.MayMissClaims() || sentAt < s.ExpiresAt())
}

// RecordAcquired records that a claim of this instance, sent at sentAt, has
// succeeded.
func (s *State) RecordAcquired(c Claim, sentAt, now time.Duration) {
	switch {
	case s.isContinuing(sentAt):
	case s.MayMissClaims():
		// The holder of a missing claim sent it before the restore.
		s.firstOrderAt = s.eraSeenAt + s.LeaseDuration - s.ExpiryMargin + s.HandoverGap
	case s.newest.IsZero():
		s.firstOrderAt = 0
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

// InheritedAppointments returns the appointments for a claim at the given position by which
// another instance becomes the holder: those of the claim before it, empty if that may be
// missing.
func (s *State) InheritedAppointments(at sequencer.Position) string {
	if s.MayMissClaims() || s.newest.IsZero() || at != s.newest.Next() {
		return ""
	}
	return s.newest.Appointments
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
	next.RecordAcquired(Claim{Position: sequencer.Position{Era: s.era, Offset: s.newest.Offset + 1}, Holder: holder, Incarnation: s.Incarnation}, now, now)
	return max(0, next.firstOrderAt-now)
}
