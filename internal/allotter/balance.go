package allotter

import (
	"math"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
)

const (
	// maxLoans bounds the loans of one account that are valid at a time. The rest of the
	// smallest is returned if there are more.
	maxLoans = 8
	// epsilon is the tolerance for the rounding of amounts.
	epsilon = 1e-6
	// demandTime is the time over which the use of an account is averaged.
	demandTime = 300 * time.Millisecond
	// minExpected is the number of requests that must be expected while a loan is valid for
	// quota to be requested before they arrive. With fewer, much of it would lie unused.
	minExpected = 6
	// competeTime is how long after a lender's answer the share of its refill is expected, in
	// place of all of it.
	competeTime = 100 * time.Millisecond
	minShare    = 1.0 / 256
)

// Charge is the quota that a request uses. The zero value uses none and never expires
// with a balance; it is returned by GiveBack without effect.
type Charge struct {
	cost     float64
	parts    [maxLenders]chargePart
	numParts int
	expires  time.Duration
}

// chargePart is a part of a loan, or of the base share if lender is 0.
type chargePart struct {
	lender uint32
	amount float64
	stamp  time.Duration
}

func (c *Charge) add(lender uint32, amount float64, stamp, expires time.Duration) {
	c.cost += amount
	if c.numParts == 0 || expires < c.expires {
		c.expires = expires
	}
	for i := range c.parts[:c.numParts] {
		if p := &c.parts[i]; p.lender == lender {
			p.amount += amount
			p.stamp = min(p.stamp, stamp)
			return
		}
	}
	if c.numParts < len(c.parts) {
		c.parts[c.numParts] = chargePart{lender, amount, stamp}
		c.numParts++
	}
}

// Cost returns the cost of the request.
func (c Charge) Cost() float64 { return c.cost }

// IsExpired reports whether a request may no longer be sent on the charge. A charge of nothing
// does not expire.
func (c Charge) IsExpired(now time.Duration) bool { return c.cost > 0 && now >= c.expires }

// Shortage says why a request gets no quota.
type Shortage struct {
	// HasAnswer reports whether a lender has answered that it has too little. Otherwise no
	// lender answers.
	HasAnswer bool
	// AnswerAge is the age of the newest answer.
	AnswerAge time.Duration
	// Retry is the time after which the request would fit.
	Retry time.Duration
	// Balance is what this instance has left, which is less than the cost.
	Balance float64
}

// Ticket is a request that waits for quota.
type Ticket struct {
	cost   float64
	until  time.Duration
	notify func(Charge, *Shortage)
}

// balance is the quota of one account at one instance.
type balance struct {
	name       string
	preference uint64 // hash that selects the first lender
	quota      authenticator.Quota
	terms      terms
	loans      []loan // in the order in which they expire
	offers     []offer
	waiting    []*Ticket
	demand     demand
	backlog    decaying // costs of requests that were refused lately
	base       float64
	baseAt     time.Duration
	usedAt     time.Duration
}

// loan is what is left of a loan.
type loan struct {
	lender         uint32
	amount         float64
	stamp, expires time.Duration
}

// offer is what is known of a lender's quota of the account, and what will be returned to it.
type offer struct {
	lender uint32
	// left is what the lender had left if isKnown is set, and at is when it has more, after
	// what others lack. Otherwise its last response lent all that was requested.
	isKnown bool
	left    float64
	at      time.Duration
	asked   float64 // in the message in flight
	// askAt is when the lender may be asked again, after it had too little.
	askAt time.Duration
	// share is the share of the lender's refill that comes to this instance while others
	// request quota too. It is halved when a lender has less than was expected, and
	// doubled when it has as much.
	share float64

	returned      float64
	stamp         time.Duration // the earliest
	returnedSince time.Duration
	// isReturnUrgent reports that the amount is returned without waiting for a message.
	isReturnUrgent bool
}

func (b *balance) setLenders(list []*lender) {
	offers := make([]offer, 0, len(list))
	for _, l := range list {
		if o := b.offerOf(l.number); o != nil {
			offers = append(offers, *o)
		} else {
			offers = append(offers, offer{lender: l.number, share: 1})
		}
	}
	b.offers = offers
}

func (b *balance) offerOf(number uint32) *offer {
	for i := range b.offers {
		if b.offers[i].lender == number {
			return &b.offers[i]
		}
	}
	return nil
}

// estimate returns what a lender may have at most.
func (b *balance) estimate(o *offer, l *lender, now time.Duration) float64 {
	t := b.terms.part(l.Parts)
	if !o.isKnown {
		return t.burst
	}
	growth := t.rate * max(0, now-o.at).Seconds()
	if now-o.at < competeTime {
		growth *= o.share
	}
	return min(t.burst, o.left+o.returned+growth)
}

// expire moves what is left of expired loans to the returns.
func (b *balance) expire(now time.Duration) {
	for len(b.loans) > 0 && now >= b.loans[0].expires {
		x := b.loans[0]
		b.loans = slices.Delete(b.loans, 0, 1)
		b.addReturn(x.lender, x.amount, x.stamp, now)
	}
}

// valid returns the sum of the valid loans.
func (b *balance) valid(now time.Duration) float64 {
	b.expire(now)
	sum := 0.0
	for _, x := range b.loans {
		sum += x.amount
	}
	return sum
}

func (b *balance) addLoan(x loan, now time.Duration) {
	if now >= x.expires {
		b.addReturn(x.lender, x.amount, x.stamp, now)
		return
	}
	for i := range b.loans {
		if y := &b.loans[i]; y.lender == x.lender && y.stamp == x.stamp && y.expires == x.expires {
			y.amount += x.amount
			return
		}
	}
	if len(b.loans) >= maxLoans {
		least := 0
		for i, y := range b.loans {
			if y.amount < b.loans[least].amount {
				least = i
			}
		}
		y := b.loans[least]
		b.loans = slices.Delete(b.loans, least, least+1)
		b.addReturn(y.lender, y.amount, y.stamp, now)
	}
	i, _ := slices.BinarySearchFunc(b.loans, x, func(y, x loan) int { return int(y.expires - x.expires) })
	b.loans = slices.Insert(b.loans, i, x)
}

// addReturn adds to what will be returned to a lender. Amounts of several loans are returned
// with the stamp of the earliest.
func (b *balance) addReturn(number uint32, amount float64, stamp, now time.Duration) {
	o := b.offerOf(number)
	if o == nil || amount <= epsilon {
		return
	}
	if o.returned == 0 {
		o.stamp, o.returnedSince = stamp, now
	}
	o.returned += amount
	o.stamp = min(o.stamp, stamp)
}

// releaseUnused returns loans that were too small for the request that they were for, if no
// other request is expected to use them. Other instances may have requests for them.
func (b *balance) releaseUnused(now time.Duration) {
	use, mean := b.demand.per(b.terms.validity, now)
	if len(b.waiting) > 0 || use >= minExpected*mean {
		return
	}
	for _, x := range b.loans {
		b.addReturn(x.lender, x.amount, x.stamp, now)
		if o := b.offerOf(x.lender); o != nil {
			o.isReturnUrgent = true
		}
	}
	b.loans = b.loans[:0]
}

// attachReturns moves what is to be returned to a lender into a message.
func (b *balance) attachReturns(number uint32, loans []Loan) []Loan {
	o := b.offerOf(number)
	if o == nil || o.returned == 0 {
		return loans
	}
	returned, stamp := o.returned, o.stamp
	o.returned, o.isReturnUrgent = 0, false
	if o.isKnown {
		o.left += returned
	}
	for i := range loans {
		if loans[i].Account == b.name {
			loans[i].Returned, loans[i].ReturnedStamp = returned, stamp
			return loans
		}
	}
	return append(loans, Loan{Account: b.name, Returned: returned, ReturnedStamp: stamp})
}

// charge takes the cost from the loans, those that expire first.
func (b *balance) charge(cost float64, now time.Duration) (Charge, bool) {
	if b.valid(now) < cost-epsilon {
		return Charge{}, false
	}
	var c Charge
	left := cost
	for left > epsilon && len(b.loans) > 0 {
		x := &b.loans[0]
		used := min(x.amount, left)
		c.add(x.lender, used, x.stamp, x.expires)
		left -= used
		if x.amount -= used; x.amount <= epsilon {
			b.loans = slices.Delete(b.loans, 0, 1)
		}
	}
	c.cost = cost
	return c, true
}

// baseCap returns the most that the base share of this instance holds.
func (b *balance) baseCap(instances int) float64 {
	if instances < 2 {
		return 0
	}
	return b.terms.base / float64(instances) * baseTime.Seconds()
}

// chargeBase takes the cost from the base share, if no lender answers.
func (b *balance) chargeBase(cost float64, hasLender bool, instances int, now time.Duration) (Charge, bool) {
	if limit := b.baseCap(instances); now > b.baseAt {
		b.base = min(limit, b.base+limit/baseTime.Seconds()*(now-b.baseAt).Seconds())
		b.baseAt = now
	}
	if hasLender || b.base < cost {
		return Charge{}, false
	}
	b.base -= cost
	var c Charge
	c.add(0, cost, 0, now+minValidity)
	return c, true
}

// nextCost returns the cost of the request that has waited longest.
func (b *balance) nextCost() float64 {
	if len(b.waiting) == 0 {
		return 0
	}
	return b.waiting[0].cost
}

// wanted returns what should be requested: what waiting requests lack, and what is expected
// to be used while a loan is valid.
func (b *balance) wanted(now time.Duration) float64 {
	need := 0.0
	for _, t := range b.waiting {
		need += t.cost
	}
	have := b.valid(now)
	use, mean := b.demand.per(b.terms.validity, now)
	if use < minExpected*mean {
		use = 0
	}
	if need == 0 && have >= use/2 {
		return 0
	}
	return max(0, need+use-have)
}

// decaying is an amount that falls at a constant rate.
type decaying struct {
	amount float64
	at     time.Duration
}

func (d *decaying) decay(now time.Duration, rate float64) {
	d.amount = max(0, d.amount-rate*(now-d.at).Seconds())
	d.at = now
}

// demand is the recent use of an account, refused requests included.
type demand struct {
	cost, count float64 // both decay
	at          time.Duration
}

func (d *demand) add(cost float64, now time.Duration) {
	d.decay(now)
	d.cost += cost
	d.count++
}

func (d *demand) decay(now time.Duration) {
	if now > d.at {
		f := math.Exp(-float64(now-d.at) / float64(demandTime))
		d.cost, d.count, d.at = d.cost*f, d.count*f, now
	}
}

// per returns the expected use in a time, and the mean cost of a request.
func (d *demand) per(t, now time.Duration) (use, mean float64) {
	d.decay(now)
	if d.count < epsilon {
		return 0, 0
	}
	return d.cost * float64(t) / float64(demandTime), d.cost / d.count
}
