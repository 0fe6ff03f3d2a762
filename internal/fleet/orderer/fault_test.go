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
	pause     = 40 * time.Second
)

// faults are what goes wrong around the effect of a step of one daemon.
var faults = map[string]func(n *node, effect func() error) error{
	"killed before": func(n *node, _ func() error) error { n.kill(); return lost() },
	"killed after":  func(n *node, effect func() error) error { _ = effect(); n.kill(); return lost() },
	"paused before": func(_ *node, effect func() error) error { time.Sleep(pause); return effect() },
	"paused after":  func(_ *node, effect func() error) error { err := effect(); time.Sleep(pause); return err },
	"paused and killed after": func(n *node, effect func() error) error {
		err := effect()
		time.Sleep(pause)
		n.kill()
		return err
	},
	"answer lost": func(_ *node, effect func() error) error { _ = effect(); return lost() },
	"answer lost, killed": func(n *node, effect func() error) error {
		_ = effect()
		time.AfterFunc(3*time.Second, n.kill)
		return lost()
	},
	"answer lost, platform down": func(n *node, effect func() error) error {
		_ = effect()
		n.w.down(30 * time.Second)
		return lost()
	},
	"paused after, platform down": func(n *node, effect func() error) error {
		err := effect()
		n.w.down(60 * time.Second)
		time.Sleep(pause)
		return err
	},
	"late and answer lost": func(_ *node, effect func() error) error {
		time.AfterFunc(1900*time.Millisecond, func() { _ = effect() })
		return lost()
	},
	"late, answer lost, closed": func(n *node, effect func() error) error {
		time.AfterFunc(1900*time.Millisecond, func() { _ = effect() })
		go func() { _ = n.Close() }()
		return lost()
	},
	"engine silent": func(n *node, effect func() error) error {
		err := effect()
		n.w.silence(15 * time.Second)
		return err
	},
	"engine silent, killed": func(n *node, effect func() error) error {
		err := effect()
		n.w.silence(18 * time.Second)
		n.kill()
		return err
	},
	"platform down": func(n *node, effect func() error) error { n.w.down(30 * time.Second); return effect() },
	"platform slow": func(n *node, effect func() error) error {
		n.w.objects.SetFaults(keeper.Faults{Delay: 1800 * time.Millisecond})
		time.AfterFunc(time.Minute, func() { n.w.objects.SetFaults(keeper.Faults{}) })
		return effect()
	},
	"clock forward": func(n *node, effect func() error) error { n.jump(time.Hour); return effect() },
	"clock back":    func(n *node, effect func() error) error { n.jump(-3 * time.Second); return effect() },
	"paused before, clock back": func(n *node, effect func() error) error {
		time.Sleep(pause)
		n.jump(-pause / 10)
		return effect()
	},
	"store refuses": func(n *node, effect func() error) error { n.w.drain(); return effect() },
	"store refuses, killed": func(n *node, effect func() error) error {
		n.w.drain()
		time.AfterFunc(5*time.Second, n.kill)
		return effect()
	},
	"engine refuses": func(n *node, effect func() error) error {
		n.w.mu.Lock()
		n.w.refuse = 1
		n.w.mu.Unlock()
		return effect()
	},
	"engine refuses, killed": func(n *node, effect func() error) error {
		n.w.mu.Lock()
		n.w.refuse = 2
		n.w.mu.Unlock()
		time.AfterFunc(3*time.Second, n.kill)
		return effect()
	},
}

func lost() error { return &samphireturn.Error{Kind: samphireturn.KindUnknown} }

func (n *node) jump(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ahead += d
}

func (w *world) down(d time.Duration) {
	w.objects.SetFaults(keeper.Faults{Down: true})
	time.AfterFunc(d, func() { w.objects.SetFaults(keeper.Faults{}) })
}

// silence cuts the engine ordered last off from all daemons.
func (w *world) silence(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[w.ordered] = time.Now().Add(d)
}

// drain uses up the weight store's rate for 20 s.
func (w *world) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.ReserveN(time.Now(), 2)
	for range 9 {
		w.store.ReserveN(time.Now(), 2)
	}
}

// TestFaultOrder rolls out v2 to two of four engines by two daemons, of which
// the first meets a fault at a step. At 25 s the wish changes to v3. At the end
// the engines have what is wanted last; no order came after one of a later
// holder, no two engines loaded at once, the version in use was always served,
// and each load had its weights drawn.
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
	w := newWorld(t, fenced, "m@v1", "m@v1", "m@v0", "m@v1")
	w.config = config(version("v1", live, 1), version("v2", live, 2), version("v0", withdrawn, 0))
	stop := w.watch("m@v1")
	a := w.add("a", "north")
	a.mu.Lock()
	a.step = step
	a.fault = func(effect func() error) error { return faults[fault](a, effect) }
	a.mu.Unlock()
	time.Sleep(time.Second)
	b := w.add("b", "north")
	b.jump(24 * time.Hour)
	time.Sleep(24 * time.Second)
	w.mu.Lock()
	w.config = config(version("v1", live, 1), version("v2", live, 1), version("v3", live, 2), version("v0", withdrawn, 0))
	w.mu.Unlock()
	time.Sleep(4 * time.Minute)
	stop()
	for v, want := range map[string]int{"m@v0": 0, "m@v1": 1, "m@v2": 1, "m@v3": 2} {
		have, _ := w.count(v)
		w.Check(have, qt.Equals, want, qt.Commentf("%s", v))
	}
	w.Check([]int{w.stale, w.loads, w.unserved}, qt.DeepEquals, []int{0, 0, 0}, qt.Commentf("stale orders, double loads, unserved"))
	w.Check(w.granted >= w.accepted, qt.IsTrue)
	all, err := orderer.Read(t.Context(), &w.objects)
	w.Assert(err, qt.IsNil)
	w.Check(all["north"].Versions, qt.DeepEquals, []orderer.Version{
		{Name: "m@v1", Desired: 1, Loaded: 1}, {Name: "m@v2", Desired: 1, Loaded: 1}, {Name: "m@v3", Desired: 2, Loaded: 2},
	})
	w.Check(all["north"].Problem, qt.Equals, "")
	w.Check(a.Close(), qt.IsNil)
	w.Check(b.Close(), qt.IsNil)
}

// TestFaultOrderWeights loads two versions in each of several data centres at
// once from a store that serves one in 10 s.
func TestFaultOrderWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const centres = 5
		limit := rate.NewLimiter(rate.Every(10*time.Second), 1)
		var worlds []*world
		var nodes []*node
		asked, granted := 0, 0
		first := newWorld(t, true, "m@v1", "", "")
		for range centres {
			w := newWorld(t, true, "m@v1", "", "")
			w.config = config(version("v1", live, 1), version("v2", live, 2))
			worlds = append(worlds, w)
			w.weights = &sharedStore{limit: limit, asked: &asked, granted: &granted}
			nodes = append(nodes, w.add("a", "north"))
		}
		start := time.Now()
		missing := func() (n int) {
			for _, w := range worlds {
				have, _ := w.count("m@v2")
				n += 2 - have
			}
			return n
		}
		for missing() > 0 && time.Since(start) < 10*time.Minute {
			time.Sleep(time.Second)
		}
		took := time.Since(start)
		first.Check(missing(), qt.Equals, 0)
		first.Check(granted, qt.Equals, 2*centres)
		first.Check(granted <= 1+int(took/(10*time.Second)), qt.IsTrue)
		first.Check(asked <= centres*(1+int(took/(10*time.Second))), qt.IsTrue)
		t.Logf("%d loads in %v, %d calls of the weight store", granted, took, asked)
		for _, n := range nodes {
			first.Check(n.Close(), qt.IsNil)
		}
	})
}

// TestFaultOrderRefused has an engine that refuses each order; another one is
// ordered in its place.
func TestFaultOrderRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true, "", "m@v0", "m@v1")
		w.engines["e0"].RefuseOrder = func(string, string) bool { return true }
		w.config = config(version("v1", live, 1), version("v2", live, 1), version("v0", withdrawn, 0))
		a := w.add("a", "north")
		time.Sleep(30 * time.Second)
		got, _ := w.engines["e1"].Loaded()
		w.Check(got, qt.DeepEquals, []string{"m@v2"})
		w.Check(a.Close(), qt.IsNil)
	})
}
