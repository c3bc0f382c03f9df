// Package replayer drives the placement decisions through a trace in virtual time.
//
// It is the least that the decisions need around them: engines with memory, a
// weight store of limited speed, requests that wait for a loaded replica, and
// the histories that the decisions learn from. Requests, load ends and faults
// are events on one queue; after those that matter the plan of package placer
// is made and its orders are applied. Nothing here decides.
//
// What is left out: the network, the log, entry instances, token generation
// and the batching of engines. A running request takes its stated time.
package replayer

import (
	"container/heap"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	"github.com/primrosedrift/primrosedrift/internal/tracer"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const (
	tickInterval  = 60 * time.Second
	unloadTime    = 200 * time.Millisecond
	slots         = 32 // requests that run on a replica at once
	diskSlots     = 6  // checkpoints on an engine's disk
	memorySlots   = 1  // checkpoints in an engine's host memory
	adapterLimit  = 32
	meanLoadBytes = 30 << 30 // a load of this size takes the store's mean time
)

// waitingTimes are the longest waits by class.
var waitingTimes = [...]time.Duration{
	recordv1.RequestClass_REQUEST_CLASS_URGENT:      10 * time.Second,
	recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE: 30 * time.Second,
	recordv1.RequestClass_REQUEST_CLASS_BATCH:       2 * time.Minute,
}

// Setup says what decides, and what fails.
type Setup struct {
	Policy placer.Policy
	// Foresight makes forecasts from the trace itself, for an offline bound.
	Foresight bool
	Faults    []Fault
}

// Replay runs a trace and returns what was measured after the days to learn from.
func Replay(t tracer.Trace, s Setup) Result {
	r := &replay{trace: t, setup: s, now: t.Start, store: 1}
	r.refused = make(map[string]int)
	r.usage = make(map[string]placer.Allowance)
	r.init()
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at.After(t.End) {
			break
		}
		r.now = e.at
		e.run()
	}
	return r.result()
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// replay is the state of one run.
type replay struct {
	trace   tracer.Trace
	setup   Setup
	now     time.Time
	events  eventQueue
	seq     int
	models  []model
	engines []engine
	next    int // request
	nextID  int

	// Space for the next plan's input.
	modelInputs    []placer.Model
	upstreamInputs []placer.Upstream

	usage        map[string]placer.Allowance
	storeLoads   int
	adapterLoads int
	store        float64 // speed of the store, 1 at its best
	measurement
}

type model struct {
	*tracer.Model
	history  forecaster.History
	arrivals []time.Time // for foresight
	arrived  int
	lastUsed time.Time
	waiting  []*waiting
	running  int
	replicas []*replica
}

type waiting struct {
	req     tracer.Request
	cold    bool // no replica was loaded at its arrival
	started bool
}

type replica struct {
	id        string
	model     int
	engine    int
	phase     folder.Phase
	source    recordv1.LoadSource
	running   int
	adapters  map[int]folder.Phase
	idleSince time.Time
}

type engine struct {
	placer.Upstream
	replicas []*replica
}

func (r *replay) at(t time.Time, run func()) {
	r.seq++
	heap.Push(&r.events, event{t, r.seq, run})
}

func (r *replay) after(d time.Duration, run func()) { r.at(r.now.Add(d), run) }

func (r *replay) init() {
	d := r.trace.Deployment
	for i := range r.trace.Models {
		r.models = append(r.models, model{Model: &r.trace.Models[i]})
	}
	if r.setup.Foresight {
		for _, q := range r.trace.Requests {
			m := &r.models[q.Model]
			m.arrivals = append(m.arrivals, q.At)
		}
	}
	for i := range d.Engines {
		r.engines = append(r.engines, engine{Upstream: placer.Upstream{
			Name: engineName(i), Incarnation: "1", DataCentre: d.DataCentres[i%len(d.DataCentres)],
			MemoryBytes: d.EngineBytes, FreeBytes: d.EngineBytes, Slots: slots, Usable: true,
		}})
	}
	for _, f := range r.setup.Faults {
		r.at(r.trace.Measured.Add(f.After), func() { r.begin(f) })
	}
	r.at(r.trace.Start, r.tick)
	r.nextArrival()
}

func (r *replay) tick() {
	r.plan()
	r.after(tickInterval, r.tick)
}

func (r *replay) nextArrival() {
	if r.next == len(r.trace.Requests) {
		return
	}
	q := r.trace.Requests[r.next]
	r.next++
	r.at(q.At, func() {
		r.arrive(q)
		r.nextArrival()
	})
}

func (r *replay) arrive(q tracer.Request) {
	m := &r.models[q.Model]
	m.arrived++
	if m.running == 0 && len(m.waiting) == 0 {
		m.history.Observe(m.lastUsed, r.now)
	}
	m.lastUsed = r.now
	w := &waiting{req: q, cold: !slices.ContainsFunc(m.replicas, func(p *replica) bool { return p.phase == folder.PhaseLoaded })}
	m.waiting = append(m.waiting, w)
	r.start(q.Model)
	if w.started {
		return
	}
	r.after(waitingTimes[m.Class], func() { r.expire(q.Model, w) })
	r.plan()
}

// start starts what can run on the model's loaded replicas.
func (r *replay) start(i int) {
	m := &r.models[i]
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waiting) bool {
		p := m.host(w.req.Adapter)
		if p == nil {
			return false
		}
		w.started = true
		r.run(i, p, w)
		return true
	})
}

// host returns the least loaded replica that has the adapter.
func (m *model) host(adapter int) *replica {
	var best *replica
	for _, p := range m.replicas {
		if p.phase != folder.PhaseLoaded || p.running >= slots || adapter >= 0 && p.adapters[adapter] != folder.PhaseLoaded {
			continue
		}
		if best == nil || p.running < best.running {
			best = p
		}
	}
	return best
}

func (r *replay) run(i int, p *replica, w *waiting) {
	m := &r.models[i]
	r.measureStart(w)
	r.measureIdle(p)
	p.running++
	m.running++
	r.after(w.req.Run, func() {
		p.running--
		m.running--
		m.lastUsed = r.now
		p.idleSince = r.now
		r.start(i)
		atOnce := !r.setup.Policy.HasWeights() && r.setup.Policy.KeepWarm < tickInterval
		if m.running == 0 && (atOnce || r.isWaiting()) {
			r.plan()
		}
	})
}

// isWaiting reports whether any request waits, so that an idle replica may be
// wanted for its room.
func (r *replay) isWaiting() bool {
	return slices.ContainsFunc(r.models, func(m model) bool { return len(m.waiting) > 0 })
}

func (r *replay) expire(i int, w *waiting) {
	m := &r.models[i]
	j := slices.Index(m.waiting, w)
	if j < 0 {
		return
	}
	m.waiting = slices.Delete(m.waiting, j, j+1)
	r.measureRefusal(m, w)
}
