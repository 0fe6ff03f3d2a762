package generator

import (
	"slices"
	"time"
)

// reservation is a request's share of the budget, in flight or queued; ready is
// closed when the request is admitted. The cost is in tokens.
type reservation struct {
	cost     int64
	priority int
	ready    chan struct{}
}

// loadSample is the load at one time, in tokens.
type loadSample struct {
	at               time.Time
	inFlight, queued int64
}

// capacity returns the tokens that may be in flight now, fewer than the budget during
// warm-up. The caller holds mu.
func (g *Generator) capacity() int64 {
	age := g.Now().Sub(g.startedAt)
	if age >= g.WarmUp {
		return g.Budget
	}
	share := g.WarmUpShare + (1-g.WarmUpShare)*float64(age)/float64(g.WarmUp)
	return int64(share * float64(g.Budget))
}

// warmedUp reports whether the whole budget is available. The caller holds mu.
func (g *Generator) warmedUp() bool { return g.Now().Sub(g.startedAt) >= g.WarmUp }

// reserve takes cost from the budget, or queues for it if the engine is warmed up
// and its queue has room. It returns nil if the request is refused; otherwise the
// caller must call startRun.
func (g *Generator) reserve(cost int64, priority int) *reservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &reservation{cost: cost, priority: priority, ready: make(chan struct{})}
	switch {
	case g.closed:
		return nil
	case g.inFlight+cost <= g.capacity() && len(g.queue) == 0:
		g.admit(w)
	case g.warmedUp() && cost <= g.Budget && g.queued+cost <= g.MaxQueued:
		g.enqueue(w)
	default:
		return nil
	}
	g.recordLoad()
	g.wg.Add(1)
	return w
}

// enqueue inserts w after the reservations of the same or a higher priority. The
// caller holds mu.
func (g *Generator) enqueue(w *reservation) {
	i := len(g.queue)
	for i > 0 && g.queue[i-1].priority < w.priority {
		i--
	}
	g.queue = slices.Insert(g.queue, i, w)
	g.queued += w.cost
}

// admit moves w into flight. The caller holds mu.
func (g *Generator) admit(w *reservation) {
	g.inFlight += w.cost
	g.admitted++
	close(w.ready)
}

// release returns w to the budget and admits the queued reservations that now fit.
func (g *Generator) release(w *reservation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.queue, w); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
		g.queued -= w.cost
	} else {
		g.inFlight -= w.cost
		g.admitted--
	}
	for len(g.queue) > 0 && g.inFlight+g.queue[0].cost <= g.capacity() {
		next := g.queue[0]
		g.queue = g.queue[1:]
		g.queued -= next.cost
		g.admit(next)
	}
	g.recordLoad()
}

// recordLoad appends the current load to the history and drops samples that reports no
// longer need. The caller holds mu.
func (g *Generator) recordLoad() {
	now := g.Now()
	g.loadHistory = append(g.loadHistory, loadSample{at: now, inFlight: g.inFlight, queued: g.queued})
	limit := now.Add(-g.ReportLag)
	for len(g.loadHistory) > 1 && !g.loadHistory[1].at.After(limit) {
		g.loadHistory = g.loadHistory[1:]
	}
}

// laggedLoad returns the load of ReportLag ago. The caller holds mu.
func (g *Generator) laggedLoad() loadSample {
	limit := g.Now().Add(-g.ReportLag)
	var s loadSample
	for _, next := range g.loadHistory {
		if next.at.After(limit) {
			break
		}
		s = next
	}
	return s
}
