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

const duration = 20 * time.Second

// daemons are some stagers that hear of each other's tallies.
type cluster struct {
	now     time.Duration
	stagers []*stager.Stager
	view    *samphireturn.View
	old     *samphireturn.Host
	canary  *samphireturn.Host
}

func newCluster(n int) *cluster {
	cl := &cluster{
		now:    time.Hour,
		old:    &samphireturn.Host{ID: "old", Pool: "llm", Release: "v1"},
		canary: &samphireturn.Host{ID: "fresh", Pool: "llm", Release: "v2"},
	}
	for range n {
		s := stager.New(func() time.Duration { return cl.now }, zerolog.Nop())
		s.CanaryShare, s.CanaryExtra, s.SessionTTL = 0.13, 27, 5*time.Second
		cl.stagers = append(cl.stagers, s)
	}
	cl.view = &samphireturn.View{Hosts: map[string][]*samphireturn.Host{"llm": {cl.old, cl.canary}}}
	return cl
}

// order orders the roll-out.
func (cl *cluster) startRollout() {
	cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v2", Duration: duration, Version: 1}}
}

// share exchanges the tallies.
func (cl *cluster) exchangeTallies() {
	for i, s := range cl.stagers {
		var sum []stager.Tally
		for j, o := range cl.stagers {
			if i != j {
				sum = stager.Sum(sum, o.LocalTallies())
			}
		}
		s.SetRemoteTallies(sum)
	}
}

// TestSessions plays sessions whose requests reach any of eight daemons through a
// good roll-out: none is moved in the first half, and hardly any is moved back.
func TestSessionMigration(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		cl := newCluster(8)
		random := rand.New(rand.NewPCG(seed, 3))
		last := make(map[string]string)
		movedEarly, movedBack, canary := 0, 0, 0
		start := cl.now + 5*time.Second
		for i := range 1250 {
			cl.now += 20 * time.Millisecond
			if cl.now >= start && cl.view.Rollouts == nil {
				cl.startRollout()
			}
			if i%15 == 0 {
				cl.exchangeTallies()
			}
			// Sessions follow each other; each request may reach another daemon.
			name := fmt.Sprintf("s%d", i/80*10+random.IntN(10))
			at := random.IntN(8)
			hosts := cl.stagers[at].Hosts(cl.view, "llm", name, fmt.Sprint(i))
			h := hosts[random.IntN(len(hosts))]
			if cl.view.Rollouts == nil {
				h = cl.old
			}
			elapsed := float64(cl.now-start) / float64(duration)
			if last[name] == "old" && h == cl.canary && elapsed < 0.5 {
				movedEarly++
			}
			if last[name] == "fresh" && h == cl.old {
				movedBack++
			}
			if h == cl.canary {
				canary++
			}
			last[name] = h.ID
			cl.stagers[at].RecordAnswer(h, "r", false, 50*time.Millisecond)
		}
		c.Check(movedEarly, qt.Equals, 0, qt.Commentf("seed %d", seed))
		c.Check(movedBack <= 3, qt.IsTrue, qt.Commentf("seed %d: %d sessions moved back", seed, movedBack))
		c.Check(canary > 100, qt.IsTrue)
	}
}

// TestVerdict plays releases that are bad in each way, and good ones whose
// endpoints fail now and then as those before do.
func TestNextState(t *testing.T) {
	tests := []struct {
		name string
		// bad is the chance of a failure of the new release on a route at a part of
		// the time; base that of all.
		bad  func(elapsed float64, route string) float64
		base float64
		slow bool
		want string
	}{
		{"good", func(float64, string) float64 { return 0 }, 0, false, samphireturn.RolloutDone},
		{"good, both fail at times", func(float64, string) float64 { return 0 }, 0.05, false, samphireturn.RolloutDone},
		{"good, but slower until it has read the prompts", func(float64, string) float64 { return 0.06 }, 0.05, true, samphireturn.RolloutDone},
		{"good, but sessions that move read their prompts anew", func(elapsed float64, _ string) float64 {
			if elapsed > 0.52 {
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
		{"late", func(elapsed float64, _ string) float64 {
			if elapsed > 0.2 {
				return 0.5
			}
			return 0
		}, 0.02, false, samphireturn.RolloutRolledBack},
		{"under load", func(elapsed float64, _ string) float64 {
			if elapsed > 0.55 {
				return 0.5
			}
			return 0
		}, 0.02, false, samphireturn.RolloutRolledBack},
		{"slow", func(float64, string) float64 { return 0.5 }, 0, true, samphireturn.RolloutRolledBack},
		{"slow under load", func(elapsed float64, _ string) float64 {
			if elapsed > 0.55 {
				return 0.5
			}
			return 0
		}, 0.02, true, samphireturn.RolloutRolledBack},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				c := qt.New(t)
				cl := newCluster(8)
				random := rand.New(rand.NewPCG(seed, 5))
				all, canary := 0, 0
				start := cl.now + 3*time.Second
				got := samphireturn.RolloutOrdered
				for i := 0; cl.now < start+duration; i++ {
					cl.now += 20 * time.Millisecond
					if cl.now >= start && cl.view.Rollouts == nil {
						cl.startRollout()
					}
					if i%15 == 0 {
						cl.exchangeTallies()
					}
					route := string(rune('a' + random.IntN(3)))
					s := cl.stagers[random.IntN(8)]
					h := cl.old
					if cl.view.Rollouts != nil {
						session := ""
						if seed%2 == 1 {
							session = fmt.Sprint("s", i/100*30+random.IntN(30))
						}
						h = s.Hosts(cl.view, "llm", session, fmt.Sprint(seed, i))[0]
						all++
					}
					failed := random.Float64() < test.base
					took := time.Duration(150+random.IntN(100)) * time.Millisecond
					if h == cl.canary {
						canary++
						bad := random.Float64() < test.bad(float64(cl.now-start)/float64(duration), route)
						failed = failed || bad && !test.slow
						if bad && test.slow {
							took *= 8
						}
					}
					s.RecordAnswer(h, route, failed, took)
					if r := cl.view.Rollouts["llm"]; r != nil {
						if next, ok := s.NextState(r, func(string) bool { return true }); ok {
							got = next.State
							next.Version++
							cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": &next}
						}
					}
				}
				c.Check(got, qt.Equals, test.want, qt.Commentf("seed %d", seed))
				if test.want == samphireturn.RolloutRolledBack {
					c.Check(float64(canary) <= 0.15*float64(all)+30, qt.IsTrue, qt.Commentf("seed %d: %d of %d", seed, canary, all))
				}
			}
		})
	}
}

// TestRestart begins a roll-out's time where it began for the first daemon, also at
// one that starts later, and keeps to a verdict.
func TestStartTimeFromOrder(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(2)
	wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, s := range cl.stagers {
		s.Now = func() time.Time { return wall.Add(cl.now) }
	}
	cl.startRollout()
	first, ok := cl.stagers[0].NextState(cl.view.Rollouts["llm"], func(string) bool { return true })
	c.Assert(ok, qt.IsTrue)
	c.Check(first.State, qt.Equals, samphireturn.RolloutRunning)
	cl.view.Rollouts["llm"] = &first
	cl.now += duration * 98 / 100
	last, ok := cl.stagers[1].NextState(&first, func(string) bool { return true })
	c.Assert(ok, qt.IsTrue)
	c.Check(last.State, qt.Equals, samphireturn.RolloutDone)
	cl.view.Rollouts["llm"] = &last
	for _, s := range cl.stagers {
		c.Check(s.Hosts(cl.view, "llm", "", "x"), qt.DeepEquals, []*samphireturn.Host{cl.canary})
		_, ok := s.NextState(&last, func(string) bool { return true })
		c.Check(ok, qt.IsFalse)
	}
}

// TestReplaced has an order replaced by the next one before it was done: the
// requests stay on the release that had taken them, or go to the newest, and none
// goes back to the first, also at a daemon that starts after the change.
func TestReplacedOrder(t *testing.T) {
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
			cl := newCluster(2)
			newest := &samphireturn.Host{ID: "newest", Pool: "llm", Release: "v3"}
			cl.view.Hosts["llm"] = append(cl.view.Hosts["llm"], newest)
			cl.view.Rollouts = nil
			first, late := cl.stagers[0], cl.stagers[1]
			idle := func(string) bool { return false }
			cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v1x", Duration: duration, Version: 1}}
			cl.old.Release = "v1x"
			// The first release was brought in by an order of its own.
			first.Hosts(cl.view, "llm", "", "x")
			cl.now += duration
			if r, ok := first.NextState(cl.view.Rollouts["llm"], func(string) bool { return true }); ok {
				cl.view.Rollouts["llm"] = &r
			}
			first.Hosts(cl.view, "llm", "", "x")
			cl.startRollout()
			for i := range 40 {
				first.Hosts(cl.view, "llm", "", fmt.Sprint(i))
				first.RecordAnswer(cl.canary, "r", false, 50*time.Millisecond)
			}
			cl.now += time.Duration(test.passed * float64(duration))
			first.NextState(cl.view.Rollouts["llm"], idle)
			cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v3", Duration: duration, Version: 3}}
			next, ok := first.NextState(cl.view.Rollouts["llm"], idle)
			c.Assert(ok, qt.IsTrue)
			cl.view.Rollouts["llm"] = &next
			for _, s := range []*stager.Stager{first, late} {
				seen := make(map[string]int)
				for i := range 200 {
					for _, h := range s.Hosts(cl.view, "llm", "", fmt.Sprint("n", i)) {
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
func TestVerdictSharing(t *testing.T) {
	tests := []struct {
		name string
		// written is true once the state is recorded, heard once the daemons exchanged
		// their tallies; waited is the time since the verdict.
		written, exchanged bool
		waited             time.Duration
		want               []string
	}{
		{"not written yet", false, false, 100 * time.Millisecond, []string{"fresh", "fresh"}},
		{"heard, not written yet", false, true, 100 * time.Millisecond, []string{"fresh", "fresh"}},
		{"written", true, true, 100 * time.Millisecond, []string{"old", "old"}},
		{"can't be written", false, true, 3 * time.Second, []string{"old", "old"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(2)
			cl.startRollout()
			for _, s := range cl.stagers {
				s.Hosts(cl.view, "llm", "", "x")
			}
			for range 40 {
				cl.stagers[0].RecordAnswer(cl.canary, "r", false, 50*time.Millisecond)
				cl.stagers[1].RecordAnswer(cl.old, "r", false, 50*time.Millisecond)
			}
			cl.exchangeTallies()
			cl.now += duration * 8 / 10
			for _, s := range cl.stagers {
				s.Hosts(cl.view, "llm", "s", "y")
			}
			for range 20 {
				cl.stagers[0].RecordAnswer(cl.canary, "r", true, 0)
			}
			cl.stagers[0].SetRemoteTallies(nil)
			r := cl.view.Rollouts["llm"]
			next, ok := cl.stagers[0].NextState(r, func(string) bool { return false })
			c.Assert(ok, qt.IsTrue)
			c.Assert(next.State, qt.Equals, samphireturn.RolloutRolledBack)
			if test.exchanged {
				cl.exchangeTallies()
				next, ok = cl.stagers[1].NextState(r, func(string) bool { return true })
				c.Assert(ok, qt.IsTrue)
				c.Check(next.State, qt.Equals, samphireturn.RolloutRolledBack)
			}
			if test.written {
				next.Version++
				cl.view.Rollouts["llm"] = &next
			}
			cl.now += test.waited
			for i, s := range cl.stagers {
				c.Check(s.Hosts(cl.view, "llm", "s", "z")[0].ID, qt.Equals, test.want[i])
			}
		})
	}
}

// TestBefore has two daemons that saw different ends of the last order go by what
// the writer of the next one recorded.
func TestPreviousRelease(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(2)
	newest := &samphireturn.Host{ID: "newest", Pool: "llm", Release: "v3"}
	cl.view.Hosts["llm"] = append(cl.view.Hosts["llm"], newest)
	cl.startRollout()
	for _, s := range cl.stagers {
		s.Hosts(cl.view, "llm", "", "x")
	}
	// The second daemon hears nothing and sees the next order in the first half.
	cl.now += duration * 8 / 10
	cl.stagers[0].Hosts(cl.view, "llm", "", "y")
	for range 60 {
		cl.stagers[1].RecordAnswer(cl.canary, "r", true, 0)
	}
	cl.stagers[1].SetRemoteTallies(nil)
	next := samphireturn.Rollout{Pool: "llm", Release: "v3", Duration: duration, Version: 3}
	cl.view.Rollouts["llm"] = &next
	for _, s := range cl.stagers {
		s.Hosts(cl.view, "llm", "s", "z")
	}
	written, ok := cl.stagers[0].NextState(&next, func(string) bool { return false })
	c.Assert(ok, qt.IsTrue)
	c.Assert(written.PreviousRelease, qt.Equals, "v2")
	cl.view.Rollouts["llm"] = &written
	for i, s := range cl.stagers {
		c.Check(s.Hosts(cl.view, "llm", "s", "z"), qt.DeepEquals, []*samphireturn.Host{cl.canary}, qt.Commentf("daemon %d", i))
	}
}
