// Package gatekeeper bounds the open connections of callers.
//
// If as many are open as may be, the one that has been idle for longest makes room for a new one, or a
// request whose body makes no progress does. If there is neither, the new connection is closed.
package gatekeeper

import (
	"container/list"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minIdle is how long a connection must have been idle to make room: one that was just
	// answered often has its next request on the way.
	minIdle = 100 * time.Millisecond
	// maxLeavingShare bounds the connections that are to make room and have not closed yet, as a share
	// of Capacity.
	maxLeavingShare = 0.25
	// memoryShare is the part of a process's memory that the connections of callers may take, and
	// connBytes what one takes at most: its buffers, its stack and a header.
	memoryShare = 0.375
	connBytes   = 32 << 10
	// socketShare is the part of its sockets: each request has a connection of its caller and one to
	// an endpoint.
	socketShare = 0.5
)

var (
	openConns = expvar.NewInt("gatekeeper_open")
	evicted   = expvar.NewInt("gatekeeper_evicted")
	rejected  = expvar.NewInt("gatekeeper_rejected")
)

type (
	// Gatekeeper is safe for concurrent use. Set the exported fields before the first connection.
	Gatekeeper struct {
		// Capacity bounds the open connections; 0 means no bound.
		Capacity int
		// DropStalled ends a request that makes no progress and reports whether there is one; nil
		// means that there is none.
		DropStalled func() bool
		// Clock is a monotonic clock.
		Clock func() time.Duration

		mu sync.Mutex
		// open is the number of open connections, and leaving that of those that are to make room.
		open, leaving int
		// idle holds the idle connections as idleConn, the one idle for longest first, and places its
		// elements by connection.
		idle   list.List
		places map[net.Conn]*list.Element
	}

	// idleConn is a connection that is idle since a time.
	idleConn struct {
		net.Conn
		since time.Duration
	}
)

// CapacityOf returns the Capacity for a process that may use some bytes of memory and have some
// sockets open; 0 means no bound of either.
func CapacityOf(memory int64, sockets int) int {
	capacity := int(memoryShare * float64(memory) / connBytes)
	if sockets > 0 {
		bySockets := max(int(socketShare*float64(sockets)), 1)
		if capacity == 0 {
			return bySockets
		}
		return min(capacity, bySockets)
	}
	return capacity
}

// Admit reports whether a new connection may be served. If not, it closes the connection.
func (g *Gatekeeper) Admit(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Capacity > 0 && g.open-g.leaving >= g.Capacity {
		if float64(g.leaving) >= maxLeavingShare*float64(g.Capacity) || !g.makeRoom() {
			rejected.Add(1)
			_ = c.Close()
			return false
		}
		g.leaving++
		evicted.Add(1)
	}
	g.open++
	openConns.Add(1)
	return true
}

// Observe records the state of an admitted connection. It is the ConnState hook of a server.
func (g *Gatekeeper) Observe(c net.Conn, state http.ConnState) {
	if g.Capacity == 0 && state != http.StateClosed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.places[c]; e != nil {
		g.idle.Remove(e)
		delete(g.places, c)
	}
	switch state {
	case http.StateIdle:
		if g.places == nil {
			g.places = make(map[net.Conn]*list.Element)
		}
		g.places[c] = g.idle.PushBack(idleConn{c, g.Clock()})
	case http.StateClosed, http.StateHijacked:
		g.open--
		g.leaving = max(g.leaving-1, 0)
		openConns.Add(-1)
	}
}

// makeRoom has a connection close and reports whether there is one. The caller holds mu.
func (g *Gatekeeper) makeRoom() bool {
	first := g.idle.Front()
	if first == nil || g.Clock()-first.Value.(idleConn).since < minIdle {
		return g.DropStalled != nil && g.DropStalled()
	}
	c := first.Value.(idleConn).Conn
	g.idle.Remove(first)
	delete(g.places, c)
	// The server closes the connection unless it has just read a request: a close would leave
	// that one without an answer.
	return c.SetReadDeadline(time.Unix(1, 0)) == nil
}

// Listen returns a listener of the connections of l that Admit admits.
func (g *Gatekeeper) Listen(l net.Listener) net.Listener { return &listener{l, g} }

// listener is a net.Listener of admitted connections.
type listener struct {
	net.Listener
	gatekeeper *Gatekeeper
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.gatekeeper.Admit(c) {
			return c, err
		}
	}
}
