package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	id, server, method, target, body, lastEvent string
	at                                          time.Time
}

// server is a stand-in of a server of the users' protocol.
type server struct {
	id, service, zone, version string
	slots                      int
	listener                   net.Listener
	// act answers a request that is for this server, and reports whether the connection goes on.
	act func(c *exchange) bool

	mu   sync.Mutex
	runs []run
}

// exchange is one request at a server.
type exchange struct {
	server  *server
	conn    net.Conn
	request *http.Request
	body    []byte
}

// addServer starts a server and lists it in the store.
func (f *fleet) addServer(number int, service, zone string, slots int, act func(c *exchange) bool) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:8120", f.serverIP(number)))
	if err != nil {
		return nil, err
	}
	s := &server{id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), service: service, zone: zone, version: "v1", slots: slots, listener: l, act: act}
	go s.accept()
	go s.beat(f)
	return s, nil
}

// beat writes the server's entry about every 1.2 s.
func (s *server) beat(f *fleet) {
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		f.store.put("servers", s.id, map[string]any{
			"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": s.version, "slots": s.slots, "state": "ready",
			"coldLeftMs": 0, "seq": seq, "born": born,
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve serves the requests of a connection one after the other.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c := &exchange{server: s, conn: conn, request: r, body: body}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
			if c.write("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+c.id()+"\r\nInstance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n") != nil {
				return
			}
			continue
		}
		if !s.act(c) {
			return
		}
	}
}

// id returns the request's id.
func (c *exchange) id() string { return c.request.Header.Get("Attempt-Id") }

// note records that the server began to work on the request.
func (c *exchange) note() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	r := c.request
	c.server.runs = append(c.server.runs, run{
		id: c.id(), server: c.server.id, method: r.Method, target: r.RequestURI, body: string(c.body), lastEvent: r.Header.Get("Last-Event-Id"), at: time.Now(),
	})
}

// write writes text to the connection.
func (c *exchange) write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// head returns the head of an answer with more header lines, which may be empty.
func (c *exchange) head(status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\n%s\r\n", status, http.StatusText(status), c.id(), c.seal(), more)
}

// seal returns the signature of the answer to this request.
func (c *exchange) seal() string { return "seal." + c.server.id + "." + c.id() }

// whole writes a whole answer with its length.
func (c *exchange) whole(status int, body string) bool {
	return c.write(c.head(status, "Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n")+body) == nil
}

// cut writes the first half of an answer and closes the connection.
func (c *exchange) cut(status int, body string) bool {
	_ = c.write(c.head(status, "Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n") + body[:len(body)/2])
	return false
}

// eventText returns an event of a stream.
func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// chunk returns a chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// streamHead is the header of a stream.
const streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

// stream sends the events after the last one that the client has, up to a number, and ends the body.
func (c *exchange) stream(events int, gap time.Duration) bool {
	first, _ := strconv.Atoi(c.request.Header.Get("Last-Event-Id"))
	if c.write(c.head(http.StatusOK, streamHead)) != nil {
		return false
	}
	for n := first + 1; n <= events; n++ {
		time.Sleep(gap)
		if c.write(chunk(eventText(c.id(), n))) != nil {
			return false
		}
	}
	return c.write("0\r\n\r\n") == nil
}

// all returns the runs of some servers.
func allRuns(servers []*server) []run {
	var all []run
	for _, s := range servers {
		s.mu.Lock()
		all = append(all, s.runs...)
		s.mu.Unlock()
	}
	return all
}
