package disruptor

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

const (
	// shortTime is a time in which data on loopback arrives, and longTime one that a
	// stalled machine may take.
	shortTime = 100 * time.Millisecond
	longTime  = 10 * time.Second
)

// TestDisruptor checks what each fault does to an open connection and to a new one.
func TestDisruptor(t *testing.T) {
	all := func(from, to string) bool { return from == "caller" && to == "echo" }
	none := func(string, string) bool { return false }
	tests := []struct {
		name string
		// begin makes the fault take effect and returns the function that ends it.
		begin func(d *Disruptor) func()
		// during, after and fresh are the errors of exchanges on the open connection during
		// the fault and after it, and on a new connection during it.
		during, after, fresh string
	}{
		{"none", func(*Disruptor) func() { return func() {} }, "", "", ""},
		{"other links", func(d *Disruptor) func() {
			d.Reset(none)
			d.Silence(none)
			return hold(d, &Fault{Match: none, HoldUp: true, HoldDown: true, Refuse: true})
		}, "", "", ""},
		{"held", func(d *Disruptor) func() { return hold(d, &Fault{Match: all, HoldUp: true, HoldDown: true}) }, "silent", "", "silent"},
		{"held up", func(d *Disruptor) func() { return hold(d, &Fault{Match: all, HoldUp: true}) }, "silent", "", "silent"},
		{"held down", func(d *Disruptor) func() { return hold(d, &Fault{Match: all, HoldDown: true}) }, "silent", "", "silent"},
		{"delayed", func(d *Disruptor) func() { return hold(d, &Fault{Match: all, Delay: 2 * shortTime}) }, "silent", "", "silent"},
		{"refused", func(d *Disruptor) func() { return hold(d, &Fault{Match: all, Refuse: true}) }, "", "", "closed"},
		{"reset", func(d *Disruptor) func() {
			d.Reset(all)
			return func() {}
		}, "closed", "closed", ""},
		{"silenced", func(d *Disruptor) func() {
			d.Silence(all)
			return func() {}
		}, "silent", "silent", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d, addr := newRelay(c)
			defer d.Close()
			conn := dial(c, addr)
			defer conn.Close()
			c.Assert(exchange(conn, longTime), qt.Equals, "")
			end := test.begin(d)
			c.Check(exchange(conn, timeFor(test.during)), qt.Equals, test.during)
			c.Check(exchangeFresh(c, addr, timeFor(test.fresh)), qt.Equals, test.fresh)
			end()
			if test.during == "silent" && test.after == "" {
				// The byte held before arrives now.
				c.Check(receive(conn, longTime), qt.Equals, "")
			}
			c.Check(exchange(conn, timeFor(test.after)), qt.Equals, test.after)
		})
	}
}

// TestOwner checks that the owner of a connection is found among processes.
func TestOwner(t *testing.T) {
	c := qt.New(t)
	d, addr := newRelay(c)
	defer d.Close()
	conn := dial(c, addr)
	defer conn.Close()
	c.Check(Owner(conn.LocalAddr(), []int{0, os.Getpid()}), qt.Equals, 1)
	c.Check(Owner(conn.LocalAddr(), []int{0}), qt.Equals, -1)
	c.Check(Owner(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 1}, []int{os.Getpid()}), qt.Equals, -1)
}

func hold(d *Disruptor, f *Fault) func() {
	d.Begin(f)
	return func() { d.End(f) }
}

// timeFor returns the time to wait for a result.
func timeFor(want string) time.Duration {
	if want == "silent" {
		return shortTime
	}
	return longTime
}

// newRelay returns a disruptor before a server that echoes, and its address.
func newRelay(c *qt.C) (*Disruptor, string) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	d := &Disruptor{Identify: func(net.Addr) string { return "caller" }}
	c.Assert(d.Listen("", "echo", "127.0.0.1:0", server.Addr().String()), qt.IsNil)
	return d, d.listeners[0].Addr().String()
}

func dial(c *qt.C, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	return conn
}

// exchange sends a byte and waits for its echo. It returns "", "silent" or "closed".
func exchange(conn net.Conn, wait time.Duration) string {
	if _, err := conn.Write([]byte("x")); err != nil {
		return "closed"
	}
	return receive(conn, wait)
}

// exchangeFresh is exchange on a new connection. It is closed also if the reset arrives before
// the dial has read the outcome of its connect, which then is ECONNRESET.
func exchangeFresh(c *qt.C, addr string, wait time.Duration) string {
	conn, err := net.Dial("tcp", addr)
	if errors.Is(err, syscall.ECONNRESET) {
		return "closed"
	}
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	return exchange(conn, wait)
}

// receive waits for a byte.
func receive(conn net.Conn, wait time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return "silent"
	}
	if err != nil {
		return "closed"
	}
	return ""
}

// freeAddr returns a local address that is not in use.
func freeAddr(c *qt.C) net.Addr {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr()
}

// TestRefused checks that a connection which could not be dialled on is known as such, once, and
// others are not.
func TestRefused(t *testing.T) {
	c := qt.New(t)
	var d Disruptor
	defer d.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	target := ln.Addr().String()
	c.Assert(d.Listen("callers", "daemon", "127.0.0.1:0", target), qt.IsNil)
	relay := d.listeners[0].Listener.Addr().String()
	for _, down := range []bool{false, true} {
		if down {
			_ = ln.Close()
		}
		local := freeAddr(c)
		dialer := net.Dialer{LocalAddr: local}
		conn, err := dialer.Dial("tcp", relay)
		if !down {
			c.Assert(err, qt.IsNil)
			far, err := ln.Accept()
			c.Assert(err, qt.IsNil)
			_ = far.Close()
		}
		// The reset of a connection that can't be dialled on may come before it is established here.
		if err == nil {
			_, err = conn.Read(make([]byte, 1))
			defer conn.Close()
		}
		c.Check(err, qt.IsNotNil)
		c.Check(d.Refused(local), qt.Equals, down)
		c.Check(d.Refused(local), qt.IsFalse)
		_, left := d.Left(local)
		c.Check(left, qt.IsFalse)
	}
}

// TestLeft checks that the end of a connection is recorded once it was passed on.
func TestLeft(t *testing.T) {
	c := qt.New(t)
	var d Disruptor
	defer d.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	c.Assert(d.Listen("callers", "daemon", "127.0.0.1:0", ln.Addr().String()), qt.IsNil)
	conn, err := net.Dial("tcp", d.listeners[0].Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	far, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	defer far.Close()
	hold := &Fault{Match: func(string, string) bool { return true }, HoldUp: true}
	d.Begin(hold)
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond)
	_, ok := d.Left(conn.LocalAddr())
	c.Check(ok, qt.IsFalse)
	ended := time.Now()
	d.End(hold)
	_, err = far.Read(make([]byte, 1))
	c.Check(err, qt.IsNotNil)
	time.Sleep(50 * time.Millisecond)
	at, ok := d.Left(conn.LocalAddr())
	c.Check(ok && at.After(ended), qt.IsTrue)
}

// TestAddressAgain guards against what is known of an earlier connection being taken for a later one
// from the same address.
func TestAddressAgain(t *testing.T) {
	c := qt.New(t)
	d := Disruptor{refused: make(map[string]bool), left: make(map[string]time.Time)}
	defer d.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	c.Assert(d.Listen("callers", "daemon", "127.0.0.1:0", ln.Addr().String()), qt.IsNil)
	local := freeAddr(c)
	d.mu.Lock()
	d.refused[local.String()], d.left[local.String()] = true, time.Now()
	d.mu.Unlock()
	dialer := net.Dialer{LocalAddr: local}
	conn, err := dialer.Dial("tcp", d.listeners[0].Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	far, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	defer far.Close()
	_, left := d.Left(local)
	c.Check(left || d.Refused(local), qt.IsFalse)
}
