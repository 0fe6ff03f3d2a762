// Package announcer tells the fleet that this daemon leaves, and knows which
// others have said so.
//
// A daemon that leaves still serves what it has, but is home of nothing any
// more. Its word is repeated until it has gone and lapses by itself, so that a
// daemon that starts anew under the same id is soon counted again.
package announcer

import (
	"context"
	"expvar"
	"sync"
	"time"

	"samphireturn"
)

const (
	// Topic is the topic of a daemon's word that it leaves.
	Topic = "leaving"
	// Period is the time between two repeats of the word.
	Period = 5 * time.Second
	// NoticeTTL is how long a notice is valid.
	NoticeTTL = 2*Period + callTime

	callTime = 2 * time.Second
)

var reasons = expvar.NewMap("announcer_reason")

// Announcer is a service of the kernel. Set the exported fields before Run.
type Announcer struct {
	Peers   samphireturn.Peers
	Control samphireturn.Control
	Self    samphireturn.VM
	// Now is time.Now unless set.
	Now func() time.Time

	cancel context.CancelFunc
	ctx    context.Context
	wait   sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	// words holds when each daemon last said that it leaves.
	words map[string]time.Time
}

// Register sets the handler of the topic. It must be called before the peers
// run.
func (a *Announcer) Register() {
	a.words = make(map[string]time.Time)
	a.Peers.Handle(Topic, a.take)
}

// Run makes the announcer ready to leave.
func (a *Announcer) Run(ctx context.Context) error {
	a.ctx, a.cancel = context.WithCancel(ctx)
	return nil
}

// Leave starts to tell the fleet and returns at once.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return
	}
	a.leaving = true
	a.wait.Go(a.repeat)
}

// Close stops the repeats and waits for them.
func (a *Announcer) Close() error {
	if a.cancel != nil {
		a.cancel()
	}
	a.wait.Wait()
	return nil
}

// IsLeaving reports whether the daemon, which may be this one, is leaving the fleet.
func (a *Announcer) IsLeaving(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id == a.Self.ID {
		return a.leaving
	}
	at, ok := a.words[id]
	return ok && a.now().Sub(at) < NoticeTTL
}

// ExcludeLeaving returns the members that are not leaving, or all members if every
// one is.
func (a *Announcer) ExcludeLeaving(members []samphireturn.VM) []samphireturn.VM {
	var found []samphireturn.VM
	for _, m := range members {
		if !a.IsLeaving(m.ID) {
			found = append(found, m)
		}
	}
	if len(found) == 0 {
		return members
	}
	return found
}

// repeat tells all daemons each period until Close.
func (a *Announcer) repeat() {
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		a.tell()
		select {
		case <-a.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tell tells every daemon at once and waits for the answers.
func (a *Announcer) tell() {
	ctx, cancel := context.WithTimeout(a.ctx, callTime)
	defer cancel()
	var all sync.WaitGroup
	for _, m := range a.Control.Snapshot().Members {
		if m.ID == a.Self.ID {
			continue
		}
		all.Go(func() {
			if err := a.Peers.Call(ctx, m.ID, Topic, struct{}{}, nil); err != nil {
				reasons.Add("not_told", 1)
			}
		})
	}
	all.Wait()
}

// take notes the word of a daemon and forgets those that lapsed.
func (a *Announcer) take(_ context.Context, from string, _ []byte) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for id, at := range a.words {
		if now.Sub(at) >= NoticeTTL {
			delete(a.words, id)
		}
	}
	a.words[from] = now
	reasons.Add("heard", 1)
	return nil, nil
}

func (a *Announcer) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}
