package gatekeeper

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"samphireturn/internal/core/accountant"
)

const (
	// freeHeadBytes is what a head takes without asking the account, so that long ones of few fields
	// are refused by rank, as requests, and headStep how much it asks for at a time.
	freeHeadBytes = 20 << 10
	headStep      = 4 << 10
	// maxDiscard and discardTime bound the rest of a refused head that is read, so that its
	// connection is not reset before the caller has the answer.
	maxDiscard  = 64 << 10
	discardTime = 200 * time.Millisecond
	// headRefusal is the answer to a head for which there is no memory. No id is known yet.
	headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

var errNoMemory = errors.New("no memory for the head")

// meteredConn is the connection of a caller whose heads are counted by the account while they are read,
// before there is a request: a head of many fields takes far more than its text, and may never end.
type meteredConn struct {
	net.Conn
	account *accountant.Accountant
	// mu guards the rest: the server reads ahead while it handles a request.
	mu sync.Mutex
	// cost is what the head takes so far, and held what was taken of the account for it.
	cost, held int64
	// lineBytes is the length of the line that is read, without its end.
	lineBytes int
	// ended is true from the end of a head until the connection is idle: what is read then is no head.
	ended bool
}

// Meter returns a connection whose heads the account counts. Observe must be the ConnState hook of its
// server, which is told that a connection is active before the request has a handler.
func (g *Gatekeeper) Meter(c net.Conn) net.Conn {
	if g.Account == nil {
		return c
	}
	return &meteredConn{Conn: c, account: g.Account}
}

// Read implements io.Reader. It refuses a head for which there is no memory.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.read(p[:n]) {
		return n, err
	}
	c.refuse(p)
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errNoMemory}
}

// read counts the next bytes, and reports whether there is memory for the head that they belong to.
func (c *meteredConn) read(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(p) && !c.ended; i++ {
		switch b := p[i]; {
		case b == '\n' && c.lineBytes == 0 && c.cost > 0:
			c.release()
			c.ended = true
		case b == '\n':
			c.cost += accountant.FieldBytes
			c.lineBytes = 0
		case b != '\r':
			c.cost++
			c.lineBytes++
		}
	}
	missing := c.cost - freeHeadBytes - c.held
	if missing <= 0 {
		return true
	}
	size := max(missing, headStep)
	if !c.account.Take(accountant.Short, 0, size) {
		c.release()
		c.ended = true
		return false
	}
	c.held += size
	return true
}

// release gives back what the head holds: its request has an account of its own. The caller holds mu.
func (c *meteredConn) release() {
	c.account.Give(c.held)
	c.cost, c.held, c.lineBytes = 0, 0, 0
}

// turn gives back what a head holds, and either ends it or begins the next one.
func (c *meteredConn) turn(ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
	c.ended = ended
}

// refuse answers a head that is not read to its end.
func (c *meteredConn) refuse(buffer []byte) {
	end := time.Now().Add(discardTime)
	if c.SetDeadline(end) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headRefusal); err != nil {
		return
	}
	for discarded := 0; discarded < maxDiscard && time.Now().Before(end); {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}
