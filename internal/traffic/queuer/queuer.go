// Package queuer queues requests for a short time while every endpoint of a pool is
// full. The queues are bounded, fair between teams by weight, and serve higher
// priorities of a team first. A request that can't be served in time is refused at
// once.
package queuer

import (
	"context"
	"expvar"
	"sync"
	"time"

	"samphireturn"
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
)

const (
	defaultCapacity = 256
	defaultMaxWait  = 5 * time.Second

	// retryInterval is the time after which the head of a queue tries again without
	// a signal, since quotas also grow by new grants.
	retryInterval = 25 * time.Millisecond
	// rateWindow is the time over which the rate of released work is measured.
	rateWindow = 5 * time.Second
	// minRetryAfter is the shortest known wait returned to a caller.
	minRetryAfter = 100 * time.Millisecond
)

var refusals = expvar.NewMap("queuer_refusal")

// Kind classifies an Error.
type Kind int

// String returns the name of the kind's counter.
func (k Kind) String() string {
	return [...]string{"full", "late", "waited", "left", "no_wait"}[k]
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
	Pool     samphireturn.VersionRef
	Team     string
	Weight   float64
	Priority int
	// Cost is in the unit of the endpoints' quotas.
	Cost int64
	// MayWait is true if the request may wait in the queue.
	MayWait bool
}

// Queuer has one queue for each pool. Set the exported fields before the first
// call; the zero value is ready to use.
type Queuer struct {
	// Capacity bounds the requests in each queue; zero means 256.
	Capacity int
	// MaxWait bounds the time in a queue; zero means 5 s, long enough for a new home
	// to wait until the grants of its predecessor have expired.
	MaxWait time.Duration

	mu     sync.Mutex
	queues map[samphireturn.VersionRef]*queue
}

// Join calls try until it returns true, which says that the request need not wait
// any more: at once if the queue is empty, then whenever the request is at the head of
// the queue and capacity may be free. No request overtakes a waiting one. Errors are
// of type *Error.
func (q *Queuer) Join(ctx context.Context, e Entry, try func() bool) error {
	pq := q.queue(e.Pool)
	if pq.empty() && try() {
		return nil
	}
	if !e.MayWait {
		return refuse(e, KindNoWait, pq.estimateWait(e.Cost))
	}
	maxWait := q.MaxWait
	if maxWait == 0 {
		maxWait = defaultMaxWait
	}
	capacity := q.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	remaining := maxWait
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	w, err := pq.join(e, capacity, remaining)
	if err != nil {
		return err
	}
	defer pq.leave(w)
	return pq.wait(ctx, e, w, maxWait, try)
}

// RecordReleased records that work of a pool was released, so that the head of its
// queue tries again.
func (q *Queuer) RecordReleased(ref samphireturn.VersionRef, work int64) {
	q.queue(ref).recordReleased(work)
}

// queue returns the queue of a pool, creating it if it is missing.
func (q *Queuer) queue(ref samphireturn.VersionRef) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queues == nil {
		q.queues = make(map[samphireturn.VersionRef]*queue)
	}
	pq := q.queues[ref]
	if pq == nil {
		pq = &queue{finishTags: make(map[string]float64)}
		q.queues[ref] = pq
	}
	return pq
}

// refuse counts and returns a refusal.
func refuse(e Entry, kind Kind, wait time.Duration) *Error {
	refusals.Add(kind.String(), 1)
	if wait > 0 {
		wait = max(wait, minRetryAfter)
	}
	return &Error{Op: "queue for " + e.Pool.String(), Kind: kind, RetryAfter: wait}
}
