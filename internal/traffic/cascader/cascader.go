// Package cascader decides which steps of a cascade a request runs: a cheap
// model first, judged before release, or the dear one at once. It learns from
// ratings and does no I/O.
package cascader

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"samphireturn"
)

const (
	// maxSteps bounds the steps of an alias that count; later ones are ignored
	// apart from the last.
	maxSteps = 6
	// defaultHalfLife is the time in which the weight of a rating halves.
	defaultHalfLife = 30 * time.Minute
	// defaultStale is the age from which an estimate is worth exploring.
	defaultStale = 5 * time.Minute
	// defaultMax bounds the estimates that are kept.
	defaultMax = 4096
	// cheapRate and dearRate are the assumed pass rates before any rating, and
	// priorWeight is the number of ratings that they count for.
	cheapRate   = 0.5
	dearRate    = 0.95
	priorWeight = 4
	// caution is the number of standard deviations by which a pass rate is
	// lowered before it is held against the target.
	caution = 0.25
	// million is the number of tokens that a price is for.
	million = 1e6
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
	// MinQuality is the alias's MinQuality, from 0 to 1, which the rating is compared
	// with.
	MinQuality float64
	// AfterFailure is true if an earlier step of the request had failed.
	AfterFailure bool
	// Pinned is true if no other step could run, such as when the session is pinned to
	// this model. Such answers are estimated separately.
	Pinned bool
	// Rating is the answer's rating, from 0 to 1. It counts only if Rated.
	Rating float64
	Rated  bool
	// Cost is in the currency unit of the prices.
	Cost float64
	// QuotedCost is the cost that Step.Quote gave before the run; zero if unknown.
	QuotedCost float64
	// EstimatedOutput is the number of output tokens estimated before the run; zero if
	// unknown.
	EstimatedOutput int
	// Delay is the time that the answer and its judgement took.
	Delay time.Duration
	// Alias is what the caller asked for. Final says that the caller got this
	// answer, so that it counts for the alias's target.
	Alias *samphireturn.Alias
	Final bool
}

// Quote returns the cost of a request on the step by its estimated tokens, in
// the currency unit of the prices.
func (s Step) Quote(r *samphireturn.Request) float64 {
	return (float64(r.PromptTokens)*s.InputPrice + float64(r.OutputTokens)*s.OutputPrice) / million
}

// Plan is the steps to run in order. Every step but the last is judged before
// release; the last is released as it is.
type Plan struct {
	Steps []Step
	// RateAfterRelease is true if the answer of the last step is to be rated after its
	// release, because its estimate is stale or rests on few ratings.
	RateAfterRelease bool
	// Cost is the expected cost and Reach the expected share of answers that
	// reach the quality bar.
	Cost, Reach float64
}

// Cascader makes plans. Set the exported fields before use; the zero value
// works. It is safe for concurrent use if Rand is.
type Cascader struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
	// Rand returns a uniform number from 0 to 1; nil means math/rand/v2.
	Rand func() float64
	// HalfLife is the time in which the weight of a rating halves; zero means
	// 30 minutes.
	HalfLife time.Duration
	// Stale is the age from which an estimate is worth exploring; zero means 5
	// minutes.
	Stale time.Duration
	// Max bounds the estimates that are kept; zero means 4096.
	Max int

	mu sync.Mutex
	// failed is the number of ratings before release that failed in a row, and
	// failedAt when the last did.
	failed   int
	failedAt time.Time

	paces map[account]*pace
	known map[key]*list.Element
	// recent lists estimates, the one learned last first.
	recent list.List
}

// view is what one plan knows of one step: alone and after a failed one.
type view struct {
	step  Step
	first rate
	after rate
	// cost is in currency units and delay in seconds.
	cost, delay float64
	stale       bool
}

// rate is a pass rate and the same lowered by caution.
type rate struct{ mean, low float64 }

// Plan chooses the cheapest steps whose expected share of good answers meets
// the alias's target and whose judging delay stays within its bound; if none
// meets it, those with the greatest share. With judge false, as when ratings
// can't be had in time, it chooses one step by the last estimates. Explore is
// the share of requests, from 0 to 1, that try a step whose estimate is stale.
func (c *Cascader) Plan(r *samphireturn.Request, alias *samphireturn.Alias, steps []Step, judge bool, explore float64) Plan {
	if len(steps) > maxSteps {
		steps = append(steps[:maxSteps-1:maxSteps-1], steps[len(steps)-1])
	}
	views := c.views(r, alias, steps)
	best, found := Plan{}, false
	for set := 1; set < 1<<len(views); set++ {
		if !judge && set&(set-1) != 0 {
			continue
		}
		p, delay, low := expect(views, set)
		if len(p.Steps) > 1 && alias.MaxDelayMs > 0 && delay > time.Duration(alias.MaxDelayMs)*time.Millisecond {
			continue
		}
		meets := low >= alias.TargetShare
		switch {
		case len(best.Steps) == 0, meets && !found:
			best, found = p, meets
		case meets == found && better(p, best, meets):
			best = p
		}
	}
	best = c.cheapen(best, r, alias, views)
	if explore > 0 && c.rand() < explore {
		c.explore(&best, views, alias, judge)
	}
	if n := len(best.Steps); n > 0 && !best.RateAfterRelease {
		last := best.Steps[n-1]
		best.RateAfterRelease = c.thin(key{team: r.Team, class: r.Class, version: last.Version, quality: alias.MinQuality, after: n > 1})
	}
	return best
}

// better reports whether p goes before q: by cost among plans that meet the
// target, by reach and then by cost among the others.
func better(p, q Plan, meets bool) bool {
	if meets || p.Reach == q.Reach {
		return p.Cost < q.Cost
	}
	return p.Reach > q.Reach
}

// explore puts the first stale step that is not yet planned in front, judged,
// or asks for a rating of the released answer.
func (c *Cascader) explore(p *Plan, views []view, alias *samphireturn.Alias, judge bool) {
	p.RateAfterRelease = true
	if !judge || len(p.Steps) == 0 {
		return
	}
	for i := range views {
		v := &views[i]
		if v.step == p.Steps[0] {
			return
		}
		tooLong := alias.MaxDelayMs > 0 && v.delay*1000 > float64(alias.MaxDelayMs)
		if v.stale && !tooLong {
			p.Steps = append([]Step{v.step}, p.Steps...)
			p.Cost += v.cost
			return
		}
	}
}

// expect returns the plan that runs the steps in set, the longest delay that
// its judging adds, and its reach lowered by caution. A plan reaches at least
// what each of its steps does alone.
func expect(views []view, set int) (Plan, time.Duration, float64) {
	p := Plan{}
	missed, low, delay, judged := 1.0, 1.0, 0.0, 0.0
	alone := rate{}
	for i := range views {
		if set&(1<<i) == 0 {
			continue
		}
		v := &views[i]
		r := v.first
		if len(p.Steps) > 0 {
			r = v.after
		}
		p.Steps = append(p.Steps, v.step)
		p.Cost += missed * v.cost
		missed *= 1 - r.mean
		low *= 1 - r.low
		alone = rate{mean: max(alone.mean, v.first.mean), low: max(alone.low, v.first.low)}
		judged = delay
		delay += v.delay
	}
	p.Reach = max(1-missed, alone.mean)
	return p, time.Duration(judged * float64(time.Second)), max(1-low, alone.low)
}

// views collects what is known of each step. Learned costs count only if every
// step has one, since they do not compare with estimates from token counts.
func (c *Cascader) views(r *samphireturn.Request, alias *samphireturn.Alias, steps []Step) []view {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	views := make([]view, len(steps))
	costs := make([]float64, len(steps))
	learned := true
	for i, s := range steps {
		prior := cheapRate
		if i == len(steps)-1 {
			prior = dearRate
		}
		k := key{team: r.Team, class: r.Class, version: s.Version, quality: alias.MinQuality}
		first := c.lookup(k)
		k.after = true
		after := c.lookup(k)
		runs := first.runs + after.runs
		views[i] = view{
			step:  s,
			first: c.rate(first, prior, now),
			after: c.rate(after, prior, now),
			cost:  s.Quote(r),
			stale: now.Sub(first.ratedAt) >= c.stale(),
		}
		if runs == 0 {
			learned = false
			continue
		}
		costs[i] = (first.cost + after.cost) / runs
		if quoted := first.quoted + after.quoted; quoted > 0 {
			costs[i] = views[i].cost * (first.cost + after.cost) / quoted
		}
		views[i].delay = (first.delay + after.delay) / runs
		if output := first.output + after.output; output > 0 {
			views[i].delay = (first.delay + after.delay) * float64(r.OutputTokens) / output
		}
	}
	for i := range views {
		if learned {
			views[i].cost = costs[i]
		}
	}
	return views
}

func (c *Cascader) rand() float64 {
	if c.Rand == nil {
		return rand.Float64()
	}
	return c.Rand()
}
