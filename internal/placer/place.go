package placer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

var sourceNames = map[recordv1.LoadSource]string{
	recordv1.LoadSource_LOAD_SOURCE_MEMORY: "the engine's memory",
	recordv1.LoadSource_LOAD_SOURCE_DISK:   "the engine's disk",
	recordv1.LoadSource_LOAD_SOURCE_PEER:   "a peer engine",
	recordv1.LoadSource_LOAD_SOURCE_STORE:  "the weight store",
}

// relativeLoadTimes are load durations relative to a load from the weight
// store.
var relativeLoadTimes = [...]float64{
	recordv1.LoadSource_LOAD_SOURCE_MEMORY: 0.15,
	recordv1.LoadSource_LOAD_SOURCE_DISK:   0.5,
	recordv1.LoadSource_LOAD_SOURCE_PEER:   0.4,
	recordv1.LoadSource_LOAD_SOURCE_STORE:  1,
}

// RelativeLoadTime returns the load duration from a source relative to a load from
// the weight store.
func RelativeLoadTime(s recordv1.LoadSource) float64 {
	return relativeLoadTimes[s]
}

// placement is the upstream, by index, that loads a replica and the source of
// its checkpoint.
type placement struct {
	upstream int
	source   recordv1.LoadSource
}

func (p *planner) hasContractRoom(m *Model) bool {
	a := p.freeCapacity[m.Customer]
	return a.Replicas > 0 && a.Bytes >= m.Bytes
}

// hasFreeMemory reports whether a usable upstream has enough free memory for
// the model.
func (p *planner) hasFreeMemory(m *Model) bool {
	for i := range p.Upstreams {
		if p.Upstreams[i].IsUsable && p.freeBytes[i] >= m.Bytes {
			return true
		}
	}
	return false
}

// place returns the upstream with the shortest load duration. Among equal ones
// it prefers an upstream in a data centre without a replica of the model, then
// the one that caches the fewest checkpoints, so that checkpoints are cached on
// more upstreams and a later load is more likely to find one, then the one with
// the least free memory, which limits fragmentation, then the one with the
// fewest requests. Loads from the weight store are considered only if
// canUseStore is set.
func (p *planner) place(m *Model, canUseStore bool) (placement, bool) {
	best := placement{upstream: -1}
	canUsePeer := p.Policy.CanLoadFromPeers && hasLoadedReplica(m)
	for i := range p.Upstreams {
		if !p.Upstreams[i].IsUsable || p.freeBytes[i] < m.Bytes {
			continue
		}
		c := placement{i, p.source(m, i, canUsePeer)}
		if c.source == recordv1.LoadSource_LOAD_SOURCE_STORE && !canUseStore {
			continue
		}
		if best.upstream < 0 || p.isBetter(m, c, best) {
			best = c
		}
	}
	return best, best.upstream >= 0
}

func (p *planner) source(m *Model, i int, canUsePeer bool) recordv1.LoadSource {
	u := &p.Upstreams[i]
	switch {
	case slices.Contains(u.InMemory, m.Checkpoint):
		return recordv1.LoadSource_LOAD_SOURCE_MEMORY
	case canUsePeer:
		return recordv1.LoadSource_LOAD_SOURCE_PEER
	case slices.Contains(u.OnDisk, m.Checkpoint):
		return recordv1.LoadSource_LOAD_SOURCE_DISK
	}
	return recordv1.LoadSource_LOAD_SOURCE_STORE
}

func (p *planner) isBetter(m *Model, a, b placement) bool {
	if x, y := relativeLoadTimes[a.source], relativeLoadTimes[b.source]; x != y {
		return x < y
	}
	if p.Policy.PlaceByFreeMemory {
		return p.freeBytes[a.upstream] > p.freeBytes[b.upstream]
	}
	if x, y := p.hasReplicaInDataCentre(m, a.upstream), p.hasReplicaInDataCentre(m, b.upstream); x != y {
		return y
	}
	if x, y := p.numCheckpoints(a.upstream), p.numCheckpoints(b.upstream); x != y {
		return x < y
	}
	if x, y := p.freeBytes[a.upstream], p.freeBytes[b.upstream]; x != y {
		return x < y
	}
	return p.Upstreams[a.upstream].NumRequests < p.Upstreams[b.upstream].NumRequests
}

// numCheckpoints counts the checkpoints that an engine caches in the host's
// memory and on its disk.
func (p *planner) numCheckpoints(i int) int {
	return len(p.Upstreams[i].InMemory) + len(p.Upstreams[i].OnDisk)
}

// hasReplicaInDataCentre reports whether the model has a replica in the data
// centre of the upstream.
func (p *planner) hasReplicaInDataCentre(m *Model, i int) bool {
	return slices.ContainsFunc(m.Replicas, func(r Replica) bool {
		j, ok := p.upstreamIndex[r.Upstream]
		return ok && p.Upstreams[j].DataCentre == p.Upstreams[i].DataCentre
	})
}

// planAdapterLoads plans adapter loads on loaded replicas, by class and
// deadline.
func (p *planner) planAdapterLoads() {
	type pair struct {
		m *Model
		a *AdapterDemand
	}
	var pending []pair
	for i := range p.Models {
		m := &p.Models[i]
		for j := range m.Adapters {
			if m.Adapters[j].Waiting > 0 && !m.IsRemoved && !m.IsHeldByPeer {
				pending = append(pending, pair{m, &m.Adapters[j]})
			}
		}
	}
	slices.SortStableFunc(pending, func(x, y pair) int {
		if x.a.Class != y.a.Class {
			return int(x.a.Class) - int(y.a.Class)
		}
		return x.a.Deadline.Compare(y.a.Deadline)
	})
	for _, w := range pending {
		if p.AdapterLoads >= p.Policy.AdapterLoadLimit {
			return
		}
		if r, ok := adapterHost(w.m, w.a.Name); ok {
			p.AdapterLoads++
			p.orders = append(p.orders, Order{
				Action: recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER, Model: w.m.Name, Replica: r.ID,
				Adapter: w.a.Name, Upstream: r.Upstream, Incarnation: p.incarnationOf(r.Upstream),
				Reason: "requests wait for the adapter and its base is loaded",
			})
		}
	}
}

func (p *planner) incarnationOf(upstream string) string {
	if i, ok := p.upstreamIndex[upstream]; ok {
		return p.Upstreams[i].Incarnation
	}
	return ""
}

// adapterHost returns the loaded replica with the fewest adapters. It returns
// false if no replica is loaded, or if the adapter is loaded or loading on one.
func adapterHost(m *Model, adapter string) (Replica, bool) {
	var host Replica
	for _, r := range m.Replicas {
		if r.Phase != applier.PhaseLoaded {
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

// storeLoadTime returns the mean duration of a load from the weight store when
// it serves StoreLoadLimit concurrent loads at StoreLoadsPerSec.
func (p Policy) storeLoadTime() time.Duration {
	return time.Duration(float64(p.StoreLoadLimit) / p.StoreLoadsPerSec * float64(time.Second))
}
