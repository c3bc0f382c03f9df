// Package placer decides which replicas and adapters to load and unload.
//
// Plan is a pure function of what is known and the time: it does no I/O and
// reads no clock. It plans the models of one holder's shards; the fold checks
// every decision again against contracts and memory.
//
// A cold start costs its seconds times the cold-start weight and the weight of
// its class. A loaded and idle replica costs its share of an accelerator times
// the idle weight for each hour. An idle replica stays while its model's
// history promises enough saved cold starts for each idle hour, and a model is
// loaded ahead of a learned hour when the next minutes promise more than that.
// The two thresholds lie apart, so that no replica is loaded and unloaded in
// turn at small changes. Without weights an idle replica stays for KeepWarm.
//
// The rules:
//
//   - A plan never exceeds a contract, an engine's memory, the store's
//     concurrent loads or the adapter loads in flight.
//   - Models with waiting requests go first, by class and deadline. The last
//     store slots are kept for urgent requests.
//   - An adapter goes onto a loaded replica of its model before a new replica.
//   - Nothing is loaded ahead into room for which a request waits.
//   - A plan that is applied and made again at the same time adds nothing.
package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Replica is one replica of a planned model.
type Replica struct {
	ID       string
	Upstream string
	Phase    folder.Phase
	// Busy says that requests run on the replica or wait for it.
	Busy bool
	// Adapters are loaded on the replica or being loaded.
	Adapters []string
	// EvictFor says for what another holder asked to unload the replica.
	EvictFor string
}

// Model is a model of the holder's shards with what is wanted of it.
type Model struct {
	Name       string
	Customer   string
	Checkpoint string
	Bytes      uint64
	// MaxReplicas bounds the model's replicas, 0 for the contract alone.
	MaxReplicas int
	Replicas    []Replica
	// Waiting counts all waiting requests, with those that need an adapter.
	Waiting  int
	Running  int
	Deadline time.Time
	Class    recordv1.RequestClass
	LastUsed time.Time
	Adapters []AdapterDemand
	// Forecast says what is expected of the idle model; nil knows nothing.
	Forecast func(now, last time.Time, horizon time.Duration) forecaster.Outlook
	// Foreign says that another holder plans the model.
	Foreign bool
	// Gone says that the model is not in force any more.
	Gone bool
}

// AdapterDemand is what waits for one adapter of a model.
type AdapterDemand struct {
	Name     string
	Waiting  int
	Class    recordv1.RequestClass
	Deadline time.Time
}

// Upstream is an engine that may take replicas.
type Upstream struct {
	Name        string
	Incarnation string
	DataCentre  string
	MemoryBytes uint64
	FreeBytes   uint64
	Load        int
	Slots       int
	Usable      bool
	InMemory    []string // checkpoints in the host's memory
	OnDisk      []string // checkpoints
}

// Allowance is what is left of a customer's contract.
type Allowance struct {
	Replicas int
	Bytes    uint64
}

// Input is all that a plan depends on.
type Input struct {
	Now        time.Time
	Models     []Model
	Upstreams  []Upstream
	Allowances map[string]Allowance
	// StoreLoads and AdapterLoads count the loads in flight.
	StoreLoads   int
	AdapterLoads int
	Policy       Policy
}

// Policy holds the settings of the plan.
type Policy struct {
	// KeepWarm is how long an idle replica stays loaded if no weight is set.
	KeepWarm time.Duration
	// ColdStartWeight is the cost of a second of cold start, IdleWeight that
	// of an hour for which an accelerator is loaded and idle.
	ColdStartWeight float64
	IdleWeight      float64
	// StoreConcurrent bounds the store loads at once. UrgentReserve of them
	// are kept for urgent requests.
	StoreConcurrent   int
	UrgentReserve     int
	StoreLoadsPerSec  float64
	WaitingPerReplica int
	AdapterLoads      int
	// PeerLoads says that engines can load from each other.
	PeerLoads bool
	// NoPreload, NoEviction and NoClasses switch mechanisms off, and
	// PlainPlacement takes the engine with most room.
	NoPreload      bool
	NoEviction     bool
	NoClasses      bool
	PlainPlacement bool
}

// HasWeights reports whether costs decide what stays loaded.
func (p Policy) HasWeights() bool {
	return p.ColdStartWeight > 0 && p.IdleWeight > 0
}

// Order is one planned change.
type Order struct {
	Action      recordv1.DecisionAction
	Model       string
	Replica     string // of an unload or an adapter load
	Adapter     string
	Upstream    string
	Incarnation string
	Bytes       uint64
	Source      recordv1.LoadSource
	Reason      string
	// Foreign says that the replica's holder must be asked to unload it.
	Foreign bool
	// Ahead says that no request waits for the load.
	Ahead bool
}

// Defaults of a Policy.
const (
	DefaultKeepWarm          = 5 * time.Minute
	DefaultStoreConcurrent   = 4
	DefaultUrgentReserve     = 1
	DefaultStoreLoadsPerSec  = 4
	DefaultWaitingPerReplica = 16
)

func (p Policy) withDefaults() Policy {
	p.KeepWarm = cmp.Or(p.KeepWarm, DefaultKeepWarm)
	p.StoreConcurrent = cmp.Or(p.StoreConcurrent, DefaultStoreConcurrent)
	p.UrgentReserve = min(cmp.Or(p.UrgentReserve, DefaultUrgentReserve), p.StoreConcurrent-1)
	p.StoreLoadsPerSec = cmp.Or(p.StoreLoadsPerSec, DefaultStoreLoadsPerSec)
	p.WaitingPerReplica = cmp.Or(p.WaitingPerReplica, DefaultWaitingPerReplica)
	p.AdapterLoads = cmp.Or(p.AdapterLoads, folder.DefaultAdapterLoads)
	return p
}

// Plan returns the changes to make now.
func Plan(in Input) []Order {
	p := newPlanner(in)
	p.adapters()
	p.unloads()
	p.loads()
	p.preloads()
	return p.out
}

// planner is the state of one plan. Indexes are into the input.
type planner struct {
	Input
	allowances map[string]Allowance
	free       []uint64 // by upstream
	// freeing is the memory that decided unloads will free and no load of this
	// plan counts on.
	freeing []uint64
	// returning is the same for contracts.
	returning map[string]Allowance
	index     map[string]int // upstreams by name
	meanBytes float64        // of a model
	unloading map[string]bool
	added     map[string]int // replicas that this plan loads, by model
	// shortContracts and shortMemory say who waits for room. Nothing is loaded
	// ahead into it.
	shortContracts map[string]bool
	shortMemory    bool

	victims [][]victim // idle replicas by upstream, filled when first needed
	out     []Order
}

func newPlanner(in Input) *planner {
	in.Policy = in.Policy.withDefaults()
	p := &planner{
		Input: in, allowances: maps.Clone(in.Allowances), returning: make(map[string]Allowance),
		free: make([]uint64, len(in.Upstreams)), freeing: make([]uint64, len(in.Upstreams)),
		index: make(map[string]int, len(in.Upstreams)), unloading: make(map[string]bool), added: make(map[string]int),
		shortContracts: make(map[string]bool),
	}
	if p.allowances == nil {
		p.allowances = make(map[string]Allowance)
	}
	for i, u := range in.Upstreams {
		p.free[i] = u.FreeBytes
		p.index[u.Name] = i
	}
	for i := range in.Models {
		m := &in.Models[i]
		p.meanBytes += float64(m.Bytes) / float64(len(in.Models))
		for _, r := range m.Replicas {
			if r.Phase == folder.PhaseUnloading {
				p.addFreeing(m, r.Upstream)
			}
		}
	}
	return p
}

// addFreeing counts memory and contract that an unload will free.
func (p *planner) addFreeing(m *Model, upstream string) {
	if i, ok := p.index[upstream]; ok {
		p.freeing[i] += m.Bytes
	}
	a := p.returning[m.Customer]
	p.returning[m.Customer] = Allowance{a.Replicas + 1, a.Bytes + m.Bytes}
}

func (p *planner) unload(m *Model, r Replica, reason string) {
	p.unloading[r.ID] = true
	p.addFreeing(m, r.Upstream)
	p.out = append(p.out, Order{
		Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD,
		Model:  m.Name, Replica: r.ID, Upstream: r.Upstream, Reason: reason, Foreign: m.Foreign,
	})
}

// isIdle reports whether the replica may be unloaded without cutting a request.
func (p *planner) isIdle(r Replica) bool {
	return r.Phase == folder.PhaseLoaded && !r.Busy && !p.unloading[r.ID]
}

// active counts the replicas that are loaded or being loaded.
func (p *planner) active(m *Model) int {
	n := 0
	for _, r := range m.Replicas {
		if (r.Phase == folder.PhaseLoading || r.Phase == folder.PhaseLoaded) && !p.unloading[r.ID] {
			n++
		}
	}
	return n
}

// loads plans replicas for models whose requests wait.
func (p *planner) loads() {
	var wanted []*Model
	for i := range p.Models {
		if m := &p.Models[i]; !m.Gone && !m.Foreign && p.wantsReplica(m) {
			wanted = append(wanted, m)
		}
	}
	for len(wanted) > 0 {
		i := p.first(wanted)
		if m := wanted[i]; !p.loadWaiting(m) || !p.wantsReplica(m) {
			wanted = slices.Delete(wanted, i, i+1)
		}
	}
}

// first returns the index of the model that gets the next replica: the most
// urgent, then the one with fewest replicas, then the earliest deadline.
func (p *planner) first(list []*Model) int {
	best := 0
	for i, m := range list {
		if p.compare(m, list[best]) < 0 {
			best = i
		}
	}
	return best
}

func (p *planner) compare(a, b *Model) int {
	if a.Class != b.Class && !p.Policy.NoClasses {
		return cmp.Compare(a.Class, b.Class)
	}
	return cmp.Or(cmp.Compare(p.count(a), p.count(b)), a.Deadline.Compare(b.Deadline), cmp.Compare(a.Name, b.Name))
}

// count counts the model's replicas with those that this plan loads.
func (p *planner) count(m *Model) int {
	return p.active(m) + p.added[m.Name]
}

// loadWaiting loads one replica or makes room for it. It reports whether it loaded.
func (p *planner) loadWaiting(m *Model) bool {
	slots := p.Policy.StoreConcurrent - p.StoreLoads
	if m.Class != recordv1.RequestClass_REQUEST_CLASS_URGENT && !p.Policy.NoClasses {
		slots -= p.Policy.UrgentReserve
	}
	if !p.hasContract(m) {
		p.shortContracts[m.Customer] = true
		p.makeContractRoom(m)
		return false
	}
	if c, ok := p.place(m, slots > 0); ok {
		p.load(m, c, "requests wait and no replica has room")
		return true
	}
	if c, ok := p.place(m, true); ok {
		p.reserve(m, c) // only a store slot is missing
		return false
	}
	p.shortMemory = true
	p.makeRoom(m, mustLoad)
	return false
}

// wantsReplica reports whether one more replica is wanted. Requests that wait
// for an adapter on a loaded replica want none.
func (p *planner) wantsReplica(m *Model) bool {
	n := p.count(m)
	if m.MaxReplicas > 0 && len(m.Replicas)+p.added[m.Name] >= m.MaxReplicas {
		return false
	}
	waiting := m.Waiting
	if hasLoaded(m) {
		for _, a := range m.Adapters {
			waiting -= a.Waiting
		}
	}
	return waiting > 0 && n*p.Policy.WaitingPerReplica < waiting
}

func hasLoaded(m *Model) bool {
	return slices.ContainsFunc(m.Replicas, func(r Replica) bool { return r.Phase == folder.PhaseLoaded })
}

func (p *planner) load(m *Model, c choice, reason string) {
	u := p.Upstreams[c.upstream]
	if c.source == recordv1.LoadSource_LOAD_SOURCE_STORE {
		p.StoreLoads++
	}
	p.added[m.Name]++
	p.reserve(m, c)
	p.out = append(p.out, Order{
		Action: recordv1.DecisionAction_DECISION_ACTION_LOAD,
		Model:  m.Name, Upstream: u.Name, Incarnation: u.Incarnation, Bytes: m.Bytes, Source: c.source,
		Reason: reason + ", loaded from " + sourceNames[c.source],
	})
}

// reserve keeps memory and contract for the model.
func (p *planner) reserve(m *Model, c choice) {
	p.free[c.upstream] -= m.Bytes
	a := p.allowances[m.Customer]
	p.allowances[m.Customer] = Allowance{a.Replicas - 1, a.Bytes - m.Bytes}
}
