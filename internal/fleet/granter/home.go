package granter

import (
	"slices"
	"time"
)

const (
	// distantPast is earlier than any reading of the clock.
	distantPast = -1 << 62
	// nanosPerMilli is a millisecond in the unit of the clock.
	nanosPerMilli = int64(time.Millisecond)
)

type (
	// client is a daemon that sends requests to this one.
	client struct {
		instance uint32
		seq      uint64
		// echoedTime is this daemon's clock in the last response that the client
		// had when it sent its latest request.
		echoedTime int64
		// lastRequest is this daemon's clock when the latest request arrived.
		lastRequest int64
		demands     map[uint32]Demand
		sentGrants  map[uint32]int64
	}

	// homedEndpoint is an endpoint that this daemon is home of.
	homedEndpoint struct {
		endpoint *endpoint
		// majoritySince is when the current majority of daemons began to send
		// requests for the endpoint without a break, 0 without a majority;
		// majorityUntil is when that majority ends.
		majoritySince, majorityUntil int64
		warmUp                       warmUp
		allocations                  map[string]*allocation
	}

	// allocation is the work that one daemon may have in flight at an endpoint.
	allocation struct {
		// excess is the work beyond the grant, as the daemon last reported it.
		excess int64
		// lastGrant is the latest grant; peakGrant is the largest one that may
		// still be valid or in use.
		lastGrant, peakGrant int64
		// reported is true once the daemon has reported all its work since this
		// daemon became home.
		reported bool
		// acked is true once the daemon has acknowledged a grant of the current
		// majority.
		acked bool
		// grantExpires is the latest time at which the last grant expires.
		grantExpires int64
	}
)

// updateHomed adds and removes homed endpoints as this daemon becomes home or
// ceases to be. A new homed endpoint has no record of earlier grants, so every
// daemon must report all its work first. It also forgets clients that are
// unlisted and have sent nothing for absentTimeout. The caller holds mu.
func (g *Granter) updateHomed(now int64) {
	for key, h := range g.homed {
		if ep := g.endpoints[key]; ep != h.endpoint || ep.home != g.self.ID {
			delete(g.homed, key)
		}
	}
	for key, ep := range g.endpoints {
		if ep.home != g.self.ID || g.homed[key] != nil {
			continue
		}
		g.homed[key] = &homedEndpoint{endpoint: ep, warmUp: newWarmUp(ep.info, now), allocations: make(map[string]*allocation)}
		modes.Add("home", 1)
	}
	for id, c := range g.clients {
		if now-c.lastRequest > int64(absentTimeout) && !slices.Contains(g.view.listed, id) {
			delete(g.clients, id)
			for _, h := range g.homed {
				delete(h.allocations, id)
			}
		}
	}
}

// respond returns the response to a request. The caller holds mu.
func (g *Granter) respond(from string, req *Request, now int64) *Response {
	for _, h := range g.homed {
		g.expireMajority(h, now)
	}
	c := g.clientOf(from, req)
	c.lastRequest = now
	g.view.recordOtherCount(req.Daemons, now)
	resp := &Response{Instance: g.instance, HomeTime: now / nanosPerMilli, Daemons: len(g.view.listed)}
	if req.HomeInstance == g.instance {
		c.echoedTime = min(req.HomeTime*nanosPerMilli, now)
	}
	if !req.Full && (req.HomeInstance != g.instance || req.AckedSeq != c.seq) {
		reasons.Add("resync", 1)
		// The client discards our grants, so its next request reports all its work.
		c.demands, c.sentGrants = nil, nil
		c.seq++
		resp.Seq, resp.Resync = c.seq, true
		return resp
	}
	acked := req.HomeInstance == g.instance && req.AckedSeq == c.seq
	if req.Full {
		c.demands = make(map[uint32]Demand, len(req.Demands))
		resp.Full = true
	}
	for _, demand := range req.Demands {
		c.demands[demand.Key] = demand
	}
	c.seq++
	resp.Seq = c.seq
	g.addGrants(from, c, acked, resp, now)
	return resp
}

// clientOf returns the client with the id from. A new process of that daemon
// starts without work in flight, so its earlier allocations are dropped.
func (g *Granter) clientOf(from string, req *Request) *client {
	c := g.clients[from]
	if c != nil && c.instance == req.Instance {
		return c
	}
	c = &client{instance: req.Instance, echoedTime: distantPast}
	g.clients[from] = c
	for _, h := range g.homed {
		delete(h.allocations, from)
	}
	return c
}

// addGrants adds the grants for all demands of a client to the response; those
// that the client already has are left out unless the response is full.
func (g *Granter) addGrants(from string, c *client, acked bool, resp *Response, now int64) {
	ttl := int64(GrantTTL)
	grants := make(map[uint32]int64, len(c.demands))
	for key, demand := range c.demands {
		h := g.homed[key]
		if h == nil {
			grants[key] = workNotHome
			continue
		}
		if !h.recordDemand(from, demand, acked, c.sentGrants) {
			grants[key] = workReportAll
			continue
		}
		grants[key] = g.grantTo(h, from, now)
		if grants[key] >= 0 {
			ttl = min(ttl, h.majorityUntil-now)
		}
	}
	// Whole milliseconds, rounded down.
	resp.TTL = ttl / nanosPerMilli
	for key, work := range grants {
		if work >= 0 {
			g.homed[key].allocations[from].grantExpires = now + ttl
		}
		if old, ok := c.sentGrants[key]; resp.Full || !ok || old != work {
			resp.Grants = append(resp.Grants, Grant{Key: key, Work: work})
		}
	}
	slices.SortFunc(resp.Grants, func(x, y Grant) int { return int(int64(x.Key) - int64(y.Key)) })
	c.sentGrants = grants
}

// recordDemand records a client's demand. Once the client has acknowledged the
// last grant, earlier and larger grants no longer count. It returns false until
// the client has reported all its work.
func (h *homedEndpoint) recordDemand(from string, demand Demand, acked bool, sent map[uint32]int64) bool {
	a := h.allocations[from]
	if a == nil {
		a = new(allocation)
		h.allocations[from] = a
	}
	a.excess = demand.Excess
	work, ok := sent[demand.Key]
	if acked && ok && work >= 0 {
		a.peakGrant, a.acked = work, true
	}
	a.reported = a.reported || acked && ok && work == workReportAll
	h.warmUp.overloaded = h.warmUp.overloaded || demand.Overloaded
	return a.reported
}

// renewOwnGrants advances the warm-ups of the homed endpoints and renews the
// grants that this daemon gives itself. The caller holds mu.
func (g *Granter) renewOwnGrants(now int64) {
	for _, h := range g.homed {
		ep := h.endpoint
		g.expireMajority(h, now)
		g.advanceWarmUp(h, now)
		a := h.allocations[g.self.ID]
		if a == nil {
			a = &allocation{reported: true, acked: true}
			h.allocations[g.self.ID] = a
		}
		a.excess = ep.info.Quota.Outstanding.Load()
		a.peakGrant = 0
		work := g.grantTo(h, g.self.ID, now)
		ep.applyGrant(g.self.ID, work, now, min(now+int64(GrantTTL), h.majorityUntil))
	}
}

// expireMajority resets the majority of an endpoint if it has ended. The other
// daemons' grants must then be acknowledged anew.
func (g *Granter) expireMajority(h *homedEndpoint, now int64) {
	if h.majorityUntil > now {
		return
	}
	h.majoritySince = 0
	for id, a := range h.allocations {
		a.acked = id == g.self.ID
	}
}

// grantTo returns the grant for one daemon and counts it towards the work that
// the daemon may have in flight, or returns workNotHome or workPending. The
// caller holds mu.
func (g *Granter) grantTo(h *homedEndpoint, id string, now int64) int64 {
	h.majorityUntil = g.majorityEnd(h, now)
	if h.majorityUntil <= now {
		return workNotHome
	}
	if h.majoritySince == 0 {
		h.majoritySince = now
	}
	if now < h.majoritySince+int64(GrantTTL) {
		return workPending
	}
	a := h.allocations[id]
	work := g.allocate(h, id, now)
	a.lastGrant = work
	a.peakGrant = max(a.peakGrant, work)
	return work
}

// majorityEnd returns when the latest majority of daemons requesting the
// endpoint ends, by this daemon's clock. A daemon's request counts from the
// time in the response that it echoes, so a request that was delayed does not
// count for longer.
func (g *Granter) majorityEnd(h *homedEndpoint, now int64) int64 {
	votes := append(g.votes[:0], now)
	n := g.view.daemonCount()
	for id, c := range g.clients {
		if _, ok := c.demands[h.endpoint.key]; ok && id != g.self.ID {
			votes = append(votes, c.echoedTime)
		}
	}
	g.votes = votes
	n = max(n, len(votes))
	quorum := n/2 + 1
	if len(votes) < quorum {
		return distantPast
	}
	slices.Sort(votes)
	return votes[len(votes)-quorum] + int64(GrantTTL)
}

// isActive reports whether the daemon currently requests the endpoint from this
// one.
func (g *Granter) isActive(h *homedEndpoint, id string, now int64) bool {
	if id == g.self.ID {
		return true
	}
	c := g.clients[id]
	if c == nil || now-c.echoedTime >= int64(GrantTTL) {
		return false
	}
	_, ok := c.demands[h.endpoint.key]
	return ok
}
