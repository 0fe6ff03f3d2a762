package router_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

var kinds = []string{"chat", "stream", "repeat", "once"}

// outcomeText returns the result of a call as text.
func outcomeText(got string, err error) string {
	var f *sr.Refusal
	if !errors.As(err, &f) {
		return got
	}
	var e *dispatcher.Error
	if errors.As(err, &e) && e.Answer != nil {
		return "passed"
	}
	return f.Executed
}

// TestFaultDispatch sends each kind of call to an endpoint A that fails at one step,
// with an endpoint B beside it that works unless the test names a second fault.
func TestFaultDispatch(t *testing.T) {
	const leave = 2 * time.Second
	tests := []struct {
		fault, second string
		// want is the outcome for chat, stream, repeat and once; empty for cases not run.
		want [4]string
		// limit bounds the duration of a call.
		limit time.Duration
	}{
		{"connect/refused", "", [4]string{"B", "B", "B", "B"}, time.Second},
		{"connect/silent", "", [4]string{"B", "B", "B", "B"}, 3 * time.Second},
		{"header/reset", "", [4]string{"B", "B", "B", "unknown"}, time.Second},
		{"header/silent", "", [4]string{"B", "B", "B", "unknown"}, 15 * time.Second},
		{"body/reset", "", [4]string{"B", "B", "B", "unknown"}, time.Second},
		{"wait/reset", "", [4]string{"B", "B", "B", "unknown"}, time.Second},
		{"wait/silent", "", [4]string{"B", "B", "B", "unknown"}, 15 * time.Second},
		{"wait/restarted", "", [4]string{"", "", "B", "unknown"}, 15 * time.Second},
		{"wait/killed", "", [4]string{"B", "B", "B", "unknown"}, 15 * time.Second},
		{"wait/late", "", [4]string{"A", "A", "B", "A"}, 30 * time.Second},
		{"wait/leave", "", [4]string{"unknown", "unknown", "unknown", "unknown"}, leave},
		{"wait/deadline", "", [4]string{"B", "B", "B", "unknown"}, 15 * time.Second},
		{"first/overload", "", [4]string{"B", "B", "B", "B"}, time.Second},
		{"first/noid", "", [4]string{"B", "B", "B", "unknown"}, time.Second},
		{"first/mismatched", "", [4]string{"B", "B", "B", "unknown"}, time.Second},
		{"first/error", "", [4]string{"B", "B", "A500", "A500"}, time.Second},
		{"first/rejected", "", [4]string{"A400", "passed", "A400", "A400"}, time.Second},
		{"middle/reset", "", [4]string{"B", "A", "B", "unknown"}, time.Second},
		{"middle/reset+gone", "", [4]string{"B", "broken", "B", "unknown"}, time.Second},
		{"middle/silent", "", [4]string{"B", "A", "B", "unknown"}, 15 * time.Second},
		{"middle/mismatched", "", [4]string{"B", "B", "", ""}, time.Second},
		{"end/reset", "", [4]string{"A", "broken", "A", "A"}, time.Second},
		// Pairs: the second endpoint fails too.
		{"connect/refused", "connect/refused", [4]string{"no", "no", "no", "no"}, time.Second},
		{"connect/refused", "first/overload", [4]string{"no", "no", "no", "no"}, time.Second},
		{"first/overload", "first/overload", [4]string{"no", "no", "no", "no"}, time.Second},
		{"first/overload", "wait/reset", [4]string{"unknown", "unknown", "unknown", "unknown"}, time.Second},
		{"wait/reset", "first/overload", [4]string{"unknown", "unknown", "unknown", "unknown"}, time.Second},
		{"wait/reset", "connect/refused", [4]string{"unknown", "unknown", "unknown", "unknown"}, time.Second},
		{"wait/silent", "wait/silent", [4]string{"unknown", "unknown", "unknown", "unknown"}, 25 * time.Second},
		{"first/mismatched", "first/mismatched", [4]string{"unknown", "unknown", "unknown", "unknown"}, time.Second},
	}
	for _, tt := range tests {
		for i, kind := range kinds {
			if tt.want[i] == "" {
				continue
			}
			t.Run(tt.fault+" "+tt.second+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					b := newTestRouter(t, tt.fault, tt.second)
					b.Retries.Deposit(10)
					b.network.Partition(func(_, to string) bool {
						return to == "A:80" && tt.fault == "connect/refused" || to == "B:80" && tt.second == "connect/refused"
					})
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					if tt.fault == "wait/leave" {
						time.AfterFunc(leave, cancel)
					}
					if tt.fault == "wait/killed" {
						time.AfterFunc(time.Second, func() {
							b.network.BlackholeOpen(func(_, to string) bool { return to == "A:80" })
							_ = b.fakes[0].ln.Close()
						})
					}
					start := time.Now()
					got, err := b.call(ctx, kind, "r1")
					took := time.Since(start)
					c.Check(outcomeText(got, err), qt.Equals, tt.want[i], qt.Commentf("%v", err))
					c.Check(took <= tt.limit, qt.IsTrue, qt.Commentf("took %v", took))
					synctest.Wait()
					b.checkRuns(c, kind, outcomeText(got, err))
					cancelled := b.fakes[0].fault == "wait/leave" && (kind == "chat" || kind == "stream")
					c.Check(b.fakes[0].cancels > 0 || !cancelled, qt.IsTrue)
					for _, e := range b.Control.Snapshot().Endpoints {
						c.Check(e.Quota.Outstanding.Load(), qt.Equals, int64(0))
					}
				})
			})
		}
	}
}

// checkRuns compares the outcome with the runs at the endpoints.
func (b *testRouter) checkRuns(c *qt.C, kind, outcome string) {
	runs, touched := 0, false
	for _, f := range b.fakes {
		runs += f.runs["r1"]
		touched = touched || f.touched && f.fault != "first/overload"
	}
	if kind == "once" {
		c.Check(runs <= 1, qt.IsTrue, qt.Commentf("%d runs", runs))
	}
	if outcome == sr.ExecutedNo {
		c.Check(runs, qt.Equals, 0)
		c.Check(touched, qt.IsFalse)
	}
}

// TestFaultKept blackholes or closes a pooled connection before the next call. A
// call that must not be retried must not be sent on it.
func TestFaultKept(t *testing.T) {
	tests := []struct {
		kind  string
		fault func(b *testRouter, match func(from, to string) bool)
		limit time.Duration
	}{
		{"chat", func(b *testRouter, m func(from, to string) bool) { b.network.BlackholeOpen(m) }, 15 * time.Second},
		{"stream", func(b *testRouter, m func(from, to string) bool) { b.network.BlackholeOpen(m) }, 15 * time.Second},
		{"repeat", func(b *testRouter, m func(from, to string) bool) { b.network.BlackholeOpen(m) }, 15 * time.Second},
		{"once", func(b *testRouter, m func(from, to string) bool) { b.network.BlackholeOpen(m) }, 0},
		{"once", func(b *testRouter, m func(from, to string) bool) { b.network.CloseOpen(m) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := newTestRouter(t, "", "")
				b.Retries.Deposit(10)
				for _, first := range []string{"repeat", "once"} {
					_, err := b.call(context.Background(), first, "r0"+first)
					c.Assert(err, qt.IsNil)
				}
				tt.fault(b, func(_, to string) bool { return to == "A:80" })
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				start := time.Now()
				got, err := b.call(ctx, tt.kind, "r1")
				c.Check(err, qt.IsNil)
				c.Check(got == "A" || got == "B", qt.IsTrue, qt.Commentf("%s", got))
				c.Check(time.Since(start) <= tt.limit, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
				b.checkRuns(c, tt.kind, got)
			})
		})
	}
}

// TestFaultCrossedConn guards against reading more from a connection that carried
// the answer of another request.
func TestFaultCrossedConn(t *testing.T) {
	for _, fault := range []string{"first/mismatched", "middle/mismatched"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			b := newTestRouter(t, fault)
			for i := range 3 {
				_, err := b.call(context.Background(), "chat", "r1")
				c.Check(err, qt.IsNotNil)
				synctest.Wait()
				c.Check(b.fakes[0].cancels, qt.Equals, i+1)
				c.Check(b.fakes[0].conns-b.fakes[0].cancels, qt.Equals, i+1)
			}
		})
	}
}

// TestFaultLapse guards against sending on an expired grant: the grant of A expires
// while the connection is being made, and the call must go to B.
func TestFaultLapse(t *testing.T) {
	for _, kind := range kinds {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			b := newTestRouter(t, "", "")
			b.Retries.Deposit(10)
			dial := b.network.Dial("daemon")
			b.Dispatcher = dispatcher.New(func(ctx context.Context, network, addr string) (net.Conn, error) {
				time.Sleep(time.Second)
				return dial(ctx, network, addr)
			})
			b.Control.Snapshot().Endpoints["A"].Quota.Expires.Store(b.Limiter.Clock() + int64(time.Second/2))
			got, err := b.call(context.Background(), kind, "r1")
			c.Check(err, qt.IsNil)
			c.Check(got, qt.Equals, "B")
			c.Check(b.fakes[0].touched, qt.IsFalse)
			c.Check(b.Dispatcher.Close(), qt.IsNil)
		})
	}
}

// TestFaultStorm guards against retries that multiply the load of a failing pool: all
// its endpoints fail, and retries may send at most the configured share of the
// requests, plus the most that the retry budget can save up.
func TestFaultStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			requests   = 500
			share      = 0.1
			maxBalance = 10 // retries that the budget can save up
		)
		c := qt.New(t)
		b := newTestRouter(t, "wait/reset", "wait/reset", "wait/reset")
		b.Control.Snapshot().Config.Retry.Share = share
		for range requests {
			_, err := b.call(context.Background(), "chat", "r1")
			c.Check(err, qt.IsNotNil)
		}
		runs := 0
		for _, f := range b.fakes {
			runs += f.runs["r1"]
		}
		c.Check(runs >= requests, qt.IsTrue)
		c.Check(runs <= requests+requests*share+maxBalance, qt.IsTrue, qt.Commentf("%d sends for %d requests", runs, requests))
	})
}
