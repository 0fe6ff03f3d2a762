package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

// rawEndpoint serves TCP connections until its listener is closed.
type rawEndpoint struct {
	net.Listener
	// answer is written to each request, with ID in the place of the request's id.
	answer string
	// early is true if it is written before the body is read, and reads true if the body is read
	// after that. The connection is closed then.
	early, reads bool
}

// open listens and returns the endpoint.
func (e *rawEndpoint) open(c *qt.C) *sr.Endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	e.Listener = ln
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return &sr.Endpoint{VM: sr.VM{ID: "e", Addr: ln.Addr().String()}}
}

func (e *rawEndpoint) serve(conn *net.TCPConn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !e.early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(e.answer, "ID", r.Header.Get(dispatcher.HeaderID)))
	if e.reads {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// sendRaw sends a call with a body of some bytes and returns the answer's body, or "" if it failed. The
// call has a dispatcher of its own: the endpoint closes connections without notice, and a later call on
// one of them would fail for that.
func sendRaw(c *qt.C, e *sr.Endpoint, size int, unpooled bool) string {
	d := dispatcher.New(nil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := d.Send(ctx, dispatcher.Call{
		Endpoint: e, ID: "r1", Method: http.MethodPost, Path: "/bookings", Header: http.Header{}, Body: make([]byte, size), NoRetry: unpooled,
	})
	if err != nil {
		return ""
	}
	return string(answer.Body)
}

// TestMalformed guards against answers that are none, or whose end is a guess, being taken.
func TestMalformed(t *testing.T) {
	const line, id, length = "HTTP/1.1 200 OK\r\n", dispatcher.HeaderID + ": ID\r\n", "Content-Length: 6\r\n"
	tests := []struct{ name, answer, want string }{
		{"whole", line + id + length + "\r\nbooked", "booked"},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + line + id + length + "\r\nbooked", "booked"},
		{"no framing", line + id + "\r\nbooked", "booked"},
		{"status 000", "HTTP/1.1 000 None\r\n" + id + length + "\r\nbooked", ""},
		{"status 999", "HTTP/1.1 999 None\r\n" + id + length + "\r\nbooked", ""},
		{"status 000, then an answer", "HTTP/1.1 000 None\r\n" + id + "\r\n" + line + id + length + "\r\nbooked", ""},
		{"another version", "HTTP/9.9 200 OK\r\n" + id + length + "\r\nbooked", ""},
		{"blank in a name", line + id + length + "X Bad: 1\r\n\r\nbooked", ""},
		{"length with a blank", line + id + "Content-Length : 6\r\n\r\nbooked and more", ""},
		{"chunks with a blank", line + id + "Transfer-Encoding : chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n", ""},
		{"chunks and a length", line + id + length + "Transfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n", ""},
		{"HTTP/1.0, chunks", "HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n", ""},
	}
	for _, test := range tests {
		for _, unpooled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unpooled %t", test.name, unpooled), func(t *testing.T) {
				c := qt.New(t)
				e := (&rawEndpoint{answer: test.answer}).open(c)
				for range 2 {
					c.Check(sendRaw(c, e, 10, unpooled), qt.Equals, test.want)
				}
			})
		}
	}
}

// TestReset guards against a part of an answer without a length being taken for all of it, if the
// endpoint closes its connection while the request is still being written.
func TestReset(t *testing.T) {
	const requests = 25
	head := "HTTP/1.1 200 OK\r\n" + dispatcher.HeaderID + ": ID\r\n"
	tests := []struct {
		name     string
		endpoint rawEndpoint
		want     int
	}{
		{"closed", rawEndpoint{answer: head + "\r\nthe first part", early: true}, 0},
		{"length, body read later", rawEndpoint{answer: head + "Content-Length: 14\r\n\r\nthe first part", early: true, reads: true}, requests},
		{"body read", rawEndpoint{answer: head + "\r\nthe first part"}, requests},
	}
	for _, test := range tests {
		for _, size := range []int{20_000, 100_000, 1_000_000, 4_000_000} {
			t.Run(fmt.Sprintf("%s, %d bytes", test.name, size), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				endpoint := test.endpoint
				e := endpoint.open(c)
				whole := 0
				for i := range requests {
					if sendRaw(c, e, size, i%2 == 0) == "the first part" {
						whole++
					}
				}
				c.Check(whole, qt.Equals, test.want)
			})
		}
	}
}
