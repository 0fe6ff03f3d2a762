package finisher

import (
	"bytes"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestHandler guards against a handler that writes nothing being taken for a success: net/http sends
// an empty 200 for it, also if it flushes.
func TestHandler(t *testing.T) {
	tests := []struct {
		name  string
		serve func(w http.ResponseWriter)
		// status is that of the answer; zero if there is none.
		status int
		body   string
		// silent is true for handlers that ended by a panic, of which nothing is logged here.
		silent bool
	}{
		{"nothing", func(http.ResponseWriter) {}, 0, "", false},
		{"header fields only", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "0") }, 0, "", false},
		{"flush only", func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }, 0, "", false},
		{"informational status only", func(w http.ResponseWriter) { w.WriteHeader(http.StatusEarlyHints) }, 0, "", false},
		{"empty write only", func(w http.ResponseWriter) { _, _ = w.Write(nil) }, 0, "", false},
		{"empty copy only", func(w http.ResponseWriter) { _, _ = io.Copy(w, strings.NewReader("")) }, 0, "", false},
		{"full duplex only", func(w http.ResponseWriter) { _ = http.NewResponseController(w).EnableFullDuplex() }, 0, "", false},
		{"panic", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 0, "", true},
		{"status", func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }, 204, "", false},
		{"status after an informational one", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusNotFound)
		}, 404, "", false},
		{"body", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "text") }, 200, "text", false},
		{"copied body", func(w http.ResponseWriter) { _, _ = io.Copy(w, strings.NewReader("text")) }, 200, "text", false},
		{"flushed parts", func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "text")
			_, _ = w.Write(nil)
			_ = http.NewResponseController(w).Flush()
		}, 200, "text", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			before := count(test.name)
			h := &Handler{Name: test.name, Log: zerolog.New(&log), Serve: func(w http.ResponseWriter, _ *http.Request) End {
				test.serve(w)
				return End{ID: "r1", Err: errors.New("last error")}
			}}
			s := httptest.NewServer(h)
			res, err := s.Client().Get(s.URL)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(res.Body)
				c.Check(res.StatusCode, qt.Equals, test.status)
				c.Check(string(body), qt.Equals, test.body)
			}
			s.Close()
			c.Check(err == nil, qt.Equals, test.status != 0)
			if test.status != 0 || test.silent {
				c.Check(log.String(), qt.Equals, "")
				c.Check(count(test.name), qt.Equals, before)
				return
			}
			var line map[string]string
			c.Assert(json.Unmarshal(log.Bytes(), &line), qt.IsNil)
			c.Check(line, qt.DeepEquals, map[string]string{"level": "error", "event": "unanswered", "id": "r1", "handler": test.name, "error": "last error"})
			c.Check(count(test.name), qt.Equals, before+1)
		})
	}
}

// count returns the number of unanswered requests of a handler.
func count(name string) int64 {
	if n, ok := unanswered.Get(name).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}
