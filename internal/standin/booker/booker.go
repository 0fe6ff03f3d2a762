// Package booker is a stand-in for a plain service that books slots. Its bookings
// are not idempotent, so they must not be retried once run.
package booker

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"samphireturn/internal/standin/injector"
)

const (
	defaultBudget = 64
	defaultSlots  = 100
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 1 << 20

	headerRequest = "X-Request-Id"
	headerStarted = "X-Started"
)

var _ http.Handler = (*Booker)(nil)

// Booker is a plain service. Exported fields must be set before the first
// request; zero fields get defaults.
type Booker struct {
	// ID names the service's VM in reports.
	ID string
	// Incarnation identifies the process; it changes with each start.
	Incarnation uint64
	// Budget bounds the requests in flight.
	Budget int
	// Slots is the number of slots that can be booked.
	Slots int
	// WorkTime is the time that each request takes.
	WorkTime time.Duration
	Injector injector.Injector

	once     sync.Once
	mux      *http.ServeMux
	mu       sync.Mutex
	inFlight int
	runs     map[string]int
	holders  map[int]string
	bookings int
	lastID   string
}

type slot struct {
	Slot int    `json:"slot"`
	Name string `json:"name"`
}

type bookingReply struct {
	Booking int    `json:"booking"`
	Request string `json:"request"`
}

type report struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"start"`
	Budget      int    `json:"budget"`
	InFlight    int    `json:"used"`
	Leaving     bool   `json:"leaving"`
	Bookings    int    `json:"bookings"`
}

type errorReply struct {
	Error string `json:"error"`
}

// RunCount returns how many times the request id was run.
func (b *Booker) RunCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// Bookings returns the number of bookings made.
func (b *Booker) Bookings() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bookings
}

// ServeHTTP implements http.Handler.
func (b *Booker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.once.Do(b.setUp)
	b.mux.ServeHTTP(w, r)
}

func (b *Booker) setUp() {
	if b.Budget == 0 {
		b.Budget = defaultBudget
	}
	if b.Slots == 0 {
		b.Slots = defaultSlots
	}
	b.runs = make(map[string]int)
	b.holders = make(map[int]string)
	b.mux = http.NewServeMux()
	b.mux.HandleFunc("GET /slots", b.withFaults(b.listSlots))
	b.mux.HandleFunc("PUT /slots/{n}", b.withFaults(b.takeSlot))
	b.mux.HandleFunc("POST /bookings", b.withFaults(b.createBooking))
	b.mux.HandleFunc("GET /report", b.report)
	b.mux.Handle("PUT /faults", &b.Injector)
}

// withFaults wraps a handler with the budget, the injected faults, the work time and
// the count of runs. SwapAnswer replaces only the request id in the answer's header.
func (b *Booker) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerRequest)
		w.Header().Set(headerRequest, id)
		f := b.Injector.Draw(id)
		if f.Delay > 0 && !sleep(r, f.Delay) {
			return
		}
		if f.ResetBefore {
			panic(http.ErrAbortHandler)
		}
		if f.Refuse || b.Injector.Faults().Draining || !b.acquire() {
			writeNotStarted(w, id)
			return
		}
		defer b.release()
		if !sleep(r, b.WorkTime) {
			return
		}
		answeredID := b.recordRun(id)
		if !f.SwapAnswer {
			answeredID = id
		}
		w.Header().Set(headerRequest, answeredID)
		switch {
		case f.ResetAfter:
			next(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case f.Fail:
			next(discardWriter{http.Header{}}, r)
			writeJSON(w, http.StatusInternalServerError, errorReply{Error: "the service failed"})
		default:
			next(w, r)
		}
	}
}

// acquire takes one request from the budget and reports whether there was room.
func (b *Booker) acquire() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight >= b.Budget {
		return false
	}
	b.inFlight++
	return true
}

func (b *Booker) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// recordRun records a run of id and returns the id of the run before it.
func (b *Booker) recordRun(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	previous := b.lastID
	b.lastID = id
	return previous
}

func (b *Booker) listSlots(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	holders := maps.Clone(b.holders)
	b.mu.Unlock()
	slots := make([]slot, 0, b.Slots)
	for n := 1; n <= b.Slots; n++ {
		slots = append(slots, slot{Slot: n, Name: holders[n]})
	}
	writeJSON(w, http.StatusOK, slots)
}

func (b *Booker) takeSlot(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.PathValue("n"))
	if err != nil || n < 1 || n > b.Slots {
		writeJSON(w, http.StatusNotFound, errorReply{Error: "no such slot"})
		return
	}
	var s slot
	err = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&s)
	if err != nil || s.Name == "" {
		writeJSON(w, http.StatusBadRequest, errorReply{Error: "body names nobody"})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if holder, ok := b.holders[n]; ok && holder != s.Name {
		writeJSON(w, http.StatusConflict, errorReply{Error: "slot is taken"})
		return
	}
	b.holders[n] = s.Name
	writeJSON(w, http.StatusOK, slot{Slot: n, Name: s.Name})
}

func (b *Booker) createBooking(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bookings++
	writeJSON(w, http.StatusCreated, bookingReply{Booking: b.bookings, Request: r.Header.Get(headerRequest)})
}

func (b *Booker) report(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	writeJSON(w, http.StatusOK, report{
		ID: b.ID, Incarnation: b.Incarnation, Budget: b.Budget, InFlight: b.inFlight,
		Leaving: b.Injector.Faults().Draining, Bookings: b.bookings,
	})
}

// writeNotStarted answers that the request was not started.
func writeNotStarted(w http.ResponseWriter, id string) {
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerStarted, "no")
	w.Header().Set("Retry-After", "1")
	writeJSON(w, http.StatusServiceUnavailable, errorReply{Error: "not started"})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// sleep waits for d and reports whether the caller was still connected at the end.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discardWriter is a ResponseWriter that drops the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
