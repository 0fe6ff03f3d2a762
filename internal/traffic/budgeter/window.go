package budgeter

import (
	"sync"
	"time"
)

// windowParts is the number of parts into which a window is divided for counting: a
// retry counts for up to one part longer than the window, a request for up to one part
// less.
const windowParts = 20

// RetryWindow bounds the retries in a time window to a share of the requests in it plus a
// constant. Unlike a Budgeter it allows bursts of retries, as they occur when an endpoint
// dies. Set the exported fields before the first call. It is safe for concurrent use.
type RetryWindow struct {
	// Share is the number of retries per request, Extra the number allowed beside them.
	Share float64
	Extra func() float64
	// Length is the length of the window.
	Length time.Duration
	Clock  func() time.Duration

	mu         sync.Mutex
	parts      [windowParts + 1]partCount
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

// available reports whether the bound allows a retry. The caller holds mu and has called
// advance.
func (w *RetryWindow) available(reserved float64) bool {
	var total partCount
	oldest := (w.newestPart + 1) % int64(len(w.parts))
	for i, c := range w.parts {
		// The oldest part may have begun before the window.
		if int64(i) != oldest {
			total.requests += c.requests
		}
		total.retries += c.retries
	}
	limit := w.Share*float64(total.requests) + w.Extra()
	return float64(total.retries+1) <= limit*(1-reserved)
}

// advance clears the parts that are older than the window and returns the current one.
// The caller holds mu.
func (w *RetryWindow) advance() *partCount {
	part := int64(w.Clock() / max(w.Length/windowParts, 1))
	for expired := max(w.newestPart+1, part-windowParts); expired <= part; expired++ {
		w.parts[expired%int64(len(w.parts))] = partCount{}
	}
	w.newestPart = max(w.newestPart, part)
	return &w.parts[w.newestPart%int64(len(w.parts))]
}
