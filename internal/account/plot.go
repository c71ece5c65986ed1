package account

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 3 * vg.Millimeter
)

// Plot draws the requests that were not served in time by the second in which they
// came, one colour for each cause, to a file whose name ends in svg, png or pdf.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "requests not served in time"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	p.Legend.Left = true
	var below *plotter.BarChart
	for i, cause := range r.losses() {
		bars, err := plotter.NewBarChart(r.perSecond(cause), barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(string(cause), bars)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// losses lists the causes, the most frequent first.
func (r *Report) losses() []Cause {
	var causes []Cause
	for _, row := range r.by(func(row *Row) Row { return Row{Cause: row.Cause} }) {
		if row.Cause != InTime {
			causes = append(causes, row.Cause)
		}
	}
	return causes
}

func (r *Report) perSecond(cause Cause) plotter.Values {
	last := slices.MaxFunc(r.Seconds, func(a, b Second) int { return a.Second - b.Second })
	values := make(plotter.Values, last.Second+1)
	for _, s := range r.Seconds {
		if s.Cause == cause {
			values[s.Second] += float64(s.Requests)
		}
	}
	return values
}
