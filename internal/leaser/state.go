package leaser

import "time"

// Claim is a record of the lease.
type Claim struct {
	// Offset is the record's place in the log, and the fencing token.
	Offset int64
	// Holder and Incarnation name the instance and the run of its process.
	Holder      string
	Incarnation string
	// Address is where the holder serves its peers.
	Address string
	// IsReleased says that the holder gives no more orders.
	IsReleased bool
	// FirstIn is how long after the claim the holder gives no order yet.
	FirstIn time.Duration
}

// IsZero reports whether there is no claim.
func (c Claim) IsZero() bool { return c.Holder == "" }

// Times of a State. All times are durations on the boot clock.
type Times struct {
	// Lease is how long a holder may give orders after it sent its claim.
	Lease time.Duration
	// Gap is the least time between the orders of two holders.
	Gap time.Duration
	// Margin is how long before its end a lease is not relied on any more.
	Margin time.Duration
	// Renew is how old a claim becomes before it is renewed.
	Renew time.Duration
}

// State is what an instance knows of the lease.
type State struct {
	Times
	Incarnation string // of this instance

	newest Claim
	seen   time.Duration // when the newest claim was first seen
	ended  time.Duration // when the newest holder was known to have ended, 0 if it is not
	sent   time.Duration // when this instance's newest claim was sent
	first  time.Duration // no order of this instance before then
}

// Newest returns the newest claim that was seen.
func (s *State) Newest() Claim { return s.newest }

// IsMine reports whether the newest claim is this instance's.
func (s *State) IsMine() bool {
	return !s.newest.IsZero() && s.newest.Incarnation == s.Incarnation && !s.newest.IsReleased
}

// Observe takes over a claim of another instance, or one of this instance that
// it did not learn the fate of; sent is when that one was sent.
func (s *State) Observe(c Claim, now, sent time.Duration) {
	if !s.newest.IsZero() && c.Offset <= s.newest.Offset {
		return
	}
	if c.Incarnation == s.Incarnation {
		s.Win(c, sent, now)
		return
	}
	s.newest, s.seen, s.ended = c, now, 0
	if c.IsReleased {
		s.ended = now
	}
}

// NoteEnded notes that the process of the newest holder has provably ended.
func (s *State) NoteEnded(incarnation string, now time.Duration) {
	if s.newest.Incarnation == incarnation && s.ended == 0 {
		s.ended = now
	}
}

// MayClaim reports whether this instance should try to take the lease: there is
// none, it has ended, or its holder has.
func (s *State) MayClaim(now time.Duration) bool {
	return s.newest.IsZero() || s.ended != 0 || now-s.seen >= s.Lease
}

// IsDue reports whether this instance's claim should be renewed.
func (s *State) IsDue(now time.Duration) bool {
	return s.IsMine() && now-s.sent >= s.Renew
}

// Win notes that a claim of this instance has succeeded, which was sent at sent.
func (s *State) Win(c Claim, sent, now time.Duration) {
	switch {
	case s.newest.IsZero():
		s.first = 0
	case s.IsMine():
		// A renewal: nobody else has held the lease between the two.
	case s.newest.Holder == c.Holder && s.newest.Incarnation != c.Incarnation:
		// An earlier run of this instance's process, which has ended.
		s.first = s.seen + s.newest.FirstIn
	case s.ended != 0:
		s.first = min(s.ended, s.seen+s.Lease-s.Margin) + s.Gap
	default:
		// The former holder gave its last order before the margin of its lease.
		s.first = s.seen + s.Lease - s.Margin + s.Gap
	}
	s.newest, s.sent, s.seen, s.ended = c, sent, now, 0
}

// Until returns when this instance's lease ends, 0 if it has none.
func (s *State) Until() time.Duration {
	if !s.IsMine() {
		return 0
	}
	return s.sent + s.Lease
}

// MayOrder reports whether this instance may give an order now.
func (s *State) MayOrder(now time.Duration) bool {
	return s.IsMine() && now >= s.first && now < s.Until()-s.Margin
}

// FirstIn returns how long this instance, if it claims the lease now, gives no
// order yet.
func (s *State) FirstIn(holder string, now time.Duration) time.Duration {
	next := *s
	next.Win(Claim{Offset: s.newest.Offset + 1, Holder: holder, Incarnation: s.Incarnation}, now, now)
	return max(0, next.first-now)
}
