// Package accountant is the account of the memory that callers, endpoints and the store make a daemon
// hold.
//
// The law: what is held stays below a Capacity, and the later in its course something is, the more of it
// may be used. A request in flight counts RequestBytes and the cost of its header, which it keeps twice:
// as it came and as it was sent on. It is refused at its beginning if that doesn't fit, the less urgent
// ones earlier, and those that take long before the short ones, which would have no room for as long. What
// is left is for those that have begun: first for their bodies, and to the end for answers, the store's
// too. Bodies and answers count their buffers. Nobody waits for room, and nothing that has begun is ended
// for the sake of the account. ConnBytes for each connection that callers may have open are left out of
// the Capacity, open or not: who is refused needs one too.
//
// Bytes are those by which the resident memory of a process grew in measurements, with what the collector
// has not freed yet. What a daemon holds without any of these is left out of the Capacity too. Bodies and
// answers have bounds of their own beside the account, so that neither can take all of it.
package accountant

import (
	"expvar"
	"net/http"
	"sync"
)

// Uses of memory: requests that take long and short ones, bodies and answers.
const (
	Long Use = iota
	Short
	Body
	Answer
)

const (
	// ConnBytes is what an open connection of a caller takes while it waits for a request: its
	// buffers and its stack.
	ConnBytes = 16 << 10
	// RequestBytes is what a request in flight takes beside that, without its header and its body: a
	// connection to an endpoint, buffers, stacks and timers.
	RequestBytes = 28 << 10
	// MaxRank is the rank of the least urgent requests; that of the most urgent is 0.
	MaxRank = 9

	// FieldBytes is what a field of a header takes beside its text, in both copies.
	FieldBytes = 300

	// textShare is how much a byte of the text of a header takes.
	textShare = 1.125
	// baseBytes is what a daemon takes without any load.
	baseBytes = 24 << 20
	// usableShare is the share of the rest that is used, and leastBytes the least Capacity, however
	// small the memory is.
	usableShare = 0.9
	leastBytes  = 8 << 20
	// rankShare is the share of Capacity that the least urgent requests leave to the most urgent.
	rankShare = 0.06
)

var (
	heldBytes = expvar.NewInt("accountant_held")
	refused   = expvar.NewMap("accountant_refused")

	// shares are the shares of Capacity up to which each use may take bytes.
	shares = [...]float64{Long: 0.93, Short: 0.97, Body: 0.98, Answer: 1}
)

type (
	// Use is what memory is held for.
	Use int

	// Accountant is safe for concurrent use. Nil bounds nothing.
	Accountant struct {
		// Capacity bounds the bytes that are held; 0 means no bound. Set it before the first use.
		Capacity int64

		mu   sync.Mutex
		held int64
	}
)

// CapacityOf returns the Capacity for a process that may use some bytes of memory and have some
// connections of callers; 0 means no bound of memory.
func CapacityOf(memory int64, conns int) int64 {
	if memory == 0 {
		return 0
	}
	return max(int64(usableShare*float64(memory-baseBytes))-int64(conns)*ConnBytes, leastBytes)
}

// String returns the use's name in counters.
func (u Use) String() string { return [...]string{"long", "short", "body", "answer"}[u] }

// HeaderBytes returns the bytes that the header of a request takes.
func HeaderBytes(h http.Header) int64 {
	text, fields := 0, 0
	for name, values := range h {
		text += len(name)
		fields += len(values)
		for _, value := range values {
			text += len(value)
		}
	}
	return int64(textShare*float64(text)) + int64(FieldBytes*fields)
}

// Held returns the bytes that are held.
func (a *Accountant) Held() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Take takes bytes for a use, and reports whether there is room for them. Rank is that of a request, from 0
// to MaxRank; it is 0 for other uses.
func (a *Accountant) Take(u Use, rank int, size int64) bool {
	if a == nil {
		return true
	}
	share := shares[u] - rankShare*float64(min(max(rank, 0), MaxRank))/MaxRank
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Capacity > 0 && float64(a.held+size) > share*float64(a.Capacity) {
		refused.Add(u.String(), 1)
		return false
	}
	a.held += size
	heldBytes.Add(size)
	return true
}

// Give gives back bytes that were taken.
func (a *Accountant) Give(size int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= size
	heldBytes.Add(-size)
}
