package sharer_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/fleet/sharer"
)

// links is the state of a daemon's link to endpoints, and what it heard of others.
type links struct {
	mu       sync.Mutex
	lost     bool
	unlinked []string
}

// LinkLost implements sharer.Links.
func (l *links) LinkLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// SetUnlinked implements sharer.Links.
func (l *links) SetUnlinked(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlinked = slices.Clone(ids)
}

// heard reports whether the daemon heard that another one reaches no endpoint.
func (l *links) heard(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.unlinked, id)
}

// TestLostLinkReachesAll has one daemon after the other lose its link to endpoints: the others
// know of it soon after, and of its end.
func TestLostLinkReachesAll(t *testing.T) {
	const reachTime = 4*sharer.ReportInterval + 100*time.Millisecond
	for loser := range 2 * perCentre {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fl := newFleet()
			for _, vm := range fl.members {
				fl.start(vm)
			}
			lost := fl.members[loser].ID
			for _, state := range []bool{true, false} {
				l := fl.daemons[lost].links
				l.mu.Lock()
				l.lost = state
				l.mu.Unlock()
				time.Sleep(reachTime)
				for id, d := range fl.daemons {
					c.Check(id == lost || d.links.heard(lost) == state, qt.IsTrue, qt.Commentf("%s of %s, lost %t", id, lost, state))
				}
			}
			for _, vm := range fl.members {
				fl.stop(vm.ID)
			}
		})
	}
}
