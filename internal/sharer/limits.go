package sharer

import (
	"time"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// BaseDivisor is the part of a contract that is given out as base shares: one
// in BaseDivisor. The rest is lent.
const BaseDivisor = 4

// DefaultMaxEntries is the most entry instances if the policy names none.
const DefaultMaxEntries = 8

// Terms are the durations of lending.
type Terms struct {
	// Lease is how long a lease is valid.
	Lease time.Duration
	// Fresh is how long a lender trusts that its claim is the current one.
	Fresh time.Duration
	// Hold is the longest time that a request runs on after its lease has ended.
	Hold time.Duration
	// Drift is how much faster one clock may run than another, as a part of one.
	Drift float64
}

// DefaultTerms are the terms in use.
var DefaultTerms = Terms{Lease: 2 * time.Second, Fresh: 2 * time.Second, Hold: 60 * time.Second, Drift: 0.02}

// stretch returns a duration that is over here only after d is over elsewhere.
func (t Terms) stretch(d time.Duration) time.Duration {
	return d + time.Duration(t.Drift*float64(d))
}

// Amount is a part of a contract.
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

// atMost returns the lesser of both in each part, and nothing below zero.
func (a Amount) atMost(b Amount) Amount {
	return Amount{max(0, min(a.Concurrency, b.Concurrency)), max(0, min(a.Rate, b.Rate))}
}

func (a Amount) atLeast(b Amount) Amount {
	return Amount{max(a.Concurrency, b.Concurrency), max(a.Rate, b.Rate)}
}

// Limits are the limits of a contract. Zero means no limit.
type Limits struct {
	Amount

	// Entries is the most entry instances that run at once.
	Entries int
	// Divisor is BaseDivisor unless set.
	Divisor int
}

// LimitsOf returns the limits of a contract under a policy.
func LimitsOf(c *recordv1.Contract, p *recordv1.Policy) Limits {
	l := Limits{
		Amount:  Amount{int(c.GetConcurrency()), c.GetRequestsPerSecond()},
		Entries: int(p.GetMaxEntries()),
	}
	if l.Entries == 0 {
		l.Entries = DefaultMaxEntries
	}
	return l
}

// Base returns the share of each instance that needs nobody.
func (l Limits) Base() Amount {
	d := l.Divisor
	if d == 0 {
		d = BaseDivisor
	}
	n := l.Entries * d
	return Amount{l.Concurrency / n, l.Rate / float64(n)}
}

// Pool returns what is lent.
func (l Limits) Pool() Amount {
	b := l.Base()
	return Amount{l.Concurrency - l.Entries*b.Concurrency, l.Rate - float64(l.Entries)*b.Rate}
}
