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
	// Shed refuses the request as not run.
	Shed = "shed"
	// Fail answers 500.
	Fail = "fail"
	// Cut ends the answer in its middle.
	Cut = "cut"
	// Mute runs the request and never answers.
	Mute = "mute"
	// Extra sends another answer behind the right one.
	Extra = "extra"
	// Unframed sends a body that ends with the connection.
	Unframed = "unframed"
	// Unsealed lacks the server's proof.
	Unsealed = "unsealed"
	// Encoded has an encoding that was not asked for.
	Encoded = "encoded"
	// Busy answers 503 without saying that the request was not run.
	Busy = "busy"
)

// Run is one request that the server ran or refused.
type Run struct {
	ID, Model, Team, Last, Key, Target, Body, Deadline string
	NotRun                                             bool
	At                                                 time.Time
}

// Worker is an http.Handler. Set the exported fields before the first request.
type Worker struct {
	ID string
	// Slots bounds the requests at work; zero means no bound.
	Slots int
	// Events is the number of events of a stream; zero means a whole answer.
	Events int
	// Pause is the time before each event, and Work that of a whole answer.
	Pause, Work time.Duration
	// Pace multiplies Pause by model; models that it lacks have 1.
	Pace map[string]int
	// Confidence is the model's confidence by model.
	Confidence map[string]int
	// Fault chooses the fault of a request, "" for none; n counts from 0.
	Fault func(n int, r *http.Request) string
	// Idle is the idle time that is told, in seconds; zero tells none.
	Idle int

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
		run.NotRun = true
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
	if s.Idle > 0 {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(s.Idle))
	}
	if full || fault == Shed {
		run.NotRun = true
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
	if fault != Unsealed {
		h.Set("Server-Seal", "seal."+s.ID)
	}
	if c, ok := s.Confidence[run.Model]; ok {
		h.Set("Confidence", strconv.Itoa(c))
	}
	switch fault {
	case Mute:
		s.wait(r, run, time.Hour)
		panic(http.ErrAbortHandler)
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Encoded:
		h.Set("Content-Encoding", "gzip")
	case Extra, Unframed:
		s.raw(w, run, fault)
		return
	}
	if s.Events > 0 {
		s.stream(w, r, run, fault)
		return
	}
	if !s.wait(r, run, s.Work) {
		return
	}
	text := "answer of " + s.ID + " to " + run.ID
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if fault == Cut {
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text)
	if fault == Cut {
		panic(http.ErrAbortHandler)
	}
}

// stream sends numbered events, from behind the last that the caller has.
func (s *Worker) stream(w http.ResponseWriter, r *http.Request, run Run, fault string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(run.Last)
	for i := first + 1; i <= s.Events; i++ {
		if !s.wait(r, run, s.Pause*time.Duration(max(s.Pace[run.Model], 1))) {
			return
		}
		if fault == Cut && i > s.Events/2 {
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
	if fault == Unframed {
		_, _ = buffered.WriteString(head + "\r\n" + text)
		_ = buffered.Flush()
		return
	}
	one := head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	_, _ = buffered.WriteString(one + one)
	_ = buffered.Flush()
}
