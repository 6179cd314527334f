package soak

import (
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
)

// Size of a plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 160
)

// colours are the colours of the tiers' lines, by tier name in sorted order.
var colours = []string{"#b4232a", "#1f6fb2", "#2e8540", "#8a5a00"}

// plot is the template data of one run.
type plot struct {
	*Report
	Width, Height int
	Lines         []line
	Bands         []band
}

// line is one tier's goodput over time, as the fraction of arrivals that were
// answered in time. Points is the value of an SVG points attribute.
type line struct {
	Tier, Colour, Points string
}

// band marks the time of one fault. X and Width are in pixels.
type band struct {
	X, Width float64
	Label    string
}

var page = template.Must(template.New("soak").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Fault soak</title>
<style>body{font-family:sans-serif;margin:2em}svg{background:#f6f6f6}td{padding:0 1em 0 0}</style>
<h1>Fault soak</h1>
{{range .}}<h2>Seed {{.Seed}}: {{if .Failed}}promises broken{{else}}all promises kept{{end}}</h2>
<p>{{.Sent}} sent, {{.Answered}} answered, {{.InTime}} in time, {{.RefusedNotRun}} refused as not run, {{.MayHaveRun}} may have run,
{{.Disturbed}} unanswered by a disturbed node, {{.Lost}} lost, {{.Doubled}} doubled, {{.Wrong}} wrong, {{.FalseNotRun}} falsely "not run",
{{.Changes}} changes of the configuration.</p>
{{range .Violations}}<p><b>{{.}}</b></p>
{{end}}<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="goodput by tier and time">
{{range .Bands}}<rect x="{{.X}}" width="{{.Width}}" y="0" height="100%" fill="#000" fill-opacity="0.07"><title>{{.Label}}</title></rect>
{{end}}{{range .Lines}}<polyline points="{{.Points}}" fill="none" stroke="{{.Colour}}" stroke-width="2"><title>{{.Tier}}</title></polyline>
{{end}}</svg>
<p>Answers in time as a fraction of the arrivals of each second:
{{range .Lines}}<span style="color:{{.Colour}}">{{.Tier}}</span> {{end}}. Shaded: faults.</p>
<table>{{range .Faults}}<tr><td>{{printf "%.1f s" .At.Seconds}}</td><td>{{.}}</td></tr>
{{end}}</table>
{{end}}</html>
`))

// WritePage writes an HTML page that plots each run's goodput by tier over time.
func WritePage(w io.Writer, reports []*Report) error {
	var plots []plot
	for _, r := range reports {
		plots = append(plots, r.plot())
	}
	if err := page.Execute(w, plots); err != nil {
		return fmt.Errorf("render soak page: %w", err)
	}
	return nil
}

func (r *Report) plot() plot {
	p := plot{Report: r, Width: plotWidth, Height: plotHeight}
	perSecond := plotWidth / max(1, r.Duration)
	for i, s := range r.Goodput {
		p.Lines = append(p.Lines, line{Tier: string(s.Tier), Colour: colours[i%len(colours)], Points: points(s, perSecond)})
	}
	for _, f := range r.Faults {
		p.Bands = append(p.Bands, band{X: f.At.Seconds() * perSecond, Width: f.For.Seconds() * perSecond, Label: f.String()})
	}
	return p
}

// points returns the points of a tier's line, one per second. Seconds without
// arrivals are omitted.
func points(s load.Series, perSecond float64) string {
	var b strings.Builder
	for second, sent := range s.Sent {
		if sent == 0 {
			continue
		}
		x := (float64(second) + 0.5) * perSecond
		y := plotHeight * (1 - 0.95*float64(s.Answered[second])/float64(sent))
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return b.String()
}
