package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"samphireturn/internal/core/scanner"
)

// keepAliveConfig detects dead TCP connections within 8 s.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 64
	maxHeaderBytes = 64 << 10
)

// errGrantExpired means that the grant expired before the first byte was written.
var errGrantExpired = errors.New("grant lapsed before the send")

// countedConn counts the bytes written to a connection and checks the answers that are read from it.
type countedConn struct {
	net.Conn
	written atomic.Int64
	// valid, if set, is called once before the first byte of a request is written.
	valid   atomic.Pointer[func() bool]
	mu      sync.Mutex
	scanner scanner.Scanner
}

// begin expects the answer to a request.
func (c *countedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Reset()
}

// Read fails if the head of an answer is malformed.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	scanErr := c.scanner.Scan(p[:n])
	c.mu.Unlock()
	if scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Write counts the bytes before it writes them, so that a failed write is never
// counted as none. The first write of a request fails if its grant has expired.
func (c *countedConn) Write(p []byte) (int, error) {
	if valid := c.valid.Swap(nil); valid != nil && !(*valid)() {
		return 0, errGrantExpired
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// writeTracker records whether an attempt wrote to its connection.
type writeTracker struct {
	// valid reports whether the request may still be sent; may be nil.
	valid func() bool
	conn  atomic.Pointer[countedConn]
	// writtenBefore is the connection's byte count at the start of the attempt;
	// wroteEarlier is true if the attempt wrote to a connection that the transport
	// replaced.
	writtenBefore atomic.Int64
	wroteEarlier  atomic.Bool
}

// withTrace returns ctx with client trace hooks that update w.
func (w *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*countedConn)
			if !ok {
				return
			}
			if w.wrote() {
				w.wroteEarlier.Store(true)
			}
			w.writtenBefore.Store(c.written.Load())
			c.begin()
			if w.valid != nil {
				c.valid.Store(&w.valid)
			}
			w.conn.Store(c)
		},
	})
}

// wrote reports whether any byte may have been written for the attempt, on its
// current connection or on an earlier one that the transport replaced.
func (w *writeTracker) wrote() bool {
	if w.wroteEarlier.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.written.Load() > w.writtenBefore.Load()
}

// close closes the attempt's connection, so that nothing more is read from it.
func (w *writeTracker) close() {
	if c := w.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// newTransport returns a transport that counts the bytes written to each
// connection. With disableKeepAlives each request has its own connection.
func newTransport(dial func(context.Context, string, string) (net.Conn, error), disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetKeepAliveConfig(keepAliveConfig)
			}
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      disableKeepAlives,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
