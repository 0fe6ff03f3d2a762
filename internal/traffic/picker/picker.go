// Package picker chooses the version, the endpoint and the data centre of a
// request from a snapshot of the control state. It does no I/O.
package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"samphireturn"
)

const (
	// sampleSize is the number of endpoints drawn at random for one decision.
	sampleSize = 2
	// maxDraws bounds the random draws for one sampled endpoint before the pool
	// is scanned.
	maxDraws = 4
	// defaultThroughput is the assumed throughput, in tokens per second, of an
	// endpoint that has not reported one.
	defaultThroughput = 1000
	// prefillCost is the time to process a prompt token as a fraction of the time
	// to generate an output token.
	prefillCost = 0.25
	// throughputTTL is the time after which the observed throughput of an idle
	// endpoint is no longer used, so that the endpoint is tried again.
	throughputTTL = 10 * time.Second
	// bytesPerToken is the assumed length of a token.
	bytesPerToken = 4
)

// Picker chooses versions, endpoints and data centres. Set the exported fields
// before use; the zero value works without prefix knowledge. It is safe for
// concurrent use if Rand is.
type Picker struct {
	// Rand returns uniform random bits; nil means math/rand/v2.
	Rand func() uint64
	// Now returns nanoseconds on the clock of Quota.Expires; nil means
	// nanoseconds since 1970.
	Now func() int64
	// Prefixes records which endpoints cache which prompt prefixes; may be nil.
	Prefixes *Prefixes
}

// selection is the state of one decision: the request and the best endpoint so far.
type selection struct {
	snapshot *samphireturn.Snapshot
	request  *samphireturn.Request
	tried    []string
	// cost is the cost of the request in tokens, or 1 for a plain service.
	cost int64
	// now is in nanoseconds on the clock of Quota.Expires.
	now  int64
	best *samphireturn.Endpoint
	// bestWork is the result of workUntilDone for best.
	bestWork float64
}

// Endpoint returns the endpoint of this data centre that is estimated to finish the
// request first among two sampled ones, the session's last one and those that cache
// the longest known prefix. It skips endpoints named in tried, leaving endpoints,
// those whose quota is used up or has expired, and endpoints that are warming up
// and have another home. It returns KindUnavailable if none is left.
func (p *Picker) Endpoint(s *samphireturn.Snapshot, r *samphireturn.Request, v samphireturn.VersionRef, tried []string) (*samphireturn.Endpoint, error) {
	pool := s.Pools[v]
	sel := selection{snapshot: s, request: r, tried: tried, cost: int64(r.PromptTokens) + int64(r.OutputTokens), now: p.now()}
	if len(pool) > 0 && !outOfService(s, s.Self.Centre) {
		p.sample(&sel, pool)
		if r.Session != nil {
			p.considerID(&sel, r.Session.Endpoint, v)
		}
		p.considerCached(&sel, v)
	}
	if sel.best == nil {
		return nil, &Error{Op: "pick endpoint of " + v.String(), Kind: KindUnavailable}
	}
	return sel.best, nil
}

// ObserveThroughput updates the throughput estimate of an endpoint with a complete
// answer that took the given time. Answers is the number of this daemon's answers in
// flight there, including this one.
func (p *Picker) ObserveThroughput(e *samphireturn.Endpoint, prompt, output int, answers int64, took time.Duration) {
	tokens := prefillCost*float64(prompt) + float64(output)
	e.Quota.Throughput.Observe(tokens, float64(answers), took, p.now())
}

// Service returns the endpoint of a plain service in this data centre that has the
// lower load relative to its budget among two sampled ones. It skips the same endpoints
// as Endpoint and returns KindUnavailable if none is left. The caller must have checked
// AuthorizeService.
func (p *Picker) Service(s *samphireturn.Snapshot, name string, tried []string) (*samphireturn.Endpoint, error) {
	pool := s.Services[name]
	sel := selection{snapshot: s, tried: tried, cost: 1, now: p.now()}
	if len(pool) > 0 && !outOfService(s, s.Self.Centre) {
		p.sample(&sel, pool)
	}
	if sel.best == nil {
		return nil, &Error{Op: "pick endpoint of " + name, Kind: KindUnavailable}
	}
	return sel.best, nil
}

// RemoteCentre returns another data centre that serves the version, is in service and
// is not named in tried. The session's last data centre is preferred; otherwise the
// choice depends on the session alone. It returns KindUnavailable if none is left.
func (p *Picker) RemoteCentre(s *samphireturn.Snapshot, r *samphireturn.Request, v samphireturn.VersionRef, tried []string) (string, error) {
	last := ""
	if r.Session != nil {
		if e := s.Endpoints[r.Session.Endpoint]; e != nil {
			last = e.Centre
		}
	}
	key := sessionKey(r)
	best, score := "", uint64(0)
	for _, name := range s.RemoteCentres[v] {
		if name == s.Self.Centre || outOfService(s, name) || slices.Contains(tried, name) {
			continue
		}
		if name == last {
			return name, nil
		}
		if h := mixHash(key, name); best == "" || h > score {
			best, score = name, h
		}
	}
	if best == "" {
		return "", &Error{Op: "pick data centre for " + v.String(), Kind: KindUnavailable}
	}
	return best, nil
}

// sample considers up to two endpoints drawn at random.
func (p *Picker) sample(sel *selection, pool []*samphireturn.Endpoint) {
	for range sampleSize {
		p.sampleOne(sel, pool)
	}
}

// sampleOne considers one eligible endpoint drawn at random. After maxDraws draws
// without success it scans the pool from the last draw on.
func (p *Picker) sampleOne(sel *selection, pool []*samphireturn.Endpoint) {
	n := uint64(len(pool))
	at := uint64(0)
	for range maxDraws {
		at = p.draw() % n
		if e := pool[at]; e != sel.best && sel.eligible(e) {
			p.consider(sel, e)
			return
		}
	}
	for i := range n {
		if e := pool[(at+i)%n]; e != sel.best && sel.eligible(e) {
			p.consider(sel, e)
			return
		}
	}
}

// considerID considers the endpoint with the id if it serves the version here.
func (p *Picker) considerID(sel *selection, id string, v samphireturn.VersionRef) {
	e := sel.snapshot.Endpoints[id]
	if e == nil || e == sel.best || e.Centre != sel.snapshot.Self.Centre {
		return
	}
	if slices.Contains(e.Versions, v) && sel.eligible(e) {
		p.consider(sel, e)
	}
}

// considerCached considers the endpoints that cache the longest known prefix.
func (p *Picker) considerCached(sel *selection, v samphireturn.VersionRef) {
	if p.Prefixes == nil {
		return
	}
	var ids [bucketSize]string
	for i := len(sel.request.Prefixes) - 1; i >= 0; i-- {
		n := p.Prefixes.Endpoints(sel.request.Prefixes[i], &ids)
		for _, id := range ids[:n] {
			p.considerID(sel, id, v)
		}
		if n > 0 {
			return
		}
	}
}

// consider makes e the best if it is estimated to finish the request before the best
// so far.
func (p *Picker) consider(sel *selection, e *samphireturn.Endpoint) {
	work := p.workUntilDone(sel, e)
	if sel.best == nil || sel.finishesFirst(work, e) {
		sel.best, sel.bestWork = e, work
	}
}

// finishesFirst reports whether e, with the given work, is estimated to finish before
// the best; for plain services, whether its load relative to its budget is lower. Observed throughputs are compared only if both are known, otherwise
// reported ones, since the observed throughput of an endpoint that is not fully used
// is lower than the one it reports.
func (sel *selection) finishesFirst(work float64, e *samphireturn.Endpoint) bool {
	if sel.request == nil {
		return work/float64(max(e.Budget, 1)) < sel.bestWork/float64(max(sel.best.Budget, 1))
	}
	throughput, bestThroughput := sel.observedThroughput(e), sel.observedThroughput(sel.best)
	if throughput == 0 || bestThroughput == 0 {
		throughput, bestThroughput = reportedThroughput(e), reportedThroughput(sel.best)
	}
	return work/throughput < sel.bestWork/bestThroughput
}

// observedThroughput returns the throughput estimated from the endpoint's answers to
// this daemon, at most the reported one. It returns zero if there is no estimate, or
// only one older than throughputTTL of an idle endpoint.
func (sel *selection) observedThroughput(e *samphireturn.Endpoint) float64 {
	throughput, observedAt := e.Quota.Throughput.Estimate()
	if throughput == 0 || e.Quota.Requests.Load() == 0 && sel.now-observedAt > int64(throughputTTL) {
		return 0
	}
	return min(throughput, reportedThroughput(e))
}

// reportedThroughput returns the throughput that the endpoint reports.
func reportedThroughput(e *samphireturn.Endpoint) float64 {
	if e.Throughput <= 0 {
		return defaultThroughput
	}
	return e.Throughput
}

// workUntilDone returns the tokens that the endpoint has to process until it has
// answered the request. For plain services it returns the requests in flight.
func (p *Picker) workUntilDone(sel *selection, e *samphireturn.Endpoint) float64 {
	work := float64(e.Queued + e.Quota.Outstanding.Load())
	r := sel.request
	if r == nil {
		return work
	}
	prompt := r.PromptTokens
	if p.Prefixes != nil {
		cached := p.Prefixes.CachedBytes(e.ID, r.Prefixes) / bytesPerToken
		prompt = max(prompt-cached, 0)
	}
	return work + prefillCost*float64(prompt) + float64(r.OutputTokens)
}

// eligible reports whether the endpoint may take the request. It records the
// request's demand for the endpoint's quota.
func (sel *selection) eligible(e *samphireturn.Endpoint) bool {
	if e.Leaving || e.Quota == nil {
		return false
	}
	if !e.Warm && e.Home != sel.snapshot.Self.ID {
		return false
	}
	e.Quota.RecordDemand(sel.cost)
	if e.Quota.Expires.Load() <= sel.now {
		return false
	}
	if e.Quota.Outstanding.Load()+sel.cost > e.Quota.Allowed.Load() {
		return false
	}
	return !slices.Contains(sel.tried, e.ID)
}

// outOfService reports whether operators took the data centre out of service.
func outOfService(s *samphireturn.Snapshot, name string) bool {
	if s.Config == nil {
		return false
	}
	for i := range s.Config.Centres {
		if s.Config.Centres[i].Name == name {
			return s.Config.Centres[i].OutOfService
		}
	}
	return false
}

func (p *Picker) draw() uint64 {
	if p.Rand == nil {
		return rand.Uint64()
	}
	return p.Rand()
}

func (p *Picker) now() int64 {
	if p.Now == nil {
		return time.Now().UnixNano()
	}
	return p.Now()
}
