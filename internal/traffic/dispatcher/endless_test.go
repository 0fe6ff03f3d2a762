package dispatcher_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/core/rationer"
	"samphireturn/internal/traffic/dispatcher"
)

// countingConn counts the bytes that are read from it.
type countingConn struct {
	net.Conn
	read atomic.Int64
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessBodies guards against answers without end that are kept up to their greatest length each,
// however many they are: together they hold a bound, which is given back.
func TestEndlessBodies(t *testing.T) {
	const (
		calls    = 20
		capacity = 4 << 20
		// readAhead is ample for the buffers of a connection.
		readAhead = 128 << 10
	)
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(dispatcher.HeaderID, r.Header.Get(dispatcher.HeaderID))
		block := bytes.Repeat([]byte("x"), 64<<10)
		var err error
		for err == nil {
			_, err = w.Write(block)
		}
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	var (
		mu    sync.Mutex
		conns []*countingConn
		wait  sync.WaitGroup
	)
	d := dispatcher.New(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, &countingConn{Conn: conn})
		return conns[len(conns)-1], nil
	})
	d.Answers = &rationer.Rationer{Capacity: capacity}
	e := &sr.Endpoint{VM: sr.VM{ID: "e", Addr: ln.Addr().String()}}
	for range calls {
		wait.Go(func() {
			_, err := d.Send(context.Background(), dispatcher.Call{Endpoint: e, ID: "r", Method: http.MethodGet, Path: "/", Header: http.Header{}})
			c.Check(dispatcher.AsError(err).Kind, qt.Equals, dispatcher.KindTooLarge)
		})
	}
	wait.Wait()
	c.Check(d.Answers.Held(), qt.Equals, int64(0))
	c.Check(d.Close(), qt.IsNil)
	mu.Lock()
	defer mu.Unlock()
	c.Check(len(conns), qt.Equals, calls)
	for _, conn := range conns {
		c.Check(conn.read.Load() <= capacity+readAhead, qt.IsTrue, qt.Commentf("%d bytes", conn.read.Load()))
	}
}
