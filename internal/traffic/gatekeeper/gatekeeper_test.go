package gatekeeper_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/traffic/gatekeeper"
)

// conn is a connection that records what is done to it.
type conn struct {
	net.Conn
	closed, expired bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed = true
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.expired = at.Before(time.Now())
	return nil
}

// TestAdmit guards against more connections than the bound, and against callers that can't connect
// because others are idle or send nothing.
func TestAdmit(t *testing.T) {
	const capacity = 8
	tests := []struct {
		name     string
		capacity int
		// active, idle and silent are the numbers of connections with a request, after one, and
		// before the first, all for a time, and stalled that of requests without progress.
		active, idle, silent int
		waited               time.Duration
		stalled              int
		admitted             bool
		// expired is the index of the connection that makes room, -1 for none.
		expired int
	}{
		{"room left", capacity, 4, 2, 1, time.Minute, 1, true, -1},
		{"idle ones", capacity, 4, 2, 2, time.Minute, 1, true, 4},
		{"idle for a moment", capacity, 5, 3, 0, time.Millisecond, 0, false, -1},
		{"nothing sent", capacity, 6, 0, 2, time.Minute, 1, true, 6},
		{"nothing sent for a moment", capacity, 6, 0, 2, time.Second / 2, 0, false, -1},
		{"request without progress", capacity, 8, 0, 0, time.Minute, 1, true, -1},
		{"all active", capacity, 8, 0, 0, time.Minute, 0, false, -1},
		{"no bound", 0, 50, 3, 3, time.Minute, 0, true, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var now time.Duration
			g := &gatekeeper.Gatekeeper{Capacity: test.capacity, Clock: func() time.Duration { return now }, DropStalled: func() bool {
				test.stalled--
				return test.stalled >= 0
			}}
			var all []*conn
			for i := range test.active + test.idle + test.silent {
				now++
				one := new(conn)
				all = append(all, one)
				c.Assert(g.Admit(one), qt.IsTrue)
				g.Observe(one, http.StateNew)
				if i < test.active+test.idle {
					g.Observe(one, http.StateActive)
				}
				if i >= test.active && i < test.active+test.idle {
					g.Observe(one, http.StateIdle)
				}
			}
			now += test.waited
			one := new(conn)
			c.Check(g.Admit(one), qt.Equals, test.admitted)
			c.Check(one.closed, qt.Equals, !test.admitted)
			for i, other := range all {
				c.Check(other.expired, qt.Equals, i == test.expired, qt.Commentf("connection %d", i))
				c.Check(other.closed, qt.IsFalse)
			}
		})
	}
}

// TestLeaving checks that connections that are to make room and don't close bound those that are
// admitted in their place, and that closed ones count no more.
func TestLeaving(t *testing.T) {
	const capacity = 8
	c := qt.New(t)
	g := &gatekeeper.Gatekeeper{Capacity: capacity, Clock: func() time.Duration { return 0 }, DropStalled: func() bool { return true }}
	var all []*conn
	for range 4 * capacity {
		one := new(conn)
		if g.Admit(one) {
			all = append(all, one)
		}
	}
	c.Check(len(all), qt.Equals, capacity+2)
	for _, one := range all {
		g.Observe(one, http.StateClosed)
	}
	for range capacity {
		c.Check(g.Admit(new(conn)), qt.IsTrue)
	}
}
