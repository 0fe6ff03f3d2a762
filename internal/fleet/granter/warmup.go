package granter

import (
	"time"

	"samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

const (
	// initialWorkDivisor is the divisor of the budget that gives the work allowed
	// when a warm-up starts.
	initialWorkDivisor = 16
	// warmUpStepTime is the shortest time between two steps of a warm-up.
	warmUpStepTime = time.Second
	// An endpoint counts as overloaded after maxSlowInRow first-token times in a
	// row that exceed slowFactor times the mean.
	slowFactor, maxSlowInRow = 8, 3
	// minSlowTime is the first-token time up to which an endpoint never counts as
	// slow.
	minSlowTime = time.Second
	// overloadTTL is how long a daemon without a home treats an endpoint as
	// overloaded.
	overloadTTL = 10 * time.Second
	// codeOverloaded is the endpoint's error code of a refusal for overload.
	codeOverloaded = "overloaded"
)

type (
	// warmUp is the state of an endpoint's warm-up.
	warmUp struct {
		// limit is the work allowed during the warm-up; 0 once warm.
		limit    int64
		lastStep int64
		// overloaded is set if a client has reported an overload since the last
		// step.
		overloaded bool
	}

	// trafficState is what requests have shown of an endpoint. successes and
	// peakInFlight count since the last step of the warm-up.
	trafficState struct {
		successes      int
		overloaded     bool
		overloadedAt   int64
		peakInFlight   int64
		meanFirstToken time.Duration
		slowInRow      int
		incarnation    uint64
	}
)

// initialWork returns the work allowed when a warm-up starts.
func initialWork(e *samphireturn.Endpoint) int64 { return e.Budget / initialWorkDivisor }

// newWarmUp returns the warm-up of an endpoint that was not known before.
func newWarmUp(e *samphireturn.Endpoint, now int64) warmUp {
	if e.Warm {
		return warmUp{}
	}
	return warmUp{limit: max(initialWork(e), 1), lastStep: now}
}

// allowedWork returns the work that the endpoint can take now.
func (w *warmUp) allowedWork(e *samphireturn.Endpoint) int64 {
	if w.limit == 0 {
		return e.Budget
	}
	return min(w.limit, e.Budget)
}

// inProgress reports whether the endpoint is warming up, so that only its home
// may send to it.
func (w *warmUp) inProgress(e *samphireturn.Endpoint) bool { return w.limit > 0 || !e.Warm }

// advanceWarmUp starts, adjusts or ends the warm-up of an endpoint. An overload
// starts a warm-up, or halves the limit of one in progress, but not below
// initialWork. Otherwise the limit doubles after a step of at least
// warmUpStepTime in one of three cases: requests succeeded, and they used half
// of the limit or the endpoint reports that it is warm; nothing was in flight
// and the largest request exceeds the limit; or the endpoint reports that it is
// warm and has no demand. The warm-up ends once the limit reaches the budget.
// The caller holds mu.
func (g *Granter) advanceWarmUp(h *homedEndpoint, now int64) {
	e, w := h.endpoint.info, &h.warmUp
	g.trafficMu.Lock()
	t := g.trafficOf(e)
	overloaded, successes, peak := w.overloaded || t.overloaded, t.successes, max(t.peakInFlight, e.Quota.Outstanding.Load())
	t.overloaded = false
	g.trafficMu.Unlock()
	w.overloaded = false
	initial := max(initialWork(e), 1)
	switch {
	case overloaded && w.limit == 0:
		reasons.Add("cold", 1)
		w.limit, w.lastStep = initial, now
	case overloaded:
		reasons.Add("fall_back", 1)
		w.limit, w.lastStep = max(w.limit/2, initial), now
	case w.limit == 0 || now-w.lastStep < int64(warmUpStepTime):
		return
	case successes > 0 && (2*peak >= w.limit || e.Warm) || peak == 0 && h.endpoint.largestRequest > w.limit,
		h.endpoint.demand == 0 && e.Warm:
		w.limit, w.lastStep = 2*w.limit, now
		if w.limit >= e.Budget {
			w.limit = 0
		}
	default:
		return
	}
	g.trafficMu.Lock()
	t.successes, t.peakInFlight = 0, 0
	g.trafficMu.Unlock()
}

// trafficOf returns the traffic state of an endpoint's process. The caller
// holds trafficMu.
func (g *Granter) trafficOf(e *samphireturn.Endpoint) *trafficState {
	t := g.traffic[e.ID]
	if t == nil || t.incarnation != e.Incarnation {
		t = &trafficState{incarnation: e.Incarnation}
		g.traffic[e.ID] = t
	}
	return t
}

// recentlyOverloaded reports whether requests of this daemon have found the
// endpoint overloaded within overloadTTL.
func (g *Granter) recentlyOverloaded(id string, now int64) bool {
	g.trafficMu.Lock()
	defer g.trafficMu.Unlock()
	t := g.traffic[id]
	return t != nil && t.overloaded && now-t.overloadedAt < int64(overloadTTL)
}

// clearOverload resets the overload of an endpoint once its home knows of it.
func (g *Granter) clearOverload(ep *endpoint) {
	if ep == nil {
		return
	}
	g.trafficMu.Lock()
	defer g.trafficMu.Unlock()
	if t := g.traffic[ep.info.ID]; t != nil {
		t.overloaded = false
	}
}

// ObserveAttempt implements router.Observer. After a refusal for overload, or
// first-token times far above the mean, this daemon sends no new work until the
// endpoint's home, which learns of it in the next request, has answered.
func (g *Granter) ObserveAttempt(e *samphireturn.Endpoint, _ samphireturn.VersionRef, first time.Duration, err *dispatcher.Error) {
	if e.Quota == nil {
		return
	}
	g.trafficMu.Lock()
	t := g.trafficOf(e)
	t.peakInFlight = max(t.peakInFlight, e.Quota.Outstanding.Load())
	overloaded := false
	switch {
	case err == nil:
		t.successes++
		overloaded = t.recordFirstToken(first)
	case err.Kind == dispatcher.KindRefused:
		overloaded = err.Code == codeOverloaded
	}
	if overloaded {
		t.overloaded, t.overloadedAt = true, g.Clock()
	}
	g.trafficMu.Unlock()
	if overloaded {
		e.Quota.Expires.Store(distantPast)
	}
}

// recordFirstToken adds a first-token time to the mean and reports whether the
// endpoint has become too slow. Zero means that the time is unknown; it is
// ignored. The caller holds trafficMu.
func (t *trafficState) recordFirstToken(first time.Duration) bool {
	if first <= 0 {
		return false
	}
	if t.meanFirstToken > 0 && first > minSlowTime && first > slowFactor*t.meanFirstToken {
		t.slowInRow++
		return t.slowInRow == maxSlowInRow
	}
	t.slowInRow = 0
	if t.meanFirstToken == 0 {
		t.meanFirstToken = first
	}
	t.meanFirstToken += (first - t.meanFirstToken) / 16
	return false
}
