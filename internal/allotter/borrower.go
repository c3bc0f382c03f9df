package allotter

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
)

const (
	// maxLenders bounds the lenders that a borrower knows.
	maxLenders = NumParts + 1
	// LendTimeout is how long a borrower waits for the response of a lender, and skipTime how
	// long it then sends that lender no request for an account.
	LendTimeout = 150 * time.Millisecond
	skipTime    = time.Second
	// slowTime is the response time above which the request is also sent to another
	// lender. It is several times the time of an exchange between data centres.
	slowTime = 25 * time.Millisecond
	// minMessageGap is the least time between two messages to a lender. Requests that
	// arrive meanwhile are in the same message.
	minMessageGap = 3 * time.Millisecond
	// shortageGap is the least time between two requests for an account to a lender that had
	// too little. Otherwise a load of several times a quota causes a message for each request at
	// each instance, which a lender on a small machine cannot process.
	shortageGap = 100 * time.Millisecond
	// maxWaiting bounds the requests of an account that wait for quota at an instance. The others
	// are refused at once: what is lent within the wait is enough for a few.
	maxWaiting = 4
	// maxReturnDelay is how long what was not used is kept for the next message to its
	// lender, before a message is sent for it alone.
	maxReturnDelay = 200 * time.Millisecond
	// minAskRatio is the least part of a request's cost for which a lender is asked.
	minAskRatio = 0.1
	// balanceTTL is how long the balance of an account without requests is kept.
	balanceTTL = time.Minute
)

// LenderInfo is an instance that lends a number of parts.
type LenderInfo struct {
	Instance, Incarnation, Address string
	Parts                          int
}

// Message is a request to the lender at an address. The response, or the failure, is
// applied with Number.
type Message struct {
	Request
	Address string
	Number  uint32
}

// Borrower has the balances of one instance. Its exported fields must be set before use.
type Borrower struct {
	Instance, Incarnation string
	Bounds                Bounds

	accounts map[string]*balance
	lenders  []*lender
	// instances is the greatest number of instances that was known. It does not fall, so
	// that instances that are cut off from each other do not enlarge their base shares.
	instances  int
	lastNumber uint32
	sweptAt    time.Duration
}

// lender is what a borrower knows of a lender.
type lender struct {
	LenderInfo
	number     uint32
	sequence   uint64
	isInFlight bool
	sentAt     time.Duration
	// isSuspect reports that the last message failed. The lender gets no request for an
	// account until it has responded again.
	isSuspect   bool
	skipUntil   time.Duration
	hasAnswered bool
	answeredAt  time.Duration
}

// isSlow reports whether the lender takes longer than usual to respond.
func (l *lender) isSlow(now time.Duration) bool { return l.isInFlight && now-l.sentAt >= slowTime }

// SetLenders sets the lenders and the number of instances, this one included.
func (x *Borrower) SetLenders(list []LenderInfo, instances int) {
	x.instances = max(x.instances, instances)
	lenders := make([]*lender, 0, len(list))
	for _, info := range list[:min(len(list), maxLenders)] {
		i := slices.IndexFunc(x.lenders, func(l *lender) bool { return l.Incarnation == info.Incarnation })
		if i < 0 {
			x.lastNumber++
			lenders = append(lenders, &lender{LenderInfo: info, number: x.lastNumber})
			continue
		}
		l := x.lenders[i]
		l.LenderInfo = info
		lenders = append(lenders, l)
	}
	x.lenders = lenders
	for _, b := range x.accounts {
		b.setLenders(lenders)
	}
}

func (x *Borrower) lenderOf(number uint32) *lender {
	for _, l := range x.lenders {
		if l.number == number {
			return l
		}
	}
	return nil
}

// balanceOf returns the balance of an account, with its quota in force.
func (x *Borrower) balanceOf(a *authenticator.Account, now time.Duration) *balance {
	b := x.accounts[a.Name]
	if b == nil {
		if x.accounts == nil {
			x.accounts = make(map[string]*balance)
		}
		b = &balance{name: a.Name, preference: xxhash.Sum64String(x.Instance + "/" + a.Name)}
		b.setLenders(x.lenders)
		x.accounts[a.Name] = b
	}
	if b.quota != a.Quota {
		b.quota, b.terms = a.Quota, x.Bounds.termsOf(a.Quota)
	}
	b.usedAt = now
	return b
}

// Take charges a request to the balance of its account. It reports false if the balance is
// too small; then Wait may be called.
func (x *Borrower) Take(a *authenticator.Account, cost float64, now time.Duration) (Charge, bool) {
	b := x.balanceOf(a, now)
	b.demand.add(cost, now)
	if len(b.waiting) > 0 {
		return Charge{}, false
	}
	return b.charge(cost, now)
}

// NeedsMore reports whether an account's balance should be raised before it is used up.
func (x *Borrower) NeedsMore(a *authenticator.Account, now time.Duration) bool {
	b := x.accounts[a.Name]
	return b != nil && b.wanted(now) > 0
}

// Renew returns the charge if it is still valid. Otherwise it gives the charge back and
// charges the request again. It reports false if the balance is too small.
func (x *Borrower) Renew(a *authenticator.Account, c Charge, now time.Duration) (Charge, bool) {
	if now < c.expires {
		return c, true
	}
	x.GiveBack(a, c, now)
	return x.balanceOf(a, now).charge(c.cost, now)
}

// GiveBack gives a charge back of a request that has not run.
func (x *Borrower) GiveBack(a *authenticator.Account, c Charge, now time.Duration) {
	b := x.balanceOf(a, now)
	for _, p := range c.parts[:c.numParts] {
		switch {
		case p.lender == 0:
			b.base = min(b.base+p.amount, b.baseCap(x.instances))
		case now < c.expires:
			b.addLoan(loan{lender: p.lender, amount: p.amount, stamp: p.stamp, expires: c.expires}, now)
		default:
			b.addReturn(p.lender, p.amount, p.stamp, now)
		}
	}
	x.settle(b, now)
}

// Wait makes a request wait for quota until a time. notify is called once, possibly before
// Wait returns, and must not block. A request that was charged before, and whose charge
// has expired while it waited for an upstream, goes before the others.
func (x *Borrower) Wait(a *authenticator.Account, cost float64, wasCharged bool, until, now time.Duration, notify func(Charge, *Shortage)) *Ticket {
	b := x.balanceOf(a, now)
	t := &Ticket{cost: cost, until: until, notify: notify}
	if !wasCharged && len(b.waiting) >= maxWaiting {
		notify(Charge{}, x.shortage(b, cost, now))
		return t
	}
	if wasCharged {
		b.waiting = slices.Insert(b.waiting, 0, t)
	} else {
		b.waiting = append(b.waiting, t)
	}
	x.settle(b, now)
	return t
}

// Cancel ends the wait of a request whose client has left. If it was charged already, that
// has to be given back.
func (x *Borrower) Cancel(a *authenticator.Account, t *Ticket) {
	if b := x.accounts[a.Name]; b != nil {
		b.waiting = slices.DeleteFunc(b.waiting, func(o *Ticket) bool { return o == t })
	}
}

// settle charges or refuses the waiting requests of an account, in their order, up to the
// first that may still get quota.
func (x *Borrower) settle(b *balance, now time.Duration) {
	for len(b.waiting) > 0 {
		t := b.waiting[0]
		c, ok := b.charge(t.cost, now)
		if !ok {
			if now < t.until && x.mayCome(b, t.cost, now) {
				return
			}
			c, ok = b.chargeBase(t.cost, x.hasLender(), x.instances, now)
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		if ok {
			t.notify(c, nil)
			continue
		}
		t.notify(Charge{}, x.shortage(b, t.cost, now))
		b.releaseUnused(now)
	}
}

func (x *Borrower) hasLender() bool {
	return slices.ContainsFunc(x.lenders, func(l *lender) bool { return !l.isSuspect && l.hasAnswered })
}

// mayCome reports whether the lenders may have what a request needs.
func (x *Borrower) mayCome(b *balance, cost float64, now time.Duration) bool {
	sum := b.valid(now)
	for _, l := range x.lenders {
		o := b.offerOf(l.number)
		switch {
		case l.isSuspect || o == nil:
		case l.isInFlight && o.asked > 0:
			return true
		default:
			if e := b.estimate(o, l, now); e >= minAskRatio*cost {
				sum += e
			}
		}
	}
	return sum >= cost-epsilon
}

// shortage returns why a request is refused, and when it would fit.
func (x *Borrower) shortage(b *balance, cost float64, now time.Duration) *Shortage {
	s := &Shortage{Retry: skipTime, Balance: b.valid(now)}
	sum, rate := s.Balance, 0.0
	for _, l := range x.lenders {
		o := b.offerOf(l.number)
		if l.isSuspect || !l.hasAnswered || o == nil {
			continue
		}
		if age := now - l.answeredAt; !s.HasAnswer || age < s.AnswerAge {
			s.AnswerAge = age
		}
		s.HasAnswer = true
		sum += b.estimate(o, l, now)
		rate += b.terms.part(l.Parts).rate
	}
	b.backlog.decay(now, b.terms.rate)
	if s.HasAnswer && rate > 0 {
		s.Retry = max(minMessageGap, seconds((cost-sum+b.backlog.amount)/rate))
	}
	b.backlog.amount += cost
	return s
}

// Messages returns the messages to send now. Each must be answered with Apply.
func (x *Borrower) Messages(now time.Duration) []Message {
	x.sweep(now)
	requests := make(map[uint32][]Loan)
	for _, b := range x.accounts {
		x.request(b, requests, now)
	}
	var out []Message
	for _, l := range x.lenders {
		isProbe := l.isSuspect && now >= l.skipUntil
		if !x.canSend(l, now) || !isProbe && len(requests[l.number]) == 0 && !x.hasOldReturns(l, now) {
			continue
		}
		loans := requests[l.number]
		for _, b := range x.accounts {
			loans = b.attachReturns(l.number, loans)
		}
		l.sequence++
		l.isInFlight, l.sentAt = true, now
		out = append(out, Message{
			Request: Request{Borrower: x.Incarnation, Sequence: l.sequence, Lender: l.Incarnation, Loans: loans}, Address: l.Address, Number: l.number,
		})
	}
	return out
}

func (x *Borrower) canSend(l *lender, now time.Duration) bool {
	return !l.isInFlight && now >= l.skipUntil && (l.sentAt == 0 || now-l.sentAt >= minMessageGap)
}

// request divides the amount that an account needs among the lenders that may have it, starting
// with the first by hash.
func (x *Borrower) request(b *balance, out map[uint32][]Loan, now time.Duration) {
	wanted := b.wanted(now)
	if wanted <= 0 {
		return
	}
	_, least := b.demand.per(0, now) // the mean cost, if no request waits
	if cost := b.nextCost(); cost > 0 {
		if !x.mayCome(b, cost, now) {
			return
		}
		least = minAskRatio * cost
	}
	for _, l := range x.lenders {
		if o := b.offerOf(l.number); o != nil && l.isInFlight && !l.isSlow(now) {
			wanted -= o.asked
		}
	}
	for i := range x.lenders {
		l := x.lenders[(int(b.preference%uint64(len(x.lenders)))+i)%len(x.lenders)]
		o := b.offerOf(l.number)
		if wanted <= epsilon {
			return
		}
		if l.isSuspect || o == nil || now < o.askAt || !x.canSend(l, now) {
			continue
		}
		estimate := b.estimate(o, l, now)
		if estimate <= 0 || estimate < least {
			continue
		}
		o.asked = min(wanted, estimate)
		wanted -= o.asked
		out[l.number] = append(out[l.number], Loan{Account: b.name, Amount: o.asked})
	}
}

func (x *Borrower) hasOldReturns(l *lender, now time.Duration) bool {
	if l.isSuspect {
		return false
	}
	for _, b := range x.accounts {
		b.expire(now)
		if o := b.offerOf(l.number); o != nil && o.returned > 0 && (o.isReturnUrgent || now-o.returnedSince >= maxReturnDelay) {
			return true
		}
	}
	return false
}

// Apply applies the response to a message, or its failure if r is nil.
func (x *Borrower) Apply(number uint32, sequence uint64, r *Response, now time.Duration) {
	l := x.lenderOf(number)
	if l == nil || !l.isInFlight || sequence != l.sequence {
		return
	}
	l.isInFlight = false
	if r == nil || !r.IsLender {
		l.isSuspect, l.skipUntil = true, now+skipTime
	} else {
		l.isSuspect, l.hasAnswered, l.answeredAt = false, true, now
	}
	byAccount := make(map[string]Loan)
	if !l.isSuspect {
		for _, loan := range r.Loans {
			byAccount[loan.Account] = loan
		}
	}
	for _, b := range x.accounts {
		o := b.offerOf(number)
		if o == nil || o.asked == 0 {
			continue
		}
		asked := o.asked
		o.asked = 0
		if l.isSuspect {
			continue
		}
		got := byAccount[b.name]
		amount := min(got.Amount, asked)
		if amount > 0 && !math.IsNaN(amount) {
			b.addLoan(loan{number, amount, r.Stamp, l.sentAt + min(r.Validity, maxValidity)}, now)
		}
		o.isKnown = amount < asked-epsilon
		o.share = min(1, 2*o.share)
		if o.isKnown {
			o.share = max(minShare, o.share/2)
			o.left, o.at, o.askAt = got.Left, now, now+shortageGap
			if rate := b.terms.part(l.Parts).rate; rate > 0 {
				o.at += got.Retry - seconds((asked-amount-got.Left)/rate)
			}
		}
	}
	x.Tick(now)
}

// Tick charges or refuses the waiting requests of all accounts.
func (x *Borrower) Tick(now time.Duration) {
	for _, b := range x.accounts {
		x.settle(b, now)
	}
}

// IsIdle reports whether nothing waits and no message is in flight.
func (x *Borrower) IsIdle() bool {
	for _, l := range x.lenders {
		if l.isInFlight {
			return false
		}
	}
	for _, b := range x.accounts {
		if len(b.waiting) > 0 {
			return false
		}
	}
	return true
}

// sweep removes the balances of accounts without requests.
func (x *Borrower) sweep(now time.Duration) {
	if now-x.sweptAt < balanceTTL/4 {
		return
	}
	x.sweptAt = now
	for name, b := range x.accounts {
		if now-b.usedAt > balanceTTL && len(b.waiting) == 0 {
			delete(x.accounts, name)
		}
	}
}
