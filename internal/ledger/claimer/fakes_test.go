package claimer_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
	"samphireturn/internal/ledger/claimer"
)

// store is an in-memory store with faults: lose counts the next writes whose
// answer is lost, deaf those after which reads fail too, late holds back the
// next write, which takes effect when release is called.
type store struct {
	samphireturn.Store
	mu      sync.Mutex
	objects map[string]samphireturn.Object
	version uint64
	writes  int
	lose    int
	deafens bool
	late    bool
	down    bool
	deaf    bool
	held    func()
	biggest int
}

func fail(kind samphireturn.Kind) error { return &samphireturn.Error{Op: "fake", Kind: kind} }

// set changes the faults.
func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *store) Get(_ context.Context, name string) (samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	switch {
	case s.down || s.deaf:
		return o, fail(samphireturn.KindUnavailable)
	case !ok:
		return o, fail(samphireturn.KindMissing)
	}
	return o, nil
}

func (s *store) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.deaf {
		return nil, fail(samphireturn.KindUnavailable)
	}
	var found []samphireturn.Object
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, prefix) {
			found = append(found, samphireturn.Object{Name: name})
		}
	}
	return found, nil
}

func (s *store) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return s.Update(ctx, name, value, 0)
}

func (s *store) Update(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return 0, fail(samphireturn.KindUnavailable)
	}
	if s.late {
		s.late = false
		s.held = func() { _ = s.put(name, value, version) }
		return 0, fail(samphireturn.KindUnknown)
	}
	if err := s.put(name, value, version); err != nil {
		return 0, err
	}
	if s.lose > 0 {
		s.lose--
		s.deaf = s.deafens
		return 0, fail(samphireturn.KindUnknown)
	}
	return s.version, nil
}

func (s *store) put(name string, value []byte, version uint64) error {
	if s.objects[name].Version != version {
		return fail(samphireturn.KindConflict)
	}
	s.version++
	s.biggest = max(s.biggest, len(value))
	s.objects[name] = samphireturn.Object{Name: name, Version: s.version, Value: value}
	return nil
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

// fleet carries messages between the peers of a test. Those in cut are known to
// be cut off, those in mute do what they are asked but their replies are lost.
type fleet struct {
	// mu guards calls and attempt.
	mu        sync.Mutex
	handlers  map[string]map[string]samphireturn.Handler
	cut, mute map[string]bool
	calls     int
	// attempt is the last claim that was sent.
	attempt []byte
}

type peers struct {
	*fleet
	self string
}

func (p *peers) Handle(topic string, h samphireturn.Handler) {
	if p.handlers[p.self] == nil {
		p.handlers[p.self] = make(map[string]samphireturn.Handler)
	}
	p.handlers[p.self][topic] = h
}

func (p *peers) Call(ctx context.Context, to, topic string, body, reply any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.calls++
	if topic == claimer.TopicClaim {
		p.attempt = data
	}
	p.mu.Unlock()
	answer, err := p.handlers[to][topic](ctx, p.self, data)
	if err != nil || reply == nil {
		return err
	}
	if p.mute[to] {
		return fail(samphireturn.KindUnknown)
	}
	if data, err = cbor.Marshal(answer); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

func (p *peers) Connected() []string {
	others := slices.Sorted(maps.Keys(p.handlers))
	return slices.DeleteFunc(others, func(id string) bool { return id == p.self || p.cut[id] })
}
