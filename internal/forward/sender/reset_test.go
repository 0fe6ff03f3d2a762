package sender_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/sender"
)

// resetServer answers requests on TCP connections before it has read their bodies.
type resetServer struct {
	net.Listener
	// answer is written after the head of each request.
	answer string
	// wait is the time from the answer to the end of the connection.
	wait time.Duration
	// reset sends a reset at once; otherwise the kernel sends one if bytes are left unread.
	reset bool
	// readAll reads the body first, and halfClose ends the answer before the body is read to its end.
	readAll, halfClose bool
}

// run serves connections until the listener is closed.
func (s *resetServer) run() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

func (s *resetServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	buffer := make([]byte, 4<<10)
	n, err := conn.Read(buffer)
	if err != nil {
		return
	}
	head, body, _ := strings.Cut(string(buffer[:n]), "\r\n\r\n")
	var length int64
	for line := range strings.SplitSeq(head, "\r\n") {
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
	}
	left := length - int64(len(body))
	if s.readAll {
		_, _ = io.CopyN(io.Discard, conn, left)
	}
	_, _ = io.WriteString(conn, s.answer)
	time.Sleep(s.wait)
	switch {
	case s.halfClose:
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, left)
	case s.reset:
		_ = conn.SetLinger(0)
	}
}

// TestReset guards against a part of an answer without a length being taken for all of it, if its
// connection is reset while the request is still being written: the write takes the error, and the
// read that comes after it meets a plain end.
func TestReset(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nthe first part"
		framed   = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 14\r\n\r\nthe first part"
		refusal  = "HTTP/1.1 413 Too Large\r\nId: r1\r\n\r\nthe first part"
		requests = 25
	)
	sizes := []int{20_000, 100_000, 1_000_000, 4_000_000}
	tests := []struct {
		name   string
		server resetServer
		// whole is true if the answer is whole.
		whole bool
	}{
		{"closed at once", resetServer{answer: unframed}, false},
		{"closed later", resetServer{answer: unframed, wait: 2 * time.Millisecond}, false},
		{"reset", resetServer{answer: unframed, wait: time.Millisecond, reset: true}, false},
		{"failure, closed at once", resetServer{answer: refusal}, false},
		{"length, closed at once", resetServer{answer: framed, wait: 2 * time.Millisecond}, true},
		{"body read, closed", resetServer{answer: unframed, readAll: true}, true},
		{"ended, body read later", resetServer{answer: unframed, halfClose: true}, true},
	}
	for _, test := range tests {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d bytes", test.name, size), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				server := test.server
				server.Listener = ln
				go server.run()
				defer ln.Close()
				s := &sender.Sender{EndpointProtocol: testProtocol{}}
				whole := 0
				for range requests {
					if readWhole(s, ln.Addr().String(), size) {
						whole++
					}
				}
				if test.whole {
					c.Check(whole, qt.Equals, requests)
				} else {
					c.Check(whole, qt.Equals, 0)
				}
				c.Check(s.Close(), qt.IsNil)
			})
		}
	}
}

// readWhole sends a request with a body of some bytes, and reports whether a whole answer came.
func readWhole(s *sender.Sender, addr string, size int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := s.Send(ctx, &sender.Call{
		Host: &samphireturn.Host{ID: "h", Addr: addr}, ID: "r1", Method: "POST", Target: "/p", Authority: "site", Header: http.Header{}, Body: make([]byte, size),
	})
	if err != nil {
		return false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return err == nil && string(data) == "the first part"
}
