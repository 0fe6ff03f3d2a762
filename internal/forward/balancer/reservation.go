package balancer

import (
	"expvar"
	"time"

	"samphireturn"
)

var warmUpRequests = expvar.NewInt("balancer_cold")

// Reservation counts one request as in flight at an endpoint until Done. Its
// methods may be called more than once.
type Reservation struct {
	Host *samphireturn.Host
	// The following are the values at the time of the choice: InFlight is the
	// number of requests at the endpoint, EstimatedDelay the time until the answer
	// should begin, TypicalDelay the average time until answers of the latency
	// class begin (0 before the first), Pace how long work takes at the endpoint (1 as
	// usual or if unknown), and WarmingUp whether the endpoint is warming up.
	InFlight       int
	EstimatedDelay time.Duration
	TypicalDelay   time.Duration
	Pace           float64
	WarmingUp      bool

	balancer *Balancer
	request  Request
	sentAt   time.Duration
	// promptTime is what the request added to the endpoint's backlog.
	promptTime time.Duration
	headSeen   bool
	done       bool
	// notRun is true if the request did not run at the endpoint, so that its end leaves no
	// capacity that was in use.
	notRun bool
	// trial is the number of the pause after which the request is a trial, or 0.
	trial int
}

// Ended tells what an answer of an endpoint ended: its trial after a pause, its limit, or that it
// is brittle. Suspicion is what the answer changed about the endpoint's group.
type Ended struct {
	Trial, Limit, Brittle bool
	Suspicion             Suspicion
}

// reserve counts a request at an endpoint. The caller holds mu.
func (b *Balancer) reserve(h *samphireturn.Host, req *Request, now time.Duration) *Reservation {
	e := b.endpoint(h)
	r := &Reservation{Host: h, balancer: b, request: *req, sentAt: now, promptTime: b.promptTime(e, req, now)}
	r.InFlight, r.WarmingUp = e.inFlight(now), now < e.warmUpUntil
	r.TypicalDelay = b.latency(req.LatencyClass).head
	r.Pace = e.pace.factor(now)
	r.EstimatedDelay = b.estimateDelay(e, req, r.InFlight, max(h.Slots, 1), r.Pace, now)
	e.local.Requests++
	e.local.MemoryTokens += req.MemoryTokens
	e.local.Backlog += r.promptTime.Microseconds()
	e.sinceReport++
	r.trial = e.pause.startTrial()
	if e.limit.active() {
		e.limit.sentAt = now
	}
	if req.PrefixID != "" {
		if e.prefixSent == nil {
			e.prefixSent = make(map[uint64]time.Duration)
		}
		e.prefixSent[req.prefix] = now
	}
	if now < e.warmUpUntil {
		warmUpRequests.Add(1)
		e.nextWarmUpSend = now + warmUpInterval(req.Pool.WarmUpRate)
	}
	return r
}

// ObserveHead records that the head of the answer arrived, and the load that the
// endpoint reported in it. It returns what the answer ended.
func (r *Reservation) ObserveHead(meta samphireturn.ResponseMeta) Ended {
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(r.Host)
	r.notRun = meta.NotExecuted
	accepted := !meta.NotExecuted && meta.Pause == 0
	if !r.headSeen && !r.done && accepted {
		b.observeHead(&r.request, b.uncachedTokens(e, &r.request, r.sentAt), b.Clock()-r.sentAt, e)
	}
	r.clearBacklog(e)
	b.applyReport(e, meta)
	now := b.Clock()
	if meta.Pace > 0 && !meta.Misdirected && r.Host.Started >= e.started {
		e.pace.observe(meta.Pace, now)
	}
	return Ended{
		Trial:   accepted && e.pause.endTrial(r.sentAt),
		Limit:   e.limit.observeHead(meta, r.sentAt, now),
		Brittle: b.observeBrittle(r.Host, e, meta, r.sentAt),

		Suspicion: r.observePresence(e, meta.Misdirected, now),
	}
}

// clearBacklog removes the request's prompt from the backlog, once. The caller
// holds mu.
func (r *Reservation) clearBacklog(e *endpoint) {
	if !r.headSeen && !r.done {
		r.headSeen = true
		e.local.Backlog -= r.promptTime.Microseconds()
	}
}

// NotReceived records that the endpoint did not receive the request.
func (r *Reservation) NotReceived() {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	r.notRun = true
}

// Done ends the reservation.
func (r *Reservation) Done() {
	release, left := r.end()
	if left && r.balancer.OnRelease != nil {
		r.balancer.OnRelease(release)
	}
}

// end ends the reservation, and reports whether the request left capacity of the endpoint.
func (r *Reservation) end() (release Release, left bool) {
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.done {
		return Release{}, false
	}
	e := b.endpoint(r.Host)
	r.clearBacklog(e)
	r.done = true
	e.local.Requests--
	e.local.MemoryTokens -= r.request.MemoryTokens
	e.sinceReport--
	e.pause.finishTrial(r.trial)
	if r.notRun {
		return Release{}, false
	}
	released := Release{r.Host, b.Clock() - r.sentAt}
	b.releaseRoom(released, e)
	return released, true
}

// applyReport applies the load and the warm-up time that an endpoint reported in
// an answer, unless another instance did. The caller holds mu.
func (b *Balancer) applyReport(e *endpoint, meta samphireturn.ResponseMeta) {
	now := b.Clock()
	e.lastActive, b.lastActive = now, now
	if meta.Misdirected {
		return
	}
	e.unreachable = false
	if meta.Slots > 0 {
		e.reported, e.reportedAt, e.sinceReport = meta.Running+meta.Waiting, now, 0
	}
	if meta.WarmUpLeft > 0 {
		e.warmUpUntil = max(e.warmUpUntil, now+meta.WarmUpLeft)
	}
}
