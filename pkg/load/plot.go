package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes a plot of the latency percentiles to a file. The extension of the
// file name, such as .svg, selects the format.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "latency from the intended start"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	err := plotutil.AddLines(p, "first token", percentilePoints(r.firstToken), "chat", percentilePoints(r.chat), "order", percentilePoints(r.order))
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

// percentilePoints returns the percentiles 0 to 100 of a histogram in
// milliseconds.
func percentilePoints(h *hdrhistogram.Histogram) (points plotter.XYs) {
	for q := 0.0; q <= 100; q++ {
		ms := float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
		points = append(points, plotter.XY{X: q, Y: ms})
	}
	return points
}
