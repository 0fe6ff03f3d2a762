package forwarder

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/traffic/budgeter"
)

// fixedControl is a control state with a number of members.
type fixedControl struct {
	samphireturn.Control
	members int
}

// Snapshot implements samphireturn.Control.
func (c fixedControl) Snapshot() *samphireturn.Snapshot {
	return &samphireturn.Snapshot{Members: make([]samphireturn.VM, c.members)}
}

// TestRetriesAfterRestarts guards against processes that each use the whole of a daemon's part of
// the retries, as they know nothing of those before them. Nothing but retries is sent, and all daemons
// restart together, time and again.
func TestRetriesAfterRestarts(t *testing.T) {
	const (
		extra  = 60.0
		used   = 0.85 * extra
		length = 10 * time.Second
		step   = 100 * time.Millisecond
		// restarts begin at this time, before which nothing is used.
		begin, end = 20 * time.Second, 40 * time.Second
	)
	tests := []struct {
		daemons int
		// life is how long each process lives.
		life time.Duration
		// least is the number of retries that must be allowed.
		least int
	}{
		{8, time.Hour, 32},
		{80, time.Hour, 0},
		{8, 10 * time.Second, 8},
		{8, 3 * time.Second, 0},
		{8, 500 * time.Millisecond, 0},
		{4, 3 * time.Second, 0},
		{2, 3 * time.Second, 2},
		{1, 2 * time.Second, 2},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d daemons, every %v", test.daemons, test.life), func(t *testing.T) {
			c := qt.New(t)
			var retries []time.Duration
			for range test.daemons {
				var (
					w     *budgeter.RetryWindow
					now   time.Duration
					begun time.Duration
				)
				clock := func() time.Duration { return now }
				for ; now < end; now += step {
					if w == nil || now >= begin && now-begun >= test.life {
						begun = now
						f := &Forwarder{Control: fixedControl{members: test.daemons}, Clock: clock, RetryExtra: used, RetryWindow: length, startedAt: now}
						w = &budgeter.RetryWindow{Extra: f.retryExtra, Length: length, Clock: clock}
					}
					for now >= begin-step && w.TryWithdraw(0) {
						retries = append(retries, now)
					}
				}
			}
			most := 0
			for from := time.Duration(0); from < end; from += step {
				n := 0
				for _, at := range retries {
					if at >= from && at < from+length {
						n++
					}
				}
				most = max(most, n)
			}
			c.Check(float64(most) <= extra && most >= test.least, qt.IsTrue, qt.Commentf("%d retries in a window", most))
		})
	}
}
