package sharer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/sharer"
	"samphireturn/internal/forward/balancer"
)

// newLargeFleet starts 300 daemons in five data centres, three of each on larger VMs, with
// twenty requests each at 3,000 endpoints, all of which report their pace.
func newLargeFleet() *fleet {
	const daemons, hosts, requests = 300, 3000, 20
	fl := newFleet()
	fl.members = nil
	for i := range daemons {
		vm := samphireturn.VM{ID: fmt.Sprintf("frontend-%03d", i), Centre: fmt.Sprint("c", i%5), Cores: 0.192}
		if i < 15 {
			vm.Cores = 0.8
		}
		fl.members = append(fl.members, vm)
	}
	engines := &samphireturn.Pool{Name: pool, MemoryTokens: 300_000}
	for i, vm := range fl.members {
		fl.start(vm)
		for j := range requests {
			host := &samphireturn.Host{ID: fmt.Sprintf("i-%010x", (i+daemons*j)%hosts*77_777), Pool: pool, Centre: vm.Centre, Slots: 12}
			r := fl.daemons[vm.ID].sharer.Balancer.Pick(&balancer.Request{
				Pool: engines, Hosts: []*samphireturn.Host{host}, MemoryTokens: 7000, PromptTokens: 6000, LatencyClass: "draft",
			})
			r.ObserveHead(samphireturn.ResponseMeta{Pace: 1.2})
		}
	}
	return fl
}

// TestLoadBytes bounds what loads take of the links of a large fleet: a tenth of 200 Mbit/s
// of a larger VM's, and of 20 Mbit/s of another's (pattern: an aggregator sent 49 Mbit/s,
// more than the link of a small VM that takes its place carries).
func TestLoadBytes(t *testing.T) {
	const (
		// duration has a whole number of intervals of paces.
		duration      = 2 * sharer.PaceInterval
		bitsPerSecond = 20e6
		share         = 0.1
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newLargeFleet()
		time.Sleep(duration)
		fl.mu.Lock()
		clear(fl.sent)
		fl.mu.Unlock()
		time.Sleep(duration)
		fl.mu.Lock()
		maxBytes := share * bitsPerSecond / 8
		c.Check(float64(fl.largest) <= maxBytes*sharer.ReportInterval.Seconds(), qt.IsTrue, qt.Commentf("a message of %d bytes", fl.largest))
		busiest := 0.0
		for _, vm := range fl.members {
			rate := float64(fl.sent[vm.ID]) / duration.Seconds()
			busiest = max(busiest, rate)
			allowed := maxBytes
			if vm.Cores > 0.192 {
				allowed *= 10
			}
			c.Check(rate <= allowed, qt.IsTrue, qt.Commentf("%s sends %.0f bytes a second of %.0f", vm.ID, rate, allowed))
		}
		t.Logf("largest message %d bytes, busiest daemon %.0f bytes a second", fl.largest, busiest)
		fl.mu.Unlock()
		for _, vm := range fl.members {
			fl.stop(vm.ID)
		}
	})
}

// TestReportRate guards against an aggregator whose work grows with its data centre: however
// many daemons report, it gets no more reports a second than of 24 that report in each interval.
func TestReportRate(t *testing.T) {
	const (
		duration   = 9 * time.Second
		maxReports = 24
	)
	for _, daemons := range []int{8, 24, 30, 47, 60, 100} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fl := newFleet()
			fl.members = nil
			for i := range daemons {
				fl.members = append(fl.members, samphireturn.VM{ID: fmt.Sprintf("d%03d", i), Centre: "north"})
			}
			for _, vm := range fl.members {
				fl.start(vm)
				fl.daemons[vm.ID].view.Rollouts = nil
			}
			time.Sleep(time.Second)
			fl.mu.Lock()
			fl.calls = 0
			fl.mu.Unlock()
			time.Sleep(duration)
			fl.mu.Lock()
			rate := float64(fl.calls) / (duration.Seconds() / sharer.ReportInterval.Seconds())
			fl.mu.Unlock()
			c.Check(rate <= maxReports, qt.IsTrue, qt.Commentf("%d daemons: %.1f reports in each interval", daemons, rate))
			c.Check(rate >= 0.9*float64(min(daemons-1, maxReports-1)), qt.IsTrue, qt.Commentf("%d daemons: %.1f reports in each interval", daemons, rate))
			for _, vm := range fl.members {
				fl.stop(vm.ID)
			}
		})
	}
}
