// Package emulator plays a load against the decisions of placing and queueing,
// in virtual time.
//
// It is a model of a fleet of engines: places for models, tiers that a load
// comes from, a store with few lanes, slots, and prompts that are read one after
// the other. The decisions are the product's own: a queuer.Table grants, orders
// and refuses, and a Policy makes the moves, arranger.Plan or a baseline. Faults,
// networks and several instances are left out.
package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/rater"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// Kind is a kind of request.
type Kind struct {
	Name     string
	Rate     float64 // per second
	Priority int
	// Model returns the model of a request that arrives at a time.
	Model     func(at time.Duration, rng *rand.Rand) string
	Objective time.Duration // to the first event
	Patience  time.Duration // the client leaves after it
	Tokens    int           // of the prompt
	Runs      time.Duration // from the first event to the end
}

// Setup is a fleet and its load.
type Setup struct {
	Engines int
	Engine  matcher.Engine
	// ReadRate is how many tokens of prompts an engine reads in a millisecond.
	ReadRate float64
	Held     func(engine int) []string // at the start
	Kinds    []Kind
	Lead     time.Duration // before the first request
	Length   time.Duration
	Seed     uint64
}

// Policy makes the moves.
type Policy func(arranger.Fleet) []arranger.Move

// Result counts the requests of a kind.
type Result struct {
	Asked, InTime, Late, Refused int
}

// Share returns the part that was served within the objective.
func (r Result) Share() float64 { return float64(r.InTime) / float64(max(r.Asked, 1)) }

func (r Result) String() string {
	return fmt.Sprintf("%d asked, %.3f in time, %d late, %d refused", r.Asked, r.Share(), r.Late, r.Refused)
}

// service is the name of the emulated service.
const service = "lm"

// planEvery is the time between two plans, and seenAfter how long a load that
// is done takes to be known.
const (
	planEvery = 50 * time.Millisecond
	seenAfter = 60 * time.Millisecond
	// priorRate is the rate that each copy of a model beyond the first stands for
	// until requests arrive, per second.
	priorRate = 13.0
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int // of scheduling, among those at one time
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// engine is an emulated engine.
type engine struct {
	id      string
	models  []arranger.Resident
	onDisk  []string
	busy    bool
	store   bool
	target  string
	doneAt  time.Duration
	readEnd time.Duration // when it has read the prompts that it was sent
}

// world is one play.
type world struct {
	Setup
	policy  Policy
	rng     *rand.Rand
	now     time.Duration
	queue   events
	orders  int
	engines []*engine
	table   queuer.Table
	cfg     *matcher.Config
	snap    *registrar.Snapshot
	rates   map[string]*rater.Rate
	results map[string]*Result
	waits   []*waiting
	arrived bool
	first   map[string]int // copies at the start
}

// waiting is a request in the queue.
type waiting struct {
	w    *queuer.Waiter
	ask  queuer.Ask
	kind Kind
	at   time.Duration
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

// Play plays the load under a policy and returns the results by kind.
func Play(s Setup, p Policy) map[string]Result {
	w := &world{
		Setup: s, policy: p, rng: rand.New(rand.NewPCG(s.Seed, 1)), //nolint:gosec // a seeded play
		rates: make(map[string]*rater.Rate), results: make(map[string]*Result), first: make(map[string]int),
	}
	w.cfg = matcher.New(1, nil, map[string]matcher.Service{service: {Name: service, Engine: &s.Engine}}, matcher.Limits{})
	w.table = queuer.Table{IsLed: true, Rand: w.rng}
	for i := range s.Engines {
		e := &engine{id: fmt.Sprintf("e%02d", i)}
		for _, m := range s.Held(i) {
			e.models = append(e.models, arranger.Resident{Model: m})
			e.onDisk = append(e.onDisk, m)
			w.first[m]++
		}
		w.engines = append(w.engines, e)
	}
	w.changed()
	for _, k := range s.Kinds {
		w.results[k.Name] = &Result{}
		w.at(s.Lead, func() { w.arrive(k) })
	}
	w.at(0, w.plan)
	for len(w.queue) > 0 && w.now <= s.Lead+s.Length {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	out := make(map[string]Result)
	for name, r := range w.results {
		out[name] = *r
	}
	return out
}

func (w *world) at(t time.Duration, do func()) {
	w.orders++
	heap.Push(&w.queue, event{t, w.orders, do})
}

// arrive lets a request arrive, and the next one of its kind later.
func (w *world) arrive(k Kind) {
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/k.Rate*float64(time.Second)), func() { w.arrive(k) })
	w.arrived = true
	a := queuer.Ask{
		Service: service, Model: k.Model(w.now-w.Lead, w.rng), Priority: k.Priority, Tokens: k.Tokens,
		Objective: w.time().Add(k.Objective), Limit: w.time().Add(k.Patience),
	}
	w.results[k.Name].Asked++
	w.rate(a.Model).Add(1, w.time())
	w.table.Arrive(a)
	if u := w.table.Grant(a, w.snap, w.cfg, w.time()); u != nil {
		w.run(u, a, k, w.now)
		return
	}
	if o := w.table.Estimate(a, w.snap, w.cfg, w.time()); w.time().Add(o.Start).After(a.Limit) {
		w.table.Want(a, w.time(), w.time().Add(o.Start+time.Second))
		w.results[k.Name].Refused++
		return
	}
	x := &waiting{w: w.table.Wait(a, w.time()), ask: a, kind: k, at: w.now}
	w.waits = append(w.waits, x)
	w.at(w.now+k.Patience, func() {
		if w.table.Leave(x.w) {
			w.results[k.Name].Refused++
		}
	})
}

func (w *world) rate(model string) *rater.Rate {
	r := w.rates[model]
	if r == nil {
		r = &rater.Rate{}
		w.rates[model] = r
	}
	return r
}

// run plays a request at the engine that it was granted.
func (w *world) run(u *registrar.Upstream, a queuer.Ask, k Kind, arrived time.Duration) {
	e := w.engine(u.ID)
	e.readEnd = max(e.readEnd, w.now) + time.Duration(float64(k.Tokens)/w.ReadRate*float64(time.Millisecond))
	w.running(e, a.Model, 1)
	w.at(e.readEnd, func() {
		w.table.Start(a, u.ID)
		if w.now-arrived <= k.Objective {
			w.results[k.Name].InTime++
		} else {
			w.results[k.Name].Late++
		}
		w.pump()
	})
	w.at(e.readEnd+k.Runs, func() {
		w.table.Release(a, u.ID)
		w.running(e, a.Model, -1)
		w.pump()
	})
}

func (w *world) engine(id string) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.id == id })
	return w.engines[i]
}

func (w *world) running(e *engine, model string, by int) {
	for i := range e.models {
		if e.models[i].Model == model {
			e.models[i].Running += by
		}
	}
}

// pump grants waiting requests as far as there is room.
func (w *world) pump() {
	w.table.Pump(w.snap, w.cfg, w.time())
	w.waits = slices.DeleteFunc(w.waits, func(x *waiting) bool {
		u := x.w.Granted()
		if u != nil {
			w.run(u, x.ask, x.kind, x.at)
		}
		return u != nil || w.now > x.at+x.kind.Patience
	})
}

// changed publishes what the engines hold.
func (w *world) changed() {
	var t registrar.Table
	all := make(map[string]*registrar.Upstream)
	for _, e := range w.engines {
		u := &registrar.Upstream{ID: e.id, Service: service, Slots: w.Engine.Slots, Born: 1, OnDisk: e.onDisk}
		for _, m := range e.models {
			u.Models = append(u.Models, registrar.Model{Name: m.Model})
		}
		all[e.id] = u
	}
	t.ApplyEntries(all, w.time())
	w.snap = t.Now()
}

// plan makes the moves of the policy.
func (w *world) plan() {
	w.at(w.now+planEvery, w.plan)
	f := arranger.Fleet{Engine: w.Engine, StoreLanes: 4, IsIdle: !w.arrived, Now: w.time()}
	running := make(map[string]int)
	for _, e := range w.engines {
		u := arranger.Upstream{ID: e.id, IsBusy: e.busy, BusyFor: e.doneAt - w.now, OnDisk: e.onDisk, Models: slices.Clone(e.models)}
		for _, m := range e.models {
			u.Running += m.Running
			running[m.Model] += m.Running
		}
		if e.target != "" {
			u.Models = append(u.Models, arranger.Resident{Model: e.target, Since: w.time()})
		}
		if e.store {
			f.StoreLoads++
		}
		f.Upstreams = append(f.Upstreams, u)
	}
	waits := make(map[string]int)
	for _, u := range w.table.Uses(w.time()) {
		waits[u.Model] += u.Waiting
	}
	for _, m := range sortedModels(w.Engine) {
		if n := w.first[m]; n > 1 && !w.arrived {
			w.rate(m).Assume(priorRate*float64(n-1), w.time())
		}
		f.Demands = append(f.Demands, arranger.Demand{
			Model: m, Rate: w.rate(m).Forecast(w.time()), Waiting: waits[m], Running: running[m],
		})
	}
	for _, m := range w.policy(f) {
		e := w.engine(m.Upstream)
		e.busy = true
		e.doneAt = w.now + m.Orders[len(m.Orders)-1].Takes
		w.carryOut(e, m.Orders)
	}
}

func sortedModels(e matcher.Engine) []string {
	out := make([]string, 0, len(e.Models))
	for name := range e.Models {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// carryOut carries out the orders of a move, one after the other.
func (w *world) carryOut(e *engine, orders []arranger.Order) {
	if len(orders) == 0 {
		e.busy = false
		return
	}
	o := orders[0]
	if o.Operation == arranger.Load {
		e.target, e.store = o.Model, o.Tier == arranger.FromStore
		w.at(w.now+o.Takes+seenAfter, func() {
			e.models = append(e.models, arranger.Resident{Model: o.Model, Since: w.time()})
			if !slices.Contains(e.onDisk, o.Model) {
				e.onDisk = append(e.onDisk, o.Model)
			}
			e.target, e.store = "", false
			w.changed()
			w.pump()
			w.carryOut(e, orders[1:])
		})
		return
	}
	i := slices.IndexFunc(e.models, func(r arranger.Resident) bool { return r.Model == o.Model })
	if i < 0 {
		w.carryOut(e, orders[1:])
		return
	}
	// An unload waits for its runs; nothing new begins there meanwhile.
	left := e.models[i]
	e.models = slices.Delete(slices.Clone(e.models), i, i+1)
	w.changed()
	if left.Running == 0 {
		w.carryOut(e, orders[1:])
		return
	}
	w.at(w.now+w.longestRun(), func() { w.carryOut(e, orders[1:]) })
}

func (w *world) longestRun() time.Duration {
	var d time.Duration
	for _, k := range w.Kinds {
		d = max(d, k.Runs)
	}
	return d
}
