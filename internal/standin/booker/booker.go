// Package booker is the stand-in of a plain service that books slots. Its
// bookings may not be repeated.
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
	// maxBody bounds a request body in bytes.
	maxBody = 1 << 20

	headerRequest = "X-Request-Id"
	headerStarted = "X-Started"
)

var _ http.Handler = (*Booker)(nil)

// Booker is a plain service. Exported fields must be set before the first
// request; zero fields get defaults.
type Booker struct {
	// ID names the service's VM in reports.
	ID string
	// Incarnation is the start number; a new process has another.
	Incarnation uint64
	// Budget is the number of concurrent calls.
	Budget int
	// Slots is the number of slots.
	Slots int
	// WorkTime is how long each call takes.
	WorkTime time.Duration
	Injector injector.Injector

	once     sync.Once
	mux      *http.ServeMux
	mu       sync.Mutex
	used     int
	runs     map[string]int
	taken    map[int]string
	bookings int
	last     string
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
	ID       string `json:"id"`
	Start    uint64 `json:"start"`
	Budget   int    `json:"budget"`
	Used     int    `json:"used"`
	Leaving  bool   `json:"leaving"`
	Bookings int    `json:"bookings"`
}

type errorReply struct {
	Error string `json:"error"`
}

// RunCount returns how often the request id was run.
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
	b.taken = make(map[int]string)
	b.mux = http.NewServeMux()
	b.mux.HandleFunc("GET /slots", b.work(b.list))
	b.mux.HandleFunc("PUT /slots/{n}", b.work(b.take))
	b.mux.HandleFunc("POST /bookings", b.work(b.book))
	b.mux.HandleFunc("GET /report", b.report)
	b.mux.Handle("PUT /faults", &b.Injector)
}

// work wraps a handler with the budget, the faults and the count of runs.
func (b *Booker) work(next http.HandlerFunc) http.HandlerFunc {
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
		if f.Refuse || b.Injector.Faults().Leaving || !b.begin() {
			refuse(w, id)
			return
		}
		defer b.end()
		if !sleep(r, b.WorkTime) {
			return
		}
		answers := b.count(id)
		if !f.Crossed {
			answers = id
		}
		w.Header().Set(headerRequest, answers)
		switch {
		case f.ResetAfter:
			next(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case f.Fail:
			next(discard{http.Header{}}, r)
			write(w, http.StatusInternalServerError, errorReply{Error: "the service failed"})
		default:
			next(w, r)
		}
	}
}

// begin takes one call from the budget.
func (b *Booker) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used >= b.Budget {
		return false
	}
	b.used++
	return true
}

func (b *Booker) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
}

// count records a run of id and returns the id of the run before it.
func (b *Booker) count(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	previous := b.last
	b.last = id
	return previous
}

func (b *Booker) list(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	taken := maps.Clone(b.taken)
	b.mu.Unlock()
	slots := make([]slot, 0, b.Slots)
	for n := 1; n <= b.Slots; n++ {
		slots = append(slots, slot{Slot: n, Name: taken[n]})
	}
	write(w, http.StatusOK, slots)
}

func (b *Booker) take(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.PathValue("n"))
	if err != nil || n < 1 || n > b.Slots {
		write(w, http.StatusNotFound, errorReply{Error: "no such slot"})
		return
	}
	var s slot
	err = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&s)
	if err != nil || s.Name == "" {
		write(w, http.StatusBadRequest, errorReply{Error: "body names nobody"})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if holder, ok := b.taken[n]; ok && holder != s.Name {
		write(w, http.StatusConflict, errorReply{Error: "slot is taken"})
		return
	}
	b.taken[n] = s.Name
	write(w, http.StatusOK, slot{Slot: n, Name: s.Name})
}

func (b *Booker) book(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bookings++
	write(w, http.StatusCreated, bookingReply{Booking: b.bookings, Request: r.Header.Get(headerRequest)})
}

func (b *Booker) report(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	write(w, http.StatusOK, report{
		ID: b.ID, Start: b.Incarnation, Budget: b.Budget, Used: b.used,
		Leaving: b.Injector.Faults().Leaving, Bookings: b.bookings,
	})
}

// refuse answers that the request was not started.
func refuse(w http.ResponseWriter, id string) {
	w.Header().Set(headerRequest, id)
	w.Header().Set(headerStarted, "no")
	w.Header().Set("Retry-After", "1")
	write(w, http.StatusServiceUnavailable, errorReply{Error: "not started"})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// sleep waits for d and reports whether the caller waited that long.
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

// discard is a ResponseWriter whose answer is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
