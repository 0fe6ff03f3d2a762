// Package generator is the stand-in of a model engine: it batches requests
// within a budget of tokens, warms up, caches prompt prefixes, and makes answers
// that depend on the prompt and the version only.
//
// Orders come as POST /orders with {"fence", "kind", "name"}; the kinds are
// "load", "replace", "adapter" and "role". A load or replace is answered at once
// and takes LoadTime, during which GET /report has the version as "loading"; a
// later order takes its place. With "replace" the engine drops its other versions
// at once and finishes the requests under way. An engine that is Fenced answers
// 409 with the highest number seen to an order with a lower one.
package generator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireturn/internal/standin/injector"
	"samphireturn/internal/standin/keeper"
)

const (
	defaultBudget     = 20000
	defaultSpeed      = 2000
	defaultPrefill    = 20000
	defaultWord       = 10 * time.Millisecond
	defaultResumeTime = 30 * time.Second
	defaultOutput     = 64
	// bytesPerToken relates the length of a text to its tokens.
	bytesPerToken = 4
	// defaultWarmShare is the part of the budget borne right after the start.
	defaultWarmShare = 0.1
)

var words = []string{"lantern", "cedar", "harbour", "rice", "barrel", "slot", "night", "river", "paper", "route"}

// Generator is a model engine. Exported fields must be set before the first
// request; zero fields get defaults or turn the feature off.
type Generator struct {
	// ID names the engine in reports.
	ID string
	// Incarnation is the start number; a new process has another.
	Incarnation uint64
	// Versions lists the loaded "model@version".
	Versions []string
	// Budget is the concurrent work in tokens; Queue the work that may wait.
	Budget, Queue int64
	// Speed is the tokens a second of all answers together, Prefill the prompt
	// tokens a second, Word the shortest time between two tokens of an answer.
	Speed, Prefill float64
	Word           time.Duration
	// WarmTime is how long the borne part of the budget grows from WarmShare to
	// the whole; zero means that the engine starts warm.
	WarmTime  time.Duration
	WarmShare float64
	// CacheSize is the number of prefixes held.
	CacheSize int
	// EventLag delays cache events; every EventGap-th is never published.
	EventLag time.Duration
	EventGap uint64
	// ReportLag is the age of the load that is reported.
	ReportLag time.Duration
	// ResumeTime is how long a run can be resumed after its end.
	ResumeTime time.Duration
	// LoadTime is how long the engine takes to load a version.
	LoadTime time.Duration
	// RefuseOrder, if not nil, says which orders are answered with status 500 and
	// not carried out.
	RefuseOrder func(kind, name string) bool
	// Fenced makes the engine refuse orders with an old fencing number.
	Fenced bool
	// Quality is the rating, from 0 to 1, that answers get on average; Spread is
	// the difference between the easiest and the hardest prompt.
	Quality, Spread float64
	Injector        injector.Injector
	// Now reads the clock; nil means time.Now.
	Now func() time.Time

	once     sync.Once
	mux      *http.ServeMux
	began    time.Time
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	closed   bool
	used     int64
	queued   int64
	active   int
	waiting  []*waiter
	samples  []sample
	cache    cache
	runs     map[string]*run
	started  map[string]int
	last     *run
	fence    uint64
	loading  string
	loaded   time.Time // when loading ends
	adapters []string
	role     string
}

// RunCount returns how often the request id was started.
func (g *Generator) RunCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started[id]
}

// Loaded returns the loaded versions, and the one being loaded if any.
func (g *Generator) Loaded() (versions []string, loading string) {
	g.once.Do(g.setUp)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle()
	return slices.Clone(g.Versions), g.loading
}

// Close cancels the runs and waits for them.
func (g *Generator) Close() {
	g.once.Do(g.setUp)
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.stop()
	g.wg.Wait()
}

// setDefault sets an unset field.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (g *Generator) setUp() {
	setDefault(&g.Budget, defaultBudget)
	setDefault(&g.Speed, defaultSpeed)
	setDefault(&g.Prefill, defaultPrefill)
	setDefault(&g.Word, defaultWord)
	setDefault(&g.ResumeTime, defaultResumeTime)
	setDefault(&g.WarmShare, defaultWarmShare)
	if g.Now == nil {
		g.Now = time.Now
	}
	g.cache = cache{limit: g.CacheSize, gap: g.EventGap}
	g.began = g.Now()
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.runs = make(map[string]*run)
	g.started = make(map[string]int)
	g.routes()
}

// launch starts a run of the request and returns it.
func (g *Generator) launch(id string, req *chatRequest, w *waiter) *run {
	ctx, cancel := context.WithCancel(g.ctx)
	text := req.text()
	r := newRun(id, req.Model, tokens(text), cancel)
	answer := g.answer(req.Model, text, req.output())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire()
	g.started[id]++
	g.runs[id] = r
	g.last = r
	go func() {
		defer g.wg.Done()
		defer cancel()
		defer g.release(w)
		g.produce(ctx, r, w, text, answer)
	}()
	return r
}

// expire forgets the runs that can't be resumed any more. The caller holds mu.
func (g *Generator) expire() {
	limit := g.Now().Add(-g.ResumeTime)
	for id, r := range g.runs {
		if r.expired(limit) {
			delete(g.runs, id)
		}
	}
}

// produce makes the words of a run at the engine's pace.
func (g *Generator) produce(ctx context.Context, r *run, w *waiter, text string, answer []string) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		r.end(cancelled, g.Now())
		return
	}
	pause := g.prefillTime(text)
	for _, word := range answer {
		if !sleep(ctx, pause) {
			r.end(cancelled, g.Now())
			return
		}
		r.add(word)
		pause = g.wordTime()
	}
	r.end(finished, g.Now())
}

// prefillTime returns the time to the first token, shorter by the part of the
// prompt that the cache holds.
func (g *Generator) prefillTime(text string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.cache.use(prefixes(text), g.Now())
	return time.Duration(float64(tokens(text[held:])) / g.Prefill * float64(time.Second))
}

func (g *Generator) wordTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	shared := time.Duration(float64(g.active) / g.Speed * float64(time.Second))
	return max(g.Word, shared)
}

// answer returns the tokens of the answer, at most limit; the first one carries
// the quality mark.
func (g *Generator) answer(version, text string, limit int) []string {
	h := xxhash.Sum64String(text)
	ease := float64(h%1000)/1000 - 0.5
	quality := g.Quality + g.Spread*ease - g.Injector.Faults().Worse
	out := []string{keeper.Mark(quality)}
	h ^= xxhash.Sum64String(version)
	for i := 1; i < limit; i++ {
		out = append(out, " "+words[(h>>(i%32)+uint64(i))%uint64(len(words))])
	}
	return out
}

// tokens estimates the tokens of a text.
func tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// sleep waits for d and reports whether ctx lasted that long.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
