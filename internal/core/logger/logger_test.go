package logger_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn/internal/core/logger"
)

// blockedWriter blocks all writes until unblocked is closed, like a pipe whose reader has
// stopped reading.
type blockedWriter struct {
	mu        sync.Mutex
	written   bytes.Buffer
	unblocked chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblocked
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// TestBound writes far more lines in a second than the rate limit allows: half of the
// limit stays available for warnings, and the dropped lines are counted in a line.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		w := logger.New(&out)
		w.Run()
		log := zerolog.New(w)
		for range 3 * logger.MaxLinesPerSecond {
			log.Info().Msg("plain")
		}
		for range logger.MaxLinesPerSecond / 4 {
			log.Warn().Msg("failed")
		}
		time.Sleep(time.Second)
		log.Info().Msg("next second")
		c.Assert(w.Close(), qt.IsNil)
		text := out.String()
		c.Check(strings.Count(text, "plain"), qt.Equals, logger.MaxLinesPerSecond/2)
		c.Check(strings.Count(text, "failed"), qt.Equals, logger.MaxLinesPerSecond/4)
		// The writer may report dropped lines while others are dropped, so there may
		// be more than one report.
		dropped := 0
		for _, m := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(text, -1) {
			n, err := strconv.Atoi(m[1])
			c.Assert(err, qt.IsNil)
			dropped += n
		}
		c.Check(dropped, qt.Equals, 3*logger.MaxLinesPerSecond-logger.MaxLinesPerSecond/2)
		c.Check(text, qt.Contains, "next second")
		_, err := w.Write([]byte("late"))
		c.Check(err, qt.IsNil)
	})
}

// TestStuck blocks the output: logging takes no time, and the queued lines are written
// once the output accepts writes again.
func TestStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedWriter{unblocked: make(chan struct{})}
		w := logger.New(out)
		w.Run()
		log := zerolog.New(w)
		start := time.Now()
		for range 20 {
			for range logger.MaxLinesPerSecond / 2 {
				log.Info().Msg("line")
			}
			time.Sleep(time.Second)
		}
		c.Check(time.Since(start), qt.Equals, 20*time.Second)
		close(out.unblocked)
		c.Assert(w.Close(), qt.IsNil)
		c.Check(strings.Count(out.written.String(), `"line"`) >= logger.MaxQueuedLines, qt.IsTrue)
		c.Check(out.written.String(), qt.Contains, logger.EventLinesLeftOut)
	})
}

// BenchmarkLine measures the processor time of logging a line.
func BenchmarkLine(b *testing.B) {
	w := logger.New(&bytes.Buffer{})
	w.Run()
	log := zerolog.New(w).With().Timestamp().Logger()
	for b.Loop() {
		log.Info().Str("event", logger.EventServed).Str("id", "9c41d07be2a35f68").Int("status", 200).Dur("took", time.Second).Send()
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
}
