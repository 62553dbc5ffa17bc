package main

import (
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter / 3
	// plotMargin is a part of the distance between two kinds, or of the plot's height.
	plotMargin = 0.5
)

// plotFirstEvents writes a bar for each kind and policy: the time within which 95 in 100 requests had their
// first event. The format follows from the file's extension.
func plotFirstEvents(load string, results []policyResult, file string) error {
	p := plot.New()
	p.Title.Text = "Time to the first event, 95 in 100, load " + load
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top = true
	var kinds []string
	for i, r := range results {
		values := make(plotter.Values, len(r.Kinds))
		kinds = kinds[:0]
		for n, kind := range r.Kinds {
			values[n] = float64(kind.P95) / float64(time.Millisecond)
			kinds = append(kinds, kind.Kind)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Trace(err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(results)-1)/2)
		p.Add(bars)
		p.Legend.Add(r.Policy, bars)
	}
	p.NominalX(kinds...)
	// Room for the outer bars, and for the legend above them.
	p.X.Min, p.X.Max = -plotMargin, float64(len(kinds))-1+plotMargin
	p.Y.Max *= 1 + plotMargin
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}
