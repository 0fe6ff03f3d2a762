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

	// eraHeader is the header of all answers that holds the era.
	eraHeader = "Store-Era"

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
		name     string
		revision uint64
		at       time.Time
		// outside is true for a change by Put, PutRaw or Delete.
		outside bool
	}

	// Faults are the faults that the store injects into calls.
	Faults struct {
		// Status, if not zero, is the status that answers each call.
		Status int
		// Reset closes the connection of each call without an answer.
		Reset bool
		// DropReplies carries out each write and closes the connection without an answer.
		DropReplies bool
		// Delay passes before each call takes effect, and AnswerDelay between its effect
		// and its answer.
		Delay, AnswerDelay time.Duration
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
		// changes holds all changes since the start, from which Restore builds a copy.
		changes []event
		// lost holds, by kind and name, the last change of each object since the copy that
		// Put, PutRaw or Delete made, until it is made again.
		lost map[[2]string]event
		// era is the era; zero if answers hold none.
		era uint64
		// eraText, if not nil, returns the era's header, "" for none.
		eraText func(era uint64) string
		changed chan struct{}
		faults  Faults
		calls   map[string]int
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

// StartEra makes all answers hold an era from now on.
func (s *Registrar) StartEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// SetEraText replaces the header of the era in all answers by what text returns, "" for
// none; nil restores it.
func (s *Registrar) SetEraText(text func(era uint64) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraText = text
}

// Restore brings the store back from a copy that was made the given time ago: the objects
// and the revision are those of then, the changes since are forgotten, and the next era
// begins, if there are eras.
func (s *Registrar) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	changes := s.changes
	s.revision, s.objects, s.changes, s.stale = 0, nil, nil, nil
	if s.lost == nil {
		s.lost = make(map[[2]string]event)
	}
	for _, e := range changes {
		if !e.at.After(copied) {
			s.revision = e.revision
			s.applyChange(e)
			continue
		}
		if e.outside {
			s.lost[[2]string{e.kind, e.name}] = e
		}
	}
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.revision > s.revision })
	s.compacted = min(s.compacted, s.revision)
	if s.era > 0 {
		s.era++
	}
	s.notifyWatches()
}

// WriteLost makes the changes again that Put, PutRaw and Delete made and Restore lost, as the
// operator and the servers would.
func (s *Registrar) WriteLost() {
	s.mu.Lock()
	lost := s.lost
	s.lost = nil
	s.mu.Unlock()
	for key, e := range lost {
		var o Object
		switch {
		case e.Deleted:
			s.Delete(key[0], key[1])
		case json.Unmarshal(e.Object, &o) != nil || o.Metadata.Revision == 0:
			s.PutRaw(key[0], key[1], string(e.Object))
		default:
			// The spec is encoded already and encodes as it is.
			_ = s.Put(key[0], key[1], o.Spec)
		}
	}
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
	s.markOutside(kind, name)
	return nil
}

// PutStatus replaces an object's status, if there is one, as a daemon would.
func (s *Registrar) PutStatus(kind, name string, status any) error {
	data, err := json.Marshal(status)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.get(kind, name); o != nil {
		o.Status = data
		s.save(kind, o)
	}
	return nil
}

// PutRaw stores bytes as an object, valid or not, as another writer might.
func (s *Registrar) PutRaw(kind, name, object string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.recordChange(kind, name, json.RawMessage(object), false)
	s.markOutside(kind, name)
}

// Delete removes an object.
func (s *Registrar) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remove(kind, name) {
		s.markOutside(kind, name)
	}
}

// markOutside marks the last change, of the named object, as made by Put, PutRaw or Delete.
// The caller holds mu.
func (s *Registrar) markOutside(kind, name string) {
	s.changes[len(s.changes)-1].outside = true
	delete(s.lost, [2]string{kind, name})
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

// remove removes an object and reports whether there was one. The caller holds mu.
func (s *Registrar) remove(kind, name string) bool {
	raw, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	s.recordChange(kind, name, raw, true)
	return true
}

// recordChange updates the objects and the history and wakes the watches. The
// caller holds mu.
func (s *Registrar) recordChange(kind, name string, raw json.RawMessage, deleted bool) {
	e := event{Object: raw, Deleted: deleted, kind: kind, name: name, revision: s.revision, at: time.Now()}
	s.applyChange(e)
	s.history = append(s.history, e)
	s.notifyWatches()
}

// applyChange updates the objects and adds the change to all changes. The caller holds mu.
func (s *Registrar) applyChange(e event) {
	if s.objects == nil {
		s.objects = make(map[string]map[string]json.RawMessage)
	}
	if s.objects[e.kind] == nil {
		s.objects[e.kind] = make(map[string]json.RawMessage)
	}
	if e.Deleted {
		delete(s.objects[e.kind], e.name)
	} else {
		s.objects[e.kind][e.name] = e.Object
	}
	s.changes = append(s.changes, e)
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
	var res response
	switch {
	case faults.Status != 0:
		res = response{status: faults.Status, era: s.eraValue()}
	case r.Method == http.MethodGet:
		res = s.read(r, parts)
	default:
		res = s.applyWrite(r, parts)
	}
	if faults.DropReplies && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.AnswerDelay)
	res.write(w)
}

// eraValue returns the header of the era.
func (s *Registrar) eraValue() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eraValueLocked()
}

// eraValueLocked returns the header of the era. The caller holds mu.
func (s *Registrar) eraValueLocked() string {
	switch {
	case s.eraText != nil:
		return s.eraText(s.era)
	case s.era > 0:
		return strconv.FormatUint(s.era, 10)
	}
	return ""
}

// callName returns the name under which a call is counted.
func callName(r *http.Request, kind string) string {
	if r.URL.Query().Has("staleOk") {
		return Stale + kind
	}
	return r.Method + " " + kind
}

// response is an answer to a call. It is zero if the caller has left.
type response struct {
	status int
	body   any
	era    string
}

// write writes the answer.
func (res response) write(w http.ResponseWriter) {
	if res.status == 0 {
		return
	}
	if res.era != "" {
		w.Header().Set(eraHeader, res.era)
	}
	data, err := encode(res.body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(res.status)
	_, _ = w.Write(data)
}

// read carries out a read of an object, a list or a watch.
func (s *Registrar) read(r *http.Request, parts []string) response {
	query := r.URL.Query()
	if len(parts) == 1 && query.Has("watch") {
		return s.watch(r, parts[0])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	res := response{status: http.StatusOK, era: s.eraValueLocked()}
	if len(parts) > 1 {
		o := s.get(parts[0], parts[1])
		if o == nil {
			res.status = http.StatusNotFound
		}
		res.body = o
		return res
	}
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
	res.body = listAnswer{items, more, s.revision}
	return res
}

// watch waits for changes after the revision that a call names.
func (s *Registrar) watch(r *http.Request, kind string) response {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		res, changed := s.changesSince(kind, since, expired)
		if res.status != 0 {
			return res
		}
		select {
		case <-r.Context().Done():
			return response{}
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// changesSince returns the answer to a watch, which is zero if there is no change and the
// watch has not expired, and a channel that is closed at the next change.
func (s *Registrar) changesSince(kind string, since uint64, expired bool) (response, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if since < s.compacted || since > s.revision {
		return response{status: http.StatusGone, era: s.eraValueLocked()}, s.changed
	}
	events := []event{}
	for _, e := range s.history {
		if e.kind == kind && e.revision > since {
			events = append(events, e)
		}
	}
	if len(events) == 0 && !expired {
		return response{}, s.changed
	}
	return response{status: http.StatusOK, body: watchAnswer{events, s.revision}, era: s.eraValueLocked()}, s.changed
}

func (s *Registrar) applyWrite(r *http.Request, parts []string) response {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	var in Object
	if err != nil || len(data) > 0 && json.Unmarshal(data, &in) != nil {
		return response{status: http.StatusBadRequest, era: s.eraValue()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body := s.applyObject(r.Method, parts, &in)
	return response{status: status, body: body, era: s.eraValueLocked()}
}

// applyObject carries out a write and returns the answer's status and body. The caller
// holds mu.
func (s *Registrar) applyObject(method string, parts []string, in *Object) (int, any) {
	kind := parts[0]
	if method == http.MethodPost {
		if s.get(kind, in.Metadata.Name) != nil {
			return http.StatusConflict, s.get(kind, in.Metadata.Name)
		}
		in.Status = nil
		s.save(kind, in)
		return http.StatusCreated, in
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
	if method == http.MethodDelete {
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
