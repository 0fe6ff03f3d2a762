package planner

import (
	"crypto/sha256"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlan checks that a seed decides the schedule, that steps are in order, have valid
// targets and overlap, and that all kinds are drawn.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	size := Size{Daemons: 3, Endpoints: 5, Duration: 20 * time.Second}
	drawn := make(map[string]bool)
	overlaps := 0
	for seed := range uint64(100) {
		steps := Plan(seed, size)
		c.Assert(Plan(seed, size), qt.DeepEquals, steps)
		for i, s := range steps {
			drawn[s.Kind] = true
			limit := size.Daemons
			if isEndpoint(s.Kind) {
				limit = size.Endpoints
			}
			c.Check(s.Target >= 0 && s.Target < limit && s.At < size.Duration, qt.IsTrue, qt.Commentf("%v", s))
			if i == 0 {
				continue
			}
			before := steps[i-1]
			c.Check(s.At >= before.At, qt.IsTrue)
			if s.At < before.At+before.Length {
				overlaps++
			}
		}
	}
	c.Check(len(drawn), qt.Equals, len(choices)+1+len(extraChoices))
	c.Check(overlaps > 100, qt.IsTrue)
	for _, kind := range []string{DaemonKill, RequestsCrash} {
		size.Kinds = []string{kind}
		steps := Plan(1, size)
		c.Check(len(steps) > 0, qt.IsTrue)
		for _, s := range steps {
			c.Check(s.Kind, qt.Equals, kind)
		}
	}
}

// TestKeptSeeds guards against changes that give the seeds of testdata/soak.txt other schedules,
// so that they no longer repeat the runs that failed. The hashes are of the schedules that the
// code of 7fc650c prints (standin soak --plan).
func TestKeptSeeds(t *testing.T) {
	tests := []struct {
		seed uint64
		hash string
	}{
		{2001, "54fb9ee19e9fcef0217c3abfd7276a486ed978ee16638e4d8f5eb43c706b5be7"},
		{2026, "36586e17e47047b4ec9c789023d06a2d3e55ad027a4639b5ff62ac37fe53ec15"},
	}
	for _, test := range tests {
		c := qt.New(t)
		h := sha256.New()
		for _, s := range Plan(test.seed, Size{Daemons: 4, Endpoints: 8, Duration: 20 * time.Second}) {
			_, _ = io.WriteString(h, s.String()+"\n")
		}
		c.Check(fmt.Sprintf("%x", h.Sum(nil)), qt.Equals, test.hash, qt.Commentf("seed %d", test.seed))
	}
}

// TestReplacements guards against runs of two builds without a replacement upwards and back, or
// without a fault of links after each, and against replacements that change the other steps.
func TestReplacements(t *testing.T) {
	c := qt.New(t)
	size := Size{Daemons: 4, Endpoints: 8, Duration: 12 * time.Second}
	for seed := range uint64(50) {
		size.Replace = false
		without := Plan(seed, size)
		size.Replace = true
		steps := Plan(seed, size)
		var kinds []string
		links := 0
		for _, s := range steps {
			switch {
			case s.Kind == DaemonsUpgrade || s.Kind == DaemonsDowngrade:
				kinds = append(kinds, s.Kind)
			case len(kinds) > 0 && isLink(s.Kind):
				links++
			}
			c.Check(s.At < size.Duration, qt.IsTrue, qt.Commentf("%v", s))
		}
		c.Check(kinds, qt.DeepEquals, []string{DaemonsUpgrade, DaemonsDowngrade})
		c.Check(links >= len(kinds)*linkFaults, qt.IsTrue, qt.Commentf("seed %d: %d faults of links", seed, links))
		rest := slices.DeleteFunc(steps, func(s Step) bool { return !slices.Contains(without, s) })
		c.Check(rest, qt.DeepEquals, without, qt.Commentf("seed %d", seed))
	}
	size.Kinds = []string{DaemonsDowngrade, Burst}
	for _, s := range Plan(1, size) {
		c.Check(slices.Contains(size.Kinds, s.Kind), qt.IsTrue, qt.Commentf("%v", s))
	}
}
