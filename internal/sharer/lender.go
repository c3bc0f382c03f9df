package sharer

import (
	"time"
)

// Ask is a borrower's request for what it wants from now on.
type Ask struct {
	// Borrower is the incarnation that asks.
	Borrower string
	Sequence uint64
	Want     Amount
}

// Term is the time in which an instance is the home of a shard.
type Term struct {
	// First says that nobody held the shard before.
	First bool
	// Since is when this instance read its claim back.
	Since time.Time
	// AsOf is a time at which the claim was the current one: from before the
	// log was asked for its end, which the state includes.
	AsOf time.Time
}

// mayLend says which parts of the pool may be lent.
func (t Term) mayLend(now time.Time, terms Terms) (concurrency, rate bool) {
	if now.Sub(t.AsOf) > terms.Fresh {
		return false, false
	}
	lapsed := now.Sub(t.Since)
	rateWait := terms.stretch(terms.Fresh + terms.Lease)
	return t.First || lapsed > rateWait+terms.stretch(terms.Hold), t.First || lapsed > rateWait
}

// loan is what one borrower may use of the pool.
type loan struct {
	Amount

	sequence uint64
	// Rate ends at until, Concurrency at held.
	until, held time.Time
}

func (l loan) at(now time.Time) Amount {
	a := l.Amount
	if now.After(l.until) {
		a.Rate = 0
	}
	if now.After(l.held) {
		a.Concurrency = 0
	}
	return a
}

// Lender lends the pool of one contract. Its zero value has lent nothing.
type Lender struct {
	loans map[string]loan // by borrower
}

// Lend decides on a request and returns what the borrower may use for the time
// of a lease from when it sent the request.
func (l *Lender) Lend(a Ask, lim Limits, term Term, terms Terms, now time.Time) Amount {
	others := l.lent(a.Borrower, now)
	old, known := l.loans[a.Borrower]
	if known && a.Sequence <= old.sequence {
		return Amount{}
	}
	has := old.at(now)
	grant := a.Want.atMost(lim.Pool().minus(others))
	concurrency, rate := term.mayLend(now, terms)
	if !concurrency {
		grant.Concurrency = 0
	}
	if !rate {
		grant.Rate = 0
	}
	if l.loans == nil {
		l.loans = make(map[string]loan)
	}
	// What the borrower had and asks for may still run, also if it is not granted.
	l.loans[a.Borrower] = loan{
		Amount: grant.atLeast(a.Want.atMost(has)), sequence: a.Sequence,
		until: now.Add(terms.stretch(terms.Lease)),
		held:  now.Add(terms.stretch(terms.Lease + terms.Hold)),
	}
	return grant
}

// lent returns what is lent to others, and forgets loans that have ended.
func (l *Lender) lent(but string, now time.Time) Amount {
	var sum Amount
	for b, n := range l.loans {
		if b == but {
			continue
		}
		if now.After(n.held) {
			delete(l.loans, b)
			continue
		}
		sum = sum.plus(n.at(now))
	}
	return sum
}
