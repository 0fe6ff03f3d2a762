package generator

import (
	"context"
	"sync"
	"time"
)

// States of a run.
const (
	running runState = iota
	finished
	cancelled
)

// runState is the progress of a run.
type runState int

// run is one started request. Its words, one for each token of the answer, are kept
// so that a broken stream can be resumed.
type run struct {
	id           string
	model        string
	promptTokens int
	cancel       context.CancelFunc

	mu      sync.Mutex
	words   []string
	state   runState
	ended   time.Time
	changed chan struct{}
}

func newRun(id, model string, promptTokens int, cancel context.CancelFunc) *run {
	return &run{id: id, model: model, promptTokens: promptTokens, cancel: cancel, changed: make(chan struct{})}
}

// add appends a word and wakes the readers.
func (r *run) add(word string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.words = append(r.words, word)
	r.notifyReaders()
}

// end records the final state of the run and wakes the readers.
func (r *run) end(s runState, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	r.ended = now
	r.notifyReaders()
}

func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// wordsAfter returns the words after the n-th, the state, and a channel that the
// next change closes.
func (r *run) wordsAfter(n int) ([]string, runState, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(max(n, 0), len(r.words))
	return r.words[n:], r.state, r.changed
}

// wait waits for the end of the run and returns all words; ok is false if the run
// was cancelled or ctx ended first.
func (r *run) wait(ctx context.Context) (words []string, ok bool) {
	for {
		words, state, changed := r.wordsAfter(0)
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
