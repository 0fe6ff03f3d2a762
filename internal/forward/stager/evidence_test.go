package stager_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/stager"
)

// recordAnswers counts n answers of the new release at each daemon, of which the share
// bad fails.
func (cl *cluster) recordAnswers(n int, bad float64) {
	for _, s := range cl.stagers {
		for i := range n {
			s.RecordAnswer(cl.canary, "r", float64(i) < bad*float64(n), 50*time.Millisecond)
		}
	}
}

// restart replaces the given daemons, which lose what they counted.
func (cl *cluster) restart(daemons ...int) {
	for _, i := range daemons {
		cl.stagers[i] = cl.newStager()
		cl.stagers[i].Hosts(cl.view, "llm", "", "x")
	}
}

// settle exchanges tallies until each daemon has tested what it knows.
func (cl *cluster) settle() {
	for range 3 {
		cl.now += 300 * time.Millisecond
		cl.exchangeTallies()
	}
}

// foundFaulty returns the number of daemons that would roll the release back.
func (cl *cluster) foundFaulty() int {
	n := 0
	for _, s := range cl.stagers {
		next, _ := s.NextState(cl.view.Rollouts["llm"], func(string) bool { return false })
		if next.State == samphireturn.RolloutRolledBack {
			n++
		}
	}
	return n
}

// TestEvidenceOfLostDaemons has daemons restart or miss from the exchange, in every
// order, before a release turns faulty. Their lost counts do not delay the verdict
// (pattern: most daemons killed during a slow release, whose later answers were passed
// over until the sum had grown past its old value).
func TestEvidenceOfLostDaemons(t *testing.T) {
	lost := []int{2, 3, 4, 5, 6, 7}
	restart := func(cl *cluster) { cl.restart(lost...) }
	missing := func(cl *cluster) {
		all := cl.stagers
		cl.stagers = all[:2]
		cl.exchangeTallies()
		cl.stagers = all
	}
	exchange := func(cl *cluster) { cl.exchangeTallies() }
	tests := []struct {
		name  string
		steps []func(cl *cluster)
	}{
		{"restart", []func(*cluster){restart}},
		{"restart, then exchange", []func(*cluster){restart, exchange}},
		{"missing", []func(*cluster){missing}},
		{"missing, then back", []func(*cluster){missing, exchange}},
		{"restart, then missing", []func(*cluster){restart, exchange, missing}},
		{"missing, then restart", []func(*cluster){missing, restart}},
		{"missing and back, then restart", []func(*cluster){missing, exchange, restart, exchange}},
		{"restart twice", []func(*cluster){restart, exchange, restart}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(8)
			cl.startRollout()
			for _, s := range cl.stagers {
				s.Hosts(cl.view, "llm", "", "x")
			}
			cl.recordAnswers(60, 0)
			cl.settle()
			for _, step := range test.steps {
				step(cl)
			}
			c.Assert(cl.foundFaulty(), qt.Equals, 0)
			cl.recordAnswers(6, 0.5)
			cl.settle()
			c.Check(cl.foundFaulty(), qt.Equals, 8)
		})
	}
}

// TestEvidenceCountsOnce lets daemons miss from the exchange and come back many times
// while a good release fails a few of its answers. No answer counts twice, so that the
// release stays.
func TestEvidenceCountsOnce(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(8)
	cl.startRollout()
	for _, s := range cl.stagers {
		s.Hosts(cl.view, "llm", "", "x")
		for i := range 100 {
			s.RecordAnswer(cl.old, "r", i%20 == 0, 50*time.Millisecond)
		}
	}
	cl.recordAnswers(10, 0.1)
	for round := range 40 {
		cl.now += 300 * time.Millisecond
		cl.exchangeTallies()
		all := cl.stagers
		cl.stagers = append(append([]*stager.Stager(nil), all[:round%8]...), all[round%8+1:]...)
		cl.exchangeTallies()
		cl.stagers = all
	}
	c.Check(cl.foundFaulty(), qt.Equals, 0)
}

// TestCrashDuringRollout has an endpoint of a good release crash while the answers of a
// large fleet arrive in one message a daemon: the requests that were in flight there fail
// at the same moment, and the release stays (pattern: a good release rolled back at 85 %
// since ten failures reached a daemon before the answers beside them).
func TestCrashDuringRollout(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(30)
	cl.startRollout()
	for _, s := range cl.stagers {
		s.Hosts(cl.view, "llm", "", "x")
		for range 20 {
			s.RecordAnswer(cl.old, "r", false, 50*time.Millisecond)
		}
	}
	for tick := range 20 {
		cl.now += 300 * time.Millisecond
		cl.recordAnswers(2, 0)
		for i, s := range cl.stagers {
			if tick == 10 && i < 8 {
				s.RecordAnswer(cl.canary, "r", true, 0)
			}
		}
		cl.exchangeTallies()
	}
	c.Check(cl.foundFaulty(), qt.Equals, 0)
}
