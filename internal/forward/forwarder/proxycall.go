package forwarder

import (
	"context"
	"expvar"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/core/rationer"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/isolator"
	"samphireturn/internal/forward/matcher"
	"samphireturn/internal/forward/sender"
	"samphireturn/internal/forward/stager"
	"samphireturn/internal/traffic/budgeter"
	"samphireturn/internal/traffic/collector"
)

const (
	// defaultTimeout bounds every request; callers and routes may set a shorter time.
	defaultTimeout = 60 * time.Second
	// extraUnexecutedSends bounds the sends beyond the route's MaxAttempts, which
	// are possible when endpoints did not execute the request.
	extraUnexecutedSends = 2
	// maxMisdirectedSends bounds the sends beyond these to endpoints in whose place other
	// instances answer: one in each of 19 data centres, as the first makes the others of its data
	// centre suspect.
	maxMisdirectedSends = 19
	// maxPriority is the priority of the least urgent requests at an engine.
	maxPriority = 9
	// maxLoggedParts bounds the parts of a prompt in one log line.
	maxLoggedParts = 16
)

// Stages at which an answer is lost, as they are logged.
const (
	stageSent    = "sent"
	stageHead    = "head"
	stageEvents  = "events"
	stageDropped = "dropped"
)

var (
	requests = expvar.NewMap("forwarder_request")
	refusals = expvar.NewMap("forwarder_refusal")
	retries  = expvar.NewMap("forwarder_repeat")
	// acceptFailures counts the connections of callers that could not be taken.
	acceptFailures = expvar.NewInt("forwarder_accept_failure")

	errStalled = errors.New("endpoint makes no progress")
)

// proxyCall is the state of one caller's request while it is forwarded.
type proxyCall struct {
	*Forwarder
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	start   time.Duration
	timeout time.Duration

	request      samphireturn.CallerRequest
	view         *samphireturn.View
	tableMatcher *matcher.Matcher
	route        *samphireturn.Route
	pool         *samphireturn.Pool
	budget       *budgeter.RetryWindow
	team         string
	priority     int
	body         []byte
	// held is what the request has of the account of memory, in bytes, and collected holds the room of
	// its body; nil if none was read.
	held        int64
	collected   *collector.Body
	pickRequest balancer.Request
	// keys are those that the request may be isolated for: the first is its own, since it may
	// come again under another id, and the others are those of its prompt's parts.
	keys []isolator.Key
	// forPeer is the attempt that a peer asks for; nil if a caller sent the request.
	forPeer *peerAttempt
	// undialled holds the endpoints to which a dial failed, and excludedPeers the daemons that
	// did not make or complete an attempt, by id.
	undialled, excludedPeers map[string]bool

	// sends counts the attempts that connected to an endpoint, executions those of
	// them that may have executed the request.
	sends, executions int
	// misdirected counts those of the sends that another instance than the addressed one
	// answered.
	misdirected int
	// begun is true once events of a stream have been forwarded. resumeWait is the last
	// wait for an endpoint that takes up the stream; zero before the first.
	begun      bool
	resumeWait time.Duration
	// retryPaid is true if the next attempt was already withdrawn from the retry
	// budget.
	retryPaid atomic.Bool
	// waited is true once the request has waited for room.
	waited bool
	// executed is one of the Executed constants.
	executed string
	// outcome is the metric label for how the request ended.
	outcome string
	// step is the index of the cascade's model in use.
	step int
	// lastEventID is the id of the last event received by the caller.
	lastEventID string
	// firstByte is the time from the start to the head of the answer.
	firstByte time.Duration
	// release is the release of the endpoint whose events the caller received last; empty
	// before the first.
	release string
	// failed is true once an endpoint answered that it failed the request.
	failed bool
	// failedHosts are the ids of endpoints that may have executed the request and failed.
	failedHosts []string
	// lastErr is the error of the last failed attempt.
	lastErr error
}

// routeName returns the name of the request's route, or "none".
func (c *proxyCall) routeName() string {
	if c.route == nil {
		return "none"
	}
	return c.route.Name
}

// remaining returns the time left until the deadline.
func (c *proxyCall) remaining() time.Duration { return c.timeout - (c.Clock() - c.start) }

// expired reports whether the caller left or the time of the request is up. The context's timer
// may be late, and does not count the time for which the VM was suspended.
func (c *proxyCall) expired() bool { return c.ctx.Err() != nil || c.remaining() < time.Millisecond }

// send tries endpoints one after the other until one executes the request and its
// answer begins, or no further attempt is allowed.
func (c *proxyCall) send(limits waitLimits) (*attempt, *samphireturn.Refusal) {
	for {
		if refusal := c.checkAttempt(); refusal != nil {
			return nil, refusal
		}
		reservation, refusal := c.waitForRoom()
		if refusal != nil {
			return nil, refusal
		}
		byPeer := false
		if reservation == nil {
			reservation, byPeer = c.pickTarget()
		}
		if reservation == nil {
			c.retryPaid.Store(c.sends > 0)
			return nil, c.noEndpointRefusal()
		}
		var (
			a   *attempt
			err error
		)
		if byPeer {
			if a, err = c.tryPeer(reservation); err == nil {
				return a, nil
			}
			refusal = c.peerFailed(reservation.Host, err)
		} else {
			silentFor := c.Balancer.SilentFor(reservation.Host)
			if a, err = c.try(reservation, limits); err == nil {
				return a, nil
			}
			refusal = c.endpointFailed(reservation.Host, silentFor, err)
		}
		if refusal != nil {
			return nil, refusal
		}
	}
}

// checkAttempt returns a refusal if the request may not be sent to a further endpoint, and
// withdraws a retry from the budget if that is due.
func (c *proxyCall) checkAttempt() *samphireturn.Refusal {
	if c.expired() {
		return c.deadlineRefusal()
	}
	if left := c.Isolator.Isolated(c.keys); left > 0 {
		return c.refusal(samphireturn.ForwardIsolated, left, c.lastErr)
	}
	if c.executions >= c.maxExecutions() || c.sends-min(c.misdirected, maxMisdirectedSends) >= c.route.MaxAttempts+extraUnexecutedSends && !c.begun {
		return c.refusal(samphireturn.ReasonEndpointFailed, busyRetryAfter, errors.Wrap(c.lastErr, "no attempt left"))
	}
	if c.sends > 0 && !c.retryPaid.Load() && !c.budget.TryWithdraw(c.retryReserve()) {
		retries.Add("no_budget", 1)
		return c.refusal(samphireturn.ReasonEndpointFailed, busyRetryAfter, errors.Wrap(c.lastErr, "no repeat left"))
	}
	c.retryPaid.Store(false)
	c.updateView()
	if c.hostsOutdated(c.view) {
		c.retryPaid.Store(c.sends > 0)
		return c.refusal(samphireturn.ReasonPlatformUnavailable, notReadyRetryAfter, c.lastErr)
	}
	return nil
}

// pickTarget reserves the endpoint of the next attempt or, if none can be dialled, the peer
// that makes it. It returns nil if there is neither.
func (c *proxyCall) pickTarget() (reservation *balancer.Reservation, byPeer bool) {
	if c.LinkLost() {
		if c.forPeer != nil {
			return nil, false
		}
		if reservation := c.pickPeer(); reservation != nil {
			return reservation, true
		}
	}
	if reservation := c.pick(); reservation != nil {
		return reservation, false
	}
	if !c.noneReachable() {
		return nil, false
	}
	reservation = c.pickPeer()
	return reservation, reservation != nil
}

// endpointFailed acts on an attempt that an endpoint did not execute or of which it sent no
// head. silentFor is how long it had sent nothing before. It returns a refusal if no further
// attempt is due.
func (c *proxyCall) endpointFailed(host *samphireturn.Host, silentFor time.Duration, err error) *samphireturn.Refusal {
	c.lastErr = err
	e := sender.AsError(err)
	c.pickRequest.Exclude[host.ID] = true
	c.Log.Debug().Str("event", logger.EventSendFailed).Str("id", c.request.ID).Str("endpoint", host.ID).Stringer("kind", e.Kind).
		Dur("quiet", silentFor).Err(err).Send()
	if e.Kind == sender.KindDial {
		c.undialled[host.ID] = true
		c.Balancer.RecordFailure(host, true)
		if e.Refused() {
			c.checkCrash(host, true)
		}
		c.startLinkCheck()
		// The retry has not reached any endpoint and pays for the next send.
		c.retryPaid.Store(c.sends > 0)
		return nil
	}
	c.sends++
	if e.NotReceived() {
		return nil
	}
	if errors.Is(err, errMisdirected) {
		// That tells nothing of the endpoints that the request may still go to.
		c.misdirected++
		return nil
	}
	if errors.Is(err, errNotExecuted) {
		if c.resumeWait > 0 || c.Balancer.Brittle(host) {
			// Each further round asks one endpoint, and the next one that is brittle is as full.
			return c.refusal(samphireturn.ReasonNoEndpoint, busyRetryAfter, err)
		}
		return nil
	}
	if c.r.Context().Err() == nil {
		c.Balancer.RecordFailure(host, false)
	}
	if refusal := c.mayHaveRun(err); refusal != nil {
		return refusal
	}
	c.excludeHost(host.ID, err)
	return nil
}

// mayHaveRun records that an endpoint may have executed the request without an answer. It
// returns a refusal if the request must not be sent again.
func (c *proxyCall) mayHaveRun(err error) *samphireturn.Refusal {
	c.executions++
	c.executed = samphireturn.ExecutedUnknown
	if c.route.Repeatable() {
		return nil
	}
	if c.ctx.Err() != nil {
		return c.deadlineRefusal()
	}
	return c.refusal(samphireturn.ReasonEndpointFailed, 0, err)
}

// retryReserve returns the part of the retry budget that a retry of this request leaves to
// others.
func (c *proxyCall) retryReserve() float64 {
	if c.begun {
		return 0
	}
	return resumeReserve
}

// errNotExecuted is the error of an attempt whose endpoint declared that it did not
// execute the request.
var errNotExecuted = errors.New("endpoint did not run the request")

// errMisdirected is the error of an attempt that another instance than the addressed one
// answered.
var errMisdirected = errors.Wrap(errNotExecuted, "another instance answered")

// updateView takes the latest view.
func (c *proxyCall) updateView() {
	if v := c.currentView(); v != nil {
		c.view = v
	}
}

// pick reserves an endpoint, or returns nil.
func (c *proxyCall) pick() *balancer.Reservation {
	c.pickRequest.LatencyClass = c.latencyClass()
	if c.release != "" {
		c.pickRequest.Hosts = c.Stager.ResumeHosts(c.view, c.pool.Name, c.request.Session, c.request.ID, c.release)
		if reservation := c.Balancer.Pick(&c.pickRequest); reservation != nil {
			return reservation
		}
	}
	c.pickRequest.Hosts = c.Stager.Hosts(c.view, c.pool.Name, c.request.Session, c.request.ID)
	reservation := c.Balancer.Pick(&c.pickRequest)
	if reservation != nil || len(c.failedHosts) == 0 {
		return reservation
	}
	// No other endpoint is left: one that failed may succeed now.
	for _, id := range c.failedHosts {
		delete(c.pickRequest.Exclude, id)
	}
	return c.Balancer.Pick(&c.pickRequest)
}

// excludeHost excludes an endpoint that answered with a failure from the next
// attempts, as long as others are left.
func (c *proxyCall) excludeHost(id string, err error) {
	c.pickRequest.Exclude[id] = true
	c.failedHosts = append(c.failedHosts, id)
	c.lastErr = err
}

// try sends the request to one endpoint and reads the head of its answer.
func (c *proxyCall) try(reservation *balancer.Reservation, limits waitLimits) (*attempt, error) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	host := reservation.Host
	a := &attempt{
		call: c, ctx: ctx, host: host, endpoint: host.ID, release: host.Release, balancer: c.Balancer, reservation: reservation, cancel: cancel,
		resumes: c.begun || c.forPeer != nil && c.forPeer.Resumes, answer: c.Isolator.Expect(host, c.keys), share: rationer.Share{Rationer: c.Answers},
	}
	a.startWatchdog(limits)
	attemptInfo := samphireturn.Attempt{Request: &c.request, Remaining: c.remaining(), Host: host, Team: c.team, LastEventID: c.lastEventID, Priority: -1}
	if c.pool.MemoryTokens > 0 {
		attemptInfo.Priority = min(max(c.priority, 0), maxPriority)
	}
	if len(c.route.Steps) > 0 {
		attemptInfo.Model = c.route.Steps[c.step]
	}
	c.logAttempt(reservation, attemptInfo)
	wait := c.Stager.RecordSend(host, c.latencyClass())
	defer wait.Cancel()
	call := c.senderCall(host)
	call.Header = c.EndpointProtocol.Header(c.r.Header, attemptInfo)
	response, err := c.Sender.Send(ctx, call)
	if err != nil {
		a.recordSendError(err)
		a.finish()
		meter.CountAttempt(c.route.Name, c.sends+1, sender.AsError(err).Kind.String())
		if !sender.AsError(err).NotReceived() {
			c.recordLostAnswer(wait)
			c.answerLost(host, stageSent, err)
		}
		return nil, err
	}
	a.Response = response
	meter.CountAttempt(c.route.Name, c.sends+1, "answered")
	if !response.Meta.NotExecuted && response.Meta.Pause == 0 {
		meter.ObserveFirstResponse(c.route.Name, c.Clock()-c.start)
		c.recordAnswer(wait, response.Status)
	}
	ended := reservation.ObserveHead(response.Meta)
	if ended.Trial {
		c.Log.Info().Str("event", logger.EventPauseOver).Str("endpoint", host.ID).Str("centre", host.Centre).Send()
	}
	if ended.Limit {
		meter.CountLimit(meter.LimitEnded)
		c.Log.Info().Str("event", logger.EventLimitOver).Str("endpoint", host.ID).Str("centre", host.Centre).Bool("heard", false).Send()
	}
	if ended.Brittle {
		meter.CountBrittle(meter.BrittleEnded)
		c.Log.Info().Str("event", logger.EventBrittleOver).Str("endpoint", host.ID).Str("centre", host.Centre).Send()
	}
	c.recordSuspicion(host, ended.Suspicion)
	if response.Meta.NotExecuted {
		a.answer.Cancel()
		a.close()
		c.recordFailure(a)
		if response.Meta.Misdirected {
			return nil, errMisdirected
		}
		return nil, errNotExecuted
	}
	a.answer.Begin()
	return a, nil
}

// senderCall returns the call that sends the request to a target, without its header.
func (c *proxyCall) senderCall(target *samphireturn.Host) *sender.Call {
	return &sender.Call{
		Host:      target,
		ID:        c.request.ID,
		Method:    c.r.Method,
		Target:    c.r.RequestURI,
		Authority: c.r.Host,
		Body:      c.body,
		HasBody:   c.r.ContentLength > 0 || len(c.r.TransferEncoding) > 0 || c.r.Header.Get("Content-Length") != "",
		Once:      !c.route.Repeatable(),
	}
}

// recordFailure records that the endpoint of an attempt failed it, unless its answer only
// asks for a pause. Of an attempt by way of a peer, the peer knows more.
func (c *proxyCall) recordFailure(a *attempt) {
	if !a.byPeer && a.Meta.Pause == 0 {
		c.Balancer.RecordFailure(a.host, false)
	}
}

// recordSuspicion logs and counts what an answer changed about the group of its endpoint.
func (c *proxyCall) recordSuspicion(h *samphireturn.Host, s balancer.Suspicion) {
	if s.Misdirected {
		meter.CountSuspicion(meter.SuspicionMisdirected)
		c.Log.Info().Str("event", logger.EventMisdirected).Str("id", c.request.ID).Str("endpoint", h.ID).Str("pool", h.Pool).Str("centre", h.Centre).
			Dur("length", s.Length).Bool("confirmed", s.Confirmed).Send()
	}
	if s.Began {
		meter.CountSuspicion(meter.SuspicionBegun)
	}
	if s.Confirmed {
		meter.CountSuspicion(meter.SuspicionConfirmed)
	}
	if s.Ended {
		meter.CountSuspicion(meter.SuspicionEnded)
		c.Log.Info().Str("event", logger.EventSuspicionOver).Str("endpoint", h.ID).Str("pool", h.Pool).Str("centre", h.Centre).Send()
	}
}

// recordAnswer counts an answer for or against the release of its endpoint. A request that
// fails at a second endpoint is counted once: that is likely to be due to the request.
func (c *proxyCall) recordAnswer(wait *stager.Wait, status int) {
	failed := status >= http.StatusInternalServerError
	if failed && c.failed {
		wait.Cancel()
		return
	}
	c.failed = c.failed || failed
	wait.Answer(failed)
}

// recordLostAnswer counts an answer that did not arrive, unless the caller left.
func (c *proxyCall) recordLostAnswer(wait *stager.Wait) {
	switch {
	case c.r.Context().Err() != nil:
		// The caller left.
	case c.ctx.Err() != nil:
		wait.Timeout()
	default:
		wait.Answer(true)
	}
}

// recordBrokenAnswer counts an answer that broke off, unless the caller left. One that came
// by way of a peer is counted there.
func (c *proxyCall) recordBrokenAnswer(a *attempt) {
	switch {
	case a.byPeer:
	case c.r.Context().Err() != nil:
		// The caller left.
	case c.ctx.Err() != nil:
		c.Stager.RecordTimeout(a.host, c.latencyClass())
	default:
		c.Stager.RecordAnswer(a.host, c.latencyClass(), true, 0)
	}
}

// answerLost logs an answer that an endpoint did not complete, and finds out whether the
// endpoint crashed.
func (c *proxyCall) answerLost(h *samphireturn.Host, stage string, err error) {
	c.logLostAnswer(h.ID, stage, err)
	if c.mayProbe(c.view, h) && !c.LinkLost() {
		c.checkCrash(h, false)
	}
}

// logLostAnswer logs an answer that an endpoint did not complete.
func (c *proxyCall) logLostAnswer(endpoint, stage string, err error) {
	parts := make([]string, 0, maxLoggedParts)
	for i, p := range c.request.Parts {
		if i < len(c.request.Parts)-1 && i < maxLoggedParts {
			parts = append(parts, p.ID)
		}
	}
	c.Log.Info().Str("event", logger.EventAnswerLost).Str("id", c.request.ID).Str("route", c.route.Name).Str("endpoint", endpoint).
		Str("stage", stage).Str("request", string(c.keys[0])).Strs("parts", parts).Err(err).Send()
}

// logAttempt logs the endpoint of an attempt and the load by which it was chosen.
func (c *proxyCall) logAttempt(reservation *balancer.Reservation, attemptInfo samphireturn.Attempt) {
	c.Log.Info().Str("event", logger.EventSent).Str("id", c.request.ID).Str("route", c.route.Name).
		Str("endpoint", reservation.Host.ID).Str("centre", reservation.Host.Centre).Str("release", reservation.Host.Release).Str("model", attemptInfo.Model).
		Bool("for_peer", c.forPeer != nil).Int("attempt", c.sends+1).Int("running", reservation.InFlight).Dur("delay", reservation.EstimatedDelay).Float64("pace", reservation.Pace).Bool("cold", reservation.WarmingUp).
		Dur("left", attemptInfo.Remaining).Int64("table", c.view.Table.Version).Dur("age", c.tableAge(c.view)).Send()
}

// latencyClass returns the latency class of the request with the current model.
func (c *proxyCall) latencyClass() string { return c.latencyClassAt(c.step) }

// latencyClassAt is latencyClass for the model at a step of the cascade.
func (c *proxyCall) latencyClassAt(step int) string {
	if len(c.route.Steps) > 0 {
		return c.route.Name + " " + c.route.Steps[step]
	}
	return c.route.Name
}

// writeHead writes the head of an answer to the caller.
func (c *proxyCall) writeHead(a *attempt) {
	c.firstByte = c.Clock() - c.start
	h := c.w.Header()
	for name, values := range a.Header {
		if c.CallerProtocol.ForwardHeader(name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	c.announceClose()
	c.w.WriteHeader(a.Status)
}
