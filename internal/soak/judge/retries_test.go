package judge

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetries checks the retries of windows: which arrivals count, and which requests allow them.
func TestRetries(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		// requests are sent at each of the moments sent, 40 together, and retries arrive at each
		// of the moments retried, 30 together. 20 + 0.5 * 40 = 40 are allowed.
		sent, retried []time.Duration
		want          bool
	}{
		{"within the bound", []time.Duration{0}, []time.Duration{s}, false},
		{"together beyond the bound", []time.Duration{0}, []time.Duration{s, 2 * s}, true},
		{"in two windows", []time.Duration{0, 9 * s}, []time.Duration{s, 11 * s}, false},
		{"in a window that slides", []time.Duration{0}, []time.Duration{s, 11*s - time.Millisecond}, true},
		{"by the requests of two windows", []time.Duration{0, 5 * s}, []time.Duration{6 * s, 7 * s}, false},
		{"by requests that no window has together", []time.Duration{0, 12 * s}, []time.Duration{6 * s, 13 * s}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j := newJudge()
			n := 0
			for _, sent := range test.sent {
				for range 40 {
					q := request("q"+strconv.Itoa(n), sent)
					q.Once, q.MaxAttempts, q.Timeout = false, 9, time.Minute
					j.AddRequest(q)
					j.AddRun(runOf(q, sent))
					n++
				}
			}
			for _, retried := range test.retried {
				for i := range 30 {
					j.AddRun(runOf(*j.requests["q"+strconv.Itoa(i)], retried))
				}
			}
			checkOnly(c, j, "retries", test.want)
			c.Check(j.RetryPeak() > 1, qt.Equals, test.want)
		})
	}
}

// TestPauses checks how many requests may reach an endpoint during a pause, and from whom.
func TestPauses(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		// change changes the requests during a pause of 3 s that d1 was asked for at second 10;
		// they arrive 0.6 s after that and later.
		change func(j *Judge, runs []*Run)
		want   bool
	}{
		{"during the pause", func(*Judge, []*Run) {}, true},
		{"one after the pause", func(_ *Judge, runs []*Run) { runs[0].ReceivedAt = at(13 * s) }, false},
		{"one sent before", func(_ *Judge, runs []*Run) { runs[0].ReceivedAt = at(10*s + 400*time.Millisecond) }, false},
		{"one from another daemon", func(_ *Judge, runs []*Run) { runs[0].Daemon = "d2" }, false},
		{"one at another endpoint", func(_ *Judge, runs []*Run) { runs[0].Endpoint = "i2" }, false},
		{"after a restart of the daemon", func(j *Judge, _ []*Run) { j.disrupt("d1", 10*s, 10*s+300*time.Millisecond) }, false},
		{"after a restart of another daemon", func(j *Judge, _ []*Run) { j.disrupt("d2", 10*s, 10*s+300*time.Millisecond) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j := newJudge()
			asking := request("q", 10*s)
			asking.Once, asking.MaxAttempts = false, 9
			run := runOf(asking, 10*s)
			run.NotExecuted, run.Pause = true, "3"
			j.AddRequest(asking)
			j.AddRun(run)
			var runs []*Run
			for i := range maxPaused + 1 {
				q := request("q"+strconv.Itoa(i), 10*s+time.Duration(600+i)*time.Millisecond)
				r := runOf(q, 10*s+time.Duration(600+i)*time.Millisecond)
				j.AddRequest(q)
				runs = append(runs, &r)
			}
			test.change(j, runs)
			for _, r := range runs {
				j.AddRun(*r)
			}
			checkOnly(c, j, "pause", test.want)
		})
	}
}

// checkOnly checks that a check alone fails, if wanted, and none otherwise.
func checkOnly(c *qt.C, j *Judge, check string, want bool) {
	got := j.Violations()
	c.Check(len(got) > 0, qt.Equals, want, qt.Commentf("%v", got))
	for _, v := range got {
		c.Check(strings.HasPrefix(v, check+": "), qt.IsTrue, qt.Commentf(v))
	}
}
