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
	// maxCachedPrefixes bounds the prefixes in an endpoint's cache.
	maxCachedPrefixes = 400
	// shortestPrefixBytes is the length of the shortest prefix; each further prefix
	// doubles it.
	shortestPrefixBytes = 256
	// bytesPerToken is the assumed length of a token.
	bytesPerToken = 4
	// prefillFactor is the time to process a prompt token divided by the time to
	// generate an output token.
	prefillFactor = 0.25
	// pickWindow is the period over which the picks of each endpoint are counted.
	pickWindow = 10 * time.Second
)

type (
	// PickerReplay replays only the choice of endpoints, on one version. Endpoints
	// have their recorded load, which the choices do not change; only the contents
	// of their prefix caches follow from the choices.
	PickerReplay struct {
		Trace   *reader.Trace
		Version samphireturn.VersionRef
		// UseLoad and UsePrefixes let the picker see load reports and cached
		// prefixes.
		UseLoad, UsePrefixes bool
		// UseCacheEvents also sends cache events to the daemons, delayed by
		// EventLag. Without it a daemon knows only the prefixes of its own requests.
		UseCacheEvents bool
		EventLag       time.Duration
		// DropEvery loses every n-th cache event; zero loses none.
		DropEvery int
		// ExtraLoadLag is added to the recorded lag of load reports.
		ExtraLoadLag time.Duration
		Seed         uint64

		now             time.Time
		scheduled       []scheduledEvent
		engines         []*engine
		views           map[string]*daemonView
		cacheEventCount int
		// picksByWindow counts the picks by data centre and window, then by
		// endpoint.
		picksByWindow map[string]map[string]int
	}

	// PickerResult is the result of a PickerReplay.
	PickerResult struct {
		Requests int
		// CacheHitShare is the share of prompt tokens that were in the endpoint's
		// cache.
		CacheHitShare float64
		// P50, P95 and P99 are percentiles of the time to the first token in
		// milliseconds.
		P50, P95, P99 int64
		// MeanTopShare measures herding: the mean share of the most picked endpoint
		// among the requests of one data centre in one pickWindow.
		MeanTopShare float64
	}

	// engine is an endpoint with its recorded load and its prefix cache.
	engine struct {
		id, centre string
		// throughput is in tokens per second and queuedTokens the recorded queue.
		throughput   float64
		queuedTokens int64
		// lru lists the cached prefixes, the most recently used first, and cached
		// indexes its elements.
		lru    *list.List
		cached map[uint64]*list.Element
	}

	// daemonView is one daemon's picker and its view of the endpoints.
	daemonView struct {
		snapshot *samphireturn.Snapshot
		picker   *picker.Picker
	}
)

// Play replays the trace and returns the result.
func (p *PickerReplay) Play() PickerResult {
	p.now = time.Unix(0, 0)
	p.views = make(map[string]*daemonView)
	p.picksByWindow = make(map[string]map[string]int)
	var firstTokenTimes []time.Duration
	promptTokens, cachedTokens := 0.0, 0.0
	for i := range p.Trace.Lines {
		l := &p.Trace.Lines[i]
		p.advance(time.Unix(0, 0).Add(ms(l.TimeMs)))
		switch {
		case l.Load != nil:
			p.applyLoad(l.Load)
		case l.Request != nil:
			firstToken, cached, ok := p.pickEndpoint(l.Request)
			if ok {
				firstTokenTimes = append(firstTokenTimes, firstToken)
				promptTokens += float64(l.Request.PromptTokens)
				cachedTokens += cached
			}
		}
	}
	slices.Sort(firstTokenTimes)
	r := &Result{FirstTokenTimes: firstTokenTimes}
	out := PickerResult{Requests: len(firstTokenTimes), P50: r.percentile(0.5), P95: r.percentile(0.95), P99: r.percentile(0.99), MeanTopShare: p.meanTopShare()}
	if promptTokens > 0 {
		out.CacheHitShare = cachedTokens / promptTokens
	}
	return out
}

// advance moves the clock to the given time and runs the events scheduled until
// then, each at its own time.
func (p *PickerReplay) advance(to time.Time) {
	for len(p.scheduled) > 0 && !p.scheduled[0].at.After(to) {
		next := p.scheduled[0]
		p.scheduled = p.scheduled[1:]
		p.now = next.at
		next.run()
	}
	p.now = to
}

// schedule runs a function after a delay.
func (p *PickerReplay) schedule(after time.Duration, do func()) {
	n := scheduledEvent{at: p.now.Add(after), run: do}
	at, _ := slices.BinarySearchFunc(p.scheduled, n, func(a, b scheduledEvent) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	p.scheduled = slices.Insert(p.scheduled, at, n)
}

// applyLoad sets an endpoint's load and schedules the daemons' update of it.
func (p *PickerReplay) applyLoad(l *reader.LoadReport) {
	at := slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == l.Endpoint })
	if at < 0 {
		at = len(p.engines)
		p.engines = append(p.engines, &engine{id: l.Endpoint, centre: l.Centre, lru: list.New(), cached: make(map[uint64]*list.Element)})
	}
	e := p.engines[at]
	e.queuedTokens, e.throughput = l.QueuedTokens, l.Throughput
	p.schedule(ms(l.LagMs)+p.ExtraLoadLag, func() {
		for _, v := range p.views {
			if p.UseLoad {
				v.setQueued(l.Endpoint, l.QueuedTokens)
			}
		}
	})
}

// setQueued updates an endpoint's queue, in tokens, in the daemon's view. It
// replaces the endpoint, which is immutable.
func (v *daemonView) setQueued(id string, queued int64) {
	e := v.snapshot.Endpoints[id]
	if e == nil {
		return
	}
	next := *e
	next.Queued = queued
	v.snapshot.Endpoints[id] = &next
	for _, pool := range v.snapshot.Pools {
		for i := range pool {
			if pool[i].ID == id {
				pool[i] = &next
			}
		}
	}
}

// view returns a daemon's view, which it creates at the daemon's first request.
func (p *PickerReplay) view(id, centre string) *daemonView {
	if v := p.views[id]; v != nil {
		return v
	}
	r := rand.New(rand.NewPCG(p.Seed, uint64(len(p.views))))
	v := &daemonView{
		picker: &picker.Picker{Rand: r.Uint64, Now: func() int64 { return 1 }},
		snapshot: &samphireturn.Snapshot{
			Self:      samphireturn.VM{ID: id, Centre: centre},
			Endpoints: make(map[string]*samphireturn.Endpoint),
			Pools:     make(map[samphireturn.VersionRef][]*samphireturn.Endpoint),
		},
	}
	if p.UsePrefixes {
		v.picker.Prefixes = &picker.Prefixes{Now: func() time.Time { return p.now }}
	}
	for _, e := range p.engines {
		if e.centre != centre {
			continue
		}
		endpoint := &samphireturn.Endpoint{
			VM:       samphireturn.VM{ID: e.id, Centre: e.centre},
			Versions: []samphireturn.VersionRef{p.Version},
			Warm:     true, Throughput: e.throughput, Quota: new(samphireturn.Quota),
		}
		// A quota that neither runs out nor expires: the picker's clock stays at 1.
		endpoint.Quota.Allowed.Store(1 << 40)
		endpoint.Quota.Expires.Store(2)
		v.snapshot.Endpoints[e.id] = endpoint
		v.snapshot.Pools[p.Version] = append(v.snapshot.Pools[p.Version], endpoint)
	}
	p.views[id] = v
	return v
}

// pickEndpoint picks an endpoint for the request and returns the time to the first
// token and the number of cached prompt tokens. It returns false if the picker finds
// no endpoint.
func (p *PickerReplay) pickEndpoint(r *reader.Request) (time.Duration, float64, bool) {
	v := p.view(r.Daemon, r.Centre)
	request := &samphireturn.Request{ID: r.ID, Team: r.Team, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Prefixes: r.Prefixes}
	endpoint, err := v.picker.Endpoint(v.snapshot, request, p.Version, nil)
	if err != nil {
		return 0, 0, false
	}
	at := slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == endpoint.ID })
	e := p.engines[at]
	cachedTokens := min(float64(p.cachePrefixes(e, r.Prefixes)/bytesPerToken), float64(r.PromptTokens))
	seconds := (float64(e.queuedTokens) + prefillFactor*(float64(r.PromptTokens)-cachedTokens)) / e.throughput
	work := int64(r.PromptTokens + r.OutputTokens)
	endpoint.Quota.Outstanding.Add(work)
	p.schedule(time.Duration((seconds+float64(r.OutputTokens)/e.throughput)*float64(time.Second)), func() { endpoint.Quota.Outstanding.Add(-work) })
	if p.UsePrefixes {
		v.picker.Prefixes.Add(e.id, r.Prefixes...)
	}
	window := fmt.Sprint(r.Centre, p.now.Unix()/int64(pickWindow.Seconds()))
	if p.picksByWindow[window] == nil {
		p.picksByWindow[window] = make(map[string]int)
	}
	p.picksByWindow[window][e.id]++
	return time.Duration(seconds * float64(time.Second)), cachedTokens, true
}

// cachePrefixes adds the prefixes to the engine's cache and returns the length in
// bytes of the longest one that was there before.
func (p *PickerReplay) cachePrefixes(e *engine, prefixes []uint64) int {
	cachedBytes := 0
	for i, h := range prefixes {
		if el := e.cached[h]; el != nil {
			cachedBytes = shortestPrefixBytes << i
			e.lru.MoveToFront(el)
			continue
		}
		e.cached[h] = e.lru.PushFront(h)
		p.publishCacheEvent(func(x *picker.Prefixes) { x.Add(e.id, h) })
		if e.lru.Len() > maxCachedPrefixes {
			evicted := e.lru.Remove(e.lru.Back()).(uint64)
			delete(e.cached, evicted)
			p.publishCacheEvent(func(x *picker.Prefixes) { x.Remove(e.id, evicted) })
		}
	}
	return cachedBytes
}

// publishCacheEvent schedules a cache event's arrival at every daemon, unless cache
// events are off or this one is lost.
func (p *PickerReplay) publishCacheEvent(do func(*picker.Prefixes)) {
	p.cacheEventCount++
	if !p.UseCacheEvents || !p.UsePrefixes || p.DropEvery > 0 && p.cacheEventCount%p.DropEvery == 0 {
		return
	}
	p.schedule(p.EventLag, func() {
		for _, v := range p.views {
			do(v.picker.Prefixes)
		}
	})
}

// meanTopShare returns the mean share of the most picked endpoint over the windows
// with at least four requests.
func (p *PickerReplay) meanTopShare() float64 {
	sum, n := 0.0, 0
	for _, w := range p.picksByWindow {
		total, top := 0, 0
		for _, k := range w {
			total += k
			top = max(top, k)
		}
		if total >= 4 {
			sum += float64(top) / float64(total)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
