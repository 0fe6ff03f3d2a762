package granter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var even = func(*fleet) {}

// busy leaves one daemon with all the load.
func busy(w *fleet) {
	w.do(func() {
		for i, d := range w.nodes {
			d.load = 0
			if i == len(w.nodes)/2 {
				d.load = 2
			}
		}
	})
}

func TestUsableShare(t *testing.T) {
	tests := []struct {
		name  string
		n     int
		load  func(w *fleet)
		least float64
	}{
		{"1 even", 1, even, 0.9},
		{"8 even", 8, even, 0.9},
		{"32 even", 32, even, 0.9},
		{"8 one busy", 8, busy, 0.8},
		{"32 one busy", 32, busy, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, tt.n, 1, func(w *fleet) {
				tt.load(w)
				time.Sleep(12 * time.Second)
				used := w.mean(10 * time.Second)
				t.Logf("%.3f of the budget used", used)
				qt.Check(t, used >= tt.least, qt.IsTrue)
				qt.Check(t, w.over, qt.Equals, "")
			})
		})
	}
}

// TestFaultGrantSchedules checks that no schedule of faults lets all daemons
// together have more under way than the endpoint bears.
func TestFaultGrantSchedules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{8, 3, 5, 8, 2, 3, 5, 4, 1, 32}).Draw(r, "daemons")
		seed := rapid.Uint64().Draw(r, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 3, 10).Draw(r, "steps")
		whom := rapid.SliceOfN(rapid.IntRange(0, n-1), 10, 10).Draw(r, "whom")
		pauses := rapid.SliceOfN(rapid.IntRange(100, 6000), 10, 10).Draw(r, "milliseconds")
		var over string
		run(t, n, seed, func(w *fleet) {
			w.do(func() { w.life = time.Duration(1+seed%20) * time.Second })
			time.Sleep(5 * time.Second)
			for i, step := range steps {
				w.fault(step, whom[i])
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			over = w.over
		})
		if over != "" {
			r.Fatal(over)
		}
	})
}

// TestFaultGrantTable plays each fault at each step of 8 daemons' sharing: no
// more than the endpoint bears is ever under way, a part of the budget is in use
// during the fault, and nine tenths of it once it is over.
func TestFaultGrantTable(t *testing.T) {
	half := func(w *fleet) { w.part(func(i int) int { return i % 2 }) }
	apart := func(w *fleet) { w.part(func(i int) int { return i }) }
	cutHome := func(w *fleet) {
		h := w.home().index
		w.part(func(i int) int { return min(1, (i-h)*(i-h)) })
	}
	pauseHome := func(w *fleet) { h := w.home(); w.do(func() { h.paused = true }) }
	cutOne := func(w *fleet) { w.do(func() { w.cut[[2]int{1, 2}], w.cut[[2]int{2, 1}] = true, true }) }
	killHome := func(w *fleet) { w.kill(w.home()) }
	lateList := func(w *fleet) {
		w.do(func() {
			for _, d := range w.nodes[:3] {
				d.list = w.list[:7]
			}
		})
	}
	gapList := func(w *fleet) { w.do(func() { w.nodes[w.rand.IntN(8)].list = w.list[2:] }) }
	both := func(f, g func(w *fleet)) func(w *fleet) { return func(w *fleet) { f(w); g(w) } }
	faults := []struct {
		name   string
		do     func(w *fleet)
		during float64
	}{
		{"late list", lateList, 0.3},
		{"gap in list", gapList, 0.3},
		{"home killed", killHome, 0.2},
		{"home paused", pauseHome, 0.2},
		{"link cut", cutOne, 0.3},
		{"two homes at once", cutHome, 0.2},
		{"halves parted", half, 0.2},
		{"all peers lost", apart, 0.2},
		{"late list and home paused", both(lateList, pauseHome), 0.2},
		{"home paused and halves parted", both(pauseHome, half), 0.1},
		{"home killed and link cut", both(killHome, cutOne), 0.2},
		{"gap in list and two homes", both(gapList, cutHome), 0.2},
	}
	loads := []struct {
		name string
		do   func(w *fleet)
		all  bool
	}{
		{"before the first grants", even, true},
		{"even load", func(*fleet) { time.Sleep(8 * time.Second) }, true},
		{"one busy", func(w *fleet) { busy(w); time.Sleep(8 * time.Second) }, false},
	}
	for _, load := range loads {
		for i, fault := range faults {
			t.Run(load.name+"/"+fault.name, func(t *testing.T) {
				run(t, 8, uint64(i), func(w *fleet) {
					load.do(w)
					fault.do(w)
					time.Sleep(7 * time.Second)
					if load.all {
						used := w.mean(4 * time.Second)
						qt.Check(t, used >= fault.during, qt.IsTrue, qt.Commentf("%.3f used during the fault", used))
					}
					w.mend()
					time.Sleep(14 * time.Second)
					used := w.mean(4 * time.Second)
					qt.Check(t, used >= 0.9, qt.IsTrue, qt.Commentf("%.3f used after the fault", used))
					qt.Check(t, w.over, qt.Equals, "")
				})
			})
		}
	}
}

// mend ends all faults.
func (w *fleet) mend() {
	w.part(func(int) int { return 0 })
	for i, d := range w.nodes {
		w.do(func() { d.paused, d.list = false, nil })
		if d.dead {
			w.boot(i)
			w.do(func() { w.nodes[i].load = d.load })
		}
	}
}

// fault plays one step of a schedule.
func (w *fleet) fault(step, i int) {
	d := w.nodes[i]
	switch step {
	case 0:
		w.part(func(j int) int { return min(j, i) / max(i, 1) })
	case 1:
		w.part(func(j int) int { return j * (j - i) })
	case 2:
		w.part(func(int) int { return 0 })
	case 3:
		w.do(func() { d.paused = true })
	case 4:
		w.do(func() {
			for _, d := range w.nodes {
				d.paused = false
			}
		})
	case 5:
		busy(w)
	case 6:
		w.do(func() {
			for j, d := range w.nodes {
				d.load = float64(j%3) / 2
			}
		})
	case 7:
		w.do(func() { d.paused = false })
		w.kill(d)
	case 8:
		w.do(func() { d.paused = false })
		w.kill(d)
		w.boot(i)
	case 9:
		h := w.home()
		w.do(func() { h.paused = !h.paused })
	}
}
