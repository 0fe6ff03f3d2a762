package budgeter

import (
	"sync"
	"time"
)

// slices is the number of parts of a window that are counted together: a repeat
// counts for up to one part more than the window, a request for up to one less.
const slices = 20

// Window bounds the repeats of a time to a share of its requests, and a number.
// Other than a Budgeter it lets repeats come together, as they do when an endpoint
// dies. Set the exported fields before the first call. It is safe for concurrent use.
type Window struct {
	// Share is the number of repeats for each request, Extra the number beside them.
	Share float64
	Extra func() float64
	// Length is the length of the window.
	Length time.Duration
	Clock  func() time.Duration

	mu     sync.Mutex
	counts [slices + 1]count
	newest int64
}

// count is what came in one part of the window.
type count struct {
	requests, repeats int
}

// CountRequest counts a request.
func (w *Window) CountRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance().requests++
}

// TryWithdraw takes one retry, if the bound allows it, and reports whether it did.
// Kept is the part of the bound, from 0 to 1, that is reserved for others.
func (w *Window) TryWithdraw(kept float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	var all count
	oldest := (w.newest + 1) % int64(len(w.counts))
	for i, c := range w.counts {
		// The oldest part may have begun before the window.
		if int64(i) != oldest {
			all.requests += c.requests
		}
		all.repeats += c.repeats
	}
	most := w.Share*float64(all.requests) + w.Extra()
	if float64(all.repeats+1) > most*(1-kept) {
		return false
	}
	now.repeats++
	return true
}

// advance forgets what is older than the window and returns the part of now. The
// caller holds mu.
func (w *Window) advance() *count {
	part := int64(w.Clock() / max(w.Length/slices, 1))
	for gone := max(w.newest+1, part-slices); gone <= part; gone++ {
		w.counts[gone%int64(len(w.counts))] = count{}
	}
	w.newest = max(w.newest, part)
	return &w.counts[w.newest%int64(len(w.counts))]
}
