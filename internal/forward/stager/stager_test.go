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

// cluster is a set of stagers that exchange tallies and share a simulated clock.
type cluster struct {
	now     time.Duration
	stagers []*stager.Stager
	view    *samphireturn.View
	old     *samphireturn.Host
	canary  *samphireturn.Host
	// instances is the number of stagers created so far.
	instances uint64
	// cut is the number of daemons, the first ones, that are cut off from all others, and
	// outage is true while no state can be written.
	cut    int
	outage bool
	// wall is true if the daemons' wall clocks follow the simulated clock.
	wall bool
}

func newCluster(n int) *cluster {
	cl := &cluster{
		now:    time.Hour,
		old:    &samphireturn.Host{ID: "old", Pool: "llm", Release: "v1"},
		canary: &samphireturn.Host{ID: "fresh", Pool: "llm", Release: "v2"},
	}
	for range n {
		cl.stagers = append(cl.stagers, cl.newStager())
	}
	cl.view = &samphireturn.View{Hosts: map[string][]*samphireturn.Host{"llm": {cl.old, cl.canary}}}
	return cl
}

// newStager returns the stager of a daemon that has just started.
func (cl *cluster) newStager() *stager.Stager {
	s := stager.New(func() time.Duration { return cl.now }, zerolog.Nop())
	cl.instances++
	s.Instance = cl.instances
	s.CanaryShare, s.CanaryExtra, s.SessionTTL = 0.13, 27, 5*time.Second
	if cl.wall {
		s.Now = func() time.Time { return time.Unix(1e9, 0).Add(cl.now) }
	}
	s.Fleet = func() int { return len(cl.stagers) }
	return s
}

// followWallClock lets the daemons' wall clocks follow the simulated clock.
func (cl *cluster) followWallClock() {
	cl.wall = true
	for i := range cl.stagers {
		cl.stagers[i] = cl.newStager()
	}
}

// startRollout orders a roll-out of v2.
func (cl *cluster) startRollout() {
	cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v2", Duration: duration, Version: samphireturn.Revision{Number: 1}}}
}

// prove has a daemon find an endpoint's release proven, by answers that it receives.
func (cl *cluster) prove(s *stager.Stager, h *samphireturn.Host) {
	for range 40 {
		s.RecordAnswer(h, "r", false, 50*time.Millisecond)
	}
	s.SetRemoteTallies(nil)
}

// exchangeTallies gives each daemon the summed tallies of the others and their evidence.
func (cl *cluster) exchangeTallies() {
	for i, s := range cl.stagers {
		var sum []stager.Tally
		for j, o := range cl.stagers {
			if i != j && i >= cl.cut && j >= cl.cut {
				sum = stager.Sum(sum, o.LocalTallies())
				evidence, _ := o.Evidence(0, 0)
				s.AddEvidence(o.Instance, evidence)
			}
		}
		s.SetRemoteTallies(sum)
	}
}

// TestSessionMigration checks sessions whose requests reach any of eight daemons
// during the roll-out of a good release: none migrates in the first half, and at most
// three go back.
func TestSessionMigration(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		cl := newCluster(8)
		random := rand.New(rand.NewPCG(seed, 3))
		lastHost := make(map[string]string)
		movedEarly, movedBack, canaryRequests := 0, 0, 0
		start := cl.now + 5*time.Second
		for i := range 1250 {
			cl.now += 20 * time.Millisecond
			if cl.now >= start && cl.view.Rollouts == nil {
				cl.startRollout()
			}
			if i%15 == 0 {
				cl.exchangeTallies()
			}
			// Later sessions replace earlier ones; each request may reach another daemon.
			sessionID := fmt.Sprintf("s%d", i/80*10+random.IntN(10))
			daemon := random.IntN(8)
			hosts := cl.stagers[daemon].Hosts(cl.view, "llm", sessionID, fmt.Sprint(i))
			h := hosts[random.IntN(len(hosts))]
			if cl.view.Rollouts == nil {
				h = cl.old
			}
			elapsed := float64(cl.now-start) / float64(duration)
			if lastHost[sessionID] == "old" && h == cl.canary && elapsed < 0.5 {
				movedEarly++
			}
			if lastHost[sessionID] == "fresh" && h == cl.old {
				movedBack++
			}
			if h == cl.canary {
				canaryRequests++
			}
			lastHost[sessionID] = h.ID
			cl.stagers[daemon].RecordAnswer(h, "r", false, 50*time.Millisecond)
		}
		c.Check(movedEarly, qt.Equals, 0, qt.Commentf("seed %d", seed))
		c.Check(movedBack <= 3, qt.IsTrue, qt.Commentf("seed %d: %d sessions went back", seed, movedBack))
		c.Check(canaryRequests > 100, qt.IsTrue)
	}
}

// TestNextState checks that faulty releases are rolled back, before more than the
// bounded share of requests went to them, and that good ones are not, although
// endpoints of both releases fail at times.
func TestNextState(t *testing.T) {
	tests := []struct {
		name string
		// bad is the probability that an answer of the new release fails, or is slow if
		// slow is true, by elapsed share and route. base is the probability that any
		// answer fails.
		bad  func(elapsed float64, route string) float64
		base float64
		slow bool
		want string
	}{
		{"good", func(float64, string) float64 { return 0 }, 0, false, samphireturn.RolloutDone},
		{"good, both fail at times", func(float64, string) float64 { return 0 }, 0.05, false, samphireturn.RolloutDone},
		{"good, but slower until it has cached the prompts", func(float64, string) float64 { return 0.06 }, 0.05, true, samphireturn.RolloutDone},
		{"good, but the prompts of migrated sessions are not cached", func(elapsed float64, _ string) float64 {
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
		{"failing after a fifth of the time", func(elapsed float64, _ string) float64 {
			if elapsed > 0.2 {
				return 0.5
			}
			return 0
		}, 0.02, false, samphireturn.RolloutRolledBack},
		{"failing under load", func(elapsed float64, _ string) float64 {
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
				totalRequests, canaryRequests := 0, 0
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
						totalRequests++
					}
					failed := random.Float64() < test.base
					elapsed := time.Duration(150+random.IntN(100)) * time.Millisecond
					if h == cl.canary {
						canaryRequests++
						bad := random.Float64() < test.bad(float64(cl.now-start)/float64(duration), route)
						failed = failed || bad && !test.slow
						if bad && test.slow {
							elapsed *= 8
						}
					}
					s.RecordAnswer(h, route, failed, elapsed)
					if r := cl.view.Rollouts["llm"]; r != nil {
						if next, ok := s.NextState(r, func(string) bool { return true }); ok {
							got = next.State
							next.Version.Number++
							cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": &next}
						}
					}
				}
				c.Check(got, qt.Equals, test.want, qt.Commentf("seed %d", seed))
				if test.want == samphireturn.RolloutRolledBack {
					c.Check(float64(canaryRequests) <= 0.15*float64(totalRequests)+30, qt.IsTrue, qt.Commentf("seed %d: %d of %d", seed, canaryRequests, totalRequests))
				}
			}
		})
	}
}

// TestStartTimeFromOrder checks that a daemon that starts during a roll-out counts
// its time from when the first daemon saw the order, that it writes no end before it knows
// answers, and that an ended roll-out stays ended.
func TestStartTimeFromOrder(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(2)
	cl.followWallClock()
	cl.startRollout()
	first, ok := cl.stagers[0].NextState(cl.view.Rollouts["llm"], func(string) bool { return true })
	c.Assert(ok, qt.IsTrue)
	c.Check(first.State, qt.Equals, samphireturn.RolloutRunning)
	cl.view.Rollouts["llm"] = &first
	cl.now += duration * 98 / 100
	_, ok = cl.stagers[1].NextState(&first, func(string) bool { return true })
	c.Assert(ok, qt.IsFalse)
	cl.prove(cl.stagers[1], cl.canary)
	cl.now += 3 * time.Second
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

// TestReplacedOrder replaces an order before its roll-out is done. Requests go to the
// release that had most of them or to the newest one, and none to the other, also at
// a daemon that starts after the replacement.
func TestReplacedOrder(t *testing.T) {
	tests := []struct {
		name string
		// elapsed is the share of the order's duration after which it is replaced.
		elapsed float64
		want    string
	}{
		{"after the sessions migrated", 0.8, "fresh"},
		{"in the first half", 0.3, "old"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(2)
			newest := &samphireturn.Host{ID: "newest", Pool: "llm", Release: "v3"}
			cl.view.Hosts["llm"] = append(cl.view.Hosts["llm"], newest)
			cl.view.Rollouts = nil
			firstDaemon, secondDaemon := cl.stagers[0], cl.stagers[1]
			idle := func(string) bool { return false }
			cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v1x", Duration: duration, Version: samphireturn.Revision{Number: 1}}}
			cl.old.Release = "v1x"
			// An earlier order rolled out the first release.
			firstDaemon.Hosts(cl.view, "llm", "", "x")
			cl.prove(firstDaemon, cl.old)
			cl.now += duration
			if r, ok := firstDaemon.NextState(cl.view.Rollouts["llm"], func(string) bool { return true }); ok {
				cl.view.Rollouts["llm"] = &r
			}
			firstDaemon.Hosts(cl.view, "llm", "", "x")
			cl.startRollout()
			for i := range 40 {
				firstDaemon.Hosts(cl.view, "llm", "", fmt.Sprint(i))
				firstDaemon.RecordAnswer(cl.canary, "r", false, 50*time.Millisecond)
			}
			cl.now += time.Duration(test.elapsed * float64(duration))
			firstDaemon.NextState(cl.view.Rollouts["llm"], idle)
			cl.view.Rollouts = map[string]*samphireturn.Rollout{"llm": {Pool: "llm", Release: "v3", Duration: duration, Version: samphireturn.Revision{Number: 3}}}
			next, ok := firstDaemon.NextState(cl.view.Rollouts["llm"], idle)
			c.Assert(ok, qt.IsTrue)
			cl.view.Rollouts["llm"] = &next
			for _, s := range []*stager.Stager{firstDaemon, secondDaemon} {
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

// TestVerdictSharing checks two daemons of which one finds a release faulty after
// sessions migrated to it. The sessions stay until the rollback is stored or can't be
// stored in time, then both daemons send no request to the release.
func TestVerdictSharing(t *testing.T) {
	tests := []struct {
		name string
		// stored is true if the rollback is stored, exchanged if the daemons exchanged
		// their tallies; waited is the time since the verdict.
		stored, exchanged bool
		waited            time.Duration
		want              []string
	}{
		{"not stored yet", false, false, 100 * time.Millisecond, []string{"fresh", "fresh"}},
		{"exchanged, not stored yet", false, true, 100 * time.Millisecond, []string{"fresh", "fresh"}},
		{"stored", true, true, 100 * time.Millisecond, []string{"old", "old"}},
		{"can't be stored", false, true, 3 * time.Second, []string{"old", "old"}},
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
			if test.stored {
				next.Version.Number++
				cl.view.Rollouts["llm"] = &next
			}
			cl.now += test.waited
			for i, s := range cl.stagers {
				c.Check(s.Hosts(cl.view, "llm", "s", "z")[0].ID, qt.Equals, test.want[i])
			}
		})
	}
}

// TestPreviousRelease checks that two daemons which saw the last order end
// differently both use the previous release that is stored with the next order.
func TestPreviousRelease(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(2)
	newest := &samphireturn.Host{ID: "newest", Pool: "llm", Release: "v3"}
	cl.view.Hosts["llm"] = append(cl.view.Hosts["llm"], newest)
	cl.startRollout()
	for _, s := range cl.stagers {
		s.Hosts(cl.view, "llm", "", "x")
	}
	// At the first daemon v2 has taken over; the second finds it faulty by its own
	// answers, which it does not share.
	cl.prove(cl.stagers[0], cl.canary)
	cl.now += duration * 8 / 10
	cl.stagers[0].Hosts(cl.view, "llm", "", "y")
	for range 60 {
		cl.stagers[1].RecordAnswer(cl.canary, "r", true, 0)
	}
	cl.stagers[1].SetRemoteTallies(nil)
	next := samphireturn.Rollout{Pool: "llm", Release: "v3", Duration: duration, Version: samphireturn.Revision{Number: 3}}
	cl.view.Rollouts["llm"] = &next
	for _, s := range cl.stagers {
		s.Hosts(cl.view, "llm", "s", "z")
	}
	stored, ok := cl.stagers[0].NextState(&next, func(string) bool { return false })
	c.Assert(ok, qt.IsTrue)
	c.Assert(stored.PreviousRelease, qt.Equals, "v2")
	cl.view.Rollouts["llm"] = &stored
	for i, s := range cl.stagers {
		c.Check(s.Hosts(cl.view, "llm", "s", "z"), qt.DeepEquals, []*samphireturn.Host{cl.canary}, qt.Commentf("daemon %d", i))
	}
}

// TestResumeHosts checks where a stream goes on that breaks off during a roll-out.
func TestResumeHosts(t *testing.T) {
	tests := []struct {
		name, state, session, release string
		// leaving is the endpoint whose entry says that it leaves, departed the one that
		// announced it.
		leaving, departed string
		want              string
	}{
		{"old release", samphireturn.RolloutRunning, "s", "v1", "", "", "old"},
		{"old release without a session", samphireturn.RolloutRunning, "", "v1", "", "", "old"},
		{"new release, session has migrated", samphireturn.RolloutRunning, "s", "v2", "", "", "fresh"},
		{"new release without a session", samphireturn.RolloutRunning, "", "v2", "", "", "old"},
		{"old release has left", samphireturn.RolloutRunning, "s", "v1", "old", "", "fresh"},
		{"old release has announced it", samphireturn.RolloutRunning, "s", "v1", "", "old", "fresh"},
		{"new release has announced it", samphireturn.RolloutRunning, "s", "v2", "", "fresh", "old"},
		{"done", samphireturn.RolloutDone, "s", "v1", "", "", "fresh"},
		{"rolled back", samphireturn.RolloutRolledBack, "", "v2", "", "", "old"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(1)
			cl.startRollout()
			cl.view.Rollouts["llm"].State = test.state
			cl.old.Leaving = test.leaving == "old"
			cl.view.Departures = new(samphireturn.Departures)
			cl.view.Departures.Replace(map[string]int64{test.departed: 0})
			s := cl.stagers[0]
			s.Hosts(cl.view, "llm", "", "x")
			cl.now += duration * 8 / 10
			hosts := s.ResumeHosts(cl.view, "llm", test.session, "id", test.release)
			c.Assert(hosts, qt.HasLen, 1)
			c.Check(hosts[0].ID, qt.Equals, test.want)
		})
	}
}

// TestUnwrittenState guards against a state that the source lost in a new era not being
// written again, or being written without its start and its previous release.
func TestUnwrittenState(t *testing.T) {
	for _, state := range []string{samphireturn.RolloutRunning, samphireturn.RolloutDone, samphireturn.RolloutRolledBack} {
		for _, unwritten := range []bool{false, true} {
			t.Run(fmt.Sprint(state, " ", unwritten), func(t *testing.T) {
				c := qt.New(t)
				now := time.Hour
				s := stager.New(func() time.Duration { return now }, zerolog.Nop())
				started := time.Now().Add(-time.Second)
				r := &samphireturn.Rollout{
					Pool: "llm", Release: "v2", Duration: time.Minute, State: state, Unwritten: unwritten,
					Started: started, PreviousRelease: "v1",
				}
				next, ok := s.NextState(r, func(string) bool { return false })
				c.Check(ok, qt.Equals, unwritten)
				c.Check(next.State, qt.Equals, state)
				c.Check(next.Started, qt.Equals, started)
				c.Check(next.PreviousRelease, qt.Equals, "v1")
			})
		}
	}
}
