package sharer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Borrower is one instance's share of one contract. Its zero value has the
// base share of no contract.
type Borrower struct {
	Limits Limits

	leased   Amount
	until    time.Time
	sequence uint64
	asked    Amount
	sent     time.Time
	inUse    int
	covered  time.Time // when the share last covered what runs
	limiter  *rate.Limiter
}

// Share returns what the instance may use now.
func (b *Borrower) Share(now time.Time) Amount {
	s := b.Limits.Base()
	if now.Before(b.until) {
		s = s.plus(b.leased)
	}
	return s
}

// HasUnit reports whether one more request may run by the concurrency.
func (b *Borrower) HasUnit(now time.Time) bool {
	return b.Limits.Concurrency == 0 || b.inUse < b.Share(now).Concurrency
}

// Wait returns how long it takes until the rate allows one more request at the
// present share, zero for now.
func (b *Borrower) Wait(now time.Time) time.Duration {
	if b.Limits.Rate == 0 {
		return 0
	}
	r := b.Share(now).Rate
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(r), burst(r))
	}
	if b.limiter.Limit() != rate.Limit(r) {
		b.limiter.SetLimitAt(now, rate.Limit(r))
		b.limiter.SetBurstAt(now, burst(r))
	}
	missing := 1 - b.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(time.Microsecond, time.Duration(missing/r*float64(time.Second)))
}

// Take counts a request that runs from now on.
func (b *Borrower) Take(now time.Time) {
	b.inUse++
	if b.limiter != nil {
		b.limiter.AllowN(now, 1)
	}
}

// Excess returns how many requests must end now: those that the share has not
// covered for the longest time that it may be exceeded. It must be called
// several times in that time.
func (b *Borrower) Excess(now time.Time, hold time.Duration) int {
	over := b.inUse - b.Share(now).Concurrency
	if b.Limits.Concurrency == 0 || over <= 0 || b.covered.IsZero() {
		b.covered = now
		return 0
	}
	if now.Sub(b.covered) < hold {
		return 0
	}
	return over
}

// Give counts the end of a request.
func (b *Borrower) Give() {
	b.inUse--
}

// InUse returns how many requests run.
func (b *Borrower) InUse() int {
	return b.inUse
}

// burst is how many requests may come at once: those of one second.
func burst(r float64) int {
	return max(1, int(math.Floor(r)))
}

// Ask returns the request for what is wanted beyond the base share, and gives
// up the rest at once.
func (b *Borrower) Ask(self string, want Amount, now time.Time) Ask {
	base := b.Limits.Base()
	want.Concurrency = max(want.Concurrency, b.inUse)
	want = want.minus(base).atMost(b.Limits.Pool())
	b.leased = b.leased.atMost(want)
	b.sequence++
	b.asked, b.sent = want, now
	return Ask{Borrower: self, Sequence: b.sequence, Want: want}
}

// Grant takes over the reply to the newest request.
func (b *Borrower) Grant(sequence uint64, lent Amount, valid time.Duration) {
	if sequence != b.sequence {
		return
	}
	b.leased = lent.atMost(b.asked)
	b.until = b.sent.Add(valid)
}
