package replayer

import (
	"fmt"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func engineName(i int) string      { return fmt.Sprintf("engine-%02d", i) }
func adapterName(i int) string     { return fmt.Sprintf("adapter-%d", i) }
func engineIndex(name string) int  { return parseIndex(name, "engine-%d") }
func adapterIndex(name string) int { return parseIndex(name, "adapter-%d") }

func parseIndex(name, format string) int {
	n := 0
	if _, err := fmt.Sscanf(name, format, &n); err != nil {
		panic(err)
	}
	return n
}

// plan computes a placement plan and applies its orders.
func (r *replay) plan() {
	for _, o := range placer.Plan(r.input()) {
		r.apply(o)
	}
}

func (r *replay) input() placer.Input {
	p := r.setup.Policy
	p.StoreLoadsPerSec = r.trace.Deployment.StoreLoadsPerSec
	in := placer.Input{
		Now: r.now, StoreLoads: r.storeLoads, AdapterLoads: r.adapterLoads, Policy: p,
		FreeCapacity: make(map[string]placer.ContractCapacity, len(r.trace.Contracts)),
		Models:       r.modelInputs[:0], Upstreams: r.upstreamInputs[:0],
	}
	for i := range r.models {
		in.Models = append(in.Models, r.modelInput(i))
	}
	for i := range r.engines {
		in.Upstreams = append(in.Upstreams, r.engines[i].Upstream)
	}
	r.modelInputs, r.upstreamInputs = in.Models, in.Upstreams
	for name, c := range r.trace.Contracts {
		used := r.usage[name]
		in.FreeCapacity[name] = placer.ContractCapacity{Replicas: c.MaxReplicas - used.Replicas, Bytes: c.MaxBytes - used.Bytes}
	}
	return in
}

func (r *replay) modelInput(i int) placer.Model {
	m := &r.models[i]
	out := placer.Model{
		Name: m.Name, Customer: m.Customer, Checkpoint: m.Name, Bytes: m.Bytes, Class: m.Class,
		Waiting: len(m.waiting), Running: m.running, LastUsed: m.lastUsed, Forecast: m.history.Forecast,
	}
	if r.setup.HasExactForecasts {
		out.Forecast = func(now, _ time.Time, _ time.Duration) forecaster.Forecast { return m.exactForecast(now) }
	}
	for _, p := range m.replicas {
		q := placer.Replica{ID: p.id, Upstream: engineName(p.engine), Phase: p.phase, IsBusy: p.running > 0}
		for a := range p.adapters {
			q.Adapters = append(q.Adapters, adapterName(a))
		}
		out.Replicas = append(out.Replicas, q)
	}
	if len(m.waiting) == 0 {
		return out
	}
	byAdapter := make(map[int]int)
	for _, w := range m.waiting {
		if out.Deadline.IsZero() {
			out.Deadline = w.req.At.Add(maxWaits[m.Class])
		}
		if a := w.req.Adapter; a >= 0 {
			byAdapter[a]++
		}
	}
	for a := range m.NumAdapters {
		if n := byAdapter[a]; n > 0 {
			out.Adapters = append(out.Adapters, placer.AdapterDemand{
				Name: adapterName(a), Waiting: n, Class: m.Class, Deadline: out.Deadline,
			})
		}
	}
	return out
}

// exactForecast returns the forecast that follows from the next arrival in the trace.
func (m *model) exactForecast(now time.Time) forecaster.Forecast {
	if m.numArrived == len(m.arrivals) {
		return forecaster.Forecast{}
	}
	gap := max(m.arrivals[m.numArrived].Sub(now).Hours(), 1e-6)
	out := forecaster.Forecast{MaxUsesPerIdleHour: 1 / gap, UseProbability: 1 / gap}
	if gap < exactPreloadLead.Hours() {
		out.SoonUsesPerIdleHour = 1 / gap
	}
	return out
}

// exactPreloadLead is how long before the next arrival an exact forecast lets the
// model be loaded.
const exactPreloadLead = time.Minute

func (r *replay) modelIndex(name string) int {
	return slices.IndexFunc(r.models, func(m model) bool { return m.Name == name })
}

func (r *replay) apply(o placer.Order) {
	i := r.modelIndex(o.Model)
	m := &r.models[i]
	switch o.Action {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD:
		r.load(i, o)
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD:
		p := m.replica(o.Replica)
		r.measureIdle(p)
		p.phase = applier.PhaseUnloading
		r.scheduleAfter(unloadDuration, func() {
			if r.removeReplica(p) {
				r.cacheInMemory(p)
				r.plan()
			}
		})
	case recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		r.loadAdapter(i, m.replica(o.Replica), adapterIndex(o.Adapter))
	}
}

func (m *model) replica(id string) *replica {
	i := slices.IndexFunc(m.replicas, func(p *replica) bool { return p.id == id })
	return m.replicas[i]
}

func (r *replay) load(i int, o placer.Order) {
	r.nextReplicaID++
	m, e := &r.models[i], engineIndex(o.Upstream)
	p := &replica{id: fmt.Sprint(r.nextReplicaID), model: i, engine: e, phase: applier.PhaseLoading, source: o.Source, adapters: make(map[int]applier.Phase)}
	m.replicas = append(m.replicas, p)
	r.engines[e].replicas = append(r.engines[e].replicas, p)
	r.engines[e].FreeBytes -= m.Bytes
	used := r.usage[m.Customer]
	r.usage[m.Customer] = placer.ContractCapacity{Replicas: used.Replicas + 1, Bytes: used.Bytes + m.Bytes}
	if o.Source == recordv1.LoadSource_LOAD_SOURCE_STORE {
		r.storeLoads++
	}
	r.measureLoad(o)
	r.checkInvariants(i, e)
	r.scheduleAfter(r.loadDuration(m, o.Source), func() { r.finishLoad(p) })
}

// loadDuration returns the duration of a load. The weight store runs up to
// placer.DefaultStoreLoadLimit loads at full speed; the plan stays within that
// limit, so concurrent loads do not slow each other down.
func (r *replay) loadDuration(m *model, source recordv1.LoadSource) time.Duration {
	meanSeconds := placer.DefaultStoreLoadLimit / r.trace.Deployment.StoreLoadsPerSec
	seconds := meanSeconds * float64(m.Bytes) / meanLoadBytes * placer.RelativeLoadTime(source)
	if source == recordv1.LoadSource_LOAD_SOURCE_STORE {
		seconds /= r.storeSpeed
	}
	return time.Duration(seconds * float64(time.Second))
}

func (r *replay) finishLoad(p *replica) {
	if p.phase != applier.PhaseLoading {
		return // the engine was removed during the load
	}
	r.releaseStoreLoad(p)
	p.phase = applier.PhaseLoaded
	p.idleSince = r.now
	u := &r.engines[p.engine].Upstream
	u.OnDisk = withNewest(u.OnDisk, r.models[p.model].Name, maxDiskCheckpoints)
	r.startWaiting(p.model)
	r.plan()
}

func (r *replay) releaseStoreLoad(p *replica) {
	if p.phase == applier.PhaseLoading && p.source == recordv1.LoadSource_LOAD_SOURCE_STORE {
		r.storeLoads--
	}
}

// cacheInMemory keeps the checkpoint of an unloaded replica in host memory.
func (r *replay) cacheInMemory(p *replica) {
	u := &r.engines[p.engine].Upstream
	u.InMemory = withNewest(u.InMemory, r.models[p.model].Name, maxMemoryCheckpoints)
}

// withNewest returns a copy of the list with the name moved or added to its
// end, cut to the newest entries. The argument is not modified, because earlier
// plan inputs may share it.
func withNewest(list []string, name string, limit int) []string {
	out := slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
	out = append(out, name)
	return out[max(0, len(out)-limit):]
}

// removeReplica deletes a replica, frees its memory and reports whether it still
// existed.
func (r *replay) removeReplica(p *replica) bool {
	m, e := &r.models[p.model], &r.engines[p.engine]
	j := slices.Index(m.replicas, p)
	if j < 0 {
		return false
	}
	m.replicas = slices.Delete(m.replicas, j, j+1)
	k := slices.Index(e.replicas, p)
	e.replicas = slices.Delete(e.replicas, k, k+1)
	e.FreeBytes += m.Bytes
	used := r.usage[m.Customer]
	r.usage[m.Customer] = placer.ContractCapacity{Replicas: used.Replicas - 1, Bytes: used.Bytes - m.Bytes}
	return true
}

func (r *replay) loadAdapter(i int, p *replica, adapter int) {
	p.adapters[adapter] = applier.PhaseLoading
	r.adapterLoads++
	r.counts.AdapterLoads += r.countIfMeasured()
	if r.adapterLoads > adapterLoadLimit {
		r.violations++
	}
	r.scheduleAfter(r.trace.Deployment.AdapterLoadDuration, func() {
		r.adapterLoads--
		p.adapters[adapter] = applier.PhaseLoaded
		if p.phase == applier.PhaseLoaded {
			r.startWaiting(i)
		}
		r.plan()
	})
}
