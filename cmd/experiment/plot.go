package main

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// tailNines is the number of nines of the highest quantile plotted: 3 for 99.9%.
const tailNines = 3

// curveSteps is the number of points of a curve per factor of ten.
const curveSteps = 20

// curveQuantiles returns the quantiles of a curve in percent, spaced so that 90, 99
// and 99.9 are equally far apart.
func curveQuantiles() []float64 {
	quantiles := make([]float64, 0, tailNines*curveSteps+1)
	for step := range tailNines*curveSteps + 1 {
		quantiles = append(quantiles, 100*(1-math.Pow(10, -float64(step)/curveSteps)))
	}
	return quantiles
}

// plot draws the time to the first token of each cell over its quantiles.
func (r *report) plot(name string) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("Time to first token, %s, online at %.0f%% of capacity, seed %d", r.Workload, 100*r.Share, r.Seed)
	drawing.X.Label.Text = "share of online requests"
	drawing.Y.Label.Text = "ms from intended arrival"
	drawing.Y.Scale = plot.LogScale{}
	drawing.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	drawing.X.Tick.Marker = plot.ConstantTicks{
		{Value: 0, Label: "0"}, {Value: math.Log10(2), Label: "50%"}, {Value: 1, Label: "90%"}, {Value: 2, Label: "99%"}, {Value: 3, Label: "99.9%"},
	}
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	drawing.Add(plotter.NewGrid())
	for i, c := range r.Cells {
		line, err := plotter.NewLine(c.points())
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(modes))
		line.Width = vg.Points(1.5)
		drawing.Add(line)
		drawing.Legend.Add(fmt.Sprintf("%s, %s", c.Mode, c.Fault), line)
	}
	return drawing.Save(plotWidth, plotHeight, name)
}

func (c *cell) points() plotter.XYs {
	points := make(plotter.XYs, len(c.Curve))
	for step, value := range c.Curve {
		points[step] = plotter.XY{X: float64(step) / curveSteps, Y: max(value, 0.01)}
	}
	return points
}
