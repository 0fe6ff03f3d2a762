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

// store is an object store in memory that injects faults.
type store struct {
	mu          sync.Mutex
	objects     map[string]samphireturn.Object
	lastVersion uint64
	down        bool
	// dropReplies is the number of manifest writes that succeed but return
	// KindUnknown. afterDrop, if set, runs after the first of them.
	dropReplies int
	afterDrop   func()
	writes      int
}

func newStore() *store { return &store{objects: make(map[string]samphireturn.Object)} }

func storeError(k samphireturn.Kind) error { return &samphireturn.Error{Op: "store", Kind: k} }

func (s *store) Get(_ context.Context, name string) (samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return samphireturn.Object{}, storeError(samphireturn.KindUnavailable)
	}
	o, ok := s.objects[name]
	if !ok {
		return o, storeError(samphireturn.KindMissing)
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
		return 0, storeError(samphireturn.KindUnavailable)
	}
	if s.objects[name].Version != version {
		s.mu.Unlock()
		return 0, storeError(samphireturn.KindConflict)
	}
	s.lastVersion++
	s.writes++
	s.objects[name] = samphireturn.Object{Name: name, Version: s.lastVersion, Value: slices.Clone(value)}
	v, afterDrop, dropped := s.lastVersion, s.afterDrop, s.dropReplies > 0 && name == "config/manifest"
	if dropped {
		s.dropReplies--
		s.afterDrop = nil
	}
	s.mu.Unlock()
	if !dropped {
		return v, nil
	}
	if afterDrop != nil {
		afterDrop()
	}
	return 0, storeError(samphireturn.KindUnknown)
}

func (s *store) Delete(_ context.Context, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != version {
		return storeError(samphireturn.KindConflict)
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
			return o, storeError(samphireturn.KindUnavailable)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return samphireturn.Object{}, storeError(samphireturn.KindTimeout)
}

// writeCount returns the number of writes so far.
func (s *store) writeCount() int {
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

// mesh connects daemons in memory.
type mesh struct {
	mu    sync.Mutex
	peers map[string]*peer
	// largestReply is the size in bytes of the largest reply.
	largestReply int
}

type peer struct {
	id        string
	mesh      *mesh
	handlers  map[string]samphireturn.Handler
	connected bool
	// replyOverride, unless its generation is zero, replaces the daemon's replies to
	// TopicGet.
	replyOverride watcher.Bundle
}

// addPeer returns a new peer, which others do not see before it is connected.
func (m *mesh) addPeer(id string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = make(map[string]*peer)
	}
	m.peers[id] = &peer{id: id, mesh: m, handlers: make(map[string]samphireturn.Handler)}
	return m.peers[id]
}

func (p *peer) connect() {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.connected = true
}

func (p *peer) Handle(topic string, h samphireturn.Handler) { p.handlers[topic] = h }

func (p *peer) Connected() []string {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	var ids []string
	for id, other := range p.mesh.peers {
		if id != p.id && other.connected {
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
	ok = ok && other.connected
	var override watcher.Bundle
	if ok {
		override = other.replyOverride
	}
	p.mesh.mu.Unlock()
	if !ok {
		return storeError(samphireturn.KindUnavailable)
	}
	v, err := other.handlers[topic](ctx, p.id, data)
	if topic == watcher.TopicGet && override.Generation > 0 {
		v = override
	}
	if err != nil || reply == nil {
		return err
	}
	if data, err = cbor.Marshal(v); err != nil {
		return err
	}
	p.mesh.mu.Lock()
	p.mesh.largestReply = max(p.mesh.largestReply, len(data))
	p.mesh.mu.Unlock()
	return cbor.Unmarshal(data, reply)
}

// setReply makes the daemon answer TopicGet with a bundle that is not its own; an
// empty bundle ends that. A forged one has no parts and a generation that is too
// high.
func (m *mesh) setReply(id string, b watcher.Bundle, forged bool) {
	if forged {
		b.Generation += 1000
		b.Parts = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[id].replyOverride = b
}
