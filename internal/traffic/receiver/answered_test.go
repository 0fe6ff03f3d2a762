package receiver_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// logLine is the log line of an answered request.
type logLine struct {
	Event, Team, Version, Endpoint, Run, Request string
	Status, Tokens                               int
	First                                        int64 `json:"first_ms"`
	Whole                                        int64 `json:"whole_ms"`
}

// TestAnswered checks that an answered request gets one log line and a refused
// one none.
func TestAnswered(t *testing.T) {
	tests := []struct {
		name    string
		request func(s *site) reply
		want    []logLine
	}{
		{"whole", func(s *site) reply { return s.post(chatPath, chat("large", "9", false)) },
			[]logLine{{Version: "large@v1", Endpoint: "engine3", Run: "yes", Status: 200}}},
		{"stream", func(s *site) reply { return s.post(chatPath, chat("large", "9", true)) },
			[]logLine{{Version: "large@v1", Endpoint: "engine3", Run: "yes", Status: 200}}},
		{"service", func(s *site) reply { return s.post(bookPath, "{}") },
			[]logLine{{Version: "tickets", Endpoint: "tickets1", Run: "yes", Status: 201}}},
		{"refused", func(s *site) reply { return s.post(chatPath, chat("huge", "9", false)) }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var logs bytes.Buffer
				s := newSite(t, &logs)
				r := tt.request(s)
				s.end()
				var got []logLine
				for _, text := range strings.Split(strings.TrimSpace(logs.String()), "\n") {
					var l logLine
					s.c.Assert(json.Unmarshal([]byte(text), &l), qt.IsNil)
					if l.Event != "answered" {
						continue
					}
					s.c.Check(l.Team, qt.Equals, "counter")
					s.c.Check(l.Request, qt.Equals, r.id)
					s.c.Check(l.Tokens > 0, qt.Equals, strings.HasPrefix(l.Version, "large"))
					s.c.Check(l.Whole > 0, qt.Equals, l.Tokens > 0)
					s.c.Check(l.First < l.Whole, qt.Equals, tt.name == "stream")
					s.c.Check(l.First == l.Whole, qt.Equals, tt.name != "stream")
					got = append(got, logLine{Version: l.Version, Endpoint: l.Endpoint, Run: l.Run, Status: l.Status})
				}
				s.c.Check(got, qt.DeepEquals, tt.want)
			})
		})
	}
}
