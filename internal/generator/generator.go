// Package generator generates seeded traces of requests for rarely used models.
//
// A trace is synthetic: it comes from a description of a deployment, not from a
// recording. Every model has one of four usage patterns: steady use over the day,
// a session at the same time each day, sessions at any time of the day, or a
// session every few days. A session starts with a burst, as when many routers
// receive a first request at once, and continues with heavy-tailed gaps. The
// patterns are mixed so that about 6.6% of the models become active or idle
// within an hour.
//
// The same deployment, seed and options give the same trace.
package generator

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

// Deployment describes the size and the use of a deployment.
type Deployment struct {
	Name             string
	DataCentres      []string
	NumEngines       int
	EngineBytes      uint64
	NumModels        int
	NumAdapters      int
	NumCustomers     int
	StoreLoadsPerSec float64
	// AdapterLoadDuration is the duration of an adapter load while few are in flight.
	AdapterLoadDuration time.Duration
	// DayStart and DayEnd are the hours of the day between which it is used most.
	DayStart, DayEnd int
	// NightShare is the share of the use that falls in the night.
	NightShare float64
	// ColdStartWeight and IdleWeight are the deployment's weights of cold starts
	// and of idle accelerators in the placement policy.
	ColdStartWeight, IdleWeight float64
}

// Tolwerk returns the deployment of Tolwerk Vrachtheffing.
func Tolwerk() Deployment {
	return Deployment{
		Name: "tolwerk", DataCentres: []string{"zaal-utr", "zaal-amf", "zaal-ngn"},
		NumEngines: 20, EngineBytes: 80 * gib, NumModels: 55, NumAdapters: 115, NumCustomers: 6,
		StoreLoadsPerSec: 4.5, AdapterLoadDuration: 10 * time.Millisecond,
		DayStart: 5, DayEnd: 21, NightShare: 0.15, ColdStartWeight: 2, IdleWeight: 1,
	}
}

// Thottam returns the deployment of Thottam Days Farm Bookings.
func Thottam() Deployment {
	return Deployment{
		Name: "thottam", DataCentres: []string{"kochi-a", "kochi-b", "kochi-c"},
		NumEngines: 12, EngineBytes: 80 * gib, NumModels: 25, NumAdapters: 75, NumCustomers: 4,
		StoreLoadsPerSec: 3.5, AdapterLoadDuration: 7 * time.Millisecond,
		DayStart: 6, DayEnd: 19, NightShare: 0, ColdStartWeight: 1, IdleWeight: 2,
	}
}

// Model is a model that receives requests in a trace.
type Model struct {
	Name         string
	Customer     string
	Class        recordv1.RequestClass
	Bytes        uint64
	NumAdapters  int
	usagePattern usagePattern
	// sessionHour is the start of the daily session in hours since midnight.
	sessionHour float64
}

// Contract holds the limits of a customer's loaded replicas.
type Contract struct {
	MaxReplicas int
	MaxBytes    uint64
}

// Request is a request in a trace.
type Request struct {
	At    time.Time
	Model int // index in Trace.Models
	// Adapter is the index of the model's adapter, -1 for none.
	Adapter     int
	RunDuration time.Duration
}

// Trace holds the requests of all callers, sorted by time.
type Trace struct {
	Deployment Deployment
	Seed       uint64
	// MeasureStart is the start of the measurement, after the learning days.
	Start, MeasureStart, End time.Time
	Models                   []Model
	Contracts                map[string]Contract
	Requests                 []Request
}

type usagePattern int

const (
	steadyUse usagePattern = iota
	dailySession
	sporadicSessions
	rareSessions
)

// Options are the variable parts of a trace. Zero lengths mean the defaults.
type Options struct {
	LearnDays, MeasureDays int
	// ShiftSessions moves every daily session to another hour when the measurement
	// starts.
	ShiftSessions bool
	// NumBurstModels is the number of models that all receive requests at BurstDelay.
	NumBurstModels int
	BurstDelay     time.Duration // after the start of the measurement
}

// Default lengths of a trace.
const (
	DefaultLearnDays   = 7
	DefaultMeasureDays = 3
)

// traceStart is the start of all traces, a Monday.
var traceStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// Generate generates the trace of a seed.
func Generate(d Deployment, seed uint64, o Options) Trace {
	o.LearnDays = cmp.Or(o.LearnDays, DefaultLearnDays)
	o.MeasureDays = cmp.Or(o.MeasureDays, DefaultMeasureDays)
	g := generator{rng: rand.New(rand.NewPCG(seed, 0x70726d)), Trace: Trace{
		Deployment: d, Seed: seed, Start: traceStart,
		MeasureStart: traceStart.AddDate(0, 0, o.LearnDays), End: traceStart.AddDate(0, 0, o.LearnDays+o.MeasureDays),
		Contracts: make(map[string]Contract),
	}}
	g.addModels()
	for day := range o.LearnDays + o.MeasureDays {
		if day == o.LearnDays && o.ShiftSessions {
			g.shiftSessions()
		}
		for i := range g.Models {
			g.addDay(i, traceStart.AddDate(0, 0, day))
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

// modelSizesGiB holds the memory sizes from which models are drawn. A size that
// occurs twice is drawn twice as often.
var modelSizesGiB = []uint64{8, 14, 16, 16, 24, 28, 32, 40, 48, 70}

func (g *generator) addModels() {
	d := g.Deployment
	for i := range d.NumModels {
		m := Model{
			Name: fmt.Sprintf("model-%02d", i), Customer: fmt.Sprintf("customer-%d", i%d.NumCustomers),
			Bytes: modelSizesGiB[g.rng.IntN(len(modelSizesGiB))] * gib, NumAdapters: d.NumAdapters / d.NumModels,
		}
		if i < d.NumAdapters%d.NumModels {
			m.NumAdapters++
		}
		m.usagePattern = [...]usagePattern{steadyUse, dailySession, dailySession, dailySession, dailySession, sporadicSessions, sporadicSessions, sporadicSessions, sporadicSessions, rareSessions}[i%10]
		m.Class = recordv1.RequestClass(1 + g.rng.IntN(3))
		m.sessionHour = g.sessionHour(m.Class)
		g.Models = append(g.Models, m)
		c := g.Contracts[m.Customer]
		g.Contracts[m.Customer] = Contract{c.MaxReplicas + 1, c.MaxBytes + m.Bytes}
	}
	for name, c := range g.Contracts {
		g.Contracts[name] = Contract{max(3, c.MaxReplicas*4/5), max(2*d.EngineBytes, c.MaxBytes*4/5)}
	}
}

// sessionHour returns the hour at which a daily session starts. Batch sessions,
// such as summaries, start at night, half of the others at opening time and the
// rest at any time of the day.
func (g *generator) sessionHour(class recordv1.RequestClass) float64 {
	d := g.Deployment
	switch {
	case class == recordv1.RequestClass_REQUEST_CLASS_BATCH:
		return math.Mod(float64(d.DayEnd)+g.rng.Float64()*8, 24)
	case g.rng.IntN(2) == 0:
		return float64(d.DayStart + 2) // opening time
	}
	return float64(d.DayStart) + g.rng.Float64()*float64(d.DayEnd-d.DayStart)
}

// shiftSessions moves every daily session by two to six hours.
func (g *generator) shiftSessions() {
	for i := range g.Models {
		g.Models[i].sessionHour = math.Mod(g.Models[i].sessionHour+2+g.rng.Float64()*4, 24)
	}
}

// addDay adds the requests of one model on one day.
func (g *generator) addDay(i int, day time.Time) {
	m := g.Models[i]
	switch m.usagePattern {
	case steadyUse:
		g.addSteadyDay(i, day)
	case dailySession:
		if g.rng.Float64() < 0.9 {
			jitter := time.Duration(g.rng.NormFloat64() * float64(4*time.Minute))
			g.addSession(i, day.Add(hours(m.sessionHour)+jitter))
		}
	case sporadicSessions:
		for range g.poisson(1.1) {
			g.addSession(i, g.randomTime(day))
		}
	case rareSessions:
		if g.rng.Float64() < 0.3 {
			g.addSession(i, g.randomTime(day))
		}
	}
}

func hours(h float64) time.Duration {
	return time.Duration(h * float64(time.Hour))
}

// randomTime returns a random time of the day, or of the night with the
// probability NightShare.
func (g *generator) randomTime(day time.Time) time.Time {
	d := g.Deployment
	length := float64(d.DayEnd - d.DayStart)
	if g.rng.Float64() < d.NightShare {
		return day.Add(hours(math.Mod(float64(d.DayEnd)+g.rng.Float64()*(24-length), 24)))
	}
	return day.Add(hours(float64(d.DayStart) + g.rng.Float64()*length))
}

// addSteadyDay adds requests with a mean gap of 40 s by day and longer gaps at night.
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

// addSession adds a burst of requests within about a second, then requests with
// heavy-tailed gaps.
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

// addBurst adds five requests within a second to each of the burst models.
func (g *generator) addBurst(o Options) {
	for i := range min(o.NumBurstModels, len(g.Models)) {
		for range 5 {
			g.addRequest(i, g.MeasureStart.Add(o.BurstDelay+time.Duration(g.rng.Float64()*float64(time.Second))))
		}
	}
}

func (g *generator) addRequest(i int, at time.Time) {
	r := Request{At: at, Model: i, Adapter: -1, RunDuration: time.Duration((0.3 + g.rng.ExpFloat64()) * float64(time.Second))}
	if n := g.Models[i].NumAdapters; n > 0 && g.rng.IntN(2) == 0 {
		r.Adapter = g.rng.IntN(n)
	}
	g.Requests = append(g.Requests, r)
}

// poisson returns a random number with a Poisson distribution.
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
