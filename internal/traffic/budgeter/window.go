package budgeter

import (
	"sync"
	"time"
)

const (
	// windowParts is the number of parts into which a window is divided for counting. It is
	// even, as half a window counts too.
	windowParts = 20
	// keptParts is the number of parts that are kept: those of the windows that the current
	// moment belongs to, and of the windows before them.
	keptParts = 2*windowParts + 1
)

// RetryWindow bounds the retries in every time window to a share of the requests plus a
// constant. The requests are those of the window, of the one before it or of the one that
// begins half a window earlier, whichever has most. Unlike a Budgeter it allows bursts of
// retries, as they occur when an endpoint dies. Set the exported fields before the first call.
// It is safe for concurrent use.
type RetryWindow struct {
	// Share is the number of retries per request, Extra the number allowed beside them.
	Share float64
	Extra func() float64
	// Length is the length of the window.
	Length time.Duration
	Clock  func() time.Duration

	mu         sync.Mutex
	parts      [keptParts]partCount
	newestPart int64
}

// partCount counts the requests and retries in one part of the window.
type partCount struct {
	requests, retries int
}

// CountRequest adds a request to the window.
func (w *RetryWindow) CountRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance().requests++
}

// TryWithdraw takes one retry, if the bound allows it, and reports whether it did.
// Reserved is the part of the bound, from 0 to 1, that is left to other callers.
func (w *RetryWindow) TryWithdraw(reserved float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if !w.available(reserved) {
		return false
	}
	now.retries++
	return true
}

// Available reports whether TryWithdraw would take a retry now.
func (w *RetryWindow) Available(reserved float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.available(reserved)
}

// Counts returns the retries in the last window, and how many its requests allow.
func (w *RetryWindow) Counts() (made int, allowed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	recent := w.recent()
	return recent[windowParts].retries, w.Share*float64(recent[windowParts].requests) + w.Extra()
}

// recent returns the counts of the newest parts: of none, of one, and so on. The caller holds mu.
func (w *RetryWindow) recent() (sums [keptParts + 1]partCount) {
	for i := range keptParts {
		part := w.parts[((w.newestPart-int64(i))%keptParts+keptParts)%keptParts]
		sums[i+1] = partCount{sums[i].requests + part.requests, sums[i].retries + part.retries}
	}
	return sums
}

// available reports whether the bound allows a retry in each window that the current moment
// belongs to. The caller holds mu and has called advance.
func (w *RetryWindow) available(reserved float64) bool {
	recent := w.recent()
	requestsBetween := func(newest, oldest int) int {
		return recent[min(oldest, keptParts)].requests - recent[max(newest, 0)].requests
	}
	extra := w.Extra()
	// A window begins in the part that is began parts old. Of the requests only those in parts
	// that lie within a window as a whole are sure to be in it.
	for began := range windowParts + 1 {
		requests := max(
			requestsBetween(0, began),
			requestsBetween(began+1, began+windowParts),
			requestsBetween(began-windowParts/2+1, began+windowParts/2),
		)
		if limit := w.Share*float64(requests) + extra; float64(recent[began+1].retries+1) > limit*(1-reserved) {
			return false
		}
	}
	return true
}

// advance clears the parts that are too old and returns the current one. The caller holds mu.
func (w *RetryWindow) advance() *partCount {
	part := int64(w.Clock() / max(w.Length/windowParts, 1))
	for expired := max(w.newestPart+1, part-keptParts+1); expired <= part; expired++ {
		w.parts[expired%keptParts] = partCount{}
	}
	w.newestPart = max(w.newestPart, part)
	return &w.parts[w.newestPart%keptParts]
}
