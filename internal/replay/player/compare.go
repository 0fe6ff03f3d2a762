package player

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/replay/reader"
)

// KindMeasure says that a trace states an outcome of an unknown measure.
const KindMeasure Kind = 0

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of a replay.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Outcome is a stated outcome with its measured value.
	Outcome struct {
		reader.Expect
		Value float64 `json:"value"`
		Kept  bool    `json:"kept"`
	}

	// Report is the comparison of policies over one trace.
	Report struct {
		Trace    string    `json:"trace"`
		Results  []*Result `json:"results"`
		Outcomes []Outcome `json:"outcomes"`
	}
)

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Compare replays the trace under every policy and holds the configured one
// against the stated outcomes. Errors are of type *Error.
func Compare(c *samphireturn.Config, t *reader.Trace, seed uint64) (*Report, error) {
	play := func(name string, policy Policy, dearness float64) *Result {
		p := &Player{Config: c, Trace: t, Policy: policy, Dearness: dearness, Seed: seed}
		r := p.Play()
		r.Policy = name
		return r
	}
	own := play("configured", Configured, 0)
	cheap := play("cheap", Cheap, 0)
	dear := play("dear", Dear, 0)
	share := 0.0
	if dear.Cost > cheap.Cost {
		share = min(max((own.Cost-cheap.Cost)/(dear.Cost-cheap.Cost), 0), 1)
	}
	best, fixed := Hindsight(c, t), Fixed(c, t)
	r := &Report{Trace: t.Head.Name, Results: []*Result{own, cheap, dear, play("random", Random, share), fixed, best}}
	for _, e := range t.Expects {
		v, ok := measure(e.Measure, own, dear, fixed, best)
		if !ok {
			return nil, &Error{Op: "compare", Kind: KindMeasure, Err: errors.Errorf("outcome %q has the unknown measure %q", e.Name, e.Measure)}
		}
		kept := (e.Min == nil || v >= *e.Min) && (e.Max == nil || v <= *e.Max)
		r.Outcomes = append(r.Outcomes, Outcome{Expect: e, Value: v, Kept: kept})
	}
	return r, nil
}

// measure returns a measure of the configured policy.
func measure(name string, own, dear, fixed, best *Result) (float64, bool) {
	if len(name) > 5 && name[:5] == "held:" {
		return float64(own.Held[name[5:]]), true
	}
	values := map[string]float64{
		"cost": own.Cost, "quality": own.Quality, "share": own.Share, "lowest": own.Lowest,
		"p50": float64(own.P50), "p95": float64(own.P95), "p99": float64(own.P99),
		"bad": float64(own.Bad), "failed": float64(own.Failed), "refused": float64(own.Refused),
		"best": ratio(own.Cost, best.Cost), "fixed": ratio(own.Cost, fixed.Cost), "dear": ratio(own.Cost, dear.Cost),
	}
	v, ok := values[name]
	return v, ok
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// option is what one more good answer costs in hindsight.
type option struct {
	entry entry
	extra float64
}

// Hindsight returns the least cost at which the share of good answers of each
// team and class reaches the alias's target, chosen with all recorded outcomes
// known and sessions set aside, among the versions in service at the time. No
// policy that keeps the target can do better.
func Hindsight(c *samphireturn.Config, t *reader.Trace) *Result {
	p := &Player{Config: c, Trace: t}
	p.setUp()
	s := p.snapshot(&daemon{})
	groups := make(map[string][]option)
	targets := make(map[string]float64)
	var order []string
	var sum account
	for i := range t.Lines {
		if t.Lines[i].State != nil {
			p.change(t.Lines[i].State)
		}
		r := t.Lines[i].Request
		if r == nil {
			continue
		}
		a := alias(s, r.Model)
		if a == nil {
			sum.skipped++
			continue
		}
		key := r.Team + "/" + r.Class + "/" + r.Model
		if _, ok := targets[key]; !ok {
			order = append(order, key)
		}
		targets[key] = a.TargetShare
		groups[key] = append(groups[key], bestOf(p.runs(r), r, a)...)
	}
	for _, key := range order {
		sum.entries = append(sum.entries, choose(groups[key], targets[key])...)
	}
	best := sum.result(nil)
	best.Policy = "hindsight"
	return best
}

// runs returns the runs of a request that gave an answer on versions in service.
func (p *Player) runs(r *reader.Request) []*reader.Run {
	var out []*reader.Run
	for _, m := range p.config.Models {
		for _, v := range m.Versions {
			run := r.Run(samphireturn.VersionRef{Model: m.Name, Version: v.Name})
			if v.State != samphireturn.VersionWithdrawn && run != nil && run.Error == "" {
				out = append(out, run)
			}
		}
	}
	return out
}

// bestOf returns the cheapest run of a request and, if that is not good, the
// cheapest good one with what it costs more.
func bestOf(runs []*reader.Run, r *reader.Request, a *samphireturn.Alias) []option {
	var least, good *reader.Run
	for _, run := range runs {
		if least == nil || run.Cost < least.Cost {
			least = run
		}
		if run.Rating >= a.MinQuality && (good == nil || run.Cost < good.Cost) {
			good = run
		}
	}
	if least == nil {
		return []option{{entry: entry{team: r.Team, class: r.Class, failed: true}}}
	}
	e := func(run *reader.Run) entry {
		return entry{team: r.Team, class: r.Class, cost: run.Cost, rating: run.Rating, good: run.Rating >= a.MinQuality, first: time.Duration(run.First) * time.Millisecond}
	}
	if good == nil {
		return []option{{entry: e(least)}}
	}
	// The extra cost of a good answer is what it costs above the least.
	return []option{{entry: e(least)}, {entry: e(good), extra: good.Cost - least.Cost}}
}

// choose takes good answers in rising order of their extra cost until the
// share reaches the target.
func choose(options []option, target float64) []entry {
	type pair struct{ least, good option }
	var out []entry
	var open []pair
	for i := 0; i < len(options); i++ {
		least := options[i]
		if i+1 < len(options) && options[i+1].entry.good {
			open = append(open, pair{least, options[i+1]})
			i++
			continue
		}
		out = append(out, least.entry)
	}
	n := len(out) + len(open)
	slices.SortFunc(open, func(a, b pair) int {
		switch {
		case a.good.extra < b.good.extra:
			return -1
		case a.good.extra > b.good.extra:
			return 1
		}
		return 0
	})
	good := 0
	for _, p := range open {
		if float64(good) < target*float64(n) {
			out = append(out, p.good.entry)
			good++
			continue
		}
		out = append(out, p.least.entry)
	}
	return out
}
