package sharer

import (
	"time"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// BaseDivisor divides a contract: 1/BaseDivisor of it is used as base shares. The
// rest is lent.
const BaseDivisor = 4

// DefaultMaxEntries is the maximum number of entry instances if the policy sets
// none.
const DefaultMaxEntries = 8

// Timing holds the durations of lending.
type Timing struct {
	// LeaseDuration is how long a lease is valid.
	LeaseDuration time.Duration
	// MaxClaimAge is how long a lender may lend after its claim was confirmed to be
	// the current one.
	MaxClaimAge time.Duration
	// MaxOverrun is the maximum time for which a request may continue after its
	// lease has ended.
	MaxOverrun time.Duration
	// ClockDrift is how much faster one clock may run than another, as a fraction.
	ClockDrift float64
}

// DefaultTiming is the timing in use.
var DefaultTiming = Timing{LeaseDuration: 2 * time.Second, MaxClaimAge: 2 * time.Second, MaxOverrun: 10 * time.Second, ClockDrift: 0.02}

// stretch returns a duration that ends on this instance's clock only after d has
// ended on every other clock.
func (t Timing) stretch(d time.Duration) time.Duration {
	return d + time.Duration(t.ClockDrift*float64(d))
}

// Amount is an amount of a contract's concurrency and request rate.
type Amount struct {
	Concurrency int
	// Rate is in requests per second.
	Rate float64
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.Concurrency + b.Concurrency, a.Rate + b.Rate}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{a.Concurrency - b.Concurrency, a.Rate - b.Rate}
}

// atMost returns the minimum of both amounts by component, and at least zero.
func (a Amount) atMost(b Amount) Amount {
	return Amount{max(0, min(a.Concurrency, b.Concurrency)), max(0, min(a.Rate, b.Rate))}
}

// atLeast returns the maximum of both amounts by component.
func (a Amount) atLeast(b Amount) Amount {
	return Amount{max(a.Concurrency, b.Concurrency), max(a.Rate, b.Rate)}
}

// Limits are the limits of a contract. Zero means no limit.
type Limits struct {
	Amount

	// MaxEntries is the maximum number of entry instances that run at the same
	// time.
	MaxEntries int
	// Divisor divides the contract into base shares and pool. Zero means
	// BaseDivisor.
	Divisor int
}

// LimitsOf returns the limits of a contract under a policy.
func LimitsOf(c *recordv1.Contract, p *recordv1.Policy) Limits {
	l := Limits{
		Amount:     Amount{int(c.GetConcurrency()), c.GetRequestsPerSecond()},
		MaxEntries: int(p.GetMaxEntries()),
	}
	if l.MaxEntries == 0 {
		l.MaxEntries = DefaultMaxEntries
	}
	return l
}

// BaseShare returns the share that each instance uses without a lease.
func (l Limits) BaseShare() Amount {
	d := l.Divisor
	if d == 0 {
		d = BaseDivisor
	}
	n := l.MaxEntries * d
	return Amount{l.Concurrency / n, l.Rate / float64(n)}
}

// Pool returns the amount that may be lent: the limits without the base shares.
func (l Limits) Pool() Amount {
	b := l.BaseShare()
	return Amount{l.Concurrency - l.MaxEntries*b.Concurrency, l.Rate - float64(l.MaxEntries)*b.Rate}
}
