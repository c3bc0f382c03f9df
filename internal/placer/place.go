package placer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

var sourceNames = map[recordv1.LoadSource]string{
	recordv1.LoadSource_LOAD_SOURCE_MEMORY: "the engine's memory",
	recordv1.LoadSource_LOAD_SOURCE_DISK:   "the engine's disk",
	recordv1.LoadSource_LOAD_SOURCE_PEER:   "a peer engine",
	recordv1.LoadSource_LOAD_SOURCE_STORE:  "the weight store",
}

// sourceCosts are load times as parts of a load from the store.
var sourceCosts = [...]float64{
	recordv1.LoadSource_LOAD_SOURCE_MEMORY: 0.15,
	recordv1.LoadSource_LOAD_SOURCE_DISK:   0.5,
	recordv1.LoadSource_LOAD_SOURCE_PEER:   0.4,
	recordv1.LoadSource_LOAD_SOURCE_STORE:  1,
}

// SourceCost returns the load time from a source as a part of a load from the store.
func SourceCost(s recordv1.LoadSource) float64 {
	return sourceCosts[s]
}

// choice is where a replica goes and where its checkpoint comes from.
type choice struct {
	upstream int
	source   recordv1.LoadSource
}

func (p *planner) hasContract(m *Model) bool {
	a := p.allowances[m.Customer]
	return a.Replicas > 0 && a.Bytes >= m.Bytes
}

// fits reports whether a usable upstream has the memory now.
func (p *planner) fits(m *Model) bool {
	for i := range p.Upstreams {
		if p.Upstreams[i].Usable && p.free[i] >= m.Bytes {
			return true
		}
	}
	return false
}

// place returns the upstream that loads the model soonest. Among equals it
// takes one in another data centre than the model's replicas, then the one
// that keeps fewest checkpoints, so that a later load finds more copies, then
// the one whose memory is left least in pieces, then the least loaded.
func (p *planner) place(m *Model, fromStore bool) (choice, bool) {
	best := choice{upstream: -1}
	peer := p.Policy.PeerLoads && hasLoaded(m)
	for i := range p.Upstreams {
		if !p.Upstreams[i].Usable || p.free[i] < m.Bytes {
			continue
		}
		c := choice{i, p.source(m, i, peer)}
		if c.source == recordv1.LoadSource_LOAD_SOURCE_STORE && !fromStore {
			continue
		}
		if best.upstream < 0 || p.isBetter(m, c, best) {
			best = c
		}
	}
	return best, best.upstream >= 0
}

func (p *planner) source(m *Model, i int, peer bool) recordv1.LoadSource {
	u := &p.Upstreams[i]
	switch {
	case slices.Contains(u.InMemory, m.Checkpoint):
		return recordv1.LoadSource_LOAD_SOURCE_MEMORY
	case peer:
		return recordv1.LoadSource_LOAD_SOURCE_PEER
	case slices.Contains(u.OnDisk, m.Checkpoint):
		return recordv1.LoadSource_LOAD_SOURCE_DISK
	}
	return recordv1.LoadSource_LOAD_SOURCE_STORE
}

func (p *planner) isBetter(m *Model, a, b choice) bool {
	if x, y := sourceCosts[a.source], sourceCosts[b.source]; x != y {
		return x < y
	}
	if p.Policy.PlainPlacement {
		return p.free[a.upstream] > p.free[b.upstream]
	}
	if x, y := p.isNear(m, a.upstream), p.isNear(m, b.upstream); x != y {
		return y
	}
	if x, y := p.copies(a.upstream), p.copies(b.upstream); x != y {
		return x < y
	}
	if x, y := p.free[a.upstream], p.free[b.upstream]; x != y {
		return x < y
	}
	return p.Upstreams[a.upstream].Load < p.Upstreams[b.upstream].Load
}

// copies counts the checkpoints that an engine keeps outside its accelerators.
func (p *planner) copies(i int) int {
	return len(p.Upstreams[i].InMemory) + len(p.Upstreams[i].OnDisk)
}

// isNear reports whether the model has a replica in the upstream's data centre.
func (p *planner) isNear(m *Model, i int) bool {
	return slices.ContainsFunc(m.Replicas, func(r Replica) bool {
		j, ok := p.index[r.Upstream]
		return ok && p.Upstreams[j].DataCentre == p.Upstreams[i].DataCentre
	})
}

// adapters plans adapter loads on loaded replicas, most urgent first.
func (p *planner) adapters() {
	type want struct {
		m *Model
		a *AdapterDemand
	}
	var wants []want
	for i := range p.Models {
		m := &p.Models[i]
		for j := range m.Adapters {
			if m.Adapters[j].Waiting > 0 && !m.Gone && !m.Foreign {
				wants = append(wants, want{m, &m.Adapters[j]})
			}
		}
	}
	slices.SortStableFunc(wants, func(x, y want) int {
		if x.a.Class != y.a.Class {
			return int(x.a.Class) - int(y.a.Class)
		}
		return x.a.Deadline.Compare(y.a.Deadline)
	})
	for _, w := range wants {
		if p.AdapterLoads >= p.Policy.AdapterLoads {
			return
		}
		if r, ok := adapterHost(w.m, w.a.Name); ok {
			p.AdapterLoads++
			p.out = append(p.out, Order{
				Action: recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER, Model: w.m.Name, Replica: r.ID,
				Adapter: w.a.Name, Upstream: r.Upstream, Incarnation: p.incarnation(r.Upstream),
				Reason: "requests wait for the adapter and its base is loaded",
			})
		}
	}
}

func (p *planner) incarnation(upstream string) string {
	if i, ok := p.index[upstream]; ok {
		return p.Upstreams[i].Incarnation
	}
	return ""
}

// adapterHost returns the loaded replica with fewest adapters, unless one has
// the adapter or gets it.
func adapterHost(m *Model, adapter string) (Replica, bool) {
	var host Replica
	for _, r := range m.Replicas {
		if r.Phase != folder.PhaseLoaded {
			continue
		}
		if slices.Contains(r.Adapters, adapter) {
			return Replica{}, false
		}
		if host.ID == "" || len(r.Adapters) < len(host.Adapters) {
			host = r
		}
	}
	return host, host.ID != ""
}

// loadTime is the time of a load from the store at full speed.
func (p Policy) loadTime() time.Duration {
	return time.Duration(float64(p.StoreConcurrent) / p.StoreLoadsPerSec * float64(time.Second))
}
