package sharer_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/sharer"
	"samphireturn/internal/forward/balancer"
)

// pickFrom reserves the endpoint for a request at a daemon, or returns nil.
func (fl *fleet) pickFrom(id string, h *samphireturn.Host) *balancer.Reservation {
	return fl.daemons[id].sharer.Balancer.Pick(&balancer.Request{Pool: &samphireturn.Pool{Name: pool}, Hosts: []*samphireturn.Host{h}, Members: fl.members})
}

// TestLimitReachesAll has an endpoint name a limit to one daemon after the other, and then
// none: the others keep to it soon after, and send again soon after its end. A daemon that
// is cut off meanwhile keeps to it without news of its end.
func TestLimitReachesAll(t *testing.T) {
	// reachTime is that of two reports and sums between two data centres.
	const reachTime = 4*sharer.ReportInterval + 100*time.Millisecond
	for teller := range 2 * perCentre {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fl := newFleet()
			for _, vm := range fl.members {
				fl.start(vm)
			}
			time.Sleep(time.Second)
			h := &samphireturn.Host{ID: "h1", Pool: pool, Centre: fl.members[0].Centre, Slots: 8}
			for _, vm := range fl.members {
				r := fl.pickFrom(vm.ID, h)
				c.Assert(r, qt.IsNotNil)
				r.Done()
			}
			named := fl.daemons[fl.members[teller].ID].sharer.Balancer
			named.SetLimit(h, 0.1)
			time.Sleep(reachTime)
			sent := 0
			for _, vm := range fl.members {
				if r := fl.pickFrom(vm.ID, h); r != nil {
					sent++
					r.Done()
				}
			}
			c.Check(sent <= 1, qt.IsTrue, qt.Commentf("%d daemons send, limit known to %d", sent, teller))
			away := fl.members[(teller+1)%len(fl.members)]
			fl.setCut(away.ID, true)
			var r *balancer.Reservation
			var ender string
			for r == nil {
				time.Sleep(100 * time.Millisecond)
				for _, vm := range fl.members {
					if r == nil && vm.ID != away.ID {
						r, ender = fl.pickFrom(vm.ID, h), vm.ID
					}
				}
			}
			c.Check(r.ObserveHead(samphireturn.ResponseMeta{HasSeal: true}).Limit, qt.IsTrue)
			r.Done()
			// Daemons that took the one that is cut off for their aggregator choose another.
			time.Sleep(reachTime + 3*time.Second)
			for _, vm := range fl.members {
				if vm.ID == away.ID {
					continue
				}
				r := fl.pickFrom(vm.ID, h)
				c.Check(r, qt.IsNotNil, qt.Commentf("daemon %s, end known to %s", vm.ID, ender))
			}
			fl.setCut(away.ID, false)
			time.Sleep(reachTime + 3*time.Second)
			c.Check(fl.pickFrom(away.ID, h), qt.IsNotNil, qt.Commentf("daemon %s after its return", away.ID))
			for _, vm := range fl.members {
				fl.stop(vm.ID)
			}
		})
	}
}
