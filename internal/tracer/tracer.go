// Package tracer generates seeded traces of requests to rarely used models.
//
// The traces are synthetic: they are generated from the parameters of a
// deployment, not from recorded requests. Every model has one of four usage
// patterns: steady use over the day, a session at the same time each day,
// sessions at random times of the day, or a session every few days. A session
// starts with a burst, as when first requests arrive at many entry instances at
// once, and continues with heavy-tailed gaps. The mix of patterns is such that
// about 6.6% of the models become active or idle within an hour.
//
// The same deployment, seed and options give the same trace.
package tracer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const gib = 1 << 30

// Deployment is the capacity and the use of a deployment.
type Deployment struct {
	Name             string
	DataCentres      []string
	Engines          int
	EngineBytes      uint64
	Models           int
	Adapters         int
	Customers        int
	StoreLoadsPerSec float64
	// AdapterLoad is the duration of an adapter load while few are in flight.
	AdapterLoad time.Duration
	// DayStart and DayEnd are the hours of the day between which it is used.
	DayStart, DayEnd int
	// NightShare is the share of the use outside these hours.
	NightShare float64
	// ColdStartWeight and IdleWeight are the weights of its placement policy.
	ColdStartWeight, IdleWeight float64
}

// Tolwerk returns the deployment of Tolwerk Vrachtheffing.
func Tolwerk() Deployment {
	return Deployment{
		Name: "tolwerk", DataCentres: []string{"zaal-utr", "zaal-amf", "zaal-ngn"},
		Engines: 20, EngineBytes: 80 * gib, Models: 55, Adapters: 115, Customers: 6,
		StoreLoadsPerSec: 4.5, AdapterLoad: 10 * time.Millisecond,
		DayStart: 5, DayEnd: 21, NightShare: 0.15, ColdStartWeight: 2, IdleWeight: 1,
	}
}

// Thottam returns the deployment of Thottam Days Farm Bookings.
func Thottam() Deployment {
	return Deployment{
		Name: "thottam", DataCentres: []string{"kochi-a", "kochi-b", "kochi-c"},
		Engines: 12, EngineBytes: 80 * gib, Models: 25, Adapters: 75, Customers: 4,
		StoreLoadsPerSec: 3.5, AdapterLoad: 7 * time.Millisecond,
		DayStart: 6, DayEnd: 19, NightShare: 0, ColdStartWeight: 1, IdleWeight: 2,
	}
}

// Model is a model of a trace.
type Model struct {
	Name     string
	Customer string
	Class    recordv1.RequestClass
	Bytes    uint64
	Adapters int
	pattern  usagePattern
	// sessionHour is the start of the daily session in hours after midnight.
	sessionHour float64
}

// Contract is the capacity in a customer's contract.
type Contract struct {
	Replicas int
	Bytes    uint64
}

// Request is one request of a trace.
type Request struct {
	At    time.Time
	Model int
	// Adapter is the index of the model's adapter, -1 for none.
	Adapter int
	Run     time.Duration // on the upstream
}

// Trace is a sequence of requests with the models and contracts that they use.
type Trace struct {
	Deployment Deployment
	Seed       uint64
	// Measured is the start of the measurement. The days before it are for
	// learning the usage patterns.
	Start, Measured, End time.Time
	Models               []Model
	Contracts            map[string]Contract
	Requests             []Request
}

// usagePattern is the distribution of a model's requests over time.
type usagePattern int

const (
	steady usagePattern = iota
	daily
	sporadic
	rare
)

// Options vary a trace.
type Options struct {
	LearnDays, MeasureDays int
	// ShiftHabits moves every daily session to another hour at the start of the
	// measurement.
	ShiftHabits bool
	// BurstModels is the number of models that get a burst of requests at BurstAt.
	BurstModels int
	BurstAt     time.Duration // after the start of the measurement
}

// Default lengths of a trace in days.
const (
	DefaultLearnDays   = 7
	DefaultMeasureDays = 3
)

// epoch is a Monday.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// Write returns the trace for a deployment, a seed and options.
func Write(d Deployment, seed uint64, o Options) Trace {
	o.LearnDays = cmp.Or(o.LearnDays, DefaultLearnDays)
	o.MeasureDays = cmp.Or(o.MeasureDays, DefaultMeasureDays)
	g := generator{rng: rand.New(rand.NewPCG(seed, 0x70726d)), Trace: Trace{
		Deployment: d, Seed: seed, Start: epoch,
		Measured: epoch.AddDate(0, 0, o.LearnDays), End: epoch.AddDate(0, 0, o.LearnDays+o.MeasureDays),
		Contracts: make(map[string]Contract),
	}}
	g.addModels()
	for day := range o.LearnDays + o.MeasureDays {
		if day == o.LearnDays && o.ShiftHabits {
			g.shiftDailySessions()
		}
		for i := range g.Models {
			g.addDay(i, epoch.AddDate(0, 0, day))
		}
	}
	g.addBurst(o)
	g.Requests = slices.DeleteFunc(g.Requests, func(r Request) bool { return !r.At.Before(g.End) })
	slices.SortStableFunc(g.Requests, func(a, b Request) int { return a.At.Compare(b.At) })
	return g.Trace
}

type generator struct {
	Trace
	rng *rand.Rand
}

// modelSizesGiB are the memory sizes of models.
var modelSizesGiB = []uint64{8, 14, 16, 16, 24, 28, 32, 40, 48, 70}

func (g *generator) addModels() {
	d := g.Deployment
	for i := range d.Models {
		m := Model{
			Name: fmt.Sprintf("model-%02d", i), Customer: fmt.Sprintf("customer-%d", i%d.Customers),
			Bytes: modelSizesGiB[g.rng.IntN(len(modelSizesGiB))] * gib, Adapters: d.Adapters / d.Models,
		}
		if i < d.Adapters%d.Models {
			m.Adapters++
		}
		m.pattern = [...]usagePattern{steady, daily, daily, daily, daily, sporadic, sporadic, sporadic, sporadic, rare}[i%10]
		m.Class = recordv1.RequestClass(1 + g.rng.IntN(3))
		m.sessionHour = g.randomSessionHour(m.Class)
		g.Models = append(g.Models, m)
		c := g.Contracts[m.Customer]
		g.Contracts[m.Customer] = Contract{c.Replicas + 1, c.Bytes + m.Bytes}
	}
	for name, c := range g.Contracts {
		g.Contracts[name] = Contract{max(3, c.Replicas*4/5), max(2*d.EngineBytes, c.Bytes*4/5)}
	}
}

// randomSessionHour returns the start of a daily session in hours after
// midnight. Batch models have it at night, half of the others at opening time
// and the rest at a random time of the day.
func (g *generator) randomSessionHour(class recordv1.RequestClass) float64 {
	d := g.Deployment
	switch {
	case class == recordv1.RequestClass_REQUEST_CLASS_BATCH:
		return math.Mod(float64(d.DayEnd)+g.rng.Float64()*8, 24)
	case g.rng.IntN(2) == 0:
		return float64(d.DayStart + 2) // opening time
	}
	return float64(d.DayStart) + g.rng.Float64()*float64(d.DayEnd-d.DayStart)
}

func (g *generator) shiftDailySessions() {
	for i := range g.Models {
		g.Models[i].sessionHour = math.Mod(g.Models[i].sessionHour+2+g.rng.Float64()*4, 24)
	}
}

// addDay adds the requests to one model on one day.
func (g *generator) addDay(i int, day time.Time) {
	m := g.Models[i]
	switch m.pattern {
	case steady:
		g.addSteadyDay(i, day)
	case daily:
		if g.rng.Float64() < 0.9 {
			jitter := time.Duration(g.rng.NormFloat64() * float64(4*time.Minute))
			g.addSession(i, day.Add(hours(m.sessionHour)+jitter))
		}
	case sporadic:
		for range g.poisson(1.1) {
			g.addSession(i, g.randomTime(day))
		}
	case rare:
		if g.rng.Float64() < 0.3 {
			g.addSession(i, g.randomTime(day))
		}
	}
}

func hours(h float64) time.Duration {
	return time.Duration(h * float64(time.Hour))
}

// randomTime returns a time outside the hours of use with the probability
// NightShare, and otherwise within them.
func (g *generator) randomTime(day time.Time) time.Time {
	d := g.Deployment
	dayHours := float64(d.DayEnd - d.DayStart)
	if g.rng.Float64() < d.NightShare {
		return day.Add(hours(math.Mod(float64(d.DayEnd)+g.rng.Float64()*(24-dayHours), 24)))
	}
	return day.Add(hours(float64(d.DayStart) + g.rng.Float64()*dayHours))
}

// addSteadyDay adds a day of requests with a mean gap of 40 s within the hours of
// use and a longer one outside.
func (g *generator) addSteadyDay(i int, day time.Time) {
	d := g.Deployment
	for t := day; t.Before(day.Add(24 * time.Hour)); {
		hour := int(t.Sub(day) / time.Hour)
		mean := 40.0
		if hour < d.DayStart || hour >= d.DayEnd {
			if d.NightShare == 0 {
				t = t.Truncate(time.Hour).Add(time.Hour)
				continue
			}
			mean /= d.NightShare * 0.3
		}
		t = t.Add(time.Duration(g.rng.ExpFloat64() * mean * float64(time.Second)))
		g.addRequest(i, t)
	}
}

// addSession adds a burst of about a second, then requests with heavy-tailed
// gaps.
func (g *generator) addSession(i int, at time.Time) {
	for range 1 + g.poisson(4) {
		g.addRequest(i, at.Add(time.Duration(g.rng.ExpFloat64()*0.3*float64(time.Second))))
	}
	const shape, minGap, maxGap = 1.1, 8.0, 3000.0
	t := at
	for range g.poisson(30) {
		gap := min(minGap*math.Pow(1-g.rng.Float64(), -1/shape), maxGap)
		t = t.Add(time.Duration(gap * float64(time.Second)))
		g.addRequest(i, t)
	}
}

func (g *generator) addBurst(o Options) {
	for i := range min(o.BurstModels, len(g.Models)) {
		for range 5 {
			g.addRequest(i, g.Measured.Add(o.BurstAt+time.Duration(g.rng.Float64()*float64(time.Second))))
		}
	}
}

func (g *generator) addRequest(i int, at time.Time) {
	r := Request{At: at, Model: i, Adapter: -1, Run: time.Duration((0.3 + g.rng.ExpFloat64()) * float64(time.Second))}
	if n := g.Models[i].Adapters; n > 0 && g.rng.IntN(2) == 0 {
		r.Adapter = g.rng.IntN(n)
	}
	g.Requests = append(g.Requests, r)
}

func (g *generator) poisson(mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		p *= g.rng.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}
