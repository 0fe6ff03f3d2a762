package queuer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHardLoadDebt guards against a daemon that sends nothing for long because it sent more than
// its allowance before: 20 requests, while it heard others or not. Its own requests end at a
// constant rate for 20 s.
func TestHardLoadDebt(t *testing.T) {
	tests := []struct {
		name    string
		daemons int // at first
		ends    int // per second
		spare   float64
		minSent int
	}{
		// All ends but one are replaced, and the share of what is free is used.
		{"slow, nothing free", 79, 2, 0, 37},
		{"slow, some free", 79, 2, 20, 37},
		{"slow, much free", 79, 2, 100, 45},
		{"nothing free", 79, 8, 0, 155},
		{"after a lost link", 1, 2, 0, 39},
		// Half of the ends are replaced, however great the excess is.
		{"slow, excess", 79, 2, -1000, 19},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const step = 25 * time.Millisecond
			var a Allowance
			a.Start(0, .5)
			a.Observe(0, test.spare, test.daemons)
			for range 20 {
				a.Use(0)
			}
			sent, ended := 0, 0
			for now := step; now <= 20*time.Second; now += step {
				for ; ended < int(float64(test.ends)*now.Seconds()); ended++ {
					a.Release(now)
				}
				for a.Allows(now, test.spare, 79) {
					a.Use(now)
					sent++
				}
			}
			qt.Check(t, sent >= test.minSent, qt.IsTrue, qt.Commentf("%d", sent))
			qt.Check(t, float64(sent) <= float64(ended)+max(test.spare, 0)/79*20/shareTime.Seconds()+1, qt.IsTrue, qt.Commentf("%d", sent))
		})
	}
}
