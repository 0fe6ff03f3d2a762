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
	// sampled is the number of endpoints compared at random.
	sampled = 2
	// probes bounds the random draws for one sampled endpoint before the pool
	// is scanned.
	probes = 4
	// defaultSpeed is the assumed speed, in tokens a second, of an endpoint that
	// has not reported one.
	defaultSpeed = 1000
	// prefillCost is the time of reading a prompt token in units of the time of
	// making an output token.
	prefillCost = 0.25
	// paceAge is the time after which the learned speed of an endpoint without work
	// is no longer used, so that it is tried again.
	paceAge = 10 * time.Second
	// tokenBytes is the assumed length of a token.
	tokenBytes = 4
)

// Picker makes decisions. Set the exported fields before use; the zero value
// works without prefix knowledge. It is safe for concurrent use if Rand is.
type Picker struct {
	// Rand returns uniform random bits; nil means math/rand/v2.
	Rand func() uint64
	// Now returns nanoseconds on the clock of Gauge.Lapse; nil means
	// nanoseconds since 1970.
	Now func() int64
	// Prefixes knows which endpoints hold which prompt prefixes; may be nil.
	Prefixes *Prefixes
}

// choice is the best endpoint seen so far in one decision.
type choice struct {
	snapshot *samphireturn.Snapshot
	request  *samphireturn.Request
	tried    []string
	// need is the work of the request, in tokens or in calls.
	need int64
	// now is in nanoseconds of the clock of Gauge.Lapse.
	now  int64
	best *samphireturn.Endpoint
	// work is what best has to do until it has answered, in the unit of need.
	work float64
}

// Endpoint returns the endpoint of this data centre that is estimated to
// finish the request first among two sampled ones, the session's last one and
// the holders of the longest known prefix. Endpoints named in tried, those
// leaving, those without room in this daemon's grant and cold ones with
// another home are passed over. It returns KindNone if none is left.
func (p *Picker) Endpoint(s *samphireturn.Snapshot, r *samphireturn.Request, v samphireturn.VersionRef, tried []string) (*samphireturn.Endpoint, error) {
	pool := s.Pools[v]
	c := choice{snapshot: s, request: r, tried: tried, need: int64(r.PromptTokens) + int64(r.OutputTokens), now: p.now()}
	if len(pool) > 0 && !centreOut(s, s.Self.Centre) {
		p.sample(&c, pool)
		if r.Session != nil {
			p.offerID(&c, r.Session.Endpoint, v)
		}
		p.offerHolders(&c, v)
	}
	if c.best == nil {
		return nil, &Error{Op: "pick endpoint of " + v.String(), Kind: KindNone}
	}
	return c.best, nil
}

// ObserveThroughput updates the throughput estimate of an endpoint with a complete
// answer. Answers is the number of this daemon's answers in flight there, this one
// included, and took the duration of the answer.
func (p *Picker) ObserveThroughput(e *samphireturn.Endpoint, prompt, output int, answers int64, took time.Duration) {
	tokens := prefillCost*float64(prompt) + float64(output)
	e.Quota.Throughput.Observe(tokens, float64(answers), took, p.now())
}

// Service returns the less loaded of two sampled endpoints of a plain service
// in this data centre, by the rules of Endpoint. The caller has asked
// AllowedService before.
func (p *Picker) Service(s *samphireturn.Snapshot, name string, tried []string) (*samphireturn.Endpoint, error) {
	pool := s.Services[name]
	c := choice{snapshot: s, tried: tried, need: 1, now: p.now()}
	if len(pool) > 0 && !centreOut(s, s.Self.Centre) {
		p.sample(&c, pool)
	}
	if c.best == nil {
		return nil, &Error{Op: "pick endpoint of " + name, Kind: KindNone}
	}
	return c.best, nil
}

// RemoteCentre returns another data centre that serves the version and is not taken
// out nor named in tried. The session's last data centre comes first; otherwise
// the choice depends on the session alone.
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
		if name == s.Self.Centre || centreOut(s, name) || slices.Contains(tried, name) {
			continue
		}
		if name == last {
			return name, nil
		}
		if h := mix(key, name); best == "" || h > score {
			best, score = name, h
		}
	}
	if best == "" {
		return "", &Error{Op: "pick data centre for " + v.String(), Kind: KindNone}
	}
	return best, nil
}

// sample offers up to two endpoints drawn at random.
func (p *Picker) sample(c *choice, pool []*samphireturn.Endpoint) {
	for range sampled {
		p.sampleOne(c, pool)
	}
}

// sampleOne offers one endpoint drawn at random. After too many draws without
// success it scans the pool from the last draw on.
func (p *Picker) sampleOne(c *choice, pool []*samphireturn.Endpoint) {
	n := uint64(len(pool))
	at := uint64(0)
	for range probes {
		at = p.draw() % n
		if e := pool[at]; e != c.best && c.usable(e) {
			p.offer(c, e)
			return
		}
	}
	for i := range n {
		if e := pool[(at+i)%n]; e != c.best && c.usable(e) {
			p.offer(c, e)
			return
		}
	}
}

// offerID offers the endpoint with the id if it serves the version here.
func (p *Picker) offerID(c *choice, id string, v samphireturn.VersionRef) {
	e := c.snapshot.Endpoints[id]
	if e == nil || e == c.best || e.Centre != c.snapshot.Self.Centre {
		return
	}
	if slices.Contains(e.Versions, v) && c.usable(e) {
		p.offer(c, e)
	}
}

// offerHolders offers the endpoints that hold the longest known prefix.
func (p *Picker) offerHolders(c *choice, v samphireturn.VersionRef) {
	if p.Prefixes == nil {
		return
	}
	var ids [ways]string
	for i := len(c.request.Prefixes) - 1; i >= 0; i-- {
		n := p.Prefixes.Holders(c.request.Prefixes[i], &ids)
		for _, id := range ids[:n] {
			p.offerID(c, id, v)
		}
		if n > 0 {
			return
		}
	}
}

// offer takes a usable endpoint if it is estimated to finish before the best.
// The two are compared by the speeds that were learned if both are known, else
// by those that they report, since a learned speed is lower than the reported
// one of an endpoint that is not fully used.
func (p *Picker) offer(c *choice, e *samphireturn.Endpoint) {
	work := p.work(c, e)
	if c.best == nil || c.sooner(work, e) {
		c.best, c.work = e, work
	}
}

// sooner reports whether e, which has so much work, finishes before the best.
func (c *choice) sooner(work float64, e *samphireturn.Endpoint) bool {
	if c.request == nil {
		return work/float64(max(e.Budget, 1)) < c.work/float64(max(c.best.Budget, 1))
	}
	mine, best := c.learned(e), c.learned(c.best)
	if mine == 0 || best == 0 {
		mine, best = reported(e), reported(c.best)
	}
	return work/mine < c.work/best
}

// learned returns the speed of an endpoint by its own answers, at most what it
// reports, or zero if that is not known of late.
func (c *choice) learned(e *samphireturn.Endpoint) float64 {
	speed, at := e.Quota.Throughput.Estimate()
	if speed == 0 || e.Quota.Requests.Load() == 0 && c.now-at > int64(paceAge) {
		return 0
	}
	return min(speed, reported(e))
}

// reported returns the speed that an endpoint reports.
func reported(e *samphireturn.Endpoint) float64 {
	if e.Throughput <= 0 {
		return defaultSpeed
	}
	return e.Throughput
}

// work returns the tokens that the endpoint has to make until it has answered
// the request. For plain services it returns the calls under way.
func (p *Picker) work(c *choice, e *samphireturn.Endpoint) float64 {
	work := float64(e.Queued + e.Quota.Outstanding.Load())
	r := c.request
	if r == nil {
		return work
	}
	prompt := r.PromptTokens
	if p.Prefixes != nil {
		held := p.Prefixes.Held(e.ID, r.Prefixes) / tokenBytes
		prompt = max(prompt-held, 0)
	}
	return work + prefillCost*float64(prompt) + float64(r.OutputTokens)
}

// usable reports whether the endpoint may take the request.
func (c *choice) usable(e *samphireturn.Endpoint) bool {
	if e.Leaving || e.Quota == nil {
		return false
	}
	if !e.Warm && e.Home != c.snapshot.Self.ID {
		return false
	}
	e.Quota.RecordDemand(c.need)
	if e.Quota.Expires.Load() <= c.now {
		return false
	}
	if e.Quota.Outstanding.Load()+c.need > e.Quota.Allowed.Load() {
		return false
	}
	return !slices.Contains(c.tried, e.ID)
}

// centreOut reports whether operators have taken the data centre out.
func centreOut(s *samphireturn.Snapshot, name string) bool {
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
