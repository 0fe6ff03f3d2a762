package queuer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// pool is the queue of one pool. Teams are served by start-time fair queueing:
// each request gets the virtual time at which its team's share of the work
// reaches it.
type pool struct {
	mu      sync.Mutex
	waiting []*ticket
	// tags holds the virtual finish time of each team's last waiting request.
	tags map[string]float64
	// clock is the virtual time: the tag of the request served last.
	clock  float64
	queued int64
	// began starts the window in which work was released.
	began    time.Time
	work     int64
	previous float64 // work a second in the window before
}

// ticket is one waiting request.
type ticket struct {
	entry Entry
	tag   float64
	// turn is signalled when the request comes first or there may be room.
	turn chan struct{}
}

func (p *pool) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) == 0
}

// join puts a request into the queue unless that is full or the work ahead will
// take longer than wait.
func (p *pool) join(e Entry, places int, wait time.Duration) (*ticket, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	expected := p.expected(p.queued + e.Cost)
	if len(p.waiting) >= places {
		return nil, refuse(e, KindFull, expected)
	}
	if expected > wait {
		return nil, refuse(e, KindLate, expected)
	}
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	t := &ticket{entry: e, turn: make(chan struct{}, 1)}
	t.tag = max(p.clock, p.tags[e.Team]) + float64(e.Cost)/weight
	p.tags[e.Team] = t.tag
	p.queued += e.Cost
	p.insert(t)
	p.wake()
	return t, nil
}

// insert adds a request. Within a team, requests of higher priority take the
// earlier tags. The caller holds mu.
func (p *pool) insert(t *ticket) {
	p.waiting = append(p.waiting, t)
	for i := len(p.waiting) - 2; i >= 0; i-- {
		other := p.waiting[i]
		if other.entry.Team == t.entry.Team && other.entry.Priority < t.entry.Priority {
			other.tag, t.tag = t.tag, other.tag
		}
	}
	slices.SortStableFunc(p.waiting, func(a, b *ticket) int {
		if a.tag < b.tag {
			return -1
		}
		if a.tag > b.tag {
			return 1
		}
		return 0
	})
}

// wait tries whenever the request comes first, for at most limit.
func (p *pool) wait(ctx context.Context, e Entry, t *ticket, limit time.Duration, try func() bool) error {
	over := time.NewTimer(limit)
	defer over.Stop()
	again := time.NewTicker(poll)
	defer again.Stop()
	for {
		select {
		case <-t.turn:
		case <-again.C:
		case <-over.C:
			return refuse(e, KindWaited, p.estimate(e.Cost))
		case <-ctx.Done():
			return refuse(e, KindLeft, 0)
		}
		if p.first(t) && try() {
			return nil
		}
	}
}

func (p *pool) first(t *ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting[0] == t
}

// leave takes a request out of the queue and lets the next one try.
func (p *pool) leave(t *ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, t)
	if i == 0 {
		p.clock = max(p.clock, t.tag)
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	p.queued -= t.entry.Cost
	if len(p.waiting) == 0 {
		p.clock = 0
		clear(p.tags)
	}
	p.wake()
}

// wake lets the first request try. The caller holds mu.
func (p *pool) wake() {
	if len(p.waiting) == 0 {
		return
	}
	select {
	case p.waiting[0].turn <- struct{}{}:
	default:
	}
}

// released counts returned work and lets the first request try.
func (p *pool) released(work int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.began.IsZero() {
		p.began = now
	}
	if past := now.Sub(p.began); past >= window {
		p.previous = float64(p.work) / past.Seconds()
		p.began, p.work = now, 0
	}
	p.work += work
	p.wake()
}

// estimate returns the time until the queued work and so much more is done.
func (p *pool) estimate(work int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expected(p.queued + work)
}

// expected returns the time until work is done at the rate of late, or zero
// while that is not known. The caller holds mu.
func (p *pool) expected(work int64) time.Duration {
	rate := p.previous
	if past := time.Since(p.began); rate == 0 && past >= time.Second {
		rate = float64(p.work) / past.Seconds()
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(work) / rate * float64(time.Second))
}
