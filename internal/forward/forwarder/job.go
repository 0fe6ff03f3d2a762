package forwarder

import (
	"cmp"
	"context"
	"expvar"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/matcher"
	"samphireturn/internal/forward/sender"
	"samphireturn/internal/traffic/budgeter"
)

const (
	// defaultLimit bounds a request whose caller and route set no time.
	defaultLimit = 60 * time.Second
	// unready is when to come back to a daemon that lacks a table or its proof.
	unready = 700 * time.Millisecond
	// crowded is when to come back where all endpoints are full.
	crowded = 500 * time.Millisecond
	// retrySpread is the part of a time to come back by which callers' differ.
	retrySpread = 0.5
	// spareSends bounds the sends beyond a route's attempts that were not run.
	spareSends = 2
	// maxPriority is the rank of the least urgent requests at an engine.
	maxPriority = 9
)

var (
	requests = expvar.NewMap("forwarder_request")
	refusals = expvar.NewMap("forwarder_refusal")
	repeats  = expvar.NewMap("forwarder_repeat")

	errStalled = errors.New("endpoint makes no progress")
)

// job is one request on its way.
type job struct {
	*Forwarder
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	start time.Duration
	limit time.Duration

	ask    samphireturn.CallerRequest
	view   *samphireturn.View
	match  *matcher.Matcher
	route  *samphireturn.Route
	pool   *samphireturn.Pool
	budget *budgeter.Window
	team   string
	rank   int
	body   []byte
	want   balancer.Want

	// sends counts the requests that reached an endpoint; runs those that may have
	// run there.
	sends, runs int
	// paid is true if the next send was taken from the budget already.
	paid atomic.Bool
	// run is what is known of the request's run.
	run string
	// outcome is how the request ended, for the meters.
	outcome string
	// step is the model of the cascade in use.
	step int
	// last is the last event passed on.
	last string
	// first is when the caller got the first bytes of the answer, since the start.
	first time.Duration
	// failed are the endpoints whose failure was an answer. Fault is the last failure of
	// any kind.
	failed []string
	fault  error
}

// admit finds the route, the team and the pool, and reads the body.
func (j *job) admit() *samphireturn.Refusal {
	j.ask = j.CallerProtocol.Decode(j.r)
	j.view = j.current()
	if j.view == nil || !j.view.Synced {
		return refusal(samphireturn.ReasonNotReady, unready, nil)
	}
	j.match = j.matcher(j.view.Table)
	j.route = j.match.Route(j.r.Host, j.r.URL.Path)
	if j.route == nil {
		return j.missing(samphireturn.ForwardNoRoute)
	}
	if refusal := j.authorize(); refusal != nil {
		return refusal
	}
	if j.ask.ID == "" {
		return refusal(samphireturn.ReasonBadRequest, 0, errors.New("request without an id"))
	}
	j.pool = j.match.Target(j.route, cmp.Or(j.ask.Session, j.ask.ID))
	if j.pool == nil {
		return refusal(samphireturn.ReasonNoEndpoint, crowded, nil)
	}
	requests.Add(j.route.Work.String(), 1)
	j.limit = j.bound()
	j.last = j.ask.LastEventID
	j.describe()
	j.budget = j.Forwarder.budget(j.pool.Name)
	if refusal := j.read(); refusal != nil {
		return refusal
	}
	if !j.route.Repeatable() && !j.once.add(j.ask.ID, j.start) {
		return refusal(samphireturn.ReasonBadRequest, 0, errors.New("id of an earlier request"))
	}
	j.budget.CountRequest()
	return nil
}

// name returns the name of the request's route, or "none".
func (j *job) name() string {
	if j.route == nil {
		return "none"
	}
	return j.route.Name
}

// missing refuses what the table lacks. A table that may be out of date can't
// say so.
func (j *job) missing(reason string) *samphireturn.Refusal {
	if !j.FreshForMisses() {
		return refusal(samphireturn.ReasonNotReady, unready, errors.New(reason))
	}
	return refusal(reason, 0, nil)
}

// authorize finds the team of the request's key.
func (j *job) authorize() *samphireturn.Refusal {
	j.rank = j.route.Priority
	if !j.match.Keyed() {
		return nil
	}
	holder := j.match.Holder(j.ask.Key)
	if holder != nil {
		j.team = holder.Name
		if holder.HasPriority {
			j.rank = holder.Priority
		}
	}
	if j.route.Public {
		return nil
	}
	if !j.FreshForKeys() {
		return refusal(samphireturn.ReasonPlatformUnavailable, unready, nil)
	}
	if holder == nil {
		return j.missing(samphireturn.ReasonUnauthorized)
	}
	return nil
}

// bound returns the time until the final answer is due.
func (j *job) bound() time.Duration {
	limit := defaultLimit
	if j.ask.Timeout > 0 {
		limit = min(limit, j.ask.Timeout)
	}
	if j.route.Timeout > 0 {
		limit = min(limit, j.route.Timeout)
	}
	return limit - j.Clock() + j.start
}

// read reads the body whole, so that it can be sent again.
func (j *job) read() *samphireturn.Refusal {
	limit := int64(cmp.Or(j.view.Table.Limits.BodyBytes, bodyLimit))
	control := http.NewResponseController(j.w)
	if err := control.SetReadDeadline(time.Now().Add(j.limit)); err != nil {
		return refusal(samphireturn.ReasonBadRequest, 0, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refusal(samphireturn.ReasonTooLarge, 0, err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal(samphireturn.ForwardRequestSlow, 0, err)
	}
	if err != nil {
		return refusal(samphireturn.ReasonBadRequest, 0, err)
	}
	j.body = body
	// The rest of the connection's life has time-outs of its own.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return refusal(samphireturn.ReasonBadRequest, 0, err)
	}
	return nil
}

// describe says what the request needs of an endpoint.
func (j *job) describe() {
	j.want = balancer.Want{
		Pool:    j.pool,
		Avoid:   make(map[string]bool),
		Members: j.view.Members,

		Prompt:    j.ask.PromptTokens,
		Objective: j.route.Objective,
	}
	if j.pool.MemoryTokens > 0 {
		j.want.Tokens = j.ask.PromptTokens + j.ask.MaxOutputTokens/2
	}
	if n := len(j.ask.Parts); n > 1 {
		// The last part is the request's own.
		j.want.Subject = j.ask.Parts[n-2].ID
		for _, p := range j.ask.Parts[:n-1] {
			j.want.Shared += p.Tokens
		}
	}
}

// left returns how long the caller still waits.
func (j *job) left() time.Duration { return j.limit - (j.Clock() - j.start) }

// send sends the request to one endpoint after the other until one answers that
// it runs it, or nothing more may be tried.
func (j *job) send(p patience) (*attempt, *samphireturn.Refusal) {
	for {
		if j.ctx.Err() != nil {
			return nil, j.over()
		}
		if j.runs >= j.route.MaxAttempts || j.sends >= j.route.MaxAttempts+spareSends {
			return nil, j.refusal(samphireturn.ReasonEndpointFailed, crowded, errors.Wrap(j.fault, "no attempt left"))
		}
		if j.sends > 0 && !j.paid.Load() && !j.budget.TryWithdraw(0) {
			repeats.Add("no_budget", 1)
			return nil, j.refusal(samphireturn.ReasonEndpointFailed, crowded, errors.Wrap(j.fault, "no repeat left"))
		}
		j.paid.Store(false)
		ticket := j.pick()
		if ticket == nil {
			return nil, j.refusal(samphireturn.ReasonNoEndpoint, crowded, j.fault)
		}
		host := ticket.Host
		quiet := j.Balancer.Quiet(host)
		a, err := j.try(ticket, p)
		if err == nil {
			return a, nil
		}
		j.fault = err
		e := sender.AsError(err)
		j.want.Avoid[host.ID] = true
		j.Log.Debug().Str("event", logger.EventSendFailed).Str("id", j.ask.ID).Str("endpoint", host.ID).Stringer("kind", e.Kind).
			Dur("quiet", quiet).Err(err).Send()
		if e.Kind == sender.KindDial {
			j.Balancer.Fault(host, true)
			continue
		}
		j.sends++
		if e.NotRun() {
			continue
		}
		if errors.Is(err, errNotRun) {
			continue
		}
		if j.r.Context().Err() == nil {
			j.Balancer.Fault(host, false)
		}
		j.runs++
		j.run = samphireturn.ExecutedUnknown
		if !j.route.Repeatable() {
			if j.ctx.Err() != nil {
				return nil, j.over()
			}
			return nil, j.refusal(samphireturn.ReasonEndpointFailed, 0, err)
		}
	}
}

// errNotRun says that the endpoint did not run the request.
var errNotRun = errors.New("endpoint did not run the request")

// pick chooses an endpoint by the newest view.
func (j *job) pick() *balancer.Ticket {
	if v := j.current(); v != nil {
		j.view = v
	}
	j.want.Hosts = j.Stager.Hosts(j.view, j.pool.Name, j.ask.Session, j.ask.ID)
	j.want.Kind = j.kind()
	ticket := j.Balancer.Pick(&j.want)
	if ticket != nil || len(j.failed) == 0 {
		return ticket
	}
	// No other endpoint is left: one that answers may do better the next time.
	for _, id := range j.failed {
		delete(j.want.Avoid, id)
	}
	return j.Balancer.Pick(&j.want)
}

// avoid notes that an endpoint answered with a failure.
func (j *job) avoid(h *samphireturn.Host, err error) {
	j.want.Avoid[h.ID] = true
	j.failed = append(j.failed, h.ID)
	j.fault = err
}

// try sends the request to one endpoint.
func (j *job) try(ticket *balancer.Ticket, p patience) (*attempt, error) {
	ctx, cancel := context.WithCancelCause(j.ctx)
	host := ticket.Host
	a := &attempt{job: j, ctx: ctx, host: host, ticket: ticket, cancel: cancel}
	a.watch(p)
	send := samphireturn.Attempt{Request: &j.ask, Remaining: j.left(), Host: host, Team: j.team, LastEventID: j.last, Priority: -1}
	if j.pool.MemoryTokens > 0 {
		send.Priority = min(max(j.rank, 0), maxPriority)
	}
	if len(j.route.Steps) > 0 {
		send.Model = j.route.Steps[j.step]
	}
	sent := j.Clock()
	j.sent(ticket, send)
	reply, err := j.Sender.Send(ctx, &sender.Call{
		Host:      host,
		ID:        j.ask.ID,
		Method:    j.r.Method,
		Target:    j.r.RequestURI,
		Authority: j.r.Host,
		Header:    j.EndpointProtocol.Header(j.r.Header, send),
		Body:      j.body,
		Length:    j.r.ContentLength > 0 || len(j.r.TransferEncoding) > 0 || j.r.Header.Get("Content-Length") != "",
		Once:      !j.route.Repeatable(),
	})
	if err != nil {
		a.end()
		meter.CountAttempt(j.route.Name, j.sends+1, sender.AsError(err).Kind.String())
		if !sender.AsError(err).NotRun() {
			j.broke(host)
		}
		return nil, err
	}
	a.Response = reply
	meter.CountAttempt(j.route.Name, j.sends+1, "answered")
	if !reply.Meta.NotExecuted {
		meter.ObserveFirst(j.route.Name, j.Clock()-j.start)
		j.Stager.Answered(host, j.kind(), reply.Status >= http.StatusInternalServerError, j.Clock()-sent)
	}
	ticket.Begin(reply.Meta)
	if reply.Meta.NotExecuted {
		a.close()
		j.Balancer.Fault(host, reply.Meta.Misdirected)
		return nil, errNotRun
	}
	return a, nil
}

// broke counts an answer that an endpoint did not give, or broke off.
func (j *job) broke(h *samphireturn.Host) {
	switch {
	case j.r.Context().Err() != nil:
		// The caller left.
	case j.ctx.Err() != nil:
		j.Stager.Late(h, j.kind())
	default:
		j.Stager.Answered(h, j.kind(), true, 0)
	}
}

// sent logs where the request goes and what spoke for it.
func (j *job) sent(t *balancer.Ticket, s samphireturn.Attempt) {
	j.Log.Info().Str("event", logger.EventSent).Str("id", j.ask.ID).Str("route", j.route.Name).
		Str("endpoint", t.Host.ID).Str("centre", t.Host.Centre).Str("release", t.Host.Release).Str("model", s.Model).
		Int("attempt", j.sends+1).Int("running", t.Running).Dur("delay", t.Delay).Bool("cold", t.Cold).
		Dur("left", s.Remaining).Int64("table", j.view.Table.Version).Dur("age", j.TableAge()).Send()
}

// kind names the requests whose answers take alike long.
func (j *job) kind() string { return j.kindAt(j.step) }

// kindAt is kind with another model of the cascade.
func (j *job) kindAt(step int) string {
	if len(j.route.Steps) > 0 {
		return j.route.Name + " " + j.route.Steps[step]
	}
	return j.route.Name
}

// over returns the refusal of a request whose time is over or whose caller left.
func (j *job) over() *samphireturn.Refusal {
	return j.refusal(samphireturn.ReasonDeadline, crowded, context.Cause(j.ctx))
}

// refusal returns a refusal with what is known of the run.
func (j *job) refusal(reason string, after time.Duration, err error) *samphireturn.Refusal {
	r := refusal(reason, after, err)
	r.Executed = j.run
	return r
}

func refusal(reason string, after time.Duration, err error) *samphireturn.Refusal {
	return &samphireturn.Refusal{Reason: reason, Executed: samphireturn.ExecutedNo, RetryAfter: after, Err: err}
}

// refuse tells the caller that the request failed.
func (j *job) refuse(refusal *samphireturn.Refusal) {
	refusals.Add(refusal.Reason, 1)
	meter.CountRefusal(refusal.Reason)
	// Callers that are refused together must not come back together.
	refusal.RetryAfter = time.Duration((1 - retrySpread/2 + retrySpread*j.Rand()) * float64(refusal.RetryAfter))
	// A body that is late ends the request's context too, but its caller is there.
	if j.r.Context().Err() != nil && refusal.Reason != samphireturn.ForwardRequestSlow {
		// The caller left; nobody reads an answer.
		j.Log.Info().Str("event", logger.EventCallerLeft).Str("id", j.ask.ID).Str("route", j.name()).Int("sends", j.sends).
			Dur("took", j.Clock()-j.start).Send()
		panic(http.ErrAbortHandler)
	}
	j.outcome = meter.OutcomeFailed
	if refusal.Executed == samphireturn.ExecutedNo {
		j.outcome = meter.OutcomeRefused
	}
	line := j.Log.Warn().Str("event", logger.EventRefused).Str("id", j.ask.ID).Str("reason", refusal.Reason).Str("run", refusal.Executed).
		Str("route", j.name()).Int("sends", j.sends).Dur("took", j.Clock()-j.start).Dur("age", j.TableAge()).
		Dur("retry", refusal.RetryAfter)
	if j.view != nil && j.view.Table != nil {
		line = line.Int64("table", j.view.Table.Version)
	}
	line.Err(refusal.Err).Send()
	j.CallerProtocol.WriteError(j.w, j.ask, refusal)
}

// head passes on the head of an answer.
func (j *job) head(a *attempt) {
	j.first = j.Clock() - j.start
	h := j.w.Header()
	for name, values := range a.Header {
		if j.CallerProtocol.ForwardHeader(name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	j.w.WriteHeader(a.Status)
}
