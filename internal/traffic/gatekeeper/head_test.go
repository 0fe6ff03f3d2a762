package gatekeeper

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/core/accountant"
)

// TestMeter guards against heads that take memory before there is a request, whether or not they end, and
// against bodies that are counted as heads.
func TestMeter(t *testing.T) {
	const (
		lines = 2000
		plain = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	)
	var fields strings.Builder
	for i := range lines {
		fmt.Fprintf(&fields, "x%d:\r\n", i)
	}
	body := strings.Repeat("x\n", lines)
	long := "GET / HTTP/1.1\r\nHost: x\r\n" + fields.String()
	tests := []struct {
		name string
		// sent is what the caller sends, and statuses what it gets.
		sent     string
		statuses []int
	}{
		{"usual heads", plain + plain, []int{200, 200}},
		{"lines in a body whose head came with the request before", plain + fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 20*len(body), strings.Repeat(body, 20)), []int{200, 200}},
		{"lines in a body", fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body), []int{200}},
		{"many fields", long + "\r\n", []int{503}},
		{"many fields without an end", long, []int{503}},
		{"one long field without an end", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 60<<10), []int{503}},
		{"few fields without an end", "GET / HTTP/1.1\r\nHost: x\r\n", nil},
	}
	for _, test := range tests {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, after another request %t", test.name, after), func(t *testing.T) {
				c := qt.New(t)
				account := &accountant.Accountant{Capacity: 8*accountant.FieldBytes + freeHeadBytes}
				g := &Gatekeeper{Capacity: 10, Account: account, Clock: func() time.Duration { return 0 }}
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				s := &http.Server{ConnState: g.Observe, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
				})}
				done := make(chan error, 1)
				go func() { done <- s.Serve(g.Listen(l)) }()
				conn, err := net.Dial("tcp", l.Addr().String())
				c.Assert(err, qt.IsNil)
				c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
				reader := bufio.NewReader(conn)
				status := func() int {
					res, err := http.ReadResponse(reader, nil)
					c.Assert(err, qt.IsNil)
					_, err = io.Copy(io.Discard, res.Body)
					c.Check(err, qt.IsNil)
					c.Check(res.StatusCode == http.StatusOK || res.Header.Get("Retry-After") != "" && res.Close, qt.IsTrue)
					return res.StatusCode
				}
				if after {
					_, err = io.WriteString(conn, plain)
					c.Assert(err, qt.IsNil)
					c.Check(status(), qt.Equals, http.StatusOK)
				}
				_, err = io.WriteString(conn, test.sent)
				c.Assert(err, qt.IsNil)
				for _, want := range test.statuses {
					c.Check(status(), qt.Equals, want)
				}
				c.Check(account.Held() <= account.Capacity, qt.IsTrue)
				c.Check(conn.Close(), qt.IsNil)
				c.Check(s.Shutdown(t.Context()), qt.IsNil)
				c.Check(<-done, qt.Equals, http.ErrServerClosed)
				for end := time.Now().Add(5 * time.Second); account.Held() != 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				c.Check(account.Held(), qt.Equals, int64(0))
			})
		}
	}
}
