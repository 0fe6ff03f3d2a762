package player

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/replay/reader"
)

// KindUnknownMeasure means that a trace states an outcome with an unknown measure.
const KindUnknownMeasure Kind = 0

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of Compare.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Outcome is an outcome that the trace states, with the value measured under the
	// configured policy.
	Outcome struct {
		reader.Expectation
		Value float64 `json:"value"`
		// Met is true if Value lies within the stated bounds.
		Met bool `json:"kept"`
	}

	// Report compares the policies on one trace.
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

// Compare replays the trace under every policy and checks the results of the
// configured one against the outcomes that the trace states. The random policy's
// LastStepProbability is set so that its expected cost equals the cost of the
// configured policy. Errors are of type *Error.
func Compare(c *samphireturn.Config, t *reader.Trace, seed uint64) (*Report, error) {
	play := func(name string, policy Policy, lastStepProbability float64) *Result {
		p := &Player{Config: c, Trace: t, Policy: policy, LastStepProbability: lastStepProbability, Seed: seed}
		r := p.Play()
		r.Policy = name
		return r
	}
	configured := play("configured", PolicyConfigured, 0)
	firstStep := play("cheap", PolicyFirstStep, 0)
	lastStep := play("dear", PolicyLastStep, 0)
	lastStepProbability := 0.0
	if lastStep.Cost > firstStep.Cost {
		lastStepProbability = min(max((configured.Cost-firstStep.Cost)/(lastStep.Cost-firstStep.Cost), 0), 1)
	}
	hindsight, fixed := Hindsight(c, t), CheapestFixedPlan(c, t)
	r := &Report{Trace: t.Header.Name, Results: []*Result{configured, firstStep, lastStep, play("random", PolicyRandom, lastStepProbability), fixed, hindsight}}
	for _, e := range t.Expectations {
		v, ok := measureValue(e.Measure, configured, lastStep, fixed, hindsight)
		if !ok {
			return nil, &Error{Op: "compare", Kind: KindUnknownMeasure, Err: errors.Errorf("outcome %q has the unknown measure %q", e.Name, e.Measure)}
		}
		met := (e.Min == nil || v >= *e.Min) && (e.Max == nil || v <= *e.Max)
		r.Outcomes = append(r.Outcomes, Outcome{Expectation: e, Value: v, Met: met})
	}
	return r, nil
}

// measureValue returns the value of a measure of the configured policy. The measures
// best, fixed and dear are its cost divided by that of another policy.
func measureValue(name string, configured, lastStep, fixed, hindsight *Result) (float64, bool) {
	if len(name) > 5 && name[:5] == "held:" {
		return float64(configured.HoldingDaemons[name[5:]]), true
	}
	values := map[string]float64{
		"cost": configured.Cost, "quality": configured.MeanRating, "share": configured.QualityShare, "lowest": configured.MinGroupShare,
		"p50": float64(configured.P50), "p95": float64(configured.P95), "p99": float64(configured.P99),
		"bad": float64(configured.BadVersionRequests), "failed": float64(configured.Failed), "refused": float64(configured.Refused),
		"best": ratio(configured.Cost, hindsight.Cost), "fixed": ratio(configured.Cost, fixed.Cost), "dear": ratio(configured.Cost, lastStep.Cost),
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

// candidate is a possible result of a request in hindsight. extraCost is its cost
// above that of the request's cheapest run.
type candidate struct {
	result    requestResult
	extraCost float64
}

// Hindsight returns the results with the lowest cost at which the share of answers
// that reach MinQuality meets the alias's target in each team, class and alias. It
// knows all recorded results, ignores sessions and considers the versions not
// withdrawn at the time of each request. No policy that meets the target can cost
// less.
func Hindsight(c *samphireturn.Config, t *reader.Trace) *Result {
	p := &Player{Config: c, Trace: t}
	p.setUp()
	s := p.snapshot(&daemon{})
	candidates := make(map[string][]candidate)
	targets := make(map[string]float64)
	var keys []string
	var stats requestStats
	for i := range t.Lines {
		if t.Lines[i].State != nil {
			p.applyState(t.Lines[i].State)
		}
		r := t.Lines[i].Request
		if r == nil {
			continue
		}
		a := findAlias(s, r.Model)
		if a == nil {
			stats.skipped++
			continue
		}
		key := r.Team + "/" + r.Class + "/" + r.Model
		if _, ok := targets[key]; !ok {
			keys = append(keys, key)
		}
		targets[key] = a.TargetShare
		candidates[key] = append(candidates[key], hindsightCandidates(p.availableRuns(r), r, a)...)
	}
	for _, key := range keys {
		stats.results = append(stats.results, selectCandidates(candidates[key], targets[key])...)
	}
	result := stats.summarize(nil)
	result.Policy = "hindsight"
	return result
}

// availableRuns returns the successful runs of a request on versions that are not
// withdrawn.
func (p *Player) availableRuns(r *reader.Request) []*reader.Run {
	var out []*reader.Run
	for _, m := range p.currentConfig.Models {
		for _, v := range m.Versions {
			run := r.FindRun(samphireturn.VersionRef{Model: m.Name, Version: v.Name})
			if v.State != samphireturn.VersionWithdrawn && run != nil && run.Error == "" {
				out = append(out, run)
			}
		}
	}
	return out
}

// hindsightCandidates returns the cheapest run of a request and, if any run reaches
// MinQuality, also the cheapest of those with its extra cost.
func hindsightCandidates(runs []*reader.Run, r *reader.Request, a *samphireturn.Alias) []candidate {
	var cheapest, cheapestGood *reader.Run
	for _, run := range runs {
		if cheapest == nil || run.Cost < cheapest.Cost {
			cheapest = run
		}
		if run.Rating >= a.MinQuality && (cheapestGood == nil || run.Cost < cheapestGood.Cost) {
			cheapestGood = run
		}
	}
	if cheapest == nil {
		return []candidate{{result: requestResult{team: r.Team, class: r.Class, failed: true}}}
	}
	result := func(run *reader.Run) requestResult {
		return requestResult{team: r.Team, class: r.Class, cost: run.Cost, rating: run.Rating, meetsQuality: run.Rating >= a.MinQuality, firstToken: time.Duration(run.FirstTokenMs) * time.Millisecond}
	}
	if cheapestGood == nil {
		return []candidate{{result: result(cheapest)}}
	}
	return []candidate{{result: result(cheapest)}, {result: result(cheapestGood), extraCost: cheapestGood.Cost - cheapest.Cost}}
}

// selectCandidates picks the better candidates in ascending order of their extra
// cost until their share reaches the target, and the cheapest ones for the other
// requests.
func selectCandidates(candidates []candidate, target float64) []requestResult {
	type pair struct{ cheapest, good candidate }
	var results []requestResult
	var pairs []pair
	for i := 0; i < len(candidates); i++ {
		cheapest := candidates[i]
		if i+1 < len(candidates) && candidates[i+1].result.meetsQuality {
			pairs = append(pairs, pair{cheapest, candidates[i+1]})
			i++
			continue
		}
		results = append(results, cheapest.result)
	}
	n := len(results) + len(pairs)
	slices.SortFunc(pairs, func(a, b pair) int {
		switch {
		case a.good.extraCost < b.good.extraCost:
			return -1
		case a.good.extraCost > b.good.extraCost:
			return 1
		}
		return 0
	})
	good := 0
	for _, p := range pairs {
		if float64(good) < target*float64(n) {
			results = append(results, p.good.result)
			good++
			continue
		}
		results = append(results, p.cheapest.result)
	}
	return results
}
