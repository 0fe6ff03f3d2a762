// Package generator is a stand-in for a model engine. It batches requests within a
// budget of tokens, warms up, caches prompt prefixes, and generates answers that
// depend on the prompt and the version only.
//
// Orders arrive as POST /orders with {"fence", "kind", "name"}; the kinds are
// "load", "replace", "adapter" and "role". A load or replace is answered at once
// and takes LoadTime, during which GET /report lists the version as "loading"; a
// later order supersedes it. With "replace" the engine unloads its other versions
// at once and finishes the requests in flight. An engine that is Fenced answers
// 409 and the highest fencing number seen to an order with a lower one.
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
	defaultBudget       = 20000
	defaultThroughput   = 2000
	defaultPrefillRate  = 20000
	defaultTokenGap     = 10 * time.Millisecond
	defaultResumeTime   = 30 * time.Second
	defaultOutputTokens = 64
	// bytesPerToken estimates the tokens of a text from its length.
	bytesPerToken = 4
	// defaultWarmUpShare is the share of the budget available right after the start.
	defaultWarmUpShare = 0.1
)

var words = []string{"lantern", "cedar", "harbour", "rice", "barrel", "slot", "night", "river", "paper", "route"}

// Generator is a model engine. Exported fields must be set before the first
// request; zero fields get defaults or turn the feature off.
type Generator struct {
	// ID names the engine in reports.
	ID string
	// Incarnation identifies the process; it changes with each start.
	Incarnation uint64
	// Versions lists the loaded "model@version".
	Versions []string
	// Budget bounds the tokens of the requests in flight, MaxQueued those of the
	// requests that wait.
	Budget, MaxQueued int64
	// Throughput is the output tokens per second of all requests together,
	// PrefillRate the prompt tokens per second of each request, TokenGap the shortest
	// time between two tokens of an answer.
	Throughput, PrefillRate float64
	TokenGap                time.Duration
	// WarmUp is the time in which the available share of the budget grows from
	// WarmUpShare to 1; zero means that the engine starts warmed up.
	WarmUp      time.Duration
	WarmUpShare float64
	// CacheSize is the number of cached prefixes.
	CacheSize int
	// EventLag delays cache events. Every DropEveryNthEvent-th event is never
	// published; zero drops none.
	EventLag          time.Duration
	DropEveryNthEvent uint64
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// ResumeTime is the time after its end during which a run can be resumed.
	ResumeTime time.Duration
	// LoadTime is the time to load a version.
	LoadTime time.Duration
	// RefuseOrder, if not nil, reports whether an order is answered with status 500
	// and not carried out.
	RefuseOrder func(kind, name string) bool
	// Fenced makes the engine refuse orders with an outdated fencing number.
	Fenced bool
	// Quality is the mean rating of answers, from 0 to 1; QualitySpread is the
	// difference between the easiest and the hardest prompt.
	Quality, QualitySpread float64
	Injector               injector.Injector
	// Now reads the clock; nil means time.Now.
	Now func() time.Time

	once        sync.Once
	mux         *http.ServeMux
	startedAt   time.Time
	ctx         context.Context
	stop        context.CancelFunc
	wg          sync.WaitGroup
	mu          sync.Mutex
	closed      bool
	inFlight    int64
	queued      int64
	admitted    int
	queue       []*reservation
	loadHistory []loadSample
	cache       cache
	runs        map[string]*run
	runCounts   map[string]int
	lastRun     *run
	fence       uint64
	loading     string
	loadEnd     time.Time // when loading completes
	adapters    []string
	role        string
}

// RunCount returns how many runs were started for the request id.
func (g *Generator) RunCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runCounts[id]
}

// Loaded returns the loaded versions, and the one being loaded if any.
func (g *Generator) Loaded() (versions []string, loading string) {
	g.once.Do(g.setUp)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishLoad()
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
	setDefault(&g.Throughput, defaultThroughput)
	setDefault(&g.PrefillRate, defaultPrefillRate)
	setDefault(&g.TokenGap, defaultTokenGap)
	setDefault(&g.ResumeTime, defaultResumeTime)
	setDefault(&g.WarmUpShare, defaultWarmUpShare)
	if g.Now == nil {
		g.Now = time.Now
	}
	g.cache = cache{limit: g.CacheSize, dropEveryNth: g.DropEveryNthEvent}
	g.startedAt = g.Now()
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.runs = make(map[string]*run)
	g.runCounts = make(map[string]int)
	g.routes()
}

// startRun starts a run of the request and returns it.
func (g *Generator) startRun(id string, req *chatRequest, w *reservation) *run {
	ctx, cancel := context.WithCancel(g.ctx)
	prompt := req.prompt()
	r := newRun(id, req.Model, tokens(prompt), cancel)
	answer := g.answerTokens(req.Model, prompt, req.maxOutputTokens())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeExpired()
	g.runCounts[id]++
	g.runs[id] = r
	g.lastRun = r
	go func() {
		defer g.wg.Done()
		defer cancel()
		defer g.release(w)
		g.generate(ctx, r, w, prompt, answer)
	}()
	return r
}

// removeExpired deletes the runs that can no longer be resumed. The caller holds mu.
func (g *Generator) removeExpired() {
	limit := g.Now().Add(-g.ResumeTime)
	for id, r := range g.runs {
		if r.expired(limit) {
			delete(g.runs, id)
		}
	}
}

// generate adds the tokens of an answer to a run at the engine's throughput, once
// the run is admitted.
func (g *Generator) generate(ctx context.Context, r *run, w *reservation, prompt string, answer []string) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		r.end(cancelled, g.Now())
		return
	}
	pause := g.prefillTime(prompt)
	for _, word := range answer {
		if !sleep(ctx, pause) {
			r.end(cancelled, g.Now())
			return
		}
		r.add(word)
		pause = g.tokenTime()
	}
	r.end(finished, g.Now())
}

// prefillTime returns the time to the first token: that of the part of the prompt
// that is not cached.
func (g *Generator) prefillTime(prompt string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	cached := g.cache.touch(prefixes(prompt), g.Now())
	return time.Duration(float64(tokens(prompt[cached:])) / g.PrefillRate * float64(time.Second))
}

// tokenTime returns the time to the next token, longer than TokenGap when the requests
// in flight share Throughput.
func (g *Generator) tokenTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	shared := time.Duration(float64(g.admitted) / g.Throughput * float64(time.Second))
	return max(g.TokenGap, shared)
}

// answerTokens returns the tokens of the answer, limit of them; the first one is the
// quality mark.
func (g *Generator) answerTokens(version, prompt string, limit int) []string {
	h := xxhash.Sum64String(prompt)
	ease := float64(h%1000)/1000 - 0.5
	quality := g.Quality + g.QualitySpread*ease - g.Injector.Faults().QualityLoss
	out := []string{keeper.QualityMark(quality)}
	h ^= xxhash.Sum64String(version)
	for i := 1; i < limit; i++ {
		out = append(out, " "+words[(h>>(i%32)+uint64(i))%uint64(len(words))])
	}
	return out
}

// tokens estimates the number of tokens of a text.
func tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// sleep waits for d and reports whether ctx was still live at the end.
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
