package sharer

import (
	"time"
)

// LeaseRequest is a borrower's request for the amount that it wants from now on.
type LeaseRequest struct {
	// Borrower is the incarnation of the borrowing instance.
	Borrower string
	Sequence uint64
	// Want is the wanted amount beyond the base share.
	Want Amount
}

// Term is the period in which an instance is the home of a shard.
type Term struct {
	// IsFirst is true if no instance held the shard before.
	IsFirst bool
	// ClaimReadAt is when this instance read its claim back.
	ClaimReadAt time.Time
	// ConfirmedAt is a time at which the claim was the current one. It is taken
	// before the request for the end of the log, which the state then includes.
	ConfirmedAt time.Time
}

// canLend reports whether the concurrency and the rate of the pool may be lent.
func (t Term) canLend(now time.Time, timing Timing) (concurrency, rate bool) {
	if now.Sub(t.ConfirmedAt) > timing.MaxClaimAge {
		return false, false
	}
	elapsed := now.Sub(t.ClaimReadAt)
	rateWait := timing.stretch(timing.MaxClaimAge + timing.LeaseDuration)
	return t.IsFirst || elapsed > rateWait+timing.stretch(timing.MaxOverrun), t.IsFirst || elapsed > rateWait
}

// loan is the amount of the pool that one borrower may use.
type loan struct {
	Amount

	sequence                uint64
	rateEnd, concurrencyEnd time.Time
}

// at returns the part of the loan that has not ended.
func (l loan) at(now time.Time) Amount {
	a := l.Amount
	if now.After(l.rateEnd) {
		a.Rate = 0
	}
	if now.After(l.concurrencyEnd) {
		a.Concurrency = 0
	}
	return a
}

// Lender lends the pool of one contract. Its zero value has lent nothing.
type Lender struct {
	loans map[string]loan // by the borrower's incarnation
}

// Lend returns the amount that the borrower may use for the duration of a lease
// from when it sent the request. It lends nothing for a request that is not newer
// than the last one.
func (l *Lender) Lend(req LeaseRequest, lim Limits, term Term, timing Timing, now time.Time) Amount {
	others := l.lentToOthers(req.Borrower, now)
	old, isKnown := l.loans[req.Borrower]
	if isKnown && req.Sequence <= old.sequence {
		return Amount{}
	}
	held := old.at(now)
	grant := req.Want.atMost(lim.Pool().minus(others))
	canLendConcurrency, canLendRate := term.canLend(now, timing)
	if !canLendConcurrency {
		grant.Concurrency = 0
	}
	if !canLendRate {
		grant.Rate = 0
	}
	if l.loans == nil {
		l.loans = make(map[string]loan)
	}
	// Requests that the borrower runs on an earlier loan may continue up to the
	// amount that it requests, even if that is not granted.
	l.loans[req.Borrower] = loan{
		Amount: grant.atLeast(req.Want.atMost(held)), sequence: req.Sequence,
		rateEnd:        now.Add(timing.stretch(timing.LeaseDuration)),
		concurrencyEnd: now.Add(timing.stretch(timing.LeaseDuration + timing.MaxOverrun)),
	}
	return grant
}

// lentToOthers returns the amount that is lent to all other borrowers, and removes
// their loans that have ended.
func (l *Lender) lentToOthers(borrower string, now time.Time) Amount {
	var sum Amount
	for b, loan := range l.loans {
		if b == borrower {
			continue
		}
		if now.After(loan.concurrencyEnd) {
			delete(l.loans, b)
			continue
		}
		sum = sum.plus(loan.at(now))
	}
	return sum
}
