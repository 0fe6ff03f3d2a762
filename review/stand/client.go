package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is a client's connection to a daemon.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Dial opens a connection; clients allow it one second.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// NewID returns the id of a client attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Request is a client's request.
type Request struct {
	Method, Path, Host, ID string
	Header                 []string
	Body                   []byte
	Timeout                time.Duration
}

// Send writes a request.
func (c *Conn) Send(r Request) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, r.Host, r.ID, r.Timeout.Milliseconds())
	for _, h := range r.Header {
		b.WriteString(h + "\r\n")
	}
	if r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(c, b.String()); err != nil {
		return err
	}
	_, err := c.Write(r.Body)
	return err
}

// Receive reads an answer to a request with the method until the deadline.
func (c *Conn) Receive(method string, end time.Time) (*http.Response, []byte, error) {
	_ = c.SetReadDeadline(end)
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(res.Body)
	return res, body, err
}
