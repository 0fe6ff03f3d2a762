package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"time"

	"samphireturn/internal/standin/caller"
)

const (
	maxCount = 1_000_000
	maxTime  = 5 * time.Minute
	// rounds is the number of turns that a load and its base take.
	rounds = 5
)

// loadCmd sends chat requests and measures the answers.
type loadCmd struct {
	URL     string        `arg:"--url,required" help:"base URL of a daemon or an engine"`
	Base    string        `arg:"--base" help:"base URL of an engine to compare with, in turns"`
	Key     string        `arg:"--key" help:"bearer key"`
	Model   string        `arg:"--model,required" help:"model@version"`
	Tokens  int           `arg:"--tokens" default:"16" help:"tokens of an answer"`
	Stream  bool          `arg:"--stream" help:"ask for streams"`
	Clients int           `arg:"--clients" default:"1" help:"requests at the same time"`
	Count   int           `arg:"--count" default:"1000" help:"requests in all"`
	Time    time.Duration `arg:"--time" default:"10s" help:"longest time of each turn"`
	JSON    bool          `arg:"--json" help:"print JSON"`
}

// compared are the figures of a load and of its base.
type compared struct {
	Through []caller.Figures `json:"through"`
	Direct  []caller.Figures `json:"direct,omitempty"`
	// Median, High and Rate are through divided by direct, of the middle turns.
	Median float64 `json:"median_ratio,omitempty"`
	High   float64 `json:"p99_ratio,omitempty"`
	Rate   float64 `json:"rate_ratio,omitempty"`
}

// check returns the first option that is out of range.
func (l *loadCmd) check() error {
	for _, text := range []string{l.URL, l.Base} {
		if u, err := url.Parse(text); err != nil || text != "" && u.Host == "" {
			return fmt.Errorf("--url and --base must be URLs")
		}
	}
	if l.Count < rounds || l.Count > maxCount || l.Time <= 0 || l.Time > maxTime || l.Clients < 1 || l.Tokens < 1 {
		return fmt.Errorf("--count must be from %d to %d, --time up to %v, --clients and --tokens at least 1", rounds, maxCount, maxTime)
	}
	return nil
}

// run sends the load, in turns with its base, and prints the figures.
func (l *loadCmd) run(ctx context.Context, w io.Writer) error {
	c := caller.New()
	load := caller.Load{Key: l.Key, Model: l.Model, Tokens: l.Tokens, Stream: l.Stream, Clients: l.Clients, Count: l.Count / rounds, Time: l.Time}
	var out compared
	for range rounds {
		if l.Base != "" {
			load.URL = l.Base
			out.Direct = append(out.Direct, c.Run(ctx, load))
		}
		load.URL = l.URL
		out.Through = append(out.Through, c.Run(ctx, load))
	}
	through, direct := middle(out.Through), middle(out.Direct)
	if l.Base != "" && direct.Answers > 0 {
		out.Median, out.High, out.Rate = through.Median/direct.Median, through.High/direct.High, through.Rate/direct.Rate
	}
	if l.JSON {
		return json.NewEncoder(w).Encode(out)
	}
	if l.Base != "" {
		line(w, "direct", direct)
	}
	line(w, "through", through)
	if l.Base != "" {
		_, _ = fmt.Fprintf(w, "added    median %.0f us, p99 %.0f us; ratio median %.2f, p99 %.2f, rate %.2f\n",
			through.Median-direct.Median, through.High-direct.High, out.Median, out.High, out.Rate)
	}
	return nil
}

// line prints figures.
func line(w io.Writer, name string, f caller.Figures) {
	_, _ = fmt.Fprintf(w, "%-8s median %.0f us, p99 %.0f us, first byte %.0f us, %.0f a second, %d answers, %d failures\n",
		name, f.Median, f.High, f.First, f.Rate, f.Answers, f.Failures)
}

// middle returns the median turn by the median time, with all answers and
// failures.
func middle(turns []caller.Figures) caller.Figures {
	if len(turns) == 0 {
		return caller.Figures{}
	}
	best, answers, failures := turns[0], 0, 0
	for _, f := range turns {
		answers, failures = answers+f.Answers, failures+f.Failures
		below := 0
		for _, g := range turns {
			if g.Median < f.Median {
				below++
			}
		}
		if below == len(turns)/2 {
			best = f
		}
	}
	best.Answers, best.Failures = answers, failures
	return best
}
