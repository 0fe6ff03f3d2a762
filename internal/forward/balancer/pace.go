package balancer

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readTime is how long a prompt is taken to stay in an engine's cache after it
	// was last sent there.
	readTime = 20 * time.Second
	// readLimit bounds the prompts remembered of one endpoint.
	readLimit = 2000
	// paceTokens is the least number of tokens that tell the speed of reading.
	paceTokens = 300
	// Samples below the pace count more than those above it, which have waited for
	// other work: the pace is that of an endpoint that has nothing else to do.
	paceDown, paceUp = 0.2, 0.02
	// workDecay is the part of the usual time of a whole answer that each new one
	// replaces.
	workDecay = 0.1
)

// pace is what is learned of the requests of one kind.
type pace struct {
	// token is the time to read one token of a prompt.
	token time.Duration
	// answer is the time to the head of an answer, and whole that to its end; zero
	// before any.
	answer, whole time.Duration
}

// prefix names the shared part of a request's prompt as one kind reads it.
func (w *Want) prefix() uint64 { return xxhash.Sum64String(w.Kind + "\x00" + w.Subject) }

// holds reports whether the endpoint is likely to have the shared part cached.
func (l *load) holds(w *Want, now time.Duration) bool {
	at, ok := l.read[w.prefix()]
	return ok && now-at < readTime
}

// uncached returns the tokens of the prompt that the endpoint must read.
func (b *Balancer) uncached(l *load, w *Want, now time.Duration) int {
	if w.Subject != "" && l.holds(w, now-1) {
		return max(w.Prompt-w.Shared, 0)
	}
	return w.Prompt
}

// work estimates how long an engine reads the prompt; zero for other endpoints.
// The caller holds mu.
func (b *Balancer) work(l *load, w *Want, now time.Duration) time.Duration {
	if w.Pool.MemoryTokens == 0 {
		return 0
	}
	return time.Duration(b.uncached(l, w, now)) * b.pace(w.Kind).token
}

// delay estimates how long the answer takes to begin. The caller holds mu.
func (b *Balancer) delay(l *load, w *Want, running, slots int, now time.Duration) time.Duration {
	if w.Pool.MemoryTokens > 0 {
		return time.Duration(l.mine.Backlog+l.others.Backlog)*time.Microsecond + b.work(l, w, now)
	}
	usual := cmp.Or(b.pace(w.Kind).answer, usualWork)
	// Those that find no slot wait for one.
	return time.Duration(max(running+1-slots, 0)) * usual / time.Duration(slots)
}

// Whole notes that the answer came to its end.
func (t *Ticket) Whole() {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pace(t.want.Kind)
	took := b.Clock() - t.sent
	if p.whole == 0 {
		p.whole = took
	}
	p.whole += time.Duration(workDecay * float64(took-p.whole))
}

// Whole returns how long whole answers of a kind take; zero before any.
func (b *Balancer) Whole(kind string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pace(kind).whole
}

// pace returns what is known of a kind. The caller holds mu.
func (b *Balancer) pace(kind string) *pace {
	p := b.paces[kind]
	if p == nil {
		p = new(pace)
		b.paces[kind] = p
	}
	return p
}

// learn takes in how long the head of an answer took.
func (b *Balancer) learn(w *Want, tokens int, took time.Duration, l *load) {
	p := b.pace(w.Kind)
	if p.answer == 0 {
		p.answer = took
	}
	p.answer += time.Duration(workDecay * float64(took-p.answer))
	if w.Pool.MemoryTokens > 0 && tokens >= paceTokens {
		sample := took / time.Duration(tokens)
		switch {
		case p.token == 0:
			p.token = sample
		case sample < p.token:
			p.token += time.Duration(paceDown * float64(sample-p.token))
		default:
			p.token += time.Duration(paceUp * float64(min(sample, 3*p.token)-p.token))
		}
	}
	if len(l.read) > readLimit {
		clear(l.read)
	}
}
