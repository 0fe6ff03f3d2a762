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

// Weights of a choice. They are in units of a request's worth: an answer that
// comes as late as its objective costs 1.
const (
	// farCost is what an endpoint of another data centre costs, for the bytes that
	// are paid for: it is used where the own ones would take a fifth of the objective
	// longer.
	farCost = 0.04
	// crowdCost multiplies the part of the slots in use, which slow each other down.
	crowdCost = 0.1
	// memoryCost multiplies the part of the memory in use beyond memoryRoom, where
	// an engine begins to preempt.
	memoryCost = 2
	memoryRoom = 0.75
	// rereadCost is what reading rereadTokens of a shared prompt again costs; it is
	// paid for by the token.
	rereadCost   = 0.08
	rereadTokens = 8000.0
	// ownPart is the part of that cost at an endpoint that this daemon alone knows to
	// have read the prompt, and nearPart that at the one where requests about a subject
	// meet in this data centre, if not all meet there.
	ownPart  = 0.1
	nearPart = 0.8
	// faultCost is what one fresh failure costs; it halves each faultHalf.
	faultCost = 0.5
	faultHalf = time.Second
	// tieCost spreads requests over endpoints that are alike.
	tieCost = 0.004
	// reportTime is how long a report counts.
	reportTime = 2 * time.Second
	// usualWork is the time of a whole answer before any came.
	usualWork = 50 * time.Millisecond
	// usualObjective stands for a route without an objective.
	usualObjective = time.Second
)

var cold = expvar.NewInt("balancer_cold")

type (
	// Balancer chooses endpoints. Set the exported fields before the first call.
	Balancer struct {
		// Self is this daemon, and Centre its data centre.
		Self, Centre string
		// Clock counts suspensions too.
		Clock func() time.Duration
		// Rand returns a number from 0 up to 1 that breaks ties.
		Rand func() float64

		mu    sync.Mutex
		loads map[string]*load
		paces map[string]*pace
	}

	// Want describes what a request needs.
	Want struct {
		Pool *samphireturn.Pool
		// Hosts are the endpoints to choose from.
		Hosts []*samphireturn.Host
		// Tokens is the memory that the request takes at an engine, and Prompt the
		// part of it that is read.
		Tokens, Prompt int
		// Subject names what the prompt shares with others, and Shared how many
		// tokens that is.
		Subject string
		Shared  int
		// Kind names the requests whose answers take alike long, such as those to one
		// model.
		Kind string
		// Objective is the time within which the answer should begin.
		Objective time.Duration
		// Avoid holds the endpoints that were tried.
		Avoid map[string]bool
		// Members are the daemons known.
		Members []samphireturn.VM
	}

	// Load is the work in flight of one daemon at one endpoint.
	Load struct {
		Requests int `cbor:"1,keyasint"`
		Tokens   int `cbor:"2,keyasint,omitempty"`
		// Backlog is the estimated time in microseconds to process the prompts that
		// wait at the endpoint.
		Backlog int64 `cbor:"3,keyasint,omitempty"`
	}

	// Ticket is one request at an endpoint. Begin and Done may be called more than
	// once.
	Ticket struct {
		Host *samphireturn.Host
		// Running and Delay are what spoke for the endpoint: the requests there and
		// the time until the answer should begin. Usual is how long answers of the kind
		// take to begin, zero before any. Cold is true while it is cold.
		Running int
		Delay   time.Duration
		Usual   time.Duration
		Cold    bool

		balancer *Balancer
		want     Want
		sent     time.Duration
		work     time.Duration
		begun    bool
		done     bool
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
		// heard is when the endpoint last sent anything, or was first known.
		heard   time.Duration
		faults  float64
		faultAt time.Duration
		// shunned is true while the endpoint can't be reached.
		shunned bool
		// read holds when prompts about subjects were last sent, by kind and subject.
		read map[uint64]time.Duration
		// coldUntil is when the endpoint is warm; coldNext is when this daemon may
		// send to it next.
		coldUntil, coldNext time.Duration
		coldSeen            time.Duration
	}
)

// New returns a balancer of a daemon in a data centre.
func New(self, centre string, clock func() time.Duration) *Balancer {
	return &Balancer{Self: self, Centre: centre, Clock: clock, Rand: rand.Float64, loads: make(map[string]*load), paces: make(map[string]*pace)}
}

// Pick returns a ticket for the endpoint that suits a request best, or nil. It
// must be given back by Done.
func (b *Balancer) Pick(w *Want) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	var (
		best  *samphireturn.Host
		least float64
	)
	m := b.meet(w)
	for _, h := range w.Hosts {
		if w.Avoid[h.ID] {
			continue
		}
		l := b.load(h)
		if l.shunned || !b.admits(h, l, w, now) {
			continue
		}
		score := b.score(h, l, w, now) + b.reread(h, l, w, m, now)
		if best == nil || score < least {
			best, least = h, score
		}
	}
	if best == nil {
		return nil
	}
	return b.enter(best, w, now)
}

// enter counts a request at an endpoint. The caller holds mu.
func (b *Balancer) enter(h *samphireturn.Host, w *Want, now time.Duration) *Ticket {
	l := b.load(h)
	t := &Ticket{Host: h, balancer: b, want: *w, sent: now, work: b.work(l, w, now)}
	t.Running, t.Cold = l.running(now), now < l.coldUntil
	t.Usual = b.pace(w.Kind).answer
	t.Delay = b.delay(l, w, t.Running, max(h.Slots, 1), now)
	l.mine.Requests++
	l.mine.Tokens += w.Tokens
	l.mine.Backlog += t.work.Microseconds()
	l.since++
	if w.Subject != "" {
		if l.read == nil {
			l.read = make(map[uint64]time.Duration)
		}
		l.read[w.prefix()] = now
	}
	if now < l.coldUntil {
		cold.Add(1)
		l.coldNext = now + coldGap(w.Pool.WarmUpRate)
	}
	return t
}

// Begin notes that the answer began, with what the endpoint told of its load.
func (t *Ticket) Begin(s samphireturn.ResponseMeta) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(t.Host)
	if !t.begun && !t.done && !s.NotExecuted {
		b.learn(&t.want, b.uncached(l, &t.want, t.sent), b.Clock()-t.sent, l)
	}
	t.begin(l)
	b.report(l, s)
}

// begin ends the time in which the prompt waits or is read. The caller holds mu.
func (t *Ticket) begin(l *load) {
	if !t.begun && !t.done {
		t.begun = true
		l.mine.Backlog -= t.work.Microseconds()
	}
}

// Done gives the request back.
func (t *Ticket) Done() {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.done {
		return
	}
	l := b.load(t.Host)
	t.begin(l)
	t.done = true
	l.mine.Requests--
	l.mine.Tokens -= t.want.Tokens
	l.since--
}

// report takes in what an endpoint told of its load. The caller holds mu.
func (b *Balancer) report(l *load, s samphireturn.ResponseMeta) {
	now := b.Clock()
	l.heard = now
	l.shunned = false
	if s.Slots > 0 {
		l.reported, l.reportedAt, l.since = s.Running+s.Waiting, now, 0
	}
	if s.WarmUpLeft > 0 {
		l.coldUntil = max(l.coldUntil, now+s.WarmUpLeft)
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

// Fault notes that an endpoint failed a request; shun that it can't be reached,
// so that it gets nothing until Reached.
func (b *Balancer) Fault(h *samphireturn.Host, shun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(h)
	now := b.Clock()
	l.faults = l.decayed(now) + 1
	l.faultAt = now
	l.shunned = l.shunned || shun
}

// Shunned returns those of the endpoints that can't be reached.
func (b *Balancer) Shunned(pools map[string][]*samphireturn.Host) []*samphireturn.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var shunned []*samphireturn.Host
	for _, hosts := range pools {
		for _, h := range hosts {
			if b.load(h).shunned {
				shunned = append(shunned, h)
			}
		}
	}
	return shunned
}

// Reached notes that an endpoint can be reached again.
func (b *Balancer) Reached(h *samphireturn.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(h)
	l.shunned = false
	l.faults = 0
}

// Chill counts the endpoints of a data centre as cold for a time, since they may
// have been restarted while it was out of use.
func (b *Balancer) Chill(centre string, hosts []*samphireturn.Host, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	for _, h := range hosts {
		if h.Centre == centre {
			l := b.load(h)
			l.coldUntil = max(l.coldUntil, now+d)
		}
	}
}

// InFlight returns the number of requests of all daemons in flight at an endpoint,
// as far as known.
func (b *Balancer) InFlight(h *samphireturn.Host) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(h)
	return l.mine.Requests + l.others.Requests
}

// LocalLoads returns this daemon's load by endpoint id.
func (b *Balancer) LocalLoads() map[string]Load {
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

// SetRemoteLoads replaces the summed loads of all other daemons by endpoint id.
func (b *Balancer) SetRemoteLoads(all map[string]Load) {
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
		l = &load{heard: b.Clock()}
		b.loads[h.ID] = l
	}
	if h.WarmUpLeft > 0 && l.coldSeen != h.WarmUpLeft {
		l.coldSeen = h.WarmUpLeft
		l.coldUntil = max(l.coldUntil, b.Clock()+h.WarmUpLeft)
	}
	return l
}

// running estimates the requests at an endpoint.
func (l *load) running(now time.Duration) int {
	n := l.mine.Requests
	if l.othersAt > 0 && now-l.othersAt < reportTime {
		n += l.others.Requests
	}
	if l.reportedAt > 0 && now-l.reportedAt < reportTime {
		n = max(n, l.reported+l.since)
	}
	return n
}

// score is the cost of sending the request to an endpoint.
func (b *Balancer) score(h *samphireturn.Host, l *load, w *Want, now time.Duration) float64 {
	slots := max(h.Slots, 1)
	running := l.running(now)
	objective := w.Objective
	if objective <= 0 {
		objective = usualObjective
	}
	late := float64(b.delay(l, w, running, slots, now)) / float64(objective)
	score := late*late + crowdCost*float64(running+1)/float64(slots)
	if w.Pool.MemoryTokens > 0 {
		used := float64(l.mine.Tokens+l.others.Tokens+w.Tokens) / float64(w.Pool.MemoryTokens)
		score += memoryCost * max(used-memoryRoom, 0)
	}
	if h.Centre != b.Centre {
		score += farCost
	}
	score += faultCost * l.decayed(now)
	return score + tieCost*b.Rand()
}

// meeting is where requests about one subject meet: a daemon of a large fleet sees
// too few of them to know by itself where they went.
type meeting struct {
	// any is the endpoint that all daemons prefer, near the one that those of this
	// data centre do where the subject is not worth the way.
	any, near *samphireturn.Host
}

// meet returns the endpoints at which requests about a subject meet.
func (b *Balancer) meet(w *Want) (m meeting) {
	if w.Subject == "" {
		return m
	}
	var most, mostNear float64
	for _, h := range w.Hosts {
		if w.Avoid[h.ID] || b.load(h).shunned {
			continue
		}
		a := affinity(w.Subject, h.ID)
		if a > most {
			m.any, most = h, a
		}
		if a > mostNear && h.Centre == b.Centre {
			m.near, mostNear = h, a
		}
	}
	return m
}

// reread is the cost of reading the shared part of a prompt again, which falls with
// the chance that the endpoint read it lately.
func (b *Balancer) reread(h *samphireturn.Host, l *load, w *Want, m meeting, now time.Duration) float64 {
	if w.Subject == "" {
		return 0
	}
	cost := rereadCost * float64(w.Shared) / rereadTokens
	switch {
	case h == m.any:
		return 0
	case l.holds(w, now):
		return ownPart * cost
	case h == m.near:
		return nearPart * cost
	}
	return cost
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

// affinity is a number from 0 to 1 that all daemons derive alike.
func affinity(subject, id string) float64 {
	return float64(xxhash.Sum64String(subject+"\x00"+id)) / (1 << 64)
}
