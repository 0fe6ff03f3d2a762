package granter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// evenLoad leaves the load spread evenly.
var evenLoad = func(*simFleet) {}

// loadOneDaemon moves all load to one daemon.
func loadOneDaemon(sim *simFleet) {
	sim.locked(func() {
		for i, d := range sim.daemons {
			d.load = 0
			if i == len(sim.daemons)/2 {
				d.load = 2
			}
		}
	})
}

// TestUsableShare checks how much of the budget is usable without faults, with
// even load and with one busy daemon.
func TestUsableShare(t *testing.T) {
	tests := []struct {
		name  string
		n     int
		load  func(sim *simFleet)
		least float64
	}{
		{"1 even", 1, evenLoad, 0.9},
		{"8 even", 8, evenLoad, 0.9},
		{"32 even", 32, evenLoad, 0.9},
		{"8 one busy", 8, loadOneDaemon, 0.8},
		{"32 one busy", 32, loadOneDaemon, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, tt.n, 1, func(sim *simFleet) {
				tt.load(sim)
				time.Sleep(12 * time.Second)
				used := sim.meanLoad(10 * time.Second)
				t.Logf("%.3f of the budget used", used)
				qt.Check(t, used >= tt.least, qt.IsTrue)
				qt.Check(t, sim.overload, qt.Equals, "")
			})
		})
	}
}

// TestFaultGrantSchedules checks that under no sequence of faults do the
// daemons together have more work in flight than the endpoint can take.
func TestFaultGrantSchedules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{8, 3, 5, 8, 2, 3, 5, 4, 1, 32}).Draw(r, "daemons")
		seed := rapid.Uint64().Draw(r, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 3, 10).Draw(r, "steps")
		whom := rapid.SliceOfN(rapid.IntRange(0, n-1), 10, 10).Draw(r, "whom")
		pauses := rapid.SliceOfN(rapid.IntRange(100, 6000), 10, 10).Draw(r, "milliseconds")
		var over string
		run(t, n, seed, func(sim *simFleet) {
			sim.locked(func() { sim.maxDuration = time.Duration(1+seed%20) * time.Second })
			time.Sleep(5 * time.Second)
			for i, step := range steps {
				sim.injectFault(step, whom[i])
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			over = sim.overload
		})
		if over != "" {
			r.Fatal(over)
		}
	})
}

// TestFaultGrantTable injects each fault at each stage of the sharing among 8
// daemons. The work in flight never exceeds what the endpoint can take, part of
// the budget is used during the fault, and nine tenths of it afterwards.
func TestFaultGrantTable(t *testing.T) {
	half := func(sim *simFleet) { sim.partition(func(i int) int { return i % 2 }) }
	apart := func(sim *simFleet) { sim.partition(func(i int) int { return i }) }
	cutHome := func(sim *simFleet) {
		h := sim.home().index
		sim.partition(func(i int) int { return min(1, (i-h)*(i-h)) })
	}
	pauseHome := func(sim *simFleet) { h := sim.home(); sim.locked(func() { h.paused = true }) }
	cutOne := func(sim *simFleet) { sim.locked(func() { sim.cut[[2]int{1, 2}], sim.cut[[2]int{2, 1}] = true, true }) }
	killHome := func(sim *simFleet) { sim.kill(sim.home()) }
	lateList := func(sim *simFleet) {
		sim.locked(func() {
			for _, d := range sim.daemons[:3] {
				d.list = sim.list[:7]
			}
		})
	}
	gapList := func(sim *simFleet) { sim.locked(func() { sim.daemons[sim.rand.IntN(8)].list = sim.list[2:] }) }
	both := func(f, g func(sim *simFleet)) func(sim *simFleet) { return func(sim *simFleet) { f(sim); g(sim) } }
	faults := []struct {
		name   string
		do     func(sim *simFleet)
		during float64
	}{
		{"late member list", lateList, 0.3},
		{"gap in member list", gapList, 0.3},
		{"home killed", killHome, 0.2},
		{"home paused", pauseHome, 0.2},
		{"link cut", cutOne, 0.3},
		{"two homes at once", cutHome, 0.2},
		{"partitioned in halves", half, 0.2},
		{"all peers lost", apart, 0.2},
		{"late member list and home paused", both(lateList, pauseHome), 0.2},
		{"home paused and partitioned in halves", both(pauseHome, half), 0.1},
		{"home killed and link cut", both(killHome, cutOne), 0.2},
		{"gap in member list and two homes", both(gapList, cutHome), 0.2},
	}
	loads := []struct {
		name string
		do   func(sim *simFleet)
		all  bool
	}{
		{"before the first grants", evenLoad, true},
		{"even load", func(*simFleet) { time.Sleep(8 * time.Second) }, true},
		{"one busy", func(sim *simFleet) { loadOneDaemon(sim); time.Sleep(8 * time.Second) }, false},
	}
	for _, load := range loads {
		for i, fault := range faults {
			t.Run(load.name+"/"+fault.name, func(t *testing.T) {
				run(t, 8, uint64(i), func(sim *simFleet) {
					load.do(sim)
					fault.do(sim)
					time.Sleep(7 * time.Second)
					if load.all {
						used := sim.meanLoad(4 * time.Second)
						qt.Check(t, used >= fault.during, qt.IsTrue, qt.Commentf("%.3f used during the fault", used))
					}
					sim.endFaults()
					time.Sleep(14 * time.Second)
					used := sim.meanLoad(4 * time.Second)
					qt.Check(t, used >= 0.9, qt.IsTrue, qt.Commentf("%.3f used after the fault", used))
					qt.Check(t, sim.overload, qt.Equals, "")
				})
			})
		}
	}
}

// endFaults ends all faults and restarts killed daemons.
func (sim *simFleet) endFaults() {
	sim.partition(func(int) int { return 0 })
	for i, d := range sim.daemons {
		sim.locked(func() { d.paused, d.list = false, nil })
		if d.dead {
			sim.startDaemon(i)
			sim.locked(func() { sim.daemons[i].load = d.load })
		}
	}
}

// injectFault runs one step of a fault schedule on daemon i.
func (sim *simFleet) injectFault(step, i int) {
	d := sim.daemons[i]
	switch step {
	case 0:
		sim.partition(func(j int) int { return min(j, i) / max(i, 1) })
	case 1:
		sim.partition(func(j int) int { return j * (j - i) })
	case 2:
		sim.partition(func(int) int { return 0 })
	case 3:
		sim.locked(func() { d.paused = true })
	case 4:
		sim.locked(func() {
			for _, d := range sim.daemons {
				d.paused = false
			}
		})
	case 5:
		loadOneDaemon(sim)
	case 6:
		sim.locked(func() {
			for j, d := range sim.daemons {
				d.load = float64(j%3) / 2
			}
		})
	case 7:
		sim.locked(func() { d.paused = false })
		sim.kill(d)
	case 8:
		sim.locked(func() { d.paused = false })
		sim.kill(d)
		sim.startDaemon(i)
	case 9:
		h := sim.home()
		sim.locked(func() { h.paused = !h.paused })
	}
}
