// Package announcer notifies the fleet that this daemon is leaving, and records which
// other daemons have done so.
//
// A daemon that is leaving completes its requests in flight, but is home of nothing any
// more. It sends the notice again and again until it exits. A notice expires after
// NoticeTTL, so that a daemon that restarts under the same id is soon counted again.
package announcer

import (
	"context"
	"expvar"
	"sync"
	"time"

	"samphireturn"
)

const (
	// Topic is the topic of leave notices.
	Topic = "leaving"
	// NoticeInterval is the time between two notices.
	NoticeInterval = 5 * time.Second
	// NoticeTTL is how long a notice is valid.
	NoticeTTL = 2*NoticeInterval + callTimeout

	callTimeout = 2 * time.Second
)

var reasons = expvar.NewMap("announcer_reason")

// Announcer is a service. Set the exported fields before Register and Run.
type Announcer struct {
	Peers   samphireturn.Peers
	Control samphireturn.Control
	Self    samphireturn.VM
	// Now is time.Now unless set.
	Now func() time.Time

	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	// noticeTimes holds when the last leave notice of each daemon arrived.
	noticeTimes map[string]time.Time
}

// Register registers the handler of leave notices. It must be called before the peers
// run.
func (a *Announcer) Register() {
	a.noticeTimes = make(map[string]time.Time)
	a.Peers.Handle(Topic, a.handleNotice)
}

// Run prepares the announcer for Leave.
func (a *Announcer) Run(ctx context.Context) error {
	a.ctx, a.cancel = context.WithCancel(ctx)
	return nil
}

// Leave starts to notify the fleet and returns at once.
func (a *Announcer) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return
	}
	a.leaving = true
	a.wg.Go(a.announceLoop)
}

// Close stops the notices and waits for those in flight.
func (a *Announcer) Close() error {
	if a.cancel != nil {
		a.cancel()
	}
	a.wg.Wait()
	return nil
}

// IsLeaving reports whether the daemon, which may be this one, is leaving the fleet.
func (a *Announcer) IsLeaving(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id == a.Self.ID {
		return a.leaving
	}
	at, ok := a.noticeTimes[id]
	return ok && a.now().Sub(at) < NoticeTTL
}

// ExcludeLeaving returns the members that are not leaving, or all members if every
// one is.
func (a *Announcer) ExcludeLeaving(members []samphireturn.VM) []samphireturn.VM {
	var staying []samphireturn.VM
	for _, m := range members {
		if !a.IsLeaving(m.ID) {
			staying = append(staying, m)
		}
	}
	if len(staying) == 0 {
		return members
	}
	return staying
}

// announceLoop notifies all daemons each NoticeInterval until Close.
func (a *Announcer) announceLoop() {
	tick := time.NewTicker(NoticeInterval)
	defer tick.Stop()
	for {
		a.announce()
		select {
		case <-a.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// announce notifies all daemons concurrently and waits for the answers.
func (a *Announcer) announce() {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
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

// handleNotice records a daemon's notice and removes expired ones.
func (a *Announcer) handleNotice(_ context.Context, from string, _ []byte) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for id, at := range a.noticeTimes {
		if now.Sub(at) >= NoticeTTL {
			delete(a.noticeTimes, id)
		}
	}
	a.noticeTimes[from] = now
	reasons.Add("heard", 1)
	return nil, nil
}

func (a *Announcer) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}
