// Package replayer runs the placement decisions against a trace in virtual time.
//
// It is a discrete-event simulation of the parts that the decisions depend on:
// engines with memory, a weight store of limited speed, requests that wait for a
// loaded replica, and the arrival histories from which forecasts are made.
// Requests, load ends and faults are events on one queue. After events that can
// change the placement, package placer computes a plan and its orders are
// applied. This package makes no placement decisions of its own.
//
// The network, the log, entry instances, token generation and the batching of
// engines are not simulated. A running request takes the duration stated in the
// trace.
package replayer

import (
	"container/heap"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	"github.com/primrosedrift/primrosedrift/internal/generator"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const (
	planInterval         = 60 * time.Second
	unloadDuration       = 200 * time.Millisecond
	slotsPerReplica      = 32       // concurrent requests
	maxDiskCheckpoints   = 6        // per engine
	maxMemoryCheckpoints = 1        // per engine
	adapterLoadLimit     = 32       // concurrent, on all engines together
	meanLoadBytes        = 30 << 30 // a load of this size takes the mean duration of a store load
)

// maxWaits holds the maximum time in the queue by class.
var maxWaits = [...]time.Duration{
	recordv1.RequestClass_REQUEST_CLASS_URGENT:      10 * time.Second,
	recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE: 30 * time.Second,
	recordv1.RequestClass_REQUEST_CLASS_BATCH:       2 * time.Minute,
}

// Setup is the placement policy of a run and the faults to inject.
type Setup struct {
	Policy placer.Policy
	// HasExactForecasts replaces the learned forecasts by exact ones taken from the
	// trace, which gives an offline bound.
	HasExactForecasts bool
	Faults            []Fault
}

// Replay runs a trace and returns the measurements taken after the learning days.
func Replay(t generator.Trace, s Setup) Result {
	r := &replay{trace: t, setup: s, now: t.Start, storeSpeed: 1}
	r.refusals = make(map[string]int)
	r.usage = make(map[string]placer.ContractCapacity)
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

// event is a function to run at a point in virtual time. Events at the same time
// run in the order in which they were scheduled.
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

// replay is the state of one simulation run.
type replay struct {
	trace         generator.Trace
	setup         Setup
	now           time.Time
	events        eventQueue
	seq           int
	models        []model
	engines       []engine
	nextRequest   int // index of the next request to arrive
	nextReplicaID int

	// Buffers reused for the input of the next plan.
	modelInputs    []placer.Model
	upstreamInputs []placer.Upstream

	usage        map[string]placer.ContractCapacity
	storeLoads   int     // in flight
	adapterLoads int     // in flight
	storeSpeed   float64 // speed of the weight store as a fraction of full speed
	measurement
}

type model struct {
	*generator.Model
	history    forecaster.History
	arrivals   []time.Time // set only for exact forecasts
	numArrived int
	lastUsed   time.Time
	waiting    []*waitingRequest
	running    int
	replicas   []*replica
}

type waitingRequest struct {
	req        generator.Request
	isCold     bool // no replica was loaded when the request arrived
	hasStarted bool
}

type replica struct {
	id        string
	model     int
	engine    int
	phase     applier.Phase
	source    recordv1.LoadSource
	running   int
	adapters  map[int]applier.Phase
	idleSince time.Time
}

type engine struct {
	placer.Upstream
	replicas []*replica
}

func (r *replay) schedule(t time.Time, run func()) {
	r.seq++
	heap.Push(&r.events, event{t, r.seq, run})
}

func (r *replay) scheduleAfter(d time.Duration, run func()) { r.schedule(r.now.Add(d), run) }

func (r *replay) init() {
	d := r.trace.Deployment
	for i := range r.trace.Models {
		r.models = append(r.models, model{Model: &r.trace.Models[i]})
	}
	if r.setup.HasExactForecasts {
		for _, q := range r.trace.Requests {
			m := &r.models[q.Model]
			m.arrivals = append(m.arrivals, q.At)
		}
	}
	for i := range d.NumEngines {
		r.engines = append(r.engines, engine{Upstream: placer.Upstream{
			Name: engineName(i), Incarnation: "1", DataCentre: d.DataCentres[i%len(d.DataCentres)],
			MemoryBytes: d.EngineBytes, FreeBytes: d.EngineBytes, Slots: slotsPerReplica, IsUsable: true,
		}})
	}
	for _, f := range r.setup.Faults {
		r.schedule(r.trace.MeasureStart.Add(f.After), func() { r.injectFault(f) })
	}
	r.schedule(r.trace.Start, r.tick)
	r.nextArrival()
}

func (r *replay) tick() {
	r.plan()
	r.scheduleAfter(planInterval, r.tick)
}

func (r *replay) nextArrival() {
	if r.nextRequest == len(r.trace.Requests) {
		return
	}
	q := r.trace.Requests[r.nextRequest]
	r.nextRequest++
	r.schedule(q.At, func() {
		r.arrive(q)
		r.nextArrival()
	})
}

func (r *replay) arrive(q generator.Request) {
	m := &r.models[q.Model]
	m.numArrived++
	if m.running == 0 && len(m.waiting) == 0 {
		m.history.Observe(m.lastUsed, r.now)
	}
	m.lastUsed = r.now
	w := &waitingRequest{req: q, isCold: !slices.ContainsFunc(m.replicas, func(p *replica) bool { return p.phase == applier.PhaseLoaded })}
	m.waiting = append(m.waiting, w)
	r.startWaiting(q.Model)
	if w.hasStarted {
		return
	}
	r.scheduleAfter(maxWaits[m.Class], func() { r.rejectIfWaiting(q.Model, w) })
	r.plan()
}

// startWaiting runs the waiting requests for which a loaded replica has a free slot.
func (r *replay) startWaiting(i int) {
	m := &r.models[i]
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waitingRequest) bool {
		p := m.leastLoaded(w.req.Adapter)
		if p == nil {
			return false
		}
		w.hasStarted = true
		r.run(i, p, w)
		return true
	})
}

// leastLoaded returns the replica with the fewest running requests among those
// that have the adapter and a free slot, or nil.
func (m *model) leastLoaded(adapter int) *replica {
	var best *replica
	for _, p := range m.replicas {
		if p.phase != applier.PhaseLoaded || p.running >= slotsPerReplica || adapter >= 0 && p.adapters[adapter] != applier.PhaseLoaded {
			continue
		}
		if best == nil || p.running < best.running {
			best = p
		}
	}
	return best
}

func (r *replay) run(i int, p *replica, w *waitingRequest) {
	m := &r.models[i]
	r.measureStart(w)
	r.measureIdle(p)
	p.running++
	m.running++
	r.scheduleAfter(w.req.RunDuration, func() {
		p.running--
		m.running--
		m.lastUsed = r.now
		p.idleSince = r.now
		r.startWaiting(i)
		unloadsAtOnce := !r.setup.Policy.HasWeights() && r.setup.Policy.KeepWarm < planInterval
		if m.running == 0 && (unloadsAtOnce || r.isWaiting()) {
			r.plan()
		}
	})
}

// isWaiting reports whether any request is waiting. If so, an idle replica may
// have to be unloaded to make memory available.
func (r *replay) isWaiting() bool {
	return slices.ContainsFunc(r.models, func(m model) bool { return len(m.waiting) > 0 })
}

func (r *replay) rejectIfWaiting(i int, w *waitingRequest) {
	m := &r.models[i]
	j := slices.Index(m.waiting, w)
	if j < 0 {
		return
	}
	m.waiting = slices.Delete(m.waiting, j, j+1)
	r.measureRefusal(m, w)
}
