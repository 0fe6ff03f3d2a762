package keeper

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"samphireturn"
)

const (
	// maxBodyBytes bounds the body of calls other than object writes.
	maxBodyBytes = 4 << 20

	defaultWeightsPerSecond = 1
	defaultWeightBurst      = 2
)

var (
	markPattern = regexp.MustCompile(`\[q=([01]\.[0-9]+)\]`)

	_ http.Handler = (*Server)(nil)
)

// Server speaks the platform's protocol over HTTP. Exported fields must be set
// before the first call.
type Server struct {
	// Objects holds the objects, the counts of calls and the injected faults.
	Objects *Objects
	// Lag is the delay until a change of the VM list is visible.
	Lag time.Duration
	// RateDelay is the time that a rating takes.
	RateDelay time.Duration
	// WeightLimit is the rate limit of the weight store; nil means 1 weight per second
	// with a burst of 2.
	WeightLimit *rate.Limiter
	// Now reads the clock; nil means time.Now.
	Now func() time.Time

	once    sync.Once
	mux     *http.ServeMux
	mu      sync.Mutex
	vms     map[string]samphireturn.VM
	pending []vmChange
}

type listEntry struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

type rateRequest struct {
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

type rateReply struct {
	Rating float64 `json:"rating"`
}

type faultRequest struct {
	Down        bool  `json:"down"`
	Delay       int64 `json:"delay_ms"`
	DropReplies int   `json:"lose"`
}

// QualityMark returns the text that an answer contains to tell Rating its quality, from
// 0 to 1.
func QualityMark(quality float64) string {
	quality = min(max(quality, 0), 1)
	return "[q=" + strconv.FormatFloat(quality, 'f', 2, 64) + "]"
}

// Rating returns the quality that the answer's mark states. For an answer without
// a mark it returns a rating from 0 to 1 derived from a hash of the text.
func Rating(answer string) float64 {
	m := markPattern.FindStringSubmatch(answer)
	if m == nil {
		return float64(xxhash.Sum64String(answer)%101) / 100
	}
	q, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return 0
	}
	return min(q, 1)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.setUp)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) setUp() {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.WeightLimit == nil {
		s.WeightLimit = rate.NewLimiter(defaultWeightsPerSecond, defaultWeightBurst)
	}
	s.vms = make(map[string]samphireturn.VM)
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /v1/objects", s.list)
	s.mux.HandleFunc("GET /v1/objects/{name...}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{name...}", s.put)
	s.mux.HandleFunc("DELETE /v1/objects/{name...}", s.remove)
	s.mux.HandleFunc("GET /v1/vms", s.listVMs)
	s.mux.HandleFunc("PUT /v1/vms/{id}", s.putVM)
	s.mux.HandleFunc("DELETE /v1/vms/{id}", s.removeVM)
	s.mux.HandleFunc("POST /v1/ratings", s.rate)
	s.mux.HandleFunc("GET /v1/weights/{name...}", s.weights)
	s.mux.HandleFunc("GET /v1/calls", s.showCalls)
	s.mux.HandleFunc("PUT /v1/faults", s.setFaults)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objs, err := s.Objects.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	entries := make([]listEntry, 0, len(objs))
	for _, o := range objs {
		entries = append(entries, listEntry{Name: o.Name, Version: o.Version})
	}
	writeJSON(w, entries)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.read(r)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", formatETag(obj.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(obj.Value)
}

// read returns the object, or watches it if the query has "since".
func (s *Server) read(r *http.Request) (samphireturn.Object, error) {
	name, q := r.PathValue("name"), r.URL.Query()
	if !q.Has("since") {
		return s.Objects.Get(r.Context(), name)
	}
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		return samphireturn.Object{}, newError(OpWatch, name, samphireturn.KindInvalid, err)
	}
	wait := s.Objects.watchTime()
	if q.Has("wait") {
		n, err := strconv.ParseUint(q.Get("wait"), 10, 16)
		if err != nil {
			return samphireturn.Object{}, newError(OpWatch, name, samphireturn.KindInvalid, err)
		}
		wait = min(wait, time.Duration(n)*time.Second)
	}
	return s.Objects.watch(r.Context(), name, since, wait)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > MaxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	if r.Header.Get("If-None-Match") == "*" {
		v, err := s.Objects.Create(r.Context(), name, value)
		writeResult(w, v, http.StatusCreated, err)
		return
	}
	version, ok := parseETag(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a write needs If-None-Match: * or If-Match", http.StatusPreconditionRequired)
		return
	}
	v, err := s.Objects.Update(r.Context(), name, value, version)
	writeResult(w, v, http.StatusOK, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	version, ok := parseETag(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a delete needs If-Match", http.StatusPreconditionRequired)
		return
	}
	if err := s.Objects.Delete(r.Context(), r.PathValue("name"), version); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) rate(w http.ResponseWriter, r *http.Request) {
	if err := s.Objects.Admit(r.Context(), OpRate, ""); err != nil {
		writeError(w, err)
		return
	}
	var req rateRequest
	if !decode(w, r, &req) {
		return
	}
	if !sleep(r.Context(), s.RateDelay) {
		return
	}
	writeJSON(w, rateReply{Rating: Rating(req.Answer)})
}

func (s *Server) weights(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if err := s.Objects.Admit(r.Context(), OpWeights, name); err != nil {
		writeError(w, err)
		return
	}
	if !s.WeightLimit.AllowN(s.Now(), 1) {
		writeError(w, newError(OpWeights, name, samphireturn.KindLimited, nil))
		return
	}
	_, _ = io.WriteString(w, "weights of "+name+"\n")
}

func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Objects.Calls())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
	if !decode(w, r, &f) {
		return
	}
	if f.Delay < 0 || f.DropReplies < 0 {
		http.Error(w, "delay_ms and lose must not be negative", http.StatusBadRequest)
		return
	}
	s.Objects.SetFaults(Faults{Down: f.Down, Delay: time.Duration(f.Delay) * time.Millisecond, DropReplies: f.DropReplies})
	w.WriteHeader(http.StatusNoContent)
}
