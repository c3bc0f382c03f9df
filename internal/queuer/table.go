package queuer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// localRoundTrip and remoteRoundTrip are the round trips within a data centre
	// and to another one, including the cost of the bytes transferred.
	localRoundTrip  = 500 * time.Microsecond
	remoteRoundTrip = 8 * time.Millisecond
	// swapOverhead is the time that a load takes in addition to the copying: for
	// the decision, the order and the unloading of another model.
	swapOverhead = 400 * time.Millisecond
	// failoverDelay is how long after its last response a conductor that was cut off or has
	// restarted is expected to send orders again.
	failoverDelay = 4 * time.Second
	// maxFailoverDelay is that time for another instance, which has to wait for the end of the
	// lease and for late orders.
	maxFailoverDelay = 10800 * time.Millisecond
	// maxPrefillTokens limits the prompt tokens of this instance that an upstream
	// processes at once. Prompt processing delays the streams that run there:
	// 2,048 tokens take about 60 ms, and clients expect pauses below 200 ms.
	maxPrefillTokens = 2200
	// prefillTokensPerMs is the number of prompt tokens that an upstream processes
	// per millisecond, for the comparison of candidates whose service states no pace. With a
	// stated pace it is learnt for each upstream (package pacer).
	prefillTokensPerMs = 30
	// maxLocalLoad is the share of its slots up to which a local upstream is
	// preferred to those in other data centres.
	maxLocalLoad = 0.7
	// adapterLoadDelay is the estimated delay until a requested adapter is loaded.
	// It includes the report of the demand and the order, unlike the duration of
	// the load itself.
	adapterLoadDelay = 100 * time.Millisecond
	// plainQueueLength is the number of requests that may wait on an upstream
	// without a model engine beyond its slots, so that no slot idles between two
	// requests.
	plainQueueLength = 2
	// shedDelay is the time for which an upstream gets no more requests for a
	// model or adapter after it shed one. An adapter loads in a few milliseconds,
	// and a full queue drains.
	shedDelay = 60 * time.Millisecond
	// brokenDelay is how long others are preferred to an upstream to which a connection was
	// refused or broke: a process that has restarted is registered again within that time.
	// An upstream whose connections were only reset still gets what no other can run.
	brokenDelay = 2 * time.Second
	// maxShedEntries is the number of shed keys above which expired ones are
	// dropped.
	maxShedEntries = 512
	// maxStaleHealth limits the health entries kept for upstreams that have ended.
	maxStaleHealth = 64
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.2
	// maxPrefixes is the number of prompt prefixes whose last upstream is kept.
	maxPrefixes = 1024
	// versionReturnTime is how long after the last upstream of a software version has
	// vanished one may still return: a crashed upstream is back after some seconds.
	versionReturnTime = 6 * time.Second
	// absentVersionDelay is the estimated delay of a request for a software version that no
	// upstream has: longer than any request waits.
	absentVersionDelay = 24 * time.Hour
	// minRetryDelay keeps refused clients from retrying at once.
	minRetryDelay = 200 * time.Millisecond
)

// Request is an admission request: what a request needs to run.
type Request struct {
	Service, Model, Adapter string
	// Account is the name of the client account, empty on public routes and where there are
	// no accounts.
	Account  string
	Priority int // the lowest value is granted first
	// Objective is the target time of the response, or of its first event.
	Objective time.Time
	// StartBy is the latest time at which the request may start, and StartByLimit the limit
	// that it comes from.
	StartBy      time.Time
	StartByLimit Limit
	// Prefix identifies the shared prefix of the prompt, empty for none.
	Prefix string
	// Tokens is the length of the prompt, and ResponseTokens the maximum length of the
	// response, 0 if it is not stated.
	Tokens, ResponseTokens int
	// MaxPause is the objective for the longest pause between two events, 0 for none.
	MaxPause time.Duration
	// Tried holds the ids of upstreams that have failed the request.
	Tried map[string]bool
	// Software, if not nil, is the only software version whose upstreams may run the
	// request: it is for the rest of a stream that began there.
	Software *string
	// IgnoresCut makes the request wait although the links to the upstreams are cut: no other
	// instance takes it.
	IgnoresCut bool
	// Takes is how long the request is expected to run, 0 if that is not known, and Deadline the
	// time by which it has ended in any case.
	Takes    time.Duration
	Deadline time.Time
	// ID is the id of the request.
	ID string
	// IsHandedOn says that this instance has to send the request to a brittle service, because
	// another instance has handed it on.
	IsHandedOn bool
}

// key identifies a service, or a model or adapter of it, at any software version or at one.
type key struct {
	service, model, adapter string
	isBound                 bool // to one software version
	software                string
}

func (req Request) key() key {
	k := key{service: req.Service, model: req.Model, adapter: req.Adapter}
	if req.Software != nil {
		k.isBound, k.software = true, *req.Software
	}
	return k
}

// version identifies a software version of a service.
type version struct{ service, software string }

// candidates returns the upstreams that may run the request.
func (req Request) candidates(s *registrar.Snapshot) []*registrar.Upstream {
	list := s.ByService[req.Service]
	if req.Software == nil {
		return list
	}
	var out []*registrar.Upstream
	for _, u := range list {
		if u.Software == *req.Software {
			out = append(out, u)
		}
	}
	return out
}

// isHeld reports whether one of the upstreams that may run the request holds its model. Otherwise it
// waits for a load, and not for slots.
func (req Request) isHeld(s *registrar.Snapshot) bool {
	return slices.ContainsFunc(req.candidates(s), func(u *registrar.Upstream) bool {
		return req.Model == "" || u.Holds(req.Model, "")
	})
}

// isHeldElsewhere reports whether an upstream of another software version holds the model of a request
// that may run at one version only.
func (req Request) isHeldElsewhere(s *registrar.Snapshot) bool {
	return slices.ContainsFunc(s.ByService[req.Service], func(u *registrar.Upstream) bool {
		return req.Software != nil && u.Software != *req.Software && (req.Model == "" || u.Holds(req.Model, ""))
	})
}

// Table holds the running and the waiting requests of an instance. Its zero
// value is ready to use; it is not safe for concurrent use.
type Table struct {
	DataCentre string
	// HasConductor says that a conductor currently sends orders, which load missing
	// models.
	HasConductor bool
	// ConductorSilence is the time since the conductor last responded, 0 if none ever has.
	ConductorSilence time.Duration
	// IsBrittle, if set, reports whether the upstreams of a service are brittle.
	IsBrittle func(service string, now time.Time) bool
	Rand      *rand.Rand

	waiting   []*Waiter  // by priority, then by objective
	fair      *fairOrder // the order of the grants, nil where there are no client accounts
	demands   map[key]*demand
	running   map[string]int // by upstream
	prefill   map[string]int // prompt tokens not processed yet, by upstream
	health    map[string]health
	shedUntil map[shedKey]time.Time          // end of the shed delay
	prefixes  *simplelru.LRU[string, string] // prefix to the upstream that processed it last

	self             string
	instances        []string // names of the live ones, sorted
	instancesVersion uint64
	shares           map[string]share // of limited upstreams, by id
	// versionsSeen holds when an upstream of a software version was last in a snapshot.
	versionsSeen map[version]time.Time
	brittle      brittleState
	pacing       pacing
}

// Waiter is a waiting request.
type Waiter struct {
	Request Request
	arrived time.Time
	granted chan *registrar.Upstream
	choice  Choice // set before the grant
	refused chan StartEstimate

	// The following are used by fairOrder.
	flow      *flow         // nil if the request does not wait in a flow
	objective time.Duration // from the arrival
	rank      int64
	seq       uint64
	cost      float64 // in tokens
	isLate    bool
	isAhead   bool   // chosen before accounts that are owed more
	isOwed    bool   // chosen for what its account or priority is owed, so that it leaves no room to urgent ones
	triedIn   uint64 // the last round in which it found no room
}

// Granted returns the upstream that was granted, nil if there is none yet. It
// returns each grant once.
func (w *Waiter) Granted() *registrar.Upstream {
	select {
	case u := <-w.granted:
		return u
	default:
		return nil
	}
}

// Refused returns why the request was refused, false if it was not. It returns each refusal
// once.
func (w *Waiter) Refused() (StartEstimate, bool) {
	select {
	case e := <-w.refused:
		return e, true
	default:
		return StartEstimate{}, false
	}
}

// Arrive counts the arrival of a request.
func (t *Table) Arrive(req Request) {
	t.init()
	t.demandOf(req.key()).arrived++
}

// retryAfter returns the delay after which the client is to retry.
func (e StartEstimate) retryAfter() time.Duration {
	if e.IsBusy {
		return e.RetryAfter
	}
	return max(e.Delay, minRetryDelay)
}

// Expire refuses the waiting requests that can no longer start by their latest start
// time, because their model is not loaded or no upstream accepts requests. It also drops the health of ended
// upstreams.
func (t *Table) Expire(s *registrar.Snapshot, cfg *matcher.Config, now time.Time) {
	t.useOrder(cfg, now)
	if t.fair != nil {
		t.expireBusy(s, now)
	}
	kept := t.waiting[:0]
	before := make(map[key]ahead) // waiting requests before this one, by service and model
	estimates := make(map[key]StartEstimate)
	for _, w := range t.waiting {
		k := key{service: w.Request.Service, model: w.Request.Model}
		if !t.isHome(w.Request, s, now) {
			w.refused <- StartEstimate{IsElsewhere: true}
			t.leaveOrder(w)
			continue
		}
		e, isKnown := estimates[w.Request.key()]
		if !isKnown {
			e = t.estimateBehind(before[k], w.Request, s, cfg, now)
			// Only limited upstreams make an estimate depend on the requests ahead.
			if !hasLimited(s.ByService[w.Request.Service]) {
				estimates[w.Request.key()] = e
			}
		}
		if t.isTooLate(e, before[k], w.Request, s, cfg, now) {
			w.refused <- e
			t.leaveOrder(w)
			continue
		}
		a := before[k]
		a.add(w.Request)
		before[k] = a
		kept = append(kept, w)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	if len(t.health) > 2*len(s.ByID)+maxStaleHealth {
		maps.DeleteFunc(t.health, func(id string, _ health) bool { return s.ByID[id] == nil })
	}
	t.dropEndedPaces(s)
	t.brittle.expire(s, now)
	maps.DeleteFunc(t.versionsSeen, func(_ version, at time.Time) bool { return now.Sub(at) > versionReturnTime })
	maps.DeleteFunc(t.shares, func(id string, _ share) bool { return s.ByID[id] == nil })
}

// RefuseForStop refuses the waiting requests that f returns false for, because the instance stops. Other
// instances can still serve them.
func (t *Table) RefuseForStop(f func(Request) bool) {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if f(w.Request) {
			kept = append(kept, w)
			continue
		}
		w.refused <- StartEstimate{IsStopping: true}
		t.leaveOrder(w)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// Wait inserts a request into the waiting requests, by priority and objective.
func (t *Table) Wait(req Request, now time.Time) *Waiter {
	w := &Waiter{Request: req, arrived: now, granted: make(chan *registrar.Upstream, 1), refused: make(chan StartEstimate, 1)}
	i, _ := slices.BinarySearchFunc(t.waiting, w, func(x, y *Waiter) int {
		if c := cmp.Compare(x.Request.Priority, y.Request.Priority); c != 0 {
			return c
		}
		return x.Request.Objective.Compare(y.Request.Objective)
	})
	t.waiting = slices.Insert(t.waiting, i, w)
	if t.fair != nil {
		t.fair.add(w, now)
	}
	return w
}

// Remove removes a waiting request. It reports false if the request was granted
// or refused before.
func (t *Table) Remove(w *Waiter) bool {
	i := slices.Index(t.waiting, w)
	if i < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	t.leaveOrder(w)
	return true
}

// GrantWaiting grants waiting requests while upstreams have room for them.
func (t *Table) GrantWaiting(s *registrar.Snapshot, cfg *matcher.Config, now time.Time) {
	if len(t.waiting) == 0 {
		return
	}
	if t.useOrder(cfg, now); t.fair != nil {
		t.grantFair(s, cfg, now)
		return
	}
	kept := t.waiting[:0]
	fullFor := make(map[key]int) // length of the shortest prompt that found no room
	open := t.openModels(s, cfg, now)
	for _, w := range t.waiting {
		if m := poolKeyOf(w.Request); m.model != "" && !open[m] {
			kept = append(kept, w)
			continue
		}
		k := w.Request.key()
		// A retried request may have no room where others of its key do, as it
		// avoids the upstreams that failed it.
		if shortest, ok := fullFor[k]; ok && w.Request.Tokens >= shortest && len(w.Request.Tried) == 0 {
			kept = append(kept, w)
			continue
		}
		u := t.Grant(w.Request, s, cfg, now)
		if u == nil {
			if len(w.Request.Tried) == 0 {
				fullFor[k] = w.Request.Tokens
			}
			kept = append(kept, w)
			continue
		}
		w.choice = t.pacing.chosen
		w.granted <- u
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// RecordPrefill records that an upstream has processed the prompt of a request.
func (t *Table) RecordPrefill(req Request, upstream string) {
	if t.prefill[upstream] -= req.Tokens; t.prefill[upstream] <= 0 {
		delete(t.prefill, upstream)
	}
}

// Release records that a request has ended on an upstream.
func (t *Table) Release(req Request, upstream string) {
	running := t.demandOf(req.key()).running
	if running[upstream]--; running[upstream] <= 0 {
		delete(running, upstream)
	}
	if t.running[upstream]--; t.running[upstream] <= 0 {
		delete(t.running, upstream)
	}
	if t.fair != nil {
		if p := t.fair.pools[poolKeyOf(req)]; p != nil {
			p.running = max(0, p.running-1)
		}
	}
}

// Waiting returns the number of waiting requests.
func (t *Table) Waiting() int { return len(t.waiting) }

// Running returns the number of requests of this instance on an upstream.
func (t *Table) Running(upstream string) int { return t.running[upstream] }

func (t *Table) init() {
	if t.demands != nil {
		return
	}
	t.demands = make(map[key]*demand)
	t.running = make(map[string]int)
	t.prefill = make(map[string]int)
	t.health = make(map[string]health)
	t.shares = make(map[string]share)
	t.versionsSeen = make(map[version]time.Time)
	t.shedUntil = make(map[shedKey]time.Time)
	t.prefixes, _ = simplelru.NewLRU[string, string](maxPrefixes, nil) // fails only for a size below one
	if t.Rand == nil {
		t.Rand = rand.New(rand.NewPCG(1, 2)) //nolint:gosec // spreads load, no security use
	}
}
