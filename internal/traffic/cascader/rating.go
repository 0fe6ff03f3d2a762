package cascader

import (
	"time"

	"samphireturn"
)

const (
	// maxLateRatings is the number of consecutive failed or late ratings that
	// suspend rating before release.
	maxLateRatings = 3
	// ratingPause is the time of the suspension after the last late rating.
	ratingPause = 5 * time.Second
	// enoughRatings is the decayed number of ratings from which released answers
	// are rated for exploration only.
	enoughRatings = 30
)

// RecordRatingInTime records whether a rating that was requested before the release
// of an answer came in time. A failed rating did not.
func (c *Cascader) RecordRatingInTime(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.lateRatings = 0
		return
	}
	c.lateRatings++
	c.lastLateAt = c.now()
}

// RatingAvailable reports whether ratings can be expected in time. Several late
// ratings in a row suspend rating before release for a while; a single one does not.
func (c *Cascader) RatingAvailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lateRatings < maxLateRatings || c.now().Sub(c.lastLateAt) > ratingPause
}

// PlanPinned returns the plan of a request that only one step can run, such as one
// whose session is pinned to a model. Its answer is rated after release until the
// estimate rests on enough ratings.
func (c *Cascader) PlanPinned(r *samphireturn.Request, alias *samphireturn.Alias, step Step) Plan {
	k := key{team: r.Team, class: r.Class, version: step.Version, minQuality: alias.MinQuality, pinned: true}
	return Plan{Steps: []Step{step}, RateAfterRelease: c.needsRatings(k)}
}

// needsRatings reports whether the estimate of k rests on few ratings and ratings
// are available.
func (c *Cascader) needsRatings(k key) bool {
	available := c.RatingAvailable()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.lookup(k)
	return available && c.decay(c.now().Sub(e.decayedAt))*e.rated < enoughRatings
}
