package generator

import (
	"slices"
	"time"
)

// waiter is a request that waits for its part of the budget.
type waiter struct {
	cost     int64
	priority int
	ready    chan struct{}
}

// sample is the load at one time.
type sample struct {
	at           time.Time
	used, queued int64
}

// bearable returns the work in tokens that the engine bears now. The caller
// holds mu.
func (g *Generator) bearable() int64 {
	age := g.Now().Sub(g.began)
	if age >= g.WarmTime {
		return g.Budget
	}
	share := g.WarmShare + (1-g.WarmShare)*float64(age)/float64(g.WarmTime)
	return int64(share * float64(g.Budget))
}

// warm reports whether the whole budget is borne. The caller holds mu.
func (g *Generator) warm() bool { return g.Now().Sub(g.began) >= g.WarmTime }

// reserve takes cost from the budget, or queues for it while the engine is warm
// and its queue has room. It returns nil if the request is refused;
// otherwise launch must follow.
func (g *Generator) reserve(cost int64, priority int) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{cost: cost, priority: priority, ready: make(chan struct{})}
	switch {
	case g.closed:
		return nil
	case g.used+cost <= g.bearable() && len(g.waiting) == 0:
		g.admit(w)
	case g.warm() && cost <= g.Budget && g.queued+cost <= g.Queue:
		g.enqueue(w)
	default:
		return nil
	}
	g.sample()
	g.wg.Add(1)
	return w
}

// enqueue inserts w behind the waiters of its priority. The caller holds mu.
func (g *Generator) enqueue(w *waiter) {
	i := len(g.waiting)
	for i > 0 && g.waiting[i-1].priority < w.priority {
		i--
	}
	g.waiting = slices.Insert(g.waiting, i, w)
	g.queued += w.cost
}

// admit starts w. The caller holds mu.
func (g *Generator) admit(w *waiter) {
	g.used += w.cost
	g.active++
	close(w.ready)
}

// release gives back what w took and admits those who wait.
func (g *Generator) release(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.queued -= w.cost
	} else {
		g.used -= w.cost
		g.active--
	}
	for len(g.waiting) > 0 && g.used+g.waiting[0].cost <= g.bearable() {
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.queued -= next.cost
		g.admit(next)
	}
	g.sample()
}

// sample records the load. The caller holds mu.
func (g *Generator) sample() {
	now := g.Now()
	g.samples = append(g.samples, sample{at: now, used: g.used, queued: g.queued})
	limit := now.Add(-g.ReportLag)
	for len(g.samples) > 1 && !g.samples[1].at.After(limit) {
		g.samples = g.samples[1:]
	}
}

// reported returns the load of ReportLag ago. The caller holds mu.
func (g *Generator) reported() sample {
	limit := g.Now().Add(-g.ReportLag)
	var s sample
	for _, next := range g.samples {
		if next.at.After(limit) {
			break
		}
		s = next
	}
	return s
}
