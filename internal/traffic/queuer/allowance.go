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
)

// Allowance decides how many waiting requests this daemon sends to capacity that other
// daemons see too: one for each of its own requests that ended, and its share of the rest. If
// there is more load than capacity, or requests were sent beyond the allowance, every second own
// request that ends is not replaced until that is made up for: were none replaced, a daemon with
// few requests would send nothing for long. An Allowance is not safe for concurrent use.
type Allowance struct {
	// own is the number of own requests that ended since windowStart, and older that of the
	// window before, of which each counts until another request is sent for it.
	own, older  int
	windowStart time.Duration
	// shared is the unused part of this daemon's share, in requests, as of updatedAt;
	// negative if requests that end are not to be replaced. It starts at phase.
	shared, phase float64
	updatedAt     time.Duration
	// spare and daemons are those last observed.
	spare   float64
	daemons int
	// skipped is true if the last own request that ended is not to be replaced.
	skipped bool
}

// Start sets the initial part of a share. Phase is a random number in [0, 1); it keeps daemons
// that see capacity at the same moment from reaching their next request at the same moment.
func (a *Allowance) Start(now time.Duration, phase float64) {
	*a = Allowance{shared: phase, phase: phase, updatedAt: now, windowStart: now, daemons: 1}
}

// Observe records the capacity of all endpoints less their load, in requests, which is negative
// if they have more than that, and the number of daemons that share it. One alone has no share.
func (a *Allowance) Observe(now time.Duration, spare float64, daemons int) {
	if a.daemons <= 1 && daemons > 1 {
		// What was sent alone is no debt to those that are heard again.
		a.shared, a.skipped, a.updatedAt = a.phase, false, now
	}
	a.spare, a.daemons = spare, daemons
	a.accrue(now)
}

// accrue adds what the share has grown by since the last time.
func (a *Allowance) accrue(now time.Duration) {
	a.expire(now)
	elapsed := min(now-a.updatedAt, shareTime)
	a.updatedAt = now
	if a.daemons <= 1 {
		return
	}
	share := a.share()
	a.shared = max(min(a.shared+share*elapsed.Seconds()/shareTime.Seconds(), max(share, 1)), -a.maxDebt())
}

// share returns this daemon's part of the capacity that own requests did not leave.
func (a *Allowance) share() float64 {
	return (a.spare - float64(a.own+a.older)) / float64(max(a.daemons, 1))
}

// ShareRate returns the requests per second that the share last observed allows, if not negative.
func (a *Allowance) ShareRate() float64 { return max(a.share(), 0) / shareTime.Seconds() }

// maxDebt bounds what own requests that end make up for: one share, since a larger debt says
// nothing of the load that is seen now.
func (a *Allowance) maxDebt() float64 {
	share := a.share()
	return max(share, -share, 1)
}

// Release counts an own request that ended.
func (a *Allowance) Release(now time.Duration) {
	a.accrue(now)
	if a.skipped = a.shared <= -1 && !a.skipped; a.skipped {
		a.shared++
		return
	}
	a.own++
}

// expire discards what own requests left longer than ownTime ago. As that was not replaced, it
// makes up for a debt.
func (a *Allowance) expire(now time.Duration) {
	windows := (now - a.windowStart) / ownTime
	if windows <= 0 {
		return
	}
	expired := a.older
	a.older, a.own = a.own, 0
	if windows > 1 {
		expired += a.older
		a.older = 0
	}
	if a.shared < 0 {
		a.shared = min(a.shared+float64(expired), 0)
	}
	a.windowStart += windows * ownTime
}

// Allows reports whether a waiting request may be sent now to an endpoint with room, with the
// capacity and the daemons given to Observe. One daemon alone may use any room.
func (a *Allowance) Allows(now time.Duration, spare float64, daemons int) bool {
	a.Observe(now, spare, daemons)
	// A greater debt is made up for in Release.
	return daemons <= 1 || float64(a.own+a.older)+max(a.shared, -1) >= 1
}

// Use counts a request that was sent, whether Allows was asked or not: it follows an own one
// that ended or uses a part of the share, if there are others to share with.
func (a *Allowance) Use(now time.Duration) {
	a.accrue(now)
	switch {
	case a.older > 0:
		a.older--
	case a.own > 0:
		a.own--
	case a.daemons > 1:
		a.shared = max(a.shared-1, -a.maxDebt())
	}
}
