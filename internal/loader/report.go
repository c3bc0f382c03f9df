package loader

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(5 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

// maxExamples bounds the request ids that a report names per kind of trouble.
const maxExamples = 5

// Latency holds quantiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p99-9-ms"`
	Max   float64 `json:"max-ms"`
}

// Part is the report on one target, or on all of them.
type Part struct {
	Name     string         `json:"name"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused"`
	Lost     int            `json:"lost"`
	Wrong    int            `json:"wrong"`
	Reasons  map[string]int `json:"refused-by-reason"`
	First    Latency        `json:"first-token"`
	Between  Latency        `json:"between-tokens"`
	Total    Latency        `json:"total"`
	Lag      Latency        `json:"start-lag"`

	first, between, total, lag *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Offered and Goodput are arrivals and answers a second of the planned length.
	Offered float64 `json:"offered-per-second"`
	Goodput float64 `json:"answered-per-second"`
	All     Part    `json:"all"`
	Targets []Part  `json:"targets"`
	// Direct is the part of the requests that went straight to the upstreams.
	Direct *Part `json:"direct,omitempty"`
	// Added is what the system adds to the time to the first token.
	Added *Added `json:"added,omitempty"`
	// Checked says whether the services told what they ran.
	Checked bool `json:"checked"`
	Findings
	// Examples names a few requests that were refused, wrong or lost.
	Examples []string `json:"examples"`
}

// Added compares the requests through the system with the direct ones.
type Added struct {
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
}

func newPart(name string) *Part {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
	}
	return &Part{Name: name, Reasons: make(map[string]int), first: h(), between: h(), total: h(), lag: h()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = h.RecordValue(us) // in range, so never refused
}

func (p *Part) add(o Outcome) {
	p.Sent++
	record(p.lag, o.Lag)
	switch o.Ending {
	case Answered:
		p.Answered++
		record(p.first, o.First)
		record(p.total, o.Total)
		for _, g := range o.Gaps {
			record(p.between, g)
		}
	case Refused:
		p.Refused++
		p.Reasons[reason(o)]++
	case Wrong:
		p.Wrong++
	default:
		p.Lost++
	}
}

func reason(o Outcome) string {
	return string(o.Refusal.Reason) + " (" + o.Refusal.Ran.String() + ")"
}

func (p *Part) finish() Part {
	p.First, p.Between, p.Total, p.Lag = latency(p.first), latency(p.between), latency(p.total), latency(p.lag)
	return *p
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// NewReport sums up the outcomes of a run that took the given time.
func NewReport(p Plan, outcomes []Outcome, took time.Duration) Report {
	all, direct := newPart("all"), newPart("direct")
	targets := make([]*Part, len(p.Targets))
	for i, t := range p.Targets {
		targets[i] = newPart(t.Name)
	}
	rep := Report{Seed: p.Seed, Seconds: took.Seconds(), Examples: []string{}}
	seen := make(map[string]int)
	for _, o := range outcomes {
		if o.Direct {
			direct.add(o)
			continue
		}
		all.add(o)
		targets[o.Target].add(o)
		if e := example(o); e != "" {
			kind := fmt.Sprint(o.Ending, reason(o))
			if seen[kind]++; seen[kind] <= maxExamples {
				rep.Examples = append(rep.Examples, e)
			}
		}
	}
	rep.All = all.finish()
	for _, t := range targets {
		rep.Targets = append(rep.Targets, t.finish())
	}
	if direct.Sent > 0 {
		d := direct.finish()
		rep.Direct = &d
		rep.Added = &Added{rep.All.First.P50 - d.First.P50, rep.All.First.P99 - d.First.P99}
	}
	if s := p.Length.Seconds(); s > 0 {
		rep.Offered, rep.Goodput = float64(rep.All.Sent)/s, float64(rep.All.Answered)/s
	}
	return rep
}

func example(o Outcome) string {
	switch o.Ending {
	case Refused:
		return o.ID + ": " + o.Refusal.Error()
	case Wrong:
		return o.ID + ": wrong: " + o.Detail
	case Lost:
		return o.ID + ": lost"
	}
	return ""
}

// IsClean reports whether nothing was lost, wrong, run twice or falsely refused.
func (r Report) IsClean() bool {
	direct := r.Direct == nil || r.Direct.Lost+r.Direct.Wrong == 0
	return r.All.Lost+r.All.Wrong == 0 && direct && r.Findings == Findings{}
}

// Line is the report in one line.
func (r Report) Line() string {
	return fmt.Sprintf("%d sent, %d answered, %d refused, %d lost, %d run twice",
		r.All.Sent, r.All.Answered, r.All.Refused, r.All.Lost, r.RunTwice)
}

// WriteText writes the report for people.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%.0f requests/s offered, %.0f answered, seed %d, %.1f s\n", r.Offered, r.Goodput, r.Seed, r.Seconds)
	parts := append([]Part{r.All}, r.Targets...)
	if r.Direct != nil {
		parts = append(parts, *r.Direct)
	}
	for _, p := range parts {
		p.writeText(&b)
	}
	if r.Added != nil {
		fmt.Fprintf(&b, "added to the first token: %.3f ms at the median, %.3f ms at the 99th percentile\n", r.Added.P50, r.Added.P99)
	}
	for _, e := range r.Examples {
		fmt.Fprintln(&b, "  "+e)
	}
	if r.Checked {
		f := r.Findings
		fmt.Fprintf(&b, "keys: %d run twice, %d refused as not run but ran, %d answered but never ran\n", f.RunTwice, f.FalseNotRun, f.NeverRan)
	} else {
		fmt.Fprintln(&b, "keys: not checked, no service was asked what it ran")
	}
	fmt.Fprintln(&b, r.Line())
	_, err := io.WriteString(w, b.String())
	return err
}

func (p Part) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "%s: %d sent, %d answered, %d refused, %d wrong, %d lost\n", p.Name, p.Sent, p.Answered, p.Refused, p.Wrong, p.Lost)
	for _, k := range slices.SortedFunc(maps.Keys(p.Reasons), cmp.Compare[string]) {
		fmt.Fprintf(b, "  refused %s: %d\n", k, p.Reasons[k])
	}
	for _, l := range []struct {
		name string
		l    Latency
	}{{"first token", p.First}, {"between tokens", p.Between}, {"total", p.Total}, {"start lag", p.Lag}} {
		if l.l.Count > 0 {
			fmt.Fprintf(b, "  %-14s p50 %9.3f  p95 %9.3f  p99 %9.3f  p99.9 %9.3f  max %9.3f ms\n", l.name, l.l.P50, l.l.P95, l.l.P99, l.l.P999, l.l.Max)
		}
	}
}
