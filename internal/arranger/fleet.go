package arranger

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
)

// Fleet is the input of Plan: the upstreams of a service and the demand.
type Fleet struct {
	Engine    matcher.Engine
	Upstreams []Upstream
	// Demands holds one entry for each model, with an empty Adapter, and one for
	// each requested adapter. Each of these may have others for a software version.
	Demands []Demand
	// StoreLoads is how many loads from the weight store are in flight.
	StoreLoads int
	// StoreLoadLimit is how many loads the store runs at once at full speed.
	StoreLoadLimit int
	// HostSlots is the greatest number of models whose weights were seen in the host memory of
	// an upstream.
	HostSlots int
	// IsIdle reports that no request has arrived yet.
	IsIdle bool
	Now    time.Time
}

// Upstream is the state of an engine that a plan is based on.
type Upstream struct {
	ID         string
	DataCentre string
	// Software is the version of the upstream's software.
	Software string
	// IsBusy reports that an order is in flight or that the upstream accepts none.
	IsBusy  bool
	BusyFor time.Duration // estimated remaining time, negative if overdue
	Running int
	// IsLimited reports that the upstream takes so few requests that its models count as
	// not loaded for the number of replicas, and that no model is loaded there.
	IsLimited            bool
	Models               []Resident
	InHostMemory, OnDisk []string
}

// Resident is a model that is loaded or loading on an upstream.
type Resident struct {
	Model    string
	Running  int
	LoadedAt time.Time // when it was loaded, zero if unknown
	Adapters []Adapter
	// ReplacedBy is the model that is loaded in its place when its running requests
	// have ended. It is empty if the model gets new requests.
	ReplacedBy string
}

// Adapter is an adapter that is loaded on an upstream.
type Adapter struct {
	Name     string
	Running  int
	LastUsed time.Time
}

// Demand is the demand for a model, adapters included, or for one adapter.
type Demand struct {
	Model, Adapter string
	// Software, if not nil, is the only software version at which the requests may run. They
	// are for the rest of streams that began there, and only Waiting and MayReturn are set.
	Software *string
	// Rate is in requests per second.
	Rate             float64
	Waiting, Running int
	// MayReturn is how many streams that began at the software version may be taken up again.
	MayReturn int
}

// mayRunAt reports whether the requests may run at the upstream.
func (d Demand) mayRunAt(u Upstream) bool { return d.Software == nil || u.Software == *d.Software }

// Operation is the kind of an order.
type Operation string

// Operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Tier is the storage that a model is loaded from.
type Tier string

// Tiers, the fastest first.
const (
	FromHost  Tier = "host"
	FromDisk  Tier = "disk"
	FromStore Tier = "store"
)

// Order loads or unloads one model or adapter on an upstream.
type Order struct {
	Operation      Operation
	Model, Adapter string
	// Tier and LoadDuration are the source and the expected duration of a model's
	// load.
	Tier         Tier
	LoadDuration time.Duration
	// OtherDuration, if not 0, is how long the load takes if the weights are not where they are
	// expected.
	OtherDuration time.Duration
}

// Move is a sequence of orders for one upstream.
type Move struct {
	Upstream string
	Orders   []Order
	// ModelsToDrain are the models to unload that still run requests. They get no new
	// ones, and the orders are sent only when a later plan returns the move without
	// drains: an engine accepts no other order while an unload waits for running
	// requests.
	ModelsToDrain []string
	Reason        string
	// BoundWaiting is how many requests wait that may run only at the upstream's version of the
	// software.
	BoundWaiting int
}

// Skipped is a load that requests for the rest of streams wait for and that a plan does not
// begin.
type Skipped struct {
	Model, Software string
	Waiting         int
	// Obstacles returns for each upstream of the version why the model is not loaded there now.
	Obstacles func() []string
}

// LoadedModel returns the model that the last order loads.
func (m Move) LoadedModel() string { return m.Orders[len(m.Orders)-1].Model }

func (u Upstream) holds(model string) bool {
	return slices.ContainsFunc(u.Models, func(r Resident) bool { return r.Model == model })
}

// runningOf returns how many requests run on the given models.
func (u Upstream) runningOf(models []string) int {
	n := 0
	for _, r := range u.Models {
		if slices.Contains(models, r.Model) {
			n += r.Running
		}
	}
	return n
}

// adapterCount returns how many adapters are loaded.
func (u Upstream) adapterCount() int {
	n := 0
	for _, r := range u.Models {
		n += len(r.Adapters)
	}
	return n
}

// usedMB returns the memory that the models use with their adapters.
func (u Upstream) usedMB(e matcher.Engine) float64 {
	sum := 0.0
	for _, r := range u.Models {
		m := e.Models[r.Model]
		sum += m.SizeMB + float64(len(r.Adapters))*m.AdapterMB
	}
	return sum
}

// occupiedMB returns the memory of a model and of its adapters with running requests. The others can be
// unloaded at any time.
func (r Resident) occupiedMB(e matcher.Engine) float64 {
	m := e.Models[r.Model]
	sum := m.SizeMB
	for _, a := range r.Adapters {
		if a.Running > 0 {
			sum += m.AdapterMB
		}
	}
	return sum
}

// idleAdapter is an adapter without running requests.
type idleAdapter struct {
	Adapter
	model string
}

// adaptersToUnload returns the least recently used idle adapters whose unloads free some memory and some
// adapter slots. It reports false if all of them are not enough.
func (u Upstream) adaptersToUnload(e matcher.Engine, missingMB float64, missingSlots int) ([]idleAdapter, bool) {
	var idle []idleAdapter
	for _, r := range u.Models {
		for _, a := range r.Adapters {
			if a.Running == 0 {
				idle = append(idle, idleAdapter{a, r.Model})
			}
		}
	}
	slices.SortStableFunc(idle, func(a, b idleAdapter) int { return a.LastUsed.Compare(b.LastUsed) })
	for n, a := range idle {
		if missingMB <= 0 && missingSlots <= 0 {
			return idle[:n], true
		}
		missingMB, missingSlots = missingMB-e.Models[a.model].AdapterMB, missingSlots-1
	}
	return idle, missingMB <= 0 && missingSlots <= 0
}

// without returns the upstream without some models.
func (u Upstream) without(models []string) Upstream {
	u.Models = slices.DeleteFunc(slices.Clone(u.Models), func(r Resident) bool { return slices.Contains(models, r.Model) })
	return u
}

// tier returns the fastest tier that has the model's weights, and how long a load
// from it takes.
func (u Upstream) tier(m matcher.Model) (Tier, time.Duration) {
	switch {
	case slices.Contains(u.InHostMemory, m.Name):
		return FromHost, m.HostLoadDuration
	case slices.Contains(u.OnDisk, m.Name):
		return FromDisk, m.DiskLoadDuration
	}
	return FromStore, m.StoreLoadDuration
}

// source is where a load comes from.
type source struct {
	tier            Tier
	duration, other time.Duration // see Order
}

// sourceAfter returns where a model is loaded from once the victims are unloaded. Their weights
// go to host memory and displace what is there.
func (f Fleet) sourceAfter(u Upstream, m matcher.Model, victims []string) source {
	tier, duration := u.tier(m)
	if tier != FromHost || len(victims) == 0 {
		return source{tier, duration, 0}
	}
	below := source{FromStore, m.StoreLoadDuration, duration}
	if slices.Contains(u.OnDisk, m.Name) {
		below = source{FromDisk, m.DiskLoadDuration, duration}
	}
	inHostMemory := len(u.InHostMemory)
	for _, v := range victims {
		if !slices.Contains(u.InHostMemory, v) {
			inHostMemory++
		}
	}
	if inHostMemory <= f.HostSlots {
		return source{FromHost, duration, below.duration}
	}
	return below
}
