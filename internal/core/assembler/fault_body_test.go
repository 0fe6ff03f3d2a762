package assembler_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/starter"
)

// TestFaultStalledBodies guards against callers that stop short of the end of their bodies and keep
// all others out, and against refusals that wait for the rest of a body.
func TestFaultStalledBodies(t *testing.T) {
	const bodyBytes = 1000
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		config, err := os.ReadFile("../../../examples/config.toml")
		c.Assert(err, qt.IsNil)
		s, err := starter.New()
		c.Assert(err, qt.IsNil)
		// Room for four bodies, and for connections without a bound.
		s.MemoryBytes, s.MaxBodyBytes = 16*bodyBytes, bodyBytes
		_, err = s.Apply(ctx, string(config))
		c.Assert(err, qt.IsNil)
		c.Assert(s.Engine("north", &generator.Generator{ID: "engine1", Incarnation: 1, Versions: []string{"small@v1"}}), qt.IsNil)
		d, err := s.Daemon(ctx, "entry1", "north")
		c.Assert(err, qt.IsNil)
		time.Sleep(settleTime)
		open := func(authorization, framing, body string) net.Conn {
			conn, err := s.Network.Dial("caller")(ctx, "tcp", d.VM.Addr)
			c.Assert(err, qt.IsNil)
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: %s\r\n%s\r\n\r\n%s", authorization, framing, body)
			c.Assert(err, qt.IsNil)
			return conn
		}
		status := func(conn net.Conn) int {
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, res.Body)
			c.Check(err, qt.IsNil)
			c.Check(conn.Close(), qt.IsNil)
			return res.StatusCode
		}
		begun := time.Now()
		c.Check(status(open("Bearer nobody", "Content-Length: 1000", "")), qt.Equals, http.StatusUnauthorized)
		c.Check(status(open(bearer, "Content-Length: 1001", "")), qt.Equals, http.StatusRequestEntityTooLarge)
		c.Check(time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(begun)))
		var stalled []net.Conn
		for range 6 {
			stalled = append(stalled, open(bearer, "Content-Length: 1000", strings.Repeat(" ", bodyBytes-10)))
			// One is read before the next comes: each of those that grow together holds two buffers, so
			// that most of them may be refused, and not enough of them stall.
			synctest.Wait()
		}
		chat := `{"model":"small","messages":[{"role":"user","content":"hi"}]}`
		chat += strings.Repeat(" ", bodyBytes-len(chat))
		got, _, body, err := d.Do(ctx, "POST", "/v1/chat/completions", chat, "Authorization", bearer)
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, http.StatusServiceUnavailable)
		c.Check(strings.Contains(body, `"run":"no"`), qt.IsTrue, qt.Commentf("%s", body))
		time.Sleep(1500 * time.Millisecond)
		got, _, body, err = d.Do(ctx, "POST", "/v1/chat/completions", chat, "Authorization", bearer)
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		for _, conn := range stalled {
			// What makes no progress and is in nobody's way ends after the time for reading a request.
			c.Check(status(conn) >= http.StatusBadRequest, qt.IsTrue)
		}
		c.Check(s.Close(), qt.IsNil)
	})
}
