package cascader

import (
	"math"
	"strings"
	"time"

	"samphireturn"
)

const (
	// maxSurplus bounds the good answers above the target that are remembered,
	// so that a long good time does not pay for a long bad one.
	maxSurplus = 20
	// keptSurplus is the surplus that the price is steered to.
	keptSurplus = 0.5
	// priceStep is how far the logarithm of the price moves for one answer of
	// surplus, and maxMove the farthest that it moves at once.
	priceStep = 0.02
	maxMove   = 0.3
	// worthless is the part of the bar below which an answer is never released
	// while another step is left.
	worthless = 0.6
)

// account names what a surplus is kept for.
type account struct{ team, class, alias string }

// pace accounts for an alias's target.
type pace struct {
	// surplus is the number of good answers above the target.
	surplus float64
	// price is the cost above which one more good answer is not worth its run
	// while there is a surplus, in currency units.
	price float64
}

// AcceptBelowQuality reports whether an answer rated below the alias's MinQuality is
// released nevertheless, because the team's answers of this class are above their
// target and the next step costs too much for its expected gain. At is the step's
// index in the plan.
func (c *Cascader) AcceptBelowQuality(r *samphireturn.Request, alias *samphireturn.Alias, p Plan, at int, rating float64) bool {
	if at+1 >= len(p.Steps) || rating < worthless*alias.MinQuality {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := p.Steps[at+1]
	k := key{team: r.Team, class: r.Class, version: next.Version, quality: alias.MinQuality, after: true}
	e := c.lookup(k)
	cost := next.Quote(r)
	if e.quoted > 0 {
		cost *= e.cost / e.quoted
	}
	gain := cost / max(c.rate(e, dearRate, c.now()).mean, 0.01)
	t := c.pace(account{r.Team, r.Class, alias.Name})
	return t.exceeds(gain) && t.surplus >= 0
}

// cheapen replaces a plan of one step that is not judged by the cheapest step,
// not judged either, while the team's answers of this class are above their
// target and the step saves much for what it loses.
func (c *Cascader) cheapen(p Plan, r *samphireturn.Request, alias *samphireturn.Alias, views []view) Plan {
	if len(p.Steps) != 1 || len(views) < 2 || p.Steps[0] == views[0].step {
		return p
	}
	first := views[0]
	lost := p.Reach - first.first.low
	if lost <= 0 {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pace(account{r.Team, r.Class, alias.Name})
	if t.exceeds((p.Cost-first.cost)/lost) && t.surplus > 0 {
		return Plan{Steps: []Step{first.step}, RateAfterRelease: true, Cost: first.cost, Reach: first.first.mean}
	}
	return p
}

// exceeds steers the price and reports whether a good answer at the given cost
// is above it.
func (t *pace) exceeds(cost float64) bool {
	if t.price == 0 {
		t.price = cost
	}
	move := priceStep * (keptSurplus - t.surplus)
	t.price *= math.Exp(min(max(move, -maxMove), maxMove))
	return cost > t.price
}

// book accounts for a released answer. One that was not rated counts by its
// estimate.
func (c *Cascader) book(o Outcome, e *estimate, now time.Time) {
	if !o.Final || o.Alias == nil {
		return
	}
	good := c.rate(*e, prior(o), now).low
	if o.Rated {
		good = 0
		if o.Rating >= o.MinQuality {
			good = 1
		}
	}
	t := c.pace(account{o.Team, o.Class, o.Alias.Name})
	t.surplus = min(t.surplus+good-o.Alias.TargetShare, maxSurplus)
}

// prior returns the pass rate assumed of a step before any rating.
func prior(o Outcome) float64 {
	if n := len(o.Alias.Steps); n > 0 {
		if model, _, _ := strings.Cut(o.Alias.Steps[n-1], "@"); model == o.Version.Model {
			return dearRate
		}
	}
	return cheapRate
}

// pace returns the pace of an account, made if there is none.
func (c *Cascader) pace(a account) *pace {
	t := c.paces[a]
	if t != nil {
		return t
	}
	limit := c.Max
	if limit <= 0 {
		limit = defaultMax
	}
	if c.paces == nil || len(c.paces) >= limit {
		c.paces = make(map[account]*pace)
	}
	t = &pace{}
	c.paces[a] = t
	return t
}
