package queuer

import (
	"context"
	"sync"
	"time"
)

// queue holds the waiting requests of one pool of endpoints. One request at a time, the next
// in order, tries to get capacity.
type queue struct {
	mu    sync.Mutex
	order order
	// trying is the request that tries now; again is true if capacity may have become free
	// since it began.
	trying *waiter
	again  bool
	// ticker lets the next request try again, since capacity also becomes free without a
	// signal; ticking is true while it is due.
	ticker  *time.Timer
	ticking bool
	// windowStart begins the window in which releasedWork is counted.
	windowStart  time.Time
	releasedWork int64
	previousRate float64 // work per second in the previous window
}

func (q *queue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.count
}

// join adds a request unless the queue is full or the work ahead is expected to take longer
// than maxWait.
func (q *queue) join(e Entry, capacity int, bound, maxWait time.Duration) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	drain := q.drainTime(q.order.costAhead(e.Rank)+e.Cost, e.Rate)
	if q.order.count >= capacity {
		return nil, refuse(e, KindFull, drain)
	}
	if drain > maxWait {
		return nil, refuse(e, KindWaitTooLong, drain)
	}
	w := q.order.add(e, time.Now(), bound)
	q.dispatch()
	return w, nil
}

// wait calls try whenever the request is next and capacity may be free, until try succeeds,
// limit has passed, ctx is done or stopped is closed.
func (q *queue) wait(ctx context.Context, w *waiter, limit time.Duration, stopped <-chan struct{}, try func() bool) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	trying := false
	defer func() {
		// A panic in try must not keep the others waiting.
		if trying {
			_ = q.leave(w, KindCancelled)
		}
	}()
	for {
		select {
		case <-w.ready:
			if ctx.Err() != nil {
				return q.leave(w, KindCancelled)
			}
			trying = true
			ok := try()
			trying = false
			if q.tried(w, ok) {
				return nil
			}
		case <-timer.C:
			return q.leave(w, KindTimeout)
		case <-ctx.Done():
			return q.leave(w, KindCancelled)
		case <-stopped:
			return q.leave(w, KindStopped)
		}
	}
}

// dispatch lets the next request try, unless one does already. The caller holds mu.
func (q *queue) dispatch() {
	if q.trying != nil {
		q.again = true
		return
	}
	q.again = false
	if q.trying = q.order.next(time.Now()); q.trying != nil {
		q.trying.ready <- struct{}{}
	}
}

// tried records whether the request that tried got capacity, and returns that.
func (q *queue) tried(w *waiter, ok bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trying = nil
	if ok {
		q.order.place(w)
	}
	if ok || q.again {
		q.dispatch()
	}
	q.tickLater()
	return ok
}

// leave removes a request that got no capacity and returns its refusal.
func (q *queue) leave(w *waiter, kind Kind) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.trying == w {
		q.trying = nil
	}
	q.order.remove(w)
	q.dispatch()
	wait := time.Duration(0)
	if kind != KindCancelled {
		wait = q.drainTime(q.order.costAhead(w.entry.Rank)+w.entry.Cost, w.entry.Rate)
	}
	return refuse(w.entry, kind, wait)
}

// tickLater lets the next request try after retryInterval. The caller holds mu.
func (q *queue) tickLater() {
	if q.ticking || q.order.count == 0 {
		return
	}
	q.ticking = true
	if q.ticker == nil {
		q.ticker = time.AfterFunc(retryInterval, q.tick)
		return
	}
	q.ticker.Reset(retryInterval)
}

func (q *queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ticking = false
	q.dispatch()
}

// recordReleased counts released work and lets the next request try.
func (q *queue) recordReleased(work int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.windowStart.IsZero() {
		q.windowStart = now
	}
	if elapsed := now.Sub(q.windowStart); elapsed >= rateWindow {
		q.previousRate = 0
		if elapsed < maxRateAge {
			q.previousRate = float64(q.releasedWork) / elapsed.Seconds()
		}
		q.windowStart, q.releasedWork = now, 0
	}
	q.releasedWork += work
	if q.order.count > 0 {
		q.dispatch()
	}
}

// estimateWait returns the expected time until the work ahead of a request and its own is
// done.
func (q *queue) estimateWait(e Entry) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.drainTime(q.order.costAhead(e.Rank)+e.Cost, e.Rate)
}

// drainTime returns the expected time until work is done at the recent rate of released
// work or the expected one, whichever is greater, or zero while both are unknown. The caller
// holds mu.
func (q *queue) drainTime(work int64, expectedRate float64) time.Duration {
	rate := q.previousRate
	switch elapsed := time.Since(q.windowStart); {
	case elapsed >= maxRateAge:
		rate = 0
	case rate == 0 && elapsed >= time.Second:
		rate = float64(q.releasedWork) / elapsed.Seconds()
	}
	return waitFor(work, max(rate, expectedRate))
}

// waitFor returns the time that work takes at a rate in work per second, or zero if the rate
// is not known.
func waitFor(work int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(work)/rate, maxEstimate.Seconds()) * float64(time.Second))
}
