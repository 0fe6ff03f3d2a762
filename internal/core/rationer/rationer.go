// Package rationer bounds the memory that answers hold together while they are read.
//
// Each answer may hold a little without asking. What it holds beyond that comes from a common
// stock, so that many answers without end can't take more than that, and sound ones, which
// are small, don't need it. Nobody waits for the stock: who gets nothing gives the answer up, or
// goes on without keeping it.
package rationer

import (
	"expvar"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"samphireturn/internal/core/accountant"
)

const (
	// freeBytes is what each answer may hold without asking.
	freeBytes = 16 << 10
	// firstBytes is the size of the first buffer of ReadAll.
	firstBytes = 512
	// memoryShare is the part of a process's memory that answers may hold together.
	memoryShare = 0.125
)

var (
	heldBytes = expvar.NewInt("rationer_held")
	refused   = expvar.NewInt("rationer_refused")
)

type (
	// Rationer is safe for concurrent use. Nil bounds nothing.
	Rationer struct {
		// Capacity bounds the bytes that all shares hold beyond what each may; 0 means no bound. Set
		// it before the first use.
		Capacity int64
		// Account counts them too, and may have less room; nil bounds nothing.
		Account *accountant.Accountant

		mu   sync.Mutex
		held int64
	}

	// Share is what one answer holds. The zero value bounds nothing. It is for one goroutine at a time.
	Share struct {
		Rationer *Rationer
		// held is what it has of the common stock.
		held int64
	}
)

// CapacityOf returns the Capacity for a process that may use some bytes of memory.
func CapacityOf(memory int64) int64 { return int64(memoryShare * float64(memory)) }

// Held returns the bytes that all shares hold of the common stock.
func (r *Rationer) Held() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// take takes bytes from the stock, or gives them back, and reports whether there are enough.
func (r *Rationer) take(size int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if size > 0 && (r.Capacity > 0 && r.held+size > r.Capacity || !r.Account.Take(accountant.Answer, 0, size)) {
		refused.Add(1)
		return false
	}
	if size < 0 {
		r.Account.Give(-size)
	}
	r.held += size
	heldBytes.Add(size)
	return true
}

// Hold makes the share one of size bytes, and reports whether there is room for them. If not, it
// stays as it is.
func (s *Share) Hold(size int64) bool {
	beyond := max(size-freeBytes, 0)
	if beyond != s.held && !s.Rationer.take(beyond-s.held) {
		return false
	}
	s.held = beyond
	return true
}

// Release gives all of the share back.
func (s *Share) Release() { s.Hold(0) }

// Append appends data to the only buffer of the share, and reports whether there was room. If not, the
// buffer is returned as it was.
func (s *Share) Append(buffer, data []byte) ([]byte, bool) {
	if len(buffer)+len(data) <= cap(buffer) {
		return append(buffer, data...), true
	}
	grown, ok := s.grow(buffer, max(2*cap(buffer), len(buffer)+len(data)))
	if !ok {
		return buffer, false
	}
	return append(grown, data...), true
}

// Discard drops the first bytes of the only buffer of the share, and its room if it needs little now.
func (s *Share) Discard(buffer []byte, size int) []byte {
	rest := buffer[size:]
	if cap(buffer) > freeBytes && len(rest) <= freeBytes {
		rest = append([]byte(nil), rest...)
		s.Hold(int64(cap(rest)))
		return rest
	}
	return append(buffer[:0], rest...)
}

// ReadAll reads src to its end, or until limit bytes have come or there is no room for more, and reports
// whether it was the end. The data are the only buffer of the share.
func (s *Share) ReadAll(src io.Reader, limit int) (data []byte, ended bool, err error) {
	for len(data) < limit {
		if len(data) == cap(data) {
			grown, ok := s.grow(data, min(max(2*cap(data), firstBytes), limit))
			if !ok {
				return data, false, nil
			}
			data = grown
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
	return data, false, nil
}

// grow returns a buffer of a greater size with the same bytes, and reports whether there is room for it
// beside the one before.
func (s *Share) grow(buffer []byte, size int) ([]byte, bool) {
	if !s.Hold(int64(cap(buffer) + size)) {
		return nil, false
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return grown, s.Hold(int64(size))
}
