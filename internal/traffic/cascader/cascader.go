// Package cascader plans which steps of an alias run a request: cheap models
// first, whose answers are rated before release, or an expensive model at once.
// It learns from ratings and does no I/O.
package cascader

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"samphireturn"
)

const (
	// maxSteps bounds the steps of an alias that are considered. In a longer
	// alias these are the first maxSteps-1 and the last.
	maxSteps = 6
	// defaultHalfLife is the time in which the weight of a rating halves.
	defaultHalfLife = 30 * time.Minute
	// defaultStaleAfter is the age from which an estimate is stale and may be
	// explored.
	defaultStaleAfter = 5 * time.Minute
	// defaultMaxEstimates bounds the number of estimates kept.
	defaultMaxEstimates = 4096
	// defaultPassRate and lastStepPassRate are the pass rates assumed before any
	// rating, the latter for the last step of an alias. priorWeight is the
	// number of ratings that they count for.
	defaultPassRate  = 0.5
	lastStepPassRate = 0.95
	priorWeight      = 4
	// boundDeviations is the number of standard deviations by which a pass rate
	// is lowered before it is compared with the target.
	boundDeviations = 0.25
	// tokensPerPrice is the number of tokens that a price is for.
	tokensPerPrice = 1e6
)

// Step is one step of an alias with the version chosen for the request.
type Step struct {
	Version samphireturn.VersionRef
	// InputPrice and OutputPrice are prices per million tokens.
	InputPrice, OutputPrice float64
}

// Outcome is the result of one step of a request.
type Outcome struct {
	Team, Class string
	Version     samphireturn.VersionRef
	// MinQuality is the alias's MinQuality, from 0 to 1. A rating of at least
	// MinQuality passes.
	MinQuality float64
	// AfterFailure is true if an earlier step of the request failed.
	AfterFailure bool
	// Pinned is true if only this step could run, such as when the session is
	// pinned to its model. Such answers have estimates of their own.
	Pinned bool
	// Rating is the answer's rating, from 0 to 1. It is used only if Rated is true.
	Rating float64
	Rated  bool
	// Cost is in the currency unit of the prices.
	Cost float64
	// QuotedCost is the result of Step.Quote before the run; zero if unknown.
	QuotedCost float64
	// EstimatedOutput is the number of output tokens estimated before the run; zero if
	// unknown.
	EstimatedOutput int
	// Delay is the time that the answer and its rating took.
	Delay time.Duration
	// Alias is the alias that the caller requested. Returned is true if the
	// caller received this answer, so that it counts towards the alias's target.
	Alias    *samphireturn.Alias
	Returned bool
}

// Quote returns the estimated cost of a request on the step, from its prompt and
// estimated output tokens, in the currency unit of the prices.
func (s Step) Quote(r *samphireturn.Request) float64 {
	return (float64(r.PromptTokens)*s.InputPrice + float64(r.OutputTokens)*s.OutputPrice) / tokensPerPrice
}

// Plan lists the steps to run, in order. The answer of every step but the last is
// rated before release; the answer of the last is released without a rating.
type Plan struct {
	Steps []Step
	// RateAfterRelease is true if the answer of the last step is to be rated after its
	// release, because its estimate is stale or rests on few ratings.
	RateAfterRelease bool
	// ExpectedCost is in the currency unit of the prices. ExpectedPassRate is
	// the expected share of answers whose rating is at least the alias's
	// MinQuality.
	ExpectedCost, ExpectedPassRate float64
}

// Cascader plans requests and learns from their outcomes. Set the exported fields
// before use; the zero value works. It is safe for concurrent use if Rand is.
type Cascader struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
	// Rand returns a uniform number from 0 to 1; nil means math/rand/v2.
	Rand func() float64
	// HalfLife is the time in which the weight of a rating halves; zero means
	// 30 minutes.
	HalfLife time.Duration
	// StaleAfter is the age from which an estimate is stale and may be explored;
	// zero means 5 minutes.
	StaleAfter time.Duration
	// MaxEstimates bounds the number of estimates kept; zero means 4096.
	MaxEstimates int

	mu sync.Mutex
	// lateRatings is the number of consecutive ratings before release that failed
	// or came late, and lastLateAt when the last of them was recorded.
	lateRatings int
	lastLateAt  time.Time

	controllers map[surplusKey]*surplusController
	estimates   map[key]*list.Element
	// lru lists the estimates, the most recently updated first.
	lru list.List
}

// stepEstimate holds the estimates of one step for one request: its pass rate as
// the first step of a plan and after a failed step, its cost and its delay.
type stepEstimate struct {
	step         Step
	initial      passRate
	afterFailure passRate
	// cost is in currency units, delay in seconds.
	cost, delay float64
	stale       bool
}

// passRate is an expected pass rate and its lower confidence bound.
type passRate struct{ mean, lowerBound float64 }

// Plan returns the cheapest plan whose pass rate, at its lower bound, meets the
// alias's target and whose rating delay is within the alias's bound. If no plan
// meets the target, it returns the one with the highest expected pass rate. If
// canRate is false, as when ratings do not come in time, the plan has a single
// step, chosen by the latest estimates. Explore is the share of requests, from 0
// to 1, that try a step whose estimate is stale.
func (c *Cascader) Plan(r *samphireturn.Request, alias *samphireturn.Alias, steps []Step, canRate bool, explore float64) Plan {
	if len(steps) > maxSteps {
		steps = append(steps[:maxSteps-1:maxSteps-1], steps[len(steps)-1])
	}
	estimates := c.estimateSteps(r, alias, steps)
	best, bestMeets := Plan{}, false
	for subset := 1; subset < 1<<len(estimates); subset++ {
		if !canRate && subset&(subset-1) != 0 {
			continue
		}
		p, delay, lowerBound := evaluate(estimates, subset)
		if len(p.Steps) > 1 && alias.MaxDelayMs > 0 && delay > time.Duration(alias.MaxDelayMs)*time.Millisecond {
			continue
		}
		meets := lowerBound >= alias.TargetShare
		switch {
		case len(best.Steps) == 0, meets && !bestMeets:
			best, bestMeets = p, meets
		case meets == bestMeets && isBetter(p, best, meets):
			best = p
		}
	}
	best = c.downgrade(best, r, alias, estimates)
	if explore > 0 && c.rand() < explore {
		c.addExploration(&best, estimates, alias, canRate)
	}
	if n := len(best.Steps); n > 0 && !best.RateAfterRelease {
		last := best.Steps[n-1]
		best.RateAfterRelease = c.needsRatings(key{team: r.Team, class: r.Class, version: last.Version, minQuality: alias.MinQuality, afterFailure: n > 1})
	}
	return best
}

// isBetter reports whether p is preferred to q: by cost among plans that meet the
// target, by pass rate and then by cost among the others.
func isBetter(p, q Plan, meets bool) bool {
	if meets || p.ExpectedPassRate == q.ExpectedPassRate {
		return p.ExpectedCost < q.ExpectedCost
	}
	return p.ExpectedPassRate > q.ExpectedPassRate
}

// addExploration requests a rating of the released answer. If ratings are
// available, it also prepends the first stale step that precedes the plan's first
// step and whose delay is within the alias's MaxDelayMs.
func (c *Cascader) addExploration(p *Plan, estimates []stepEstimate, alias *samphireturn.Alias, canRate bool) {
	p.RateAfterRelease = true
	if !canRate || len(p.Steps) == 0 {
		return
	}
	for i := range estimates {
		v := &estimates[i]
		if v.step == p.Steps[0] {
			return
		}
		tooLong := alias.MaxDelayMs > 0 && v.delay*1000 > float64(alias.MaxDelayMs)
		if v.stale && !tooLong {
			p.Steps = append([]Step{v.step}, p.Steps...)
			p.ExpectedCost += v.cost
			return
		}
	}
}

// evaluate returns the plan that runs the steps in the bit set subset, the longest
// delay that rating before release adds, and the lower bound of its pass rate.
// The pass rate of a plan is at least that of each of its steps alone.
func evaluate(estimates []stepEstimate, subset int) (Plan, time.Duration, float64) {
	p := Plan{}
	missRate, missRateBound, delay, ratedDelay := 1.0, 1.0, 0.0, 0.0
	bestAlone := passRate{}
	for i := range estimates {
		if subset&(1<<i) == 0 {
			continue
		}
		v := &estimates[i]
		r := v.initial
		if len(p.Steps) > 0 {
			r = v.afterFailure
		}
		p.Steps = append(p.Steps, v.step)
		p.ExpectedCost += missRate * v.cost
		missRate *= 1 - r.mean
		missRateBound *= 1 - r.lowerBound
		bestAlone = passRate{mean: max(bestAlone.mean, v.initial.mean), lowerBound: max(bestAlone.lowerBound, v.initial.lowerBound)}
		ratedDelay = delay
		delay += v.delay
	}
	p.ExpectedPassRate = max(1-missRate, bestAlone.mean)
	return p, time.Duration(ratedDelay * float64(time.Second)), max(1-missRateBound, bestAlone.lowerBound)
}

// estimateSteps returns the estimates of each step. Recorded costs are used only
// if every step has one, since they are not comparable with costs estimated from
// token counts.
func (c *Cascader) estimateSteps(r *samphireturn.Request, alias *samphireturn.Alias, steps []Step) []stepEstimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	estimates := make([]stepEstimate, len(steps))
	costs := make([]float64, len(steps))
	haveCosts := true
	for i, s := range steps {
		prior := defaultPassRate
		if i == len(steps)-1 {
			prior = lastStepPassRate
		}
		k := key{team: r.Team, class: r.Class, version: s.Version, minQuality: alias.MinQuality}
		first := c.lookup(k)
		k.afterFailure = true
		after := c.lookup(k)
		runs := first.runs + after.runs
		estimates[i] = stepEstimate{
			step:         s,
			initial:      c.passRateOf(first, prior, now),
			afterFailure: c.passRateOf(after, prior, now),
			cost:         s.Quote(r),
			stale:        now.Sub(first.ratedAt) >= c.staleAfter(),
		}
		if runs == 0 {
			haveCosts = false
			continue
		}
		costs[i] = (first.cost + after.cost) / runs
		if quoted := first.quotedCost + after.quotedCost; quoted > 0 {
			costs[i] = estimates[i].cost * (first.cost + after.cost) / quoted
		}
		estimates[i].delay = (first.delay + after.delay) / runs
		if output := first.outputTokens + after.outputTokens; output > 0 {
			estimates[i].delay = (first.delay + after.delay) * float64(r.OutputTokens) / output
		}
	}
	for i := range estimates {
		if haveCosts {
			estimates[i].cost = costs[i]
		}
	}
	return estimates
}

func (c *Cascader) rand() float64 {
	if c.Rand == nil {
		return rand.Float64()
	}
	return c.Rand()
}
