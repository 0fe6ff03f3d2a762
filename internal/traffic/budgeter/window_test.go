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

// TestWindowBursts guards against retries that two bursts of requests allow together, though no
// window that an observer checks holds both.
func TestWindowBursts(t *testing.T) {
	const (
		share, extra, margin = 0.5, 2.0, 0.85
		length               = 10 * time.Second
		step                 = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		// bursts begin at these moments and last a second, with 100 requests each; all retries
		// that are allowed from the moment retryFrom on are taken.
		bursts    []time.Duration
		retryFrom time.Duration
	}{
		{"one burst", []time.Duration{0}, 0},
		{"together in a window", []time.Duration{0, 2 * time.Second}, 2 * time.Second},
		{"half a window apart", []time.Duration{0, 6 * time.Second}, 6 * time.Second},
		{"nearly a window apart", []time.Duration{0, 8 * time.Second}, 8 * time.Second},
		{"three", []time.Duration{0, 4 * time.Second, 8 * time.Second}, 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Hour
			w := &budgeter.RetryWindow{
				Share: margin * share, Extra: func() float64 { return margin * extra }, Length: length, Clock: func() time.Duration { return now },
			}
			var requests, retries []time.Duration
			for at := time.Duration(0); at < 30*time.Second; at += step {
				now = time.Hour + at
				for _, burst := range test.bursts {
					for range 10 {
						if at >= burst && at < burst+time.Second {
							w.CountRequest()
							requests = append(requests, at)
						}
					}
				}
				for at >= test.retryFrom && w.TryWithdraw(0) {
					retries = append(retries, at)
				}
			}
			c.Check(len(retries) > 0, qt.IsTrue)
			for from := -length; from < 30*time.Second; from += step {
				most := 0
				for _, back := range []time.Duration{0, length / 2, length} {
					most = max(most, countBetween(requests, from-back, from-back+length))
				}
				got := countBetween(retries, from, from+length)
				c.Check(float64(got) <= share*float64(most)+extra, qt.IsTrue, qt.Commentf("from %v: %d retries, %d requests", from, got, most))
			}
		})
	}
}

// countBetween returns the number of times in a span, without its end.
func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// TestWindowCounts checks what is reported of a window.
func TestWindowCounts(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	w := &budgeter.RetryWindow{
		Share: 0.5, Extra: func() float64 { return 2 }, Length: 10 * time.Second, Clock: func() time.Duration { return now },
	}
	for range 10 {
		w.CountRequest()
	}
	c.Check(w.TryWithdraw(0), qt.IsTrue)
	for _, want := range []struct {
		made    int
		allowed float64
	}{{1, 7}, {0, 2}} {
		made, allowed := w.Counts()
		c.Check(made, qt.Equals, want.made)
		c.Check(allowed, qt.Equals, want.allowed)
		now += 10 * time.Second
	}
}
