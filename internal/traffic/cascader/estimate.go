package cascader

import (
	"container/list"
	"math"
	"time"

	"samphireturn"
)

// key names what an estimate is about. Versions share nothing.
type key struct {
	team, class string
	version     samphireturn.VersionRef
	quality     float64
	after, kept bool
}

// estimate holds decayed sums.
type estimate struct {
	key key
	// at is the time to which the sums are decayed; ratedAt that of the last
	// rating.
	at, ratedAt time.Time
	// passed and rated count ratings.
	passed, rated float64
	// cost and quoted, in currency units, and delay, in seconds, are summed over
	// runs.
	cost, quoted, delay, runs float64
	// output is the estimated output tokens, summed over runs.
	output float64
}

// RecordOutcome updates the estimates with the outcome of a step. It may be called
// long after the answer.
func (c *Cascader) RecordOutcome(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	k := key{team: o.Team, class: o.Class, version: o.Version, quality: o.MinQuality, after: o.AfterFailure, kept: o.Pinned}
	e := c.touch(k, now)
	decay := c.decay(now.Sub(e.at))
	for _, f := range []*float64{&e.passed, &e.rated, &e.cost, &e.quoted, &e.delay, &e.runs, &e.output} {
		*f *= decay
	}
	e.at = now
	e.cost += o.Cost
	e.quoted += o.QuotedCost
	e.output += float64(o.EstimatedOutput)
	e.delay += o.Delay.Seconds()
	e.runs++
	c.book(o, e, now)
	if !o.Rated {
		return
	}
	e.rated++
	e.ratedAt = now
	if o.Rating >= o.MinQuality {
		e.passed++
	}
}

// touch returns the estimate of k as the most recent one, made if there is
// none. The one not touched for longest makes room.
func (c *Cascader) touch(k key, now time.Time) *estimate {
	if el := c.known[k]; el != nil {
		c.recent.MoveToFront(el)
		return el.Value.(*estimate)
	}
	if c.known == nil {
		c.known = make(map[key]*list.Element)
	}
	limit := c.Max
	if limit <= 0 {
		limit = defaultMax
	}
	for len(c.known) >= limit {
		last := c.recent.Back()
		delete(c.known, last.Value.(*estimate).key)
		c.recent.Remove(last)
	}
	e := &estimate{key: k, at: now}
	c.known[k] = c.recent.PushFront(e)
	return e
}

func (c *Cascader) lookup(k key) estimate {
	if el := c.known[k]; el != nil {
		return *el.Value.(*estimate)
	}
	return estimate{}
}

// rate returns the decayed pass rate with its prior.
func (c *Cascader) rate(e estimate, prior float64, now time.Time) rate {
	d := c.decay(now.Sub(e.at))
	n := d*e.rated + priorWeight
	mean := (d*e.passed + prior*priorWeight) / n
	return rate{mean: mean, low: max(mean-caution*math.Sqrt(mean*(1-mean)/n), 0)}
}

// decay returns the weight of a rating of the given age.
func (c *Cascader) decay(age time.Duration) float64 {
	half := c.HalfLife
	if half <= 0 {
		half = defaultHalfLife
	}
	return math.Exp2(-float64(max(age, 0)) / float64(half))
}

func (c *Cascader) stale() time.Duration {
	if c.Stale <= 0 {
		return defaultStale
	}
	return c.Stale
}

func (c *Cascader) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}
