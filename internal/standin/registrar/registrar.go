// Package registrar is a stand-in of the users' store: objects by kind and name
// with revisions, lists in pages, watches, conditional writes and status, and the
// faults that such a store shows.
package registrar

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	prefix   = "/v1/objects/"
	pageSize = 50
	maxBody  = 1 << 20
)

type (
	// Metadata heads an object.
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	}

	// Object is one object of the store.
	Object struct {
		Metadata Metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
		Status   json.RawMessage `json:"status"`
	}

	// event is a change.
	event struct {
		Object  json.RawMessage `json:"object"`
		Deleted bool            `json:"deleted"`
		kind    string
		at      uint64
	}

	// Faults are what the store does wrong.
	Faults struct {
		// Status, if set, answers each call.
		Status int
		// Reset breaks each connection instead of an answer.
		Reset bool
		// DropReplies carries out each write and breaks the connection.
		DropReplies bool
		// Delay comes before each answer.
		Delay time.Duration
		// From limits the faults to calls of these remote addresses; empty means all.
		From string
	}

	// Registrar is an http.Handler. The zero value is ready to use.
	Registrar struct {
		mu       sync.Mutex
		revision uint64
		floor    uint64
		objects  map[string]map[string]json.RawMessage
		history  []event
		changed  chan struct{}
		faults   Faults
		calls    map[string]int
	}
)

// SetFaults replaces the faults.
func (s *Registrar) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by method and kind, and starts to count anew.
func (s *Registrar) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return calls
}

// Put writes the spec of an object as the operator or a server would.
func (s *Registrar) Put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := Object{Metadata: Metadata{Name: name}}
	if raw, ok := s.objects[kind][name]; ok {
		if err := json.Unmarshal(raw, &o); err != nil {
			return err
		}
	}
	o.Spec = data
	s.store(kind, &o)
	return nil
}

// PutRaw writes bytes in the place of an object, as another writer might.
func (s *Registrar) PutRaw(kind, name, object string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keep(kind, name, json.RawMessage(object), false)
}

// Delete removes an object.
func (s *Registrar) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Get returns an object, or nil.
func (s *Registrar) Get(kind, name string) *Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(kind, name)
}

// Compact drops the history, so that watches must begin anew.
func (s *Registrar) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.floor = s.revision
	s.wake()
}

func (s *Registrar) get(kind, name string) *Object {
	raw, ok := s.objects[kind][name]
	if !ok {
		return nil
	}
	var o Object
	if json.Unmarshal(raw, &o) != nil {
		return nil
	}
	return &o
}

// store gives an object the next revision. The caller holds mu.
func (s *Registrar) store(kind string, o *Object) {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	s.keep(kind, o.Metadata.Name, data, false)
}

func (s *Registrar) remove(kind, name string) {
	raw, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	s.keep(kind, name, raw, true)
}

// keep records a change. The caller holds mu.
func (s *Registrar) keep(kind, name string, raw json.RawMessage, deleted bool) {
	if s.objects == nil {
		s.objects = make(map[string]map[string]json.RawMessage)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]json.RawMessage)
	}
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = raw
	}
	s.history = append(s.history, event{Object: raw, Deleted: deleted, kind: kind, at: s.revision})
	s.wake()
}

func (s *Registrar) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Registrar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, prefix)
	if !ok {
		http.NotFound(w, r)
		return
	}
	parts := strings.Split(rest, "/")
	s.mu.Lock()
	faults := s.faults
	if faults.From != "" && !strings.HasPrefix(r.RemoteAddr, faults.From) {
		faults = Faults{}
	}
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[r.Method+" "+parts[0]]++
	s.mu.Unlock()
	select {
	case <-r.Context().Done():
		return
	case <-time.After(faults.Delay):
	}
	if faults.Reset {
		panic(http.ErrAbortHandler)
	}
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
		return
	}
	if r.Method == http.MethodGet {
		s.read(w, r, parts)
		return
	}
	status, body := s.write(r, parts)
	if faults.DropReplies {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Registrar) read(w http.ResponseWriter, r *http.Request, parts []string) {
	if len(parts) > 1 {
		if o := s.Get(parts[0], parts[1]); o != nil {
			answer(w, http.StatusOK, o)
			return
		}
		answer(w, http.StatusNotFound, nil)
		return
	}
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r, parts[0])
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[parts[0]]))
	for name := range s.objects[parts[0]] {
		if name > query.Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]json.RawMessage, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[parts[0]][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": s.revision})
}

func (s *Registrar) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	over := false
	for {
		s.mu.Lock()
		if since < s.floor {
			s.mu.Unlock()
			answer(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

func (s *Registrar) write(r *http.Request, parts []string) (int, any) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	var in Object
	if len(data) > 0 && json.Unmarshal(data, &in) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := parts[0]
	if r.Method == http.MethodPost {
		if s.get(kind, in.Metadata.Name) != nil {
			return http.StatusConflict, s.get(kind, in.Metadata.Name)
		}
		in.Status = nil
		s.store(kind, &in)
		return http.StatusCreated, &in
	}
	if len(parts) < 2 {
		return http.StatusBadRequest, nil
	}
	old := s.get(kind, parts[1])
	if old == nil {
		return http.StatusNotFound, nil
	}
	if in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision {
		return http.StatusConflict, old
	}
	if r.Method == http.MethodDelete {
		s.remove(kind, parts[1])
		return http.StatusOK, old
	}
	if len(parts) == 3 && parts[2] == "status" {
		old.Status = in.Status
	} else {
		old.Spec, old.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	}
	s.store(kind, old)
	return http.StatusOK, old
}
