package budgeter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/traffic/budgeter"
)

// TestWindow guards against a window that allows more or fewer retries than its bound,
// at once, at its end and after it.
func TestWindow(t *testing.T) {
	const length = 10 * time.Second
	tests := []struct {
		name string
		// requests are counted evenly over the first second; retries are taken at the time at.
		requests int
		at       time.Duration
		reserved float64
		want     int
	}{
		{"no requests", 0, 0, 0, 2},
		{"many fail at once", 100, time.Second, 0, 52},
		{"some reserved for others", 100, time.Second, 0.25, 39},
		{"at the end of the window", 100, 9 * time.Second, 0, 52},
		{"after the window", 100, 12 * time.Second, 0, 2},
		{"long after", 100, time.Hour, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Hour
			w := &budgeter.RetryWindow{
				Share: 0.5, Extra: func() float64 { return 2 }, Length: length, Clock: func() time.Duration { return now },
			}
			for range test.requests {
				now += time.Second / time.Duration(test.requests)
				w.CountRequest()
			}
			now = time.Hour + test.at
			got := 0
			for w.TryWithdraw(test.reserved) {
				got++
			}
			c.Check(got, qt.Equals, test.want)
			now += 2 * length
			c.Check(w.TryWithdraw(0), qt.IsTrue)
		})
	}
}

// TestWindowBound takes all retries allowed for a load that rises and falls, and checks
// every window against the bound. An observer may check any window, not only those that
// the counter sees, and a retry may have been allowed by requests that precede the
// checked window. Callers therefore keep a margin: they use only a part of the bound, as
// daemons do with their retry budget.
func TestWindowBound(t *testing.T) {
	c := qt.New(t)
	const (
		share, extra = 0.5, 2.0
		margin       = 0.85
	)
	now := time.Duration(0)
	w := &budgeter.RetryWindow{
		Share: margin * share, Extra: func() float64 { return margin * extra }, Length: 10 * time.Second, Clock: func() time.Duration { return now },
	}
	var requests, retries []time.Duration
	for second := range 600 {
		now = time.Duration(second) * time.Second
		for range second % 17 {
			w.CountRequest()
			requests = append(requests, now)
		}
		for second%3 == 0 && w.TryWithdraw(0) {
			retries = append(retries, now)
		}
	}
	countWithin := func(times []time.Duration, from, to time.Duration) int {
		n := 0
		for _, t := range times {
			if t > from && t <= to {
				n++
			}
		}
		return n
	}
	for end := range 600 {
		to := time.Duration(end) * time.Second
		// The bound follows the requests of this window, of the one before it or of the one
		// half a window before, whichever has most.
		requestsBefore := 0
		for _, back := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
			requestsBefore = max(requestsBefore, countWithin(requests, to-back-10*time.Second, to-back))
		}
		limit := share*float64(requestsBefore) + extra
		c.Check(float64(countWithin(retries, to-10*time.Second, to)) <= limit, qt.IsTrue, qt.Commentf("at %v: %d retries, %d requests", to, countWithin(retries, to-10*time.Second, to), requestsBefore))
	}
}
