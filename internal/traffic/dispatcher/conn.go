package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	idlePerHost    = 64
	maxHeaderBytes = 64 << 10
)

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes, so that a failed write is never taken for
// none.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// watch records what one attempt wrote to its connection.
type watch struct {
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

// transport returns a transport that counts written bytes. With fresh set each
// request has a connection of its own.
func transport(dial func(context.Context, string, string) (net.Conn, error), fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
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
