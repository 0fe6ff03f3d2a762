// Package worker is a stand-in of a server that speaks the users' protocol: it
// checks who is meant, runs a bounded number of requests, answers whole or by a
// series of events, and shows the faults of such servers.
package worker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults of an answer.
const (
	// FaultShed refuses the request and says that it was not run.
	FaultShed = "shed"
	// FaultFail answers 500.
	FaultFail = "fail"
	// FaultCut ends the answer in its middle.
	FaultCut = "cut"
	// FaultMute runs the request and never answers.
	FaultMute = "mute"
	// FaultExtra sends another answer behind the right one.
	FaultExtra = "extra"
	// FaultUnframed sends a body that ends with the connection.
	FaultUnframed = "unframed"
	// FaultUnsealed lacks the server's proof.
	FaultUnsealed = "unsealed"
	// FaultEncoded has an encoding that was not asked for.
	FaultEncoded = "encoded"
	// FaultBusy answers 503 without saying that the request was not run.
	FaultBusy = "busy"
)

// Run is one request that the server ran or refused.
type Run struct {
	ID, Model, Team, Last, Key, Target, Body, Deadline string
	NotExecuted                                        bool
	At                                                 time.Time
}

// Worker is an http.Handler. Set the exported fields before the first request.
type Worker struct {
	ID string
	// Slots bounds the requests at work; zero means no bound.
	Slots int
	// Events is the number of events of a stream; zero means a whole answer.
	Events int
	// EventGap is the time before each event, and WorkTime that before a whole answer.
	EventGap, WorkTime time.Duration
	// GapFactor multiplies EventGap by model; missing models have 1.
	GapFactor map[string]int
	// Confidence is the model's confidence by model.
	Confidence map[string]int
	// Fault chooses the fault of a request, "" for none; n counts from 0.
	Fault func(n int, r *http.Request) string
	// KeepAliveSeconds is the idle timeout that answers announce; zero announces none.
	KeepAliveSeconds int

	mu      sync.Mutex
	runs    []Run
	running int
	ended   []string
}

// Runs returns the requests so far.
func (s *Worker) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Abandoned returns the ids of requests whose caller left before the end.
func (s *Worker) Abandoned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ended...)
}

// ServeHTTP implements http.Handler.
func (s *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h := r.Header
	run := Run{
		ID: h.Get("Attempt-Id"), Model: h.Get("Model"), Team: h.Get("Tenant"), Last: h.Get("Last-Event-Id"),
		Key: h.Get("Authorization"), Target: r.RequestURI, Body: string(body), Deadline: h.Get("Deadline-Ms"),
		At: time.Now(),
	}
	if id := h.Get("Expect-Instance"); id != "" && id != s.ID {
		run.NotExecuted = true
		s.note(run)
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	n := len(s.runs)
	full := s.Slots > 0 && s.running >= s.Slots
	if !full {
		s.running++
	}
	load := fmt.Sprintf("%d,0,%d", s.running, max(s.Slots, 1))
	s.mu.Unlock()
	fault := ""
	if s.Fault != nil {
		fault = s.Fault(n, r)
	}
	w.Header().Set("Attempt-Id", run.ID)
	w.Header().Set("Server-Load", load)
	if s.KeepAliveSeconds > 0 {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(s.KeepAliveSeconds))
	}
	if full || fault == FaultShed {
		run.NotExecuted = true
		s.note(run)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		if !full {
			s.leave()
		}
		return
	}
	defer s.leave()
	s.note(run)
	s.answer(w, r, run, fault)
}

// note records a request.
func (s *Worker) note(run Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
}

// leave frees a slot.
func (s *Worker) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// wait waits unless the caller leaves first.
func (s *Worker) wait(r *http.Request, run Run, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		s.mu.Lock()
		s.ended = append(s.ended, run.ID)
		s.mu.Unlock()
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Worker) answer(w http.ResponseWriter, r *http.Request, run Run, fault string) {
	h := w.Header()
	if fault != FaultUnsealed {
		h.Set("Server-Seal", "seal."+s.ID)
	}
	if c, ok := s.Confidence[run.Model]; ok {
		h.Set("Confidence", strconv.Itoa(c))
	}
	switch fault {
	case FaultMute:
		s.wait(r, run, time.Hour)
		panic(http.ErrAbortHandler)
	case FaultFail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultEncoded:
		h.Set("Content-Encoding", "gzip")
	case FaultExtra, FaultUnframed:
		s.raw(w, run, fault)
		return
	}
	if s.Events > 0 {
		s.stream(w, r, run, fault)
		return
	}
	if !s.wait(r, run, s.WorkTime) {
		return
	}
	text := "answer of " + s.ID + " to " + run.ID
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultCut {
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text)
	if fault == FaultCut {
		panic(http.ErrAbortHandler)
	}
}

// stream sends numbered events, from behind the last that the caller has.
func (s *Worker) stream(w http.ResponseWriter, r *http.Request, run Run, fault string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(run.Last)
	for i := first + 1; i <= s.Events; i++ {
		if !s.wait(r, run, s.EventGap*time.Duration(max(s.GapFactor[run.Model], 1))) {
			return
		}
		if fault == FaultCut && i > s.Events/2 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", i)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// raw writes answers that no HTTP server would.
func (s *Worker) raw(w http.ResponseWriter, run Run, fault string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func(c net.Conn) { _ = c.Close() }(conn)
	text := "answer of " + s.ID + " to " + run.ID
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + run.ID + "\r\nServer-Seal: seal." + s.ID + "\r\n"
	if fault == FaultUnframed {
		_, _ = buffered.WriteString(head + "\r\n" + text)
		_ = buffered.Flush()
		return
	}
	one := head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	_, _ = buffered.WriteString(one + one)
	_ = buffered.Flush()
}
