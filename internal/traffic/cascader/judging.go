package cascader

import (
	"time"

	"samphireturn"
)

const (
	// failLimit is the number of ratings in a row that may fail before judging
	// pauses.
	failLimit = 3
	// judgePause is the time without judging after that.
	judgePause = 5 * time.Second
	// enough is the number of decayed ratings from which an estimate needs no
	// more ratings of released answers than exploration asks for.
	enough = 30
)

// RecordRatingInTime records whether a rating that was requested before the release
// of an answer came in time.
func (c *Cascader) RecordRatingInTime(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.failed = 0
		return
	}
	c.failed++
	c.failedAt = c.now()
}

// RatingAvailable reports whether ratings can be expected in time. Several late
// ratings in a row, but not a single one, suspend rating before release for a while.
func (c *Cascader) RatingAvailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed < failLimit || c.now().Sub(c.failedAt) > judgePause
}

// PlanPinned returns the plan of a request that only one step can run, such as one
// whose session is pinned to a model. Its answer is rated after release until enough
// ratings are known.
func (c *Cascader) PlanPinned(r *samphireturn.Request, alias *samphireturn.Alias, step Step) Plan {
	k := key{team: r.Team, class: r.Class, version: step.Version, quality: alias.MinQuality, kept: true}
	return Plan{Steps: []Step{step}, RateAfterRelease: c.thin(k)}
}

// thin reports whether an estimate rests on few ratings and more can be had.
func (c *Cascader) thin(k key) bool {
	judging := c.RatingAvailable()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.lookup(k)
	return judging && c.decay(c.now().Sub(e.at))*e.rated < enough
}
