package watcher_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
	"samphireturn/internal/config/watcher"
)

// store is an object API in memory with faults.
type store struct {
	mu      sync.Mutex
	objects map[string]samphireturn.Object
	clock   uint64
	down    bool
	// lose is the number of manifest writes whose answer is lost; then, if
	// set, runs after each of these.
	lose   int
	then   func()
	writes int
}

func newStore() *store { return &store{objects: make(map[string]samphireturn.Object)} }

func fail(k samphireturn.Kind) error { return &samphireturn.Error{Op: "store", Kind: k} }

func (s *store) Get(_ context.Context, name string) (samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return samphireturn.Object{}, fail(samphireturn.KindUnavailable)
	}
	o, ok := s.objects[name]
	if !ok {
		return o, fail(samphireturn.KindMissing)
	}
	return o, nil
}

func (s *store) Create(_ context.Context, name string, value []byte) (uint64, error) {
	return s.put(name, value, 0)
}

func (s *store) Update(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	return s.put(name, value, version)
}

func (s *store) put(name string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return 0, fail(samphireturn.KindUnavailable)
	}
	if s.objects[name].Version != version {
		s.mu.Unlock()
		return 0, fail(samphireturn.KindConflict)
	}
	s.clock++
	s.writes++
	s.objects[name] = samphireturn.Object{Name: name, Version: s.clock, Value: slices.Clone(value)}
	v, then, lost := s.clock, s.then, s.lose > 0 && name == "config/manifest"
	if lost {
		s.lose--
		s.then = nil
	}
	s.mu.Unlock()
	if !lost {
		return v, nil
	}
	if then != nil {
		then()
	}
	return 0, fail(samphireturn.KindUnknown)
}

func (s *store) Delete(_ context.Context, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != version {
		return fail(samphireturn.KindConflict)
	}
	delete(s.objects, name)
	return nil
}

func (s *store) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []samphireturn.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, samphireturn.Object{Name: name, Version: o.Version})
		}
	}
	slices.SortFunc(list, func(a, b samphireturn.Object) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

func (s *store) Watch(ctx context.Context, name string, since uint64) (samphireturn.Object, error) {
	for range 300 {
		o, err := s.Get(ctx, name)
		if samphireturn.KindOf(err) == samphireturn.KindUnavailable || o.Version > since {
			return o, err
		}
		select {
		case <-ctx.Done():
			return o, fail(samphireturn.KindUnavailable)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return samphireturn.Object{}, fail(samphireturn.KindTimeout)
}

// count returns the number of writes so far.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// control applies events at once.
type control struct {
	mu   sync.Mutex
	snap samphireturn.Snapshot
}

func (c *control) Post(e samphireturn.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Apply(&c.snap)
}

func (c *control) Snapshot() *samphireturn.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.snap
	return &s
}

// mesh links daemons in memory.
type mesh struct {
	mu    sync.Mutex
	peers map[string]*peer
	// sent is the size in bytes of the largest answer.
	sent int
}

type peer struct {
	id       string
	mesh     *mesh
	handlers map[string]samphireturn.Handler
	linked   bool
	// fake, unless empty, is what the daemon answers to questions.
	fake watcher.Bundle
}

// join returns a peer that others don't see before it is linked.
func (m *mesh) join(id string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = make(map[string]*peer)
	}
	m.peers[id] = &peer{id: id, mesh: m, handlers: make(map[string]samphireturn.Handler)}
	return m.peers[id]
}

func (p *peer) link() {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.linked = true
}

func (p *peer) Handle(topic string, h samphireturn.Handler) { p.handlers[topic] = h }

func (p *peer) Connected() []string {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	var ids []string
	for id, other := range p.mesh.peers {
		if id != p.id && other.linked {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (p *peer) Call(ctx context.Context, to, topic string, body, reply any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	p.mesh.mu.Lock()
	other, ok := p.mesh.peers[to]
	ok = ok && other.linked
	var fake watcher.Bundle
	if ok {
		fake = other.fake
	}
	p.mesh.mu.Unlock()
	if !ok {
		return fail(samphireturn.KindUnavailable)
	}
	v, err := other.handlers[topic](ctx, p.id, data)
	if topic == watcher.TopicGet && fake.Generation > 0 {
		v = fake
	}
	if err != nil || reply == nil {
		return err
	}
	if data, err = cbor.Marshal(v); err != nil {
		return err
	}
	p.mesh.mu.Lock()
	p.mesh.sent = max(p.mesh.sent, len(data))
	p.mesh.mu.Unlock()
	return cbor.Unmarshal(data, reply)
}

// offer has the daemon answer questions with a bundle, that is not its own, for
// as long as it is not empty; forged ones have no parts and a high number.
func (m *mesh) offer(id string, b watcher.Bundle, forged bool) {
	if forged {
		b.Generation += 1000
		b.Parts = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[id].fake = b
}
