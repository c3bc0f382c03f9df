package logreader

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Row counts the requests of one route that ended for one cause.
type Row struct {
	Cause    string `json:"cause"`
	Route    string `json:"route"`
	Requests int    `json:"requests"`
	// Example is the id of one of the requests.
	Example string `json:"example"`
}

// Summary counts requests by cause and route. A cause is an outcome with its
// reason.
type Summary struct {
	Rows           []Row `json:"rows"`
	Requests       int   `json:"requests"`
	FailedAttempts int   `json:"failed-attempts"`
	SkippedLines   int   `json:"skipped-lines"`
}

// Summarize counts the requests of the log. A served request is counted as late
// if it waited longer than the latency objective of its route, if the wait and
// the time to its first byte add up to more, or if its stream paused for longer
// than the route allows. objective applies to routes that have none.
func (l *Log) Summarize(objective time.Duration) Summary {
	s := Summary{SkippedLines: l.SkippedLines}
	rows := make(map[[2]string]*Row)
	for _, x := range l.Lines {
		if x.Message == messageAttemptFailed {
			s.FailedAttempts++
		}
		if x.Message != messageRequestEnded || x.Route == "" {
			continue
		}
		s.Requests++
		k := [2]string{x.cause(objective), x.Route}
		if rows[k] == nil {
			rows[k] = &Row{Cause: k[0], Route: k[1], Example: x.Request}
		}
		rows[k].Requests++
	}
	for _, r := range slices.SortedFunc(maps.Values(rows), func(a, b *Row) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Route, b.Route))
	}) {
		s.Rows = append(s.Rows, *r)
	}
	return s
}

// ByCause returns the counts by cause alone, summed over all routes.
func (s Summary) ByCause() Summary {
	rows := make(map[string]*Row)
	for _, r := range s.Rows {
		if x := rows[r.Cause]; x != nil {
			x.Requests += r.Requests
			continue
		}
		rows[r.Cause] = &Row{Cause: r.Cause, Requests: r.Requests, Example: r.Example}
	}
	s.Rows = nil
	for _, r := range slices.SortedFunc(maps.Values(rows), func(a, b *Row) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause))
	}) {
		s.Rows = append(s.Rows, *r)
	}
	return s
}

// WriteText writes the counts as a table.
func (s Summary) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "requests\troute\tcause\texample") // Flush returns the error
	for _, r := range s.Rows {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", r.Requests, r.Route, r.Cause, r.Example)
	}
	_, _ = fmt.Fprintf(t, "%d\trequests in all, %d failed attempts, %d lines not read\t\t\n", s.Requests, s.FailedAttempts, s.SkippedLines)
	return errors.Wrap(t.Flush(), "write report")
}

// Sizes of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.6 * vg.Centimeter
	maxBars    = 20
)

// WriteSVG writes a bar chart of the most frequent causes, without the requests
// that were served in time.
func (s Summary) WriteSVG(w io.Writer) error {
	byCause := make(map[string]float64)
	for _, r := range s.Rows {
		if r.Cause != "served" {
			byCause[r.Cause] += float64(r.Requests)
		}
	}
	names := slices.SortedFunc(maps.Keys(byCause), func(a, b string) int {
		return cmp.Or(cmp.Compare(byCause[b], byCause[a]), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxBars)]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("requests that were not served in time, of %d", s.Requests)
	values := make(plotter.Values, len(names))
	for i, n := range names {
		values[i] = byCause[n]
	}
	if len(values) > 0 {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Horizontal = true
		p.Add(bars)
		p.NominalY(names...)
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
