package burner

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of the plot.
const (
	plotWidth   = 28 * vg.Centimeter
	plotHeight  = 14 * vg.Centimeter
	barWidth    = 0.25 * vg.Centimeter
	maxPlotRows = 20
)

// WriteSVG draws the burn rates by window for the objectives with the least
// error budget left.
func (r Report) WriteSVG(w io.Writer) error {
	rows := r.Rows[:min(len(r.Rows), maxPlotRows)]
	p := plot.New()
	p.Title.Text = "burn rate (1 uses up the budget in its period)"
	if !r.IsComplete {
		p.Title.Text += ", not whole"
	}
	p.Legend.Top = true
	names := make([]string, len(rows))
	for i, row := range rows {
		names[i] = strings.Join([]string{row.Customer, row.Class, string(row.Objective)}, "\n")
	}
	for i := range Windows {
		values := make(plotter.Values, len(rows))
		for j, row := range rows {
			values[j] = row.Windows[i].BurnRate
		}
		if len(values) == 0 {
			break
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(i)
		p.Add(bars)
		p.Legend.Add(windowName(Windows[i]), bars)
	}
	if len(names) > 0 {
		p.NominalX(names...)
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return errors.Wrap(err, "write plot")
}
