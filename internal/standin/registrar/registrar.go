// Package registrar is a stand-in for the users' store. It serves objects by kind
// and name with revisions, paged lists, watches, conditional writes and a status
// subresource, and can inject the faults of such a store.
package registrar

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Stale is the first part of the names of reads that may be stale.
	Stale = "STALE "

	prefix       = "/v1/objects/"
	pageSize     = 50
	maxBodyBytes = 1 << 20
)

type (
	// Metadata holds an object's name, revisions and deletion state.
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

	// event is one change of an object, as a watch returns it.
	event struct {
		Object   json.RawMessage `json:"object"`
		Deleted  bool            `json:"deleted"`
		kind     string
		revision uint64
	}

	// Faults are the faults that the store injects into calls.
	Faults struct {
		// Status, if not zero, is the status that answers each call.
		Status int
		// Reset closes the connection of each call without an answer.
		Reset bool
		// DropReplies carries out each write and closes the connection without an answer.
		DropReplies bool
		// Delay passes before each call takes effect.
		Delay time.Duration
		// From limits the faults to calls whose remote address has this prefix; empty
		// means all calls.
		From string
	}

	// Registrar is an http.Handler. The zero value is ready to use.
	Registrar struct {
		mu        sync.Mutex
		revision  uint64
		compacted uint64
		objects   map[string]map[string]json.RawMessage
		history   []event
		changed   chan struct{}
		faults    Faults
		calls     map[string]int
		// stale holds the objects that reads which may be stale return; nil for the
		// current ones.
		stale map[string]map[string]json.RawMessage
	}
)

// SetFaults replaces the injected faults.
func (s *Registrar) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// FreezeStale makes reads that may be stale return the objects as they are now.
func (s *Registrar) FreezeStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = make(map[string]map[string]json.RawMessage)
	for kind, objects := range s.objects {
		s.stale[kind] = maps.Clone(objects)
	}
}

// Calls returns the number of calls since the last call of Calls, by method and
// kind; the names of reads that may be stale begin with Stale.
func (s *Registrar) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return calls
}

// Put creates an object or replaces its spec, as the operator or a server would.
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
	s.save(kind, &o)
	return nil
}

// PutRaw stores bytes as an object, valid or not, as another writer might.
func (s *Registrar) PutRaw(kind, name, object string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.recordChange(kind, name, json.RawMessage(object), false)
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

// Compact drops the history of changes. Watches from an older revision get 410
// Gone and must list again.
func (s *Registrar) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
	s.notifyWatches()
}

// get returns an object, or nil. The caller holds mu.
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

// save stores an object with the next revision. The caller holds mu.
func (s *Registrar) save(kind string, o *Object) {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	s.recordChange(kind, o.Metadata.Name, data, false)
}

// remove removes an object, if there is one. The caller holds mu.
func (s *Registrar) remove(kind, name string) {
	raw, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	s.recordChange(kind, name, raw, true)
}

// recordChange updates the objects and the history and wakes the watches. The
// caller holds mu.
func (s *Registrar) recordChange(kind, name string, raw json.RawMessage, deleted bool) {
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
	s.history = append(s.history, event{Object: raw, Deleted: deleted, kind: kind, revision: s.revision})
	s.notifyWatches()
}

func (s *Registrar) notifyWatches() {
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
	s.calls[callName(r, parts[0])]++
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
		s.serveRead(w, r, parts)
		return
	}
	status, body := s.applyWrite(r, parts)
	if faults.DropReplies {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

// callName returns the name under which a call is counted.
func callName(r *http.Request, kind string) string {
	if r.URL.Query().Has("staleOk") {
		return Stale + kind
	}
	return r.Method + " " + kind
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Registrar) serveRead(w http.ResponseWriter, r *http.Request, parts []string) {
	if len(parts) > 1 {
		if o := s.Get(parts[0], parts[1]); o != nil {
			writeJSON(w, http.StatusOK, o)
			return
		}
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	query := r.URL.Query()
	if query.Has("watch") {
		s.serveWatch(w, r, parts[0])
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := s.objects[parts[0]]
	if query.Has("staleOk") && s.stale != nil {
		objects = s.stale[parts[0]]
	}
	names := make([]string, 0, len(objects))
	for name := range objects {
		if name > query.Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]json.RawMessage, 0, len(names))
	for _, name := range names {
		items = append(items, objects[name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": s.revision})
}

func (s *Registrar) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		if since < s.compacted {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func (s *Registrar) applyWrite(r *http.Request, parts []string) (int, any) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
		s.save(kind, &in)
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
	s.save(kind, old)
	return http.StatusOK, old
}
