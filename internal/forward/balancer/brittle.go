package balancer

import (
	"time"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

const (
	// rejectBackoff is how long this daemon sends nothing to a brittle endpoint that turned a
	// request away: the rate of these counts by the second, over all daemons.
	rejectBackoff = time.Second
	// brittleTTL is how long an endpoint counts as brittle after an answer last said so.
	brittleTTL = 10 * time.Second
)

type (
	// brittleness is whether an endpoint says that it ends if it has to turn away more than
	// a few requests a second. Each daemon has a share of its slots and uses no more: what
	// others have sent since their last reports is not known, and when the endpoint is back all
	// send at the same moment. All endpoints of a pool become brittle together, so one that has
	// not answered lately is taken to be what the others say.
	brittleness struct {
		// said is whether the answer at the time at said so; at is zero before the first that
		// matters. rejections is the number of requests per second that it may turn away.
		said       bool
		at         time.Duration
		rejections float64
		// rejectedAt is when it last turned away a request of this daemon; zero if never.
		rejectedAt time.Duration
		share      slotShare
	}

	// BrittlePools holds how long ago an endpoint of a pool last said that it is brittle.
	BrittlePools map[string]time.Duration

	// slotShare is the number of an endpoint's slots that this daemon may always use. It is
	// kept while the member list is the same: it takes the hash of many members.
	slotShare struct {
		members *samphireturn.VM
		count   int
		slots   int
		share   int
	}
)

// isBrittle reports whether an endpoint of a pool is brittle. The caller holds mu.
func (b *Balancer) isBrittle(e *endpoint, pool string, now time.Duration) bool {
	if s := &e.brittle; s.at > 0 && now-s.at < brittleTTL {
		return s.said
	}
	if len(b.brittlePools)+len(b.heardBrittlePools) == 0 {
		return false
	}
	at := max(b.brittlePools[pool], b.heardBrittlePools[pool])
	return at > 0 && now-at < brittleTTL
}

// LocalBrittle returns how long ago endpoints of pools last said to this daemon that they are
// brittle.
func (b *Balancer) LocalBrittle() BrittlePools {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	var pools BrittlePools
	for pool, at := range b.brittlePools {
		if now-at >= brittleTTL {
			continue
		}
		if pools == nil {
			pools = make(BrittlePools)
		}
		pools[pool] = now - at
	}
	return pools
}

// SetRemoteBrittle replaces what endpoints of pools said to other daemons. Endpoints that end
// together do so before most daemons have an answer of them, and when they are back all daemons
// send at the same moment.
func (b *Balancer) SetRemoteBrittle(pools BrittlePools) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.heardBrittlePools)
	now := b.Clock()
	for pool, age := range pools {
		if age = max(age, 0); age < brittleTTL {
			b.heardBrittlePools[pool] = now - age
		}
	}
}

// Add adds what other daemons told some time ago; of two times of a pool the later one holds.
func (p BrittlePools) Add(other BrittlePools, ago time.Duration) {
	for pool, age := range other {
		if known, ok := p[pool]; !ok || age+ago < known {
			p[pool] = age + ago
		}
	}
}

// SetBrittle records that an endpoint said in an answer that it is brittle, and how many requests
// per second it may turn away. It returns what held before, negative if it was not brittle,
// and whether that differs.
func (b *Balancer) SetBrittle(h *samphireturn.Host, rejections float64) (before float64, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(h)
	if h.Started < e.started {
		// The instance that said it is gone.
		return 0, false
	}
	s, now := &e.brittle, b.Clock()
	before = -1
	if s.said && now-s.at < brittleTTL {
		before = s.rejections
	}
	s.said, s.at, s.rejections = true, now, rejections
	b.brittlePools[h.Pool] = now
	return before, before != rejections
}

// Brittle reports whether an endpoint is brittle.
func (b *Balancer) Brittle(h *samphireturn.Host) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isBrittle(b.endpoint(h), h.Pool, b.Clock())
}

// observeBrittle ends the brittleness of an endpoint if an answer to a request sent at the time
// sentAt does not mention it, and reports whether there was one. Answers to requests sent before
// it was said may arrive after it. The caller holds mu.
func (b *Balancer) observeBrittle(h *samphireturn.Host, e *endpoint, meta samphireturn.ResponseMeta, sentAt time.Duration) (ended bool) {
	s, now := &e.brittle, b.Clock()
	if meta.NotExecuted && !meta.Misdirected {
		s.rejectedAt = now
	}
	if meta.IsBrittle || meta.MalformedBrittle != "" || !meta.HasSeal || !s.said || sentAt <= s.at {
		return false
	}
	s.said, s.at = false, now
	delete(b.brittlePools, h.Pool)
	delete(b.heardBrittlePools, h.Pool)
	return true
}

// admitsByRoom reports whether this daemon may send a request to an endpoint now that may be
// brittle. The caller holds mu.
func (b *Balancer) admitsByRoom(h *samphireturn.Host, e *endpoint, req *Request, now time.Duration) bool {
	s := &e.brittle
	if !b.isBrittle(e, req.Pool.Name, now) {
		return true
	}
	if s.rejectedAt > 0 && now-s.rejectedAt < rejectBackoff || !hasMemory(e, req) {
		return false
	}
	return e.local.Requests < s.share.of(h, req.Members, b.Self, max(h.Slots, 1))
}

// hasMemory reports whether an engine has memory for a request without preempting others.
func hasMemory(e *endpoint, req *Request) bool {
	limit := memoryThreshold * float64(req.Pool.MemoryTokens)
	return limit == 0 || float64(e.local.MemoryTokens+e.remote.MemoryTokens+req.MemoryTokens) <= limit
}

// of returns the share of the daemon self in the slots of an endpoint. With more daemons than
// slots, those that rank highest have one each.
func (s *slotShare) of(h *samphireturn.Host, members []samphireturn.VM, self string, slots int) int {
	if len(members) == 0 {
		return slots
	}
	if s.members == &members[0] && s.count == len(members) && s.slots == slots {
		return s.share
	}
	share := slots / len(members)
	if ranker.InTop("slots/"+h.ID, members, self, slots%len(members)) {
		share++
	}
	*s = slotShare{&members[0], len(members), slots, share}
	return share
}
