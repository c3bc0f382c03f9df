// Package placer decides which replicas to load and unload.
//
// Plan is a pure function of what is known and the time: it does no I/O and
// reads no clock. It plans the models of one holder's shards; the fold checks
// every decision again against contracts and memory.
package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Replica is one replica of a planned model.
type Replica struct {
	ID       string
	Upstream string
	Phase    folder.Phase
	// Busy says that requests run on the replica or wait for it.
	Busy bool
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
	Waiting     int
	Running     int
	Deadline    time.Time
	Class       recordv1.RequestClass
	LastUsed    time.Time
	// Gone says that the model is not in force any more.
	Gone bool
}

// Upstream is an engine that may take replicas.
type Upstream struct {
	Name        string
	Incarnation string
	FreeBytes   uint64
	Load        int
	Slots       int
	Usable      bool
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
	StoreLoads int
	Policy     Policy
}

// Policy holds the settings of the plan.
type Policy struct {
	// KeepWarm is how long an idle replica stays loaded.
	KeepWarm           time.Duration
	StoreConcurrent    int
	WaitingPerReplica  int
	StoreLoadsPerSec   float64
	ColdStartWeight    float64
	IdleWeight         float64
	AdapterLoadsFlight int
}

// Order is one planned change.
type Order struct {
	Action      recordv1.DecisionAction
	Model       string
	Replica     string // of an unload
	Upstream    string
	Incarnation string
	Bytes       uint64
	Source      recordv1.LoadSource
	Reason      string
}

// Defaults of a Policy.
const (
	DefaultKeepWarm          = 5 * time.Minute
	DefaultStoreConcurrent   = 4
	DefaultWaitingPerReplica = 16
)

// Plan returns the changes to make now.
func Plan(in Input) []Order {
	p := &planner{in: in, free: make(map[string]uint64), storeLoads: in.StoreLoads}
	for _, u := range in.Upstreams {
		p.free[u.Name] = u.FreeBytes
	}
	p.unloads()
	p.loads()
	return p.out
}

type planner struct {
	in         Input
	free       map[string]uint64
	storeLoads int
	out        []Order
}

func (p *planner) keepWarm() time.Duration {
	if p.in.Policy.KeepWarm > 0 {
		return p.in.Policy.KeepWarm
	}
	return DefaultKeepWarm
}

func (p *planner) unloads() {
	for _, m := range p.in.Models {
		idle := m.Waiting == 0 && m.Running == 0 && p.in.Now.Sub(m.LastUsed) > p.keepWarm()
		for _, r := range m.Replicas {
			if r.Phase != folder.PhaseLoaded || r.Busy || !idle && !m.Gone {
				continue
			}
			reason := "idle for longer than the keep-warm time"
			if m.Gone {
				reason = "model is not in force any more"
			}
			p.out = append(p.out, Order{
				Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD,
				Model:  m.Name, Replica: r.ID, Upstream: r.Upstream, Reason: reason,
			})
		}
	}
}

func (p *planner) loads() {
	wanted := slices.DeleteFunc(slices.Clone(p.in.Models), func(m Model) bool { return m.Gone || !p.wantsReplica(m) })
	slices.SortFunc(wanted, func(a, b Model) int {
		if a.Class != b.Class {
			return cmp.Compare(a.Class, b.Class)
		}
		return a.Deadline.Compare(b.Deadline)
	})
	limit := cmp.Or(p.in.Policy.StoreConcurrent, DefaultStoreConcurrent)
	for _, m := range wanted {
		if p.storeLoads >= limit {
			return
		}
		if u, ok := p.place(m); ok {
			p.load(m, u)
		}
	}
}

func (p *planner) wantsReplica(m Model) bool {
	per := cmp.Or(p.in.Policy.WaitingPerReplica, DefaultWaitingPerReplica)
	n := 0
	for _, r := range m.Replicas {
		if r.Phase == folder.PhaseLoading || r.Phase == folder.PhaseLoaded {
			n++
		}
	}
	if m.MaxReplicas > 0 && n >= m.MaxReplicas {
		return false
	}
	return m.Waiting > 0 && n*per < m.Waiting
}

// place returns the usable upstream with most room that fits.
func (p *planner) place(m Model) (Upstream, bool) {
	a := p.in.Allowances[m.Customer]
	if a.Replicas <= 0 || a.Bytes < m.Bytes {
		return Upstream{}, false
	}
	var best Upstream
	for _, u := range p.in.Upstreams {
		if !u.Usable || p.free[u.Name] < m.Bytes {
			continue
		}
		onDisk, bestOnDisk := slices.Contains(u.OnDisk, m.Checkpoint), slices.Contains(best.OnDisk, m.Checkpoint)
		if best.Name == "" || onDisk && !bestOnDisk || onDisk == bestOnDisk && p.free[u.Name] > p.free[best.Name] {
			best = u
		}
	}
	return best, best.Name != ""
}

func (p *planner) load(m Model, u Upstream) {
	source := recordv1.LoadSource_LOAD_SOURCE_STORE
	if slices.Contains(u.OnDisk, m.Checkpoint) {
		source = recordv1.LoadSource_LOAD_SOURCE_DISK
	} else {
		p.storeLoads++
	}
	p.free[u.Name] -= m.Bytes
	a := p.in.Allowances[m.Customer]
	p.in.Allowances[m.Customer] = Allowance{a.Replicas - 1, a.Bytes - m.Bytes}
	p.out = append(p.out, Order{
		Action: recordv1.DecisionAction_DECISION_ACTION_LOAD,
		Model:  m.Name, Upstream: u.Name, Incarnation: u.Incarnation, Bytes: m.Bytes, Source: source,
		Reason: "requests wait and no replica has room",
	})
}
