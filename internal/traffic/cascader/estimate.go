package cascader

import (
	"container/list"
	"math"
	"time"

	"samphireturn"
)

// key identifies an estimate. Versions share no estimates.
type key struct {
	team, class          string
	version              samphireturn.VersionRef
	minQuality           float64
	afterFailure, pinned bool
}

// estimate holds sums over the outcomes of a key, which decay with their age.
type estimate struct {
	key key
	// decayedAt is the time to which the sums are decayed, ratedAt that of the
	// last rating.
	decayedAt, ratedAt time.Time
	// rated counts ratings, passed those of at least the minimum quality.
	passed, rated float64
	// cost and quotedCost, in currency units, and delay, in seconds, are sums
	// over runs.
	cost, quotedCost, delay, runs float64
	// outputTokens is the sum over runs of the estimated output tokens.
	outputTokens float64
}

// RecordOutcome updates the estimates with the outcome of a step. It may be called
// long after the answer.
func (c *Cascader) RecordOutcome(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	k := key{team: o.Team, class: o.Class, version: o.Version, minQuality: o.MinQuality, afterFailure: o.AfterFailure, pinned: o.Pinned}
	e := c.estimateFor(k, now)
	decay := c.decay(now.Sub(e.decayedAt))
	for _, f := range []*float64{&e.passed, &e.rated, &e.cost, &e.quotedCost, &e.delay, &e.runs, &e.outputTokens} {
		*f *= decay
	}
	e.decayedAt = now
	e.cost += o.Cost
	e.quotedCost += o.QuotedCost
	e.outputTokens += float64(o.EstimatedOutput)
	e.delay += o.Delay.Seconds()
	e.runs++
	c.recordSurplus(o, e, now)
	if !o.Rated {
		return
	}
	e.rated++
	e.ratedAt = now
	if o.Rating >= o.MinQuality {
		e.passed++
	}
}

// estimateFor returns the estimate of k, creating it if it is missing, and marks
// it as the most recently used. It evicts the least recently used estimates when
// the bound is reached.
func (c *Cascader) estimateFor(k key, now time.Time) *estimate {
	if el := c.estimates[k]; el != nil {
		c.lru.MoveToFront(el)
		return el.Value.(*estimate)
	}
	if c.estimates == nil {
		c.estimates = make(map[key]*list.Element)
	}
	limit := c.MaxEstimates
	if limit <= 0 {
		limit = defaultMaxEstimates
	}
	for len(c.estimates) >= limit {
		last := c.lru.Back()
		delete(c.estimates, last.Value.(*estimate).key)
		c.lru.Remove(last)
	}
	e := &estimate{key: k, decayedAt: now}
	c.estimates[k] = c.lru.PushFront(e)
	return e
}

func (c *Cascader) lookup(k key) estimate {
	if el := c.estimates[k]; el != nil {
		return *el.Value.(*estimate)
	}
	return estimate{}
}

// passRateOf returns the pass rate of e decayed to now and combined with prior,
// the pass rate assumed before any rating.
func (c *Cascader) passRateOf(e estimate, prior float64, now time.Time) passRate {
	d := c.decay(now.Sub(e.decayedAt))
	n := d*e.rated + priorWeight
	mean := (d*e.passed + prior*priorWeight) / n
	return passRate{mean: mean, lowerBound: max(mean-boundDeviations*math.Sqrt(mean*(1-mean)/n), 0)}
}

// decay returns the weight of a rating of the given age.
func (c *Cascader) decay(age time.Duration) float64 {
	half := c.HalfLife
	if half <= 0 {
		half = defaultHalfLife
	}
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

func (c *Cascader) staleAfter() time.Duration {
	if c.StaleAfter <= 0 {
		return defaultStaleAfter
	}
	return c.StaleAfter
}

func (c *Cascader) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}
