// Package logger writes log lines without ever blocking their authors.
//
// Lines wait in a bounded queue for one goroutine that writes them. A line that
// finds the queue full, or the budget of its second spent, is left out and
// counted; the count is written as a line of its own. Lines of failures have a
// reserve that others can't use.
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// QueueLimit bounds the lines that wait: a second of the busiest daemon.
	QueueLimit = 4096
	// LineRate bounds the lines a second; half are kept for warnings and errors.
	// At 300 bytes a line it is 300 KB/s.
	LineRate = 1000
	// ByteRate bounds the bytes a second.
	ByteRate = 400 << 10
)

// Writer is a zerolog.LevelWriter. Set the exported fields before Run.
type Writer struct {
	Out io.Writer
	// Now reads the clock; nil means time.Now.
	Now func() time.Time

	queue chan []byte
	done  chan struct{}

	mu     sync.Mutex
	second int64
	lines  int
	bytes  int
	left   atomic.Int64
	closed bool
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	return &Writer{Out: out, Now: time.Now, queue: make(chan []byte, QueueLimit), done: make(chan struct{})}
}

// Run starts the goroutine that writes.
func (w *Writer) Run() { go w.loop() }

// Close writes what waits and stops.
func (w *Writer) Close() error {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if closed {
		return nil
	}
	close(w.queue)
	<-w.done
	return nil
}

// Write queues a line of no level.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel queues a line, or counts it as left out.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admit(level, len(p)) {
		w.left.Add(1)
		return len(p), nil
	}
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.left.Add(1)
	}
	return len(p), nil
}

// admit spends the budget of this second. The caller holds mu.
func (w *Writer) admit(level zerolog.Level, size int) bool {
	if now := w.Now().Unix(); now != w.second {
		w.second, w.lines, w.bytes = now, 0, 0
	}
	lines, bytes := LineRate, ByteRate
	if level < zerolog.WarnLevel {
		lines, bytes = lines/2, bytes/2
	}
	if w.lines >= lines || w.bytes+size > bytes {
		return false
	}
	w.lines++
	w.bytes += size
	return true
}

// loop writes the lines that wait, and how many were left out.
func (w *Writer) loop() {
	defer close(w.done)
	log := zerolog.New(w.Out).With().Timestamp().Logger()
	for line := range w.queue {
		if n := w.left.Swap(0); n > 0 {
			log.Warn().Str("event", EventLinesLeftOut).Int64("lines", n).Send()
		}
		if _, err := w.Out.Write(line); err != nil {
			w.left.Add(1)
		}
	}
}
