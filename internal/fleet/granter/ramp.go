package granter

import (
	"time"

	"samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

const (
	// coldPart is the part of the budget, as a divisor, that a cold endpoint is
	// given first.
	coldPart = 16
	// stepTime is the time between two steps of a warm-up.
	stepTime = time.Second
	// slowFactor and slowCount say how far off its record, and how often in a row,
	// a first-token time must be for an endpoint to count as cold.
	slowFactor, slowCount = 8, 3
	// slowFloor is the first-token time that is never far off.
	slowFloor = time.Second
	// suspectTime is how long a daemon without a home takes an endpoint that
	// refused it for cold.
	suspectTime = 10 * time.Second
	// codeOverloaded is the endpoint's code of a refusal for overload.
	codeOverloaded = "overloaded"
)

type (
	// ramp is the warm-up of an endpoint.
	ramp struct {
		// part is the work allowed while warming up; 0 once warm.
		part    int64
		step    int64
		refused bool
	}

	// mark is what traffic has seen of an endpoint since the last step.
	mark struct {
		good    int
		cold    bool
		at      int64
		peak    int64
		record  time.Duration
		slow    int
		started uint64
	}
)

// coldWork returns the work that a cold endpoint is given first.
func coldWork(e *samphireturn.Endpoint) int64 { return e.Budget / coldPart }

// newRamp returns the ramp of an endpoint that was not known before.
func newRamp(e *samphireturn.Endpoint, now int64) ramp {
	if e.Warm {
		return ramp{}
	}
	return ramp{part: max(coldWork(e), 1), step: now}
}

// work returns what the endpoint bears as far as is known.
func (r *ramp) work(e *samphireturn.Endpoint) int64 {
	if r.part == 0 {
		return e.Budget
	}
	return min(r.part, e.Budget)
}

// cold reports whether only the home may send.
func (r *ramp) cold(e *samphireturn.Endpoint) bool { return r.part > 0 || !e.Warm }

// warmUp moves the warm-up of a book on. The caller holds mu.
func (g *Granter) warmUp(k *book, now int64) {
	e, r := k.p.e, &k.ramp
	g.markMu.Lock()
	m := g.markOf(e)
	refused, good, peak := r.refused || m.cold, m.good, max(m.peak, e.Quota.Outstanding.Load())
	m.cold = false
	g.markMu.Unlock()
	r.refused = false
	first := max(coldWork(e), 1)
	switch {
	case refused && r.part == 0:
		reasons.Add("cold", 1)
		r.part, r.step = first, now
	case refused:
		reasons.Add("fall_back", 1)
		r.part, r.step = max(r.part/2, first), now
	case r.part == 0 || now-r.step < int64(stepTime):
		return
	case good > 0 && (2*peak >= r.part || e.Warm) || peak == 0 && k.p.unit > r.part,
		k.p.want == 0 && e.Warm:
		r.part, r.step = 2*r.part, now
		if r.part >= e.Budget {
			r.part = 0
		}
	default:
		return
	}
	g.markMu.Lock()
	m.good, m.peak = 0, 0
	g.markMu.Unlock()
}

// markOf returns the mark of an endpoint's process. The caller holds markMu.
func (g *Granter) markOf(e *samphireturn.Endpoint) *mark {
	m := g.marks[e.ID]
	if m == nil || m.started != e.Incarnation {
		m = &mark{started: e.Incarnation}
		g.marks[e.ID] = m
	}
	return m
}

// suspect reports whether traffic has just found the endpoint cold.
func (g *Granter) suspect(id string, now int64) bool {
	g.markMu.Lock()
	defer g.markMu.Unlock()
	m := g.marks[id]
	return m != nil && m.cold && now-m.at < int64(suspectTime)
}

// told notes that the home knows that the place is cold.
func (g *Granter) told(p *place) {
	if p == nil {
		return
	}
	g.markMu.Lock()
	defer g.markMu.Unlock()
	if m := g.marks[p.e.ID]; m != nil {
		m.cold = false
	}
}

// Sent implements router.Observer. A refusal for overload, or first-token times
// far off the record, stop new work from this daemon until its home, which is
// told, has answered.
func (g *Granter) Sent(e *samphireturn.Endpoint, _ samphireturn.VersionRef, first time.Duration, err *dispatcher.Error) {
	if e.Quota == nil {
		return
	}
	g.markMu.Lock()
	m := g.markOf(e)
	m.peak = max(m.peak, e.Quota.Outstanding.Load())
	cold := false
	switch {
	case err == nil:
		m.good++
		cold = m.late(first)
	case err.Kind == dispatcher.KindRefused:
		cold = err.Code == codeOverloaded
	}
	if cold {
		m.cold, m.at = true, g.Clock()
	}
	g.markMu.Unlock()
	if cold {
		e.Quota.Expires.Store(never)
	}
}

// late reports whether first-token times are far off the record. A time of zero
// is not known and says nothing. The caller holds markMu.
func (m *mark) late(first time.Duration) bool {
	if first <= 0 {
		return false
	}
	if m.record > 0 && first > slowFloor && first > slowFactor*m.record {
		m.slow++
		return m.slow == slowCount
	}
	m.slow = 0
	if m.record == 0 {
		m.record = first
	}
	m.record += (first - m.record) / 16
	return false
}
