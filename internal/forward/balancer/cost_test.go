package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
)

// newLargeFleet returns a balancer of 300 daemons and a request that a number of endpoints may
// serve, the first of which are warming up.
func newLargeFleet(endpoints, warmingUp int) (*balancer.Balancer, *balancer.Request) {
	cl := newCluster(300, endpoints, "north", "south", "west", "east", "centre")
	for i := range cl.members {
		cl.members[i].Cores = 0.192
	}
	for _, h := range cl.hosts[:warmingUp] {
		h.WarmUpLeft = time.Hour
	}
	return cl.daemons[0], cl.request("large", 6000, "0123456789abcdef", 5400)
}

// TestChoiceTime bounds the processor time of one choice in a large fleet (pattern: each
// choice hashed a new string for each endpoint, and ranked all daemons for each one that
// was warming up).
func TestChoiceTime(t *testing.T) {
	const (
		// cores is a tenth of the smallest VM's 0.192, which a daemon may use, and share
		// the part of it for choices. A fleet of 295 daemons has 1,140 requests a second,
		// most of which take two choices.
		cores, share     = 0.0192, 0.1
		choicesPerSecond = 2 * 1140.0 / 295
		runs, choices    = 200, 10
		// patience bounds the search for a run that had the processor for itself.
		patience = 20 * time.Second
	)
	seconds := cores * share / choicesPerSecond
	maxTime := time.Duration(seconds * float64(time.Second))
	tests := []struct {
		name      string
		warmingUp int
	}{
		{"none warming up", 0},
		{"a data centre's endpoints warming up", 600},
		{"all but a few warming up", 2990},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, req := newLargeFleet(3000, test.warmingUp)
			best := time.Hour
			// The shortest run is the one that had the processor for itself, which may take a
			// while to come on a busy machine.
			for begun, n := time.Now(), 0; n < runs || best > maxTime && time.Since(begun) < patience; n++ {
				start := time.Now()
				for range choices {
					b.Pick(req).Done()
				}
				best = min(best, time.Since(start)/choices)
			}
			t.Logf("%v of %v", best, maxTime)
			c.Check(best <= maxTime, qt.IsTrue, qt.Commentf("%v of %v", best, maxTime))
		})
	}
}

// TestChoiceAllocations guards against memory that each choice allocates in a large fleet: none but
// the reservation that it returns.
func TestChoiceAllocations(t *testing.T) {
	c := qt.New(t)
	b, req := newLargeFleet(12_000, 600)
	c.Check(testing.AllocsPerRun(100, func() { b.Pick(req).Done() }) <= 1, qt.IsTrue)
}

// TestChoicesKept guards against a cheaper choice that chooses otherwise: with the same random
// numbers, while endpoints fail, pause, warm up, restart and leave the list, all choices are those
// of commit 7fc650c, from which the recorded sum is.
func TestChoicesKept(t *testing.T) {
	const recorded = 4444846086377281373
	c := qt.New(t)
	cl := newCluster(4, 60, "north", "south", "west")
	random := rand.New(rand.NewPCG(5, 6))
	sum := xxhash.New()
	listed := cl.hosts
	var open []*balancer.Reservation
	for i := range 20_000 {
		cl.now += time.Duration(random.IntN(20)) * time.Millisecond
		b, at := cl.daemons[random.IntN(4)], random.IntN(60)
		h := cl.hosts[at]
		req := cl.request("c", random.IntN(3000), []string{"", "p", "q", "r"}[random.IntN(4)], 200)
		req.Hosts = listed
		if i%7 == 0 {
			req.Exclude = map[string]bool{h.ID: true}
		}
		switch i % 50 {
		case 1:
			b.RecordFailure(h, i%100 == 1)
		case 2:
			b.Pause(h, time.Second)
		case 3:
			b.MarkReachable(h)
		case 4:
			restarted := *h
			restarted.Started++
			restarted.WarmUpLeft = 500 * time.Millisecond
			*h = restarted
		case 5:
			from := random.IntN(30)
			listed = append([]*samphireturn.Host(nil), cl.hosts[from:from+25+random.IntN(5)]...)
			b.Retain(map[string][]*samphireturn.Host{"llm": listed})
		case 6:
			replaced := *h
			cl.hosts[at] = &replaced
		case 7:
			cl.exchangeLoads()
		}
		r := b.Pick(req)
		if r == nil {
			_, _ = fmt.Fprintln(sum, "none")
			continue
		}
		_, _ = fmt.Fprintln(sum, r.Host.ID, r.EstimatedDelay.Nanoseconds(), r.InFlight)
		open = append(open, r)
		for len(open) > 100 {
			at := random.IntN(len(open))
			open[at].ObserveHead(samphireturn.ResponseMeta{})
			open[at].Done()
			open = slices.Delete(open, at, at+1)
		}
	}
	c.Check(sum.Sum64(), qt.Equals, uint64(recorded))
}

// BenchmarkChoice is one choice in a large fleet.
func BenchmarkChoice(b *testing.B) {
	for _, size := range []struct{ endpoints, warmingUp int }{{3000, 0}, {3000, 600}, {12_000, 0}} {
		b.Run(fmt.Sprintf("%d_endpoints_%d_warming_up", size.endpoints, size.warmingUp), func(b *testing.B) {
			balancer, req := newLargeFleet(size.endpoints, size.warmingUp)
			// The first choice learns the endpoints.
			balancer.Pick(req).Done()
			b.ReportAllocs()
			for b.Loop() {
				balancer.Pick(req).Done()
			}
		})
	}
}
