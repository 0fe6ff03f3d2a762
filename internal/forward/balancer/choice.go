package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// Weights of the score of an endpoint. A score of 1 is the cost of an answer
// whose delay equals the request's objective.
const (
	// remoteCentreCost is added for an endpoint in another data centre, since
	// traffic between data centres is billed. Such an endpoint is chosen when the
	// local ones would take longer by a fifth of the objective.
	remoteCentreCost = 0.04
	// occupancyCost multiplies the share of slots in use: concurrent requests slow
	// each other down.
	occupancyCost = 0.1
	// memoryCost multiplies the share of memory in use above memoryThreshold, where
	// an engine begins to preempt requests.
	memoryCost      = 2
	memoryThreshold = 0.75
	// prefixMissCost is the cost of processing prefixMissTokens of a shared prompt
	// prefix that is not cached; prompt tokens are billed.
	prefixMissCost   = 0.08
	prefixMissTokens = 8000.0
	// localHitFactor scales that cost for an endpoint to which this daemon sent the
	// prefix lately, which other daemons do not know. centreAffinityFactor scales it
	// for the endpoint that the daemons of this data centre prefer for the prefix, if
	// the whole fleet prefers another one.
	localHitFactor       = 0.1
	centreAffinityFactor = 0.8
	// failureCost is the cost of a failure just seen; it halves every
	// failureHalfLife.
	failureCost = 0.5
	// tieBreakCost scales the random part of a score, which spreads requests over
	// equal endpoints.
	tieBreakCost = 0.004
	// localSamples and remoteSamples are the numbers of endpoints of this data centre and
	// of others that are drawn for a request.
	localSamples  = 3
	remoteSamples = 2
	// defaultObjective is used for routes without an objective.
	defaultObjective = time.Second
)

type (
	// Request describes a request for which Pick chooses an endpoint.
	Request struct {
		Pool *samphireturn.Pool
		// Hosts are the candidates.
		Hosts []*samphireturn.Host
		// MemoryTokens is the engine memory that the request occupies, in tokens;
		// PromptTokens is the length of its prompt.
		MemoryTokens, PromptTokens int
		// PrefixID identifies the prompt prefix that other requests share, which is
		// PrefixTokens long; it is empty if there is none.
		PrefixID     string
		PrefixTokens int
		// LatencyClass names a group of requests with similar answer times, such as
		// those to one model.
		LatencyClass string
		// Objective is the time in which the answer should begin; 0 means
		// defaultObjective.
		Objective time.Duration
		// Exclude holds the ids of endpoints that must not be chosen.
		Exclude map[string]bool
		// Members are the known daemons of the fleet.
		Members []samphireturn.VM

		// prefix is prefixHash; Pick sets it.
		prefix uint64
	}

	// preferred holds the endpoints to which requests with one prompt prefix are
	// directed. Daemons derive them by rendezvous hashing: in a large fleet, one daemon
	// sees too few of these requests to know where the prefix is cached.
	preferred struct {
		// fleet is the endpoint that all daemons prefer. centre is the one that daemons
		// of this data centre prefer if the prefix does not justify the cost of another
		// data centre.
		fleet, centre *samphireturn.Host
	}
)

// Pick reserves the endpoint with the lowest score, or returns nil if no endpoint
// may be used. The caller must call Done on the reservation.
func (b *Balancer) Pick(req *Request) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	req.prefix = req.prefixHash()
	var (
		best   *samphireturn.Host
		lowest float64
	)
	b.considerSuspicions(req, now)
	p := b.preferredHosts(req, now)
	sampled := b.sample(req, p, now)
	for len(sampled) == 0 && b.relax() {
		p = b.preferredHosts(req, now)
		sampled = b.sample(req, p, now)
	}
	for _, h := range sampled {
		score := b.score(h, b.endpoint(h), req, now) + b.prefixCost(h, b.endpoint(h), req, p, now)
		if best == nil || score < lowest {
			best, lowest = h, score
		}
	}
	if best == nil {
		return nil
	}
	return b.reserve(best, req, now)
}

// CanPick reports whether Pick would find an endpoint for a request.
func (b *Balancer) CanPick(req *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	b.considerSuspicions(req, now)
	b.caution.needed = b.caution.least
	for _, h := range req.Hosts {
		if e := b.endpoint(h); !req.Exclude[h.ID] && b.usable(h, e, req, now) && b.trusts(h, e, now) {
			return true
		}
	}
	return false
}

// usable reports whether this daemon may send a request to an endpoint now. The caller
// holds mu.
func (b *Balancer) usable(h *samphireturn.Host, e *endpoint, req *Request, now time.Duration) bool {
	return !e.unreachable && e.pause.admits(now) && b.admits(h, e, req, now) && b.admitsByLimit(h, e, req, now) && b.admitsByRoom(h, e, req, now)
}

// sample returns the endpoints that compete for a request: those that may have its
// prefix cached and a few others, drawn at random. The loads that other daemons share are
// up to a second old; if each daemon compared all endpoints, all would send their
// requests to the one that looked idle to all of them. The caller holds mu.
func (b *Balancer) sample(req *Request, p preferred, now time.Duration) []*samphireturn.Host {
	var sampled []*samphireturn.Host
	local, remote := b.local[:0], b.remote[:0]
	for _, h := range req.Hosts {
		if req.Exclude[h.ID] {
			continue
		}
		e := b.endpoint(h)
		switch {
		case !b.usable(h, e, req, now) || !b.trusts(h, e, now):
		case h == p.fleet || h == p.centre || req.PrefixID != "" && e.hasPrefix(req, now):
			sampled = append(sampled, h)
		case h.Centre == b.Centre:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	b.local, b.remote = local, remote
	sampled = b.draw(sampled, local, localSamples)
	return b.draw(sampled, remote, remoteSamples)
}

// draw appends up to n endpoints drawn at random from the given ones, which it reorders.
func (b *Balancer) draw(sampled, from []*samphireturn.Host, n int) []*samphireturn.Host {
	for i := range min(n, len(from)) {
		j := i + int(b.Rand()*float64(len(from)-i))
		from[i], from[j] = from[j], from[i]
		sampled = append(sampled, from[i])
	}
	return sampled
}

// score returns the cost of sending a request to an endpoint, without the cost of
// its shared prefix.
func (b *Balancer) score(h *samphireturn.Host, e *endpoint, req *Request, now time.Duration) float64 {
	slots := max(h.Slots, 1)
	inFlight := e.inFlight(now)
	objective := req.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	pace := e.pace.factor(now)
	lateness := float64(b.estimateDelay(e, req, inFlight, slots, pace, now)) / float64(objective)
	occupancy := occupancyCost * float64(inFlight+1) / float64(slots)
	if pace != 1 {
		occupancy *= pace
	}
	score := lateness*lateness + occupancy
	if req.Pool.MemoryTokens > 0 {
		used := float64(e.local.MemoryTokens+e.remote.MemoryTokens+req.MemoryTokens) / float64(req.Pool.MemoryTokens)
		score += memoryCost * max(used-memoryThreshold, 0)
	}
	if h.Centre != b.Centre {
		score += remoteCentreCost
	}
	score += failureCost * e.decayedFailures(now)
	return score + tieBreakCost*b.Rand()
}

// preferredHosts returns the preferred endpoints for a request's prefix.
func (b *Balancer) preferredHosts(req *Request, now time.Duration) (p preferred) {
	if req.PrefixID == "" {
		return p
	}
	prefix := xxhash.Sum64String(req.PrefixID)
	var fleetWeight, centreWeight float64
	for _, h := range req.Hosts {
		weight := rendezvousWeight(prefix, h.ID)
		if weight <= fleetWeight && (weight <= centreWeight || h.Centre != b.Centre) {
			continue
		}
		if e := b.endpoint(h); req.Exclude[h.ID] || e.unreachable || e.pause.active(now) || e.limit.active() || !b.trusts(h, e, now) {
			continue
		}
		if weight > fleetWeight {
			p.fleet, fleetWeight = h, weight
		}
		if weight > centreWeight && h.Centre == b.Centre {
			p.centre, centreWeight = h, weight
		}
	}
	return p
}

// prefixCost returns the expected cost of processing the shared prefix again. It is
// lower the likelier the endpoint has the prefix cached.
func (b *Balancer) prefixCost(h *samphireturn.Host, e *endpoint, req *Request, p preferred, now time.Duration) float64 {
	if req.PrefixID == "" {
		return 0
	}
	cost := prefixMissCost * float64(req.PrefixTokens) / prefixMissTokens
	switch {
	case h == p.fleet:
		return 0
	case e.hasPrefix(req, now):
		return localHitFactor * cost
	case h == p.centre:
		return centreAffinityFactor * cost
	}
	return cost
}

// rendezvousWeight returns a number in [0, 1] that is the same at all daemons. It mixes
// the hash of a prefix with that of an endpoint's id, as it is computed for each endpoint
// of each request.
func rendezvousWeight(prefix uint64, id string) float64 {
	// Finalizer of SplitMix64.
	x := prefix + xxhash.Sum64String(id)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64(x^x>>31) / (1 << 64)
}
