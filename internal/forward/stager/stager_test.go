package stager_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/forward/stager"
)

const length = 20 * time.Second

// daemons are some stagers that hear of each other's tallies.
type daemons struct {
	now     time.Duration
	stagers []*stager.Stager
	view    *samphireturn.View
	old     *samphireturn.Host
	fresh   *samphireturn.Host
}

func newDaemons(n int) *daemons {
	d := &daemons{
		now:   time.Hour,
		old:   &samphireturn.Host{ID: "old", Pool: "llm", Release: "v1"},
		fresh: &samphireturn.Host{ID: "fresh", Pool: "llm", Release: "v2"},
	}
	for range n {
		s := stager.New(func() time.Duration { return d.now }, zerolog.Nop())
		s.CanaryShare, s.CanaryExtra, s.SessionTTL = 0.13, 27, 5*time.Second
		d.stagers = append(d.stagers, s)
	}
	d.view = &samphireturn.View{Hosts: map[string][]*samphireturn.Host{"llm": {d.old, d.fresh}}}
	return d
}

// order orders the roll-out.
func (d *daemons) order() {
	d.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v2", Duration: length, Version: 1}}
}

// share exchanges the tallies.
func (d *daemons) share() {
	for i, s := range d.stagers {
		var sum []stager.Tally
		for j, o := range d.stagers {
			if i != j {
				sum = stager.Sum(sum, o.LocalTallies())
			}
		}
		s.SetRemoteTallies(sum)
	}
}

// TestSessions plays sessions whose requests reach any of eight daemons through a
// good roll-out: none is moved in the first half, and hardly any is moved back.
func TestSessions(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		d := newDaemons(8)
		random := rand.New(rand.NewPCG(seed, 3))
		last := make(map[string]string)
		early, back, fresh := 0, 0, 0
		start := d.now + 5*time.Second
		for i := range 1250 {
			d.now += 20 * time.Millisecond
			if d.now >= start && d.view.Rollouts == nil {
				d.order()
			}
			if i%15 == 0 {
				d.share()
			}
			// Sessions follow each other; each request may reach another daemon.
			name := fmt.Sprintf("s%d", i/80*10+random.IntN(10))
			at := random.IntN(8)
			hosts := d.stagers[at].Hosts(d.view, "llm", name, fmt.Sprint(i))
			h := hosts[random.IntN(len(hosts))]
			if d.view.Rollouts == nil {
				h = d.old
			}
			passed := float64(d.now-start) / float64(length)
			if last[name] == "old" && h == d.fresh && passed < 0.5 {
				early++
			}
			if last[name] == "fresh" && h == d.old {
				back++
			}
			if h == d.fresh {
				fresh++
			}
			last[name] = h.ID
			d.stagers[at].Answered(h, "r", false, 50*time.Millisecond)
		}
		c.Check(early, qt.Equals, 0, qt.Commentf("seed %d", seed))
		c.Check(back <= 3, qt.IsTrue, qt.Commentf("seed %d: %d sessions moved back", seed, back))
		c.Check(fresh > 100, qt.IsTrue)
	}
}

// TestVerdict plays releases that are bad in each way, and good ones whose
// endpoints fail now and then as those before do.
func TestVerdict(t *testing.T) {
	tests := []struct {
		name string
		// bad is the chance of a failure of the new release on a route at a part of
		// the time; base that of all.
		bad  func(passed float64, route string) float64
		base float64
		slow bool
		want string
	}{
		{"good", func(float64, string) float64 { return 0 }, 0, false, samphireturn.RolloutDone},
		{"good, both fail at times", func(float64, string) float64 { return 0 }, 0.05, false, samphireturn.RolloutDone},
		{"good, but slower until it has read the prompts", func(float64, string) float64 { return 0.06 }, 0.05, true, samphireturn.RolloutDone},
		{"good, but sessions that move read their prompts anew", func(passed float64, _ string) float64 {
			if passed > 0.52 {
				return 0.14
			}
			return 0
		}, 0.01, true, samphireturn.RolloutDone},
		{"failing", func(float64, string) float64 { return 0.5 }, 0, false, samphireturn.RolloutRolledBack},
		{"failing on one route", func(_ float64, route string) float64 {
			if route == "b" {
				return 0.5
			}
			return 0
		}, 0, false, samphireturn.RolloutRolledBack},
		{"late", func(passed float64, _ string) float64 {
			if passed > 0.2 {
				return 0.5
			}
			return 0
		}, 0.02, false, samphireturn.RolloutRolledBack},
		{"under load", func(passed float64, _ string) float64 {
			if passed > 0.55 {
				return 0.5
			}
			return 0
		}, 0.02, false, samphireturn.RolloutRolledBack},
		{"slow", func(float64, string) float64 { return 0.5 }, 0, true, samphireturn.RolloutRolledBack},
		{"slow under load", func(passed float64, _ string) float64 {
			if passed > 0.55 {
				return 0.5
			}
			return 0
		}, 0.02, true, samphireturn.RolloutRolledBack},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				c := qt.New(t)
				d := newDaemons(8)
				random := rand.New(rand.NewPCG(seed, 5))
				all, fresh := 0, 0
				start := d.now + 3*time.Second
				got := samphireturn.RolloutOrdered
				for i := 0; d.now < start+length; i++ {
					d.now += 20 * time.Millisecond
					if d.now >= start && d.view.Rollouts == nil {
						d.order()
					}
					if i%15 == 0 {
						d.share()
					}
					route := string(rune('a' + random.IntN(3)))
					s := d.stagers[random.IntN(8)]
					h := d.old
					if d.view.Rollouts != nil {
						session := ""
						if seed%2 == 1 {
							session = fmt.Sprint("s", i/100*30+random.IntN(30))
						}
						h = s.Hosts(d.view, "llm", session, fmt.Sprint(seed, i))[0]
						all++
					}
					failed := random.Float64() < test.base
					took := time.Duration(150+random.IntN(100)) * time.Millisecond
					if h == d.fresh {
						fresh++
						bad := random.Float64() < test.bad(float64(d.now-start)/float64(length), route)
						failed = failed || bad && !test.slow
						if bad && test.slow {
							took *= 8
						}
					}
					s.Answered(h, route, failed, took)
					if r := d.view.Rollouts["llm"]; r != nil {
						if next, ok := s.NextState(r, func(string) bool { return true }); ok {
							got = next.State
							next.Version++
							d.view.Rollouts = map[string]*samphireturn.Rollout{"llm": &next}
						}
					}
				}
				c.Check(got, qt.Equals, test.want, qt.Commentf("seed %d", seed))
				if test.want == samphireturn.RolloutRolledBack {
					c.Check(float64(fresh) <= 0.15*float64(all)+30, qt.IsTrue, qt.Commentf("seed %d: %d of %d", seed, fresh, all))
				}
			}
		})
	}
}

// TestRestart begins a roll-out's time where it began for the first daemon, also at
// one that starts later, and keeps to a verdict.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	d := newDaemons(2)
	wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, s := range d.stagers {
		s.Now = func() time.Time { return wall.Add(d.now) }
	}
	d.order()
	first, ok := d.stagers[0].NextState(d.view.Rollouts["llm"], func(string) bool { return true })
	c.Assert(ok, qt.IsTrue)
	c.Check(first.State, qt.Equals, samphireturn.RolloutRunning)
	d.view.Rollouts["llm"] = &first
	d.now += length * 98 / 100
	last, ok := d.stagers[1].NextState(&first, func(string) bool { return true })
	c.Assert(ok, qt.IsTrue)
	c.Check(last.State, qt.Equals, samphireturn.RolloutDone)
	d.view.Rollouts["llm"] = &last
	for _, s := range d.stagers {
		c.Check(s.Hosts(d.view, "llm", "", "x"), qt.DeepEquals, []*samphireturn.Host{d.fresh})
		_, ok := s.NextState(&last, func(string) bool { return true })
		c.Check(ok, qt.IsFalse)
	}
}

// TestReplaced has an order replaced by the next one before it was done: the
// requests stay on the release that had taken them, or go to the newest, and none
// goes back to the first, also at a daemon that starts after the change.
func TestReplaced(t *testing.T) {
	tests := []struct {
		name string
		// passed is the part of the first order's time at which it is replaced.
		passed float64
		want   string
	}{
		{"after the sessions moved", 0.8, "fresh"},
		{"in the first half", 0.3, "old"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemons(2)
			newest := &samphireturn.Host{ID: "newest", Pool: "llm", Release: "v3"}
			d.view.Hosts["llm"] = append(d.view.Hosts["llm"], newest)
			d.view.Rollouts = nil
			first, late := d.stagers[0], d.stagers[1]
			idle := func(string) bool { return false }
			d.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v1x", Duration: length, Version: 1}}
			d.old.Release = "v1x"
			// The first release was brought in by an order of its own.
			first.Hosts(d.view, "llm", "", "x")
			d.now += length
			if r, ok := first.NextState(d.view.Rollouts["llm"], func(string) bool { return true }); ok {
				d.view.Rollouts["llm"] = &r
			}
			first.Hosts(d.view, "llm", "", "x")
			d.order()
			for i := range 40 {
				first.Hosts(d.view, "llm", "", fmt.Sprint(i))
				first.Answered(d.fresh, "r", false, 50*time.Millisecond)
			}
			d.now += time.Duration(test.passed * float64(length))
			first.NextState(d.view.Rollouts["llm"], idle)
			d.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v3", Duration: length, Version: 3}}
			next, ok := first.NextState(d.view.Rollouts["llm"], idle)
			c.Assert(ok, qt.IsTrue)
			d.view.Rollouts["llm"] = &next
			for _, s := range []*stager.Stager{first, late} {
				seen := make(map[string]int)
				for i := range 200 {
					for _, h := range s.Hosts(d.view, "llm", "", fmt.Sprint("n", i)) {
						seen[h.ID]++
					}
				}
				c.Check(seen[test.want] > 150, qt.IsTrue, qt.Commentf("%v", seen))
				c.Check(seen[test.want]+seen["newest"], qt.Equals, 200, qt.Commentf("%v", seen))
				delete(seen, test.want)
				delete(seen, "newest")
				c.Check(seen, qt.HasLen, 0, qt.Commentf("%s", test.name))
			}
		})
	}
}

// TestVerdictOfOne has one daemon of two find a release bad after sessions moved to
// it: they stay until that is written or can't be, and then both send none there.
func TestVerdictOfOne(t *testing.T) {
	tests := []struct {
		name string
		// written is true once the state is recorded, heard once the daemons exchanged
		// their tallies; waited is the time since the verdict.
		written, heard bool
		waited         time.Duration
		want           []string
	}{
		{"not written yet", false, false, 100 * time.Millisecond, []string{"fresh", "fresh"}},
		{"heard, not written yet", false, true, 100 * time.Millisecond, []string{"fresh", "fresh"}},
		{"written", true, true, 100 * time.Millisecond, []string{"old", "old"}},
		{"can't be written", false, true, 3 * time.Second, []string{"old", "old"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemons(2)
			d.order()
			for _, s := range d.stagers {
				s.Hosts(d.view, "llm", "", "x")
			}
			for range 40 {
				d.stagers[0].Answered(d.fresh, "r", false, 50*time.Millisecond)
				d.stagers[1].Answered(d.old, "r", false, 50*time.Millisecond)
			}
			d.share()
			d.now += length * 8 / 10
			for _, s := range d.stagers {
				s.Hosts(d.view, "llm", "s", "y")
			}
			for range 20 {
				d.stagers[0].Answered(d.fresh, "r", true, 0)
			}
			d.stagers[0].SetRemoteTallies(nil)
			r := d.view.Rollouts["llm"]
			next, ok := d.stagers[0].NextState(r, func(string) bool { return false })
			c.Assert(ok, qt.IsTrue)
			c.Assert(next.State, qt.Equals, samphireturn.RolloutRolledBack)
			if test.heard {
				d.share()
				next, ok = d.stagers[1].NextState(r, func(string) bool { return true })
				c.Assert(ok, qt.IsTrue)
				c.Check(next.State, qt.Equals, samphireturn.RolloutRolledBack)
			}
			if test.written {
				next.Version++
				d.view.Rollouts["llm"] = &next
			}
			d.now += test.waited
			for i, s := range d.stagers {
				c.Check(s.Hosts(d.view, "llm", "s", "z")[0].ID, qt.Equals, test.want[i])
			}
		})
	}
}

// TestBefore has two daemons that saw different ends of the last order go by what
// the writer of the next one recorded.
func TestBefore(t *testing.T) {
	c := qt.New(t)
	d := newDaemons(2)
	newest := &samphireturn.Host{ID: "newest", Pool: "llm", Release: "v3"}
	d.view.Hosts["llm"] = append(d.view.Hosts["llm"], newest)
	d.order()
	for _, s := range d.stagers {
		s.Hosts(d.view, "llm", "", "x")
	}
	// The second daemon hears nothing and sees the next order in the first half.
	d.now += length * 8 / 10
	d.stagers[0].Hosts(d.view, "llm", "", "y")
	for range 60 {
		d.stagers[1].Answered(d.fresh, "r", true, 0)
	}
	d.stagers[1].SetRemoteTallies(nil)
	next := samphireturn.Rollout{Pool: "llm", Release: "v3", Duration: length, Version: 3}
	d.view.Rollouts["llm"] = &next
	for _, s := range d.stagers {
		s.Hosts(d.view, "llm", "s", "z")
	}
	written, ok := d.stagers[0].NextState(&next, func(string) bool { return false })
	c.Assert(ok, qt.IsTrue)
	c.Assert(written.PreviousRelease, qt.Equals, "v2")
	d.view.Rollouts["llm"] = &written
	for i, s := range d.stagers {
		c.Check(s.Hosts(d.view, "llm", "s", "z"), qt.DeepEquals, []*samphireturn.Host{d.fresh}, qt.Commentf("daemon %d", i))
	}
}
