// Package placer decides which replicas and adapters to load and unload.
//
// Plan is a pure function of its Input: it does no I/O and reads no clock. It
// plans the models of one holder's shards. Package applier checks every decision
// against contracts and memory again when it applies the record.
//
// The cost of a cold start is its duration in seconds times the cold-start
// weight and the weight of the request class. It grows faster than the size of
// the model, to reduce tail latency. The cost of an idle replica, per hour, is
// the share of the engine's memory that it occupies times the idle weight. An
// idle replica stays loaded while the forecast of its model expects enough
// avoided cold starts per idle hour to cover that cost. A model is preloaded when
// the forecast for the next minutes exceeds a higher threshold. The gap between
// the two thresholds keeps small changes from loading and unloading a replica in
// turn. Without weights an idle replica stays loaded for KeepWarm.
//
// The rules:
//
//   - A plan never exceeds a contract, an engine's memory, the limit of
//     concurrent loads from the weight store or that of adapter loads in flight.
//   - Models with waiting requests are planned before preloads, by class, number
//     of replicas and deadline. The last concurrent loads from the weight store
//     are reserved for urgent requests.
//   - An adapter is loaded on a loaded replica of its model before another
//     replica is loaded.
//   - Memory and contract capacity for which a request waits are not used for
//     preloads.
//   - A plan that is applied and made again at the same time adds no order. After
//     a plan that makes room for a model others may follow, since the freed room
//     may be assigned again.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Replica is one replica of a planned model.
type Replica struct {
	ID       string
	Upstream string
	Phase    applier.Phase
	// IsBusy reports whether requests run or are queued on the replica.
	IsBusy bool
	// Adapters are the adapters that are loaded or loading on the replica.
	Adapters []string
	// EvictReason is the reason of another holder's request to unload the
	// replica, empty if there is none.
	EvictReason string
}

// Model is a model with its replicas and its demand.
type Model struct {
	Name       string
	Customer   string
	Checkpoint string
	Bytes      uint64
	// MaxReplicas limits the model's replicas; 0 leaves the limit to the
	// contract.
	MaxReplicas int
	Replicas    []Replica
	// Waiting counts all waiting requests, including those that need an
	// adapter.
	Waiting  int
	Running  int
	Deadline time.Time
	Class    recordv1.RequestClass
	LastUsed time.Time
	Adapters []AdapterDemand
	// Forecast returns when the idle model is likely to be used next. A nil
	// Forecast stands for a model without history.
	Forecast func(now, last time.Time, horizon time.Duration) forecaster.Forecast
	// IsHeldByPeer reports whether another holder plans the model. Its idle
	// replicas may be evicted by a request to that holder.
	IsHeldByPeer bool
	// IsRemoved reports whether the model was removed from the configuration.
	IsRemoved bool
}

// AdapterDemand describes the requests that wait for one adapter of a model.
type AdapterDemand struct {
	Name     string
	Waiting  int
	Class    recordv1.RequestClass
	Deadline time.Time
}

// Upstream is an engine that may load replicas.
type Upstream struct {
	Name        string
	Incarnation string
	DataCentre  string
	MemoryBytes uint64
	FreeBytes   uint64
	NumRequests int // requests that run or are queued
	Slots       int
	IsUsable    bool
	InMemory    []string // checkpoints in the host's memory
	OnDisk      []string // checkpoints on the host's disk
}

// ContractCapacity is the unused capacity of a customer's contract.
type ContractCapacity struct {
	Replicas int
	Bytes    uint64
}

// Input holds everything that a plan depends on.
type Input struct {
	Now          time.Time
	Models       []Model
	Upstreams    []Upstream
	FreeCapacity map[string]ContractCapacity // by customer
	// StoreLoads and AdapterLoads count the loads in flight from the weight
	// store and of adapters.
	StoreLoads   int
	AdapterLoads int
	Policy       Policy
}

// Policy holds the settings of the planner. Zero fields take the defaults
// below.
type Policy struct {
	// KeepWarm is the idle time after which a replica is unloaded if the
	// weights are not set.
	KeepWarm time.Duration
	// ColdStartWeight is the cost of one second of cold start. IdleWeight is
	// the cost of one hour for which a whole engine is loaded and idle.
	ColdStartWeight float64
	IdleWeight      float64
	// StoreLoadLimit limits the concurrent loads from the weight store.
	// UrgentReserve of them are reserved for urgent requests.
	StoreLoadLimit int
	UrgentReserve  int
	// StoreLoadsPerSec is the weight store's throughput in loads per second.
	StoreLoadsPerSec float64
	// WaitingPerReplica is the number of waiting requests per replica above
	// which another replica is loaded.
	WaitingPerReplica int
	// AdapterLoadLimit limits the adapter loads in flight.
	AdapterLoadLimit int
	// CanLoadFromPeers reports whether engines can load weights from each other.
	CanLoadFromPeers bool
	// NoPreload, NoEviction and NoClasses disable preloading, eviction and the
	// order by request class. PlaceByFreeMemory places a replica on the engine
	// with the most free memory.
	NoPreload         bool
	NoEviction        bool
	NoClasses         bool
	PlaceByFreeMemory bool
}

// HasWeights reports whether costs decide which replicas stay loaded. Otherwise
// KeepWarm does.
func (p Policy) HasWeights() bool {
	return p.ColdStartWeight > 0 && p.IdleWeight > 0
}

// Order is one planned load or unload.
type Order struct {
	Action      recordv1.DecisionAction
	Model       string
	Replica     string // empty for a load of a new replica
	Adapter     string
	Upstream    string
	Incarnation string
	Bytes       uint64
	Source      recordv1.LoadSource
	Reason      string
	// IsHeldByPeer reports whether another holder plans the replica, so that
	// the unload must be requested from it.
	IsHeldByPeer bool
	// IsPreload reports whether the load is a preload, for which no request waits.
	IsPreload bool
}

// Defaults of the fields of a Policy.
const (
	DefaultKeepWarm          = 5 * time.Minute
	DefaultStoreLoadLimit    = 4
	DefaultUrgentReserve     = 1
	DefaultStoreLoadsPerSec  = 4
	DefaultWaitingPerReplica = 16
)

func (p Policy) withDefaults() Policy {
	p.KeepWarm = cmp.Or(p.KeepWarm, DefaultKeepWarm)
	p.StoreLoadLimit = cmp.Or(p.StoreLoadLimit, DefaultStoreLoadLimit)
	p.UrgentReserve = min(cmp.Or(p.UrgentReserve, DefaultUrgentReserve), p.StoreLoadLimit-1)
	p.StoreLoadsPerSec = cmp.Or(p.StoreLoadsPerSec, DefaultStoreLoadsPerSec)
	p.WaitingPerReplica = cmp.Or(p.WaitingPerReplica, DefaultWaitingPerReplica)
	p.AdapterLoadLimit = cmp.Or(p.AdapterLoadLimit, applier.DefaultAdapterLoadLimit)
	return p
}

// Plan returns the loads and unloads to order at in.Now.
func Plan(in Input) []Order {
	p := newPlanner(in)
	p.planAdapterLoads()
	p.planUnloads()
	p.planLoads()
	p.planPreloads()
	return p.orders
}

// planner is the state of one plan. Upstream indexes are positions in
// Input.Upstreams.
type planner struct {
	Input
	freeCapacity map[string]ContractCapacity // unused contract capacity by customer
	freeBytes    []uint64                    // by upstream index
	// freeingBytes is the memory, by upstream index, that unloads in flight or
	// planned will free and that no load of this plan has reserved.
	freeingBytes []uint64
	// freeingContracts is the same for contract capacity, by customer.
	freeingContracts map[string]ContractCapacity
	upstreamIndex    map[string]int // by name
	meanModelBytes   float64
	unloading        map[string]bool // replicas that this plan unloads, by id
	addedReplicas    map[string]int  // replicas that this plan loads, by model
	// contractShortages, by customer, and hasMemoryShortage report whether
	// requests wait for capacity. Preloads must not use that capacity.
	contractShortages map[string]bool
	hasMemoryShortage bool

	victims [][]victim // by upstream index, computed on first use
	orders  []Order
}

func newPlanner(in Input) *planner {
	in.Policy = in.Policy.withDefaults()
	p := &planner{
		Input: in, freeCapacity: maps.Clone(in.FreeCapacity), freeingContracts: make(map[string]ContractCapacity),
		freeBytes: make([]uint64, len(in.Upstreams)), freeingBytes: make([]uint64, len(in.Upstreams)),
		upstreamIndex: make(map[string]int, len(in.Upstreams)), unloading: make(map[string]bool), addedReplicas: make(map[string]int),
		contractShortages: make(map[string]bool),
	}
	if p.freeCapacity == nil {
		p.freeCapacity = make(map[string]ContractCapacity)
	}
	for i, u := range in.Upstreams {
		p.freeBytes[i] = u.FreeBytes
		p.upstreamIndex[u.Name] = i
	}
	for i := range in.Models {
		m := &in.Models[i]
		p.meanModelBytes += float64(m.Bytes) / float64(len(in.Models))
		for _, r := range m.Replicas {
			if r.Phase == applier.PhaseUnloading {
				p.addFreeing(m, r.Upstream)
			}
		}
	}
	return p
}

// addFreeing adds the memory and contract capacity that an unload will free.
func (p *planner) addFreeing(m *Model, upstream string) {
	if i, ok := p.upstreamIndex[upstream]; ok {
		p.freeingBytes[i] += m.Bytes
	}
	a := p.freeingContracts[m.Customer]
	p.freeingContracts[m.Customer] = ContractCapacity{a.Replicas + 1, a.Bytes + m.Bytes}
}

func (p *planner) addUnload(m *Model, r Replica, reason string) {
	p.unloading[r.ID] = true
	p.addFreeing(m, r.Upstream)
	p.orders = append(p.orders, Order{
		Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD,
		Model:  m.Name, Replica: r.ID, Upstream: r.Upstream, Reason: reason, IsHeldByPeer: m.IsHeldByPeer,
	})
}

// isIdle reports whether the replica can be unloaded without interrupting a
// request.
func (p *planner) isIdle(r Replica) bool {
	return r.Phase == applier.PhaseLoaded && !r.IsBusy && !p.unloading[r.ID]
}

// numActive counts the model's replicas that are loaded or loading and that
// this plan does not unload.
func (p *planner) numActive(m *Model) int {
	n := 0
	for _, r := range m.Replicas {
		if (r.Phase == applier.PhaseLoading || r.Phase == applier.PhaseLoaded) && !p.unloading[r.ID] {
			n++
		}
	}
	return n
}

// planLoads plans replicas for models with waiting requests.
func (p *planner) planLoads() {
	var pending []*Model
	for i := range p.Models {
		if m := &p.Models[i]; !m.IsRemoved && !m.IsHeldByPeer && p.needsReplica(m) {
			pending = append(pending, m)
		}
	}
	for len(pending) > 0 {
		i := p.nextModel(pending)
		if m := pending[i]; !p.loadForWaiting(m) || !p.needsReplica(m) {
			pending = slices.Delete(pending, i, i+1)
		}
	}
}

// nextModel returns the index of the model to load next: the one with the most
// urgent class, then with the fewest replicas, then with the earliest deadline.
func (p *planner) nextModel(list []*Model) int {
	best := 0
	for i, m := range list {
		if p.compareModels(m, list[best]) < 0 {
			best = i
		}
	}
	return best
}

func (p *planner) compareModels(a, b *Model) int {
	if a.Class != b.Class && !p.Policy.NoClasses {
		return cmp.Compare(a.Class, b.Class)
	}
	return cmp.Or(cmp.Compare(p.numReplicas(a), p.numReplicas(b)), a.Deadline.Compare(b.Deadline), cmp.Compare(a.Name, b.Name))
}

// numReplicas counts the model's active replicas and those that this plan
// loads.
func (p *planner) numReplicas(m *Model) int {
	return p.numActive(m) + p.addedReplicas[m.Name]
}

// loadForWaiting plans one more replica, or room for one. It reports whether it
// planned a load.
func (p *planner) loadForWaiting(m *Model) bool {
	available := p.Policy.StoreLoadLimit - p.StoreLoads
	if m.Class != recordv1.RequestClass_REQUEST_CLASS_URGENT && !p.Policy.NoClasses {
		available -= p.Policy.UrgentReserve
	}
	if !p.hasContractRoom(m) {
		p.contractShortages[m.Customer] = true
		p.makeContractRoom(m)
		return false
	}
	if c, ok := p.place(m, available > 0); ok {
		p.addLoad(m, c, "requests wait and no replica has room")
		return true
	}
	if c, ok := p.place(m, true); ok {
		p.reserve(m, c) // only the limit of loads from the weight store prevents the load
		return false
	}
	p.hasMemoryShortage = true
	p.makeRoom(m, unlimitedBenefit)
	return false
}

// needsReplica reports whether waiting requests need one more replica. Requests
// for an adapter do not if a replica of the model is loaded, since the adapter
// can be loaded on it.
func (p *planner) needsReplica(m *Model) bool {
	n := p.numReplicas(m)
	if m.MaxReplicas > 0 && len(m.Replicas)+p.addedReplicas[m.Name] >= m.MaxReplicas {
		return false
	}
	waiting := m.Waiting
	if hasLoadedReplica(m) {
		for _, a := range m.Adapters {
			waiting -= a.Waiting
		}
	}
	return waiting > 0 && n*p.Policy.WaitingPerReplica < waiting
}

func hasLoadedReplica(m *Model) bool {
	return slices.ContainsFunc(m.Replicas, func(r Replica) bool { return r.Phase == applier.PhaseLoaded })
}

func (p *planner) addLoad(m *Model, c placement, reason string) {
	u := p.Upstreams[c.upstream]
	if c.source == recordv1.LoadSource_LOAD_SOURCE_STORE {
		p.StoreLoads++
	}
	p.addedReplicas[m.Name]++
	p.reserve(m, c)
	p.orders = append(p.orders, Order{
		Action: recordv1.DecisionAction_DECISION_ACTION_LOAD,
		Model:  m.Name, Upstream: u.Name, Incarnation: u.Incarnation, Bytes: m.Bytes, Source: c.source,
		Reason: reason + ", loaded from " + sourceNames[c.source],
	})
}

// reserve reserves memory on the upstream and contract capacity for the model.
func (p *planner) reserve(m *Model, c placement) {
	p.freeBytes[c.upstream] -= m.Bytes
	a := p.freeCapacity[m.Customer]
	p.freeCapacity[m.Customer] = ContractCapacity{a.Replicas - 1, a.Bytes - m.Bytes}
}
