package balancer

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixTTL is how long an engine is assumed to cache a prefix after it was last
	// sent there.
	prefixTTL = 20 * time.Second
	// maxPrefixes bounds the prefixes remembered for each endpoint; all are forgotten
	// when there are more.
	maxPrefixes = 2000
	// minSampleTokens is the least number of uncached prompt tokens from which the
	// time per token is sampled.
	minSampleTokens = 300
	// Samples below the estimated time per token weigh more than those above it,
	// which include waits for other requests: the estimate is that of an otherwise
	// idle endpoint.
	fasterSampleWeight, slowerSampleWeight = 0.2, 0.02
	// defaultHeadTime is assumed before any answer of a latency class was seen.
	defaultHeadTime = 50 * time.Millisecond
	// latencyDecay is the weight of each new sample in the averages of the times to
	// the head and to the end of an answer.
	latencyDecay = 0.1
)

// latency holds the estimates for one latency class; each is 0 before the first
// sample.
type latency struct {
	// perToken is the time to process one prompt token at a pace of 1.
	perToken time.Duration
	// head is the time to the head of an answer, complete the time to its end.
	head, complete time.Duration
}

// prefixHash identifies the shared prefix within a latency class.
func (req *Request) prefixHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(req.LatencyClass)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(req.PrefixID)
	return d.Sum64()
}

// hasPrefix reports whether the endpoint is likely to have the shared prefix cached.
func (e *endpoint) hasPrefix(req *Request, now time.Duration) bool {
	at, ok := e.prefixSent[req.prefix]
	return ok && now-at < prefixTTL
}

// uncachedTokens returns the number of prompt tokens that the endpoint must process.
func (b *Balancer) uncachedTokens(e *endpoint, req *Request, now time.Duration) int {
	if req.PrefixID != "" && e.hasPrefix(req, now-1) {
		return max(req.PromptTokens-req.PrefixTokens, 0)
	}
	return req.PromptTokens
}

// promptTime estimates how long an engine processes the prompt; it is 0 for other
// endpoints. The caller holds mu.
func (b *Balancer) promptTime(e *endpoint, req *Request, now time.Duration) time.Duration {
	if req.Pool.MemoryTokens == 0 {
		return 0
	}
	return time.Duration(b.uncachedTokens(e, req, now)) * b.latency(req.LatencyClass).perToken
}

// estimateDelay estimates the time until the answer begins at an endpoint's pace. The caller
// holds mu.
func (b *Balancer) estimateDelay(e *endpoint, req *Request, inFlight, slots int, pace float64, now time.Duration) time.Duration {
	delay := b.estimateUsualDelay(e, req, inFlight, slots, now)
	if pace == 1 {
		return delay
	}
	return time.Duration(pace * float64(delay))
}

// estimateUsualDelay estimates the time until the answer begins at an endpoint that is as fast
// as usual. The caller holds mu.
func (b *Balancer) estimateUsualDelay(e *endpoint, req *Request, inFlight, slots int, now time.Duration) time.Duration {
	if req.Pool.MemoryTokens > 0 {
		return time.Duration(e.local.Backlog+e.remote.Backlog)*time.Microsecond + b.promptTime(e, req, now)
	}
	typical := cmp.Or(b.latency(req.LatencyClass).head, defaultHeadTime)
	// Requests beyond the slots wait for a free one.
	return time.Duration(max(inFlight+1-slots, 0)) * typical / time.Duration(slots)
}

// ObserveComplete records that the answer arrived completely.
func (r *Reservation) ObserveComplete() {
	b := r.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	lat := b.latency(r.request.LatencyClass)
	elapsed := b.Clock() - r.sentAt
	if lat.complete == 0 {
		lat.complete = elapsed
	}
	lat.complete += time.Duration(latencyDecay * float64(elapsed-lat.complete))
}

// CompletionTime returns the average time of a complete answer of a latency class,
// or 0 before the first.
func (b *Balancer) CompletionTime(class string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency(class).complete
}

// HeadTime returns the average time to the head of an answer of a latency class, or 0
// before the first.
func (b *Balancer) HeadTime(class string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency(class).head
}

// latency returns the estimates for a latency class. The caller holds mu.
func (b *Balancer) latency(class string) *latency {
	lat := b.latencies[class]
	if lat == nil {
		lat = new(latency)
		b.latencies[class] = lat
	}
	return lat
}

// observeHead updates the estimates with the time to the head of an answer whose
// prompt had the given number of uncached tokens. The caller holds mu.
func (b *Balancer) observeHead(req *Request, tokens int, elapsed time.Duration, e *endpoint) {
	lat := b.latency(req.LatencyClass)
	if lat.head == 0 {
		lat.head = elapsed
	}
	lat.head += time.Duration(latencyDecay * float64(elapsed-lat.head))
	if req.Pool.MemoryTokens > 0 && tokens >= minSampleTokens {
		sample := elapsed / time.Duration(tokens)
		if pace := e.pace.factor(b.Clock()); pace != 1 {
			sample = time.Duration(float64(sample) / pace)
		}
		switch {
		case lat.perToken == 0:
			lat.perToken = sample
		case sample < lat.perToken:
			lat.perToken += time.Duration(fasterSampleWeight * float64(sample-lat.perToken))
		default:
			lat.perToken += time.Duration(slowerSampleWeight * float64(min(sample, 3*lat.perToken)-lat.perToken))
		}
	}
	if len(e.prefixSent) > maxPrefixes {
		clear(e.prefixSent)
	}
}
