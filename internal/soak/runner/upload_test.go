package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/formatter"
)

// TestUnreadUpload guards against a part of an answer without a length being passed on as whole, if its
// endpoint closes the connection while the body of the request is unread.
func TestUnreadUpload(t *testing.T) {
	c := qt.New(t)
	const (
		requests = 100
		together = 8
	)
	var (
		pause atomic.Int64
		reset atomic.Bool
	)
	r := openRaw(c, &rawEndpoint{answer: func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+formatter.ID+": "+r.Header.Get(formatter.ID)+"\r\n"+formatter.Seal+": seal\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n")
		time.Sleep(time.Duration(pause.Load()))
		if reset.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}})
	c.Assert(r.served("before"), qt.IsTrue)
	ends := []struct {
		name  string
		pause time.Duration
		reset bool
	}{{"at once", 0, false}, {"after 2 ms", 2 * time.Millisecond, false}, {"by a reset after 1 ms", time.Millisecond, true}}
	for _, end := range ends {
		for _, path := range []string{"/call0/", "/draft0/"} {
			for _, size := range []int{20_000, 100_000, 1_000_000} {
				pause.Store(int64(end.pause))
				reset.Store(end.reset)
				name := fmt.Sprintf("%s%d bytes, closed %s", path, size, end.name)
				var (
					sending sync.WaitGroup
					answers atomic.Int64
				)
				for i := range together {
					sending.Go(func() {
						for n := i; n < requests; n += together {
							if status, whole := r.call(path, name[1:5]+strconv.Itoa(n)+"-"+strconv.Itoa(size)+end.name[:2], size); whole && status == http.StatusOK {
								answers.Add(1)
							}
						}
					})
				}
				sending.Wait()
				c.Check(answers.Load(), qt.Equals, int64(0), qt.Commentf("%s", name))
			}
		}
	}
	c.Check(r.served("after"), qt.IsTrue)
}
