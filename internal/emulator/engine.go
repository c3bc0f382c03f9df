package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// engine is a simulated engine.
type engine struct {
	id           string
	incarnation  int64
	software     string
	isLost       bool
	models       []arranger.Resident // Running is set only in the copy for a plan
	inHostMemory []string            // most recently used first
	onDisk       []string
	isBusy       bool          // executes the orders of a move
	isStoreLoad  bool          // the load in progress is from the weight store
	loading      string        // model being loaded, empty for none
	busyUntil    time.Duration // expected end of the move
	draining     []string      // models that receive no new requests
	replacement  string        // model to load when the draining ends
	prefillEnd   time.Duration // end of the prefill of all prompts sent so far
	runs         map[*run]bool
}

// run is a request that runs on an engine.
type run struct {
	*instance
	request    queuer.Request
	kind       RequestKind
	end        time.Duration
	hasStarted bool
	isInTime   bool
}

// storeCheckpoint adds a model's checkpoint to the engine's host memory and disk.
func (sim *simulation) storeCheckpoint(e *engine, model string) {
	push := func(list []string, limit int) []string {
		list = append([]string{model}, slices.DeleteFunc(slices.Clone(list), func(m string) bool { return m == model })...)
		return list[:min(len(list), limit)]
	}
	e.inHostMemory, e.onDisk = push(e.inHostMemory, sim.MaxHostCheckpoints), push(e.onDisk, sim.MaxDiskCheckpoints)
}

// numRunning returns the number of running requests of a model.
func (e *engine) numRunning(model string) int {
	n := 0
	for r := range e.runs {
		if r.request.Model == model {
			n++
		}
	}
	return n
}

// lastEnd returns when the last running request of a model ends.
func (e *engine) lastEnd(model string) time.Duration {
	var end time.Duration
	for r := range e.runs {
		if r.request.Model == model {
			end = max(end, r.end)
		}
	}
	return end
}

// interrupt starts an outage of an engine and schedules its end.
func (sim *simulation) interrupt(e *engine, o Outage) {
	runs := slices.SortedFunc(maps.Keys(e.runs), func(a, b *run) int { return cmp.Compare(a.end, b.end) })
	for _, r := range runs {
		if !r.hasStarted {
			r.table.RecordPrefill(r.request, e.id)
		}
		r.table.Release(r.request, e.id)
		sim.results[r.kind.Name].Interrupted++
		if r.kind.IsResumable && r.hasStarted {
			sim.schedule(sim.now+returnDelay, func() { sim.takeUp(r, e.software) })
		}
	}
	*e = engine{id: e.id, software: e.software, incarnation: e.incarnation + 1, isLost: true, onDisk: e.onDisk, runs: make(map[*run]bool)}
	if o.LosesDisk {
		e.onDisk = nil
	}
	sim.publish()
	sim.schedule(sim.now+o.Duration, func() {
		e.isLost = false
		sim.publish()
	})
}

// returnDelay is how long after a break a client takes its stream up again.
const returnDelay = 200 * time.Millisecond

// takeUp makes the request for the rest of a stream that broke.
func (sim *simulation) takeUp(r *run, software string) {
	q, k := r.request, r.kind
	if q.Software == nil {
		k.Name, k.From = restOf(k.Name), 0
	}
	q.ID, q.Software = q.ID+"+", &software
	q.Objective, q.StartBy = sim.time().Add(k.Objective), sim.time().Add(k.Timeout)
	sim.results[k.Name].Arrived++
	sim.admit(&queued{instance: r.instance, request: q, kind: k, at: sim.now, retries: k.Retries})
}

// publish publishes the state of all engines to the queue.
func (sim *simulation) publish() {
	for _, i := range sim.instances {
		i.snapshot = sim.snapshotFor(i)
	}
}

func (sim *simulation) snapshotFor(i *instance) *registrar.Snapshot {
	var t registrar.Table
	all := make(map[string]*registrar.Upstream)
	for _, e := range sim.engines {
		if e.isLost {
			continue
		}
		u := &registrar.Upstream{ID: e.id, Service: service, Software: e.software, Slots: sim.Engine.Slots, StartedAtMs: e.incarnation, OnDisk: e.onDisk, InHostMemory: e.inHostMemory}
		for _, m := range e.models {
			if slices.Contains(e.draining, m.Model) {
				continue
			}
			u.Models = append(u.Models, registrar.Model{Name: m.Model})
		}
		u.NumPeerAttempts = len(e.runs) - i.table.Running(e.id)
		all[e.id] = u
	}
	t.ApplyRegistrations(all, sim.time())
	return t.Snapshot()
}

// plan starts the moves of the policy and schedules the next plan.
func (sim *simulation) plan() {
	sim.schedule(sim.now+planInterval, sim.plan)
	f := arranger.Fleet{Engine: sim.Engine, StoreLoadLimit: storeLoadLimit, IsIdle: !sim.hasArrivals, Now: sim.time()}
	running := make(map[string]int)
	for _, e := range sim.engines {
		if e.isLost {
			continue
		}
		u := arranger.Upstream{
			ID: e.id, Software: e.software, IsBusy: e.isBusy, BusyFor: e.busyUntil - sim.now, OnDisk: e.onDisk, InHostMemory: e.inHostMemory, Models: slices.Clone(e.models), Running: len(e.runs),
		}
		for i, m := range u.Models {
			u.Models[i].Running = e.numRunning(m.Model)
			if slices.Contains(e.draining, m.Model) {
				u.Models[i].ReplacedBy = e.replacement
			}
			running[m.Model] += u.Models[i].Running
		}
		if e.loading != "" {
			u.Models = append(u.Models, arranger.Resident{Model: e.loading, LoadedAt: sim.time()})
		}
		if e.isStoreLoad {
			f.StoreLoads++
		}
		f.Upstreams = append(f.Upstreams, u)
	}
	f.Demands = sim.demands(running)
	sim.streams.Observe(&f)
	before := sim.drainState()
	for _, e := range sim.engines {
		e.draining = nil
	}
	for _, m := range sim.policy(f) {
		e := sim.engine(m.Upstream)
		if len(m.ModelsToDrain) > 0 {
			e.draining, e.replacement = m.ModelsToDrain, m.LoadedModel()
			continue
		}
		e.isBusy = true
		e.busyUntil = sim.now + m.Orders[len(m.Orders)-1].LoadDuration
		sim.execute(e, e.incarnation, m.Orders)
	}
	if sim.drainState() != before {
		sim.publish()
		sim.runGranted()
	}
}

// drainState returns a text that differs whenever an engine drains other models.
func (sim *simulation) drainState() string {
	out := ""
	for _, e := range sim.engines {
		out += fmt.Sprint(e.draining, ";")
	}
	return out
}

// storeLoads returns the number of loads from the weight store in progress.
func (sim *simulation) storeLoads() int {
	n := 0
	for _, e := range sim.engines {
		if e.isStoreLoad {
			n++
		}
	}
	return n
}

// demands returns the request rate and the waiting and running requests of each model.
func (sim *simulation) demands(running map[string]int) []arranger.Demand {
	waiting := make(map[string]int)
	var out []arranger.Demand
	for _, i := range sim.instances {
		for _, u := range i.table.Demands(sim.time()) {
			if u.Software != nil {
				out = append(out, arranger.Demand{Model: u.Model, Software: u.Software, Waiting: u.Waiting})
				continue
			}
			waiting[u.Model] += u.Waiting
		}
	}
	for _, m := range sortedModels(sim.Engine) {
		if n := sim.initialReplicas[m]; n > 1 && !sim.hasArrivals {
			sim.rate(m).Set(priorRatePerReplica*float64(n-1), sim.time())
		}
		out = append(out, arranger.Demand{
			Model: m, Rate: sim.rate(m).Forecast(sim.time()), Waiting: waiting[m], Running: running[m],
		})
	}
	return out
}

// execute executes the orders of a move one after the other. It stops if the
// engine has been lost since, which changes its incarnation.
func (sim *simulation) execute(e *engine, incarnation int64, orders []arranger.Order) {
	if e.incarnation != incarnation {
		return // the engine was lost in the meantime
	}
	if len(orders) == 0 {
		e.isBusy = false
		return
	}
	o := orders[0]
	if o.Operation == arranger.Load {
		e.loading, e.isStoreLoad = o.Model, o.Tier == arranger.FromStore
		duration := o.LoadDuration
		if e.isStoreLoad { // loads beyond the limit share the store's bandwidth
			duration = time.Duration(float64(duration) * max(1, float64(sim.storeLoads())/storeLoadLimit))
		}
		sim.schedule(sim.now+duration+reportDelay, func() {
			if e.incarnation != incarnation {
				return
			}
			e.models = append(e.models, arranger.Resident{Model: o.Model, LoadedAt: sim.time()})
			sim.storeCheckpoint(e, o.Model)
			e.loading, e.isStoreLoad = "", false
			sim.publish()
			sim.runGranted()
			sim.execute(e, incarnation, orders[1:])
		})
		return
	}
	i := slices.IndexFunc(e.models, func(r arranger.Resident) bool { return r.Model == o.Model })
	if i < 0 {
		sim.execute(e, incarnation, orders[1:])
		return
	}
	// An unload waits for the model's running requests. The model is removed
	// first, so that it receives no new ones.
	e.models = slices.Delete(slices.Clone(e.models), i, i+1)
	sim.publish()
	sim.schedule(max(sim.now, e.lastEnd(o.Model)), func() { sim.execute(e, incarnation, orders[1:]) })
}

func sortedModels(e matcher.Engine) []string {
	out := make([]string, 0, len(e.Models))
	for name := range e.Models {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
