package player

import (
	"samphireturn"
	"samphireturn/internal/replay/reader"
)

// plans are the fixed plans of a team and class: the first step alone, the last
// alone, and the first judged before the last.
const plans = 3

// Fixed returns, for each team and class, the cheapest of the fixed plans that
// reaches the alias's target over the whole trace, or the one that comes
// nearest. Unlike Hindsight it pays for judged runs that fail. Sessions and the
// delay of judging are set aside.
func Fixed(c *samphireturn.Config, t *reader.Trace) *Result {
	p := &Player{Config: c, Trace: t}
	p.setUp()
	s := p.snapshot(&daemon{})
	type choices struct {
		entries [plans][]entry
		target  float64
	}
	groups := make(map[string]*choices)
	var order []string
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
			continue
		}
		key := r.Team + "/" + r.Class + "/" + r.Model
		if groups[key] == nil {
			groups[key] = &choices{target: a.TargetShare}
			order = append(order, key)
		}
		session := samphireturn.Session{ID: r.Session, Team: r.Team}
		tu := &turn{Player: p, daemon: p.order[0], record: r, alias: a, request: samphireturn.Request{ID: r.ID, Team: r.Team, Session: &session}}
		steps := tu.steps(s, a.Steps)
		if len(steps) == 0 {
			continue
		}
		first, last := r.Run(steps[0].Version), r.Run(steps[len(steps)-1].Version)
		for k, e := range planned(r, a, first, last) {
			groups[key].entries[k] = append(groups[key].entries[k], e)
		}
	}
	var sum account
	for _, key := range order {
		sum.entries = append(sum.entries, cheapest(groups[key].entries, groups[key].target)...)
	}
	r := sum.result(nil)
	r.Policy = "fixed"
	return r
}

// planned returns what each plan makes of a request.
func planned(r *reader.Request, a *samphireturn.Alias, first, last *reader.Run) [plans]entry {
	one := func(run *reader.Run) entry {
		good := run.Error == "" && run.Rating >= a.MinQuality
		return entry{team: r.Team, class: r.Class, cost: run.Cost, rating: run.Rating, good: good, failed: run.Error != "", first: ms(run.First)}
	}
	cheap, dear := one(first), one(last)
	judged := cheap
	judged.first = ms(first.Whole + max(first.Late, 0))
	if !cheap.good {
		judged = dear
		judged.cost += cheap.cost
		judged.first += ms(first.Whole + max(first.Late, 0))
	}
	return [plans]entry{cheap, dear, judged}
}

// cheapest returns the cheapest plan that reaches the target, or the one with
// the most good answers.
func cheapest(entries [plans][]entry, target float64) []entry {
	var best []entry
	bestCost, bestGood, found := 0.0, -1, false
	for _, list := range entries {
		cost, good := 0.0, 0
		for _, e := range list {
			cost += e.cost
			if e.good {
				good++
			}
		}
		meets := float64(good) >= target*float64(len(list))
		if meets && (!found || cost < bestCost) || !found && good > bestGood {
			best, bestCost, bestGood, found = list, cost, good, meets
		}
	}
	return best
}
