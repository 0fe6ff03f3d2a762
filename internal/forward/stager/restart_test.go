package stager_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lost is how much longer a state may take if all daemons restart late and few requests come.
const lost = 8 * time.Second

// restartAll returns what restarts all daemons at each of the given elapsed shares.
func restartAll(at ...float64) func() func(cl *cluster, elapsed float64) {
	return func() func(cl *cluster, elapsed float64) {
		next := 0
		return func(cl *cluster, elapsed float64) {
			if next == len(at) || elapsed < at[next] {
				return
			}
			next++
			for i := range cl.stagers {
				cl.restart(i)
			}
		}
	}
}

// restartMost returns what restarts most daemons at an elapsed share and the others after these
// have told what they know of the release's answers.
func restartMost(at float64) func() func(cl *cluster, elapsed float64) {
	return func() func(cl *cluster, elapsed float64) {
		first, others := 0, 5
		return func(cl *cluster, elapsed float64) {
			for ; first < 5 && elapsed >= at; first++ {
				cl.restart(first)
			}
			for ; others < len(cl.stagers) && elapsed >= at+0.03; others++ {
				cl.restart(others)
			}
		}
	}
}

// restartInTurn returns what restarts one daemon after the other between two elapsed shares.
func restartInTurn(from, to float64) func() func(cl *cluster, elapsed float64) {
	return func() func(cl *cluster, elapsed float64) {
		next := 0
		return func(cl *cluster, elapsed float64) {
			if next < len(cl.stagers) && elapsed >= from+(to-from)*float64(next)/float64(len(cl.stagers)) {
				cl.restart(next)
				next++
			}
		}
	}
}

// restartOne returns what restarts a daemon at an elapsed share and keeps it cut off from the
// others from then on.
func restartOne(at float64) func() func(cl *cluster, elapsed float64) {
	return func() func(cl *cluster, elapsed float64) {
		return func(cl *cluster, elapsed float64) {
			if elapsed >= at && cl.cut == 0 {
				cl.restart(0)
				cl.cut = 1
			}
		}
	}
}

// cutOne returns what cuts a daemon off from all others from an elapsed share on.
func cutOne(at float64) func() func(cl *cluster, elapsed float64) {
	return func() func(cl *cluster, elapsed float64) {
		return func(cl *cluster, elapsed float64) {
			if elapsed >= at {
				cl.cut = 1
			}
		}
	}
}

// outageUntil returns what keeps states from being written in a span of elapsed shares, at
// whose end all daemons restart.
func outageUntil(from, to float64) func() func(cl *cluster, elapsed float64) {
	return func() func(cl *cluster, elapsed float64) {
		restart := restartAll(to)()
		return func(cl *cluster, elapsed float64) {
			restart(cl, elapsed)
			cl.outage = elapsed >= from && elapsed < to
		}
	}
}

// playAll plays roll-outs of a kind of release with a number of seeds.
func playAll(t *testing.T, tests []migration, kind string, seeds uint64) {
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.kind, test.latency = kind, 60*time.Millisecond
			for seed := range seeds {
				test.check(qt.New(t), seed)
			}
		})
	}
}

// TestDoneWithoutEvidence guards against a release that is written done by daemons that know no
// answer of it, since they have just started or are cut off from those that do.
func TestDoneWithoutEvidence(t *testing.T) {
	tests := []migration{
		{name: "all restart late in an outage", rate: 16, duration: 12 * time.Second, disturb: outageUntil(0.1, 0.8)},
		{name: "all restart late", rate: 16, duration: 12 * time.Second, disturb: restartAll(0.76)},
		{name: "all restart at the end", rate: 16, duration: 12 * time.Second, disturb: restartAll(0.94)},
		{name: "all restart twice", rate: 16, duration: 12 * time.Second, disturb: restartAll(0.7, 0.85)},
		{name: "all restart, long", rate: 16, duration: 90 * time.Second, disturb: restartAll(0.15, 0.45, 0.8)},
		{name: "one restarts and is cut off", rate: 16, duration: 12 * time.Second, disturb: restartOne(0.76)},
		{name: "one cut off from the beginning", rate: 16, duration: 16 * time.Second, disturb: cutOne(0)},
		{name: "one cut off late", rate: 16, duration: 16 * time.Second, disturb: cutOne(0.6)},
		{name: "few requests, all restart late", rate: 4, duration: 16 * time.Second, disturb: restartAll(0.78), late: lost},
	}
	playAll(t, tests, failing, 6)
}

// TestDoneBesideRestarts guards against a good release that is not done in time since daemons
// restart or are cut off during its roll-out.
func TestDoneBesideRestarts(t *testing.T) {
	tests := []migration{
		{name: "all restart in the first half", rate: 16, duration: 16 * time.Second, disturb: restartAll(0.3)},
		{name: "all restart late, long", rate: 16, duration: time.Minute, disturb: restartAll(0.7)},
		{name: "one restarts and is cut off", rate: 16, duration: 16 * time.Second, disturb: restartOne(0.76)},
		{name: "one cut off from the beginning", rate: 16, duration: 16 * time.Second, disturb: cutOne(0)},
		{name: "most restart, then the others, some answers fail", rate: 24, duration: 16 * time.Second, disturb: restartMost(0.6), noise: 0.12, late: lost},
		{name: "restart in turn, some answers fail", rate: 24, duration: 16 * time.Second, disturb: restartInTurn(0.1, 0.95), noise: 0.12, late: lost},
		{name: "all restart, some answers fail", rate: 24, duration: 16 * time.Second, disturb: restartAll(0.6), noise: 0.12, late: lost},
		{name: "most restart, then the others", rate: 24, duration: 16 * time.Second, disturb: restartMost(0.6)},
		{name: "most restart at the middle, then the others", rate: 24, duration: 16 * time.Second, disturb: restartMost(0.5)},
		{name: "most restart, then the others, many requests", rate: 100, duration: 16 * time.Second, disturb: restartMost(0.6)},
		{name: "all restart once it is proven", rate: 50, duration: 16 * time.Second, disturb: restartAll(0.75)},
		{name: "all restart at the end", rate: 50, duration: 16 * time.Second, disturb: restartAll(0.9)},
		{name: "restart in turn, many requests", rate: 100, duration: 16 * time.Second, disturb: restartInTurn(0.1, 0.95)},
		{name: "restart in turn", rate: 16, duration: 16 * time.Second, disturb: restartInTurn(0.1, 0.95)},
		{name: "few requests, restart in turn", rate: 1, duration: 16 * time.Second, disturb: restartInTurn(0.1, 0.95)},
		{name: "few requests, one restarts", rate: 1, duration: 16 * time.Second, disturb: restartOne(0.76)},
		{name: "few requests, all restart", rate: 1, duration: 16 * time.Second, disturb: restartAll(0.6)},
		{name: "few requests, all restart late", rate: 1, duration: 16 * time.Second, disturb: restartAll(0.8), late: lost},
		{name: "all restart late", rate: 16, duration: 16 * time.Second, disturb: restartAll(0.8), late: lost},
	}
	playAll(t, tests, good, 6)
}

// TestDoneAgainstEvidence guards against a release that is written done although its latest answers
// fail: it was proven by chance by its first ones, or turned bad after them.
func TestDoneAgainstEvidence(t *testing.T) {
	tests := []migration{
		{name: "undisturbed", rate: 16, duration: 16 * time.Second, share: 0.3},
		{name: "restart in turn", rate: 16, duration: 16 * time.Second, disturb: restartInTurn(0.1, 0.95)},
		{name: "restart in turn, fewer failures", rate: 16, duration: 16 * time.Second, share: 0.3, disturb: restartInTurn(0.1, 0.95)},
		{name: "many requests", rate: 100, duration: 16 * time.Second, share: 0.3},
	}
	playAll(t, tests, failing, 20)
}

// TestSlowAfterRestart is TestDoneWithoutEvidence with a slow release: daemons that have just
// started do not know which answers are slow.
func TestSlowAfterRestart(t *testing.T) {
	tests := []migration{
		{name: "all restart late", rate: 16, duration: 12 * time.Second, disturb: restartAll(0.76)},
		{name: "all restart, many requests", rate: 60, duration: 16 * time.Second, disturb: restartAll(0.6)},
	}
	playAll(t, tests, slow, 6)
}

// TestMostAnswersSlow guards against a good release that is found faulty since its answers are
// slow less often than nearly all those of the others.
func TestMostAnswersSlow(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(20)
	cl.startRollout()
	for j, s := range cl.stagers {
		s.Hosts(cl.view, "llm", "", "x")
		for i := range 25 {
			elapsed := 5 * time.Second
			if i < 10 || i == 24 && j%3 == 0 {
				elapsed = 30 * time.Millisecond
			}
			s.RecordAnswer(cl.old, "r", false, elapsed)
		}
	}
	cl.settle()
	for i := range 30 {
		cl.stagers[0].RecordAnswer(cl.canary, "r", false, time.Duration(i%2)*5*time.Second)
	}
	cl.settle()
	c.Check(cl.foundFaulty(), qt.Equals, 0)
}
