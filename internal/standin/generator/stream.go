package generator

import (
	"context"
	"sync"
	"time"
)

// Outcomes of a run.
const (
	running outcome = iota
	finished
	cancelled
)

// outcome is the state of a run.
type outcome int

// run is one started request. Its words are kept so that a broken stream can
// be resumed.
type run struct {
	id     string
	model  string
	prompt int
	cancel context.CancelFunc

	mu      sync.Mutex
	words   []string
	state   outcome
	ended   time.Time
	changed chan struct{}
}

func newRun(id, model string, prompt int, cancel context.CancelFunc) *run {
	return &run{id: id, model: model, prompt: prompt, cancel: cancel, changed: make(chan struct{})}
}

// add appends a word and wakes the readers.
func (r *run) add(word string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.words = append(r.words, word)
	r.wake()
}

// end records how the run ended and wakes the readers.
func (r *run) end(s outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	r.ended = now
	r.wake()
}

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns the words after the n-th, the state, and a channel that is
// closed by the next change.
func (r *run) after(n int) ([]string, outcome, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(max(n, 0), len(r.words))
	return r.words[n:], r.state, r.changed
}

// wait returns all words once the run has ended; ok is false if it was
// cancelled or ctx ended first.
func (r *run) wait(ctx context.Context) (words []string, ok bool) {
	for {
		words, state, changed := r.after(0)
		if state != running {
			return words, state == finished
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// expired reports whether the run ended before limit.
func (r *run) expired(limit time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state != running && r.ended.Before(limit)
}
