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

// Plot draws the number of requests not served in time per second of arrival, one
// colour for each cause. The file's extension, svg, png or pdf, selects the format.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "requests not served in time"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	p.Legend.Left = true
	var previous *plotter.BarChart
	for i, cause := range r.lossCauses() {
		bars, err := plotter.NewBarChart(r.perSecond(cause), barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(string(cause), bars)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// lossCauses returns the causes other than InTime, the most frequent first.
func (r *Report) lossCauses() []Cause {
	var causes []Cause
	for _, row := range r.groupBy(func(row *Row) Row { return Row{Cause: row.Cause} }) {
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
