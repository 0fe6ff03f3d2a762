// Package connector is an in-memory network for tests. It joins named addresses
// by pipes and can cut them, or let open connections go silent.
package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrRefused says that nothing listens at an address or that it is cut off.
var ErrRefused = errors.New("connection refused")

// Network joins listeners and dialers. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       func(from, to string) bool
	refuse    func(from, to string) bool
	mute      func(from, to string) bool
}

// listener accepts connections to one address.
type listener struct {
	network *Network
	addr    addr
	queue   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// addr is an address of the network.
type addr string

// conn is one end of a connection.
type conn struct {
	net.Conn
	network       *Network
	from, to      string
	local, remote addr
	silent        *atomic.Bool
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
	l := &listener{network: n, addr: addr(at), queue: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dial returns a dial function for the place that from names. Cut and Silence
// know connections by that name and by the address dialled.
func (n *Network) Dial(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		cut := n.cut != nil && n.cut(from, to) || n.refuse != nil && n.refuse(from, to)
		n.mu.Unlock()
		if l == nil || cut {
			return nil, errors.Wrapf(ErrRefused, "dial %s", to)
		}
		a, b := net.Pipe()
		silent := new(atomic.Bool)
		silent.Store(n.muted(from, to))
		near := &conn{Conn: a, network: n, from: from, to: to, local: addr(from), remote: addr(to), silent: silent}
		far := &conn{Conn: b, network: n, from: from, to: to, local: addr(to), remote: addr(from), silent: silent}
		select {
		case l.queue <- far:
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
		n.conns[near], n.conns[far] = struct{}{}, struct{}{}
		return near, nil
	}
}

// Partition closes the open connections that match and refuses new ones, until the
// next Partition. A nil match heals the network.
func (n *Network) Partition(match func(from, to string) bool) {
	n.mu.Lock()
	n.cut = match
	n.mu.Unlock()
	if match != nil {
		n.each(match, func(c *conn) { _ = c.Close() })
	}
}

// RefuseNew refuses new connections that match, until the next RefuseNew; open
// connections stay. A nil match accepts all again.
func (n *Network) RefuseNew(match func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuse = match
}

// BlackholeOpen drops all further data of the open connections that match, in both
// directions. New connections work.
func (n *Network) BlackholeOpen(match func(from, to string) bool) {
	n.each(match, func(c *conn) { c.silent.Store(true) })
}

// Blackhole drops the data of open and of new connections that match, as if the
// process at one end were paused, until the next Blackhole. A nil match lets new
// connections work again.
func (n *Network) Blackhole(match func(from, to string) bool) {
	n.mu.Lock()
	n.mute = match
	n.mu.Unlock()
	if match != nil {
		n.BlackholeOpen(match)
	}
}

func (n *Network) muted(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mute != nil && n.mute(from, to)
}

// CloseOpen closes the open connections that match. New connections work.
func (n *Network) CloseOpen(match func(from, to string) bool) {
	n.each(match, func(c *conn) { _ = c.Close() })
}

// each calls f for the open connections that match.
func (n *Network) each(match func(from, to string) bool, f func(*conn)) {
	n.mu.Lock()
	var found []*conn
	for c := range n.conns {
		if match(c.from, c.to) {
			found = append(found, c)
		}
	}
	n.mu.Unlock()
	for _, c := range found {
		f(c)
	}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
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

// Read reads unless the connection is silent, in which case it waits for its
// end.
func (c *conn) Read(p []byte) (int, error) { return c.Conn.Read(p) }

// Write writes, or drops p if the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes this end and forgets it.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// LocalAddr returns the place of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the place of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }
