package granter

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// warming makes the endpoint bear a tenth of its budget, doubling each 1.5 s.
func (w *fleet) warming(restarted bool) {
	began := time.Now()
	w.do(func() {
		w.bears = func() int64 {
			return min(budget, int64(budget/10)<<min(10, int(time.Since(began)/(1500*time.Millisecond))))
		}
		for _, d := range w.nodes {
			d.load = 1
		}
		if !restarted {
			return
		}
		// A restart ends what was under way.
		w.start++
		for _, d := range w.nodes {
			d.gauge = new(samphireturn.Quota)
			w.used[d] = 0
		}
	})
}

func TestFaultGrantCold(t *testing.T) {
	tests := []struct {
		name      string
		restarted bool
		fault     func(w *fleet)
		refused   int
	}{
		{"with a new start number", true, even, 0},
		{"without a new start number", false, even, 800},
		{"with a new start number, home killed", true, func(w *fleet) { w.kill(w.home()) }, 40},
		{"with a new start number, home paused", true, func(w *fleet) { h := w.home(); w.do(func() { h.paused = true }) }, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 8, 1, func(w *fleet) {
				time.Sleep(10 * time.Second)
				w.do(func() { w.life = 500 * time.Millisecond })
				w.warming(tt.restarted)
				w.do(func() { w.warm = !tt.restarted })
				time.Sleep(100 * time.Millisecond)
				tt.fault(w)
				time.Sleep(7 * time.Second)
				w.mend()
				w.do(func() { w.warm = true })
				time.Sleep(20 * time.Second)
				used := w.mean(4 * time.Second)
				t.Logf("%d refused, then %.3f of the budget used", w.refuse, used)
				qt.Check(t, w.refuse <= tt.refused, qt.IsTrue, qt.Commentf("%d refused", w.refuse))
				qt.Check(t, used >= 0.85, qt.IsTrue, qt.Commentf("%.3f used", used))
			})
		})
	}
}

// BenchmarkSlopeGrants measures the messages, bytes and processor time that the
// granters of a data centre spend at full size, for each daemon and second.
func BenchmarkSlopeGrants(b *testing.B) {
	for _, size := range []struct{ daemons, endpoints int }{{8, 20}, {8, 630}, {23, 630}} {
		b.Run(fmt.Sprintf("%d daemons %d endpoints", size.daemons, size.endpoints), func(b *testing.B) {
			for range b.N {
				many(b, size.daemons, size.endpoints)
			}
		})
	}
}

// many runs granters whose wants move by a tenth each second, on real time, as
// fake time costs processor time of its own.
func many(b *testing.B, daemons, endpoints int) {
	const seconds = 5
	w := newFleet(daemons, 1, endpoints)
	defer w.close()
	time.Sleep(12 * time.Second)
	w.do(func() { w.bytes, w.calls = 0, 0 })
	spent := processor()
	for range seconds {
		for _, d := range w.nodes {
			for _, e := range d.ends {
				e.Quota.Outstanding.Store(int64(budget / float64(daemons) * (0.75 + 0.1*d.rand.Float64())))
				e.Quota.LargestRequest.Store(unit)
			}
		}
		time.Sleep(time.Second)
	}
	spent = processor() - spent
	per := float64(seconds * daemons)
	w.do(func() {
		b.ReportMetric(float64(w.calls)/per, "asks/s")
		b.ReportMetric(float64(w.bytes)/per, "B/s")
	})
	b.ReportMetric(100*spent.Seconds()/per, "%core")
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
