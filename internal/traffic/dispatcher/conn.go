package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"samphireturn/internal/core/prober"
	"samphireturn/internal/core/scanner"
)

// keepAliveConfig detects dead TCP connections within 8 s.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 64
	maxHeaderBytes = 64 << 10
	// flushTime is ample for the transport to flush its buffer, which it does just after it has
	// reported that the request was written.
	flushTime = time.Millisecond
)

// errGrantExpired means that the grant expired before the first byte was written.
var errGrantExpired = errors.New("grant lapsed before the send")

// errUndelivered is the error of an answer that ends with its connection before its request was
// delivered: it may have been broken off by what kept the request from that.
var errUndelivered = errors.Wrap(io.ErrUnexpectedEOF, "request not delivered to its end")

// countedConn counts the bytes written to a connection and checks the answers that are read from it.
type countedConn struct {
	scanner.Conn
	written     atomic.Int64
	writeFailed atomic.Bool
	// valid, if set, is called once before the first byte of a request is written.
	valid atomic.Pointer[func() bool]
	// closed is closed when the connection is.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// write is the write of the request; nil if it is not known.
	write *requestWrite
}

// requestWrite is the write of one request.
type requestWrite struct {
	// done is closed once err is set, the result.
	done chan struct{}
	once sync.Once
	err  error
}

// end records the result of the write.
func (w *requestWrite) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// begin expects the answer to a request that is written now.
func (c *countedConn) begin() {
	c.Expect()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = &requestWrite{done: make(chan struct{})}
}

// endWrite records that the request was written, or why it was not.
func (c *countedConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.write != nil {
		c.write.end(err)
	}
}

// Read fails as that of scanner.Conn, and if the end of the connection may be due to a failure to
// deliver the request.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) || !c.Unframed() {
		return n, err
	}
	c.mu.Lock()
	write := c.write
	c.mu.Unlock()
	if write != nil && !c.delivered(write) {
		err = errUndelivered
	}
	return n, err
}

// delivered waits until a request was delivered or the connection has failed, and reports which.
func (c *countedConn) delivered(w *requestWrite) bool {
	select {
	case <-w.done:
		time.Sleep(flushTime)
		return w.err == nil && !c.writeFailed.Load() && prober.Acknowledged(c.Conn.Conn)
	case <-c.closed:
		return false
	}
}

// Write counts the bytes before it writes them, so that a failed write is never
// counted as none. The first write of a request fails if its grant has expired.
func (c *countedConn) Write(p []byte) (int, error) {
	if valid := c.valid.Swap(nil); valid != nil && !(*valid)() {
		return 0, errGrantExpired
	}
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
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
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := w.conn.Load(); c != nil {
				c.endWrite(info.Err)
			}
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
			return &countedConn{Conn: scanner.Conn{Conn: c}, closed: make(chan struct{})}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      disableKeepAlives,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
