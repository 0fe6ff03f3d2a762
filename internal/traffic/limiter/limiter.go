// Package limiter admits work to endpoints within the budget that this daemon
// has been granted.
package limiter

import (
	"expvar"
	"time"

	"samphireturn"
)

var (
	// base anchors the clock so that it reads the monotonic time.
	base = time.Now()

	refusals = expvar.NewMap("limiter_refusal")
)

// Limiter reserves and releases work at endpoints. The zero value is ready to
// use.
type Limiter struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time
}

// Clock returns the monotonic time in nanoseconds. Gauge.Lapse counts on it.
func (l *Limiter) Clock() int64 {
	if l.Now != nil {
		return int64(l.Now().Sub(base))
	}
	return int64(time.Since(base))
}

// Acquire reserves work tokens at e and reports whether the grant allows it.
// Each success must be followed by one Release of the same work. The lapse is
// checked after the reservation, so that a pause in between cannot pass it.
func (l *Limiter) Acquire(e *samphireturn.Endpoint, work int64) bool {
	g := e.Quota
	if g.Outstanding.Add(work) > g.Allowed.Load() {
		g.Outstanding.Add(-work)
		refusals.Add("budget", 1)
		return false
	}
	if l.Clock() >= g.Expires.Load() {
		g.Outstanding.Add(-work)
		refusals.Add("lapsed", 1)
		return false
	}
	g.Requests.Add(1)
	return true
}

// Valid reports whether the grant of e is in force now. It is asked again just
// before a send.
func (l *Limiter) Valid(e *samphireturn.Endpoint) bool {
	return l.Clock() < e.Quota.Expires.Load()
}

// Release returns work reserved by Acquire.
func (l *Limiter) Release(e *samphireturn.Endpoint, work int64) {
	e.Quota.Outstanding.Add(-work)
	e.Quota.Requests.Add(-1)
}
