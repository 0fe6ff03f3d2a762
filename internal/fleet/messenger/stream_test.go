package messenger

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestStream opens streams between daemons of two data centres, that prove the fleet key or
// do not, or that are not where they are dialled.
func TestStream(t *testing.T) {
	tests := []struct {
		name, key, to string
		// at is the daemon at the address; empty for the same.
		at string
		// kind is that of the error of the dial; negative for none.
		kind Kind
	}{
		{"same data centre", fleetKey, "b", "", -1},
		{"other data centre", fleetKey, "c", "", -1},
		{"unknown daemon", fleetKey, "z", "", KindConnFailed},
		{"another daemon at the address", fleetKey, "z", "b", KindConnFailed},
		{"another key", "some other key of tests", "b", "", KindProof},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newNetwork()
				all := startAll(t, n, []string{fleetKey}, vm("a", "x"), vm("b", "x"), vm("c", "y"))
				defer stopAll(all)
				dialler := New(vm("d", "x"), test.key, zerolog.Nop())
				dialler.Dial = n.dial
				to := vm(test.to, "x")
				if test.at != "" {
					to.Peer = vm(test.at, "x").Peer
				}
				for _, m := range all {
					go echoStreams(m.Streams())
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				conn, err := dialler.DialStream(ctx, to)
				if test.kind >= 0 {
					c.Assert(err, qt.IsNotNil)
					c.Check(err.(*Error).Kind, qt.Equals, test.kind)
					return
				}
				c.Assert(err, qt.IsNil)
				// The deadline of the dial does not hold for the stream.
				time.Sleep(2 * time.Second)
				for _, text := range []string{"first", "second"} {
					_, err = io.WriteString(conn, text)
					c.Assert(err, qt.IsNil)
					got := make([]byte, len(text))
					_, err = io.ReadFull(conn, got)
					c.Assert(err, qt.IsNil)
					c.Check(string(got), qt.Equals, text)
				}
				c.Check(conn.Close(), qt.IsNil)
			})
		})
	}
}

// echoStreams returns what each stream brings.
func echoStreams(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(conn, conn) }()
	}
}

// TestStreamClose closes a daemon while nobody accepts a stream that was opened: it ends, and
// further ones fail.
func TestStreamClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		all := startAll(t, n, []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stopAll(all)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		conn, err := all[0].DialStream(ctx, vm("b", "x"))
		c.Assert(err, qt.IsNil)
		c.Assert(all[1].Close(), qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Check(err, qt.IsNotNil)
		_, err = all[0].DialStream(ctx, vm("b", "x"))
		c.Check(err, qt.IsNotNil)
	})
}
