package planner

import (
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
	c.Check(len(drawn), qt.Equals, len(choices)+1)
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
