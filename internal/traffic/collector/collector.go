// Package collector reads the bodies of requests into memory, within a bound on what all of them
// hold together.
//
// A body holds room for the bytes that have come, whatever length it announces. If room is short, a
// body that has made no progress for some time makes room for others; if there is none, the one
// that asks is refused. So callers that stop short of the end of their bodies, or send them by the byte,
// keep others out for a moment at most, and nobody waits for room that may never come.
package collector

import (
	"container/list"
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"samphireturn/internal/core/accountant"
)

// Kinds of errors.
const (
	// KindTooLong means that the body is longer than allowed.
	KindTooLong Kind = iota
	// KindNoRoom means that other bodies hold all room.
	KindNoRoom
	// KindDropped means that the body made no progress while others needed its room.
	KindDropped
	// KindBroken means that the body could not be read.
	KindBroken
)

const (
	// firstBytes is the least room in bytes that a body with any takes.
	firstBytes = 512
	// smallBytes is the length in bytes up to which a body may use all room. Longer ones leave a
	// part of it, so that a few of them don't keep many small ones out.
	smallBytes = 32 << 10
	largeShare = 0.875
	// spareBodies is the number of bodies of the greatest length for which there is room, however
	// small Capacity is: one that grows holds its former buffer until it has copied it.
	spareBodies = 2
	// progressBytes is the number of bytes that are progress, and stallTime how long a body may make
	// none before it may be dropped.
	progressBytes = 4 << 10
	stallTime     = time.Second
	// memoryShare is the part of a process's memory that bodies may hold together.
	memoryShare = 0.25
)

var (
	heldBytes = expvar.NewInt("collector_held")
	dropped   = expvar.NewInt("collector_dropped")
	refused   = expvar.NewInt("collector_refused")
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of Read.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Collector is safe for concurrent use. Set the exported fields before the first Read.
	Collector struct {
		// Capacity bounds the bytes that all bodies hold; 0 means no bound.
		Capacity int64
		// Account counts them too, and may have less room; nil bounds nothing.
		Account *accountant.Accountant
		// Clock is a monotonic clock.
		Clock func() time.Duration

		mu   sync.Mutex
		held int64
		// reading holds the bodies that are being read, as *Body, the one that has made no progress
		// for longest first.
		reading list.List
	}

	// Body is a request's body in memory. The zero value is an empty one.
	Body struct {
		// Data is the whole body.
		Data []byte

		collector *Collector
		// held is the room that it holds, in bytes.
		held int64
		// place is its element of reading; nil once it has been read or dropped.
		place     *list.Element
		dropped   bool
		interrupt func()
		// marked is the number of bytes that had come at markedAt, the time of its last progress.
		marked   int
		markedAt time.Duration
	}
)

// CapacityOf returns the Capacity for a process that may use some bytes of memory.
func CapacityOf(memory int64) int64 { return int64(memoryShare * float64(memory)) }

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Read reads a body to its end. Announced is its length in bytes, negative if it is not known, and
// limit the greatest that is allowed. Interrupt, which must not block, makes a read of src return at
// once with an error; it is called from another goroutine, and not after Read has returned. The caller must
// call Release on the body. Errors are of type *Error; the body holds no room then.
func (c *Collector) Read(src io.Reader, announced, limit int64, interrupt func()) (*Body, error) {
	if announced > limit {
		return nil, &Error{Op: "read body", Kind: KindTooLong, Err: errors.Errorf("%d bytes announced, %d allowed", announced, limit)}
	}
	if announced == 0 {
		return new(Body), nil
	}
	b := &Body{collector: c, interrupt: interrupt}
	c.begin(b)
	err := b.read(src, announced, limit)
	if b.finish() {
		err = &Error{Op: "read body", Kind: KindDropped, Err: errors.New("no progress while others need its room")}
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// DropStalled drops the body that has made no progress for longest, and reports whether there is
// one that has made none for stallTime.
func (c *Collector) DropStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropStalled()
}

// Held returns the room that all bodies hold, in bytes.
func (c *Collector) Held() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Release gives the room of the body back. Its Data must not be used any more.
func (b *Body) Release() {
	if b == nil || b.collector == nil {
		return
	}
	b.Data = nil
	c := b.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	c.give(b, b.held)
}

// read reads src into Data.
func (b *Body) read(src io.Reader, announced, limit int64) error {
	most := limit
	if announced > 0 {
		most = announced
	}
	for {
		if len(b.Data) == cap(b.Data) {
			if int64(len(b.Data)) == most {
				return b.readEnd(src, limit)
			}
			if err := b.grow(most, limit); err != nil {
				return err
			}
		}
		n, err := src.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		b.mark()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &Error{Op: "read body", Kind: KindBroken, Err: err}
		}
	}
}

// readEnd checks that a body that is as long as it may be ends there.
func (b *Body) readEnd(src io.Reader, limit int64) error {
	var more [1]byte
	n, err := io.ReadFull(src, more[:])
	switch {
	case n > 0:
		return &Error{Op: "read body", Kind: KindTooLong, Err: errors.Errorf("more than %d bytes", limit)}
	case err != io.EOF:
		return &Error{Op: "read body", Kind: KindBroken, Err: err}
	}
	return nil
}

// grow doubles the buffer, up to most bytes. Limit is the greatest length of any body.
func (b *Body) grow(most, limit int64) error {
	before := int64(cap(b.Data))
	size := min(max(2*before, firstBytes), most)
	if !b.collector.take(b, size, limit) {
		refused.Add(1)
		return &Error{Op: "read body", Kind: KindNoRoom, Err: errors.New("no room for the body")}
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = data
	b.collector.mu.Lock()
	defer b.collector.mu.Unlock()
	b.collector.give(b, before)
	return nil
}

// mark records the progress of the body.
func (b *Body) mark() {
	if len(b.Data)-b.marked < progressBytes {
		return
	}
	c := b.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	b.marked, b.markedAt = len(b.Data), c.Clock()
	if b.place != nil {
		c.reading.MoveToBack(b.place)
	}
}

// finish records that the body is no longer read, and reports whether it was dropped before.
func (b *Body) finish() bool {
	c := b.collector
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.place != nil {
		c.reading.Remove(b.place)
		b.place = nil
	}
	return b.dropped
}

// begin records that a body is being read.
func (c *Collector) begin(b *Body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b.markedAt = c.Clock()
	b.place = c.reading.PushBack(b)
}

// take takes room for a buffer of a body, and reports whether there is enough.
func (c *Collector) take(b *Body, size, limit int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.dropped {
		return false
	}
	bound := max(c.Capacity, spareBodies*limit)
	if size > smallBytes {
		bound = max(int64(largeShare*float64(c.Capacity)), spareBodies*limit)
	}
	for c.Capacity > 0 && c.held+size > bound || !c.Account.Take(accountant.Body, 0, size) {
		if !c.dropStalled() {
			return false
		}
	}
	c.held += size
	b.held += size
	heldBytes.Add(size)
	return true
}

// dropStalled is DropStalled. The caller holds mu.
func (c *Collector) dropStalled() bool {
	first := c.reading.Front()
	if first == nil {
		return false
	}
	b := first.Value.(*Body)
	if c.Clock()-b.markedAt < stallTime {
		return false
	}
	c.reading.Remove(first)
	b.place, b.dropped = nil, true
	// Its buffer is garbage as soon as its goroutine runs.
	c.give(b, b.held)
	b.interrupt()
	dropped.Add(1)
	return true
}

// give gives room of a body back. The caller holds mu.
func (c *Collector) give(b *Body, size int64) {
	size = min(size, b.held)
	c.Account.Give(size)
	c.held -= size
	b.held -= size
	heldBytes.Add(-size)
}
