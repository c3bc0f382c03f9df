package queuer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/apportioner"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// lateShare is the share of an account's grants that requests past their objective get
	// while others of the account can still meet theirs. A late answer is worth a tenth to a
	// third of one in time.
	lateShare = 1.0 / 16
	// lowerShare is the most that a lower priority gets while a higher one waits. Without it
	// a lower priority starves. It is granted only while the lower one is served less often.
	lowerShare = 1.0 / 16
	// maxCredit bounds what is set aside for either share, in tokens.
	maxCredit = 8000
	// urgentObjective is the longest objective of an urgent request. warpRequests is by how
	// many mean requests an account's urgent ones may exceed its share before they wait for
	// the requests of others that have more time: otherwise a short request waits for one
	// request of each other account after one of its own account's batches. With 2 more short
	// ones are late (24 instead of 1 of 1,028 on the test's load), with 8 a flood of urgent
	// ones costs the batches of others three times as much.
	urgentObjective = time.Second
	warpRequests    = 4
	// lastChance is how long before its latest start a request counts as urgent, so that it
	// is tried before its end if its account's share allows it.
	lastChance = time.Second
	// Patient requests, those with more than patience to their objective, leave one of
	// slotsPerHeadroom slots of an upstream free while urgent requests arrive: instances do not
	// know what waits at the others, and one with only batches would take each slot that becomes
	// free. Urgent requests count as arriving for urgentRetention after the last one.
	patience         = time.Second
	slotsPerHeadroom = 6
	urgentRetention  = 10 * time.Second
	// An upstream is reserved for a request that has waited for reserveAfter while the
	// processing of other prompts leaves no room for its own: a long prompt would otherwise
	// wait for as long as short ones arrive. 2,200 tokens are processed in 75 ms.
	reserveAfter   = 100 * time.Millisecond
	reserveTimeout = 200 * time.Millisecond
	// maxPools is the number of pools above which idle ones are dropped, with what was
	// measured.
	maxPools = 1024
	// poolRetention is how long an idle pool is kept.
	poolRetention = 30 * time.Second
)

// fairOrder is the order of the waiting requests where there are client accounts: by priority,
// then by the accounts' shares of each upstream, then by objective.
//
// The load that it is for: one of 16 accounts sends seven times its usual rate for 6 s, or a
// kind with an objective of 5 s sends twice its usual rate beside one with 250 ms.
type fairOrder struct {
	pools map[poolKey]*pool
	// shares holds what each account got of an upstream. It is dropped when nothing waits:
	// no account has had more than its share then.
	shares       map[string]*upstreamShares
	reservations map[string]reservation // by upstream
	// lateCredits holds what is set aside for the late requests of an account, in tokens.
	lateCredits map[accountKey]float64
	urgent      map[string]urgentArrival // the last one by service
	granting    *Waiter                  // the request that choose is called for, nil for an arriving one
	// The numbers of waiting requests: all, by priority and by service.
	waiting    int
	byPriority map[int]int
	byService  map[string]int
	// lowest is the lowest priority number that waits.
	lowest     int
	round      uint64
	seq        uint64
	meanCost   float64
	candidates []candidate // scratch space of pick
}

// upstreamShares is what the accounts got of one upstream.
type upstreamShares struct{ levels map[int]*levelShares }

// levelShares is what the accounts got at one priority.
type levelShares struct {
	clock apportioner.Clock[string]
	// credit is what is set aside for the level while higher priorities wait.
	credit float64
}

// accountKey identifies the requests of one account and priority.
type accountKey struct {
	account  string
	priority int
}

// reservation keeps an upstream from other requests.
type reservation struct {
	waiter *Waiter
	until  time.Time
}

func (r reservation) isInForce(now time.Time) bool {
	return r.waiter.flow != nil && now.Before(r.until)
}

// urgentArrival is the arrival of an urgent request.
type urgentArrival struct {
	at       time.Time
	priority int
}

// candidate is what an account could be granted next.
type candidate struct {
	account      string
	inTime, late *Waiter
}

// useOrder selects the order of the waiting requests: by accounts where there are any.
func (t *Table) useOrder(cfg *matcher.Config, now time.Time) {
	if cfg.Accounts.IsEmpty() {
		t.fair = nil
		return
	}
	if t.fair != nil {
		return
	}
	t.fair = &fairOrder{pools: make(map[poolKey]*pool), lateCredits: make(map[accountKey]float64), urgent: make(map[string]urgentArrival), byPriority: make(map[int]int), byService: make(map[string]int)}
	for k, d := range t.demands {
		for _, n := range d.running {
			t.fair.poolOf(poolKey{k.service, k.model}, now).running += n
		}
	}
	for _, w := range t.waiting {
		t.fair.add(w, now)
	}
}

func (o *fairOrder) poolOf(k poolKey, now time.Time) *pool {
	p := o.pools[k]
	if p == nil {
		p = &pool{poolKey: k, byKey: make(map[flowKey]*flow), keys: make(map[key]*keyState), levels: make(map[int]*levelCount), lastUsed: now}
		o.pools[k] = p
	}
	return p
}

func poolKeyOf(req Request) poolKey { return poolKey{req.Service, req.Model} }

func (o *fairOrder) add(w *Waiter, now time.Time) {
	p := o.poolOf(poolKeyOf(w.Request), now)
	o.seq++
	w.seq, w.cost = o.seq, p.cost(w.Request)
	w.objective = max(0, w.Request.Objective.Sub(w.arrived))
	w.rank = w.Request.Objective.Add(w.objective).UnixNano()
	p.add(w, now)
	o.waiting++
	if len(o.byPriority) == 0 || w.Request.Priority < o.lowest {
		o.lowest = w.Request.Priority
	}
	o.byPriority[w.Request.Priority]++
	o.byService[w.Request.Service]++
}

func (o *fairOrder) remove(w *Waiter) {
	if w.flow == nil {
		return
	}
	w.flow.pool.remove(w)
	if o.byPriority[w.Request.Priority]--; o.byPriority[w.Request.Priority] == 0 {
		delete(o.byPriority, w.Request.Priority)
		if len(o.byPriority) > 0 {
			o.lowest = slices.Min(slices.Collect(maps.Keys(o.byPriority)))
		}
	}
	if o.byService[w.Request.Service]--; o.byService[w.Request.Service] == 0 {
		delete(o.byService, w.Request.Service)
	}
	if o.waiting--; o.waiting == 0 {
		o.shares, o.reservations = nil, nil
		clear(o.lateCredits)
	}
}

func (o *fairOrder) levelShares(upstream string, priority int) *levelShares {
	s := o.shares[upstream]
	if s == nil {
		if o.shares == nil {
			o.shares = make(map[string]*upstreamShares)
		}
		s = &upstreamShares{levels: make(map[int]*levelShares)}
		o.shares[upstream] = s
	}
	l := s.levels[priority]
	if l == nil {
		l = &levelShares{}
		s.levels[priority] = l
	}
	return l
}

// charge records that a request got a slot of the upstream.
func (o *fairOrder) charge(req Request, cost float64, isLate bool, upstream string, lead float64, now time.Time) {
	o.poolOf(poolKeyOf(req), now).recordGrant(req, cost, now)
	if o.meanCost == 0 {
		o.meanCost = cost
	}
	o.meanCost += measureWeight * (cost - o.meanCost)
	if o.waiting == 0 {
		return
	}
	l := o.levelShares(upstream, req.Priority)
	l.clock.ChargeAhead(req.Account, cost, 1, lead)
	if k := (accountKey{req.Account, req.Priority}); isLate {
		// Taken from what is set aside, whether or not it was granted because of that.
		o.lateCredits[k] = max(0, o.lateCredits[k]-cost)
	} else {
		o.lateCredits[k] = min(maxCredit, o.lateCredits[k]+lateShare*cost)
	}
	for priority := range o.byPriority {
		if priority > req.Priority {
			lower := o.levelShares(upstream, priority)
			lower.credit = min(maxCredit, lower.credit+lowerShare*cost)
		}
	}
}

// pick returns the request of a priority that gets the next slot of the upstream, nil for none.
func (o *fairOrder) pick(x openUpstream, priority int, now time.Time) *Waiter {
	if r, ok := o.reservations[x.ID]; ok && r.isInForce(now) {
		if w := r.waiter; w.Request.Priority == priority && w.triedIn != o.round {
			return w
		}
		return nil
	}
	list := o.candidates[:0]
	for _, p := range x.pools {
		for _, f := range p.flows {
			if f.priority != priority || !f.fits(x.Upstream) {
				continue
			}
			inTime, late := f.heads(o, now)
			if inTime == nil && late == nil {
				continue
			}
			i := slices.IndexFunc(list, func(c candidate) bool { return c.account == f.account })
			if i < 0 {
				i = len(list)
				list = append(list, candidate{account: f.account})
			}
			c := &list[i]
			if inTime != nil && (c.inTime == nil || compareInTime(inTime, c.inTime) < 0) {
				c.inTime = inTime
			}
			if late != nil && (c.late == nil || compareLate(late, c.late) < 0) {
				c.late = late
			}
		}
	}
	o.candidates = list
	if len(list) == 0 {
		return nil
	}
	l := o.levelShares(x.ID, priority)
	least := math.Inf(1)
	for _, c := range list {
		least = min(least, l.clock.Start(c.account))
	}
	var best *Waiter
	var bestStart float64
	bestYields, hasUrgent, isByCredit := false, false, false
	for _, c := range list {
		start := l.clock.Start(c.account)
		w, yields, byCredit := c.inTime, false, false
		switch {
		case w == nil:
			w, yields = c.late, true
		case c.late != nil && start == least && o.lateCredits[accountKey{c.account, priority}] >= min(c.late.cost, maxCredit):
			w, byCredit = c.late, true
		}
		if w.isUrgent() || w.Request.StartBy.Sub(now) < lastChance {
			start = max(least, start-o.warp())
		}
		hasUrgent = hasUrgent || w.isUrgent()
		isTie := start == bestStart
		if best == nil || start < bestStart || isTie && bestYields && !yields || isTie && bestYields == yields && compareInTime(w, best) < 0 {
			best, bestStart, bestYields, isByCredit = w, start, yields, byCredit
		}
	}
	best.isOwed = isByCredit || hasUrgent && !best.isUrgent()
	best.isAhead = l.clock.Start(best.Request.Account) > least
	return best
}

// warp returns by how many tokens an account may exceed its share with urgent requests.
func (o *fairOrder) warp() float64 { return warpRequests * o.meanCost }

// pickLower returns a request that gets a slot of the upstream although higher priorities
// wait, nil for none.
func (o *fairOrder) pickLower(x openUpstream, priority int, now time.Time) *Waiter {
	l := o.levelShares(x.ID, priority)
	if l.credit < minCost {
		return nil
	}
	w := o.pick(x, priority, now)
	if w == nil || l.credit < min(w.cost, maxCredit) {
		return nil
	}
	share := w.flow.pool.level(priority).servedShare(now)
	isBehind := false
	for _, p := range x.pools {
		for _, f := range p.flows {
			if f.priority >= priority || !f.fits(x.Upstream) {
				continue
			}
			if p.level(f.priority).servedShare(now) <= share {
				return nil
			}
			isBehind = true
		}
	}
	if !isBehind {
		return nil
	}
	w.isOwed = true
	return w
}

// recordUrgent records the arrival of a request if it is urgent.
func (o *fairOrder) recordUrgent(req Request, now time.Time) {
	if left := req.Objective.Sub(now); left <= 0 || left > urgentObjective {
		return
	}
	if a, ok := o.urgent[req.Service]; !ok || req.Priority <= a.priority || now.Sub(a.at) >= urgentRetention {
		o.urgent[req.Service] = urgentArrival{now, req.Priority}
	}
}

// dropEnded drops the shares of upstreams that have ended, and idle pools above maxPools.
func (o *fairOrder) dropEnded(s *registrar.Snapshot, now time.Time) {
	if len(o.pools) > maxPools {
		maps.DeleteFunc(o.pools, func(_ poolKey, p *pool) bool {
			isWorthKeeping := p.numServices > 0 && now.Sub(p.lastUsed) <= poolRetention
			return p.waiting == 0 && p.running == 0 && !isWorthKeeping
		})
	}
	maps.DeleteFunc(o.shares, func(id string, _ *upstreamShares) bool { return s.ByID[id] == nil })
	maps.DeleteFunc(o.reservations, func(id string, _ reservation) bool { return s.ByID[id] == nil })
}
