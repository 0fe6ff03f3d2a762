// Package worker is a stand-in for a server that speaks the users' protocol. It
// rejects requests meant for another instance, runs a bounded number of requests
// at a time, answers in one body or as an event stream, and can inject the faults
// of such servers.
package worker

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"samphireturn/internal/standin/formatter"
)

// Faults of an answer.
const (
	// FaultShed answers 503 and declares that the request was not run.
	FaultShed = "shed"
	// FaultFail answers 500.
	FaultFail = "fail"
	// FaultTruncated closes the connection in the middle of the answer.
	FaultTruncated = "cut"
	// FaultReset runs the request and closes the connection before the answer.
	FaultReset = "reset"
	// FaultNoAnswer runs the request and never answers.
	FaultNoAnswer = "mute"
	// FaultExtra sends a second answer after the right one.
	FaultExtra = "extra"
	// FaultUnframed sends a body without a length; closing the connection ends it.
	FaultUnframed = "unframed"
	// FaultUnframedCut sends a stream like FaultUnframed that ends in the middle of an event,
	// and FaultUnframedEmpty one that ends before the first event.
	FaultUnframedCut   = "unframed cut"
	FaultUnframedEmpty = "unframed empty"
	// FaultUnsealed answers without the header Server-Seal, the proof that the answer
	// comes from this server.
	FaultUnsealed = "unsealed"
	// FaultEncoded answers with a Content-Encoding that the request did not accept.
	FaultEncoded = "encoded"
	// FaultEndlessHead sends a header line without end, until the connection is closed.
	FaultEndlessHead = "endless head"
	// FaultEndlessBody sends a body without length, end or events, until the connection is
	// closed.
	FaultEndlessBody = "endless body"
	// FaultCrash ends the server, by OnCrash, between the head and the body of the answer.
	FaultCrash = "crash"
	// FaultCrashUnanswered does so before the answer, and FaultCrashEvents after crashEvents
	// events of a stream.
	FaultCrashUnanswered = "crash unanswered"
	FaultCrashEvents     = "crash events"
	// FaultText answers 200 with a text instead of a stream, FaultNothing with nothing, and
	// FaultErrorEvent with an event without an id. FaultRestarted begins a stream that is to
	// be resumed with its first event again.
	FaultText       = "text"
	FaultNothing    = "nothing"
	FaultErrorEvent = "error event"
	FaultRestarted  = "restarted"
	// FaultBusy answers 503 without declaring that the request was not run.
	FaultBusy = "busy"
)

const (
	// crashDelay is the time between the last bytes of an answer, or the request, and the
	// crash of its server.
	crashDelay = 20 * time.Millisecond
	// crashEvents is the number of events before FaultCrashEvents.
	crashEvents = 4
)

const (
	// CauseHeader is the header of requests that crash the servers that run them; its value
	// tells such requests apart.
	CauseHeader = "X-Cause"
	// CrashHeader is the header of the fault by which they do; FaultCrash if it is missing.
	CrashHeader = "X-Crash"
)

// endlessPart is the number of bytes that an endless answer sends at a time.
const endlessPart = 8 << 10

// Run is one request that the server ran, or refused if NotExecuted is set. The
// text fields hold the request's headers, target and body.
type Run struct {
	ID, Model, Team, LastEventID, Key, Target, Body, Deadline string
	NotExecuted                                               bool
	ReceivedAt                                                time.Time
	Method                                                    string
	Header                                                    http.Header
	// From is the address that the request came from.
	From string
	// Fault is the fault of the answer.
	Fault string
	// Pause is the value of the header Retry-After of a refusal, "" for none.
	Pause string
	// slowdown is the factor of EventGap after the first event; zero means 1.
	slowdown int
}

// Worker is an http.Handler. Set the exported fields before the first request.
type Worker struct {
	ID string
	// MaxInFlight bounds the requests that run at a time; zero means no bound.
	MaxInFlight int
	// Events is the number of events of a stream; zero means an answer in one body.
	Events int
	// EventGap is the time before each event, WorkTime the time before an answer in
	// one body.
	EventGap, WorkTime time.Duration
	// GapFactor holds a factor of EventGap for each model; it is 1 for other models.
	GapFactor map[string]int
	// Slowdown, if not nil, returns a factor of EventGap after the first event of a request;
	// n is the number of requests recorded before.
	Slowdown func(n int) int
	// Confidence holds the value of the header Confidence for each model; answers of
	// other models lack it.
	Confidence map[string]int
	// Fault, if not nil, returns the fault of a request, "" for none; n is the number
	// of requests recorded before.
	Fault func(n int, r *http.Request) string
	// KeepAliveSeconds is the idle timeout announced by answers; zero means none.
	KeepAliveSeconds int
	// Leaving, if not nil, reports whether answers announce that the server leaves.
	Leaving func() bool
	// Load, if not nil, returns the value of the header Server-Load of answers, given its three
	// figures.
	Load func(figures string) string
	// Limit, if not nil, returns the value of the header Server-Limit of answers, "" for
	// none.
	Limit func() string
	// Brittle, if not nil, returns the value of the header Server-Brittle of answers, "" for
	// none.
	Brittle func() string
	// OnFull, if not nil, is called with each request that is turned away for want of room.
	// Calls may be concurrent.
	OnFull func()
	// RetryAfter, if not nil, returns the value of the header Retry-After of answers with
	// status 503, "" for none.
	RetryAfter func() string
	// OnRun, if not nil, is called with each request before it is answered. Calls may be
	// concurrent.
	OnRun func(Run)
	// OnCrash ends the server, whose connections are closed, during a run. It must be set for
	// FaultCrash and FaultCrashUnanswered.
	OnCrash func(Run)
	// NameEvents makes each event of a stream name its request.
	NameEvents bool

	// written is the number of bytes of endless answers.
	written   atomic.Int64
	mu        sync.Mutex
	runs      []Run
	inFlight  int
	abandoned []string
}

// Runs returns the requests received so far.
func (s *Worker) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Abandoned returns the ids of the requests whose caller disconnected before the
// end.
func (s *Worker) Abandoned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.abandoned...)
}

// ServeHTTP implements http.Handler.
func (s *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h := r.Header
	run := Run{
		ID: h.Get(formatter.ID), Model: h.Get(formatter.Model), Team: h.Get(formatter.Team), LastEventID: h.Get(formatter.LastEventID),
		Key: h.Get("Authorization"), Target: r.RequestURI, Body: string(body), Deadline: h.Get(formatter.Deadline),
		ReceivedAt: time.Now(), Method: r.Method, Header: h.Clone(), From: r.RemoteAddr,
	}
	if s.Leaving != nil && s.Leaving() {
		w.Header().Set(formatter.Leaving, "1")
	}
	if s.Limit != nil {
		if value := s.Limit(); value != "" {
			w.Header().Set(formatter.Limit, value)
		}
	}
	if s.Brittle != nil {
		if value := s.Brittle(); value != "" {
			w.Header().Set(formatter.Brittle, value)
		}
	}
	if id := h.Get(formatter.ExpectInstance); id != "" && id != s.ID {
		run.NotExecuted = true
		s.record(run)
		w.Header().Set(formatter.Instance, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	n := len(s.runs)
	full := s.MaxInFlight > 0 && s.inFlight >= s.MaxInFlight
	if !full {
		s.inFlight++
	}
	load := fmt.Sprintf("%d,0,%d", s.inFlight, max(s.MaxInFlight, 1))
	s.mu.Unlock()
	if s.Load != nil {
		load = s.Load(load)
	}
	fault := ""
	if s.Fault != nil {
		fault = s.Fault(n, r)
	}
	run.Fault = fault
	w.Header().Set(formatter.ID, run.ID)
	w.Header().Set(formatter.Load, load)
	if s.KeepAliveSeconds > 0 {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(s.KeepAliveSeconds))
	}
	if full || fault == FaultShed {
		run.NotExecuted = true
		if s.RetryAfter != nil {
			run.Pause = s.RetryAfter()
		}
		s.record(run)
		w.Header().Set(formatter.NotExecuted, "1")
		writeUnavailable(w, run.Pause)
		if !full {
			s.release()
		} else if s.OnFull != nil {
			s.OnFull()
		}
		return
	}
	defer s.release()
	if s.Slowdown != nil {
		run.slowdown = s.Slowdown(n)
	}
	if fault == FaultBusy && s.RetryAfter != nil {
		run.Pause = s.RetryAfter()
	}
	s.record(run)
	s.writeAnswer(w, r, run, fault)
}

// record appends run to the runs.
func (s *Worker) record(run Run) {
	if s.OnRun != nil {
		s.OnRun(run)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
}

// release ends a request in flight.
func (s *Worker) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// wait waits for d and returns true, or records the run as abandoned and returns
// false if the caller disconnects first.
func (s *Worker) wait(r *http.Request, run Run, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		s.mu.Lock()
		s.abandoned = append(s.abandoned, run.ID)
		s.mu.Unlock()
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Worker) writeAnswer(w http.ResponseWriter, r *http.Request, run Run, fault string) {
	h := w.Header()
	if fault != FaultUnsealed {
		h.Set(formatter.Seal, "seal."+s.ID)
	}
	if c, ok := s.Confidence[run.Model]; ok {
		h.Set(formatter.Confidence, strconv.Itoa(c))
	}
	switch fault {
	case FaultNoAnswer:
		s.wait(r, run, time.Hour)
		panic(http.ErrAbortHandler)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultFail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case FaultBusy:
		writeUnavailable(w, run.Pause)
		return
	case FaultText:
		_, _ = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\n\nout of memory")
		return
	case FaultNothing:
		return
	case FaultErrorEvent:
		h.Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "event: error\ndata: out of memory\n\n")
		return
	case FaultRestarted:
		run.LastEventID = ""
	case FaultCrash, FaultCrashUnanswered, FaultCrashEvents:
		s.crash(w, r, run)
	case FaultEncoded:
		h.Set("Content-Encoding", "gzip")
	case FaultEndlessHead, FaultEndlessBody:
		s.writeEndless(w, run, fault)
		return
	case FaultExtra, FaultUnframed, FaultUnframedCut, FaultUnframedEmpty:
		if s.Events > 0 && fault != FaultExtra {
			s.writeUnframedStream(w, run, fault)
			return
		}
		s.writeRaw(w, run, fault)
		return
	}
	if s.Events > 0 {
		s.writeStream(w, r, run, fault)
		return
	}
	if !s.wait(r, run, s.WorkTime) {
		return
	}
	text := "answer of " + s.ID + " to " + run.ID
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultTruncated {
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text)
	if fault == FaultTruncated {
		panic(http.ErrAbortHandler)
	}
}

// CrashFault returns the fault of a request that crashes the server, "" for any other.
func CrashFault(r *http.Request) string {
	if r.Header.Get(CauseHeader) == "" {
		return ""
	}
	return cmp.Or(r.Header.Get(CrashHeader), FaultCrash)
}

// crash writes a part of an answer, or nothing, and ends the server.
func (s *Worker) crash(w http.ResponseWriter, r *http.Request, run Run) {
	switch run.Fault {
	case FaultCrash:
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	case FaultCrashEvents:
		s.writeStream(w, r, run, run.Fault)
	}
	time.Sleep(crashDelay)
	s.OnCrash(run)
	panic(http.ErrAbortHandler)
}

// writeUnavailable writes the head of an answer with status 503 and the value of its header
// Retry-After, "" for none.
func writeUnavailable(w http.ResponseWriter, retryAfter string) {
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeStream sends numbered events, beginning after the last one that the caller
// received.
func (s *Worker) writeStream(w http.ResponseWriter, r *http.Request, run Run, fault string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(run.LastEventID)
	last := s.Events
	if fault == FaultCrashEvents {
		last = min(last, first+crashEvents)
	}
	for i := first + 1; i <= last; i++ {
		gap := s.EventGap * time.Duration(max(s.GapFactor[run.Model], 1))
		if i > first+1 {
			gap *= time.Duration(max(run.slowdown, 1))
		}
		if !s.wait(r, run, gap) {
			return
		}
		if fault == FaultTruncated && i > s.Events/2 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", i)
			panic(http.ErrAbortHandler)
		}
		text := ""
		if s.NameEvents {
			text = " of " + run.ID
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d%s\n\n", i, i, text)
		_ = http.NewResponseController(w).Flush()
	}
}

// writeUnframedStream sends numbered events to the connection itself, without chunks.
func (s *Worker) writeUnframedStream(w http.ResponseWriter, run Run, fault string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func(c net.Conn) { _ = c.Close() }(conn)
	text := "HTTP/1.1 200 OK\r\nAttempt-Id: " + run.ID + "\r\nServer-Seal: seal." + s.ID + "\r\nContent-Type: text/event-stream\r\n\r\n"
	first, _ := strconv.Atoi(run.LastEventID)
	for i := first + 1; err == nil; i++ {
		_, err = io.WriteString(conn, text)
		if fault == FaultUnframedEmpty || fault == FaultUnframedCut && i > s.Events/2 || i > s.Events {
			return
		}
		time.Sleep(s.EventGap)
		text = fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if fault == FaultUnframedCut && i == s.Events/2 {
			text = fmt.Sprintf("id: %d\ndata: pi", i)
		}
	}
}

// writeRaw writes the malformed answers, which net/http cannot send, to the
// connection itself.
func (s *Worker) writeRaw(w http.ResponseWriter, run Run, fault string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func(c net.Conn) { _ = c.Close() }(conn)
	text := "answer of " + s.ID + " to " + run.ID
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + run.ID + "\r\nServer-Seal: seal." + s.ID + "\r\n"
	if s.Leaving != nil && s.Leaving() {
		head += "Server-Leaving: 1\r\n"
	}
	if fault == FaultUnframed {
		_, _ = buffered.WriteString(head + "\r\n" + text)
		_ = buffered.Flush()
		return
	}
	response := head + "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	_, _ = buffered.WriteString(response + response)
	_ = buffered.Flush()
}

// writeEndless writes a head or a body until the connection is closed.
func (s *Worker) writeEndless(w http.ResponseWriter, run Run, fault string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func(c net.Conn) { _ = c.Close() }(conn)
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + run.ID + "\r\nServer-Seal: seal." + s.ID + "\r\n"
	if fault == FaultEndlessBody {
		head += "Content-Type: text/event-stream\r\n\r\n"
	}
	part := []byte(head + "X-Part: ")
	for err == nil {
		n := 0
		n, err = conn.Write(part)
		s.written.Add(int64(n))
		part = bytes.Repeat([]byte("a"), endlessPart)
		time.Sleep(time.Millisecond)
	}
}

// Written returns the number of bytes of endless answers that were read.
func (s *Worker) Written() int64 { return s.written.Load() }
