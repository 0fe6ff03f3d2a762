package orderer_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"samphireturn"
	"samphireturn/internal/fleet/orderer"
	"samphireturn/internal/standin/keeper"
)

const (
	live      = samphireturn.VersionLive
	withdrawn = samphireturn.VersionWithdrawn
	pauseTime = 40 * time.Second
)

// faults are the faults that can happen around the effect of a step of one
// daemon.
var faults = map[string]func(n *node, effect func() error) error{
	"killed before": func(n *node, _ func() error) error { n.kill(); return unknownOutcome() },
	"killed after":  func(n *node, effect func() error) error { _ = effect(); n.kill(); return unknownOutcome() },
	"paused before": func(_ *node, effect func() error) error { time.Sleep(pauseTime); return effect() },
	"paused after":  func(_ *node, effect func() error) error { err := effect(); time.Sleep(pauseTime); return err },
	"paused and killed after": func(n *node, effect func() error) error {
		err := effect()
		time.Sleep(pauseTime)
		n.kill()
		return err
	},
	"answer lost": func(_ *node, effect func() error) error { _ = effect(); return unknownOutcome() },
	"answer lost, killed": func(n *node, effect func() error) error {
		_ = effect()
		time.AfterFunc(3*time.Second, n.kill)
		return unknownOutcome()
	},
	"answer lost, platform down": func(n *node, effect func() error) error {
		_ = effect()
		n.tc.stopPlatform(30 * time.Second)
		return unknownOutcome()
	},
	"paused after, platform down": func(n *node, effect func() error) error {
		err := effect()
		n.tc.stopPlatform(60 * time.Second)
		time.Sleep(pauseTime)
		return err
	},
	"late and answer lost": func(_ *node, effect func() error) error {
		time.AfterFunc(1900*time.Millisecond, func() { _ = effect() })
		return unknownOutcome()
	},
	"late, answer lost, closed": func(n *node, effect func() error) error {
		time.AfterFunc(1900*time.Millisecond, func() { _ = effect() })
		go func() { _ = n.Close() }()
		return unknownOutcome()
	},
	"engine silent": func(n *node, effect func() error) error {
		err := effect()
		n.tc.isolateLastEngine(15 * time.Second)
		return err
	},
	"engine silent, killed": func(n *node, effect func() error) error {
		err := effect()
		n.tc.isolateLastEngine(18 * time.Second)
		n.kill()
		return err
	},
	"platform down": func(n *node, effect func() error) error { n.tc.stopPlatform(30 * time.Second); return effect() },
	"platform slow": func(n *node, effect func() error) error {
		n.tc.objects.SetFaults(keeper.Faults{Delay: 1800 * time.Millisecond})
		time.AfterFunc(time.Minute, func() { n.tc.objects.SetFaults(keeper.Faults{}) })
		return effect()
	},
	"clock forward": func(n *node, effect func() error) error { n.advanceClock(time.Hour); return effect() },
	"clock back":    func(n *node, effect func() error) error { n.advanceClock(-3 * time.Second); return effect() },
	"paused before, clock back": func(n *node, effect func() error) error {
		time.Sleep(pauseTime)
		n.advanceClock(-pauseTime / 10)
		return effect()
	},
	"store refuses": func(n *node, effect func() error) error { n.tc.exhaustWeights(); return effect() },
	"store refuses, killed": func(n *node, effect func() error) error {
		n.tc.exhaustWeights()
		time.AfterFunc(5*time.Second, n.kill)
		return effect()
	},
	"engine refuses": func(n *node, effect func() error) error {
		n.tc.mu.Lock()
		n.tc.refusalsLeft = 1
		n.tc.mu.Unlock()
		return effect()
	},
	"engine refuses, killed": func(n *node, effect func() error) error {
		n.tc.mu.Lock()
		n.tc.refusalsLeft = 2
		n.tc.mu.Unlock()
		time.AfterFunc(3*time.Second, n.kill)
		return effect()
	},
}

func unknownOutcome() error { return &samphireturn.Error{Kind: samphireturn.KindUnknown} }

// advanceClock moves the daemon's clock by d.
func (n *node) advanceClock(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clockOffset += d
}

// stopPlatform makes the platform unavailable for d.
func (tc *testCentre) stopPlatform(d time.Duration) {
	tc.objects.SetFaults(keeper.Faults{Down: true})
	time.AfterFunc(d, func() { tc.objects.SetFaults(keeper.Faults{}) })
}

// isolateLastEngine cuts the engine ordered last off from all daemons for d.
func (tc *testCentre) isolateLastEngine(d time.Duration) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.unreachable[tc.lastEngine] = time.Now().Add(d)
}

// exhaustWeights uses up the weight store's rate for 20 s.
func (tc *testCentre) exhaustWeights() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.weightLimit.ReserveN(time.Now(), 2)
	for range 9 {
		tc.weightLimit.ReserveN(time.Now(), 2)
	}
}

// TestFaultOrder rolls out v2 to two of four engines with two daemons, the
// first of which meets a fault at one step. At 25 s the configuration changes
// to v3. In the end the engines have the versions desired last. No order
// followed one of a later holder, no two engines loaded at once, the version in
// use always had an engine, and weights were granted for each load.
func TestFaultOrder(t *testing.T) {
	for _, step := range []string{"acquire", "renew", "weights", "intent", "order", "report", "progress"} {
		for name := range faults {
			for _, fenced := range []bool{true, false} {
				kind := map[bool]string{true: "fenced", false: "ignores fence"}[fenced]
				t.Run(step+"/"+strings.ReplaceAll(name, " ", "_")+"/"+kind, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { rollOut(t, step, name, fenced) })
				})
			}
		}
	}
}

func rollOut(t *testing.T, step, fault string, fenced bool) {
	tc := newTestCentre(t, fenced, "m@v1", "m@v1", "m@v0", "m@v1")
	tc.config = config(version("v1", live, 1), version("v2", live, 2), version("v0", withdrawn, 0))
	stop := tc.watch("m@v1")
	a := tc.add("a", "north")
	a.mu.Lock()
	a.step = step
	a.fault = func(effect func() error) error { return faults[fault](a, effect) }
	a.mu.Unlock()
	time.Sleep(time.Second)
	b := tc.add("b", "north")
	b.advanceClock(24 * time.Hour)
	time.Sleep(24 * time.Second)
	tc.mu.Lock()
	tc.config = config(version("v1", live, 1), version("v2", live, 1), version("v3", live, 2), version("v0", withdrawn, 0))
	tc.mu.Unlock()
	time.Sleep(4 * time.Minute)
	stop()
	for v, want := range map[string]int{"m@v0": 0, "m@v1": 1, "m@v2": 1, "m@v3": 2} {
		have, _ := tc.count(v)
		tc.Check(have, qt.Equals, want, qt.Commentf("%s", v))
	}
	tc.Check([]int{tc.staleOrders, tc.doubleLoads, tc.unserved}, qt.DeepEquals, []int{0, 0, 0}, qt.Commentf("stale orders, double loads, unserved"))
	tc.Check(tc.weightGrants >= tc.acceptedOrders, qt.IsTrue)
	all, err := orderer.ReadAll(t.Context(), &tc.objects)
	tc.Assert(err, qt.IsNil)
	tc.Check(all["north"].Versions, qt.DeepEquals, []orderer.Version{
		{Name: "m@v1", Desired: 1, Loaded: 1}, {Name: "m@v2", Desired: 1, Loaded: 1}, {Name: "m@v3", Desired: 2, Loaded: 2},
	})
	tc.Check(all["north"].Problem, qt.Equals, "")
	tc.Check(a.Close(), qt.IsNil)
	tc.Check(b.Close(), qt.IsNil)
}

// TestFaultOrderWeights loads a version on two engines in each of several data
// centres at once, from a weight store that grants one load every 10 s.
func TestFaultOrderWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const centres = 5
		limit := rate.NewLimiter(rate.Every(10*time.Second), 1)
		var centreStates []*testCentre
		var nodes []*node
		calls, grants := 0, 0
		first := newTestCentre(t, true, "m@v1", "", "")
		for range centres {
			tc := newTestCentre(t, true, "m@v1", "", "")
			tc.config = config(version("v1", live, 1), version("v2", live, 2))
			centreStates = append(centreStates, tc)
			tc.weights = &sharedStore{limit: limit, calls: &calls, grants: &grants}
			nodes = append(nodes, tc.add("a", "north"))
		}
		start := time.Now()
		missing := func() (n int) {
			for _, tc := range centreStates {
				have, _ := tc.count("m@v2")
				n += 2 - have
			}
			return n
		}
		for missing() > 0 && time.Since(start) < 10*time.Minute {
			time.Sleep(time.Second)
		}
		took := time.Since(start)
		first.Check(missing(), qt.Equals, 0)
		first.Check(grants, qt.Equals, 2*centres)
		first.Check(grants <= 1+int(took/(10*time.Second)), qt.IsTrue)
		first.Check(calls <= centres*(1+int(took/(10*time.Second))), qt.IsTrue)
		t.Logf("%d loads in %v, %d calls of the weight store", grants, took, calls)
		for _, n := range nodes {
			first.Check(n.Close(), qt.IsNil)
		}
	})
}

// TestFaultOrderRefused checks that another engine is ordered if one refuses
// each order.
func TestFaultOrderRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCentre(t, true, "", "m@v0", "m@v1")
		tc.engines["e0"].RefuseOrder = func(string, string) bool { return true }
		tc.config = config(version("v1", live, 1), version("v2", live, 1), version("v0", withdrawn, 0))
		a := tc.add("a", "north")
		time.Sleep(30 * time.Second)
		got, _ := tc.engines["e1"].Loaded()
		tc.Check(got, qt.DeepEquals, []string{"m@v2"})
		tc.Check(a.Close(), qt.IsNil)
	})
}
