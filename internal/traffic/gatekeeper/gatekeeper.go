// Package gatekeeper bounds the open connections of callers.
//
// If as many are open as may be, the one that has been idle for longest makes room for a new one, or
// one that has sent nothing yet, or a request whose body makes no progress. If there is none of these, the
// new connection is closed. The heads of requests are counted by the account of memory while they are read.
package gatekeeper

import (
	"container/list"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"samphireturn/internal/core/accountant"
)

const (
	// minIdle is how long a connection must have been idle to make room: one that was just
	// answered often has its next request on the way.
	minIdle = 100 * time.Millisecond
	// minSilent is how long a connection must have sent nothing since it was opened to make room.
	minSilent = time.Second
	// maxLeavingShare bounds the connections that are to make room and have not closed yet, as a share
	// of Capacity.
	maxLeavingShare = 0.25
	// memoryShare is the part of a process's memory that the connections of callers may take, and
	// usualBytes what one takes with a usual request, but for the connection to its endpoint and its body.
	memoryShare = 0.375
	usualBytes  = 32 << 10
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
		// Account counts the heads of their requests; nil counts nothing.
		Account *accountant.Accountant
		// DropStalled ends a request that makes no progress and reports whether there is one; nil
		// means that there is none.
		DropStalled func() bool
		// Clock is a monotonic clock.
		Clock func() time.Duration

		mu sync.Mutex
		// open is the number of open connections, and leaving that of those that are to make room.
		open, leaving int
		// idle holds the connections that wait for their next request, and silent those that have sent
		// nothing yet, both as waitingConn and the one that waits for longest first.
		idle, silent list.List
		// places holds the place of each of them.
		places map[net.Conn]place
	}

	// waitingConn is a connection that waits for a request since a time.
	waitingConn struct {
		net.Conn
		since time.Duration
	}

	// place is an element of a list.
	place struct {
		list    *list.List
		element *list.Element
	}
)

// CapacityOf returns the Capacity for a process that may use some bytes of memory and have some
// sockets open; 0 means no bound of either.
func CapacityOf(memory int64, sockets int) int {
	capacity := int(memoryShare * float64(memory) / usualBytes)
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
	if metered, ok := c.(*meteredConn); ok {
		metered.turn(state == http.StateActive)
	}
	if g.Capacity == 0 && state != http.StateClosed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
	switch state {
	case http.StateNew:
		g.add(&g.silent, c)
	case http.StateIdle:
		g.add(&g.idle, c)
	case http.StateClosed, http.StateHijacked:
		g.open--
		g.leaving = max(g.leaving-1, 0)
		openConns.Add(-1)
	}
}

// add adds a connection that waits for a request to a list. The caller holds mu.
func (g *Gatekeeper) add(to *list.List, c net.Conn) {
	if g.places == nil {
		g.places = make(map[net.Conn]place)
	}
	g.places[c] = place{to, to.PushBack(waitingConn{c, g.Clock()})}
}

// remove removes a connection from the list that it is in, if any. The caller holds mu.
func (g *Gatekeeper) remove(c net.Conn) {
	if p, ok := g.places[c]; ok {
		p.list.Remove(p.element)
		delete(g.places, c)
	}
}

// makeRoom has a connection close and reports whether there is one. The caller holds mu.
func (g *Gatekeeper) makeRoom() bool {
	return g.expire(&g.idle, minIdle) || g.expire(&g.silent, minSilent) || g.DropStalled != nil && g.DropStalled()
}

// expire has the first connection of a list close if it has waited for a time, and reports whether it
// has. The caller holds mu.
func (g *Gatekeeper) expire(from *list.List, after time.Duration) bool {
	first := from.Front()
	if first == nil || g.Clock()-first.Value.(waitingConn).since < after {
		return false
	}
	c := first.Value.(waitingConn).Conn
	g.remove(c)
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
		if err != nil {
			return nil, err
		}
		if c = l.gatekeeper.Meter(c); l.gatekeeper.Admit(c) {
			return c, nil
		}
	}
}
