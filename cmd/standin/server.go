package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn/internal/standin/formatter"
	"samphireturn/internal/standin/worker"
)

// exitCrashed is the exit code of a server that a request crashed.
const exitCrashed = 3

// serverCmd runs a server that speaks the users' protocol.
type serverCmd struct {
	Listen string        `arg:"--listen,required" help:"host:port to listen on"`
	ID     string        `arg:"--id,required" help:"instance id"`
	Slots  int           `arg:"--slots" default:"8" help:"requests at the same time"`
	Events int           `arg:"--events" help:"events of an answer; 0 for one body"`
	Gap    time.Duration `arg:"--gap" default:"50ms" help:"time before each event"`
	Seed   uint64        `arg:"--seed" help:"seed that decides which answers have a fault"`
	Work   time.Duration `arg:"--work" default:"120ms" help:"time of an answer in one body"`
}

// serverFaults are the faults of answers until the next line of standard input, each a
// JSON object with the name of a fault, the part of the answers that have it, and the value of
// the header Retry-After of refusals.
type serverFaults struct {
	mu     sync.Mutex
	fault  string
	share  float64
	pause  string
	random *rand.Rand
}

// run serves requests until ctx or standard input ends. It prints each request as a
// JSON line before it answers.
func (s *serverCmd) run(ctx context.Context, log zerolog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var (
		faults = serverFaults{random: rand.New(rand.NewPCG(s.Seed, 0))}
		mu     sync.Mutex
	)
	lines := json.NewEncoder(os.Stdout)
	go func() {
		defer cancel()
		faults.read(os.Stdin)
	}()
	w := &worker.Worker{
		ID: s.ID, MaxInFlight: s.Slots, Events: s.Events, EventGap: s.Gap, WorkTime: s.Work, NameEvents: true,
		Fault: func(_ int, r *http.Request) string {
			if fault := worker.CrashFault(r); fault != "" {
				return fault
			}
			return faults.draw()
		},
		RetryAfter: faults.retryAfter,
		OnCrash:    func(worker.Run) { os.Exit(exitCrashed) },
		OnRun: func(r worker.Run) {
			mu.Lock()
			defer mu.Unlock()
			if err := lines.Encode(r); err != nil {
				cancel()
			}
		},
	}
	mux := http.NewServeMux()
	mux.Handle("/", w)
	mux.HandleFunc("GET /healthz", func(res http.ResponseWriter, _ *http.Request) {
		res.Header().Set(formatter.Instance, s.ID)
		_, _ = fmt.Fprint(res, "ok")
	})
	return serve(ctx, log, s.Listen, mux, func() {})
}

// read replaces the faults by those of each line.
func (f *serverFaults) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var next struct {
			Fault string  `json:"fault"`
			Share float64 `json:"share"`
			Pause string  `json:"pause"`
		}
		if json.Unmarshal(lines.Bytes(), &next) != nil {
			continue
		}
		f.mu.Lock()
		f.fault, f.share, f.pause = next.Fault, next.Share, next.Pause
		f.mu.Unlock()
	}
}

// retryAfter returns the value of the header Retry-After of a refusal.
func (f *serverFaults) retryAfter() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pause
}

// draw returns the fault of one answer.
func (f *serverFaults) draw() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.share {
		return f.fault
	}
	return ""
}
