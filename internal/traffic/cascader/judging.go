package cascader

import "time"

const (
	// failLimit is the number of ratings in a row that may fail before judging
	// pauses.
	failLimit = 3
	// judgePause is the time without judging after that.
	judgePause = 5 * time.Second
)

// Judged notes whether a rating asked for before release came in time.
func (c *Cascader) Judged(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.failed = 0
		return
	}
	c.failed++
	c.failedAt = c.now()
}

// Judging reports whether ratings can be expected in time. One late rating says
// little; several in a row pause judging for a while.
func (c *Cascader) Judging() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed < failLimit || c.now().Sub(c.failedAt) > judgePause
}
