package granter

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// startWarmUp lets the endpoint take a tenth of its budget, doubling every 1.5
// s.
func (sim *simFleet) startWarmUp(restarted bool) {
	began := time.Now()
	sim.locked(func() {
		sim.capacity = func() int64 {
			return min(budget, int64(budget/10)<<min(10, int(time.Since(began)/(1500*time.Millisecond))))
		}
		for _, d := range sim.daemons {
			d.load = 1
		}
		if !restarted {
			return
		}
		// A restart ends the work in flight.
		sim.incarnation++
		for _, d := range sim.daemons {
			d.quota = new(samphireturn.Quota)
			sim.inFlight[d] = 0
		}
	})
}

// TestFaultGrantCold checks that an endpoint that becomes cold refuses few
// requests, and that its budget is used again once it is warm.
func TestFaultGrantCold(t *testing.T) {
	tests := []struct {
		name      string
		restarted bool
		fault     func(sim *simFleet)
		refused   int
	}{
		{"new incarnation", true, evenLoad, 0},
		{"same incarnation", false, evenLoad, 800},
		{"new incarnation, home killed", true, func(sim *simFleet) { sim.kill(sim.home()) }, 40},
		{"new incarnation, home paused", true, func(sim *simFleet) { h := sim.home(); sim.locked(func() { h.paused = true }) }, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 8, 1, func(sim *simFleet) {
				time.Sleep(10 * time.Second)
				sim.locked(func() { sim.maxDuration = 500 * time.Millisecond })
				sim.startWarmUp(tt.restarted)
				sim.locked(func() { sim.warm = !tt.restarted })
				time.Sleep(100 * time.Millisecond)
				tt.fault(sim)
				time.Sleep(7 * time.Second)
				sim.endFaults()
				sim.locked(func() { sim.warm = true })
				time.Sleep(20 * time.Second)
				used := sim.meanLoad(4 * time.Second)
				t.Logf("%d refused, then %.3f of the budget used", sim.refusals, used)
				qt.Check(t, sim.refusals <= tt.refused, qt.IsTrue, qt.Commentf("%d refused", sim.refusals))
				qt.Check(t, used >= 0.85, qt.IsTrue, qt.Commentf("%.3f used", used))
			})
		})
	}
}

// BenchmarkSlopeGrants measures the messages, bytes and processor time per
// daemon and second that the granters of a data centre need at full size.
func BenchmarkSlopeGrants(b *testing.B) {
	for _, size := range []struct{ daemons, endpoints int }{{8, 20}, {8, 630}, {23, 630}} {
		b.Run(fmt.Sprintf("%d daemons %d endpoints", size.daemons, size.endpoints), func(b *testing.B) {
			for range b.N {
				measureGrants(b, size.daemons, size.endpoints)
			}
		})
	}
}

// measureGrants runs granters whose demands move by a tenth each second. It
// runs in real time, since simulated time uses processor time of its own.
func measureGrants(b *testing.B, daemons, endpoints int) {
	const seconds = 5
	sim := newFleet(daemons, 1, endpoints)
	defer sim.close()
	time.Sleep(12 * time.Second)
	sim.locked(func() { sim.messageBytes, sim.calls = 0, 0 })
	spent := processorTime()
	for range seconds {
		for _, d := range sim.daemons {
			for _, e := range d.endpointsByID {
				e.Quota.Outstanding.Store(int64(budget / float64(daemons) * (0.75 + 0.1*d.rand.Float64())))
				e.Quota.LargestRequest.Store(maxRequest)
			}
		}
		time.Sleep(time.Second)
	}
	spent = processorTime() - spent
	per := float64(seconds * daemons)
	sim.locked(func() {
		b.ReportMetric(float64(sim.calls)/per, "requests/s")
		b.ReportMetric(float64(sim.messageBytes)/per, "B/s")
	})
	b.ReportMetric(100*spent.Seconds()/per, "%core")
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
