package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// call is a request of a client.
type call struct {
	id, method, path string
	header           map[string]string
	body             string
	deadline         time.Duration
}

// result is what a client saw of the answer to a call.
type result struct {
	status int
	header http.Header
	body   string
	// whole is true if the answer ended as its head announced. err is why there is none or why it is
	// not whole.
	whole bool
	err   error
	// last is true if the daemon closes the connection after the answer.
	last bool
	took time.Duration
}

// newID returns an id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// text returns the request as it is sent.
func (c *call) text() string {
	text := c.method + " " + c.path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + c.id + "\r\nDeadline-Ms: " +
		strconv.FormatInt(c.deadline.Milliseconds(), 10) + "\r\nAuthorization: Bearer " + key + "\r\n"
	for name, value := range c.header {
		text += name + ": " + value + "\r\n"
	}
	if c.body != "" || c.method == http.MethodPost {
		text += "Content-Length: " + strconv.Itoa(len(c.body)) + "\r\n"
	}
	return text + "\r\n" + c.body
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to a daemon.
func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// send sends a call on the connection and reads the answer.
func (c *conn) send(k *call) (r result) {
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(k.deadline + 2*time.Second))
	if _, err := io.WriteString(c, k.text()); err != nil {
		return result{err: err}
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: k.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(body), whole: err == nil, err: err, last: res.Close}
}

// send sends a call on a connection of its own.
func send(address string, k *call) result {
	c, err := dial(address)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	return c.send(k)
}
