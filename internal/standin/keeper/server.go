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
	// maxBody bounds the body in bytes of calls other than object writes.
	maxBody = 4 << 20

	defaultWeightRate  = 1
	defaultWeightBurst = 2
)

var (
	markPattern = regexp.MustCompile(`\[q=([01]\.[0-9]+)\]`)

	_ http.Handler = (*Server)(nil)
)

// Server speaks the platform's protocol over HTTP. Exported fields must be set
// before the first call.
type Server struct {
	// Objects holds the objects, the counts of calls and the faults.
	Objects *Objects
	// Lag is the age of the VM list that is shown.
	Lag time.Duration
	// RateDelay is how long a rating takes.
	RateDelay time.Duration
	// WeightLimit bounds the rate of the weight store; nil means 1 a second.
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
	Down  bool  `json:"down"`
	Delay int64 `json:"delay_ms"`
	Lose  int   `json:"lose"`
}

// Mark returns the text by which an answer carries its quality, from 0 to 1, to
// the rating service.
func Mark(quality float64) string {
	quality = min(max(quality, 0), 1)
	return "[q=" + strconv.FormatFloat(quality, 'f', 2, 64) + "]"
}

// Rating returns the quality that the answer's mark carries. An answer without
// a mark gets a rating from 0 to 1 drawn from its text.
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
		s.WeightLimit = rate.NewLimiter(defaultWeightRate, defaultWeightBurst)
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
		refuse(w, err)
		return
	}
	entries := make([]listEntry, 0, len(objs))
	for _, o := range objs {
		entries = append(entries, listEntry{Name: o.Name, Version: o.Version})
	}
	reply(w, entries)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.read(r)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("ETag", tag(obj.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(obj.Value)
}

// read gets the object, or watches it if the query says so.
func (s *Server) read(r *http.Request) (samphireturn.Object, error) {
	name, q := r.PathValue("name"), r.URL.Query()
	if !q.Has("since") {
		return s.Objects.Get(r.Context(), name)
	}
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		return samphireturn.Object{}, failure(OpWatch, name, samphireturn.KindInvalid, err)
	}
	wait := s.Objects.watchTime()
	if q.Has("wait") {
		n, err := strconv.ParseUint(q.Get("wait"), 10, 16)
		if err != nil {
			return samphireturn.Object{}, failure(OpWatch, name, samphireturn.KindInvalid, err)
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
		answerWrite(w, v, http.StatusCreated, err)
		return
	}
	version, ok := parseTag(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a write needs If-None-Match: * or If-Match", http.StatusPreconditionRequired)
		return
	}
	v, err := s.Objects.Update(r.Context(), name, value, version)
	answerWrite(w, v, http.StatusOK, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	version, ok := parseTag(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, "a delete needs If-Match", http.StatusPreconditionRequired)
		return
	}
	if err := s.Objects.Delete(r.Context(), r.PathValue("name"), version); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) rate(w http.ResponseWriter, r *http.Request) {
	if err := s.Objects.Admit(r.Context(), OpRate, ""); err != nil {
		refuse(w, err)
		return
	}
	var req rateRequest
	if !decode(w, r, &req) {
		return
	}
	if !sleep(r.Context(), s.RateDelay) {
		return
	}
	reply(w, rateReply{Rating: Rating(req.Answer)})
}

func (s *Server) weights(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if err := s.Objects.Admit(r.Context(), OpWeights, name); err != nil {
		refuse(w, err)
		return
	}
	if !s.WeightLimit.AllowN(s.Now(), 1) {
		refuse(w, failure(OpWeights, name, samphireturn.KindLimited, nil))
		return
	}
	_, _ = io.WriteString(w, "weights of "+name+"\n")
}

func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Objects.Calls())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
	if !decode(w, r, &f) {
		return
	}
	if f.Delay < 0 || f.Lose < 0 {
		http.Error(w, "delay_ms and lose must not be negative", http.StatusBadRequest)
		return
	}
	s.Objects.SetFaults(Faults{Down: f.Down, Delay: time.Duration(f.Delay) * time.Millisecond, DropReplies: f.Lose})
	w.WriteHeader(http.StatusNoContent)
}
