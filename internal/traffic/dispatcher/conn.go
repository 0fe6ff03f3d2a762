package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// probe finds TCP connections that carry nothing any more within 8 s.
var probe = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	idlePerHost    = 64
	maxHeaderBytes = 64 << 10
)

// errLapsed says that the grant lapsed before the first byte was written.
var errLapsed = errors.New("grant lapsed before the send")

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
	// valid is asked once, before the first byte of a request.
	valid atomic.Pointer[func() bool]
}

// Write counts before it writes, so that a failed write is never taken for
// none. The first write of a request fails if its grant has lapsed.
func (c *countedConn) Write(p []byte) (int, error) {
	if valid := c.valid.Swap(nil); valid != nil && !(*valid)() {
		return 0, errLapsed
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// watch records what one attempt wrote to its connection.
type watch struct {
	// valid reports whether the request may still be sent; may be nil.
	valid   func() bool
	conn    atomic.Pointer[countedConn]
	before  atomic.Int64
	earlier atomic.Bool
}

// trace returns ctx with hooks that fill w.
func (w *watch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*countedConn)
			if !ok {
				return
			}
			if w.wrote() {
				w.earlier.Store(true)
			}
			w.before.Store(c.written.Load())
			if w.valid != nil {
				c.valid.Store(&w.valid)
			}
			w.conn.Store(c)
		},
	})
}

// wrote reports whether any byte may have been written for the attempt, on its
// present connection or on an earlier one that the transport gave up.
func (w *watch) wrote() bool {
	if w.earlier.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.written.Load() > w.before.Load()
}

// close closes the attempt's connection, so that nothing more is read from it.
func (w *watch) close() {
	if c := w.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// transport returns a transport that counts written bytes. With fresh set each
// request has a connection of its own.
func transport(dial func(context.Context, string, string) (net.Conn, error), fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetKeepAliveConfig(probe)
			}
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
