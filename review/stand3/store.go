package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the part of an object that the store itself keeps.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one change of the store.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// store is a stand-in of the platform's metadata store: objects by kind and name with one revision
// counter, lists, watches and conditional writes.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// apply records a change. The caller holds mu.
func (s *store) apply(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.changes = append(s.changes, change{kind, s.revision, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes the spec of an object, as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = data
	s.apply(kind, o, false)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.apply(kind, o, true)
	}
}

// get returns an object.
func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// serve serves the store at a listener.
func (s *store) serve(l net.Listener) {
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	_ = server.Serve(l)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		answer(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, part, _ := strings.Cut(name, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		if o, ok := s.get(kind, name); ok {
			answer(w, http.StatusOK, o)
			return
		}
		answer(w, http.StatusNotFound, nil)
	default:
		s.write(w, r, kind, name, part)
	}
}

// list answers with the objects of a kind.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "storeRevision": revision})
}

// watch answers with the changes of a kind since a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write creates, replaces or removes an object.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	data, _ := io.ReadAll(r.Body)
	var given object
	if len(data) > 0 && json.Unmarshal(data, &given) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if r.Method == http.MethodPost {
		name = given.Metadata.Name
	}
	expected := given.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expected, _ = strconv.ParseUint(v, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
		return
	case r.Method != http.MethodPost && !exists:
		answer(w, http.StatusNotFound, nil)
		return
	}
	before := o
	switch {
	case r.Method == http.MethodDelete:
		s.apply(kind, o, true)
		answer(w, http.StatusOK, o)
		return
	case part == "status":
		o.Status = given.Status
	default:
		o.Metadata.Name, o.Spec = name, given.Spec
	}
	if !exists || string(before.Spec) != string(o.Spec) || string(before.Status) != string(o.Status) {
		o = s.apply(kind, o, false)
	}
	answer(w, http.StatusOK, o)
}

// answer writes an answer as JSON.
func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
