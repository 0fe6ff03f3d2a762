package cascader

import (
	"math"
	"strings"
	"time"

	"samphireturn"
)

const (
	// maxSurplus bounds the surplus, so that a long run of good answers does not
	// offset a long run of bad ones.
	maxSurplus = 20
	// targetSurplus is the surplus that the price is steered to.
	targetSurplus = 0.5
	// priceGain is the change of the logarithm of the price for each answer
	// between the surplus and targetSurplus, and maxPriceMove bounds one change.
	priceGain    = 0.02
	maxPriceMove = 0.3
	// minAcceptable is the part of MinQuality below which an answer is never
	// released while another step is left.
	minAcceptable = 0.6
)

// surplusKey identifies a surplusController.
type surplusKey struct{ team, class, alias string }

// surplusController tracks the answers above an alias's target and sets the price
// up to which one more good answer is bought.
type surplusController struct {
	// surplus is the number of good answers above the target, negative below it.
	surplus float64
	// price is the cost, in currency units, above which one more good answer is
	// not worth its run while there is a surplus.
	price float64
}

// AcceptBelowQuality reports whether an answer rated below the alias's MinQuality is
// released nevertheless, because the team's answers of this class are above their
// target and the next step costs too much for its expected gain. Step is the index
// of the answer's step in the plan.
func (c *Cascader) AcceptBelowQuality(r *samphireturn.Request, alias *samphireturn.Alias, p Plan, step int, rating float64) bool {
	if step+1 >= len(p.Steps) || rating < minAcceptable*alias.MinQuality {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := p.Steps[step+1]
	k := key{team: r.Team, class: r.Class, version: next.Version, minQuality: alias.MinQuality, afterFailure: true}
	e := c.lookup(k)
	cost := next.Quote(r)
	if e.quotedCost > 0 {
		cost *= e.cost / e.quotedCost
	}
	costPerGoodAnswer := cost / max(c.passRateOf(e, lastStepPassRate, c.now()).mean, 0.01)
	s := c.controller(surplusKey{r.Team, r.Class, alias.Name})
	return s.exceedsPrice(costPerGoodAnswer) && s.surplus >= 0
}

// downgrade replaces a plan of one step by the first and cheapest step, also
// released without a rating, while the team's answers of this class are above their
// target and the step saves much compared with the good answers that it loses.
func (c *Cascader) downgrade(p Plan, r *samphireturn.Request, alias *samphireturn.Alias, estimates []stepEstimate) Plan {
	if len(p.Steps) != 1 || len(estimates) < 2 || p.Steps[0] == estimates[0].step {
		return p
	}
	first := estimates[0]
	lost := p.ExpectedPassRate - first.initial.lowerBound
	if lost <= 0 {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.controller(surplusKey{r.Team, r.Class, alias.Name})
	if s.exceedsPrice((p.ExpectedCost-first.cost)/lost) && s.surplus > 0 {
		return Plan{Steps: []Step{first.step}, RateAfterRelease: true, ExpectedCost: first.cost, ExpectedPassRate: first.initial.mean}
	}
	return p
}

// exceedsPrice adjusts the price to the surplus and reports whether cost, that of
// one more good answer, is above the price.
func (s *surplusController) exceedsPrice(cost float64) bool {
	if s.price == 0 {
		s.price = cost
	}
	move := priceGain * (targetSurplus - s.surplus)
	s.price *= math.Exp(min(max(move, -maxPriceMove), maxPriceMove))
	return cost > s.price
}

// recordSurplus adds a released answer to the surplus. An answer without a rating
// counts by the lower bound of its pass rate.
func (c *Cascader) recordSurplus(o Outcome, e *estimate, now time.Time) {
	if !o.Returned || o.Alias == nil {
		return
	}
	good := c.passRateOf(*e, priorPassRate(o), now).lowerBound
	if o.Rated {
		good = 0
		if o.Rating >= o.MinQuality {
			good = 1
		}
	}
	s := c.controller(surplusKey{o.Team, o.Class, o.Alias.Name})
	s.surplus = min(s.surplus+good-o.Alias.TargetShare, maxSurplus)
}

// priorPassRate returns the pass rate assumed of a step before any rating.
func priorPassRate(o Outcome) float64 {
	if n := len(o.Alias.Steps); n > 0 {
		if model, _, _ := strings.Cut(o.Alias.Steps[n-1], "@"); model == o.Version.Model {
			return lastStepPassRate
		}
	}
	return defaultPassRate
}

// controller returns the controller of k, creating it if it is missing. It drops
// all controllers when the bound is reached.
func (c *Cascader) controller(k surplusKey) *surplusController {
	s := c.controllers[k]
	if s != nil {
		return s
	}
	limit := c.MaxEstimates
	if limit <= 0 {
		limit = defaultMaxEstimates
	}
	if c.controllers == nil || len(c.controllers) >= limit {
		c.controllers = make(map[surplusKey]*surplusController)
	}
	s = &surplusController{}
	c.controllers[k] = s
	return s
}
