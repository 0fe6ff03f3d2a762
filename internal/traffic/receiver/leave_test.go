package receiver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/injector"
)

// TestFaultLeave guards against engines that go on with a request whose caller has
// left or whose deadline has passed: the engine must stop at once and its quota be
// freed.
func TestFaultLeave(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		after  time.Duration // when the caller leaves; zero for never
		header []string
	}{
		{"whole, caller leaves", false, time.Second, nil},
		{"stream, caller leaves", true, time.Second, nil},
		{"whole, deadline", false, 0, []string{"Samphire-Deadline", "1"}},
		{"stream, deadline", true, 0, []string{"Samphire-Deadline", "1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				ctx, cancel := context.WithCancel(context.Background())
				if tt.after > 0 {
					time.AfterFunc(tt.after, cancel)
				}
				header := append([]string{"Authorization", bearer}, tt.header...)
				_, _, _, _ = s.north.Do(ctx, http.MethodPost, chatPath, chat("large", "5000", tt.stream), header...)
				time.Sleep(time.Second)
				w := httptest.NewRecorder()
				s.engines["engine3"].ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/report", nil))
				s.c.Check(w.Body.String(), qt.Contains, `"used":0`)
				quota := s.north.Kernel.Snapshot().Endpoints["engine3"].Quota
				s.c.Check(quota.Outstanding.Load(), qt.Equals, int64(0))
				cancel()
				s.faults(injector.Fault{})
				s.end()
			})
		})
	}
}
