package router

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/traffic/queuer"
)

const (
	busyRetryAfter       = time.Second // while the pool's rate is unknown
	noEndpointRetryAfter = 2 * time.Second
)

// acquire reserves quota for w at an endpoint, and waits in the pool's queue if
// every endpoint is full. A retry does not wait, nor does a first attempt that
// another data centre can take.
func (r *Router) acquire(ctx context.Context, w Work, tried []string) (*samphireturn.Endpoint, *samphireturn.Refusal) {
	if len(tried) > 0 {
		return r.reserve(w, tried)
	}
	var (
		e       *samphireturn.Endpoint
		refusal *samphireturn.Refusal
	)
	try := func() bool {
		e, refusal = r.reserve(w, tried)
		return refusal == nil || refusal.Reason != samphireturn.ReasonBusy
	}
	err := r.Queue.Join(ctx, queuer.Entry{
		Pool:     w.poolRef().String(),
		Team:     w.Request.Team,
		Weight:   w.Weight,
		Priority: w.Request.Priority,
		Cost:     w.cost(),
		MayWait:  !r.otherCentreCanRun(w),
	}, try)
	if err == nil {
		return e, refusal
	}
	if ctx.Err() != nil {
		return nil, &samphireturn.Refusal{Reason: samphireturn.ReasonDeadline, Executed: samphireturn.ExecutedNo, Err: err}
	}
	var q *queuer.Error
	busy := &samphireturn.Refusal{Reason: samphireturn.ReasonBusy, Executed: samphireturn.ExecutedNo, RetryAfter: busyRetryAfter, Err: err}
	if errors.As(err, &q) && q.RetryAfter > 0 {
		busy.RetryAfter = q.RetryAfter
	}
	return nil, busy
}

// otherCentreCanRun reports whether the caller forwards w to another data centre
// if there is no capacity here, and one can run it.
func (r *Router) otherCentreCanRun(w Work) bool {
	return w.Overflow && len(r.Control.Snapshot().RemoteCentres[w.poolRef()]) > 0
}

// reserve picks an endpoint and reserves quota there. It takes a new snapshot, since
// an earlier attempt may have changed the state.
func (r *Router) reserve(w Work, tried []string) (*samphireturn.Endpoint, *samphireturn.Refusal) {
	s := r.Control.Snapshot()
	full := slices.Clone(tried)
	for {
		e, err := r.pick(s, w, full)
		if err != nil {
			return nil, r.noEndpointRefusal(s, w, err, tried)
		}
		if r.Limiter.Acquire(e, w.cost()) {
			return e, nil
		}
		full = append(full, e.ID)
	}
}

// pick chooses an endpoint for w.
func (r *Router) pick(s *samphireturn.Snapshot, w Work, tried []string) (*samphireturn.Endpoint, error) {
	if w.Service != "" {
		return r.Picker.Service(s, w.Service, tried)
	}
	return r.Picker.Endpoint(s, w.Request, w.Version, tried)
}

// noEndpointRefusal returns the refusal of work that no endpoint can take now.
func (r *Router) noEndpointRefusal(s *samphireturn.Snapshot, w Work, err error, tried []string) *samphireturn.Refusal {
	pool := s.Pools[w.Version]
	if w.Service != "" {
		pool = s.Services[w.Service]
	}
	refusal := &samphireturn.Refusal{Reason: samphireturn.ReasonNoEndpoint, Executed: samphireturn.ExecutedNo, RetryAfter: noEndpointRetryAfter, Err: err}
	if outOfService(s) {
		return refusal
	}
	largest := int64(0)
	for _, e := range pool {
		if e.Leaving || slices.Contains(tried, e.ID) {
			continue
		}
		refusal.Reason, refusal.RetryAfter = samphireturn.ReasonBusy, busyRetryAfter
		largest = max(largest, e.Budget)
	}
	if largest > 0 && w.cost() > largest {
		refusal.Reason, refusal.RetryAfter = samphireturn.ReasonTooLarge, 0
		refusal.Err = errors.Wrapf(err, "work of %d over the largest budget of %d", w.cost(), largest)
	}
	return refusal
}

// outOfService reports whether operators have taken this data centre out of
// service.
func outOfService(s *samphireturn.Snapshot) bool {
	return slices.ContainsFunc(s.Config.Centres, func(c samphireturn.Centre) bool {
		return c.OutOfService && c.Name == s.Self.Centre
	})
}
