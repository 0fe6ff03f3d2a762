package balancer

import (
	"slices"
	"time"

	"samphireturn"
)

const (
	// roomTTL is how long the answer of a search for endpoints with room is used, and
	// minRoomTTL the least time between two searches for one set of endpoints. A search looks
	// at all of them, as a choice does.
	roomTTL    = 50 * time.Millisecond
	minRoomTTL = 5 * time.Millisecond
	// maxRoomy bounds the endpoints with room that a search returns. It ends when it has
	// found them.
	maxRoomy = 32
	// roomySamples is the number of them that compete for a request.
	roomySamples = 2
	// scarceShare is the share of free slots below which room is scarce: most of the few
	// endpoints that compete for a request may be full.
	scarceShare = 0.25
	// maxFreed bounds the places that own requests left and freedTTL is how long they are
	// known; then other daemons see them too.
	maxFreed = 1024
	freedTTL = time.Second
	// freedSamples is the number of these places that compete for a request.
	freedSamples = 8
	// excessTime is the time in which all daemons together move the excess load of an
	// endpoint to others. Loads that others share are up to a second old; with a shorter
	// time, too much is moved before that is seen.
	excessTime = 2 * time.Second
	// maxRoomSets bounds the sets of endpoints of which a search is kept: one or two for
	// each pool.
	maxRoomSets = 64
)

type (
	// Room is the capacity that a request's endpoints have, as far as this daemon knows.
	Room struct {
		// Usable is true if any endpoint may be used, full or not.
		Usable bool
		// Free is the number of requests for which there is capacity, or fewer if many
		// endpoints have some.
		Free int
		// Spare is the capacity of all usable endpoints less their load, in requests; it is
		// negative if they have more than that.
		Spare float64
		// Slots is the capacity of all usable endpoints in requests.
		Slots float64
		// Own is the number of this daemon's requests in flight, if Free is 0.
		Own int
		// Scarce is true if little of the capacity is free.
		Scarce bool
		// Unknown is true if an endpoint may be used whose slots are not known; it is left out
		// of Spare and Slots.
		Unknown bool
	}

	// Release describes a reservation that ended.
	Release struct {
		Host *samphireturn.Host
		// Held is how long it lasted.
		Held time.Duration
	}

	// rooms holds the results of the latest searches for endpoints with room.
	rooms struct {
		sets map[roomSet]*roomSearch
		// hearsOthers is true if other daemons lately shared their loads.
		hearsOthers bool
	}

	// roomSet identifies a set of endpoints: those of a pool, or of one release there. If two
	// sets are taken for one, a search is repeated.
	roomSet struct {
		pool, first string
		count       int
	}

	// roomSearch is the result of a search.
	roomSearch struct {
		at      time.Duration
		usable  bool
		unknown bool
		own     int
		spare   float64
		slots   float64
		// partial is true if the search ended before it had looked at all endpoints.
		partial bool
		// roomy holds the indexes of the endpoints that had free slots or had a request of this
		// daemon end since; cursor is where the next search begins.
		roomy  []int
		cursor int
		// freed holds the places that own requests left, the last one at the end.
		freed []freedPlace
	}

	// freedPlace is a place at an endpoint that an own request left.
	freedPlace struct {
		index int
		id    string
		at    time.Duration
	}
)

// Room returns the capacity that a request's endpoints have. Its answer is up to roomTTL old,
// apart from the endpoints that have room, which are checked.
func (b *Balancer) Room(req *Request) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	b.considerSuspicions(req, now)
	s := b.roomSearch(req, now)
	r := b.checkRoom(s, req, now)
	// Other endpoints may have room: some were not looked at, or not kept for want of memory.
	outdated := s.partial && len(s.roomy) == 0 || len(s.roomy) > 0 && now-s.at >= minRoomTTL
	if r.Free == 0 && outdated {
		b.search(s, req, now)
		r = b.checkRoom(s, req, now)
	}
	return r
}

// PickRoomy reserves a place that an own request left or, if there is none, is Pick among the
// endpoints that have room, as far as a search for them found. Daemons that all chose
// endpoints by loads that are a second old would fill some of them and leave others unused;
// requests that follow own ones leave the loads as they are.
func (b *Balancer) PickRoomy(req *Request) *Reservation {
	b.mu.Lock()
	now := b.Clock()
	b.considerSuspicions(req, now)
	s := b.roomSearch(req, now)
	req.prefix = req.prefixHash()
	if h := b.takeFreed(s, req, now); h != nil {
		defer b.mu.Unlock()
		return b.reserve(h, req, now)
	}
	hosts := b.drawRoomy(s, req, now)
	b.mu.Unlock()
	if len(hosts) == 0 {
		return nil
	}
	restricted := *req
	restricted.Hosts = hosts
	return b.Pick(&restricted)
}

// drawRoomy returns up to roomySamples endpoints with room, drawn at random by their free slots:
// daemons that all chose the cheapest ones would send more there than fits. The caller holds mu.
func (b *Balancer) drawRoomy(s *roomSearch, req *Request, now time.Duration) []*samphireturn.Host {
	var free [maxRoomy]int
	sum := 0
	for n, i := range s.roomy {
		free[n], _ = b.roomAt(i, req, now)
		sum += free[n]
	}
	hosts := make([]*samphireturn.Host, 0, roomySamples)
	for len(hosts) < roomySamples && sum > 0 {
		draw := int(b.Rand() * float64(sum))
		for n, i := range s.roomy {
			if draw -= free[n]; draw < 0 {
				hosts = append(hosts, req.Hosts[i])
				sum -= free[n]
				free[n] = 0
				break
			}
		}
	}
	return hosts
}

// TakePlace discards the last place that an own request left, as another request is sent that
// follows it, although to any endpoint: else a place would be used twice once room is scarce.
func (b *Balancer) TakePlace(req *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.roomSearch(req, b.Clock()); len(s.freed) > 0 {
		s.freed = s.freed[:len(s.freed)-1]
	}
}

// HearsOthers reports whether other daemons shared their loads in the last seconds.
func (b *Balancer) HearsOthers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rooms.hearsOthers
}

// roomSearch returns the latest search for a request's endpoints, repeated if it is out of
// date. The caller holds mu.
func (b *Balancer) roomSearch(req *Request, now time.Duration) *roomSearch {
	set := roomSet{pool: req.Pool.Name, count: len(req.Hosts)}
	if set.count > 0 {
		set.first = req.Hosts[0].ID
	}
	s := b.rooms.sets[set]
	if s != nil && now-s.at < roomTTL {
		return s
	}
	if s == nil {
		if b.rooms.sets == nil || len(b.rooms.sets) >= maxRoomSets {
			b.rooms.sets = make(map[roomSet]*roomSearch)
		}
		s = &roomSearch{roomy: make([]int, 0, maxRoomy)}
		b.rooms.sets[set] = s
	}
	b.search(s, req, now)
	return s
}

// search looks for endpoints with room until it has found maxRoomy that the request fits. Others
// with free slots are kept as long as there is space, for smaller requests. The caller holds mu.
func (b *Balancer) search(s *roomSearch, req *Request, now time.Duration) {
	s.at, s.usable, s.unknown, s.own, s.roomy = now, false, false, 0, s.roomy[:0]
	looked, load, slots, fits := 0, 0, 0, 0
	for ; looked < len(req.Hosts) && fits < maxRoomy; looked++ {
		i := (s.cursor + looked) % len(req.Hosts)
		h := req.Hosts[i]
		e := b.endpoint(h)
		e.roomSearch, e.roomIndex = s, i
		s.own += e.local.Requests
		if req.Exclude[h.ID] || !b.usable(h, e, req, now) || !b.trusts(h, e, now) {
			continue
		}
		s.usable = true
		if h.Slots > 0 {
			load += e.inFlight(now)
			slots += h.Slots
		} else {
			s.unknown = true
		}
		if freeSlots(h, e, now) == 0 {
			continue
		}
		if fitsMemory(e, req) {
			fits = s.addFitting(i, fits)
		} else if len(s.roomy) < maxRoomy {
			s.roomy = append(s.roomy, i)
		}
	}
	s.cursor = (s.cursor + looked) % max(len(req.Hosts), 1)
	s.partial = looked < len(req.Hosts)
	// Endpoints that were not looked at are taken to have as much.
	factor := float64(len(req.Hosts)) / float64(max(looked, 1))
	s.spare, s.slots = factor*float64(slots-load), factor*float64(slots)
}

// addFitting adds an endpoint to those with room, of which the first ones fit the request of
// the search, and returns the number of these.
func (s *roomSearch) addFitting(i, fits int) int {
	switch {
	case len(s.roomy) == maxRoomy:
		s.roomy[fits] = i
	default:
		s.roomy = append(s.roomy, i)
		last := len(s.roomy) - 1
		s.roomy[fits], s.roomy[last] = i, s.roomy[fits]
	}
	return fits + 1
}

// checkRoom returns what is left of the capacity that a search found, and forgets endpoints
// that became full. The caller holds mu.
func (b *Balancer) checkRoom(s *roomSearch, req *Request, now time.Duration) Room {
	r := Room{Usable: s.usable, Spare: s.spare, Slots: s.slots, Own: s.own, Scarce: s.spare < scarceShare*s.slots, Unknown: s.unknown}
	for n := 0; n < len(s.roomy); {
		free, slots := b.roomAt(s.roomy[n], req, now)
		if slots == 0 {
			last := len(s.roomy) - 1
			s.roomy[n] = s.roomy[last]
			s.roomy = s.roomy[:last]
			continue
		}
		r.Free += free
		n++
	}
	return r
}

// roomAt returns the capacity of the endpoint at an index of a request's endpoints, for the
// request and for one that needs no memory. The caller holds mu.
func (b *Balancer) roomAt(i int, req *Request, now time.Duration) (free, slots int) {
	if i >= len(req.Hosts) {
		return 0, 0
	}
	h := req.Hosts[i]
	e := b.endpoint(h)
	if req.Exclude[h.ID] || !b.usable(h, e, req, now) || !b.trusts(h, e, now) {
		return 0, 0
	}
	slots = freeSlots(h, e, now)
	if !fitsMemory(e, req) {
		return 0, slots
	}
	return slots, slots
}

// freeSlots returns the number of requests that an endpoint takes without queueing them, memory
// apart. Of an endpoint whose slots are not known it is 1, as it may take any number.
func freeSlots(h *samphireturn.Host, e *endpoint, now time.Duration) int {
	if h.Slots <= 0 {
		return 1
	}
	return max(h.Slots-e.inFlight(now), 0)
}

// fitsMemory reports whether an engine has memory for a request. One that is too large for any
// engine would wait in vain and keep others waiting, so it goes where a slot is free.
func fitsMemory(e *endpoint, req *Request) bool {
	return float64(req.MemoryTokens) > memoryThreshold*float64(req.Pool.MemoryTokens) || hasMemory(e, req)
}

// takeFreed returns the endpoint with the lowest score of the last places that own requests
// left and that a request may take, or nil. The caller holds mu.
func (b *Balancer) takeFreed(s *roomSearch, req *Request, now time.Duration) *samphireturn.Host {
	if len(s.freed) == 0 {
		// The preferred endpoints are found among all of the pool.
		return nil
	}
	var (
		best   *samphireturn.Host
		taken  int
		lowest float64
	)
	p := b.preferredHosts(req, now)
	for i := len(s.freed) - 1; i >= max(len(s.freed)-freedSamples, 0); i-- {
		place := s.freed[i]
		if now-place.at > freedTTL {
			s.freed = s.freed[:copy(s.freed, s.freed[i+1:])]
			taken -= i + 1
			break
		}
		if place.index >= len(req.Hosts) || req.Hosts[place.index].ID != place.id || req.Exclude[place.id] {
			continue
		}
		h := req.Hosts[place.index]
		e := b.endpoint(h)
		// What this daemon knows of the load alone is exact.
		rejected := e.brittle.rejectedAt > 0 && e.brittle.rejectedAt >= place.at
		fits := fitsMemory(e, req) && (freeSlots(h, e, now) > 0 || b.rooms.hearsOthers)
		if !fits || rejected || !b.usable(h, e, req, now) || !b.trusts(h, e, now) {
			continue
		}
		if score := b.score(h, e, req, now) + b.prefixCost(h, e, req, p, now); best == nil || score < lowest {
			best, lowest, taken = h, score, i
		}
	}
	if best != nil {
		s.freed = slices.Delete(s.freed, taken, taken+1)
	}
	return best
}

// releaseRoom records in the latest search of its set that a request of this daemon left an endpoint.
// If the endpoint has more load than slots, a part of the places is not used again there. The
// caller holds mu.
func (b *Balancer) releaseRoom(r Release, e *endpoint) {
	if b.OnRelease == nil {
		return
	}
	h, now := r.Host, b.Clock()
	inFlight := e.inFlight(now)
	excess := float64(inFlight+1-h.Slots) / float64(inFlight+1)
	moved := h.Slots > 0 && excess > 0 && b.Rand() < excess*min(float64(r.Held)/float64(excessTime), 1)
	s := e.roomSearch
	if s == nil {
		return
	}
	if len(s.roomy) < maxRoomy && !slices.Contains(s.roomy, e.roomIndex) {
		s.roomy = append(s.roomy, e.roomIndex)
	}
	if moved {
		return
	}
	if len(s.freed) == maxFreed {
		s.freed = s.freed[:copy(s.freed, s.freed[maxFreed/2:])]
	}
	s.freed = append(s.freed, freedPlace{e.roomIndex, h.ID, now})
}
