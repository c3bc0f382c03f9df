package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const gib = 1 << 30

var (
	now     = time.Date(2026, 1, 5, 12, 0, 0, 0, time.UTC)
	weights = placer.Policy{ColdStartWeight: 1, IdleWeight: 1}
)

// constantForecast returns a forecast that does not depend on the time.
func constantForecast(perHour, soon, probability float64) func(time.Time, time.Time, time.Duration) forecaster.Forecast {
	return func(time.Time, time.Time, time.Duration) forecaster.Forecast {
		return forecaster.Forecast{MaxUsesPerIdleHour: perHour, SoonUsesPerIdleHour: soon, UseProbability: probability}
	}
}

func engine(name string, free uint64) placer.Upstream {
	return placer.Upstream{Name: name, MemoryBytes: 80 * gib, FreeBytes: free * gib, IsUsable: true, DataCentre: "dc-" + name}
}

func loadedOn(engine string) []placer.Replica {
	return []placer.Replica{{ID: "r-" + engine, Upstream: engine, Phase: applier.PhaseLoaded}}
}

func model(name string, size uint64) placer.Model {
	return placer.Model{Name: name, Customer: "c", Checkpoint: name, Bytes: size * gib, LastUsed: now.Add(-time.Hour)}
}

func summary(orders []placer.Order) []string {
	out := []string{}
	for _, o := range orders {
		out = append(out, fmt.Sprint(o.Action.String()[len("DECISION_ACTION_"):], " ", o.Model, o.Adapter, " ", o.Upstream))
	}
	return out
}

func TestPlan(t *testing.T) {
	urgent, batch := recordv1.RequestClass_REQUEST_CLASS_URGENT, recordv1.RequestClass_REQUEST_CLASS_BATCH
	with := func(m placer.Model, f func(*placer.Model)) placer.Model {
		f(&m)
		return m
	}
	waiting := func(m placer.Model, n int, c recordv1.RequestClass) placer.Model {
		m.Waiting, m.Class, m.Deadline = n, c, now.Add(time.Minute)
		return m
	}
	idle := func(m placer.Model, on string, per, probability float64) placer.Model {
		m.Replicas, m.Forecast = loadedOn(on), constantForecast(per, 0, probability)
		return m
	}
	tests := []struct {
		name string
		in   placer.Input
		want []string
	}{
		{
			"idle replica with enough expected uses is kept",
			placer.Input{Policy: weights, Models: []placer.Model{idle(model("a", 40), "e", 1, 1)}, Upstreams: []placer.Upstream{engine("e", 40)}},
			nil,
		},
		{
			"idle replica with few expected uses is unloaded",
			placer.Input{Policy: weights, Models: []placer.Model{idle(model("a", 40), "e", 0.1, 1)}, Upstreams: []placer.Upstream{engine("e", 40)}},
			[]string{"UNLOAD a e"},
		},
		{
			"busy replica is kept regardless of the forecast",
			placer.Input{Policy: weights, Models: []placer.Model{with(idle(model("a", 40), "e", 0, 0), func(m *placer.Model) { m.Replicas[0].IsBusy = true })}, Upstreams: []placer.Upstream{engine("e", 40)}},
			nil,
		},
		{
			"eviction request of a peer unloads an idle replica",
			placer.Input{Policy: weights, Models: []placer.Model{with(idle(model("a", 40), "e", 9, 1), func(m *placer.Model) { m.Replicas[0].EvictReason = "room" })}, Upstreams: []placer.Upstream{engine("e", 40)}},
			[]string{"UNLOAD a e"},
		},
		{
			"model that is likely to be used soon is preloaded",
			placer.Input{Policy: weights, Models: []placer.Model{with(model("a", 40), func(m *placer.Model) { m.Forecast = constantForecast(9, 9, 1) })}, Upstreams: []placer.Upstream{engine("e", 40)}},
			[]string{"LOAD a e"},
		},
		{
			"negative: preloading disabled",
			placer.Input{Policy: placer.Policy{ColdStartWeight: 1, IdleWeight: 1, NoPreload: true}, Models: []placer.Model{with(model("a", 40), func(m *placer.Model) { m.Forecast = constantForecast(9, 9, 1) })}, Upstreams: []placer.Upstream{engine("e", 40)}},
			nil,
		},
		{
			"urgent requests are loaded first and the last load from the weight store is reserved for them",
			placer.Input{Policy: weights, StoreLoads: 2, Models: []placer.Model{waiting(model("a", 10), 1, batch), waiting(model("b", 10), 1, urgent), waiting(model("c", 10), 1, batch)}, Upstreams: []placer.Upstream{engine("e", 80)}},
			[]string{"LOAD b e"},
		},
		{
			"negative: without classes loads are ordered by deadline and name",
			placer.Input{Policy: placer.Policy{ColdStartWeight: 1, IdleWeight: 1, NoClasses: true}, StoreLoads: 2, Models: []placer.Model{waiting(model("a", 10), 1, batch), waiting(model("b", 10), 1, urgent), waiting(model("c", 10), 1, batch)}, Upstreams: []placer.Upstream{engine("e", 80)}},
			[]string{"LOAD a e", "LOAD b e"},
		},
		{
			"checkpoint in the engine's memory is preferred to one on disk",
			placer.Input{Models: []placer.Model{waiting(model("a", 10), 1, batch)}, Upstreams: []placer.Upstream{
				engine("d", 80), withCheckpoints(engine("e", 80), nil, []string{"a"}), withCheckpoints(engine("f", 80), []string{"a"}, nil),
			}},
			[]string{"LOAD a f"},
		},
		{
			"checkpoint on disk is loaded although the weight store is busy",
			placer.Input{StoreLoads: 4, Models: []placer.Model{waiting(model("a", 10), 1, batch)}, Upstreams: []placer.Upstream{engine("d", 80), withCheckpoints(engine("e", 80), nil, []string{"a"})}},
			[]string{"LOAD a e"},
		},
		{
			"idle replica with the least likely cold start is evicted",
			placer.Input{Policy: weights, Models: []placer.Model{waiting(model("a", 40), 1, batch), idle(model("b", 80), "e", 9, 0.9), idle(model("c", 80), "f", 9, 0.1)}, Upstreams: []placer.Upstream{engine("e", 0), engine("f", 0)}},
			[]string{"UNLOAD c f"},
		},
		{
			"negative: eviction disabled",
			placer.Input{Policy: placer.Policy{ColdStartWeight: 1, IdleWeight: 1, NoEviction: true}, Models: []placer.Model{waiting(model("a", 40), 1, batch), idle(model("b", 80), "e", 9, 0.9)}, Upstreams: []placer.Upstream{engine("e", 0)}},
			nil,
		},
		{
			"adapter is loaded on the loaded base model and no replica is added",
			placer.Input{Models: []placer.Model{with(waiting(model("a", 10), 40, batch), func(m *placer.Model) {
				m.Replicas = loadedOn("e")
				m.Adapters = []placer.AdapterDemand{{Name: "-x", Waiting: 40}}
			})}, Upstreams: []placer.Upstream{engine("e", 70), engine("f", 80)}},
			[]string{"LOAD_ADAPTER a-x e"},
		},
		{
			"no more than 32 adapter loads in flight",
			placer.Input{AdapterLoads: 32, Models: []placer.Model{with(waiting(model("a", 10), 1, batch), func(m *placer.Model) {
				m.Replicas = loadedOn("e")
				m.Adapters = []placer.AdapterDemand{{Name: "-x", Waiting: 1}}
			})}, Upstreams: []placer.Upstream{engine("e", 70)}},
			nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.in.Now = now
			tt.in.FreeCapacity = map[string]placer.ContractCapacity{"c": {Replicas: 10, Bytes: 400 * gib}}
			orders := placer.Plan(tt.in)
			require.ElementsMatch(t, tt.want, summary(orders))
			for _, o := range orders {
				require.NotEmpty(t, o.Reason)
			}
		})
	}
}

func withCheckpoints(u placer.Upstream, inMemory, onDisk []string) placer.Upstream {
	u.InMemory, u.OnDisk = inMemory, onDisk
	return u
}

func TestFullContractEvictsOwnReplica(t *testing.T) {
	mine, other, a := model("mine", 10), model("other", 10), model("a", 10)
	other.Customer = "d"
	mine.Replicas, other.Replicas = loadedOn("e"), loadedOn("f")
	mine.Forecast, other.Forecast = constantForecast(9, 0, 1), constantForecast(9, 0, 0)
	a.Waiting = 1
	orders := placer.Plan(placer.Input{
		Now: now, Policy: weights, Models: []placer.Model{a, mine, other}, Upstreams: []placer.Upstream{engine("e", 70), engine("f", 70)},
		FreeCapacity: map[string]placer.ContractCapacity{"c": {}, "d": {Replicas: 3, Bytes: 80 * gib}},
	})
	require.Equal(t, []string{"UNLOAD mine e"}, summary(orders))
}
