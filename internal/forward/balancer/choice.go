package balancer

import (
	"slices"
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

	// knownHost is an endpoint with its state and the hash of its id. It is local if it is of
	// this data centre.
	knownHost struct {
		host     *samphireturn.Host
		endpoint *endpoint
		hash     uint64
		local    bool
	}

	// candidate is an endpoint of a request, at index among its endpoints.
	candidate struct {
		knownHost
		index int
	}

	// ranking holds the endpoints of the highest weights so far for a prefix, in the fleet and
	// in this data centre.
	ranking struct {
		prefix                    uint64
		fleet, centre             candidate
		fleetWeight, centreWeight float64
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
		best   *candidate
		lowest float64
	)
	b.considerSuspicions(req, now)
	sampled, p := b.sample(req, now)
	for len(sampled) == 0 && b.relax() {
		sampled, p = b.sample(req, now)
	}
	for i := range sampled {
		c := &sampled[i]
		score := b.score(c.host, c.endpoint, req, now) + b.prefixCost(c.host, c.endpoint, req, p, now)
		if best == nil || score < lowest {
			best, lowest = c, score
		}
	}
	if best == nil {
		return nil
	}
	return b.reserve(best.host, req, now)
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
// requests to the one that looked idle to all of them. The result is valid until the next
// call. The caller holds mu.
func (b *Balancer) sample(req *Request, now time.Duration) (sampled []candidate, p preferred) {
	ranking := ranking{prefix: xxhash.Sum64String(req.PrefixID)}
	sampled, local, remote := b.sampled[:0], b.local[:0], b.remote[:0]
	known := b.knownHosts(req.Pool.Name, len(req.Hosts))
	for i, h := range req.Hosts {
		if len(req.Exclude) > 0 && req.Exclude[h.ID] {
			continue
		}
		b.refresh(&known[i], h)
		c := candidate{known[i], i}
		e := c.endpoint
		trusted := b.trusts(h, e, now)
		if req.PrefixID != "" && trusted {
			ranking.add(c, now)
		}
		switch {
		case !trusted || !b.usable(h, e, req, now):
		case req.PrefixID != "" && e.hasPrefix(req, now):
			sampled = append(sampled, c)
		case c.local:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	p = preferred{ranking.fleet.host, ranking.centre.host}
	for _, c := range []candidate{ranking.fleet, ranking.centre} {
		from := &remote
		if c.local {
			from = &local
		}
		if at, ok := find(*from, c); ok {
			*from = slices.Delete(*from, at, at+1)
			at, _ = find(sampled, c)
			sampled = slices.Insert(sampled, at, c)
		}
	}
	sampled = b.draw(sampled, local, localSamples)
	sampled = b.draw(sampled, remote, remoteSamples)
	b.sampled, b.local, b.remote = sampled, local, remote
	return sampled, p
}

// find returns the position of a candidate among others in the order of the request's
// endpoints, or where it would be, and whether it is there.
func find(others []candidate, c candidate) (at int, ok bool) {
	at, ok = slices.BinarySearchFunc(others, c, func(o, c candidate) int { return o.index - c.index })
	return at, ok && others[at].host == c.host
}

// knownHosts returns what is known of the endpoints of the last request to a pool, extended to n.
// Successive requests mostly have the same endpoints, so it saves looking up each one by its id.
// The caller holds mu.
func (b *Balancer) knownHosts(pool string, n int) []knownHost {
	known := b.known[pool]
	if len(known) < n {
		known = slices.Grow(known, n-len(known))[:n]
		b.known[pool] = known
	}
	return known
}

// refresh sets what is known of an endpoint of a request. The caller holds mu.
func (b *Balancer) refresh(k *knownHost, h *samphireturn.Host) {
	if k.host == h {
		b.update(k.endpoint, h)
		return
	}
	*k = knownHost{h, b.endpoint(h), xxhash.Sum64String(h.ID), h.Centre == b.Centre}
}

// draw appends up to n endpoints drawn at random from the given ones, which it reorders.
func (b *Balancer) draw(sampled, from []candidate, n int) []candidate {
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

// add ranks an endpoint.
func (r *ranking) add(c candidate, now time.Duration) {
	weight := rendezvousWeight(r.prefix, c.hash)
	if weight <= r.fleetWeight && (weight <= r.centreWeight || !c.local) {
		return
	}
	if e := c.endpoint; e.unreachable || e.pause.active(now) || e.limit.active() {
		return
	}
	if weight > r.fleetWeight {
		r.fleet, r.fleetWeight = c, weight
	}
	if weight > r.centreWeight && c.local {
		r.centre, r.centreWeight = c, weight
	}
}

// preferredHosts returns the preferred endpoints for a request's prefix. The caller holds mu and
// has called considerSuspicions.
func (b *Balancer) preferredHosts(req *Request, now time.Duration) preferred {
	if req.PrefixID == "" {
		return preferred{}
	}
	ranking := ranking{prefix: xxhash.Sum64String(req.PrefixID)}
	known := b.knownHosts(req.Pool.Name, len(req.Hosts))
	for i, h := range req.Hosts {
		if req.Exclude[h.ID] {
			continue
		}
		b.refresh(&known[i], h)
		if c := (candidate{known[i], i}); b.trusts(h, c.endpoint, now) {
			ranking.add(c, now)
		}
	}
	return preferred{ranking.fleet.host, ranking.centre.host}
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
func rendezvousWeight(prefix, id uint64) float64 {
	// Finalizer of SplitMix64.
	x := prefix + id
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64(x^x>>31) / (1 << 64)
}
