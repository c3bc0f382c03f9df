package loader

import (
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// maxNines is the highest quantile of the plot as a number of nines: 4 is 99.99%.
const maxNines = 4

// WriteSVG writes a plot of the time to the first token by quantile, with one
// line for each target.
func (r Report) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "time to the first token"
	p.X.Label.Text = "quantile in nines (1 = 90%, 2 = 99%, 3 = 99.9%)"
	p.Y.Label.Text = "milliseconds"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	sections := append([]Section(nil), r.Targets...)
	if r.Direct != nil {
		sections = append(sections, *r.Direct)
	}
	for i, section := range sections {
		points := quantilePoints(section.firstToken)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(section.Name, line)
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

// quantilePoints returns the quantiles of a histogram, up to the highest that its
// number of values supports.
func quantilePoints(h *hdrhistogram.Histogram) plotter.XYs {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	const step = 0.05
	highest := min(maxNines, math.Log10(float64(h.TotalCount())))
	var out plotter.XYs
	for nines := 0.0; nines <= highest; nines += step {
		q := 100 * (1 - math.Pow(10, -nines))
		out = append(out, plotter.XY{X: nines, Y: float64(max(h.ValueAtQuantile(q), lowestMicroseconds)) / 1000})
	}
	return out
}
