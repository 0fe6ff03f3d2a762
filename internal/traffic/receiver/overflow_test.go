package receiver_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	sr "samphireturn"
	"samphireturn/internal/standin/injector"

	qt "github.com/frankban/quicktest"
)

// TestFaultOverflow takes a version's engine out of north, so that requests are
// forwarded to south, and makes the forwarding fail at each step.
func TestFaultOverflow(t *testing.T) {
	request := chat("small@v1", "9", false)
	tests := []struct {
		name   string
		stream bool
		fault  func(s *site)
		// status and run are what the caller receives; south is the number of runs at the
		// southern engine.
		status int
		run    string
		south  int
	}{
		{"whole", false, nil, http.StatusOK, "", 1},
		{"stream", true, nil, http.StatusOK, "", 1},
		{"engine here refuses connections", false, func(s *site) {
			s.Network.Partition(func(_, to string) bool { return to == "engine1:80" })
		}, http.StatusOK, "", 1},
		{"one daemon there refuses connections", false, func(s *site) {
			s.Network.Partition(func(from, to string) bool { return from == "entry1" && to == "entry2:80" })
		}, http.StatusOK, "", 1},
		{"all daemons there refuse connections", false, func(s *site) {
			s.Network.Partition(func(from, to string) bool { return from == "entry1" && (to == "entry2:80" || to == "entry3:80") })
		}, http.StatusServiceUnavailable, "no", 0},
		{"engine there refuses", false, func(s *site) { s.faults(injector.Fault{Refuse: true}) }, http.StatusServiceUnavailable, "no", 0},
		{"hop breaks after the request", false, func(s *site) {
			s.faults(injector.Fault{Delay: 5 * time.Second})
			time.AfterFunc(time.Second, func() {
				s.Network.CloseOpen(func(from, to string) bool {
					return from == "entry1" && strings.HasSuffix(to, ":80") && to != "platform:80"
				})
			})
		}, http.StatusBadGateway, "unknown", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				_, err := s.Daemon(context.Background(), "entry3", "south")
				s.c.Assert(err, qt.IsNil)
				if tt.name != "engine here refuses connections" {
					s.c.Assert(s.Unlist("engine1"), qt.IsNil)
				}
				time.Sleep(2 * settle)
				if tt.fault != nil {
					tt.fault(s)
				}
				body := strings.Replace(request, "false", map[bool]string{true: "true", false: "false"}[tt.stream], 1)
				r := s.post(chatPath, body)
				s.c.Check(r.err, qt.IsNil)
				s.c.Check(r.status, qt.Equals, tt.status, qt.Commentf("%+v", r))
				s.c.Check(r.run, qt.Equals, tt.run)
				if tt.status == http.StatusOK {
					s.c.Check(s.engines["engine4"].RunCount(r.id), qt.Equals, tt.south)
				}
				if r.run == sr.ExecutedNo {
					s.c.Check(s.runs(r.id), qt.Equals, 0)
				}
				s.end()
			})
		})
	}
}

// TestOverflowKeepsVersion guards against forwarding a request without a session
// for another version than the one that was picked here: south lacks that one.
func TestOverflowKeepsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.c.Assert(s.Unlist("engine1"), qt.IsNil)
		time.Sleep(2 * settle)
		for range 60 {
			r := s.post(chatPath, chat("small", "9", false))
			s.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
		}
		s.end()
	})
}
