// Package balancer chooses the endpoint of each request. It combines the load
// that this daemon has in flight with the loads that endpoints report and those
// that other daemons share.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"samphireturn"
)

const (
	// failureHalfLife is the time in which the number of failures of an endpoint halves.
	failureHalfLife = time.Second
	// loadReportTTL is how long the load reported by an endpoint or shared by other
	// daemons counts.
	loadReportTTL = 2 * time.Second
)

type (
	// Balancer chooses endpoints. Set the exported fields before the first call.
	Balancer struct {
		// Self is the id of this daemon, Centre its data centre.
		Self, Centre string
		// Clock is a monotonic clock that also advances while the machine is
		// suspended.
		Clock func() time.Duration
		// Rand returns a number in [0, 1) that breaks ties.
		Rand func() float64
		// OnRelease, if not nil, is called after a reservation ended whose request may have run.
		OnRelease func(Release)

		mu        sync.Mutex
		endpoints map[string]*endpoint
		latencies map[string]*latency
		// brittlePools holds when an endpoint of a pool last said to this daemon that it is
		// brittle, and heardBrittlePools when one said so to another.
		brittlePools, heardBrittlePools map[string]time.Duration
		// suspicions holds the groups that are suspect, caution those of the current choice.
		suspicions map[groupKey]*suspicion
		caution    caution
		// lastActive is when any endpoint last sent anything.
		lastActive time.Duration
		rooms      rooms
		// known holds the endpoints of the last request to each pool.
		known map[string][]knownHost
		// sampled, local and remote are buffers of sample.
		sampled, local, remote []candidate
	}

	// endpoint is the state of one endpoint.
	endpoint struct {
		// The following fields, up to limit, are those that are read for each endpoint of each
		// request; they are together since reading memory takes most of that time.

		unreachable bool
		// prefixSent holds when each prompt prefix was last sent, by prefixHash.
		prefixSent map[uint64]time.Duration
		// warmUpUntil is when warm-up ends; nextWarmUpSend is when this daemon may next
		// send a request during warm-up.
		warmUpUntil, nextWarmUpSend time.Duration
		pause                       pause
		brittle                     brittleness
		limit                       limit
		// local is the load of this daemon.
		local Load
		// remote is the load of all other daemons, received at remoteAt.
		remote   Load
		remoteAt time.Duration
		// reported is the number of requests that the endpoint reported at reportedAt;
		// sinceReport is the change in this daemon's requests since then.
		reported    int
		reportedAt  time.Duration
		sinceReport int
		// lastActive is when the endpoint last sent anything, or was first used.
		lastActive time.Duration
		// failures is the decayed number of failures as of failuresAt.
		failures   float64
		failuresAt time.Duration
		// announcedWarmUp is the last WarmUpLeft applied from the endpoint's entry.
		announcedWarmUp time.Duration
		// started is Host.Started of the last known instance, to which the pause, the limit,
		// the brittleness and the pace belong.
		started    int64
		sender     sender
		limitShare limitShare
		pace       pace
		presence   presence
		// roomSearch is the latest search for room that looked at the endpoint, and roomIndex its
		// index there.
		roomSearch *roomSearch
		roomIndex  int
	}
)

// New returns a Balancer for the daemon with the id self in the data centre.
func New(self, centre string, clock func() time.Duration) *Balancer {
	return &Balancer{Self: self, Centre: centre, Clock: clock, Rand: rand.Float64, endpoints: make(map[string]*endpoint), latencies: make(map[string]*latency), brittlePools: make(map[string]time.Duration), heardBrittlePools: make(map[string]time.Duration), suspicions: make(map[groupKey]*suspicion), known: make(map[string][]knownHost)}
}

// RecordActivity records that an endpoint sent something.
func (b *Balancer) RecordActivity(h *samphireturn.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastActive = b.Clock()
	e := b.endpoint(h)
	e.lastActive, e.presence.activeAt = b.lastActive, b.lastActive
}

// SilentFor returns the time since an endpoint last sent anything.
func (b *Balancer) SilentFor(h *samphireturn.Host) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock() - b.endpoint(h).lastActive
}

// AllSilentFor returns the time since any endpoint last sent anything.
func (b *Balancer) AllSilentFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock() - b.lastActive
}

// RecordFailure records that an endpoint failed a request. If it is unreachable,
// Pick does not choose it until MarkReachable or the next answer from it.
func (b *Balancer) RecordFailure(h *samphireturn.Host, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(h)
	now := b.Clock()
	e.failures = e.decayedFailures(now) + 1
	e.failuresAt = now
	e.unreachable = e.unreachable || unreachable
}

// Unreachable returns the endpoints that are marked unreachable.
func (b *Balancer) Unreachable(pools map[string][]*samphireturn.Host) []*samphireturn.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var unreachable []*samphireturn.Host
	for _, hosts := range pools {
		for _, h := range hosts {
			if b.endpoint(h).unreachable {
				unreachable = append(unreachable, h)
			}
		}
	}
	return unreachable
}

// Reaches reports whether an endpoint is neither marked unreachable nor, as far as its address
// told lately, gone.
func (b *Balancer) Reaches(h *samphireturn.Host) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(h)
	return !e.unreachable && !e.presence.misdirected(b.Clock())
}

// CountUnreachable returns the number of the endpoints that are marked unreachable.
func (b *Balancer) CountUnreachable(hosts []*samphireturn.Host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, h := range hosts {
		if b.endpoint(h).unreachable {
			n++
		}
	}
	return n
}

// MarkReachable records that an endpoint can be reached again and forgets its
// failures.
func (b *Balancer) MarkReachable(h *samphireturn.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(h)
	e.unreachable = false
	e.failures = 0
}

// StartWarmUp treats the endpoints of a data centre as warming up for the
// duration d, since they may have been restarted while it was out of service.
func (b *Balancer) StartWarmUp(centre string, hosts []*samphireturn.Host, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	for _, h := range hosts {
		if h.Centre == centre {
			e := b.endpoint(h)
			e.warmUpUntil = max(e.warmUpUntil, now+d)
		}
	}
}

// Retain forgets endpoints that are no longer listed, have no load of this daemon, and are
// neither paused nor, by a recent answer, limited.
func (b *Balancer) Retain(pools map[string][]*samphireturn.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool, len(b.endpoints))
	for _, hosts := range pools {
		for _, h := range hosts {
			listed[h.ID] = true
		}
	}
	now := b.Clock()
	b.retainSuspicions(now)
	for id, e := range b.endpoints {
		if !listed[id] && e.local == (Load{}) && !e.pause.active(now) && !e.limit.confirmed(now) {
			delete(b.endpoints, id)
			// It may be among them.
			clear(b.known)
		}
	}
}

// endpoint returns the state of an endpoint, created on first use and updated. The caller
// holds mu.
func (b *Balancer) endpoint(h *samphireturn.Host) *endpoint {
	e := b.endpoints[h.ID]
	if e == nil {
		e = &endpoint{lastActive: b.Clock()}
		b.endpoints[h.ID] = e
	}
	b.update(e, h)
	return e
}

// update applies an endpoint's entry to its state: a newly announced warm-up time, and a new
// instance, with which a pause, a limit, the brittleness and a pace end. The caller holds mu.
func (b *Balancer) update(e *endpoint, h *samphireturn.Host) {
	if h.Started > e.started {
		e.started = h.Started
		e.pause.until, e.pause.onTrial = 0, false
		e.limit = limit{}
		e.brittle = brittleness{}
		e.pace = pace{}
	}
	if h.WarmUpLeft > 0 && e.announcedWarmUp != h.WarmUpLeft {
		e.announcedWarmUp = h.WarmUpLeft
		e.warmUpUntil = max(e.warmUpUntil, b.Clock()+h.WarmUpLeft)
	}
}

// inFlight estimates the number of requests at an endpoint.
func (e *endpoint) inFlight(now time.Duration) int {
	n := e.local.Requests
	if e.remoteAt > 0 && now-e.remoteAt < loadReportTTL {
		n += e.remote.Requests
	}
	if e.reportedAt > 0 && now-e.reportedAt < loadReportTTL {
		n = max(n, e.reported+e.sinceReport)
	}
	return n
}

// decayedFailures returns the number of failures, decayed by failureHalfLife.
func (e *endpoint) decayedFailures(now time.Duration) float64 {
	if e.failures == 0 {
		return 0
	}
	halfLives := float64(now-e.failuresAt) / float64(failureHalfLife)
	for ; halfLives >= 1 && e.failures > 0.01; halfLives-- {
		e.failures /= 2
		e.failuresAt += failureHalfLife
	}
	return e.failures
}
