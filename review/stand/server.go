package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in of a server of a service. It answers one request at a time on a
// connection and checks Expect-Instance. Serve, if set, answers the requests that it runs.
type Server struct {
	ID, Backend, Zone, Version, Addr string
	Slots                            int
	Serve                            func(s *Server, c net.Conn, r *http.Request, body []byte) (keep bool)
	// OnRun is called when the server begins to run a request.
	OnRun func(s *Server, r *http.Request, body []byte)

	mu      sync.Mutex
	running int
	l       net.Listener
	born    int64
	seq     int
	// leaving is true once the server drains, stopped once it has ended.
	leaving, stopped bool
	conns            map[net.Conn]bool
}

// NewServer starts a server and registers it.
func NewServer(store *Store, id, backend, zone, version string, slots int) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Backend: backend, Zone: zone, Version: version, Addr: l.Addr().String(), Slots: slots, l: l, conns: make(map[net.Conn]bool), born: time.Now().UnixMilli()}
	go s.accept()
	s.Heartbeat(store)
	return s, nil
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.ID)
			continue
		}
		s.mu.Lock()
		full := s.running >= s.Slots*4
		if !full {
			s.running++
		}
		running := s.running
		s.mu.Unlock()
		if full {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", id, running, s.Slots)
			continue
		}
		if s.OnRun != nil {
			s.OnRun(s, r, body)
		}
		keep := s.Serve(s, c, r, body)
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		if !keep {
			return
		}
	}
}

// Seal returns the head lines that each answer of a server bears.
func (s *Server) Seal(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("Attempt-Id: %s\r\nServer-Seal: %s.%s\r\nServer-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\n", r.Header.Get("Attempt-Id"), s.ID, r.Header.Get("Attempt-Id"), s.running, s.Slots)
}

// Heartbeat writes the server's entry.
func (s *Server) Heartbeat(store *Store) {
	s.mu.Lock()
	s.seq++
	seq, state, stopped := s.seq, "ready", s.stopped
	if s.leaving {
		state = "draining"
	}
	s.mu.Unlock()
	if stopped {
		return
	}
	store.Put("servers", s.ID, map[string]any{
		"backend": s.Backend, "address": s.Addr, "zone": s.Zone, "version": s.Version, "slots": s.Slots, "state": state,
		"coldLeftMs": 0, "seq": seq, "born": s.born,
	})
}

// Leave makes the server say that it drains; it goes on serving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Stop ends the server at once, without draining, and removes its entry.
func (s *Server) Stop(store *Store) {
	s.mu.Lock()
	s.stopped = true
	_ = s.l.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	store.Remove("servers", s.ID)
}
