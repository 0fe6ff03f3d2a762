// Package queuer queues requests for a short time while every endpoint of a pool is
// full. The queues are bounded, serve the most urgent rank first, are fair between teams by
// weight within a rank, and serve higher priorities of a team first. A request that can't be
// served in time is refused at once.
package queuer

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"
)

// Kinds of errors.
const (
	// KindFull means that the queue is at its capacity.
	KindFull Kind = iota
	// KindWaitTooLong means that the expected wait exceeds the bound or the deadline.
	KindWaitTooLong
	// KindTimeout means that the request has waited for MaxWait.
	KindTimeout
	// KindCancelled means that the caller left or its deadline passed.
	KindCancelled
	// KindNoWait means that the request had to wait but MayWait is false.
	KindNoWait
	// KindStopped means that the queues were stopped.
	KindStopped
)

const (
	defaultCapacity = 256
	defaultMaxWait  = 5 * time.Second

	// retryInterval is the time after which the head of a queue tries again without
	// a signal, since quotas also grow by new grants.
	retryInterval = 25 * time.Millisecond
	// rateWindow is the time over which the rate of released work is measured, and maxRateAge
	// the time since its begin after which a window tells nothing of the present: in a quiet
	// time the rate is that of the few requests that came.
	rateWindow = 5 * time.Second
	maxRateAge = 2 * rateWindow
	// minRetryAfter is the shortest known wait returned to a caller.
	minRetryAfter = 100 * time.Millisecond
	// maxEstimate bounds an expected wait.
	maxEstimate = time.Hour
)

var refusals = expvar.NewMap("queuer_refusal")

// Kind classifies an Error.
type Kind int

// String returns the name of the kind's counter.
func (k Kind) String() string {
	return [...]string{"full", "late", "waited", "left", "no_wait", "stopped"}[k]
}

// Error is a refusal. The request has not been executed.
type Error struct {
	Op   string
	Kind Kind
	// RetryAfter is the time until the work ahead is expected to be done; zero if
	// unknown.
	RetryAfter time.Duration
}

// Error returns the operation and the reason.
func (e *Error) Error() string { return e.Op + ": " + e.Kind.String() }

// Entry describes a request that needs capacity of a pool.
type Entry struct {
	Pool   string
	Team   string
	Weight float64
	// Rank orders across teams, from 0, the first, to 9. Priority orders within a team and
	// a rank, the highest first.
	Rank, Priority int
	// Cost is in the unit of the endpoints' quotas.
	Cost int64
	// Bound is the longest wait, after which the caller sends the request nevertheless, so
	// that only the deadline refuses it earlier. If it is zero, the queue's MaxWait is the
	// bound and refuses it too.
	Bound time.Duration
	// Rate is the work per second that is expected to be released: zero if only the measured
	// rate is known, infinite if the wait can't be estimated, so that none is too long.
	Rate float64
	// MayWait is true if the request may wait in the queue.
	MayWait bool
}

// Queuer has one queue for each pool. Set the exported fields before the first
// call; the zero value is ready to use. A waiting request takes about 600 bytes here.
type Queuer struct {
	// Capacity bounds the requests in each queue; zero means 256.
	Capacity int
	// Total bounds the requests in all queues together; zero means no bound.
	Total int
	// MaxWait bounds the time in a queue; zero means 5 s, long enough for a new home
	// to wait until the grants of its predecessor have expired.
	MaxWait time.Duration

	mu      sync.Mutex
	queues  map[string]*queue
	total   atomic.Int64
	stopped chan struct{}
}

// Join calls try until it returns true, which says that the request need not wait
// any more: at once if the queue is empty, then whenever the request is the next one of
// the queue and capacity may be free. Calls for one pool are made one at a time once requests
// wait. No request overtakes the next one. Errors are of type *Error.
func (q *Queuer) Join(ctx context.Context, e Entry, try func() bool) error {
	pq := q.queue(e.Pool)
	if pq.waiting() == 0 && try() {
		return nil
	}
	if !e.MayWait {
		return refuse(e, KindNoWait, pq.estimateWait(e))
	}
	bound, remaining := e.Bound, maxEstimate
	if bound == 0 {
		bound = q.MaxWait
		if bound == 0 {
			bound = defaultMaxWait
		}
		remaining = bound
	}
	capacity := q.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	defer q.total.Add(-1)
	if n := q.total.Add(1); q.Total > 0 && n > int64(q.Total) {
		return refuse(e, KindFull, pq.estimateWait(e))
	}
	w, err := pq.join(e, capacity, bound, remaining)
	if err != nil {
		return err
	}
	return pq.wait(ctx, w, bound, q.stop(), try)
}

// Waiting returns the number of requests that wait for a pool.
func (q *Queuer) Waiting(pool string) int { return q.queue(pool).waiting() }

// RecordReleased records that work of a pool was released, so that the next request of
// its queue tries again.
func (q *Queuer) RecordReleased(pool string, work int64) {
	q.queue(pool).recordReleased(work)
}

// Stop ends the wait of all requests, also of those that join later. It must be called at
// most once.
func (q *Queuer) Stop() { close(q.stop()) }

// stop returns the channel that Stop closes.
func (q *Queuer) stop() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped == nil {
		q.stopped = make(chan struct{})
	}
	return q.stopped
}

// queue returns the queue of a pool, creating it if it is missing.
func (q *Queuer) queue(pool string) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queues == nil {
		q.queues = make(map[string]*queue)
	}
	pq := q.queues[pool]
	if pq == nil {
		pq = new(queue)
		q.queues[pool] = pq
	}
	return pq
}

// refuse counts and returns a refusal.
func refuse(e Entry, kind Kind, wait time.Duration) *Error {
	refusals.Add(kind.String(), 1)
	if wait > 0 {
		wait = max(wait, minRetryAfter)
	}
	return &Error{Op: "queue for " + e.Pool, Kind: kind, RetryAfter: wait}
}
