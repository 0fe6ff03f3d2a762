// Package logger writes log lines without blocking the goroutines that log.
//
// Lines are queued in a bounded channel and written by one goroutine. A line is
// dropped and counted if the queue is full or the rate limit of the current second
// is reached; the count is logged as a line of its own. Half of the rate limit is
// reserved for warnings and errors.
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// MaxQueuedLines bounds the lines in the queue: those of one second at the
	// busiest daemon.
	MaxQueuedLines = 4096
	// MaxLinesPerSecond bounds the rate of lines; half of it is reserved for warnings
	// and errors. At 300 bytes a line it amounts to 300 KB/s.
	MaxLinesPerSecond = 1000
	// MaxBytesPerSecond bounds the rate of bytes; half of it is reserved for warnings
	// and errors.
	MaxBytesPerSecond = 400 << 10
)

// Writer is a zerolog.LevelWriter that drops lines rather than block. Set the exported
// fields before Run.
type Writer struct {
	Out io.Writer
	// Now returns the current time; New sets it to time.Now.
	Now func() time.Time

	queue chan []byte
	done  chan struct{}

	mu sync.Mutex
	// second is the Unix time that lines and bytes count for.
	second int64
	lines  int
	bytes  int
	// dropped counts the dropped lines that have not been reported yet.
	dropped atomic.Int64
	closed  bool
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	return &Writer{Out: out, Now: time.Now, queue: make(chan []byte, MaxQueuedLines), done: make(chan struct{})}
}

// Run starts the goroutine that writes the queued lines.
func (w *Writer) Run() { go w.writeLoop() }

// Close writes the queued lines and stops the goroutine. Later lines are dropped.
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

// Write queues a line without a level. It never returns an error.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel queues a line, or drops and counts it. It never returns an error.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admit(level, len(p)) {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// admit reports whether a line of the given size is within the rate limit of the current
// second, and counts it against the limit if so. The caller holds mu.
func (w *Writer) admit(level zerolog.Level, size int) bool {
	if now := w.Now().Unix(); now != w.second {
		w.second, w.lines, w.bytes = now, 0, 0
	}
	lines, bytes := MaxLinesPerSecond, MaxBytesPerSecond
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

// writeLoop writes the queued lines, and before a line the number of lines dropped since
// the last such report.
func (w *Writer) writeLoop() {
	defer close(w.done)
	log := zerolog.New(w.Out).With().Timestamp().Logger()
	for line := range w.queue {
		if n := w.dropped.Swap(0); n > 0 {
			log.Warn().Str("event", EventLinesLeftOut).Int64("lines", n).Send()
		}
		if _, err := w.Out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}
