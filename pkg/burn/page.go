package burn

import (
	"bytes"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 2.8 * vg.Inch
)

var page = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}</style>
<h1>Service-level burn</h1>
<p>Counted by {{range .Report.Nodes}}{{.}} {{end}}since {{.Report.Since.UTC.Format "2006-01-02T15:04:05Z"}}.</p>
{{range .Lines}}
<h2>{{.Account}} on {{.Pool}}</h2>
<p>Objective {{.Objective}}; {{printf "%.1f" .Percent}}% of the error budget is left.</p>
<table>
<tr><th>window</th><th>burn</th><th>requests</th><th>refused</th><th>failed</th><th>late</th><th>slow</th></tr>
{{range .Windows}}<tr><td>{{.Window}}</td><td>{{printf "%.2f" .Rate}}</td><td>{{.Counts.Total}}</td><td>{{.Counts.Refused}}</td><td>{{.Counts.Failed}}</td><td>{{.Counts.Late}}</td><td>{{.Counts.Slow}}</td></tr>
{{end}}</table>
{{.Plot}}
{{end}}
</html>
`))

// section is a line of the report and its plot.
type section struct {
	Line
	Percent float64
	Plot    template.HTML
}

// WritePage writes the report as an HTML page with plots.
func WritePage(w io.Writer, r Report) error {
	sections := make([]section, 0, len(r.Lines))
	for _, l := range r.Lines {
		svg, err := l.plot()
		if err != nil {
			return err
		}
		sections = append(sections, section{Line: l, Percent: 100 * l.BudgetLeft, Plot: template.HTML(svg)})
	}
	return page.Execute(w, struct {
		Report Report
		Lines  []section
	}{r, sections})
}

// plot draws the burn rate over time as SVG.
func (l Line) plot() (svg []byte, err error) {
	p := plot.New()
	p.Title.Text = "burn rate, last " + Windows[plottedWindow].Label()
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	p.Y.Min = 0
	points := make(plotter.XYs, len(l.Points))
	for i, k := range l.Points {
		points[i] = plotter.XY{X: float64(k.Time.Unix()), Y: k.Counts.BurnRate(l.Objective)}
	}
	if err := plotutil.AddLinePoints(p, points); err != nil {
		return nil, err
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return nil, err
	}
	// Remove the XML declaration, which is not allowed inside an HTML page.
	return b.Bytes()[max(0, bytes.Index(b.Bytes(), []byte("<svg"))):], nil
}
