package rationer_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/core/rationer"
)

const capacity = 1 << 20

// TestHold checks what shares may hold together, and that nothing of it is lost.
func TestHold(t *testing.T) {
	const small, half = 10 << 10, capacity / 2
	tests := []struct {
		name string
		// sizes are those of the shares, and held tells which of them there is room for.
		sizes []int64
		held  []bool
	}{
		{"small ones", []int64{small, small, small}, []bool{true, true, true}},
		{"two halves", []int64{half, half, small}, []bool{true, true, true}},
		{"too large", []int64{4 * half, small, half}, []bool{false, true, true}},
		{"no room left", []int64{2 * half, 2 * half, small}, []bool{true, false, true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &rationer.Rationer{Capacity: capacity}
			var shares []*rationer.Share
			for i, size := range test.sizes {
				s := &rationer.Share{Rationer: r}
				shares = append(shares, s)
				c.Check(s.Hold(size), qt.Equals, test.held[i], qt.Commentf("share %d", i))
				c.Check(r.Held() <= capacity, qt.IsTrue)
			}
			for _, s := range shares {
				s.Release()
				s.Release()
			}
			c.Check(r.Held(), qt.Equals, int64(0))
		})
	}
}

// TestReadAll checks where a read ends, and that the share holds its buffer.
func TestReadAll(t *testing.T) {
	tests := []struct {
		name         string
		size, limit  int
		taken        int64
		read         int
		ended, broke bool
	}{
		{"empty", 0, 100, 0, 0, true, false},
		{"short", 99, 100, 0, 99, true, false},
		{"as long as the limit", 100, 100, 0, 100, false, false},
		{"over the limit", 300 << 10, 200 << 10, 0, 200 << 10, false, false},
		{"broken off", 100, 1000, 0, 100, false, true},
		{"small, no room", 8 << 10, 1 << 20, capacity, 8 << 10, true, false},
		{"large, no room", 100 << 10, 1 << 20, capacity, 8 << 10, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &rationer.Rationer{Capacity: capacity}
			others := rationer.Share{Rationer: r}
			c.Assert(others.Hold(test.taken), qt.IsTrue)
			s := rationer.Share{Rationer: r}
			var src io.Reader = bytes.NewReader(make([]byte, test.size))
			if test.broke {
				src = io.MultiReader(src, iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			data, ended, err := s.ReadAll(src, test.limit)
			c.Check(ended, qt.Equals, test.ended)
			c.Check(err != nil, qt.Equals, test.broke)
			if test.taken == 0 {
				c.Check(len(data), qt.Equals, test.read)
			} else {
				c.Check(len(data) >= test.read, qt.IsTrue)
			}
			s.Release()
			others.Release()
			c.Check(r.Held(), qt.Equals, int64(0))
		})
	}
}

// TestAppend checks that a buffer that grows and shrinks holds what it needs.
func TestAppend(t *testing.T) {
	c := qt.New(t)
	r := &rationer.Rationer{Capacity: capacity}
	s := rationer.Share{Rationer: r}
	var (
		buffer []byte
		ok     = true
	)
	block := bytes.Repeat([]byte("x"), 4<<10)
	for ok {
		buffer, ok = s.Append(buffer, block)
		c.Assert(len(buffer) <= capacity, qt.IsTrue)
	}
	c.Check(len(buffer) >= capacity/4, qt.IsTrue)
	c.Check(r.Held() >= capacity/4, qt.IsTrue)
	buffer = s.Discard(buffer, len(buffer)-3)
	c.Check(string(buffer), qt.Equals, "xxx")
	c.Check(r.Held(), qt.Equals, int64(0))
	var unbounded rationer.Share
	buffer, ok = unbounded.Append(buffer, make([]byte, 2*capacity))
	c.Check(ok, qt.IsTrue)
	c.Check(len(buffer), qt.Equals, 2*capacity+3)
}
