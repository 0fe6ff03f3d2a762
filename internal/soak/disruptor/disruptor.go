// Package disruptor relays TCP connections between processes on loopback addresses
// and delays, holds, resets and silences them.
package disruptor

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
	// pollInterval is the interval at which a held connection looks for the end of the
	// fault.
	pollInterval = 5 * time.Millisecond
)

type (
	// Match reports whether a fault concerns the connections between two names.
	Match func(from, to string) bool

	// Fault is a fault of connections from Begin to End.
	Fault struct {
		Match Match
		// Delay passes before each piece of data is passed on.
		Delay time.Duration
		// HoldUp and HoldDown hold data and closes from the dialling end and to it.
		HoldUp, HoldDown bool
		// Refuse resets each new connection.
		Refuse bool
	}

	// Disruptor relays connections. Set the exported fields before Listen.
	Disruptor struct {
		// Identify names the process at the remote end of an accepted connection.
		Identify func(remote net.Addr) string
		// Source, if not nil, returns the address from which connections of a process are
		// dialled on; nil means any.
		Source func(from, to string) net.Addr

		mu        sync.Mutex
		listeners []*listener
		conns     map[*conn]struct{}
		faults    map[*Fault]struct{}
		// refused holds the remote addresses of connections that could not be dialled on.
		refused map[string]bool
		// left holds when the ends of connections from their remote addresses were passed on.
		left   map[string]time.Time
		closed bool
		wait   sync.WaitGroup
	}

	// listener relays the connections to one address; its net.Listener is nil while the
	// process behind it is down.
	listener struct {
		net.Listener
		from, to, addr, target string
	}

	// conn is one relayed connection.
	conn struct {
		disruptor *Disruptor
		from, to  string
		near, far *net.TCPConn
		silent    bool
		done      chan struct{}
		once      sync.Once
	}
)

// Listen relays the connections to addr on to target, the address of the process
// named to, until Close. They come from the process named from, or if that is empty from
// those that Identify names.
func (d *Disruptor) Listen(from, to, addr, target string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := &listener{from: from, to: to, addr: addr, target: target}
	if err := d.listen(l); err != nil {
		return err
	}
	d.listeners = append(d.listeners, l)
	return nil
}

// listen opens a listener. The caller holds mu.
func (d *Disruptor) listen(l *listener) error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.Listener = ln
	d.wait.Go(func() { d.accept(ln, l.from, l.to, l.target) })
	return nil
}

// SetDown makes the addresses of a process refuse connections while it is down.
func (d *Disruptor) SetDown(to string, down bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.listeners {
		switch {
		case l.to != to || d.closed || down == (l.Listener == nil):
		case down:
			if err := l.Close(); err != nil {
				return err
			}
			l.Listener = nil
		default:
			if err := d.listen(l); err != nil {
				return err
			}
		}
	}
	return nil
}

// Begin makes a fault take effect, also on open connections.
func (d *Disruptor) Begin(f *Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults == nil {
		d.faults = make(map[*Fault]struct{})
	}
	d.faults[f] = struct{}{}
}

// End ends a fault. Data held by it is passed on.
func (d *Disruptor) End(f *Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.faults, f)
}

// Refused reports whether the connection from a local address was accepted but could not be
// dialled on, so that it reached no process. The address may be used again after that.
func (d *Disruptor) Refused(local net.Addr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	refused := d.refused[local.String()]
	delete(d.refused, local.String())
	return refused
}

// Left returns when the end of the connection from a local address was passed on, and whether
// it was. The address may be used again after that.
func (d *Disruptor) Left(local net.Addr) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.left[local.String()]
	delete(d.left, local.String())
	return at, ok
}

// recordLeft records that the end of a connection is passed on.
func (d *Disruptor) recordLeft(remote net.Addr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left == nil {
		d.left = make(map[string]time.Time)
	}
	d.left[remote.String()] = time.Now()
}

// Reset resets the open connections that match.
func (d *Disruptor) Reset(match Match) {
	for _, c := range d.open(match) {
		c.reset()
	}
}

// Silence holds the data and the closes of the open connections that match for good.
func (d *Disruptor) Silence(match Match) {
	for _, c := range d.open(match) {
		d.mu.Lock()
		c.silent = true
		d.mu.Unlock()
	}
}

// Close ends all connections and waits for them.
func (d *Disruptor) Close() {
	d.mu.Lock()
	d.closed = true
	listeners := d.listeners
	d.mu.Unlock()
	for _, l := range listeners {
		if l.Listener != nil {
			_ = l.Close()
		}
	}
	d.Reset(func(string, string) bool { return true })
	d.wait.Wait()
}

// open returns the open connections that match.
func (d *Disruptor) open(match Match) []*conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var matching []*conn
	for c := range d.conns {
		if match(c.from, c.to) {
			matching = append(matching, c)
		}
	}
	return matching
}

func (d *Disruptor) accept(ln net.Listener, from, to, target string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		if tcp, ok := near.(*net.TCPConn); ok {
			d.wait.Go(func() { d.relay(tcp, from, to, target) })
		}
	}
}

// relay relays one connection until it ends.
func (d *Disruptor) relay(near *net.TCPConn, from, to, target string) {
	if from == "" {
		from = d.Identify(near.RemoteAddr())
	}
	refuse := false
	d.mu.Lock()
	// An earlier connection may have had the address.
	delete(d.refused, near.RemoteAddr().String())
	delete(d.left, near.RemoteAddr().String())
	for f := range d.faults {
		refuse = refuse || f.Refuse && f.Match(from, to)
	}
	d.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	if d.Source != nil {
		dialer.LocalAddr = d.Source(from, to)
	}
	var far *net.TCPConn
	if !refuse {
		c, err := dialer.DialContext(context.Background(), "tcp", target)
		if err == nil {
			far, _ = c.(*net.TCPConn)
		}
	}
	if far == nil {
		d.mu.Lock()
		if d.refused == nil {
			d.refused = make(map[string]bool)
		}
		d.refused[near.RemoteAddr().String()] = true
		d.mu.Unlock()
		abort(near)
		return
	}
	c := &conn{disruptor: d, from: from, to: to, near: near, far: far, done: make(chan struct{})}
	d.mu.Lock()
	if d.conns == nil {
		d.conns = make(map[*conn]struct{})
	}
	d.conns[c] = struct{}{}
	closed := d.closed
	d.mu.Unlock()
	if closed {
		c.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { c.copy(far, near, true) })
	both.Go(func() { c.copy(near, far, false) })
	both.Wait()
	c.once.Do(func() { close(c.done) })
	_ = near.Close()
	_ = far.Close()
	d.mu.Lock()
	delete(d.conns, c)
	d.mu.Unlock()
}

// copy passes on data and the close of one direction.
func (c *conn) copy(dst, src *net.TCPConn, up bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if !c.hold(up) {
			return
		}
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				c.reset()
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = dst.CloseWrite()
			if up {
				c.disruptor.recordLeft(src.RemoteAddr())
			}
			return
		default:
			c.reset()
			if up {
				c.disruptor.recordLeft(src.RemoteAddr())
			}
			return
		}
	}
}

// hold waits for the delay of the connection and while it is held. It returns false
// if the connection was reset meanwhile.
func (c *conn) hold(up bool) bool {
	delay, held := c.state(up)
	for delay > 0 || held {
		select {
		case <-c.done:
			return false
		case <-time.After(max(delay, pollInterval)):
		}
		delay = 0
		_, held = c.state(up)
	}
	return true
}

// state returns the delay of a direction and whether it is held.
func (c *conn) state(up bool) (delay time.Duration, held bool) {
	d := c.disruptor
	d.mu.Lock()
	defer d.mu.Unlock()
	held = c.silent
	for f := range d.faults {
		if !f.Match(c.from, c.to) {
			continue
		}
		delay = max(delay, f.Delay)
		held = held || up && f.HoldUp || !up && f.HoldDown
	}
	return delay, held
}

// reset resets both ends.
func (c *conn) reset() {
	c.once.Do(func() { close(c.done) })
	abort(c.near)
	abort(c.far)
}

// abort closes an end with a reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
