package guard

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/traffic/dispatcher"
)

var broken = &dispatcher.Error{Kind: dispatcher.KindConnLost}

// start runs the guards and returns a function that closes them.
func (f *testFleet) start(c *qt.C) func() {
	for _, g := range f.guards {
		c.Assert(g.Run(context.Background()), qt.IsNil)
	}
	return func() {
		for _, g := range f.guards {
			c.Assert(g.Close(), qt.IsNil)
		}
	}
}

// advance lets fake time pass.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// failOnTwoDaemons records one failure on each of two daemons. The version becomes
// suspected only when both are counted together.
func (f *testFleet) failOnTwoDaemons() {
	f.guards[0].ObserveAttempt(nil, v1, 0, broken)
	f.guards[1].ObserveAttempt(nil, v1, 0, broken)
}

// TestFaultHold lets a version fail on two of four daemons during a fault. Every daemon
// that peers or the platform reach must hold the version, the others once they are
// connected again, and in the end the platform must have the hold.
func TestFaultHold(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *testFleet)
		// heal ends the fault after ten seconds.
		heal   func(f *testFleet)
		before int // daemons that hold the version before the fault ends
		after  int
	}{
		{name: "no fault", fault: func(*testFleet) {}, before: 4, after: 4},
		{name: "half of the messages lost", fault: func(f *testFleet) { f.lossRate = 0.5 }, before: 4, after: 4},
		{name: "platform down", fault: func(f *testFleet) { f.objects.unavailable = true }, heal: func(f *testFleet) { f.objects.unavailable = false }, before: 4, after: 4},
		{name: "answer lost after the write", fault: func(f *testFleet) { f.objects.dropReplies = 2 }, before: 4, after: 4},
		{name: "one daemon without peers", fault: func(f *testFleet) { f.disconnected["d3"] = true }, before: 4, after: 4},
		{name: "platform down and most messages lost", fault: func(f *testFleet) { f.lossRate, f.objects.unavailable = 0.8, true }, before: 4, after: 4},
		{name: "platform down and one daemon without peers", fault: func(f *testFleet) { f.disconnected["d3"], f.objects.unavailable = true, true },
			heal: func(f *testFleet) { f.disconnected["d3"] = false }, before: 3, after: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(4, 1)
				f.set(tt.fault)
				defer f.start(c)()
				f.failOnTwoDaemons()
				advance(10 * time.Second)
				c.Check(f.heldCount(), qt.Equals, tt.before)
				if tt.heal != nil {
					f.set(tt.heal)
				}
				advance(10 * time.Second)
				c.Check(f.heldCount(), qt.Equals, tt.after)
				f.set(func(f *testFleet) { f.objects.unavailable = false })
				advance(10 * time.Second)
				h, _, err := LoadHold(context.Background(), f.objects, "m@v1")
				c.Assert(err, qt.IsNil)
				c.Check(h, qt.Equals, Hold{Version: v1, Epoch: 1, Generation: 1})
			})
		})
	}
}

// TestHoldAtOnce checks that a daemon holds a version that its own counts make suspected
// without waiting for peers or the platform.
func TestHoldAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 1)
	f.objects.unavailable, f.lossRate = true, 1
	f.guards[0].Counter.SetGuard(rates)
	f.guards[0].ObserveAttempt(nil, v1, 0, broken)
	c.Assert(f.heldCount(), qt.Equals, 0)
	f.guards[0].ObserveAttempt(nil, v1, 0, &dispatcher.Error{Kind: dispatcher.KindRefused})
	f.guards[0].ObserveAttempt(nil, v1, 0, &dispatcher.Error{Kind: dispatcher.KindCancelled})
	f.guards[0].ObserveAttempt(nil, samphireturn.ServiceRef("tickets"), 0, broken)
	c.Assert(f.guards[0].Counter.Totals()[0].Instances["d0.1"].Calls, qt.Equals, uint64(1))
	c.Assert(f.guards[0].Counter.Totals(), qt.HasLen, 1)
	c.Assert(f.heldCount(), qt.Equals, 0, qt.Commentf("refusals, callers that left and services are not counted"))
	f.guards[0].ObserveAttempt(nil, v1, 0, nil)
	f.guards[0].ObserveRating(v1, 0.9)
	c.Assert(f.heldCount(), qt.Equals, 0)
	f.guards[0].ObserveRating(v1, 0.1)
	c.Assert(f.heldCount(), qt.Equals, 1)
}

// TestFaultHoldIsKept checks that a version stays held, also on daemons that start later,
// until an operator releases it or its state changes. After a release only new failures
// hold it again, not late counts of the earlier epoch.
func TestFaultHoldIsKept(t *testing.T) {
	tests := []struct {
		name string
		do   func(c *qt.C, f *testFleet)
		held int
	}{
		{"a starting daemon reads the platform", func(c *qt.C, f *testFleet) {
			f.set(func(f *testFleet) { f.disconnected["d3"] = true })
			c.Assert(f.add().Run(context.Background()), qt.IsNil)
		}, 4},
		{"a starting daemon gets it from peers", func(c *qt.C, f *testFleet) {
			f.set(func(f *testFleet) { f.objects.unavailable = true })
			c.Assert(f.add().Run(context.Background()), qt.IsNil)
		}, 4},
		{"a success while it is held", func(_ *qt.C, f *testFleet) { f.guards[0].ObserveAttempt(nil, v1, 0, nil) }, 3},
		{"an operator releases it", func(c *qt.C, f *testFleet) {
			_, err := SaveHold(context.Background(), f.objects, Hold{Version: v1, Epoch: 2})
			c.Assert(err, qt.IsNil)
		}, 0},
		{"its state is changed", func(_ *qt.C, f *testFleet) {
			for _, g := range f.guards {
				g.Control.(*fakeControl).changeConfig(samphireturn.VersionLive)
			}
		}, 0},
		{"a change that leaves its state", func(_ *qt.C, f *testFleet) {
			for _, g := range f.guards {
				g.Control.(*fakeControl).changeConfig(samphireturn.VersionCanary)
			}
		}, 3},
		{"old counts arrive late", func(c *qt.C, f *testFleet) {
			_, err := SaveHold(context.Background(), f.objects, Hold{Version: v1, Epoch: 2})
			c.Assert(err, qt.IsNil)
			advance(10 * time.Second)
			for _, g := range f.guards {
				g.Counter.Merge(Totals{Version: v1, Instances: map[string]Total{"d9.1": {Calls: 9, Failures: 9}}})
				g.checkSuspicion(v1)
			}
		}, 0},
		{"it fails again after its release", func(c *qt.C, f *testFleet) {
			_, err := SaveHold(context.Background(), f.objects, Hold{Version: v1, Epoch: 2})
			c.Assert(err, qt.IsNil)
			advance(10 * time.Second)
			f.failOnTwoDaemons()
		}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(3, 1)
				f.start(c)
				f.failOnTwoDaemons()
				advance(10 * time.Second)
				c.Assert(f.heldCount(), qt.Equals, 3)
				tt.do(c, f)
				advance(10 * time.Second)
				c.Check(f.heldCount(), qt.Equals, tt.held)
				for _, g := range f.guards {
					c.Assert(g.Close(), qt.IsNil)
				}
			})
		})
	}
}

// TestSaveKeepsTheHigherEpoch checks that a daemon that was paused does not restore a
// hold that was released meanwhile.
func TestSaveKeepsTheHigherEpoch(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 1)
	for _, epoch := range []uint64{2, 1} {
		h, err := SaveHold(context.Background(), f.objects, Hold{Version: v1, Epoch: epoch})
		c.Assert(err, qt.IsNil)
		c.Assert(h.Epoch, qt.Equals, uint64(2))
	}
	h, _, err := LoadHold(context.Background(), f.objects, "m@v1")
	c.Assert(err, qt.IsNil)
	c.Assert(h.Epoch, qt.Equals, uint64(2))
}

// TestGoneInstances checks that the counts of daemons that left the fleet are no longer
// sent, stay in the test and are not counted twice when a daemon returns.
func TestGoneInstances(t *testing.T) {
	c := qt.New(t)
	g := &Counter{Instance: "a", Guard: rates}
	for range 20 {
		g.RecordCall(v1, false)
	}
	b := Totals{Version: v1, Instances: map[string]Total{"b": {Calls: 10, Failures: 1}}}
	g.Merge(b)
	before := g.versions[v1].logRatio
	g.Fold(func(id string) bool { return id == "a" })
	c.Assert(g.Totals()[0].Instances, qt.HasLen, 1)
	c.Assert(g.versions[v1].logRatio, qt.Equals, before, qt.Commentf("folding resets nothing"))
	g.Merge(b)
	c.Assert(g.versions[v1].logRatio, qt.Equals, before, qt.Commentf("counted once"))
	g.Merge(Totals{Version: v1, Instances: map[string]Total{"b": {Calls: 11, Failures: 1}}})
	c.Assert(g.Totals()[0].Instances, qt.HasLen, 2)
	c.Assert(g.versions[v1].logRatio < before && g.versions[v1].logRatio > before-0.3, qt.IsTrue, qt.Commentf("one more success"))
}

// TestFaultSharing compares the requests that run on a faulty version until every daemon
// holds it with those that run if one daemon handles all requests.
func TestFaultSharing(t *testing.T) {
	const daemons, seeds = 8, 60
	for _, rate := range []int{3, 30, 300} { // requests a second in all
		one := meanExposure(t, 1, seeds, rate, 0, false)
		for _, loss := range []float64{0, 0.1, 0.3, 0.5} {
			shared := meanExposure(t, daemons, seeds, rate, loss, false)
			t.Logf("%d a second, loss %.1f: one daemon %.1f, shared %.1f, ratio %.2f", rate, loss, one, shared, shared/one)
			if loss <= 0.1 {
				qt.Check(t, shared <= 1.5*one, qt.IsTrue)
			}
		}
		alone := meanExposure(t, daemons, seeds, rate, 0, true)
		t.Logf("%d a second, not shared: %.1f, ratio %.2f", rate, alone, alone/one)
	}
}

// TestWaysOfSharing compares methods of sharing counts under message loss, by the
// requests that run on a faulty version until any daemon suspects it.
func TestWaysOfSharing(t *testing.T) {
	const seeds, perSecond = 300, 4
	var figures [4]map[float64]float64
	for method, name := range []string{"totals", "increments", "increments and the last two", "pull at each failure"} {
		figures[method] = make(map[float64]float64)
		for _, loss := range []float64{0, 0.1, 0.3, 0.5} {
			sum, calls, bytes := 0, 0, 0
			for seed := range uint64(seeds) {
				w := &sharingRun{method: method, loss: loss, rand: rand.New(rand.NewPCG(seed, 3))}
				sum += w.run(8, perSecond)
				calls += w.calls
				bytes += w.bytes
			}
			figures[method][loss] = float64(sum) / seeds
			t.Logf("%s, loss %.1f: %.1f requests, %.0f messages, %.0f bytes", name, loss, figures[method][loss], float64(calls)/seeds, float64(bytes)/seeds)
		}
	}
	for loss, v := range figures[0] {
		qt.Check(t, v <= 1.05*figures[2][loss], qt.IsTrue, qt.Commentf("totals at loss %.1f", loss))
	}
}

// sharingRun is a simulation of one method of sharing.
type sharingRun struct {
	method int
	loss   float64
	rand   *rand.Rand
	calls  int
	bytes  int
}

// run returns the number of requests until any of n daemons suspects the version.
func (w *sharingRun) run(n, perSecond int) int {
	counters, payloads := make([]*Counter, n), make([][]Totals, n)
	for i := range counters {
		counters[i] = &Counter{Instance: string(rune('a' + i)), Guard: rates}
	}
	for requests := 1; ; requests++ {
		at := w.rand.IntN(n)
		failed := w.rand.Float64() < rates.BadRate
		counters[at].RecordCall(v1, failed)
		for i := range counters {
			switch {
			case w.method == 3 && failed && i != at:
				w.send(counters[at], counters[i].Totals()...)
			case w.method != 3 && requests%perSecond == 0:
				w.push(counters, payloads, i)
			}
		}
		for _, c := range counters {
			if c.Suspicion(v1) == SuspicionBad {
				return requests
			}
		}
	}
}

// push sends one daemon's payload to all others. Each increment is sent under a name of
// its own, so that merging adds it once.
func (w *sharingRun) push(counters []*Counter, payloads [][]Totals, from int) {
	c := counters[from]
	own := c.Totals()
	if len(own) == 0 {
		return
	}
	total := own[0].Instances[c.Instance]
	name := c.Instance
	if w.method > 0 {
		var before Total
		for _, p := range payloads[from] {
			for _, t := range p.Instances {
				before = before.plus(t)
			}
		}
		total = Total{Calls: total.Calls - before.Calls, Failures: total.Failures - before.Failures}
		name += string(rune('0' + len(payloads[from])))
	}
	payloads[from] = append(payloads[from], Totals{Version: v1, Instances: map[string]Total{name: total}})
	message := payloads[from][len(payloads[from])-1:]
	if w.method == 2 {
		message = payloads[from][max(len(payloads[from])-3, 0):]
	}
	for i := range counters {
		if i != from {
			w.send(counters[i], message...)
		}
	}
}

// send delivers a message unless it is lost.
func (w *sharingRun) send(to *Counter, m ...Totals) {
	data, _ := encoder.Marshal(message{Totals: m})
	w.calls++
	w.bytes += len(data)
	if w.rand.Float64() >= w.loss {
		to.Merge(m...)
	}
}

// meanExposure returns the mean number of requests that run on a faulty version until
// each of n daemons holds it. Each request goes to a random daemon; while that daemon
// holds the version, the request does not run on it.
func meanExposure(t *testing.T, n, seeds, rate int, loss float64, alone bool) float64 {
	total := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(n, seed)
			f.lossRate, f.objects.unavailable = loss, true
			if alone {
				f.lossRate = 1
			}
			defer f.start(c)()
			r := rand.New(rand.NewPCG(seed, 5))
			for f.heldCount() < n {
				advance(time.Second / time.Duration(rate))
				g := f.guards[r.IntN(n)]
				if g.Control.Snapshot().HeldVersions[v1] {
					continue
				}
				total++
				if r.Float64() < rates.BadRate {
					g.ObserveAttempt(nil, v1, 0, broken)
				} else {
					g.ObserveAttempt(nil, v1, 0, nil)
				}
				synctest.Wait()
			}
		})
	}
	return float64(total) / float64(seeds)
}

// TestFaultLostPush checks that a lost push is retried before the interval ends, and
// that a peer that no push reaches is not tried more often than once an interval.
func TestFaultLostPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2, 1)
		f.lossRate, f.objects.unavailable = 1, true
		defer f.start(c)()
		advance(minPushGap)
		for range 9 {
			f.guards[0].Counter.RecordCall(v1, true)
		}
		f.guards[0].ObserveAttempt(nil, v1, 0, broken)
		synctest.Wait()
		f.set(func(f *testFleet) { f.lossRate = 0 })
		advance(pushInterval / 2)
		c.Check(f.heldCount(), qt.Equals, 2)

		f.set(func(f *testFleet) { f.lossRate, f.calls = 1, 0 })
		f.guards[1].ObserveAttempt(nil, v1, 0, nil)
		advance(10 * pushInterval)
		c.Check(f.calls <= 12, qt.IsTrue, qt.Commentf("%d calls", f.calls))
	})
}
