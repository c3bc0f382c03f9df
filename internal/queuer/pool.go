package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// measureWeight is the weight of a new sample in the means of a pool.
	measureWeight = 0.1
	// rateWindow is the time over which the rate of grants is measured, and servedWindow
	// that over which the served share of a level is. The latter is longer, so that the
	// share outlasts a burst of 6 s.
	rateWindow   = 2 * time.Second
	servedWindow = 10 * time.Second
	// minCost is the cost of a request in tokens if no request has stated any.
	minCost = 1
)

// poolKey identifies the requests that compete for the slots of the same upstreams.
type poolKey struct{ service, model string }

// pool holds the requests that wait for one model, or for a service without models, and what
// was measured of those that ran.
type pool struct {
	poolKey

	flows   []*flow // those with waiting requests
	byKey   map[flowKey]*flow
	keys    map[key]*keyState
	levels  map[int]*levelCount
	waiting int
	// backlogSince is when the oldest backlog began, zero if nothing waits.
	backlogSince time.Time
	lastUsed     time.Time

	running     int           // requests of this instance
	numServices int           // measured service times
	meanService time.Duration // for which a request holds its slot
	meanCost    float64
	firstEvent  time.Duration // mean time from the grant to the first event
	granted     decaying      // cost of the granted requests
	// nextRetry holds the next retry time to assign. It is dropped when nothing waits. A flood
	// of one account does not delay the retries of the others.
	nextRetry map[accountKey]time.Time
}

// decaying is a sum in which a value counts exp(-age/window).
type decaying struct {
	sum float64
	at  time.Time
}

func (d decaying) value(window time.Duration, now time.Time) float64 {
	return d.sum * math.Exp(-max(0, now.Sub(d.at)).Seconds()/window.Seconds())
}

func (d *decaying) add(x float64, window time.Duration, now time.Time) {
	d.sum, d.at = d.value(window, now)+x, now
}

// levelCount counts the requests of one priority. cost is that of those that were granted.
type levelCount struct{ arrived, served, cost decaying }

// servedShare returns the share of the recent requests that were granted.
func (l *levelCount) servedShare(now time.Time) float64 {
	return l.served.value(servedWindow, now) / max(1, l.arrived.value(servedWindow, now))
}

// flowKey identifies a flow.
type flowKey struct {
	priority int
	account  string
	key
}

// flow holds the waiting requests of one account and priority that need the same.
type flow struct {
	flowKey

	pool  *pool
	state *keyState
	// inTime holds the requests that can still meet their objective, by rank, and late the
	// others, by their latest start. A request is moved when its turn comes.
	inTime, late         []*Waiter
	inTimeCost, lateCost float64
	urgentCost           float64 // part of inTimeCost
	// emptyRound and emptyState are the round and the state in which no request of the flow
	// could be tried.
	emptyRound uint64
	emptyState keyState
}

// keyState is the state of all flows with the same key in a round of grants.
type keyState struct {
	flows int
	// full is for requests that may use all slots, and fullButRoom for those that leave
	// some free.
	full, fullButRoom fullState
}

// fullState says which requests found no room.
type fullState struct {
	// round is the last round in which one found none, and shortest the length of the shortest
	// prompt among them.
	round    uint64
	shortest int
}

func (k *keyState) of(leavesRoom bool) *fullState {
	if leavesRoom {
		return &k.fullButRoom
	}
	return &k.full
}

// skips reports whether a request cannot be granted in the current round.
func (k *keyState) skips(w *Waiter, o *fairOrder, now time.Time) bool {
	if w.triedIn == o.round {
		return true
	}
	f := k.of(o.leavesRoom(w.Request, now))
	return f.round == o.round && w.Request.Tokens >= f.shortest && len(w.Request.Tried) == 0
}

// compareInTime orders requests that can still meet their objective. The rank is the objective
// plus the time from the arrival to it. By the objective alone, all kinds are served
// at the end of their objectives in a backlog: a short request then waits behind a batch that
// is as close to its end, although the batch had 20 times as long.
func compareInTime(a, b *Waiter) int {
	if c := cmp.Compare(a.rank, b.rank); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

func compareLate(a, b *Waiter) int {
	if c := a.Request.StartBy.Compare(b.Request.StartBy); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

func insert(list []*Waiter, w *Waiter, compare func(a, b *Waiter) int) []*Waiter {
	i, _ := slices.BinarySearchFunc(list, w, compare)
	return slices.Insert(list, i, w)
}

func remove(list []*Waiter, w *Waiter, compare func(a, b *Waiter) int) []*Waiter {
	i, ok := slices.BinarySearchFunc(list, w, compare)
	if !ok {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func (p *pool) add(w *Waiter, now time.Time) {
	k := flowKey{w.Request.Priority, w.Request.Account, w.Request.key()}
	f := p.byKey[k]
	if f == nil {
		ks := p.keys[k.key]
		if ks == nil {
			ks = &keyState{}
			p.keys[k.key] = ks
		}
		ks.flows++
		f = &flow{flowKey: k, pool: p, state: ks}
		p.byKey[k] = f
		p.flows = append(p.flows, f)
	}
	if p.waiting == 0 {
		p.backlogSince = now
	}
	p.waiting++
	w.flow, w.isLate = f, false
	f.inTime = insert(f.inTime, w, compareInTime)
	f.addInTimeCost(w, w.cost)
	f.emptyRound = 0
}

func (p *pool) remove(w *Waiter) {
	f := w.flow
	if f == nil {
		return
	}
	w.flow = nil
	if w.isLate {
		f.late = remove(f.late, w, compareLate)
		f.lateCost -= w.cost
	} else {
		f.inTime = remove(f.inTime, w, compareInTime)
		f.addInTimeCost(w, -w.cost)
	}
	if p.waiting--; p.waiting == 0 {
		p.backlogSince, p.nextRetry = time.Time{}, nil
	}
	if len(f.inTime)+len(f.late) > 0 {
		return
	}
	delete(p.byKey, f.flowKey)
	if f.state.flows--; f.state.flows == 0 {
		delete(p.keys, f.key)
	}
	p.flows = slices.DeleteFunc(p.flows, func(g *flow) bool { return g == f })
}

// isPastObjective reports whether a request that is granted now misses its objective. Half
// of the mean time to the first event counts, so that a request with a fair chance is not
// put behind.
func (p *pool) isPastObjective(w *Waiter, now time.Time) bool {
	return now.Add(p.firstEvent / 2).After(w.Request.Objective)
}

// fits reports whether the upstream has what the requests of the flow need.
func (f *flow) fits(u *registrar.Upstream) bool {
	return (!f.isBound || u.Software == f.software) && (f.model == "" || u.Holds(f.model, f.adapter))
}

// heads returns the next requests to try: the first that can still meet its objective and the
// first of the others.
func (f *flow) heads(o *fairOrder, now time.Time) (inTime, late *Waiter) {
	if f.emptyRound == o.round && f.emptyState == *f.state {
		return nil, nil
	}
	skips := func(w *Waiter) bool { return f.state.skips(w, o, now) }
	for i := 0; i < len(f.inTime) && inTime == nil; {
		w := f.inTime[i]
		if f.pool.isPastObjective(w, now) {
			f.inTime = slices.Delete(f.inTime, i, i+1)
			f.addLate(w)
			continue
		}
		if !skips(w) {
			inTime = w
		}
		i++
	}
	if i := slices.IndexFunc(f.late, func(w *Waiter) bool { return !skips(w) }); i >= 0 {
		late = f.late[i]
	}
	if inTime == nil && late == nil {
		f.emptyRound, f.emptyState = o.round, *f.state
	}
	return inTime, late
}

func (f *flow) addInTimeCost(w *Waiter, cost float64) {
	f.inTimeCost += cost
	if w.objective <= urgentObjective {
		f.urgentCost += cost
	}
}

// isUrgent reports whether the request may go before the share of its account.
func (w *Waiter) isUrgent() bool { return !w.isLate && w.objective <= urgentObjective }

// moveLate moves all requests that are past their objective.
func (f *flow) moveLate(now time.Time) {
	f.inTime = slices.DeleteFunc(f.inTime, func(w *Waiter) bool {
		isLate := f.pool.isPastObjective(w, now)
		if isLate {
			f.addLate(w)
		}
		return isLate
	})
}

func (f *flow) addLate(w *Waiter) {
	w.isLate = true
	f.addInTimeCost(w, -w.cost)
	f.lateCost += w.cost
	f.late = insert(f.late, w, compareLate)
}

// level returns the counts of a priority.
func (p *pool) level(priority int) *levelCount {
	l := p.levels[priority]
	if l == nil {
		l = &levelCount{}
		p.levels[priority] = l
	}
	return l
}

// cost returns the cost of a request: its tokens, or the mean if it states none.
func (p *pool) cost(req Request) float64 {
	if n := req.Tokens + req.ResponseTokens; n > 0 {
		return float64(n)
	}
	return max(p.meanCost, minCost)
}

func (p *pool) recordService(took time.Duration) {
	took = max(took, time.Microsecond)
	if p.numServices++; p.numServices == 1 {
		p.meanService = took
		return
	}
	p.meanService += time.Duration(measureWeight * float64(took-p.meanService))
}

func (p *pool) recordFirstEvent(after time.Duration) {
	if p.firstEvent == 0 {
		p.firstEvent = after
		return
	}
	p.firstEvent += time.Duration(measureWeight * float64(after-p.firstEvent))
}

// recordGrant records that a request got a slot.
func (p *pool) recordGrant(req Request, cost float64, now time.Time) {
	p.running++
	p.lastUsed = now
	if p.meanCost == 0 {
		p.meanCost = cost
	}
	p.meanCost += measureWeight * (cost - p.meanCost)
	p.granted.add(cost, rateWindow, now)
	p.level(req.Priority).served.add(1, servedWindow, now)
	p.level(req.Priority).cost.add(cost, rateWindow, now)
}
