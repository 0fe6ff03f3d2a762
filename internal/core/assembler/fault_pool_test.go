package assembler_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/standin/injector"
)

// TestFaultPool makes endpoints, peers or a data centre unavailable under a steady load
// and checks that the requests that can still be served are.
func TestFaultPool(t *testing.T) {
	isEntry := func(at string) bool { return len(at) >= 5 && at[:5] == "entry" }
	leaving := injector.Faults{Draining: true}
	vm := samphireturn.VM{ID: "engine5", Role: samphireturn.RoleEngine, Centre: "north", Addr: "engine5:80", Leaving: true}
	tests := []struct {
		name  string
		fault func(c *qt.C, l *loadGenerator)
		// noNewWork is true if no new work may go to the engine in north.
		noNewWork bool
		// minShare is the smallest share of the requests that must be answered.
		minShare float64
	}{
		{"leaving by the list", func(c *qt.C, l *loadGenerator) { c.Check(l.s.List(vm), qt.IsNil) }, true, 1},
		{"missing from the list, still answering", func(c *qt.C, l *loadGenerator) { c.Check(l.s.Unlist("engine5"), qt.IsNil) }, true, 1},
		{"leaving by report or refusal", func(_ *qt.C, l *loadGenerator) { l.engine.Injector.Set(leaving) }, true, 1},
		{"pool of the north run out", func(_ *qt.C, l *loadGenerator) {
			l.mu.Lock()
			l.refuse = true
			l.mu.Unlock()
		}, false, 1},
		{"all peers lost", func(_ *qt.C, l *loadGenerator) {
			l.s.Network.Partition(func(from, to string) bool { return isEntry(from) && isEntry(to) })
		}, false, 0.9},
		{"halves parted", func(_ *qt.C, l *loadGenerator) {
			l.s.Network.Partition(func(from, to string) bool {
				return isEntry(from) && isEntry(to) && (from == "entry3") != (to[:6] == "entry3")
			})
		}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := newLoadGenerator(t, c)
				l.run(map[time.Duration]func(){outAt: func() { tt.fault(c, l) }})
				answered, refused, failed, _ := l.countOutcomes(outAt, loadTime)
				share := float64(answered) / float64(answered+refused+failed)
				t.Logf("answered %.4f refused %d failed %d, longest gap %s at entry1, %s at entry3", share, refused, failed, l.longestGap("entry1"), l.longestGap("entry3"))
				late := 0
				for _, at := range l.arrived {
					if at >= outAt+drainBound {
						late++
					}
				}
				c.Check(late == 0, qt.Equals, tt.noNewWork, qt.Commentf("%d requests reached the engine", late))
				c.Check(share >= tt.minShare, qt.IsTrue)
				c.Check(failed, qt.Equals, 0)
				l.s.Network.Partition(nil)
				c.Check(l.s.Close(), qt.IsNil)
			})
		})
	}
}
