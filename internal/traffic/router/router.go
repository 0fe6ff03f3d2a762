// Package router runs one request: it picks an endpoint, reserves its budget,
// sends the request and repeats it elsewhere where that is safe.
package router

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"time"

	"samphireturn"
	"samphireturn/internal/traffic/budgeter"
	"samphireturn/internal/traffic/dispatcher"
	"samphireturn/internal/traffic/limiter"
	"samphireturn/internal/traffic/picker"
	"samphireturn/internal/traffic/queuer"
)

const (
	defaultAttempts = 3
	retryPause      = 20 * time.Millisecond // bound of the first pause; doubles
)

var retries = expvar.NewMap("router_retry")

// Observer learns how requests went. Its methods must not block.
type Observer interface {
	// Sent is called after each answer or failure of an endpoint. Err is nil
	// after a success. First is the time until the first token; zero if it is not
	// known, as for a whole answer.
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
	// Weight is the team's part when capacity is short; zero means 1.
	Weight float64
	// Overflow is true if the caller passes work that finds no room here on to
	// another data centre.
	Overflow bool
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
	// Queue holds the requests that wait for room.
	Queue *queuer.Queuer
	// Rand returns a number in [0, 1); nil means math/rand/v2.
	Rand func() float64
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

// Ready reports whether the next event has been read already.
func (s *Stream) Ready() bool { return s.first != nil || s.Stream.Ready() }

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
	e, err := r.attempt(ctx, w, func(e *samphireturn.Endpoint) (time.Duration, error) {
		defer r.release(e, w)
		var err error
		answer, err = r.Dispatcher.Send(ctx, r.call(e, w))
		return 0, err
	})
	return answer, e, err
}

// Open runs work whose answer is a stream. It returns once the first event has
// come, so that a stream which fails before that can be run elsewhere. Errors
// are of type *samphireturn.Refusal.
func (r *Router) Open(ctx context.Context, w Work) (*Stream, error) {
	var s *Stream
	_, err := r.attempt(ctx, w, func(e *samphireturn.Endpoint) (time.Duration, error) {
		release := func() { r.release(e, w) }
		start := time.Now()
		inner, err := r.Dispatcher.Open(ctx, r.call(e, w))
		if err != nil {
			release()
			return 0, err
		}
		first, err := inner.Next()
		if err != nil {
			_ = inner.Close()
			release()
			return 0, err
		}
		s = &Stream{Stream: inner, Endpoint: e, first: first, release: release}
		return time.Since(start), nil
	})
	return s, err
}

// attempt sends w to one endpoint after another until one answers. Send returns
// the time until the first token, if it knows it.
func (r *Router) attempt(ctx context.Context, w Work, send func(*samphireturn.Endpoint) (time.Duration, error)) (*samphireturn.Endpoint, error) {
	var (
		tried []string
		last  *dispatcher.Error
		run   = samphireturn.ExecutedNo
	)
	retry := r.Control.Snapshot().Config.Retry
	r.Retries.Deposit(retry.Share)
	attempts := cmp.Or(retry.MaxAttempts, defaultAttempts)
	for n := 0; n < attempts; n++ {
		e, refusal := r.place(ctx, w, tried)
		if refusal != nil && last != nil {
			return nil, failed(last, run)
		}
		if refusal != nil {
			return nil, refusal
		}
		tried = append(tried, e.ID)
		first, err := send(e)
		if err == nil {
			r.observe(e, w, first, nil)
			return e, nil
		}
		last = dispatcher.AsError(err)
		run = samphireturn.MergeExecuted(run, last.Run)
		r.observe(e, w, 0, last)
		if last.Kind == dispatcher.KindStatus && last.Answer.Status < http.StatusInternalServerError {
			break
		}
		if ctx.Err() != nil {
			return nil, &samphireturn.Refusal{Reason: samphireturn.ReasonDeadline, Executed: run, Err: last}
		}
		if !w.Repeatable && last.Run != samphireturn.ExecutedNo {
			break
		}
		if n+1 < attempts && !r.Retries.TryWithdraw() {
			retries.Add("over_budget", 1)
			break
		}
		if n+1 < attempts {
			retries.Add(last.Kind.String(), 1)
			r.pause(ctx, n)
		}
	}
	return nil, failed(last, run)
}

// pause waits for a random time before the retry that follows n others.
func (r *Router) pause(ctx context.Context, n int) {
	draw := rand.Float64
	if r.Rand != nil {
		draw = r.Rand
	}
	timer := time.NewTimer(time.Duration(draw() * float64(retryPause<<n)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ref names the pool that w runs in.
func (w Work) ref() samphireturn.VersionRef {
	if w.Service != "" {
		return samphireturn.ServiceRef(w.Service)
	}
	return w.Version
}

// release returns what w took at e and lets a waiting request try.
func (r *Router) release(e *samphireturn.Endpoint, w Work) {
	r.Limiter.Release(e, w.cost())
	r.Queue.Released(w.ref(), w.cost())
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
	return int64(w.Request.PromptTokens) + int64(w.Request.OutputTokens)
}

// call returns the call of w to an endpoint.
func (r *Router) call(e *samphireturn.Endpoint, w Work) dispatcher.Call {
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
		Valid:    func() bool { return r.Limiter.Valid(e) },
	}
}

// failed returns the refusal for a request whose last attempt failed.
func failed(last *dispatcher.Error, run string) *samphireturn.Refusal {
	wait := last.RetryAfter
	reason := samphireturn.ReasonEndpointFailed
	if last.Kind == dispatcher.KindRefused {
		reason = samphireturn.ReasonBusy
		wait = max(wait, busyWait)
	}
	return &samphireturn.Refusal{Reason: reason, Executed: run, RetryAfter: wait, Err: last}
}
