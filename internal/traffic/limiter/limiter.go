// Package limiter reserves work at endpoints within the quota granted to this daemon.
package limiter

import (
	"expvar"
	"time"

	"samphireturn"
)

var (
	// base is the origin of Clock, which thereby reads the monotonic time.
	base = time.Now()

	refusals = expvar.NewMap("limiter_refusal")
)

// Limiter reserves and releases work at endpoints. The zero value is ready to use.
type Limiter struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
}

// Clock returns the monotonic time in nanoseconds. Quota.Expires is on this clock.
func (l *Limiter) Clock() int64 {
	if l.Now != nil {
		return int64(l.Now().Sub(base))
	}
	return int64(time.Since(base))
}

// Acquire reserves work at e, in tokens or in calls of a plain service, and reports
// whether the quota allows it. Each success must be followed by one Release of the same
// work. The expiry is checked after the reservation, so that a pause in between cannot
// go unnoticed.
func (l *Limiter) Acquire(e *samphireturn.Endpoint, work int64) bool {
	q := e.Quota
	if q.Outstanding.Add(work) > q.Allowed.Load() {
		q.Outstanding.Add(-work)
		refusals.Add("budget", 1)
		return false
	}
	if l.Clock() >= q.Expires.Load() {
		q.Outstanding.Add(-work)
		refusals.Add("lapsed", 1)
		return false
	}
	q.Requests.Add(1)
	return true
}

// Valid reports whether the quota of e has not expired. Callers check it again just
// before they send a request.
func (l *Limiter) Valid(e *samphireturn.Endpoint) bool {
	return l.Clock() < e.Quota.Expires.Load()
}

// Release returns work reserved by Acquire.
func (l *Limiter) Release(e *samphireturn.Endpoint, work int64) {
	e.Quota.Outstanding.Add(-work)
	e.Quota.Requests.Add(-1)
}
