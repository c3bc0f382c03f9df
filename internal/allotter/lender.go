package allotter

import (
	"math"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
)

const (
	// minPartialRatio is the least part of a requested amount that is lent. A borrower that
	// learns what each lender has left requests just that, if it adds up to what it needs.
	// Smaller loans would leave the quota in pieces at many instances, none of which can use
	// its piece.
	minPartialRatio = 0.75
	// borrowerTTL is how long a lender keeps the number of the last request of a borrower.
	// What a request returns has expired by then.
	borrowerTTL = 2 * time.Minute
	// unknownRetry is when a borrower may repeat a request for an account that the lender does not
	// know, or knows without a limit, because their configurations differ.
	unknownRetry = 250 * time.Millisecond
)

// Loan is what a borrower requests of a quota, or what a lender lends.
type Loan struct {
	Account string
	Amount  float64
	// Returned is what was not used of the loans since ReturnedStamp.
	Returned      float64
	ReturnedStamp time.Duration
	// Retry is the time after which the lender expects to have the amount that it has not
	// lent.
	Retry time.Duration
	// Left is what the lender has left, if it has lent less than was requested.
	Left float64
}

// Request is a message of a borrower to a lender.
type Request struct {
	Borrower string // incarnation
	Sequence uint64
	// Lender is the incarnation of the lender.
	Lender string
	Loans  []Loan
}

// Response is a lender's response. It lends nothing unless IsLender is set.
type Response struct {
	IsLender bool
	Loans    []Loan
	// Validity is how long the loans are valid, from when the request was sent.
	Validity time.Duration
	// Stamp is the lender's time of the loans.
	Stamp time.Duration
}

// Lender lends parts of the quotas of accounts. Its zero value has no parts.
type Lender struct {
	Bounds Bounds

	parts     int
	begunAt   time.Duration
	buckets   map[string]*bucket
	borrowers map[string]borrowerState
	sweptAt   time.Duration
}

type borrowerState struct {
	sequence uint64
	at       time.Duration
}

// bucket is the lent and the remaining quota of one account.
type bucket struct {
	terms
	quota authenticator.Quota
	level float64
	at    time.Duration
	used  usage
	// unmet is what borrowers lacked lately. It falls at the rate of the quota.
	unmet decaying
	// scale is the factor by which the counts of use were reduced, the last time at scaledAt,
	// because the limit was lowered. 0 if they were not.
	scale    float64
	scaledAt time.Duration
}

// Begin makes the lender lend a number of parts, from empty buckets. A number of 0 ends
// lending.
func (l *Lender) Begin(parts int, now time.Duration) {
	l.parts, l.begunAt, l.buckets = parts, now, nil
}

// SetParts changes the number of parts without a break.
func (l *Lender) SetParts(parts int, now time.Duration) {
	if parts == l.parts {
		return
	}
	if l.parts == 0 || parts == 0 {
		l.Begin(parts, now)
		return
	}
	l.parts = parts
	for _, b := range l.buckets {
		b.set(b.quota, l.Bounds, parts, now)
	}
}

// Parts returns the number of parts that are lent.
func (l *Lender) Parts() int { return l.parts }

// Lend responds to a request. quotaOf returns the quota of an account in the newest known
// configuration.
func (l *Lender) Lend(r Request, quotaOf func(account string) (authenticator.Quota, bool), now time.Duration) Response {
	if l.parts == 0 {
		return Response{}
	}
	l.sweep(now)
	out := Response{IsLender: true, Validity: maxValidity, Stamp: now}
	last, isKnown := l.borrowers[r.Borrower]
	if isKnown && r.Sequence <= last.sequence {
		return out
	}
	if l.borrowers == nil {
		l.borrowers = make(map[string]borrowerState)
	}
	l.borrowers[r.Borrower] = borrowerState{r.Sequence, now}
	for _, x := range r.Loans {
		if b := l.bucketOf(x.Account, quotaOf, now); b != nil && isAmount(x.Returned) && x.ReturnedStamp >= l.begunAt {
			b.takeBack(x.Returned, x.ReturnedStamp, now)
		}
	}
	for _, x := range r.Loans {
		if !isAmount(x.Amount) {
			continue
		}
		b := l.bucketOf(x.Account, quotaOf, now)
		if b == nil {
			out.Loans = append(out.Loans, Loan{Account: x.Account, Retry: unknownRetry})
			continue
		}
		loan := b.lend(x.Amount, now)
		loan.Account = x.Account
		out.Loans = append(out.Loans, loan)
		out.Validity = min(out.Validity, b.validity)
	}
	return out
}

func isAmount(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

// bucketOf returns the bucket of an account, nil if the account has no limit.
func (l *Lender) bucketOf(account string, quotaOf func(string) (authenticator.Quota, bool), now time.Duration) *bucket {
	q, ok := quotaOf(account)
	if !ok || !q.IsLimited() {
		return nil
	}
	b := l.buckets[account]
	if b == nil {
		if l.buckets == nil {
			l.buckets = make(map[string]*bucket)
		}
		b = &bucket{at: l.begunAt}
		l.buckets[account] = b
	}
	if b.quota != q {
		b.set(q, l.Bounds, l.parts, now)
	}
	b.refill(now)
	return b
}

// sweep removes what has no effect any more: full buckets without use in the window, and
// borrowers that have sent no request for long.
func (l *Lender) sweep(now time.Duration) {
	if now-l.sweptAt < borrowerTTL/4 {
		return
	}
	l.sweptAt = now
	for name, b := range l.buckets {
		if b.refill(now); b.level >= b.burst && b.used.sum(now) == 0 && now-l.begunAt > borrowerTTL {
			delete(l.buckets, name)
		}
	}
	for name, s := range l.borrowers {
		if now-s.at > borrowerTTL {
			delete(l.borrowers, name)
		}
	}
}

// set applies another quota or number of parts. What was lent before a limit is lowered
// counts in proportion, so that lending goes on. If the limit is raised again within a
// window, it counts in full again.
func (b *bucket) set(q authenticator.Quota, bounds Bounds, parts int, now time.Duration) {
	old := b.terms
	if old.rate > 0 {
		b.refill(now)
	}
	b.quota, b.terms = q, bounds.termsOf(q).part(parts)
	b.used.resize(b.windowTime)
	if old.window <= 0 {
		return
	}
	if b.scale == 0 || now-b.scaledAt > b.windowTime+slotTime {
		b.scale = 1
	}
	ratio := b.window / old.window
	b.level *= min(1, ratio)
	if ratio < 1 {
		b.scaledAt = now
	} else {
		ratio = min(ratio, 1/b.scale)
	}
	b.scale *= ratio
	b.used.scale(ratio)
}

func (b *bucket) refill(now time.Duration) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// takeBack adds what was returned of a loan.
func (b *bucket) takeBack(amount float64, stamp, now time.Duration) {
	if stamp <= now && b.used.remove(amount, stamp, now) {
		b.level = min(b.burst, b.level+amount)
	}
}

// lend lends up to the amount. The time until the rest could be lent includes what others
// lack. It is bounded by a quarter of the burst, so that the bucket does not overflow before borrowers
// send another request.
func (b *bucket) lend(amount float64, now time.Duration) Loan {
	room := max(0, min(b.level, b.window-b.used.sum(now)))
	lent := min(amount, room)
	if lent < minPartialRatio*amount {
		lent = 0
	}
	b.level -= lent
	b.used.add(lent, now)
	out := Loan{Amount: lent}
	if lent < amount && b.rate > 0 {
		b.unmet.decay(now, b.rate)
		out.Left = room - lent
		out.Retry = max(time.Millisecond, seconds((amount-room+b.unmet.amount)/b.rate))
		b.unmet.amount = min(b.unmet.amount+amount-lent, b.burst/4)
	}
	return out
}
