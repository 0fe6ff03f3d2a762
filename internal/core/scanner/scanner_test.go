package scanner_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/core/scanner"
)

const final = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"

// TestScan checks which heads are allowed, however the bytes come.
func TestScan(t *testing.T) {
	tests := []struct {
		name, head string
		malformed  bool
	}{
		{"whole", final, false},
		{"line feeds alone", "HTTP/1.1 200 OK\nA: b\n\n", false},
		{"no reason", "HTTP/1.1 200\r\n\r\n", false},
		{"no reason, line feeds alone", "HTTP/1.1 200\n\n", false},
		{"earlier version", "HTTP/1.0 404 Not Found\r\n\r\n", false},
		{"tab and bytes above ASCII", "HTTP/1.1 200 \xc3\xa4\r\nA:\tb \xff\r\n\r\n", false},
		{"body of any bytes", final + "\x00\r\r\n\n", false},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + final, false},
		{"interim answer, then a body", "HTTP/1.1 100 Continue\r\n\r\nbody", true},
		{"no status", "HTTP/1.1 000 None\r\n\r\n", true},
		{"status above the classes", "HTTP/1.1 600 None\r\n\r\n", true},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", true},
		{"sign", "HTTP/1.1 +20 OK\r\n\r\n", true},
		{"four digits", "HTTP/1.1 2000 OK\r\n\r\n", true},
		{"later version", "HTTP/2.0 200 OK\r\n\r\n", true},
		{"two digits of the version", "HTTP/1.10 200 OK\r\n\r\n", true},
		{"two blanks", "HTTP/1.1  200 OK\r\n\r\n", true},
		{"line feed first", "\nHTTP/1.1 200 OK\r\n\r\n", true},
		{"carriage return in the reason", "HTTP/1.1 200 O\rK\r\n\r\n", true},
		{"NUL in the reason", "HTTP/1.1 200 O\x00K\r\n\r\n", true},
		{"all bytes of names", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ:\r\n\r\n", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", true},
		{"blank after a name", "HTTP/1.1 200 OK\r\nA : c\r\n\r\n", true},
		{"blank before a name", "HTTP/1.1 200 OK\r\n A: c\r\n\r\n", true},
		{"folded line", "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n", true},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n", true},
		{"byte above ASCII in a name", "HTTP/1.1 200 OK\r\nA\x80: b\r\n\r\n", true},
		{"bytes beside the letters in a name", "HTTP/1.1 200 OK\r\nA@: b\r\n\r\n", true},
		{"bracket in a name", "HTTP/1.1 200 OK\r\nA[: b\r\n\r\n", true},
		{"no name", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", true},
		{"no colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n", true},
		{"field of an interim answer", "HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\n" + final, true},
		{"length", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\nX-Transfer-Encoding: a\r\nTransfer-Encodings: a\r\n\r\n", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Lengths: 1\r\nX-Content-Length: 1\r\n\r\n", false},
		{"chunks of an earlier version", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"length and chunks", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\nTRANSFER-ENCODING: chunked\r\n\r\n", true},
		{"chunks and length, interim answer", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n" + final, true},
		{"length of an interim answer", "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"DEL in a value", "HTTP/1.1 200 OK\r\nA: \x7f\r\n\r\n", true},
		{"carriage return before the end", "HTTP/1.1 200 OK\r\nA: b\r\n\r\r\n", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s scanner.Scanner
			whole := s.Scan([]byte(test.head))
			c.Check(whole != nil, qt.Equals, test.malformed)
			c.Check(s.Scan([]byte(final)) != nil, qt.Equals, test.malformed, qt.Commentf("after it"))
			s.Reset()
			c.Check(scanBytes(&s, test.head), qt.Equals, test.malformed)
			s.Reset()
			c.Check(s.Scan([]byte(final)), qt.IsNil)
		})
	}
}

// scanBytes scans a head byte by byte and reports whether it is malformed.
func scanBytes(s *scanner.Scanner, head string) bool {
	for _, b := range []byte(head) {
		if s.Scan([]byte{b}) != nil {
			return true
		}
	}
	return false
}

// TestScanError checks what the error says.
func TestScanError(t *testing.T) {
	c := qt.New(t)
	err := new(scanner.Scanner).Scan([]byte(strings.Repeat("x", 10)))
	c.Check(err, qt.ErrorMatches, "read head: malformed")
	c.Check(err.(*scanner.Error).Kind, qt.Equals, scanner.KindMalformed)
}

// TestUnframed checks which answers end with their connection.
func TestUnframed(t *testing.T) {
	tests := []struct {
		name, head string
		want       bool
	}{
		{"neither", final, true},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\n" + final, true},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", false},
		{"chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", false},
		{"within the head", "HTTP/1.1 200 OK\r\nA: b\r\n", false},
		{"no answer yet", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s scanner.Scanner
			c.Assert(s.Scan([]byte(test.head)), qt.IsNil)
			c.Check(s.Unframed(), qt.Equals, test.want)
		})
	}
}

// TestCost checks that long lines and many fields cost more than they have bytes, and a body nothing.
func TestCost(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, head string
		least      int64
	}{
		{"long line", line + "A: " + strings.Repeat("b", 10_000), 30_000},
		{"many fields", line + strings.Repeat("A:\r\n", 1000), 300_000},
		{"long name", line + strings.Repeat("A", 10_000), 30_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s scanner.Scanner
			c.Assert(s.Scan([]byte(test.head)), qt.IsNil)
			c.Check(s.Cost() >= test.least, qt.IsTrue, qt.Commentf("%d", s.Cost()))
			s.Reset()
			c.Assert(s.Scan([]byte(final+test.head)), qt.IsNil)
			c.Check(s.Cost() < 1000, qt.IsTrue, qt.Commentf("%d", s.Cost()))
		})
	}
}

// ended reports whether the head has ended: no other state allows a NUL. It takes a copy.
func ended(s scanner.Scanner) bool { return s.Scan([]byte{0}) == nil }

// FuzzScan checks that a parser agrees on where a head ends that the scanner allows, and that it
// finds no other fields in it than those with names that are allowed.
func FuzzScan(f *testing.F) {
	for _, seed := range []string{
		final, "HTTP/1.0 404 \r\n\r\n", "HTTP/1.1 200\nA:\n\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + final,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 000 None\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s scanner.Scanner
		end := 0
		for ; end < len(data) && !ended(s); end++ {
			if s.Scan(data[end:end+1]) != nil {
				return
			}
		}
		if !ended(s) {
			return
		}
		source := bytes.NewReader(data[:end])
		reader := bufio.NewReader(source)
		for {
			res, err := http.ReadResponse(reader, nil)
			if errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("%q: the parser reads on", data[:end])
			}
			if err != nil {
				// It may refuse more, such as two lengths.
				return
			}
			for name := range res.Header {
				if strings.ContainsAny(name, " \t\r\n\x00") {
					t.Fatalf("%q: field %q", data[:end], name)
				}
			}
			if res.StatusCode >= http.StatusOK {
				break
			}
		}
		if left := reader.Buffered() + source.Len(); left > 0 {
			t.Fatalf("%q: the parser leaves %d bytes", data[:end], left)
		}
	})
}
