// Package router runs one request: it picks an endpoint, reserves its budget,
// sends the request and repeats it elsewhere where that is safe.
package router

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/traffic/budgeter"
	"samphireturn/internal/traffic/dispatcher"
	"samphireturn/internal/traffic/limiter"
	"samphireturn/internal/traffic/picker"
)

const (
	defaultAttempts = 3
	busyWait        = time.Second // wait told to a caller when every endpoint is full
	emptyWait       = 2 * time.Second
)

var retries = expvar.NewMap("router_retry")

// Observer learns how requests went. Its methods must not block.
type Observer interface {
	// Sent is called after each answer or failure of an endpoint. Err is nil
	// after a success. First is the time until the answer's first bytes.
	Sent(e *samphireturn.Endpoint, v samphireturn.VersionRef, first time.Duration, err *dispatcher.Error)
}

// Observers passes what it learns on to each observer in turn.
type Observers []Observer

// Sent calls Sent of each observer.
func (o Observers) Sent(e *samphireturn.Endpoint, v samphireturn.VersionRef, first time.Duration, err *dispatcher.Error) {
	for _, each := range o {
		each.Sent(e, v, first, err)
	}
}

// Work is a request that is ready to be sent.
type Work struct {
	Request *samphireturn.Request
	// Version is the version to run on; zero for a plain service.
	Version samphireturn.VersionRef
	// Service is the plain service to call; empty for a model.
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Repeatable is true if the work may run more than once.
	Repeatable bool
}

// Router sends work to endpoints. Set the exported fields before use.
type Router struct {
	Control    samphireturn.Control
	Picker     *picker.Picker
	Limiter    *limiter.Limiter
	Dispatcher *dispatcher.Dispatcher
	Retries    *budgeter.Budgeter
	// Observer may be nil.
	Observer Observer
}

// Stream is a running stream together with its reservation. Close it.
type Stream struct {
	*dispatcher.Stream
	Endpoint *samphireturn.Endpoint

	first   []byte
	release func()
}

// Next returns the data of the next event as dispatcher.Stream does.
func (s *Stream) Next() ([]byte, error) {
	if s.first != nil {
		data := s.first
		s.first = nil
		return data, nil
	}
	return s.Stream.Next()
}

// Close ends the stream and returns its reservation.
func (s *Stream) Close() error {
	err := s.Stream.Close()
	s.release()
	return err
}

// Send runs work and returns the whole answer and the endpoint that gave it.
// Errors are of type *samphireturn.Refusal.
func (r *Router) Send(ctx context.Context, w Work) (*dispatcher.Answer, *samphireturn.Endpoint, error) {
	var answer *dispatcher.Answer
	e, err := r.attempt(ctx, w, func(e *samphireturn.Endpoint) error {
		defer r.Limiter.Release(e, w.cost())
		var err error
		answer, err = r.Dispatcher.Send(ctx, w.call(e))
		return err
	})
	return answer, e, err
}

// Open runs work whose answer is a stream. It returns once the first event has
// come, so that a stream which fails before that can be run elsewhere. Errors
// are of type *samphireturn.Refusal.
func (r *Router) Open(ctx context.Context, w Work) (*Stream, error) {
	var s *Stream
	_, err := r.attempt(ctx, w, func(e *samphireturn.Endpoint) error {
		release := func() { r.Limiter.Release(e, w.cost()) }
		inner, err := r.Dispatcher.Open(ctx, w.call(e))
		if err != nil {
			release()
			return err
		}
		first, err := inner.Next()
		if err != nil {
			_ = inner.Close()
			release()
			return err
		}
		s = &Stream{Stream: inner, Endpoint: e, first: first, release: release}
		return nil
	})
	return s, err
}

// attempt sends w to one endpoint after another until one answers.
func (r *Router) attempt(ctx context.Context, w Work, send func(*samphireturn.Endpoint) error) (*samphireturn.Endpoint, error) {
	var (
		tried []string
		last  *dispatcher.Error
		run   = samphireturn.RunNo
	)
	retry := r.Control.Snapshot().Config.Retry
	r.Retries.Earn(retry.Share)
	attempts := retry.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	for n := 0; n < attempts; n++ {
		e, refusal := r.reserve(w, tried)
		if refusal != nil {
			return nil, exhausted(refusal, last, run)
		}
		tried = append(tried, e.ID)
		start := time.Now()
		err := send(e)
		if err == nil {
			r.observe(e, w, time.Since(start), nil)
			return e, nil
		}
		last = dispatcher.AsError(err)
		run = samphireturn.WorseRun(run, last.Run)
		r.observe(e, w, time.Since(start), last)
		if last.Kind == dispatcher.KindStatus && last.Answer.Status < http.StatusInternalServerError {
			break
		}
		if ctx.Err() != nil {
			return nil, &samphireturn.Refusal{Reason: samphireturn.ReasonDeadline, Run: run, Err: last}
		}
		if !w.Repeatable && last.Run != samphireturn.RunNo {
			break
		}
		if n+1 < attempts && !r.Retries.Spend() {
			retries.Add("over_budget", 1)
			break
		}
		retries.Add(last.Kind.String(), 1)
	}
	return nil, failed(last, run)
}

// reserve picks an endpoint and reserves its budget. It reads the snapshot
// anew, since an earlier attempt may have changed it.
func (r *Router) reserve(w Work, tried []string) (*samphireturn.Endpoint, *samphireturn.Refusal) {
	s := r.Control.Snapshot()
	for {
		e, err := r.pick(s, w, tried)
		if err != nil {
			return nil, r.none(s, w, err)
		}
		if r.Limiter.Acquire(e, w.cost()) {
			return e, nil
		}
		tried = append(tried, e.ID)
	}
}

// pick chooses an endpoint for w.
func (r *Router) pick(s *samphireturn.Snapshot, w Work, tried []string) (*samphireturn.Endpoint, error) {
	if w.Service != "" {
		return r.Picker.Service(s, w.Service, tried)
	}
	return r.Picker.Endpoint(s, w.Request, w.Version, tried)
}

// none returns the refusal for work that no endpoint can take now.
func (r *Router) none(s *samphireturn.Snapshot, w Work, err error) *samphireturn.Refusal {
	pool := s.Pools[w.Version]
	if w.Service != "" {
		pool = s.Services[w.Service]
	}
	if len(pool) == 0 {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonEmpty, Run: samphireturn.RunNo, RetryAfter: emptyWait, Err: err}
	}
	return &samphireturn.Refusal{Reason: samphireturn.ReasonBusy, Run: samphireturn.RunNo, RetryAfter: busyWait, Err: err}
}

// observe tells the observer of an attempt.
func (r *Router) observe(e *samphireturn.Endpoint, w Work, first time.Duration, err *dispatcher.Error) {
	if r.Observer != nil {
		r.Observer.Sent(e, w.Version, first, err)
	}
}

// cost is the work in the unit of the endpoint's budget.
func (w Work) cost() int64 {
	if w.Service != "" {
		return 1
	}
	return int64(w.Request.Prompt) + int64(w.Request.Output)
}

// call returns the call of w to an endpoint.
func (w Work) call(e *samphireturn.Endpoint) dispatcher.Call {
	return dispatcher.Call{
		Endpoint: e,
		ID:       w.Request.ID,
		Method:   w.Method,
		Path:     w.Path,
		Header:   w.Header,
		Body:     w.Body,
		Priority: w.Request.Priority,
		Model:    w.Service == "",
		Once:     !w.Repeatable,
	}
}

// exhausted returns the refusal for a request that has no endpoint left, after
// the last failure, if any.
func exhausted(r *samphireturn.Refusal, last *dispatcher.Error, run string) *samphireturn.Refusal {
	if last == nil {
		return r
	}
	r.Run = run
	r.Err = errors.Wrap(last, r.Reason)
	return r
}

// failed returns the refusal for a request whose last attempt failed.
func failed(last *dispatcher.Error, run string) *samphireturn.Refusal {
	wait := last.RetryAfter
	reason := samphireturn.ReasonEndpoint
	if last.Kind == dispatcher.KindRefused {
		reason = samphireturn.ReasonBusy
		wait = max(wait, busyWait)
	}
	return &samphireturn.Refusal{Reason: reason, Run: run, RetryAfter: wait, Err: last}
}
