// Package router sends a request to an endpoint: it picks one, reserves
// quota there, sends the request and retries it at other endpoints where that is safe.
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
	defaultMaxAttempts = 3
	initialBackoff     = 20 * time.Millisecond // upper bound of the first backoff; doubles with each retry
)

var retries = expvar.NewMap("router_retry")

// Observer receives the result of each attempt. Its methods must not block.
type Observer interface {
	// ObserveAttempt is called after each answer or failure of an endpoint. Err is nil
	// after a success. First is the time to the first token; zero if unknown, as for
	// an answer that is not streamed.
	ObserveAttempt(e *samphireturn.Endpoint, v samphireturn.VersionRef, first time.Duration, err *dispatcher.Error)
}

// Observers calls several observers in order.
type Observers []Observer

// ObserveAttempt calls ObserveAttempt of each observer.
func (o Observers) ObserveAttempt(e *samphireturn.Endpoint, v samphireturn.VersionRef, timeToFirst time.Duration, err *dispatcher.Error) {
	for _, each := range o {
		each.ObserveAttempt(e, v, timeToFirst, err)
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
	// Weight is the team's share when capacity is short; zero means 1.
	Weight float64
	// Overflow is true if the caller forwards work that is refused for lack of
	// capacity to another data centre.
	Overflow bool
	// Retryable is true if the work may be executed more than once.
	Retryable bool
}

// Router sends work to endpoints. Set the exported fields before use.
type Router struct {
	Control    samphireturn.Control
	Picker     *picker.Picker
	Limiter    *limiter.Limiter
	Dispatcher *dispatcher.Dispatcher
	Retries    *budgeter.Budgeter
	// Queue holds the requests that wait for capacity.
	Queue *queuer.Queuer
	// Rand returns a number in [0, 1); nil means math/rand/v2.
	Rand func() float64
	// Observer may be nil.
	Observer Observer
}

// Stream is a running stream with its reserved quota. It must be closed.
type Stream struct {
	*dispatcher.Stream
	Endpoint *samphireturn.Endpoint

	firstEvent []byte
	release    func()
}

// Next returns the data of the next event, as dispatcher.Stream.Next does.
func (s *Stream) Next() ([]byte, error) {
	if s.firstEvent != nil {
		data := s.firstEvent
		s.firstEvent = nil
		return data, nil
	}
	return s.Stream.Next()
}

// Ready reports whether the next event has been received already.
func (s *Stream) Ready() bool { return s.firstEvent != nil || s.Stream.Ready() }

// Close ends the stream and releases its quota.
func (s *Stream) Close() error {
	err := s.Stream.Close()
	s.release()
	return err
}

// Send sends work and returns the complete answer and the endpoint that gave it.
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

// Open sends work whose answer is a stream. It returns once the first event has
// arrived, so that a stream that fails before then can be retried at another
// endpoint. Errors are of type *samphireturn.Refusal.
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
		s = &Stream{Stream: inner, Endpoint: e, firstEvent: first, release: release}
		return time.Since(start), nil
	})
	return s, err
}

// attempt sends w to one endpoint after another until one answers. Send returns
// the time to the first token, or zero if unknown.
func (r *Router) attempt(ctx context.Context, w Work, send func(*samphireturn.Endpoint) (time.Duration, error)) (*samphireturn.Endpoint, error) {
	var (
		tried    []string
		last     *dispatcher.Error
		executed = samphireturn.ExecutedNo
	)
	retry := r.Control.Snapshot().Config.Retry
	r.Retries.Deposit(retry.Share)
	maxAttempts := cmp.Or(retry.MaxAttempts, defaultMaxAttempts)
	for n := 0; n < maxAttempts; n++ {
		e, refusal := r.acquire(ctx, w, tried)
		if refusal != nil && last != nil {
			return nil, failureRefusal(last, executed)
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
		executed = samphireturn.MergeExecuted(executed, last.Executed)
		r.observe(e, w, 0, last)
		if last.Kind == dispatcher.KindStatus && last.Answer.Status < http.StatusInternalServerError {
			break
		}
		if ctx.Err() != nil {
			return nil, &samphireturn.Refusal{Reason: samphireturn.ReasonDeadline, Executed: executed, Err: last}
		}
		if !w.Retryable && last.Executed != samphireturn.ExecutedNo {
			break
		}
		if n+1 < maxAttempts && !r.Retries.TryWithdraw() {
			retries.Add("over_budget", 1)
			break
		}
		if n+1 < maxAttempts {
			retries.Add(last.Kind.String(), 1)
			r.backoff(ctx, n)
		}
	}
	return nil, failureRefusal(last, executed)
}

// backoff waits for a random time before the next attempt; retry counts the
// retries so far.
func (r *Router) backoff(ctx context.Context, retry int) {
	draw := rand.Float64
	if r.Rand != nil {
		draw = r.Rand
	}
	timer := time.NewTimer(time.Duration(draw() * float64(initialBackoff<<retry)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poolRef returns the name of the pool that w runs in.
func (w Work) poolRef() samphireturn.VersionRef {
	if w.Service != "" {
		return samphireturn.ServiceRef(w.Service)
	}
	return w.Version
}

// release returns the quota that w holds at e and wakes the pool's queue.
func (r *Router) release(e *samphireturn.Endpoint, w Work) {
	r.Limiter.Release(e, w.cost())
	r.Queue.RecordReleased(w.poolRef().String(), w.cost())
}

// observe reports an attempt to the observer.
func (r *Router) observe(e *samphireturn.Endpoint, w Work, timeToFirst time.Duration, err *dispatcher.Error) {
	if r.Observer != nil {
		r.Observer.ObserveAttempt(e, w.Version, timeToFirst, err)
	}
}

// cost returns the cost of w in the unit of the endpoint's budget: calls for a plain
// service, tokens for a model.
func (w Work) cost() int64 {
	if w.Service != "" {
		return 1
	}
	return int64(w.Request.PromptTokens) + int64(w.Request.OutputTokens)
}

// call returns the dispatcher call that sends w to e.
func (r *Router) call(e *samphireturn.Endpoint, w Work) dispatcher.Call {
	return dispatcher.Call{
		Endpoint:   e,
		ID:         w.Request.ID,
		Method:     w.Method,
		Path:       w.Path,
		Header:     w.Header,
		Body:       w.Body,
		Priority:   w.Request.Priority,
		ToEngine:   w.Service == "",
		NoRetry:    !w.Retryable,
		GrantValid: func() bool { return r.Limiter.Valid(e) },
	}
}

// failureRefusal returns the refusal of a request whose last attempt failed.
func failureRefusal(last *dispatcher.Error, executed string) *samphireturn.Refusal {
	wait := last.RetryAfter
	reason := samphireturn.ReasonEndpointFailed
	if last.Kind == dispatcher.KindRefused {
		reason = samphireturn.ReasonBusy
		wait = max(wait, busyRetryAfter)
	}
	return &samphireturn.Refusal{Reason: reason, Executed: executed, RetryAfter: wait, Err: last}
}
