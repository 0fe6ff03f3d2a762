package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Names of the small deployment.
const (
	host    = "desk.example"
	plain   = "taquilla"
	key     = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
	unsafeP = "/book/"
	safeP   = "/look/"
	streamP = "/draft/"
	llm     = "farol"
)

// Config returns a configuration with routes of all kinds.
func Config(version int) map[string]any {
	route := func(name, prefix, kind, backend string, timeout, goal, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "goalMs": goal, "priority": 2,
			"backend": backend, "attempts": attempts, "noAuth": false, "resumable": kind == "streaming", "gapAimMs": map[bool]int{true: 2000}[kind == "streaming"],
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-book", unsafeP, "unsafe", plain, 1500, 300, 1),
			route("r-look", safeP, "safe", plain, 1500, 300, 2),
			route("r-draft", streamP, "streaming", llm, 25000, 4000, 3),
		},
		"backends": []any{
			map[string]any{"name": plain, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
			map[string]any{"name": llm, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
				"engine": map[string]any{"slots": 64, "kvCapacity": 385313, "models": []any{}}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	}
}

// Auth is the header line of the tenant's key.
const Auth = "Authorization: Bearer " + key

// Plain answers a request after work with a small body.
func Plain(work time.Duration) func(*Server, net.Conn, *http.Request, []byte) bool {
	return func(s *Server, c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		body := "answer to " + r.Header.Get("Attempt-Id")
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", s.Seal(r), len(body), body)
		return err == nil
	}
}

// Setup starts a fleet of n daemons in three zones and plain servers.
func Setup(dir string, n, servers int, extra map[string]string, serve func(*Server, net.Conn, *http.Request, []byte) bool, onRun func(*Server, *http.Request, []byte)) (*Fleet, []*Server, error) {
	zones := []string{"mvd-centro", "mvd-prado", "mvd-carrasco"}
	f, err := NewFleet(dir, n, zones, extra)
	if err != nil {
		return nil, nil, err
	}
	f.Store.Put("config", "main", Config(7))
	var list []*Server
	for i := range servers {
		s, err := NewServer(f.Store, fmt.Sprintf("i-%04x", 0x1a00+i), plain, zones[i%3], "v1", 6)
		if err != nil {
			return nil, nil, err
		}
		s.Serve, s.OnRun = serve, onRun
		list = append(list, s)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			for _, s := range list {
				s.Heartbeat(f.Store)
			}
		}
	}()
	return f, list, nil
}

// AddEngines starts engines.
func (f *Fleet) AddEngines(n, slots int, serve func(*Server, net.Conn, *http.Request, []byte) bool, onRun func(*Server, *http.Request, []byte)) error {
	for i := range n {
		s, err := NewServer(f.Store, fmt.Sprintf("i-%04x", 0x2b00+i), llm, f.Zones[i%len(f.Zones)], "v1", slots)
		if err != nil {
			return err
		}
		s.Serve, s.OnRun = serve, onRun
		go func() {
			for range time.Tick(1200 * time.Millisecond) {
				s.Heartbeat(f.Store)
			}
		}()
	}
	return nil
}
