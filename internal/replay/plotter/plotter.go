// Package plotter formats the comparison of policies as an SVG plot and as a table
// of text.
package plotter

import (
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"samphireturn/internal/replay/player"
)

// KindDraw means that a plot could not be drawn.
const KindDraw Kind = 0

const (
	width  = 24 * vg.Centimeter
	height = 10 * vg.Centimeter
	// distributionPoints is the number of points of a plotted distribution.
	distributionPoints = 200
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of drawing or writing a plot.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}
)

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Write draws one series for each policy in two plots side by side: the cost against
// the share of answers that reach MinQuality, and the distribution of the time to
// the first token. Errors are of type *Error.
func Write(w io.Writer, r *player.Report) error {
	left, err := plotCosts(r)
	if err != nil {
		return &Error{Op: "plot costs", Kind: KindDraw, Err: err}
	}
	right, err := plotFirstTokenTimes(r)
	if err != nil {
		return &Error{Op: "plot times to the first token", Kind: KindDraw, Err: err}
	}
	canvas := vgsvg.New(width, height)
	tiles := draw.Tiles{Rows: 1, Cols: 2, PadX: vg.Centimeter, PadTop: vg.Millimeter * 3, PadBottom: vg.Millimeter * 3, PadLeft: vg.Millimeter * 3, PadRight: vg.Millimeter * 5}
	area := draw.New(canvas)
	left.Draw(tiles.At(area, 0, 0))
	right.Draw(tiles.At(area, 1, 0))
	if _, err := canvas.WriteTo(w); err != nil {
		return &Error{Op: "write plot", Kind: KindDraw, Err: err}
	}
	return nil
}

// plotCosts plots each policy's cost against its share of answers that reach
// MinQuality.
func plotCosts(r *player.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Trace + ": cost and quality"
	p.X.Label.Text = "share of answers that reach the minimum quality"
	p.Y.Label.Text = "cost"
	p.Add(plotter.NewGrid())
	for i, res := range r.Results {
		s, err := plotter.NewScatter(plotter.XYs{{X: res.QualityShare, Y: res.Cost}})
		if err != nil {
			return nil, err
		}
		s.GlyphStyle = draw.GlyphStyle{Color: policyColour(i), Radius: vg.Points(4), Shape: draw.CircleGlyph{}}
		p.Add(s)
		p.Legend.Add(res.Policy, s)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Min, p.X.Max = p.X.Min-0.02, p.X.Max+0.02
	p.Y.Min, p.Y.Max = 0, p.Y.Max*1.15
	return p, nil
}

// plotFirstTokenTimes plots each policy's distribution of the time to the first
// token. The axis ends at the highest 99th percentile.
func plotFirstTokenTimes(r *player.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Trace + ": time to the first token"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of requests answered"
	p.Add(plotter.NewGrid())
	var end int64
	for i, res := range r.Results {
		if len(res.FirstTokenTimes) == 0 {
			continue
		}
		end = max(end, res.P99)
		points := make(plotter.XYs, 0, distributionPoints)
		for k := range distributionPoints {
			q := float64(k) / distributionPoints
			at := res.FirstTokenTimes[int(q*float64(len(res.FirstTokenTimes)))]
			points = append(points, plotter.XY{X: float64(at.Milliseconds()), Y: q})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.Color, l.Width = policyColour(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(res.Policy, l)
	}
	p.X.Max, p.Y.Min, p.Y.Max = float64(max(end, 1)), 0, 1
	return p, nil
}

// Table formats the report as a table of the policies followed by a line for each
// stated outcome.
func Table(r *player.Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %8s %10s %7s %7s %7s %6s %6s %6s %5s %6s\n",
		"policy", "requests", "cost", "quality", "share", "lowest", "p50", "p95", "p99", "bad", "failed")
	for _, s := range r.Results {
		fmt.Fprintf(&b, "%-10s %8d %10.4f %7.3f %7.3f %7.3f %6d %6d %6d %5d %6d\n",
			s.Policy, s.Requests, s.Cost, s.MeanRating, s.QualityShare, s.MinGroupShare, s.P50, s.P95, s.P99, s.BadVersionRequests, s.Failed)
	}
	for _, o := range r.Outcomes {
		verdict := "kept"
		if !o.Met {
			verdict = "broken"
		}
		fmt.Fprintf(&b, "%-6s %s: %s is %.4g%s%s\n", verdict, o.Name, o.Measure, o.Value, formatBound(", at least", o.Min), formatBound(", at most", o.Max))
	}
	return b.String()
}

// formatBound returns the label followed by the bound, or an empty string if there
// is no bound.
func formatBound(label string, v *float64) string {
	if v == nil {
		return ""
	}
	return fmt.Sprintf("%s %g", label, *v)
}
