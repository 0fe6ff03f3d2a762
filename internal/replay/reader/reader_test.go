package reader

import (
	"bytes"
	"compress/gzip"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	headerLine  = `{"kind":"trace","trace":{"format":1,"name":"x","seed":1,"daemons":["d"]}}` + "\n"
	requestLine = `{"kind":"request","t":5,"request":{"id":"r","daemon":"d","centre":"c","team":"t","model":"m","prompt":1,"output":1,` +
		`"runs":[{"version":"m@v","rating":0.5,"cost":1,"first":1,"whole":2,"late":0}]}}` + "\n"
)

// TestRead checks that Read accepts a valid trace and names the line and the fault of
// an invalid one, plain or compressed.
func TestRead(t *testing.T) {
	tests := []struct {
		name, text, want string
		line             int
	}{
		{name: "valid", text: headerLine + requestLine},
		{name: "empty", want: "the trace is empty", line: 1},
		{name: "no header", text: requestLine, want: "the first line", line: 1},
		{name: "two headers", text: headerLine + headerLine, want: "the first line", line: 2},
		{name: "other format", text: strings.Replace(headerLine, `"format":1`, `"format":2`, 1), want: "need format 1", line: 1},
		{name: "not JSON", text: headerLine + "hello\n", want: "invalid character", line: 2},
		{name: "unknown key", text: headerLine + strings.Replace(requestLine, `"id"`, `"ident"`, 1), want: "unknown field", line: 2},
		{name: "unknown kind", text: headerLine + `{"kind":"other"}`, want: `kind "other" is unknown`, line: 2},
		{name: "time decreases", text: headerLine + requestLine + strings.Replace(requestLine, `"t":5`, `"t":4`, 1), want: "before the time", line: 3},
		{name: "unknown daemon", text: headerLine + strings.Replace(requestLine, `"daemon":"d"`, `"daemon":"e"`, 1), want: `daemon "e"`, line: 2},
		{name: "no run", text: headerLine + requestLine[:strings.Index(requestLine, `"runs"`)] + `"runs":[]}}`, want: "at least one run", line: 2},
		{name: "bad version", text: headerLine + strings.Replace(requestLine, "m@v", "mv", 1), want: `version "mv"`, line: 2},
		{name: "rating above 1", text: headerLine + strings.Replace(requestLine, "0.5", "1.5", 1), want: "out of range", line: 2},
		{name: "unknown state", text: headerLine + `{"kind":"state","state":{"version":"m@v","state":"gone","share":0}}`, want: `state "gone"`, line: 2},
		{name: "share above 1", text: headerLine + `{"kind":"state","state":{"version":"m@v","state":"live","share":2}}`, want: "share 2", line: 2},
		{name: "outcome without bound", text: headerLine + `{"kind":"expect","expect":{"name":"x","measure":"cost"}}`, want: "a bound", line: 2},
		{name: "load without speed", text: headerLine + `{"kind":"load","load":{"endpoint":"e","centre":"c","versions":[],"lag":1,"budget":1,"queued":0,"speed":0}}`, want: "a speed", line: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var compressed bytes.Buffer
			z := gzip.NewWriter(&compressed)
			_, _ = z.Write([]byte(tt.text))
			c.Assert(z.Close(), qt.IsNil)
			for _, r := range []*bytes.Buffer{bytes.NewBufferString(tt.text), &compressed} {
				trace, err := Read(r)
				if tt.want == "" {
					c.Assert(err, qt.IsNil)
					c.Assert(trace.Lines, qt.HasLen, 1)
					continue
				}
				var e *Error
				c.Assert(errors.As(err, &e), qt.IsTrue)
				c.Assert(e.Line, qt.Equals, tt.line)
				c.Assert(err.Error(), qt.Contains, tt.want)
			}
		})
	}
}
