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

// stuck is a reader that stops reading until it is let go.
type stuck struct {
	mu   sync.Mutex
	text bytes.Buffer
	free chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestBound writes far more lines than the bound in a second: half of the room is
// left for warnings, and what was left out is counted in a line.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		w := logger.New(&out)
		w.Run()
		log := zerolog.New(w)
		for range 3 * logger.LineRate {
			log.Info().Msg("plain")
		}
		for range logger.LineRate / 4 {
			log.Warn().Msg("failed")
		}
		time.Sleep(time.Second)
		log.Info().Msg("next second")
		c.Assert(w.Close(), qt.IsNil)
		text := out.String()
		c.Check(strings.Count(text, "plain"), qt.Equals, logger.LineRate/2)
		c.Check(strings.Count(text, "failed"), qt.Equals, logger.LineRate/4)
		// The writer may count while lines still come, in more than one line.
		left := 0
		for _, m := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(text, -1) {
			n, err := strconv.Atoi(m[1])
			c.Assert(err, qt.IsNil)
			left += n
		}
		c.Check(left, qt.Equals, 3*logger.LineRate-logger.LineRate/2)
		c.Check(text, qt.Contains, "next second")
		_, err := w.Write([]byte("late"))
		c.Check(err, qt.IsNil)
	})
}

// TestStuck has the reader stop: writing takes no time, and the lines that found
// room are there once it reads on.
func TestStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &stuck{free: make(chan struct{})}
		w := logger.New(out)
		w.Run()
		log := zerolog.New(w)
		start := time.Now()
		for range 20 {
			for range logger.LineRate / 2 {
				log.Info().Msg("line")
			}
			time.Sleep(time.Second)
		}
		c.Check(time.Since(start), qt.Equals, 20*time.Second)
		close(out.free)
		c.Assert(w.Close(), qt.IsNil)
		c.Check(strings.Count(out.text.String(), `"line"`) >= logger.QueueLimit, qt.IsTrue)
		c.Check(out.text.String(), qt.Contains, logger.EventLinesLeftOut)
	})
}

// BenchmarkLine measures the processor time of a line.
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
