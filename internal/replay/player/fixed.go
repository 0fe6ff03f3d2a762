package player

import (
	"samphireturn"
	"samphireturn/internal/replay/reader"
)

// planCount is the number of fixed plans that are compared: the first step alone,
// the last step alone, and the first rated before release with the last as its
// fallback.
const planCount = 3

// CheapestFixedPlan returns the results of the best fixed plan of each team, class
// and alias: the cheapest that reaches the alias's target over the whole trace, or
// else the one with the most answers that reach MinQuality. Unlike Hindsight it also
// pays for first-step answers that fail or are rated too low. It ignores sessions
// and takes every rating as available in time, even those that never arrived.
func CheapestFixedPlan(c *samphireturn.Config, t *reader.Trace) *Result {
	p := &Player{Config: c, Trace: t}
	p.setUp()
	s := p.snapshot(&daemon{})
	type planResults struct {
		results [planCount][]requestResult
		target  float64
	}
	groups := make(map[string]*planResults)
	var keys []string
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
			continue
		}
		key := r.Team + "/" + r.Class + "/" + r.Model
		if groups[key] == nil {
			groups[key] = &planResults{target: a.TargetShare}
			keys = append(keys, key)
		}
		session := samphireturn.Session{ID: r.Session, Team: r.Team}
		rr := &requestReplay{Player: p, daemon: p.daemons[0], recorded: r, alias: a, request: samphireturn.Request{ID: r.ID, Team: r.Team, Session: &session}}
		steps := rr.availableSteps(s, a.Steps)
		if len(steps) == 0 {
			continue
		}
		first, last := r.FindRun(steps[0].Version), r.FindRun(steps[len(steps)-1].Version)
		for k, e := range fixedPlanResults(r, a, first, last) {
			groups[key].results[k] = append(groups[key].results[k], e)
		}
	}
	var stats requestStats
	for _, key := range keys {
		stats.results = append(stats.results, cheapestPlan(groups[key].results, groups[key].target)...)
	}
	result := stats.summarize(nil)
	result.Policy = "fixed"
	return result
}

// fixedPlanResults returns the result of a request under each fixed plan.
func fixedPlanResults(r *reader.Request, a *samphireturn.Alias, first, last *reader.Run) [planCount]requestResult {
	resultOf := func(run *reader.Run) requestResult {
		good := run.Error == "" && run.Rating >= a.MinQuality
		return requestResult{team: r.Team, class: r.Class, cost: run.Cost, rating: run.Rating, meetsQuality: good, failed: run.Error != "", firstToken: ms(run.FirstTokenMs)}
	}
	firstResult, lastResult := resultOf(first), resultOf(last)
	rated := firstResult
	rated.firstToken = ms(first.LastTokenMs + max(first.RatingDelayMs, 0))
	if !firstResult.meetsQuality {
		rated = lastResult
		rated.cost += firstResult.cost
		rated.firstToken += ms(first.LastTokenMs + max(first.RatingDelayMs, 0))
	}
	return [planCount]requestResult{firstResult, lastResult, rated}
}

// cheapestPlan returns the results of the cheapest plan that reaches the target, or
// else of the one with the most answers that reach MinQuality.
func cheapestPlan(results [planCount][]requestResult, target float64) []requestResult {
	var best []requestResult
	bestCost, bestGood, targetMet := 0.0, -1, false
	for _, list := range results {
		cost, good := 0.0, 0
		for _, e := range list {
			cost += e.cost
			if e.meetsQuality {
				good++
			}
		}
		meetsTarget := float64(good) >= target*float64(len(list))
		if meetsTarget && (!targetMet || cost < bestCost) || !targetMet && good > bestGood {
			best, bestCost, bestGood, targetMet = list, cost, good, meetsTarget
		}
	}
	return best
}
