package arranger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
)

var now = time.Unix(1000, 0)

// fleet returns a fleet of engines with room for two of its models each.
func fleet(engines, models int) Fleet {
	f := Fleet{
		Engine: matcher.Engine{Slots: 32, MemoryMB: 200, AdapterSlots: 2, Models: make(map[string]matcher.Model)},
		Now:    now, StoreLoadLimit: 4,
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		f.Engine.Models[name] = matcher.Model{
			Name: name, SizeMB: 100, StoreLoadDuration: 6 * time.Second, DiskLoadDuration: 800 * time.Millisecond, HostLoadDuration: 400 * time.Millisecond,
		}
	}
	for i := range engines {
		f.Upstreams = append(f.Upstreams, Upstream{ID: fmt.Sprintf("e%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	return f
}

func (f *Fleet) addModels(engine int, models ...string) {
	u := &f.Upstreams[engine]
	for _, m := range models {
		u.Models = append(u.Models, Resident{Model: m})
		u.OnDisk = append(u.OnDisk, m)
	}
}

func (f *Fleet) addDemand(model, adapter string, rate float64, waiting int) {
	f.Demands = append(f.Demands, Demand{Model: model, Adapter: adapter, Rate: rate, Waiting: waiting})
}

func loadOrders(moves []Move) []string {
	var out []string
	for _, m := range moves {
		for _, o := range m.Orders {
			if o.Operation == Load {
				out = append(out, m.Upstream+" "+o.Model+o.Adapter)
			}
		}
	}
	return out
}

func TestWaitingModelReplacesTheLeastRequestedModel(t *testing.T) {
	f := fleet(2, 5)
	f.addModels(0, "m0", "m1")
	f.addModels(1, "m2", "m3")
	f.Upstreams[1].OnDisk = append(f.Upstreams[1].OnDisk, "m4")
	f.addDemand("m0", "", 1, 0)
	f.addDemand("m1", "", 1, 0)
	f.addDemand("m2", "", 1, 0)
	f.addDemand("m3", "", 0.1, 0)
	f.addDemand("m4", "", 0.2, 1)
	moves := Plan(f)
	require.Equal(t, []Move{{
		Upstream: "e1", Reason: moves[0].Reason,
		Orders: []Order{
			{Operation: Unload, Model: "m3"},
			{Operation: Load, Model: "m4", Tier: FromDisk, LoadDuration: 800 * time.Millisecond},
		},
	}}, moves)
}

func TestModelWithWaitingRequestsIsNotUnloaded(t *testing.T) {
	f := fleet(1, 3)
	f.addModels(0, "m0", "m1")
	f.addDemand("m0", "", 0.5, 3)
	f.addDemand("m1", "", 0.5, 3)
	f.addDemand("m2", "", 0.5, 1)
	require.Empty(t, Plan(f))
}

func TestIdleModelIsUnloadedBeforeRunningOne(t *testing.T) {
	f := fleet(2, 5)
	f.addModels(0, "m0", "m1")
	f.addModels(1, "m2", "m3")
	f.Upstreams[0].Models[0].Running = 2
	f.Upstreams[0].Models[1].Running = 2
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		f.addDemand(m, "", 0.3, 0)
	}
	f.addDemand("m4", "", 0.3, 1)
	moves := Plan(f)
	require.Len(t, moves, 1)
	require.Equal(t, "e1", moves[0].Upstream)
}

// A model to be unloaded that still runs requests is drained first, and for one
// new model at a time.
func TestRunningModelIsDrainedBeforeUnload(t *testing.T) {
	f := fleet(1, 4)
	f.addModels(0, "m0", "m1")
	for i := range f.Upstreams[0].Models {
		f.Upstreams[0].Models[i].Running = 2
	}
	f.addDemand("m2", "", 0.3, 2)
	moves := Plan(f)
	require.Len(t, moves, 1)
	require.Len(t, moves[0].ModelsToDrain, 1)
	require.Equal(t, "m2", moves[0].LoadedModel())
	drained := moves[0].ModelsToDrain[0]
	for i, r := range f.Upstreams[0].Models {
		if r.Model == drained {
			f.Upstreams[0].Models[i].ReplacedBy = "m2"
		}
	}

	f.addDemand("m3", "", 3, 9)
	moves = Plan(f)
	require.Len(t, moves, 1)
	require.Equal(t, "m2", moves[0].LoadedModel(), "the memory is reserved for m2")

	for i, r := range f.Upstreams[0].Models {
		if r.Model == drained {
			f.Upstreams[0].Models[i].Running = 0
		}
	}
	moves = Plan(f)
	require.Len(t, moves, 1)
	require.Empty(t, moves[0].ModelsToDrain)
	require.Equal(t, []Order{{Operation: Unload, Model: drained}, {Operation: Load, Model: "m2", Tier: FromStore, LoadDuration: 6 * time.Second}}, moves[0].Orders)
}

// Unloading the last replica of a model costs more than unloading one whose
// requests other replicas can serve.
func TestSpareReplicaIsUnloadedFirst(t *testing.T) {
	f := fleet(3, 4)
	f.addModels(0, "m0", "m1")
	f.addModels(1, "m0", "m2")
	f.addModels(2, "m0")
	f.Upstreams[2].Models = append(f.Upstreams[2].Models, Resident{Model: "m1"})
	f.addDemand("m0", "", 3, 0)
	f.addDemand("m1", "", 3, 0)
	f.addDemand("m2", "", 3, 0)
	f.addDemand("m3", "", 0.3, 1)
	moves := Plan(f)
	require.Len(t, moves, 1)
	require.NotEqual(t, "m2", moves[0].Orders[0].Model)
}

func TestBusyModelGetsReplicasInOtherDataCentres(t *testing.T) {
	f := fleet(6, 3)
	f.addModels(0, "m0")
	f.addDemand("m0", "", 60, 0)
	got := loadOrders(Plan(f))
	require.Len(t, got, 1, "one at a time, since a planned replica counts")
	require.NotEqual(t, "e3 m0", got[0], "e3 is in the same data centre")
}

func TestReplicasNeededForSlotsAndAdapters(t *testing.T) {
	f := fleet(3, 1)
	f.addModels(0, "m0")
	f.Demands = []Demand{{Model: "m0", Rate: 1, Running: 30}}
	require.NotEmpty(t, loadOrders(Plan(f)), "30 of 32 slots are in use")

	f.Demands = []Demand{{Model: "m0", Rate: 10}}
	for i := range 6 {
		f.addDemand("m0", fmt.Sprintf("a%d", i), 2, 0)
	}
	require.NotEmpty(t, loadOrders(Plan(f)), "more adapters in use than adapter slots")

	f.Demands = []Demand{{Model: "m0", Rate: 10}}
	require.Empty(t, Plan(f))
}

func TestStoreLoadsAreLimited(t *testing.T) {
	f := fleet(8, 8)
	f.IsIdle = true
	require.Len(t, loadOrders(Plan(f)), 4, "before the first request prefetches use the full limit")
	f.IsIdle = false
	require.Len(t, loadOrders(Plan(f)), 1)
	f.StoreLoads = 4
	f.addDemand("m0", "", 1, 1)
	require.Empty(t, Plan(f))
	f.Upstreams[5].OnDisk = []string{"m0"}
	require.Equal(t, []string{"e5 m0"}, loadOrders(Plan(f)), "a load from disk does not count against the limit")
}

func TestWaitingAdapterIsLoaded(t *testing.T) {
	f := fleet(2, 2)
	f.addModels(0, "m0")
	f.addModels(1, "m1")
	f.addDemand("m0", "", 1, 0)
	f.addDemand("m0", "a1", 1, 1)
	require.Equal(t, []string{"e0 m0a1"}, loadOrders(Plan(f)))

	f.Upstreams[0].Models[0].Adapters = []Adapter{{Name: "a2", Running: 1, LastUsed: now.Add(-time.Hour)}, {Name: "a3", LastUsed: now.Add(-time.Minute)}}
	moves := Plan(f)
	require.Equal(t, []Order{{Operation: Unload, Model: "m0", Adapter: "a3"}, {Operation: Load, Model: "m0", Adapter: "a1"}}, moves[0].Orders)

	f.Upstreams[0].Models[0].Adapters[1].Running = 1
	require.Empty(t, Plan(f), "every adapter slot is in use")

	f.Upstreams[0].Models[0].Adapters[1].Name = "a1"
	require.Empty(t, Plan(f), "the adapter is loaded")
}

// TestAdaptersCountForMemory guards against engines that crash because they are ordered to load adapters, or a model
// beside adapters, beyond their memory.
func TestAdaptersCountForMemory(t *testing.T) {
	f := fleet(1, 2)
	f.Engine.AdapterSlots = 8
	for name, m := range f.Engine.Models {
		m.SizeMB, m.AdapterMB = 80, 15
		f.Engine.Models[name] = m
	}
	f.addModels(0, "m0", "m1")
	f.Upstreams[0].Models[0].Adapters = []Adapter{{Name: "a1", LastUsed: now.Add(-time.Minute)}, {Name: "a2", LastUsed: now.Add(-time.Hour)}}
	f.addDemand("m0", "", 1, 0)
	f.addDemand("m1", "", 1, 0)
	f.addDemand("m1", "a3", 1, 1)
	load := Order{Operation: Load, Model: "m1", Adapter: "a3"}
	require.Equal(t, []Order{{Operation: Unload, Model: "m0", Adapter: "a2"}, load}, Plan(f)[0].Orders)
	f.Upstreams[0].Models[0].Adapters[1].Running = 1
	require.Equal(t, []Order{{Operation: Unload, Model: "m0", Adapter: "a1"}, load}, Plan(f)[0].Orders)
	f.Upstreams[0].Models[0].Adapters[0].Running = 1
	require.Empty(t, Plan(f))

	f.Demands = nil
	f.addDemand("m1", "", 1, 1)
	f.Upstreams[0].Models = []Resident{{Model: "m0", Running: 1, Adapters: []Adapter{{Name: "a1"}, {Name: "a2", LastUsed: now}, {Name: "a3", Running: 1, LastUsed: now}}}}
	f.addDemand("m0", "", 1, 0)
	orders := Plan(f)[0].Orders
	require.Equal(t, Order{Operation: Unload, Model: "m0", Adapter: "a1"}, orders[0])
	require.Len(t, orders, 2)
	require.Equal(t, "m1", orders[1].Model)
}

func TestBusyUpstreamGetsNoOrders(t *testing.T) {
	f := fleet(1, 1)
	f.Upstreams[0].IsBusy = true
	f.addDemand("m0", "", 1, 1)
	f.addDemand("m0", "a1", 1, 1)
	require.Empty(t, Plan(f))
}

// carryOut returns an upstream after an order.
func carryOut(t *rapid.T, u Upstream, o Order) Upstream {
	i := slices.IndexFunc(u.Models, func(r Resident) bool { return r.Model == o.Model })
	if o.Adapter == "" {
		require.Equal(t, o.Operation == Unload, i >= 0)
		if o.Operation == Unload {
			return u.without([]string{o.Model})
		}
		u.Models = append(slices.Clone(u.Models), Resident{Model: o.Model})
		return u
	}
	require.GreaterOrEqual(t, i, 0)
	u.Models = slices.Clone(u.Models)
	r := &u.Models[i]
	if o.Operation == Load {
		r.Adapters = append(slices.Clone(r.Adapters), Adapter{Name: o.Adapter})
		return u
	}
	k := slices.IndexFunc(r.Adapters, func(a Adapter) bool { return a.Name == o.Adapter && a.Running == 0 })
	require.GreaterOrEqual(t, k, 0)
	r.Adapters = slices.Delete(slices.Clone(r.Adapters), k, k+1)
	return u
}

// For random states and demands, a move never exceeds an upstream's memory or
// adapter slots and unloads only loaded models, and no upstream gets two moves.
func TestPlanStaysWithinMemoryAndAdapterSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet(rapid.IntRange(1, 6).Draw(t, "engines"), rapid.IntRange(1, 8).Draw(t, "models"))
		for name, m := range f.Engine.Models {
			m.SizeMB = float64(rapid.IntRange(20, 200).Draw(t, "size"))
			m.AdapterMB = float64(rapid.IntRange(0, 40).Draw(t, "size of adapters"))
			f.Engine.Models[name] = m
		}
		for i := range f.Upstreams {
			u := &f.Upstreams[i]
			u.IsBusy = rapid.IntRange(0, 3).Draw(t, "busy") == 0
			for name, m := range f.Engine.Models {
				if rapid.Bool().Draw(t, "held") && u.usedMB(f.Engine)+m.SizeMB <= f.Engine.MemoryMB {
					r := Resident{Model: name, Running: rapid.IntRange(0, 2).Draw(t, "running")}
					hasRoom := u.usedMB(f.Engine)+m.SizeMB+m.AdapterMB <= f.Engine.MemoryMB
					if hasRoom && u.adapterCount() < f.Engine.AdapterSlots && rapid.Bool().Draw(t, "adapter") {
						r.Adapters = []Adapter{{Name: "a0", Running: rapid.IntRange(0, 1).Draw(t, "used")}}
					}
					u.Models = append(u.Models, r)
				}
			}
		}
		for name := range f.Engine.Models {
			f.addDemand(name, "", float64(rapid.IntRange(0, 60).Draw(t, "rate")), rapid.IntRange(0, 5).Draw(t, "waiting"))
			f.addDemand(name, "a1", 1, rapid.IntRange(0, 1).Draw(t, "waiting for adapter"))
		}
		seen := make(map[string]bool)
		for _, m := range Plan(f) {
			require.False(t, seen[m.Upstream], "two moves for one upstream")
			seen[m.Upstream] = true
			i := 0
			for f.Upstreams[i].ID != m.Upstream {
				i++
			}
			u := f.Upstreams[i]
			require.False(t, u.IsBusy)
			for _, o := range m.Orders {
				u = carryOut(t, u, o)
				require.LessOrEqual(t, u.usedMB(f.Engine), f.Engine.MemoryMB)
				require.LessOrEqual(t, u.adapterCount(), f.Engine.AdapterSlots)
			}
		}
	})
}

// The load: a store that runs one load at a time, a model without requests, and
// soon one with requests. A prefetch would delay it by a whole load.
func TestNothingIsPrefetchedFromStoreOfOneLoad(t *testing.T) {
	f := fleet(2, 2)
	f.StoreLoadLimit = 1
	require.Empty(t, Plan(f))
	f.addDemand("m1", "", 1, 1)
	require.Len(t, loadOrders(Plan(f)), 1)
	f.Demands, f.StoreLoadLimit = nil, 2
	require.Len(t, loadOrders(Plan(f)), 1, "another load can start at once beside it")
	f.StoreLoadLimit = 1
	f.Demands, f.IsIdle = nil, true
	require.Len(t, loadOrders(Plan(f)), 1, "before the first request the store has nothing else to do")
}

// TestModelsOfALimitedUpstreamAreLoadedElsewhere guards against a model whose only upstream
// takes few requests, while others have room.
func TestModelsOfALimitedUpstreamAreLoadedElsewhere(t *testing.T) {
	f := fleet(3, 3)
	f.addModels(0, "m0")
	f.addModels(1, "m1")
	f.addModels(2, "m2")
	f.addDemand("m0", "", 5, 3)
	require.Empty(t, loadOrders(Plan(f)))
	f.Upstreams[0].IsLimited = true
	orders := loadOrders(Plan(f))
	require.Len(t, orders, 1)
	require.Contains(t, []string{"e1 m0", "e2 m0"}, orders[0])
	f.Upstreams[1].IsLimited = true
	require.Equal(t, []string{"e2 m0"}, loadOrders(Plan(f)))

	f = fleet(2, 1)
	f.addModels(0, "m0")
	f.addModels(1, "m0")
	f.Upstreams[0].IsLimited, f.Upstreams[0].Models[0].Adapters = true, []Adapter{{Name: "a1"}}
	f.addDemand("m0", "", 5, 0)
	f.addDemand("m0", "a1", 5, 1)
	require.Equal(t, []string{"e1 m0a1"}, loadOrders(Plan(f)))
}

// The load: streams that began at one software version wait, while the model is loaded only at
// another one, or at none.
func TestModelIsLoadedAtTheVersionThatStreamsWaitFor(t *testing.T) {
	v1 := "v1"
	newFleet := func() Fleet {
		f := fleet(3, 6)
		f.Upstreams[0].Software, f.Upstreams[1].Software, f.Upstreams[2].Software = "v2", "v1", "v2"
		f.addModels(1, "m2", "m3")
		f.Demands = append(f.Demands, Demand{Model: "m0", Software: &v1, Waiting: 2})
		return f
	}
	for name, prepare := range map[string]func(f *Fleet){
		"loaded at the other version": func(f *Fleet) { f.addModels(0, "m0") },
		"loaded nowhere":              func(*Fleet) {},
		"weights at the other version": func(f *Fleet) {
			f.Upstreams[0].OnDisk = append(f.Upstreams[0].OnDisk, "m0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			prepare(&f)
			require.Contains(t, loadOrders(Plan(f)), "e1 m0")
		})
	}
	f := newFleet()
	f.addModels(0, "m0")
	f.addDemand("m0", "", 1, 0)
	f.Upstreams[1].Models = []Resident{{Model: "m0"}, {Model: "m2"}}
	f.addDemand("m4", "", 1, 1)
	for _, m := range Plan(f) {
		for _, o := range m.Orders {
			require.False(t, o.Operation == Unload && o.Model == "m0" && m.Upstream == "e1", "streams wait for it")
		}
	}
	f = newFleet()
	f.Upstreams[0].Models = []Resident{{Model: "m0", Adapters: []Adapter{{Name: "a"}}}}
	f.Upstreams[1].Models = []Resident{{Model: "m0"}}
	f.Demands = []Demand{{Model: "m0", Adapter: "a", Software: &v1, Waiting: 1}}
	require.Equal(t, []string{"e1 m0a"}, loadOrders(adapterOrders(Plan(f))))
}

// adapterOrders returns the moves that load adapters.
func adapterOrders(moves []Move) []Move {
	var out []Move
	for _, m := range moves {
		if m.Orders[len(m.Orders)-1].Adapter != "" {
			out = append(out, m)
		}
	}
	return out
}
