package collector_test

import (
	"bytes"
	"io"
	"os"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/traffic/collector"
)

// clock is a clock that tests move.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

// stalledBody is a body that sends some bytes and then nothing until it is interrupted.
type stalledBody struct {
	sent        io.Reader
	stalled     chan struct{}
	interrupted chan struct{}
}

func newStalledBody(n int) *stalledBody {
	return &stalledBody{bytes.NewReader(make([]byte, n)), make(chan struct{}), make(chan struct{})}
}

// Read implements io.Reader.
func (b *stalledBody) Read(p []byte) (int, error) {
	if n, err := b.sent.Read(p); err == nil {
		return n, nil
	}
	close(b.stalled)
	<-b.interrupted
	return 0, os.ErrDeadlineExceeded
}

// interrupt ends the wait of Read.
func (b *stalledBody) interrupt() { close(b.interrupted) }

// start reads the body in the background until it stalls.
func (b *stalledBody) start(c *collector.Collector, announced, limit int64) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := c.Read(b, announced, limit, b.interrupt)
		result <- err
	}()
	<-b.stalled
	return result
}

// noInterrupt is the interrupt of a body that is not dropped.
func noInterrupt() { panic("interrupted") }

// kindOf returns the kind of an error of Read, -1 if there is none.
func kindOf(err error) collector.Kind {
	var failed *collector.Error
	if errors.As(err, &failed) {
		return failed.Kind
	}
	return -1
}

// TestRead checks which bodies are read, and that they hold room for no more than they have.
func TestRead(t *testing.T) {
	const limit = 1 << 20
	tests := []struct {
		name             string
		length, announce int
		err              error
		want             collector.Kind
		mostHeld         int64
	}{
		{"empty", 0, 0, nil, -1, 0},
		{"empty, length not known", 0, -1, nil, -1, 512},
		{"short", 100, 100, nil, -1, 100},
		{"short, length not known", 100, -1, nil, -1, 512},
		{"at the limit", limit, limit, nil, -1, limit},
		{"at the limit, length not known", limit, -1, nil, -1, limit},
		{"over the limit, announced", 0, limit + 1, nil, collector.KindTooLong, 0},
		{"over the limit, length not known", limit + 1, -1, nil, collector.KindTooLong, 0},
		{"breaks off", 100, -1, io.ErrUnexpectedEOF, collector.KindBroken, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var now clock
			bodies := &collector.Collector{Capacity: 4 * limit, Clock: now.read}
			data := bytes.Repeat([]byte("x"), test.length)
			src := io.Reader(bytes.NewReader(data))
			if test.err != nil {
				src = io.MultiReader(src, iotest.ErrReader(test.err))
			}
			b, err := bodies.Read(src, int64(test.announce), limit, noInterrupt)
			c.Check(kindOf(err), qt.Equals, test.want)
			c.Check(bodies.Held() <= test.mostHeld, qt.IsTrue, qt.Commentf("%d bytes held", bodies.Held()))
			if err == nil {
				c.Check(bytes.Equal(b.Data, data), qt.IsTrue)
			}
			b.Release()
			b.Release()
			c.Check(bodies.Held(), qt.Equals, int64(0))
		})
	}
}

// TestRoom guards against bodies that together hold more than the bound, and against ones that
// keep others out without progress.
func TestRoom(t *testing.T) {
	const (
		limit    = 1 << 20
		capacity = 8 * limit
	)
	tests := []struct {
		name string
		// stalled is the number of bodies that stop a byte short of their length, waited the time
		// since then, and length that of a body that comes then.
		stalled int
		waited  time.Duration
		length  int
		want    collector.Kind
		dropped int
	}{
		{"room left", 4, 0, limit, -1, 0},
		{"room left, stalled for long", 4, time.Minute, limit, -1, 0},
		{"no room", 6, time.Second / 2, limit, collector.KindNoRoom, 0},
		{"a small body", 6, time.Second / 2, 30_000, -1, 0},
		{"others stalled", 6, 2 * time.Second, limit, -1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var now clock
			bodies := &collector.Collector{Capacity: capacity, Clock: now.read}
			var (
				all     []*stalledBody
				results []<-chan error
			)
			for range test.stalled {
				now.now += time.Millisecond
				b := newStalledBody(limit - 1)
				all, results = append(all, b), append(results, b.start(bodies, limit, limit))
			}
			now.now += test.waited
			b, err := bodies.Read(bytes.NewReader(make([]byte, test.length)), -1, limit, noInterrupt)
			c.Check(kindOf(err), qt.Equals, test.want)
			c.Check(bodies.Held() <= capacity, qt.IsTrue)
			b.Release()
			for i, result := range results {
				if i >= test.dropped {
					// Not dropped: its caller leaves.
					all[i].interrupt()
					c.Check(kindOf(<-result), qt.Equals, collector.KindBroken)
					continue
				}
				c.Check(kindOf(<-result), qt.Equals, collector.KindDropped)
			}
			c.Check(bodies.Held(), qt.Equals, int64(0))
		})
	}
}

// TestProgress checks that the body that has made no progress for longest is dropped first, that a few
// bytes are no progress, and that one that is read is not dropped.
func TestProgress(t *testing.T) {
	c := qt.New(t)
	var now clock
	bodies := &collector.Collector{Capacity: 1 << 20, Clock: now.read}
	read, err := bodies.Read(bytes.NewReader(make([]byte, 10)), 10, 1<<20, noInterrupt)
	c.Assert(err, qt.IsNil)
	defer read.Release()
	first, second := newStalledBody(100), newStalledBody(5000)
	firstResult := first.start(bodies, 10_000, 1<<20)
	now.now += time.Second / 2
	secondResult := second.start(bodies, 10_000, 1<<20)
	c.Check(bodies.DropStalled(), qt.IsFalse)
	now.now += time.Second / 2
	c.Check(bodies.DropStalled(), qt.IsTrue)
	c.Check(kindOf(<-firstResult), qt.Equals, collector.KindDropped)
	c.Check(bodies.DropStalled(), qt.IsFalse)
	now.now += time.Second
	c.Check(bodies.DropStalled(), qt.IsTrue)
	c.Check(kindOf(<-secondResult), qt.Equals, collector.KindDropped)
	c.Check(bodies.DropStalled(), qt.IsFalse)
}
