package queuer

import "time"

const (
	// shareTime is the time in which all daemons together use the free capacity that they
	// see once, or leave the excess load unreplaced. The loads that daemons share are up to
	// a second old; in a shorter time, more is done before it is seen.
	shareTime = 1250 * time.Millisecond
	// ownTime is the time after which capacity left by an own request, and not used, is
	// seen by the other daemons and shared with them.
	ownTime = time.Second
	// maxDebt bounds the requests that were sent beyond the allowance, as requests that find
	// enough capacity or have waited long enough are, and that later ones make up for.
	maxDebt = 16
)

// Allowance decides how many waiting requests this daemon sends to capacity that other
// daemons see too: one for each of its own requests that ended, and its share of the rest. If
// there is more load than capacity, it sends fewer by its share of the excess: were no request
// replaced then, all daemons would stop until they see that the load is gone. An Allowance is
// not safe for concurrent use.
type Allowance struct {
	// own is the number of own requests that ended since windowStart, and older that of the
	// window before, of which each counts until another request is sent for it.
	own, older  int
	windowStart time.Duration
	// shared is the unused part of this daemon's share, in requests, as of updatedAt;
	// negative if requests that end are not to be replaced.
	shared    float64
	updatedAt time.Duration
}

// Start sets the initial part of a share. Phase is a random number in [0, 1); it keeps daemons
// that see capacity at the same moment from reaching their next request at the same moment.
func (a *Allowance) Start(now time.Duration, phase float64) {
	*a = Allowance{shared: phase, updatedAt: now, windowStart: now}
}

// Release counts an own request that ended.
func (a *Allowance) Release(now time.Duration) {
	a.expire(now)
	a.own++
}

// expire discards what own requests left longer than ownTime ago.
func (a *Allowance) expire(now time.Duration) {
	windows := (now - a.windowStart) / ownTime
	if windows <= 0 {
		return
	}
	a.older, a.own = a.own, 0
	if windows > 1 {
		a.older = 0
	}
	a.windowStart += windows * ownTime
}

// Allows reports whether a waiting request may be sent now to an endpoint with room. Spare is
// the capacity of all endpoints less their load, in requests, which is negative if they have
// more than that; daemons is the number of daemons that share it. One alone may use any room.
func (a *Allowance) Allows(now time.Duration, spare float64, daemons int) bool {
	a.expire(now)
	if daemons <= 1 {
		return true
	}
	own := float64(a.own + a.older)
	share := (spare - own) / float64(daemons)
	elapsed := min(now-a.updatedAt, shareTime)
	a.updatedAt = now
	a.shared = max(min(a.shared+share*elapsed.Seconds()/shareTime.Seconds(), max(share, 1)), -maxDebt)
	return own+a.shared >= 1
}

// Use counts a request that was sent, whether Allows was asked or not: it follows an own one
// that ended or uses a part of the share.
func (a *Allowance) Use() {
	switch {
	case a.older > 0:
		a.older--
	case a.own > 0:
		a.own--
	default:
		a.shared = max(a.shared-1, -maxDebt)
	}
}
