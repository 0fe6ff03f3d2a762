package queuer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// queue holds the waiting requests of one pool of endpoints. Teams are served by
// start-time fair queueing: each request gets the virtual time at which its team's
// share of the work reaches it.
type queue struct {
	mu      sync.Mutex
	waiters []*waiter
	// finishTags holds the virtual finish time of each team's last waiting request.
	finishTags map[string]float64
	// virtualTime is the tag of the request served last.
	virtualTime float64
	queuedCost  int64
	// windowStart begins the window in which releasedWork is counted.
	windowStart  time.Time
	releasedWork int64
	previousRate float64 // work per second in the previous window
}

// waiter is one waiting request.
type waiter struct {
	entry     Entry
	finishTag float64
	// ready is signalled when the request comes first or capacity may be free.
	ready chan struct{}
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) == 0
}

// join appends a request unless the queue is full or the work ahead is expected to take
// longer than maxWait.
func (q *queue) join(e Entry, capacity int, maxWait time.Duration) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	drain := q.drainTime(q.queuedCost + e.Cost)
	if len(q.waiters) >= capacity {
		return nil, refuse(e, KindFull, drain)
	}
	if drain > maxWait {
		return nil, refuse(e, KindWaitTooLong, drain)
	}
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	w := &waiter{entry: e, ready: make(chan struct{}, 1)}
	w.finishTag = max(q.virtualTime, q.finishTags[e.Team]) + float64(e.Cost)/weight
	q.finishTags[e.Team] = w.finishTag
	q.queuedCost += e.Cost
	q.insert(w)
	q.wake()
	return w, nil
}

// insert adds a request in order of tags. Within a team, requests of higher priority
// take the earlier tags. The caller holds mu.
func (q *queue) insert(w *waiter) {
	q.waiters = append(q.waiters, w)
	for i := len(q.waiters) - 2; i >= 0; i-- {
		other := q.waiters[i]
		if other.entry.Team == w.entry.Team && other.entry.Priority < w.entry.Priority {
			other.finishTag, w.finishTag = w.finishTag, other.finishTag
		}
	}
	slices.SortStableFunc(q.waiters, func(a, b *waiter) int {
		if a.finishTag < b.finishTag {
			return -1
		}
		if a.finishTag > b.finishTag {
			return 1
		}
		return 0
	})
}

// wait calls try whenever the request is at the head of the queue, until try succeeds,
// limit has passed or ctx is done.
func (q *queue) wait(ctx context.Context, e Entry, w *waiter, limit time.Duration, try func() bool) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ready:
		case <-ticker.C:
		case <-timer.C:
			return refuse(e, KindTimeout, q.estimateWait(e.Cost))
		case <-ctx.Done():
			return refuse(e, KindCancelled, 0)
		}
		if q.isHead(w) && try() {
			return nil
		}
	}
}

func (q *queue) isHead(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters[0] == w
}

// leave removes a request from the queue and lets the next one try.
func (q *queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiters, w)
	if i == 0 {
		q.virtualTime = max(q.virtualTime, w.finishTag)
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.queuedCost -= w.entry.Cost
	if len(q.waiters) == 0 {
		q.virtualTime = 0
		clear(q.finishTags)
	}
	q.wake()
}

// wake lets the head of the queue try. The caller holds mu.
func (q *queue) wake() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].ready <- struct{}{}:
	default:
	}
}

// recordReleased counts released work and lets the head of the queue try.
func (q *queue) recordReleased(work int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.windowStart.IsZero() {
		q.windowStart = now
	}
	if elapsed := now.Sub(q.windowStart); elapsed >= rateWindow {
		q.previousRate = float64(q.releasedWork) / elapsed.Seconds()
		q.windowStart, q.releasedWork = now, 0
	}
	q.releasedWork += work
	q.wake()
}

// estimateWait returns the expected time until the queued work plus work is done.
func (q *queue) estimateWait(work int64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.drainTime(q.queuedCost + work)
}

// drainTime returns the expected time until work is done at the recent rate of released
// work, or zero while the rate is unknown. The caller holds mu.
func (q *queue) drainTime(work int64) time.Duration {
	rate := q.previousRate
	if elapsed := time.Since(q.windowStart); rate == 0 && elapsed >= time.Second {
		rate = float64(q.releasedWork) / elapsed.Seconds()
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(work) / rate * float64(time.Second))
}
