package receiver_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// TestSteps checks that engines see a distinct id for each step of a cascade while
// the caller sees one, and that the throughput of engines is learned.
func TestSteps(t *testing.T) {
	tests := []struct {
		name    string
		quality float64 // of the cheaper engines
		stream  bool
		want    int // runs of the expensive engine
	}{
		{"cheap released", 0.99, false, 0},
		{"cheap released as a stream", 0.99, true, 0},
		{"expensive", 0.01, false, 1},
		{"expensive as a stream", 0.01, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				for _, id := range []string{"engine1", "engine2"} {
					s.engines[id].Quality = tt.quality
				}
				status, h, answer, err := s.north.Do(context.Background(), http.MethodPost, chatPath, chat("draft", "9", tt.stream), "Authorization", bearer)
				s.c.Assert(err, qt.IsNil)
				s.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
				id := h.Get("Samphire-Request")
				s.c.Check(s.runs(id+".1"), qt.Equals, 1)
				s.c.Check(s.runs(id), qt.Equals, tt.want)
				s.c.Check(answer, qt.Contains, `"id":"`+id+`"`)
				s.c.Check(answer, qt.Not(qt.Contains), id+".")
				var whole struct{ Usage map[string]int }
				s.c.Check(tt.stream || json.Unmarshal([]byte(answer), &whole) == nil && whole.Usage != nil, qt.IsTrue)
				learned := 0
				for _, e := range s.north.Kernel.Snapshot().Endpoints {
					if throughput, _ := e.Quota.Throughput.Estimate(); throughput > 0 {
						learned++
					}
				}
				s.c.Check(learned, qt.Equals, 1+tt.want)
				s.end()
			})
		})
	}
}
