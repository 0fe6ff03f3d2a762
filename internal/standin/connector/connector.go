// Package connector is an in-memory network for tests. It connects named
// addresses by pipes and can refuse, close, stall and black-hole connections.
package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused is returned by a dial to an address without a listener or to one
// that Partition or RefuseNew blocks.
var ErrRefused error = syscall.ECONNREFUSED

// Network connects dialers to listeners. The zero value is ready to use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	conns       map[*conn]struct{}
	partitioned func(from, to string) bool
	refused     func(from, to string) bool
	blackholed  func(from, to string) bool
	stalled     func(from, to string) bool
	// dialsPass is true if a stall does not hold up the opening of connections.
	dialsPass bool
	slowDials func(from, to string) bool
	// down holds the addresses set by SetDown.
	down      map[string]bool
	dialDelay time.Duration
	// stallEnded is closed when the stall ends.
	stallEnded chan struct{}
}

// listener accepts connections to one address.
type listener struct {
	network *Network
	addr    addr
	backlog chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// addr is the net.Addr of a name in the network.
type addr string

// conn is one end of a connection.
type conn struct {
	net.Conn
	network       *Network
	from, to      string
	local, remote addr
	blackholed    *atomic.Bool
	closed        chan struct{}
	closeOnce     sync.Once
}

// Network returns the network's name.
func (addr) Network() string { return "memory" }

// String returns the address.
func (a addr) String() string { return string(a) }

// Listen returns a listener at an address.
func (n *Network) Listen(at string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[at] != nil {
		return nil, errors.Errorf("listen on %s: address in use", at)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{network: n, addr: addr(at), backlog: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dial returns a dial function for the host named from. The match functions of
// Partition, BlackholeOpen and the other methods are called with that name and
// the address dialled.
func (n *Network) Dial(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		refuse := n.partitioned != nil && n.partitioned(from, to) || n.refused != nil && n.refused(from, to) || n.down[to]
		n.mu.Unlock()
		if l == nil || refuse {
			return nil, errors.Wrapf(ErrRefused, "dial %s", to)
		}
		if err := n.waitDialStall(from, to, ctx.Done()); err != nil {
			return nil, errors.Wrap(ctx.Err(), "dial "+to)
		}
		if err := n.waitDialDelay(ctx, from, to); err != nil {
			return nil, errors.Wrap(err, "dial "+to)
		}
		a, b := net.Pipe()
		blackholed := new(atomic.Bool)
		blackholed.Store(n.isBlackholed(from, to))
		dialEnd := &conn{Conn: a, network: n, from: from, to: to, local: addr(from), remote: addr(to), blackholed: blackholed, closed: make(chan struct{})}
		listenEnd := &conn{Conn: b, network: n, from: from, to: to, local: addr(to), remote: addr(from), blackholed: blackholed, closed: make(chan struct{})}
		select {
		case l.backlog <- listenEnd:
		case <-l.done:
			return nil, errors.Wrapf(ErrRefused, "dial %s", to)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.conns == nil {
			n.conns = make(map[*conn]struct{})
		}
		n.conns[dialEnd], n.conns[listenEnd] = struct{}{}, struct{}{}
		return dialEnd, nil
	}
}

// Partition closes the open connections that match and refuses new ones until the
// next call of Partition. A nil match ends the partition.
func (n *Network) Partition(match func(from, to string) bool) {
	n.mu.Lock()
	n.partitioned = match
	n.mu.Unlock()
	if match != nil {
		n.cut(match)
	}
}

// cut closes the open connections that match, all of them at the same moment: nothing that one end
// writes once one is closed arrives by another.
func (n *Network) cut(match func(from, to string) bool) {
	n.BlackholeOpen(match)
	n.forEachOpen(match, func(c *conn) { _ = c.Close() })
}

// RefuseNew refuses new connections that match until the next call of RefuseNew.
// Open connections stay open. A nil match accepts all connections again.
func (n *Network) RefuseNew(match func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = match
}

// SetDown closes the open connections to an address and refuses new ones while it is down,
// as if the process there had ended.
func (n *Network) SetDown(to string, down bool) {
	n.mu.Lock()
	if n.down == nil {
		n.down = make(map[string]bool)
	}
	n.down[to] = down
	n.mu.Unlock()
	if down {
		n.cut(func(_, at string) bool { return at == to })
	}
}

// BlackholeOpen drops all further data of the open connections that match, in both
// directions. New connections are not affected.
func (n *Network) BlackholeOpen(match func(from, to string) bool) {
	n.forEachOpen(match, func(c *conn) { c.blackholed.Store(true) })
}

// Blackhole drops all data of open connections that match, and of those opened
// until the next call of Blackhole, as if the process at one end were paused. A
// nil match lets new connections work again; black-holed ones stay so.
func (n *Network) Blackhole(match func(from, to string) bool) {
	n.mu.Lock()
	n.blackholed = match
	n.mu.Unlock()
	if match != nil {
		n.BlackholeOpen(match)
	}
}

func (n *Network) isBlackholed(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blackholed != nil && n.blackholed(from, to)
}

// Stall delays the data of connections that match, in both directions, and the opening of
// new ones until the next call of Stall, as on a link that is full. Nothing is lost. A nil
// match ends the stall.
func (n *Network) Stall(match func(from, to string) bool) { n.stall(match, false) }

// StallOpen is Stall, but new connections are opened at once.
func (n *Network) StallOpen(match func(from, to string) bool) { n.stall(match, true) }

func (n *Network) stall(match func(from, to string) bool, dialsPass bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialsPass = dialsPass
	if n.stallEnded != nil {
		close(n.stallEnded)
		n.stallEnded = nil
	}
	n.stalled = match
	if match != nil {
		n.stallEnded = make(chan struct{})
	}
}

// DelayDials adds a delay to the opening of connections that match until the next call of
// DelayDials. A nil match ends it.
func (n *Network) DelayDials(match func(from, to string) bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowDials, n.dialDelay = match, delay
}

// waitDialDelay waits for the delay of a dial. It returns the error of ctx if that ends
// before.
func (n *Network) waitDialDelay(ctx context.Context, from, to string) error {
	n.mu.Lock()
	slow, delay := n.slowDials != nil && n.slowDials(from, to), n.dialDelay
	n.mu.Unlock()
	if !slow {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

// waitDialStall waits until connections may be opened.
func (n *Network) waitDialStall(from, to string, done <-chan struct{}) error {
	n.mu.Lock()
	pass := n.dialsPass
	n.mu.Unlock()
	if pass {
		return nil
	}
	return n.waitStall(from, to, done)
}

// waitStall waits until a connection is not stalled. It returns net.ErrClosed if done is
// closed before.
func (n *Network) waitStall(from, to string, done <-chan struct{}) error {
	for {
		n.mu.Lock()
		ended := n.stallEnded
		stalled := n.stalled != nil && n.stalled(from, to)
		n.mu.Unlock()
		if !stalled {
			return nil
		}
		select {
		case <-ended:
		case <-done:
			return net.ErrClosed
		}
	}
}

// CloseOpen closes the open connections that match. New connections are not
// affected.
func (n *Network) CloseOpen(match func(from, to string) bool) {
	n.forEachOpen(match, func(c *conn) { _ = c.Close() })
}

// forEachOpen calls f for the open connections that match.
func (n *Network) forEachOpen(match func(from, to string) bool, f func(*conn)) {
	n.mu.Lock()
	var matching []*conn
	for c := range n.conns {
		if match(c.from, c.to) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		f(c)
	}
}

// Accept returns the next connection, or net.ErrClosed once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.addr))
		l.network.mu.Unlock()
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.addr }

// Read reads from the pipe. On a black-holed connection the other end's writes are
// dropped, so that Read blocks until the connection is closed.
func (c *conn) Read(p []byte) (int, error) { return c.Conn.Read(p) }

// Write writes p, later if the connection is stalled, or drops it if it is black-holed.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	if err := c.network.waitStall(c.from, c.to, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes this end and removes it from the network.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }
