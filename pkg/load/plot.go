package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes the latencies by percentile to a file, whose name ends in .svg.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "latency from the intended start"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	err := plotutil.AddLines(p, "first token", points(r.first), "chat", points(r.chat), "order", points(r.order))
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

func points(h *hdrhistogram.Histogram) (list plotter.XYs) {
	for q := 0.0; q <= 100; q++ {
		ms := float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
		list = append(list, plotter.XY{X: q, Y: ms})
	}
	return list
}
