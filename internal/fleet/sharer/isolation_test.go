package sharer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/sharer"
	"samphireturn/internal/forward/isolator"
)

// TestCrashesReachAll guards against daemons that go on sending requests that crash endpoints
// because others saw the crashes: each of them isolates the part soon after the last crash,
// whichever daemons saw them, and also one that was cut off or starts.
func TestCrashesReachAll(t *testing.T) {
	// reachTime is that of two reports and sums between two data centres.
	const reachTime = 4*sharer.ReportInterval + 100*time.Millisecond
	keys := isolator.PartKeys([]samphireturn.PromptPart{{ID: "a"}, {ID: "x"}, {ID: "own"}})
	for first := range 2 * perCentre {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fl := newFleet()
			for _, vm := range fl.members[1:] {
				fl.start(vm)
			}
			away := fl.members[1+first%(len(fl.members)-1)]
			time.Sleep(time.Second)
			fl.setCut(away.ID, true)
			time.Sleep(3 * time.Second)
			seen := 0
			for i := first; seen < isolator.MinCrashes; i++ {
				vm := fl.members[i%len(fl.members)]
				if vm.ID == away.ID || fl.daemons[vm.ID] == nil {
					continue
				}
				h := &samphireturn.Host{ID: fmt.Sprint("h", seen)}
				a := fl.daemons[vm.ID].isolator.Expect(h, append([]isolator.Key{isolator.RequestKey(fmt.Sprint(seen), "", nil)}, keys...))
				a.Begin()
				a.Lose()
				if fl.daemons[vm.ID].isolator.StartCheck(h) {
					fl.daemons[vm.ID].isolator.FinishCheck(h, true)
				}
				time.Sleep(100 * time.Millisecond)
				seen++
			}
			check := func(when string, but string) {
				time.Sleep(reachTime)
				for id, d := range fl.daemons {
					if id != but {
						c.Check(d.isolator.Isolated(keys[1:]) > 0, qt.IsTrue, qt.Commentf("daemon %s, %s", id, when))
						c.Check(d.isolator.Isolated(keys[:1]) == 0, qt.IsTrue, qt.Commentf("daemon %s, %s", id, when))
					}
				}
			}
			check("after the crashes", away.ID)
			fl.start(fl.members[0])
			check("with one that starts", away.ID)
			fl.setCut(away.ID, false)
			time.Sleep(2 * time.Second)
			check("with one that was cut off", "")
			for _, vm := range fl.members {
				fl.stop(vm.ID)
			}
		})
	}
}
