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
func (f *fleet) start(c *qt.C) func() {
	for _, g := range f.guards {
		c.Assert(g.Run(context.Background()), qt.IsNil)
	}
	return func() {
		for _, g := range f.guards {
			c.Assert(g.Close(), qt.IsNil)
		}
	}
}

// wait lets fake time pass.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// fail has two daemons see a failure each, which makes the version suspect only
// when counted together.
func (f *fleet) fail() {
	f.guards[0].Sent(nil, v1, 0, broken)
	f.guards[1].Sent(nil, v1, 0, broken)
}

func TestFaultHold(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
		// heal ends the fault after ten seconds.
		heal   func(f *fleet)
		before int // daemons that hold the version before the fault ends
		after  int
	}{
		{name: "no fault", fault: func(*fleet) {}, before: 4, after: 4},
		{name: "half of the messages lost", fault: func(f *fleet) { f.loss = 0.5 }, before: 4, after: 4},
		{name: "platform down", fault: func(f *fleet) { f.objects.down = true }, heal: func(f *fleet) { f.objects.down = false }, before: 4, after: 4},
		{name: "answer lost after the write", fault: func(f *fleet) { f.objects.lose = 2 }, before: 4, after: 4},
		{name: "one daemon without peers", fault: func(f *fleet) { f.cut["d3"] = true }, before: 4, after: 4},
		{name: "platform down and most messages lost", fault: func(f *fleet) { f.loss, f.objects.down = 0.8, true }, before: 4, after: 4},
		{name: "platform down and one daemon without peers", fault: func(f *fleet) { f.cut["d3"], f.objects.down = true, true },
			heal: func(f *fleet) { f.cut["d3"] = false }, before: 3, after: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(4, 1)
				f.set(tt.fault)
				defer f.start(c)()
				f.fail()
				wait(10 * time.Second)
				c.Check(f.held(), qt.Equals, tt.before)
				if tt.heal != nil {
					f.set(tt.heal)
				}
				wait(10 * time.Second)
				c.Check(f.held(), qt.Equals, tt.after)
				f.set(func(f *fleet) { f.objects.down = false })
				wait(10 * time.Second)
				h, _, err := Load(context.Background(), f.objects, "m@v1")
				c.Assert(err, qt.IsNil)
				c.Check(h, qt.Equals, Hold{Version: v1, Epoch: 1, Generation: 1})
			})
		})
	}
}

// TestHoldAtOnce checks that a daemon's own suspicion waits for nobody.
func TestHoldAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2, 1)
	f.objects.down, f.loss = true, 1
	f.guards[0].Counter.SetGuard(rates)
	f.guards[0].Sent(nil, v1, 0, broken)
	c.Assert(f.held(), qt.Equals, 0)
	f.guards[0].Sent(nil, v1, 0, &dispatcher.Error{Kind: dispatcher.KindRefused})
	f.guards[0].Sent(nil, v1, 0, &dispatcher.Error{Kind: dispatcher.KindCancelled})
	f.guards[0].Sent(nil, samphireturn.ServiceRef("tickets"), 0, broken)
	c.Assert(f.guards[0].Counter.Totals()[0].Instances["d0.1"].Calls, qt.Equals, uint64(1))
	c.Assert(f.guards[0].Counter.Totals(), qt.HasLen, 1)
	c.Assert(f.held(), qt.Equals, 0, qt.Commentf("refusals, callers and services say nothing of the version"))
	f.guards[0].Sent(nil, v1, 0, nil)
	f.guards[0].Rated(v1, 0.9)
	c.Assert(f.held(), qt.Equals, 0)
	f.guards[0].Rated(v1, 0.1)
	c.Assert(f.held(), qt.Equals, 1)
}

func TestFaultHoldIsKept(t *testing.T) {
	tests := []struct {
		name string
		do   func(c *qt.C, f *fleet)
		held int
	}{
		{"a starting daemon reads the platform", func(c *qt.C, f *fleet) {
			f.set(func(f *fleet) { f.cut["d3"] = true })
			c.Assert(f.add().Run(context.Background()), qt.IsNil)
		}, 4},
		{"a starting daemon hears it from peers", func(c *qt.C, f *fleet) {
			f.set(func(f *fleet) { f.objects.down = true })
			c.Assert(f.add().Run(context.Background()), qt.IsNil)
		}, 4},
		{"a restarted counter is not asked again", func(_ *qt.C, f *fleet) { f.guards[0].Sent(nil, v1, 0, nil) }, 3},
		{"an operator releases it", func(c *qt.C, f *fleet) {
			_, err := Save(context.Background(), f.objects, Hold{Version: v1, Epoch: 2})
			c.Assert(err, qt.IsNil)
		}, 0},
		{"its state is changed", func(_ *qt.C, f *fleet) {
			for _, g := range f.guards {
				g.Control.(*control).edit(samphireturn.VersionLive)
			}
		}, 0},
		{"a change that leaves its state", func(_ *qt.C, f *fleet) {
			for _, g := range f.guards {
				g.Control.(*control).edit(samphireturn.VersionCanary)
			}
		}, 3},
		{"old counts come late", func(c *qt.C, f *fleet) {
			_, err := Save(context.Background(), f.objects, Hold{Version: v1, Epoch: 2})
			c.Assert(err, qt.IsNil)
			wait(10 * time.Second)
			for _, g := range f.guards {
				g.Counter.Merge(Totals{Version: v1, Instances: map[string]Total{"d9.1": {Calls: 9, Failures: 9}}})
				g.suspect(v1)
			}
		}, 0},
		{"it is bad again after its release", func(c *qt.C, f *fleet) {
			_, err := Save(context.Background(), f.objects, Hold{Version: v1, Epoch: 2})
			c.Assert(err, qt.IsNil)
			wait(10 * time.Second)
			f.fail()
		}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(3, 1)
				f.start(c)
				f.fail()
				wait(10 * time.Second)
				c.Assert(f.held(), qt.Equals, 3)
				tt.do(c, f)
				wait(10 * time.Second)
				c.Check(f.held(), qt.Equals, tt.held)
				for _, g := range f.guards {
					c.Assert(g.Close(), qt.IsNil)
				}
			})
		})
	}
}

// TestSaveKeepsTheHigherEpoch checks that a paused daemon does not bring an
// ended hold back.
func TestSaveKeepsTheHigherEpoch(t *testing.T) {
	c := qt.New(t)
	f := newFleet(0, 1)
	for _, epoch := range []uint64{2, 1} {
		h, err := Save(context.Background(), f.objects, Hold{Version: v1, Epoch: epoch})
		c.Assert(err, qt.IsNil)
		c.Assert(h.Epoch, qt.Equals, uint64(2))
	}
	h, _, err := Load(context.Background(), f.objects, "m@v1")
	c.Assert(err, qt.IsNil)
	c.Assert(h.Epoch, qt.Equals, uint64(2))
}

// TestGoneInstances checks that the counts of daemons that are gone leave the
// messages, stay in the test and are not counted twice when one returns.
func TestGoneInstances(t *testing.T) {
	c := qt.New(t)
	g := &Counter{Instance: "a", Guard: rates}
	for range 20 {
		g.RecordCall(v1, false)
	}
	b := Totals{Version: v1, Instances: map[string]Total{"b": {Calls: 10, Failures: 1}}}
	g.Merge(b)
	before := g.versions[v1].ratio
	g.Fold(func(id string) bool { return id == "a" })
	c.Assert(g.Totals()[0].Instances, qt.HasLen, 1)
	c.Assert(g.versions[v1].ratio, qt.Equals, before, qt.Commentf("folding resets nothing"))
	g.Merge(b)
	c.Assert(g.versions[v1].ratio, qt.Equals, before, qt.Commentf("counted once"))
	g.Merge(Totals{Version: v1, Instances: map[string]Total{"b": {Calls: 11, Failures: 1}}})
	c.Assert(g.Totals()[0].Instances, qt.HasLen, 2)
	c.Assert(g.versions[v1].ratio < before && g.versions[v1].ratio > before-0.3, qt.IsTrue, qt.Commentf("one more success"))
}

// TestFaultSharing measures the requests that run on a bad version until every
// daemon holds it, over the mean of one daemon that sees all of them.
func TestFaultSharing(t *testing.T) {
	const daemons, seeds = 8, 60
	for _, rate := range []int{3, 30, 300} { // requests a second in all
		one := exposure(t, 1, seeds, rate, 0, false)
		for _, loss := range []float64{0, 0.1, 0.3, 0.5} {
			shared := exposure(t, daemons, seeds, rate, loss, false)
			t.Logf("%d a second, loss %.1f: one daemon %.1f, shared %.1f, ratio %.2f", rate, loss, one, shared, shared/one)
			if loss <= 0.1 {
				qt.Check(t, shared <= 1.5*one, qt.IsTrue)
			}
		}
		alone := exposure(t, daemons, seeds, rate, 0, true)
		t.Logf("%d a second, not shared: %.1f, ratio %.2f", rate, alone, alone/one)
	}
}

// TestWaysOfSharing measures ways to share counts each second under lost
// messages: the requests that run on a bad version until any daemon finds it.
func TestWaysOfSharing(t *testing.T) {
	const seeds, perSecond = 300, 4
	var figures [4]map[float64]float64
	for way, name := range []string{"totals", "increments", "increments and the last two", "asking at each failure"} {
		figures[way] = make(map[float64]float64)
		for _, loss := range []float64{0, 0.1, 0.3, 0.5} {
			sum, calls, bytes := 0, 0, 0
			for seed := range uint64(seeds) {
				w := &ways{way: way, loss: loss, rand: rand.New(rand.NewPCG(seed, 3))}
				sum += w.run(8, perSecond)
				calls += w.calls
				bytes += w.bytes
			}
			figures[way][loss] = float64(sum) / seeds
			t.Logf("%s, loss %.1f: %.1f requests, %.0f messages, %.0f bytes", name, loss, figures[way][loss], float64(calls)/seeds, float64(bytes)/seeds)
		}
	}
	for loss, v := range figures[0] {
		qt.Check(t, v <= 1.05*figures[2][loss], qt.IsTrue, qt.Commentf("totals at loss %.1f", loss))
	}
}

// ways is a run of one way of sharing.
type ways struct {
	way   int
	loss  float64
	rand  *rand.Rand
	calls int
	bytes int
}

// run returns the requests until any of n daemons suspects the version.
func (w *ways) run(n, perSecond int) int {
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
			case w.way == 3 && failed && i != at:
				w.send(counters[at], counters[i].Totals()...)
			case w.way != 3 && requests%perSecond == 0:
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

// push sends one daemon's payload to all others. An increment is sent under a
// name of its own, so that merging adds it once.
func (w *ways) push(counters []*Counter, payloads [][]Totals, from int) {
	c := counters[from]
	own := c.Totals()
	if len(own) == 0 {
		return
	}
	total := own[0].Instances[c.Instance]
	name := c.Instance
	if w.way > 0 {
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
	if w.way == 2 {
		message = payloads[from][max(len(payloads[from])-3, 0):]
	}
	for i := range counters {
		if i != from {
			w.send(counters[i], message...)
		}
	}
}

// send delivers a message unless it is lost.
func (w *ways) send(to *Counter, m ...Totals) {
	data, _ := encoder.Marshal(message{Totals: m})
	w.calls++
	w.bytes += len(data)
	if w.rand.Float64() >= w.loss {
		to.Merge(m...)
	}
}

// exposure returns the mean number of requests on a bad version until each of n
// daemons holds it. A request goes to a daemon drawn at random and, while that
// daemon holds the version, to another version.
func exposure(t *testing.T, n, seeds, rate int, loss float64, alone bool) float64 {
	total := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(n, seed)
			f.loss, f.objects.down = loss, true
			if alone {
				f.loss = 1
			}
			defer f.start(c)()
			r := rand.New(rand.NewPCG(seed, 5))
			for f.held() < n {
				wait(time.Second / time.Duration(rate))
				g := f.guards[r.IntN(n)]
				if g.Control.Snapshot().HeldVersions[v1] {
					continue
				}
				total++
				if r.Float64() < rates.BadRate {
					g.Sent(nil, v1, 0, broken)
				} else {
					g.Sent(nil, v1, 0, nil)
				}
				synctest.Wait()
			}
		})
	}
	return float64(total) / float64(seeds)
}

// TestFaultLostPush checks that a lost push is repeated before the period ends,
// and that a peer that no push reaches is not tried more often than each period.
func TestFaultLostPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2, 1)
		f.loss, f.objects.down = 1, true
		defer f.start(c)()
		wait(pause)
		for range 9 {
			f.guards[0].Counter.RecordCall(v1, true)
		}
		f.guards[0].Sent(nil, v1, 0, broken)
		synctest.Wait()
		f.set(func(f *fleet) { f.loss = 0 })
		wait(period / 2)
		c.Check(f.held(), qt.Equals, 2)

		f.set(func(f *fleet) { f.loss, f.calls = 1, 0 })
		f.guards[1].Sent(nil, v1, 0, nil)
		wait(10 * period)
		c.Check(f.calls <= 12, qt.IsTrue, qt.Commentf("%d calls", f.calls))
	})
}
