// Package plotter draws the comparison of policies as SVG.
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

// KindDraw says that a plot could not be drawn.
const KindDraw Kind = 0

const (
	width  = 24 * vg.Centimeter
	height = 10 * vg.Centimeter
	// steps is the number of points of a distribution.
	steps = 200
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of a plot.
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

// Write draws the cost against the share of good answers and, beside it, the
// distribution of the time to the first token, one series a policy. Errors are
// of type *Error.
func Write(w io.Writer, r *player.Report) error {
	left, err := costs(r)
	if err != nil {
		return &Error{Op: "plot costs", Kind: KindDraw, Err: err}
	}
	right, err := firsts(r)
	if err != nil {
		return &Error{Op: "plot first tokens", Kind: KindDraw, Err: err}
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

// costs plots each policy's cost against its share of good answers.
func costs(r *player.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Trace + ": cost and quality"
	p.X.Label.Text = "share of answers that reach the bar"
	p.Y.Label.Text = "cost"
	p.Add(plotter.NewGrid())
	for i, res := range r.Results {
		s, err := plotter.NewScatter(plotter.XYs{{X: res.Share, Y: res.Cost}})
		if err != nil {
			return nil, err
		}
		s.GlyphStyle = draw.GlyphStyle{Color: colour(i), Radius: vg.Points(4), Shape: draw.CircleGlyph{}}
		p.Add(s)
		p.Legend.Add(res.Policy, s)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Min, p.X.Max = p.X.Min-0.02, p.X.Max+0.02
	p.Y.Min, p.Y.Max = 0, p.Y.Max*1.15
	return p, nil
}

// firsts plots each policy's distribution of the time to the first token up to
// the greatest 99th percentile.
func firsts(r *player.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Trace + ": time to the first token"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of requests answered"
	p.Add(plotter.NewGrid())
	var end int64
	for i, res := range r.Results {
		if len(res.Firsts) == 0 {
			continue
		}
		end = max(end, res.P99)
		points := make(plotter.XYs, 0, steps)
		for k := range steps {
			q := float64(k) / steps
			at := res.Firsts[int(q*float64(len(res.Firsts)))]
			points = append(points, plotter.XY{X: float64(at.Milliseconds()), Y: q})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.Color, l.Width = colour(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(res.Policy, l)
	}
	p.X.Max, p.Y.Min, p.Y.Max = float64(max(end, 1)), 0, 1
	return p, nil
}

// Table returns the report as lines of text.
func Table(r *player.Report) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %8s %10s %7s %7s %7s %6s %6s %6s %5s %6s\n",
		"policy", "requests", "cost", "quality", "share", "lowest", "p50", "p95", "p99", "bad", "failed")
	for _, s := range r.Results {
		fmt.Fprintf(&b, "%-10s %8d %10.4f %7.3f %7.3f %7.3f %6d %6d %6d %5d %6d\n",
			s.Policy, s.Requests, s.Cost, s.Quality, s.Share, s.Lowest, s.P50, s.P95, s.P99, s.Bad, s.Failed)
	}
	for _, o := range r.Outcomes {
		word := "kept"
		if !o.Kept {
			word = "broken"
		}
		fmt.Fprintf(&b, "%-6s %s: %s is %.4g%s%s\n", word, o.Name, o.Measure, o.Value, bound(", at least", o.Min), bound(", at most", o.Max))
	}
	return b.String()
}

// bound returns a bound in words, or nothing.
func bound(word string, v *float64) string {
	if v == nil {
		return ""
	}
	return fmt.Sprintf("%s %g", word, *v)
}
