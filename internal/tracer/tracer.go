// Package tracer writes seeded traces of requests for rarely used models.
//
// A trace is made from a stated model of a deployment, not from a recording.
// Every model has one of four habits: steady use over the day, a session at
// the same time each day, sessions at any time of the day, or a session every
// few days. A session starts with a burst, as when many routers meet a first
// request at once, and goes on with heavy-tailed gaps. The habits are mixed so
// that about 6.6% of the models wake up or fall idle within an hour.
//
// The same deployment, seed and number of days give the same trace.
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

// Deployment holds the sizes of a deployment.
type Deployment struct {
	Name             string
	DataCentres      []string
	Engines          int
	EngineBytes      uint64
	Models           int
	Adapters         int
	Customers        int
	StoreLoadsPerSec float64
	// AdapterLoad is the time of an adapter load while few are in flight.
	AdapterLoad time.Duration
	// DayStart and DayEnd are the hours between which people use it.
	DayStart, DayEnd int
	// NightShare is the part of the use that goes on at night.
	NightShare float64
	// ColdStartWeight and IdleWeight are the weights that its users give.
	ColdStartWeight, IdleWeight float64
}

// Tolwerk returns the sizes of Tolwerk Vrachtheffing.
func Tolwerk() Deployment {
	return Deployment{
		Name: "tolwerk", DataCentres: []string{"zaal-utr", "zaal-amf", "zaal-ngn"},
		Engines: 20, EngineBytes: 80 * gib, Models: 55, Adapters: 115, Customers: 6,
		StoreLoadsPerSec: 4.5, AdapterLoad: 10 * time.Millisecond,
		DayStart: 5, DayEnd: 21, NightShare: 0.15, ColdStartWeight: 2, IdleWeight: 1,
	}
}

// Thottam returns the sizes of Thottam Days Farm Bookings.
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
	habit    habit
	// hour is when its daily session starts, in hours.
	hour float64
}

// Contract is a customer's contract.
type Contract struct {
	Replicas int
	Bytes    uint64
}

// Request is one request of a trace.
type Request struct {
	At    time.Time
	Model int
	// Adapter is the number of the model's adapter, -1 for none.
	Adapter int
	Run     time.Duration
}

// Trace is what callers do.
type Trace struct {
	Deployment Deployment
	Seed       uint64
	// Measured is when the measurement starts, after days to learn from.
	Start, Measured, End time.Time
	Models               []Model
	Contracts            map[string]Contract
	Requests             []Request
}

type habit int

const (
	steady habit = iota
	daily
	sporadic
	rare
)

// Options vary a trace.
type Options struct {
	LearnDays, MeasureDays int
	// ShiftHabits moves every daily session to another hour when the measurement starts.
	ShiftHabits bool
	// BurstModels is the number of models that all wake up at BurstAt.
	BurstModels int
	BurstAt     time.Duration // after the start of the measurement
}

// Default lengths of a trace.
const (
	DefaultLearnDays   = 7
	DefaultMeasureDays = 3
)

// epoch is a Monday.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// Write returns the trace of a seed.
func Write(d Deployment, seed uint64, o Options) Trace {
	o.LearnDays = cmp.Or(o.LearnDays, DefaultLearnDays)
	o.MeasureDays = cmp.Or(o.MeasureDays, DefaultMeasureDays)
	w := writer{rng: rand.New(rand.NewPCG(seed, 0x70726d)), Trace: Trace{
		Deployment: d, Seed: seed, Start: epoch,
		Measured: epoch.AddDate(0, 0, o.LearnDays), End: epoch.AddDate(0, 0, o.LearnDays+o.MeasureDays),
		Contracts: make(map[string]Contract),
	}}
	w.models()
	for day := range o.LearnDays + o.MeasureDays {
		if day == o.LearnDays && o.ShiftHabits {
			w.shiftHabits()
		}
		for i := range w.Models {
			w.day(i, epoch.AddDate(0, 0, day))
		}
	}
	w.burst(o)
	w.Requests = slices.DeleteFunc(w.Requests, func(r Request) bool { return !r.At.Before(w.End) })
	slices.SortStableFunc(w.Requests, func(a, b Request) int { return a.At.Compare(b.At) })
	return w.Trace
}

type writer struct {
	Trace
	rng *rand.Rand
}

// sizes are the memory needs of models in GiB.
var sizes = []uint64{8, 14, 16, 16, 24, 28, 32, 40, 48, 70}

func (w *writer) models() {
	d := w.Deployment
	for i := range d.Models {
		m := Model{
			Name: fmt.Sprintf("model-%02d", i), Customer: fmt.Sprintf("customer-%d", i%d.Customers),
			Bytes: sizes[w.rng.IntN(len(sizes))] * gib, Adapters: d.Adapters / d.Models,
		}
		if i < d.Adapters%d.Models {
			m.Adapters++
		}
		m.habit = [...]habit{steady, daily, daily, daily, daily, sporadic, sporadic, sporadic, sporadic, rare}[i%10]
		m.Class = recordv1.RequestClass(1 + w.rng.IntN(3))
		m.hour = w.sessionHour(m.Class)
		w.Models = append(w.Models, m)
		c := w.Contracts[m.Customer]
		w.Contracts[m.Customer] = Contract{c.Replicas + 1, c.Bytes + m.Bytes}
	}
	for name, c := range w.Contracts {
		w.Contracts[name] = Contract{max(3, c.Replicas*4/5), max(2*d.EngineBytes, c.Bytes*4/5)}
	}
}

// sessionHour returns when a daily session starts: at opening time for most,
// at night for summaries.
func (w *writer) sessionHour(class recordv1.RequestClass) float64 {
	d := w.Deployment
	switch {
	case class == recordv1.RequestClass_REQUEST_CLASS_BATCH:
		return math.Mod(float64(d.DayEnd)+w.rng.Float64()*8, 24)
	case w.rng.IntN(2) == 0:
		return float64(d.DayStart + 2) // opening time
	}
	return float64(d.DayStart) + w.rng.Float64()*float64(d.DayEnd-d.DayStart)
}

func (w *writer) shiftHabits() {
	for i := range w.Models {
		w.Models[i].hour = math.Mod(w.Models[i].hour+2+w.rng.Float64()*4, 24)
	}
}

// day writes the requests of one model on one day.
func (w *writer) day(i int, day time.Time) {
	m := w.Models[i]
	switch m.habit {
	case steady:
		w.steadyDay(i, day)
	case daily:
		if w.rng.Float64() < 0.9 {
			jitter := time.Duration(w.rng.NormFloat64() * float64(4*time.Minute))
			w.session(i, day.Add(hours(m.hour)+jitter))
		}
	case sporadic:
		for range w.poisson(1.1) {
			w.session(i, w.anyTime(day))
		}
	case rare:
		if w.rng.Float64() < 0.3 {
			w.session(i, w.anyTime(day))
		}
	}
}

func hours(h float64) time.Duration {
	return time.Duration(h * float64(time.Hour))
}

// anyTime returns a time in the day, or at night for the night's share.
func (w *writer) anyTime(day time.Time) time.Time {
	d := w.Deployment
	length := float64(d.DayEnd - d.DayStart)
	if w.rng.Float64() < d.NightShare {
		return day.Add(hours(math.Mod(float64(d.DayEnd)+w.rng.Float64()*(24-length), 24)))
	}
	return day.Add(hours(float64(d.DayStart) + w.rng.Float64()*length))
}

// steadyDay writes use with gaps of a mean of 40 s by day, longer at night.
func (w *writer) steadyDay(i int, day time.Time) {
	d := w.Deployment
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
		t = t.Add(time.Duration(w.rng.ExpFloat64() * mean * float64(time.Second)))
		w.request(i, t)
	}
}

// session writes a burst within a second, then requests with heavy-tailed gaps.
func (w *writer) session(i int, at time.Time) {
	for range 1 + w.poisson(4) {
		w.request(i, at.Add(time.Duration(w.rng.ExpFloat64()*0.3*float64(time.Second))))
	}
	const shape, least, most = 1.1, 8.0, 3000.0
	t := at
	for range w.poisson(30) {
		gap := min(least*math.Pow(1-w.rng.Float64(), -1/shape), most)
		t = t.Add(time.Duration(gap * float64(time.Second)))
		w.request(i, t)
	}
}

func (w *writer) burst(o Options) {
	for i := range min(o.BurstModels, len(w.Models)) {
		for range 5 {
			w.request(i, w.Measured.Add(o.BurstAt+time.Duration(w.rng.Float64()*float64(time.Second))))
		}
	}
}

func (w *writer) request(i int, at time.Time) {
	r := Request{At: at, Model: i, Adapter: -1, Run: time.Duration((0.3 + w.rng.ExpFloat64()) * float64(time.Second))}
	if n := w.Models[i].Adapters; n > 0 && w.rng.IntN(2) == 0 {
		r.Adapter = w.rng.IntN(n)
	}
	w.Requests = append(w.Requests, r)
}

func (w *writer) poisson(mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		p *= w.rng.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}
