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

// maxExamples is the maximum number of requests that a report lists for each
// kind of failure.
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

// Section is the report on one target, on all of them, or on the direct requests.
type Section struct {
	Name          string         `json:"name"`
	Sent          int            `json:"sent"`
	Answered      int            `json:"answered"`
	Refused       int            `json:"refused"`
	Lost          int            `json:"lost"`
	Wrong         int            `json:"wrong"`
	Reasons       map[string]int `json:"refused-by-reason"`
	FirstToken    Latency        `json:"first-token"`
	BetweenTokens Latency        `json:"between-tokens"`
	Total         Latency        `json:"total"`
	StartLag      Latency        `json:"start-lag"`

	firstToken, betweenTokens, total, startLag *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// OfferedRate and Goodput are the arrivals and the answers per second of the
	// planned length.
	OfferedRate float64   `json:"offered-per-second"`
	Goodput     float64   `json:"answered-per-second"`
	All         Section   `json:"all"`
	Targets     []Section `json:"targets"`
	// Direct is the report on the requests that were sent directly to the upstreams.
	Direct *Section `json:"direct,omitempty"`
	// Overhead is the time that the system adds to the time to the first token.
	Overhead *Overhead `json:"added,omitempty"`
	// IsChecked says whether the outcomes were compared with the run counts of the
	// services.
	IsChecked bool `json:"checked"`
	Findings
	// Examples lists some requests that were refused, lost or had a wrong answer.
	Examples []string `json:"examples"`
}

// Overhead is the difference in milliseconds between the quantiles of the
// requests through the system and those of the direct ones.
type Overhead struct {
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
}

func newSection(name string) *Section {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
	}
	return &Section{Name: name, Reasons: make(map[string]int), firstToken: h(), betweenTokens: h(), total: h(), startLag: h()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), lowestMicroseconds), highestMicroseconds)
	_ = h.RecordValue(us) // in range, so it returns no error
}

func (p *Section) add(o Outcome) {
	p.Sent++
	record(p.startLag, o.StartLag)
	switch o.Result {
	case ResultAnswered:
		p.Answered++
		record(p.firstToken, o.FirstToken)
		record(p.total, o.Total)
		for _, g := range o.TokenGaps {
			record(p.betweenTokens, g)
		}
	case ResultRefused:
		p.Refused++
		p.Reasons[reason(o)]++
	case ResultWrongAnswer:
		p.Wrong++
	default:
		p.Lost++
	}
}

// reason returns the reason and the verdict of a refusal.
func reason(o Outcome) string {
	return string(o.Refusal.Reason) + " (" + o.Refusal.Ran.String() + ")"
}

func (p *Section) finish() Section {
	p.FirstToken, p.BetweenTokens, p.Total, p.StartLag = latency(p.firstToken), latency(p.betweenTokens), latency(p.total), latency(p.startLag)
	return *p
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// NewReport aggregates the outcomes of a run.
func NewReport(p Plan, outcomes []Outcome, duration time.Duration) Report {
	all, direct := newSection("all"), newSection("direct")
	targets := make([]*Section, len(p.Targets))
	for i, t := range p.Targets {
		targets[i] = newSection(t.Name)
	}
	rep := Report{Seed: p.Seed, Seconds: duration.Seconds(), Examples: []string{}}
	numExamples := make(map[string]int)
	for _, o := range outcomes {
		if o.IsDirect {
			direct.add(o)
			continue
		}
		all.add(o)
		targets[o.TargetIndex].add(o)
		if e := example(o); e != "" {
			kind := fmt.Sprint(o.Result, reason(o))
			if numExamples[kind]++; numExamples[kind] <= maxExamples {
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
		rep.Overhead = &Overhead{rep.All.FirstToken.P50 - d.FirstToken.P50, rep.All.FirstToken.P99 - d.FirstToken.P99}
	}
	if s := p.Length.Seconds(); s > 0 {
		rep.OfferedRate, rep.Goodput = float64(rep.All.Sent)/s, float64(rep.All.Answered)/s
	}
	return rep
}

// example returns the report's line on a request that was not answered, "" for
// others.
func example(o Outcome) string {
	switch o.Result {
	case ResultRefused:
		return o.ID + ": " + o.Refusal.Error()
	case ResultWrongAnswer:
		return o.ID + ": wrong: " + o.Detail
	case ResultLost:
		return o.ID + ": lost"
	}
	return ""
}

// IsClean reports whether no request was lost or got a wrong answer and Findings
// is empty.
func (r Report) IsClean() bool {
	isDirectClean := r.Direct == nil || r.Direct.Lost+r.Direct.Wrong == 0
	return r.All.Lost+r.All.Wrong == 0 && isDirectClean && r.Findings == Findings{}
}

// SummaryLine returns the last line of the text report.
func (r Report) SummaryLine() string {
	return fmt.Sprintf("%d sent, %d answered, %d refused, %d lost, %d run twice",
		r.All.Sent, r.All.Answered, r.All.Refused, r.All.Lost, r.RunTwice)
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%.0f requests/s offered, %.0f answered, seed %d, %.1f s\n", r.OfferedRate, r.Goodput, r.Seed, r.Seconds)
	sections := append([]Section{r.All}, r.Targets...)
	if r.Direct != nil {
		sections = append(sections, *r.Direct)
	}
	for _, p := range sections {
		p.writeText(&b)
	}
	if r.Overhead != nil {
		fmt.Fprintf(&b, "added to the first token: %.3f ms at the median, %.3f ms at the 99th percentile\n", r.Overhead.P50, r.Overhead.P99)
	}
	for _, e := range r.Examples {
		fmt.Fprintln(&b, "  "+e)
	}
	if r.IsChecked {
		f := r.Findings
		fmt.Fprintf(&b, "keys: %d run twice, %d refused as not run but ran, %d answered but never ran\n", f.RunTwice, f.FalseNotRun, f.NeverRan)
	} else {
		fmt.Fprintln(&b, "keys: not checked, no service was asked what it ran")
	}
	fmt.Fprintln(&b, r.SummaryLine())
	_, err := io.WriteString(w, b.String())
	return err
}

func (p Section) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "%s: %d sent, %d answered, %d refused, %d wrong, %d lost\n", p.Name, p.Sent, p.Answered, p.Refused, p.Wrong, p.Lost)
	for _, k := range slices.SortedFunc(maps.Keys(p.Reasons), cmp.Compare[string]) {
		fmt.Fprintf(b, "  refused %s: %d\n", k, p.Reasons[k])
	}
	for _, l := range []struct {
		name string
		l    Latency
	}{{"first token", p.FirstToken}, {"between tokens", p.BetweenTokens}, {"total", p.Total}, {"start lag", p.StartLag}} {
		if l.l.Count > 0 {
			fmt.Fprintf(b, "  %-14s p50 %9.3f  p95 %9.3f  p99 %9.3f  p99.9 %9.3f  max %9.3f ms\n", l.name, l.l.P50, l.l.P95, l.l.P99, l.l.P999, l.l.Max)
		}
	}
}
