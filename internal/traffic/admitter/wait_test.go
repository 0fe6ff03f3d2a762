package admitter_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/traffic/admitter"
)

// TestFaultConcurrentWait checks the wait returned at a concurrency limit against the
// expected ends of the requests in flight. One request of 10 s has ended before, so
// the mean duration is 10 s.
func TestFaultConcurrentWait(t *testing.T) {
	tests := []struct {
		name    string
		ages    []time.Duration // of the requests in flight
		limit   int
		wantSec float64
	}{
		{"just started", []time.Duration{0}, 1, 10},
		{"the first to end", []time.Duration{7 * time.Second, 2 * time.Second}, 2, 3},
		{"longer than the mean", []time.Duration{30 * time.Second, time.Second}, 2, 5},
		{"limit lowered", []time.Duration{7 * time.Second, 2 * time.Second}, 1, 8},
		{"about to end", []time.Duration{9990 * time.Millisecond}, 1, 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1e9, 0)
			a := &admitter.Admitter{Now: func() time.Time { return now }}
			admit := func(limit int) (*admitter.Admission, error) { return a.Admit(&sr.Team{MaxConcurrent: limit}, 0, 0) }
			first, err := admit(9)
			c.Assert(err, qt.IsNil)
			now = now.Add(10 * time.Second)
			first.Close(0)
			end := now.Add(time.Minute)
			for _, age := range tt.ages {
				now = end.Add(-age)
				_, err := admit(9)
				c.Assert(err, qt.IsNil)
			}
			now = end
			_, err = admit(tt.limit)
			var e *admitter.Error
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Check(e.RetryAfter.Seconds(), qt.Equals, tt.wantSec)
		})
	}
}
