package sharer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Borrower is one instance's share of one contract. Its zero value has no limits
// and no lease.
type Borrower struct {
	Limits Limits

	leased    Amount
	leaseEnd  time.Time
	sequence  uint64    // of the newest request
	requested Amount    // by the newest request
	sentAt    time.Time // of the newest request
	inUse     int
	coveredAt time.Time // when the share last covered the running requests
	limiter   *rate.Limiter
}

// Share returns the amount that the instance may use now.
func (b *Borrower) Share(now time.Time) Amount {
	s := b.Limits.BaseShare()
	if now.Before(b.leaseEnd) {
		s = s.plus(b.leased)
	}
	return s
}

// HasUnit reports whether the concurrency allows one more request.
func (b *Borrower) HasUnit(now time.Time) bool {
	return b.Limits.Concurrency == 0 || b.inUse < b.Share(now).Concurrency
}

// RateDelay returns the time until the rate of the current share allows one more
// request. Zero means that it allows one now.
func (b *Borrower) RateDelay(now time.Time) time.Duration {
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
	missingTokens := 1 - b.limiter.TokensAt(now)
	if missingTokens <= 0 {
		return 0
	}
	return max(time.Microsecond, time.Duration(missingTokens/r*float64(time.Second)))
}

// Acquire counts a request that starts now.
func (b *Borrower) Acquire(now time.Time) {
	b.inUse++
	if b.limiter != nil {
		b.limiter.AllowN(now, 1)
	}
}

// Excess returns how many requests must end now: those that exceed the share
// after it has been exceeded for maxOverrun. It must be called several times
// within maxOverrun, because each call notes whether the share covers the running
// requests.
func (b *Borrower) Excess(now time.Time, maxOverrun time.Duration) int {
	excess := b.inUse - b.Share(now).Concurrency
	if b.Limits.Concurrency == 0 || excess <= 0 || b.coveredAt.IsZero() {
		b.coveredAt = now
		return 0
	}
	if now.Sub(b.coveredAt) < maxOverrun {
		return 0
	}
	return excess
}

// Release counts the end of a request.
func (b *Borrower) Release() {
	b.inUse--
}

// InUse returns the number of running requests.
func (b *Borrower) InUse() int {
	return b.inUse
}

// burst returns how many requests may start at once: those of one second.
func burst(r float64) int {
	return max(1, int(math.Floor(r)))
}

// NextRequest returns the lease request for the wanted amount beyond the base
// share, and releases the rest of the current lease at once.
func (b *Borrower) NextRequest(self string, wanted Amount, now time.Time) LeaseRequest {
	base := b.Limits.BaseShare()
	wanted.Concurrency = max(wanted.Concurrency, b.inUse)
	wanted = wanted.minus(base).atMost(b.Limits.Pool())
	b.leased = b.leased.atMost(wanted)
	b.sequence++
	b.requested, b.sentAt = wanted, now
	return LeaseRequest{Borrower: self, Sequence: b.sequence, Want: wanted}
}

// ApplyGrant applies the reply to a request, if that is the newest one.
func (b *Borrower) ApplyGrant(sequence uint64, lent Amount, valid time.Duration) {
	if sequence != b.sequence {
		return
	}
	b.leased = lent.atMost(b.requested)
	b.leaseEnd = b.sentAt.Add(valid)
}
