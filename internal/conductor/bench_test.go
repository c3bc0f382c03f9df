package conductor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// fleetSize is a size of the deployments that the benchmarks model.
type fleetSize struct{ instances, upstreams, models, adapters int }

// fleetSizes are a small deployment, a grown one and a large one.
var fleetSizes = []fleetSize{{7, 18, 56, 116}, {78, 60, 113, 310}, {195, 117, 218, 569}}

func (s fleetSize) String() string { return fmt.Sprintf("%dx%d", s.instances, s.upstreams) }

// newBenchConductor returns a conductor whose engines are known and whose instances
// have reported.
func newBenchConductor(s fleetSize) *Conductor {
	rng := rand.New(rand.NewPCG(1, 1))
	models := make(map[string]matcher.Model)
	var names []string
	for n := range s.models {
		name := fmt.Sprintf("model-%03d", n)
		names = append(names, name)
		models[name] = matcher.Model{Name: name, SizeMB: 50_000, StoreLoadDuration: 13 * time.Second, DiskLoadDuration: 500 * time.Millisecond, HostLoadDuration: 300 * time.Millisecond}
	}
	cfg := matcher.New(1, nil, map[string]matcher.Service{
		"lm": {Name: "lm", Engine: &matcher.Engine{Slots: 12, MemoryMB: 200_000, AdapterSlots: 8, StoreLoadsPerSecond: 25, Models: models}},
	}, matcher.Limits{})
	c := &Conductor{
		Upstreams: &registrar.Table{}, Config: func() *matcher.Config { return cfg },
		Token: func() (int64, bool) { return 1, true }, IsHolder: func() bool { return true },
		OnViews: func([]registrar.View) {}, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	c.initLocked()
	registrations := make(map[string]*registrar.Upstream)
	for n := range s.upstreams {
		id := fmt.Sprintf("upstream-%03d", n)
		u := &registrar.Upstream{ID: id, Service: "lm", DataCentre: "dc", StartedAtMs: 1, Slots: 12}
		for k := range 3 {
			m := registrar.Model{Name: names[(n+k*s.upstreams)%len(names)]}
			for range 2 {
				m.Adapters = append(m.Adapters, fmt.Sprintf("a%d", rng.IntN(max(1, s.adapters/10))))
			}
			u.Models = append(u.Models, m)
		}
		registrations[id] = u
	}
	now := time.Now()
	c.Upstreams.ApplyRegistrations(registrations, now)
	c.syncEnginesLocked(now)
	for _, e := range c.engines {
		e.isKnown, e.models = true, e.up.Models
	}
	for n := range s.instances {
		c.Report(fmt.Sprintf("instance-%03d", n), benchDemands(c, rng, n), now)
	}
	return c
}

// benchDemands returns the demands of one instance: some running requests and one that
// waits.
func benchDemands(c *Conductor, rng *rand.Rand, n int) []Demand {
	var out []Demand
	for range 8 {
		id := fmt.Sprintf("upstream-%03d", rng.IntN(len(c.engines)))
		m := c.engines[id].models[rng.IntN(3)]
		out = append(out, Demand{Service: "lm", Model: m.Name, Adapter: m.Adapters[0], Arrived: 1, Running: map[string]int{id: 1}})
	}
	if n%10 == 0 {
		out[0].Waiting = 1
	}
	return out
}

// BenchmarkPlan measures the input of one plan, the plan and the views that follow.
func BenchmarkPlan(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newBenchConductor(s)
			c.Token = func() (int64, bool) { return 1, false } // the plan is made here, and sends nothing
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				c.mu.Lock()
				arranger.Plan(c.fleetLocked(c.Config().Services["lm"], now))
				c.viewsChanged = true
				c.mu.Unlock()
				c.plan(b.Context(), now)
			}
		})
	}
}

// BenchmarkReport measures the report of one instance.
func BenchmarkReport(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newBenchConductor(s)
			rng := rand.New(rand.NewPCG(2, 2))
			demands := benchDemands(c, rng, 1)
			b.ReportAllocs()
			for b.Loop() {
				c.Report("instance-001", demands, time.Now())
			}
		})
	}
}
