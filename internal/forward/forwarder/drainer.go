package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"samphireturn/internal/core/timekeeper"
)

// drainInterval is the time between two looks at the open connections of a server that is to be
// shut down.
const drainInterval = 20 * time.Millisecond

// drainer shuts a server down without leaving a request unanswered. http.Server.Shutdown alone
// closes a connection without an answer whose request it reads from then on.
type drainer struct {
	server *http.Server
	// observe is told of the states of connections; it may be nil.
	observe func(c net.Conn, state http.ConnState)
	// open is the number of open connections.
	open atomic.Int64
}

// newDrainer returns the drainer of a server that has not been started.
func newDrainer(s *http.Server, observe func(c net.Conn, state http.ConnState)) *drainer {
	d := &drainer{server: s, observe: observe}
	s.ConnState = d.countOpen
	return d
}

// countOpen is the ConnState hook of the server.
func (d *drainer) countOpen(c net.Conn, state http.ConnState) {
	if d.observe != nil {
		d.observe(c, state)
	}
	switch state {
	case http.StateNew:
		d.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		d.open.Add(-1)
	}
}

// shutDown closes the idle connections, waits until the others are closed after their request,
// and shuts the server down. It returns an error if ctx ends before that; connections are
// then left open. The server's handler refuses requests meanwhile.
func (d *drainer) shutDown(ctx context.Context) error {
	d.server.SetKeepAlivesEnabled(false)
	for d.open.Load() > 0 && timekeeper.Sleep(ctx, drainInterval) {
	}
	return d.server.Shutdown(ctx)
}
