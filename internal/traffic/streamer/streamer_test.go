package streamer_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/traffic/streamer"
)

// readAll returns the events of a source and the error that ended it.
func readAll(src io.Reader, limit int) ([]streamer.Event, error) {
	r := streamer.NewReader(src)
	r.MaxEventBytes = limit
	var events []streamer.Event
	for {
		ev, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, ev)
	}
}

// TestReady checks that an event is ready only if it is buffered completely.
func TestReady(t *testing.T) {
	tests := []struct {
		rest string
		want bool
	}{
		{"", false},
		{"data: b\n", false},
		{"id: 2\ndata: b\n\n", true},
		{"data: b\n\ndata", true},
		{": ping\n\n", false},
		{": ping\n\ndata: b\n\n", false},
		{"id: 2\n\n", false},
	}
	for _, tt := range tests {
		r := streamer.NewReader(strings.NewReader("data: a\n\n" + tt.rest))
		_, err := r.Next()
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, r.Ready(), qt.Equals, tt.want, qt.Commentf("%q", tt.rest))
	}
}

// TestNext guards against a truncated stream that is taken for a complete one, and against
// events over the limit.
func TestNext(t *testing.T) {
	tests := []struct {
		name, src string
		want      []string // "id|data"
		err       string
	}{
		{"plain", "id: 1\ndata: a\n\ndata: b\n\n", []string{"1|a", "|b"}, "EOF"},
		{"lines joined", "data: a\ndata: b\n\n", []string{"|a\nb"}, "EOF"},
		{"comments and blanks", ": hi\n\n\n\ndata:a\n\n", []string{"|a"}, "EOF"},
		{"carriage returns", "id: 2\r\ndata: a\r\n\r\n", []string{"2|a"}, "EOF"},
		{"truncated in an event", "data: a\n\ndata: b\n", []string{"|a"}, "read event: unexpected EOF"},
		{"truncated in a line", "data: a\n\nda", []string{"|a"}, "read event: unexpected EOF"},
		{"too long", "data: " + strings.Repeat("x", 200) + "\n\n", nil, "read event: over the limit.*"},
		{"too many lines", strings.Repeat("data: xxxx\n", 30) + "\n", nil, "read event: over the limit.*"},
		{"empty", "", nil, "EOF"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			events, err := readAll(strings.NewReader(tt.src), 100)
			c.Check(err, qt.ErrorMatches, tt.err)
			var got []string
			for _, ev := range events {
				got = append(got, ev.ID+"|"+string(ev.Data))
			}
			c.Check(got, qt.DeepEquals, tt.want)
		})
	}
}

// FuzzNext reads any source at once and byte by byte: both must give the same
// events, none over the limit, and a source that ends inside an event must give an
// error.
func FuzzNext(f *testing.F) {
	const limit = 64
	for _, seed := range []string{
		"id: 1\ndata: {\"id\":\"a\"}\n\ndata: [DONE]\n\n", ": comment\n\ndata: a\ndata: b\n\n", "data: cut", "data\n\n",
		"id: 9\r\ndata: a\r\n\r\n", "\n\n\n", "event: x\nretry: 5\n\n", "data: " + strings.Repeat("y", 100) + "\n\n", "\xff\x00: \n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		whole, err := readAll(strings.NewReader(string(src)), limit)
		slow, slowErr := readAll(iotest.OneByteReader(strings.NewReader(string(src))), limit)
		if len(whole) != len(slow) || err.Error() != slowErr.Error() {
			t.Fatalf("%d events and %v, byte by byte %d and %v", len(whole), err, len(slow), slowErr)
		}
		for i, ev := range whole {
			if string(ev.Data) != string(slow[i].Data) || ev.ID != slow[i].ID {
				t.Fatalf("event %d differs", i)
			}
			if len(ev.Data) > limit+1 {
				t.Fatalf("event of %d bytes", len(ev.Data))
			}
		}
		var e *streamer.Error
		if err != io.EOF && !errors.As(err, &e) {
			t.Fatalf("error %v of another type", err)
		}
		if err == io.EOF && len(src) > 0 && src[len(src)-1] != '\n' {
			t.Fatalf("a truncated line taken for a clean end")
		}
	})
}
