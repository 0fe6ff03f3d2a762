// Package balancer chooses the endpoint of a request by what this daemon sent,
// what endpoints said of their load, and what other daemons told.
package balancer

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// Weights of a choice. They are in units of a pool's slots in use: 1 stands for
// an endpoint that is full.
const (
	// farCost is what an endpoint of another data centre costs: bytes between data
	// centres are paid for, so it is used only if the own ones are half fuller.
	farCost = 0.5
	// memoryCost multiplies the part of the memory in use beyond memoryRoom, where
	// an engine begins to preempt.
	memoryCost = 4
	memoryRoom = 0.75
	// prefixGain is what a cached prompt of prefixTokens is worth: reading it takes
	// as long as some ten requests more at the engine delay all others.
	prefixGain   = 0.8
	prefixTokens = 8000.0
	// faultCost is what one fresh failure costs; it halves each faultHalf.
	faultCost = 1.0
	faultHalf = time.Second
	// reportTime is how long a report counts.
	reportTime = 2 * time.Second
	// shunTime is how long an endpoint that can't be reached is left out.
	shunTime = 1500 * time.Millisecond
	// spareDaemons is the number of daemons to allow for beside each known one,
	// since new ones send before they are known.
	spareDaemons = 0.5
)

var cold = expvar.NewInt("balancer_cold")

type (
	// Balancer chooses endpoints. Set the exported fields before the first call.
	Balancer struct {
		// Centre is the data centre of this daemon.
		Centre string
		// Clock counts suspensions too.
		Clock func() time.Duration
		// Rand returns a number from 0 up to 1 that breaks ties.
		Rand func() float64

		mu    sync.Mutex
		loads map[string]*load
	}

	// Want describes what a request needs.
	Want struct {
		Pool *samphireturn.Pool
		// Hosts are the endpoints to choose from.
		Hosts []*samphireturn.Host
		// Tokens is the memory that the request takes at an engine.
		Tokens int
		// Subject names what the prompt shares with others, and Shared how many
		// tokens that is.
		Subject string
		Shared  int
		// Avoid holds the endpoints that were tried.
		Avoid map[string]bool
		// Daemons is the number of daemons known.
		Daemons int
	}

	// Load is the work of one daemon at one endpoint.
	Load struct {
		Calls  int `cbor:"1,keyasint"`
		Tokens int `cbor:"2,keyasint,omitempty"`
	}

	// load is what is known of one endpoint.
	load struct {
		mine Load
		// others is the work of the other daemons, as of othersAt.
		others   Load
		othersAt time.Duration
		// reported is the work that the endpoint told of at reportedAt; since is the
		// change of this daemon's work since then.
		reported   int
		reportedAt time.Duration
		since      int
		// heard is when the endpoint last sent anything.
		heard   time.Duration
		faults  float64
		faultAt time.Duration
		shunned time.Duration
		// coldUntil is when the endpoint is warm; coldNext is when this daemon may
		// send to it next.
		coldUntil, coldNext time.Duration
		coldSeen            time.Duration
	}
)

// New returns a balancer of a daemon in a data centre.
func New(centre string, clock func() time.Duration) *Balancer {
	return &Balancer{Centre: centre, Clock: clock, Rand: rand.Float64, loads: make(map[string]*load)}
}

// Pick returns the endpoint for a request and counts it as sent, or nil. The
// request must be given back by Done.
func (b *Balancer) Pick(w *Want) *samphireturn.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	var (
		best  *samphireturn.Host
		least float64
	)
	for _, h := range w.Hosts {
		if w.Avoid[h.ID] {
			continue
		}
		l := b.load(h)
		if now < l.shunned || !l.admits(h, w, now) {
			continue
		}
		score := b.score(h, l, w, now)
		if best == nil || score < least {
			best, least = h, score
		}
	}
	if best == nil {
		return nil
	}
	l := b.load(best)
	l.mine.Calls++
	l.mine.Tokens += w.Tokens
	l.since++
	if now < l.coldUntil {
		cold.Add(1)
		l.coldNext = now + coldGap(w)
	}
	return best
}

// Done gives a request back.
func (b *Balancer) Done(h *samphireturn.Host, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(h)
	l.mine.Calls--
	l.mine.Tokens -= tokens
	l.since--
}

// Report takes in what an endpoint told of its load.
func (b *Balancer) Report(h *samphireturn.Host, s samphireturn.Sign) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(h)
	now := b.Clock()
	l.heard = now
	if s.Slots > 0 {
		l.reported, l.reportedAt, l.since = s.Running+s.Waiting, now, 0
	}
	if s.Cold > 0 {
		l.coldUntil = max(l.coldUntil, now+s.Cold)
	}
}

// Heard notes that an endpoint sent something.
func (b *Balancer) Heard(h *samphireturn.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(h).heard = b.Clock()
}

// Quiet returns how long an endpoint has sent nothing.
func (b *Balancer) Quiet(h *samphireturn.Host) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock() - b.load(h).heard
}

// Fault notes that an endpoint failed a request; shun that it can't be reached.
func (b *Balancer) Fault(h *samphireturn.Host, shun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(h)
	now := b.Clock()
	l.faults = l.decayed(now) + 1
	l.faultAt = now
	if shun {
		l.shunned = now + shunTime
	}
}

// Chill counts the endpoints of a data centre as cold for a time, since they may
// have been restarted while it was out of use.
func (b *Balancer) Chill(hosts []*samphireturn.Host, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	for _, h := range hosts {
		l := b.load(h)
		l.coldUntil = max(l.coldUntil, now+d)
	}
}

// Work returns the requests of all daemons at an endpoint, as far as known.
func (b *Balancer) Work(h *samphireturn.Host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(h)
	return l.mine.Calls + l.others.Calls
}

// Mine returns the work of this daemon by endpoint.
func (b *Balancer) Mine() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]Load)
	for id, l := range b.loads {
		if l.mine != (Load{}) {
			all[id] = l.mine
		}
	}
	return all
}

// SetOthers takes in the work of all other daemons by endpoint.
func (b *Balancer) SetOthers(all map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	for id, l := range b.loads {
		l.others, l.othersAt = all[id], now
	}
}

// Retain forgets the endpoints that are not listed any more.
func (b *Balancer) Retain(pools map[string][]*samphireturn.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool, len(b.loads))
	for _, hosts := range pools {
		for _, h := range hosts {
			listed[h.ID] = true
		}
	}
	for id, l := range b.loads {
		if !listed[id] && l.mine == (Load{}) {
			delete(b.loads, id)
		}
	}
}

// load returns what is known of an endpoint. The caller holds mu.
func (b *Balancer) load(h *samphireturn.Host) *load {
	l := b.loads[h.ID]
	if l == nil {
		l = &load{}
		b.loads[h.ID] = l
	}
	if h.Cold > 0 && l.coldSeen != h.Cold {
		l.coldSeen = h.Cold
		l.coldUntil = max(l.coldUntil, b.Clock()+h.Cold)
	}
	return l
}

// admits reports whether the endpoint is warm or may get a request now.
func (l *load) admits(h *samphireturn.Host, w *Want, now time.Duration) bool {
	return now >= l.coldUntil || now >= l.coldNext
}

// coldGap is the time between two requests of one daemon to a cold endpoint.
func coldGap(w *Want) time.Duration {
	daemons := float64(max(w.Daemons, 1)) * (1 + spareDaemons)
	return time.Duration(daemons / max(w.Pool.ColdRate, 1) * float64(time.Second))
}

// running estimates the requests at an endpoint.
func (l *load) running(now time.Duration) int {
	n := l.mine.Calls
	if l.othersAt > 0 && now-l.othersAt < reportTime {
		n += l.others.Calls
	}
	if l.reportedAt > 0 && now-l.reportedAt < reportTime {
		n = max(n, l.reported+l.since)
	}
	return n
}

// score is the cost of sending the request to an endpoint.
func (b *Balancer) score(h *samphireturn.Host, l *load, w *Want, now time.Duration) float64 {
	slots := max(h.Slots, 1)
	score := float64(l.running(now)+1) / float64(slots)
	if w.Pool.Memory > 0 {
		used := float64(l.mine.Tokens+l.others.Tokens+w.Tokens) / float64(w.Pool.Memory)
		score += memoryCost * max(used-memoryRoom, 0)
	}
	if h.Centre != b.Centre {
		score += farCost
	}
	if w.Subject != "" {
		gain := prefixGain * float64(w.Shared) / (float64(w.Shared) + prefixTokens)
		score -= gain * affinity(w.Subject, h.ID)
	}
	score += faultCost * l.decayed(now)
	return score + 0.02*b.Rand()
}

// decayed is the number of fresh failures.
func (l *load) decayed(now time.Duration) float64 {
	if l.faults == 0 {
		return 0
	}
	halves := float64(now-l.faultAt) / float64(faultHalf)
	for ; halves >= 1 && l.faults > 0.01; halves-- {
		l.faults /= 2
		l.faultAt += faultHalf
	}
	return l.faults
}

// affinity is a number from 0 to 1 that all daemons derive alike. It is near 1
// for few endpoints, so that requests about one subject meet there.
func affinity(subject, id string) float64 {
	x := float64(xxhash.Sum64String(subject+"\x00"+id)) / (1 << 64)
	return x * x * x
}
