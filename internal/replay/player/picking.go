package player

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphireturn"
	"samphireturn/internal/replay/reader"
	"samphireturn/internal/traffic/picker"
)

const (
	// cacheBlocks bounds the prefixes that an endpoint holds.
	cacheBlocks = 400
	// blockBytes is the length of the shortest prefix and tokenBytes that of a
	// token.
	blockBytes = 256
	tokenBytes = 4
	// prefill is the time of reading a token in units of making one.
	prefill = 0.25
	// herdWindow is the time in which the picks of one endpoint are counted.
	herdWindow = 10 * time.Second
)

type (
	// Picking replays the choice of endpoints alone, on the version named. The
	// load is what was recorded; only the caches follow from the choices.
	Picking struct {
		Trace   *reader.Trace
		Version samphireturn.VersionRef
		// Load and Prefix say what the picker may see.
		Load, Prefix bool
		// Events adds cache events, late by EventLag and without every Gap-th, to
		// what a daemon learns from its own sends.
		Events   bool
		EventLag time.Duration
		Gap      int
		// Stale is added to the lag of load reports.
		Stale time.Duration
		Seed  uint64

		now     time.Time
		due     []pending
		engines []*engine
		daemons map[string]*chooser
		events  int
		windows map[string]map[string]int
	}

	// PickingResult is what a way of picking gave.
	PickingResult struct {
		Requests int
		// Hit is the share of prompt tokens that were held.
		Hit float64
		// P50, P95 and P99 are the milliseconds to the first token.
		P50, P95, P99 int64
		// Crowd is the mean share of the endpoint picked most among the requests
		// of one data centre in ten seconds.
		Crowd float64
	}

	// engine is an endpoint's recorded load and its cache.
	engine struct {
		id, centre string
		speed      float64
		queued     int64
		order      *list.List
		items      map[uint64]*list.Element
	}

	// chooser is one daemon's view of the endpoints.
	chooser struct {
		snapshot *samphireturn.Snapshot
		picker   *picker.Picker
	}
)

// Play replays the trace and returns the figures.
func (p *Picking) Play() PickingResult {
	p.now = time.Unix(0, 0)
	p.daemons = make(map[string]*chooser)
	p.windows = make(map[string]map[string]int)
	var firsts []time.Duration
	prompt, held := 0.0, 0.0
	for i := range p.Trace.Lines {
		l := &p.Trace.Lines[i]
		p.advance(time.Unix(0, 0).Add(ms(l.Time)))
		switch {
		case l.Load != nil:
			p.load(l.Load)
		case l.Request != nil:
			first, n, ok := p.request(l.Request)
			if ok {
				firsts = append(firsts, first)
				prompt += float64(l.Request.Prompt)
				held += n
			}
		}
	}
	slices.Sort(firsts)
	r := &Result{Firsts: firsts}
	out := PickingResult{Requests: len(firsts), P50: r.percentile(0.5), P95: r.percentile(0.95), P99: r.percentile(0.99), Crowd: p.crowd()}
	if prompt > 0 {
		out.Hit = held / prompt
	}
	return out
}

// advance moves the clock and delivers what has come due.
func (p *Picking) advance(to time.Time) {
	for len(p.due) > 0 && !p.due[0].at.After(to) {
		next := p.due[0]
		p.due = p.due[1:]
		p.now = next.at
		next.do()
	}
	p.now = to
}

func (p *Picking) later(after time.Duration, do func()) {
	n := pending{at: p.now.Add(after), do: do}
	at, _ := slices.BinarySearchFunc(p.due, n, func(a, b pending) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	p.due = slices.Insert(p.due, at, n)
}

// load takes in a recorded load and has daemons learn it later.
func (p *Picking) load(l *reader.Load) {
	at := slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == l.Endpoint })
	if at < 0 {
		at = len(p.engines)
		p.engines = append(p.engines, &engine{id: l.Endpoint, centre: l.Centre, order: list.New(), items: make(map[uint64]*list.Element)})
	}
	e := p.engines[at]
	e.queued, e.speed = l.Queued, l.Speed
	p.later(ms(l.Lag)+p.Stale, func() {
		for _, d := range p.daemons {
			if p.Load {
				d.learn(l.Endpoint, l.Queued)
			}
		}
	})
}

// learn replaces a daemon's record of an endpoint's queue.
func (c *chooser) learn(id string, queued int64) {
	e := c.snapshot.Endpoints[id]
	if e == nil {
		return
	}
	next := *e
	next.Queued = queued
	c.snapshot.Endpoints[id] = &next
	for _, pool := range c.snapshot.Pools {
		for i := range pool {
			if pool[i].ID == id {
				pool[i] = &next
			}
		}
	}
}

// chooser returns a daemon's view, made at its first request.
func (p *Picking) chooser(id, centre string) *chooser {
	if c := p.daemons[id]; c != nil {
		return c
	}
	r := rand.New(rand.NewPCG(p.Seed, uint64(len(p.daemons))))
	c := &chooser{
		picker: &picker.Picker{Rand: r.Uint64, Now: func() int64 { return 1 }},
		snapshot: &samphireturn.Snapshot{
			Self:      samphireturn.VM{ID: id, Centre: centre},
			Endpoints: make(map[string]*samphireturn.Endpoint),
			Pools:     make(map[samphireturn.VersionRef][]*samphireturn.Endpoint),
		},
	}
	if p.Prefix {
		c.picker.Prefixes = &picker.Prefixes{Now: func() time.Time { return p.now }}
	}
	for _, e := range p.engines {
		if e.centre != centre {
			continue
		}
		end := &samphireturn.Endpoint{
			VM:       samphireturn.VM{ID: e.id, Centre: e.centre},
			Versions: []samphireturn.VersionRef{p.Version},
			Warm:     true, Throughput: e.speed, Quota: new(samphireturn.Quota),
		}
		end.Quota.Allowed.Store(1 << 40)
		end.Quota.Expires.Store(2)
		c.snapshot.Endpoints[e.id] = end
		c.snapshot.Pools[p.Version] = append(c.snapshot.Pools[p.Version], end)
	}
	p.daemons[id] = c
	return c
}

// request picks an endpoint and returns the time to the first token and the
// prompt tokens that were held.
func (p *Picking) request(r *reader.Request) (time.Duration, float64, bool) {
	c := p.chooser(r.Daemon, r.Centre)
	request := &samphireturn.Request{ID: r.ID, Team: r.Team, PromptTokens: r.Prompt, OutputTokens: r.Output, Prefixes: r.Prefixes}
	end, err := c.picker.Endpoint(c.snapshot, request, p.Version, nil)
	if err != nil {
		return 0, 0, false
	}
	at := slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == end.ID })
	e := p.engines[at]
	held := min(float64(p.use(e, r.Prefixes)/tokenBytes), float64(r.Prompt))
	seconds := (float64(e.queued) + prefill*(float64(r.Prompt)-held)) / e.speed
	work := int64(r.Prompt + r.Output)
	end.Quota.Outstanding.Add(work)
	p.later(time.Duration((seconds+float64(r.Output)/e.speed)*float64(time.Second)), func() { end.Quota.Outstanding.Add(-work) })
	if p.Prefix {
		c.picker.Prefixes.Add(e.id, r.Prefixes...)
	}
	window := fmt.Sprint(r.Centre, p.now.Unix()/int64(herdWindow.Seconds()))
	if p.windows[window] == nil {
		p.windows[window] = make(map[string]int)
	}
	p.windows[window][e.id]++
	return time.Duration(seconds * float64(time.Second)), held, true
}

// use returns the bytes of the longest prefix that the engine holds, and has it
// hold all of them.
func (p *Picking) use(e *engine, prefixes []uint64) int {
	held := 0
	for i, h := range prefixes {
		if el := e.items[h]; el != nil {
			held = blockBytes << i
			e.order.MoveToFront(el)
			continue
		}
		e.items[h] = e.order.PushFront(h)
		p.event(func(x *picker.Prefixes) { x.Add(e.id, h) })
		if e.order.Len() > cacheBlocks {
			old := e.order.Remove(e.order.Back()).(uint64)
			delete(e.items, old)
			p.event(func(x *picker.Prefixes) { x.Remove(e.id, old) })
		}
	}
	return held
}

// event has every daemon learn a cache event later, or never.
func (p *Picking) event(do func(*picker.Prefixes)) {
	p.events++
	if !p.Events || !p.Prefix || p.Gap > 0 && p.events%p.Gap == 0 {
		return
	}
	p.later(p.EventLag, func() {
		for _, c := range p.daemons {
			do(c.picker.Prefixes)
		}
	})
}

// crowd returns the mean share of the endpoint picked most in a window with at
// least four requests.
func (p *Picking) crowd() float64 {
	sum, n := 0.0, 0
	for _, w := range p.windows {
		all, most := 0, 0
		for _, k := range w {
			all += k
			most = max(most, k)
		}
		if all >= 4 {
			sum += float64(most) / float64(all)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
