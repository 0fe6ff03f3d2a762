// Package queuer holds requests for which every endpoint of a pool is full, for
// a short time: a bounded queue that is fair between teams by weight and serves
// higher priorities of a team first. A request that can't be served in time is
// refused at once.
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
	// KindFull says that the queue has no place left.
	KindFull Kind = iota
	// KindLate says that the wait would be too long.
	KindLate
	// KindWaited says that the longest wait has passed.
	KindWaited
	// KindLeft says that the caller left or its deadline passed.
	KindLeft
	// KindNoWait says that the request was not to wait.
	KindNoWait
)

const (
	defaultPlaces = 256
	defaultWait   = 5 * time.Second

	// poll is the time after which the head tries again unasked, since budgets
	// also grow by new grants.
	poll = 25 * time.Millisecond
	// window is the time over which the rate of released work is measured.
	window = 5 * time.Second
	// minWait is the shortest wait told to a caller.
	minWait = 100 * time.Millisecond
)

var refusals = expvar.NewMap("queuer_refusal")

// Kind classifies an Error.
type Kind int

// String returns the kind as a counter's name.
func (k Kind) String() string {
	return [...]string{"full", "late", "waited", "left", "no_wait"}[k]
}

// Error is a refusal. The request has not run.
type Error struct {
	Op   string
	Kind Kind
	// RetryAfter is when the work ahead is expected to be done; zero if unknown.
	RetryAfter time.Duration
}

// Error returns the operation and the reason.
func (e *Error) Error() string { return e.Op + ": " + e.Kind.String() }

// Entry describes a request that looks for room.
type Entry struct {
	Pool     samphireturn.VersionRef
	Team     string
	Weight   float64
	Priority int
	// Cost is in the unit of the endpoints' budgets.
	Cost int64
	// MayWait is true if the request may wait in the queue.
	MayWait bool
}

// Queuer has one queue for each pool. Set the exported fields before the first
// call; the zero value is ready to use.
type Queuer struct {
	// Places bounds each queue; zero means 256.
	Places int
	// Wait bounds the time in a queue; zero means 5 s, in which a new home waits
	// out the grants of its predecessor.
	Wait time.Duration

	mu    sync.Mutex
	pools map[samphireturn.VersionRef]*pool
}

// Join calls try, which reports whether the request is settled, now and then
// each time it comes first and there may be room, until it is settled. Nobody
// overtakes those who wait. Errors are of type *Error.
func (q *Queuer) Join(ctx context.Context, e Entry, try func() bool) error {
	p := q.pool(e.Pool)
	if p.empty() && try() {
		return nil
	}
	if !e.MayWait {
		return refuse(e, KindNoWait, p.estimate(e.Cost))
	}
	wait := q.Wait
	if wait == 0 {
		wait = defaultWait
	}
	places := q.Places
	if places == 0 {
		places = defaultPlaces
	}
	left := wait
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	t, err := p.join(e, places, left)
	if err != nil {
		return err
	}
	defer p.leave(t)
	return p.wait(ctx, e, t, wait, try)
}

// Released tells that work of a pool was returned.
func (q *Queuer) Released(ref samphireturn.VersionRef, work int64) { q.pool(ref).released(work) }

// pool returns the queue of a pool, made when first asked for.
func (q *Queuer) pool(ref samphireturn.VersionRef) *pool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pools == nil {
		q.pools = make(map[samphireturn.VersionRef]*pool)
	}
	p := q.pools[ref]
	if p == nil {
		p = &pool{tags: make(map[string]float64)}
		q.pools[ref] = p
	}
	return p
}

// refuse counts and returns a refusal.
func refuse(e Entry, kind Kind, wait time.Duration) *Error {
	refusals.Add(kind.String(), 1)
	if wait > 0 {
		wait = max(wait, minWait)
	}
	return &Error{Op: "queue for " + e.Pool.String(), Kind: kind, RetryAfter: wait}
}
