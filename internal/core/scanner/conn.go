package scanner

import (
	"net"
	"sync"
)

// Conn is a connection on which answers are read by a parser of its own, such as http.Transport. It
// checks their heads.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	scanner Scanner
}

// Expect makes the next byte the first one of a head. It is called before a request is written. A
// connection that was just opened expects a head.
func (c *Conn) Expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Reset()
}

// Read reads from the connection. It fails if the head of an answer is malformed or too long, and then
// at once, as a parser may drop the error and read on.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.scan(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err := c.scan(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// scan checks the next bytes, of which there may be none.
func (c *Conn) scan(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Scan(p)
}

// Unframed reports whether the head of a final answer has come and says nothing of where the body
// ends.
func (c *Conn) Unframed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Unframed()
}
