package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
)

// plain is a pool whose endpoints run requests side by side.
var plain = &samphireturn.Pool{Name: "llm"}

// paceTrial is a fleet whose endpoints differ in pace. The work of a request takes workTime at
// a pace of 1.
type paceTrial struct {
	*cluster
	random *rand.Rand
	// paceOf returns the true pace of an endpoint by its number, and reported what it says;
	// nil if it says nothing.
	paceOf   func(i int) float64
	reported func(i int) float64
	running  []run
	previous []balancer.Loads
	// served holds the requests that each endpoint served, and busy the sum of their times.
	served []int
	busy   time.Duration
}

type run struct {
	end         time.Duration
	host        int
	reservation *balancer.Reservation
}

const (
	paceEndpoints = 40
	workTime      = time.Second
	// paceRate is the number of requests a second, for 6 in flight at an endpoint as fast as
	// usual, of 16 slots.
	paceRate  = 6 * paceEndpoints
	paceStep  = 50 * time.Millisecond
	paceLearn = 40 * time.Second
	paceTime  = 60 * time.Second
)

func newPaceTrial(daemons int, paceOf, reported func(int) float64) *paceTrial {
	tr := &paceTrial{cluster: newCluster(daemons, paceEndpoints, "north"), random: rand.New(rand.NewPCG(7, 8)), paceOf: paceOf, reported: reported, served: make([]int, paceEndpoints)}
	for _, h := range tr.hosts {
		h.Slots = 16
	}
	return tr
}

// share gives each daemon the loads of the last exchange and the paces of this one.
func (tr *paceTrial) share() {
	total, paces, own := make(balancer.Loads), make(balancer.Paces), make([]balancer.Paces, len(tr.daemons))
	for i, b := range tr.daemons {
		own[i] = b.LocalPaces()
		paces.Add(own[i], 0)
	}
	for _, loads := range tr.previous {
		total.Add(loads)
	}
	for i, b := range tr.daemons {
		others := make(balancer.Loads, len(total))
		others.Add(total)
		if tr.previous != nil {
			for key, own := range tr.previous[i] {
				sum := others[key]
				sum.Requests -= own.Requests
				others[key] = sum
			}
		}
		b.SetRemoteLoads(others)
		heard := make(balancer.Paces)
		for key, sum := range paces {
			heard[key] = balancer.PaceSum{Weight: sum.Weight - own[i][key].Weight, Logs: sum.Logs - own[i][key].Logs}
		}
		b.SetRemotePaces(heard)
	}
	tr.previous = tr.previous[:0]
	for _, b := range tr.daemons {
		tr.previous = append(tr.previous, b.LocalLoads())
	}
}

// play runs the trial and counts what was sent after paceLearn.
func (tr *paceTrial) play() {
	start, due := tr.now, 0.0
	for step := 0; tr.now < start+paceTime; step++ {
		tr.now += paceStep
		tr.finish()
		if step%24 == 0 {
			tr.share()
		}
		for due += paceRate * paceStep.Seconds(); due >= 1; due-- {
			tr.send(tr.now > start+paceLearn)
		}
	}
}

func (tr *paceTrial) send(counted bool) {
	r := tr.daemons[tr.random.IntN(len(tr.daemons))].Pick(&balancer.Request{Pool: plain, Hosts: tr.hosts, LatencyClass: "c", Objective: 2 * time.Second, Members: tr.members})
	var i int
	_, _ = fmt.Sscanf(r.Host.ID, "h%d", &i)
	took := time.Duration(tr.paceOf(i) * float64(workTime))
	tr.running = append(tr.running, run{tr.now + took, i, r})
	if counted {
		tr.served[i]++
		tr.busy += took
	}
}

func (tr *paceTrial) finish() {
	left := tr.running[:0]
	for _, r := range tr.running {
		if r.end > tr.now {
			left = append(left, r)
			continue
		}
		meta := samphireturn.ResponseMeta{}
		if tr.reported != nil {
			meta.Pace = tr.reported(r.host)
		}
		r.reservation.ObserveHead(meta)
		r.reservation.Done()
	}
	tr.running = left
}

// perEndpoint returns the mean work of the endpoints with a pace.
func (tr *paceTrial) perEndpoint(pace float64) (work float64) {
	n := 0
	for i, served := range tr.served {
		if tr.paceOf(i) == pace {
			n++
			work += float64(served)
		}
	}
	return work / float64(max(n, 1))
}

// TestPaceShare guards against daemons that use lastingly fast and slow endpoints like all
// others. The load is that of qasr, where a quarter of the engines is about twice as fast, and
// of a fleet where a quarter is as slow: work goes to endpoints by their speed, within a
// factor of 1.5, and requests take less time than without reports.
func TestPaceShare(t *testing.T) {
	const tolerance = 1.5
	for _, daemons := range []int{8, 88, 440} {
		for _, odd := range []float64{0.5, 2} {
			t.Run(fmt.Sprintf("%d daemons, pace %g", daemons, odd), func(t *testing.T) {
				c := qt.New(t)
				random := rand.New(rand.NewPCG(3, 4))
				paceOf := func(i int) float64 {
					if i%4 == 0 {
						return odd
					}
					return 1
				}
				noisy := func(i int) float64 { return paceOf(i) * math.Exp2(2*random.Float64()-1) }
				with, without := newPaceTrial(daemons, paceOf, noisy), newPaceTrial(daemons, paceOf, nil)
				with.play()
				without.play()
				share := with.perEndpoint(odd) / with.perEndpoint(1)
				t.Logf("share %.2f, without reports %.2f; time %v, without reports %v", share, without.perEndpoint(odd)/without.perEndpoint(1), with.busy, without.busy)
				c.Check(share*odd > 1/tolerance && share*odd < tolerance, qt.IsTrue, qt.Commentf("share %.2f", share))
				c.Check(with.busy < without.busy, qt.IsTrue)
			})
		}
	}
}

// TestPaceNoise guards against single reports that move work: those of a quarter of the
// endpoints jump between half and twice from one to the next, while all are equally fast. Their
// share stays within a tenth of the others'.
func TestPaceNoise(t *testing.T) {
	for _, daemons := range []int{8, 88, 440} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			c := qt.New(t)
			n := 0
			tr := newPaceTrial(daemons, func(int) float64 { return 1 }, func(i int) float64 {
				if i%4 != 0 {
					return 1
				}
				n++
				return []float64{0.5, 2}[n%2]
			})
			tr.play()
			var jumping, steady float64
			for i, served := range tr.served {
				if i%4 == 0 {
					jumping += float64(served) / (paceEndpoints / 4)
				} else {
					steady += float64(served) / (paceEndpoints * 3 / 4)
				}
			}
			t.Logf("share %.3f", jumping/steady)
			c.Check(math.Abs(jumping/steady-1) <= 0.1, qt.IsTrue, qt.Commentf("share %.3f", jumping/steady))
		})
	}
}

// TestPaceEstimate guards against estimates beyond the bounds, of another instance, or that
// last when nothing more is reported.
func TestPaceEstimate(t *testing.T) {
	tests := []struct {
		name     string
		reports  int
		pace     float64
		after    time.Duration
		restart  bool
		mis      bool
		min, max float64
	}{
		{"one report of four", 1, 4, 0, false, false, 1.1, 1.5},
		{"many reports of four", 1000, 4, 0, false, false, 3.9, 4},
		{"absurdly slow", 1000, 10_000, 0, false, false, 3.9, 4},
		{"absurdly fast", 1000, 1e-9, 0, false, false, 0.25, 0.26},
		{"twenty seconds later", 20, 4, 20 * time.Second, false, false, 1.5, 3},
		{"two minutes later", 100, 4, 2 * time.Minute, false, false, 1, 1},
		{"another instance", 100, 4, 0, true, false, 1, 1},
		{"misdirected", 100, 4, 0, false, true, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(2, 1, "north")
			req := cl.request("c", 100, "", 0)
			for range test.reports {
				r := cl.daemons[0].Pick(req)
				r.ObserveHead(samphireturn.ResponseMeta{Pace: test.pace, Misdirected: test.mis})
				r.Done()
			}
			cl.daemons[1].Pick(req).Done()
			cl.daemons[1].SetRemotePaces(cl.daemons[0].LocalPaces())
			cl.now += test.after
			host := *cl.hosts[0]
			if test.restart {
				host.Started++
			}
			for i, b := range cl.daemons {
				got := b.Pace(&host)
				c.Check(got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("daemon %d: %v", i, got))
			}
		})
	}
}

// TestPaceUnreported guards against scores that change where no endpoint reports a pace: with the
// same random numbers, all choices and estimated delays are those of commit 7fc650c, from which
// the recorded sum is, and those of a fleet that reports a pace of 1.
func TestPaceUnreported(t *testing.T) {
	const recorded = 3657788947328690803
	for _, pace := range []float64{0, 1} {
		c := qt.New(t)
		cl := newCluster(3, 30, "north", "south")
		sum := xxhash.New()
		for i := range 3000 {
			cl.now += 3 * time.Millisecond
			r := cl.daemons[i%3].Pick(cl.request("c", 500+i%1500, fmt.Sprint("p", i%7), 400))
			_, _ = fmt.Fprintln(sum, r.Host.ID, r.EstimatedDelay.Nanoseconds(), r.InFlight)
			if i%4 > 0 {
				r.ObserveHead(samphireturn.ResponseMeta{Pace: pace})
				r.Done()
			}
			if i%100 == 0 {
				cl.exchangeLoads()
			}
		}
		c.Check(sum.Sum64(), qt.Equals, uint64(recorded), qt.Commentf("pace %v", pace))
	}
}

// TestPacesEncoding guards against figures that change by more than rounding, and against
// messages that are cut off or would exceed the bounds.
func TestPacesEncoding(t *testing.T) {
	c := qt.New(t)
	tests := []struct{ sum, want balancer.PaceSum }{
		{balancer.PaceSum{Weight: 1, Logs: -2}, balancer.PaceSum{Weight: 1, Logs: -2}},
		{balancer.PaceSum{Weight: 50.03, Logs: 31.99}, balancer.PaceSum{Weight: 50, Logs: 32}},
		{balancer.PaceSum{Weight: 1, Logs: 1000}, balancer.PaceSum{Weight: 1, Logs: 2}},
	}
	for _, test := range tests {
		data, err := balancer.Paces{7: test.sum}.MarshalBinary()
		c.Assert(err, qt.IsNil)
		c.Check(len(data) <= 8, qt.IsTrue)
		var got balancer.Paces
		c.Assert(got.UnmarshalBinary(data), qt.IsNil)
		c.Check(got, qt.DeepEquals, balancer.Paces{7: test.want})
		for cut := 1; cut < len(data); cut++ {
			c.Check(got.UnmarshalBinary(data[:cut]), qt.IsNotNil)
		}
	}
	c.Check(new(balancer.Paces).UnmarshalBinary([]byte{0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0x01, 0}), qt.IsNotNil)
}
