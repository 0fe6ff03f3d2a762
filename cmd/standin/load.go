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
	// turns is the number of parts into which a load is split; the parts of a load and of
	// its base alternate.
	turns = 5
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

// comparison holds the results of a load and of its base, one element for each turn.
type comparison struct {
	Through []caller.Stats `json:"through"`
	Direct  []caller.Stats `json:"direct,omitempty"`
	// Median, P99 and Rate are the ratios of Through to Direct, of the median turns.
	Median float64 `json:"median_ratio,omitempty"`
	P99    float64 `json:"p99_ratio,omitempty"`
	Rate   float64 `json:"rate_ratio,omitempty"`
}

// check returns an error if an option is out of range.
func (l *loadCmd) check() error {
	for _, text := range []string{l.URL, l.Base} {
		if u, err := url.Parse(text); err != nil || text != "" && u.Host == "" {
			return fmt.Errorf("--url and --base must be URLs")
		}
	}
	if l.Count < turns || l.Count > maxCount || l.Time <= 0 || l.Time > maxTime || l.Clients < 1 || l.Tokens < 1 {
		return fmt.Errorf("--count must be from %d to %d, --time up to %v, --clients and --tokens at least 1", turns, maxCount, maxTime)
	}
	return nil
}

// run sends the load, alternating with its base, and prints the results.
func (l *loadCmd) run(ctx context.Context, w io.Writer) error {
	c := caller.New()
	load := caller.Load{Key: l.Key, Model: l.Model, MaxTokens: l.Tokens, Stream: l.Stream, Clients: l.Clients, Requests: l.Count / turns, MaxTime: l.Time}
	var out comparison
	for range turns {
		if l.Base != "" {
			load.URL = l.Base
			out.Direct = append(out.Direct, c.Run(ctx, load))
		}
		load.URL = l.URL
		out.Through = append(out.Through, c.Run(ctx, load))
	}
	through, direct := medianTurn(out.Through), medianTurn(out.Direct)
	if l.Base != "" && direct.Answers > 0 {
		out.Median, out.P99, out.Rate = through.Median/direct.Median, through.P99/direct.P99, through.AnswersPerSecond/direct.AnswersPerSecond
	}
	if l.JSON {
		return json.NewEncoder(w).Encode(out)
	}
	if l.Base != "" {
		printStats(w, "direct", direct)
	}
	printStats(w, "through", through)
	if l.Base != "" {
		_, _ = fmt.Fprintf(w, "added    median %.0f us, p99 %.0f us; ratio median %.2f, p99 %.2f, rate %.2f\n",
			through.Median-direct.Median, through.P99-direct.P99, out.Median, out.P99, out.Rate)
	}
	return nil
}

// printStats prints the results of one turn.
func printStats(w io.Writer, name string, f caller.Stats) {
	_, _ = fmt.Fprintf(w, "%-8s median %.0f us, p99 %.0f us, first byte %.0f us, %.0f a second, %d answers, %d failures\n",
		name, f.Median, f.P99, f.FirstByte, f.AnswersPerSecond, f.Answers, f.Failures)
}

// medianTurn returns the turn with the median of the median latencies, with the
// answers and failures of all turns.
func medianTurn(stats []caller.Stats) caller.Stats {
	if len(stats) == 0 {
		return caller.Stats{}
	}
	median, answers, failures := stats[0], 0, 0
	for _, f := range stats {
		answers, failures = answers+f.Answers, failures+f.Failures
		below := 0
		for _, g := range stats {
			if g.Median < f.Median {
				below++
			}
		}
		if below == len(stats)/2 {
			median = f
		}
	}
	median.Answers, median.Failures = answers, failures
	return median
}
