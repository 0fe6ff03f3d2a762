package budgeter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/traffic/budgeter"
)

// TestWindow spends repeats of some requests and checks how many there are.
func TestWindow(t *testing.T) {
	const length = 10 * time.Second
	tests := []struct {
		name string
		// requests come evenly in the first second; repeats are asked for at a time.
		requests int
		at       time.Duration
		kept     float64
		want     int
	}{
		{"none came", 0, 0, 0, 2},
		{"many fail at once", 100, time.Second, 0, 52},
		{"some kept for others", 100, time.Second, 0.25, 39},
		{"at the end of the window", 100, 9 * time.Second, 0, 52},
		{"after the window", 100, 12 * time.Second, 0, 2},
		{"long after", 100, time.Hour, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Hour
			w := &budgeter.Window{
				Share: 0.5, Extra: func() float64 { return 2 }, Length: length, Clock: func() time.Duration { return now },
			}
			for range test.requests {
				now += time.Second / time.Duration(test.requests)
				w.CountRequest()
			}
			now = time.Hour + test.at
			got := 0
			for w.TryWithdraw(test.kept) {
				got++
			}
			c.Check(got, qt.Equals, test.want)
			now += 2 * length
			c.Check(w.TryWithdraw(0), qt.IsTrue)
		})
	}
}

// TestWindowBound spends all repeats that there are of a load that rises and falls,
// and checks every window against the bound. Windows can't be told from each other,
// so that a margin has to be kept, as daemons do.
func TestWindowBound(t *testing.T) {
	c := qt.New(t)
	const (
		share, extra = 0.5, 2.0
		margin       = 0.85
	)
	now := time.Duration(0)
	w := &budgeter.Window{
		Share: margin * share, Extra: func() float64 { return margin * extra }, Length: 10 * time.Second, Clock: func() time.Duration { return now },
	}
	var requests, repeats []time.Duration
	for second := range 600 {
		now = time.Duration(second) * time.Second
		for range second % 17 {
			w.CountRequest()
			requests = append(requests, now)
		}
		for second%3 == 0 && w.TryWithdraw(0) {
			repeats = append(repeats, now)
		}
	}
	within := func(times []time.Duration, from, to time.Duration) int {
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
		// The bound goes by the requests of this window, of the one before it or of the
		// one half a window before, whichever has most.
		came := 0
		for _, back := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
			came = max(came, within(requests, to-back-10*time.Second, to-back))
		}
		most := share*float64(came) + extra
		c.Check(float64(within(repeats, to-10*time.Second, to)) <= most, qt.IsTrue, qt.Commentf("at %v: %d repeats, %d requests", to, within(repeats, to-10*time.Second, to), came))
	}
}
