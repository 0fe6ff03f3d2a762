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

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// Store is a stand-in of the platform's metadata store: objects by kind and name, one
// revision counter, conditional writes and watches.
type Store struct {
	Addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storeObject
	events   []storeEvent
	changed  chan struct{}
	down     bool
}

type storeMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeObject struct {
	Metadata storeMeta       `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	object  storeObject
	deleted bool
}

// NewStore starts a store on a free loopback port.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), revision: 100, objects: make(map[string]map[string]*storeObject), changed: make(chan struct{})}
	go http.Serve(l, s)
	return s, nil
}

// Put writes an object's spec as an operator or a server does and returns when the store
// has accepted it.
func (s *Store) Put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.object(kind, name)
	if o == nil {
		o = &storeObject{Metadata: storeMeta{Name: name, Created: s.revision + 1, Finalizers: []string{}}}
	}
	o.Spec = data
	s.record(kind, o, false)
	return time.Now()
}

// Status returns the status of an object.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.object(kind, name); o != nil {
		return o.Status
	}
	return nil
}

// SetDown makes the store answer each call with 503, or serve again. Watches that wait are cut.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.object(kind, name); o != nil {
		s.record(kind, o, true)
	}
}

func (s *Store) object(kind, name string) *storeObject {
	o := s.objects[kind][name]
	if o == nil {
		return nil
	}
	c := *o
	return &c
}

func (s *Store) record(kind string, o *storeObject, deleted bool) {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*storeObject)
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, storeEvent{kind, *o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.object(parts[0], parts[1])
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, parts, body)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []storeObject{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, *o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.object.Metadata.Revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		revision, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var in struct {
		Metadata storeMeta       `json:"metadata"`
		Spec     json.RawMessage `json:"spec"`
		Status   json.RawMessage `json:"status"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	condition := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	o := s.object(kind, name)
	switch {
	case r.Method == http.MethodPost && o != nil:
		reply(w, http.StatusConflict, o)
		return
	case r.Method == http.MethodPost:
		o = &storeObject{Metadata: storeMeta{Name: name, Created: s.revision + 1, Finalizers: []string{}}, Spec: in.Spec}
	case o == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case condition != 0 && condition != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
		return
	case r.Method == http.MethodDelete:
		s.record(kind, o, true)
		reply(w, http.StatusOK, o)
		return
	case len(parts) == 3 && parts[2] == "status":
		if string(o.Status) == string(in.Status) {
			reply(w, http.StatusOK, o)
			return
		}
		o.Status = in.Status
	default:
		if string(o.Spec) == string(in.Spec) {
			reply(w, http.StatusOK, o)
			return
		}
		o.Spec = in.Spec
	}
	s.record(kind, o, false)
	reply(w, http.StatusOK, o)
}
