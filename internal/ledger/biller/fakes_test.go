package biller_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
	"samphireturn/internal/ledger/biller"
)

// store is an in-memory store with faults. loseReplies is the number of next
// writes that take effect but whose reply is lost.
type store struct {
	samphireturn.Store
	mu          sync.Mutex
	objects     map[string]samphireturn.Object
	loseReplies int
	down        bool
	writes      int
}

func fail(kind samphireturn.Kind) error { return &samphireturn.Error{Op: "fake", Kind: kind} }

func (s *store) Get(_ context.Context, name string) (samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	switch {
	case s.down:
		return o, fail(samphireturn.KindUnavailable)
	case !ok:
		return o, fail(samphireturn.KindMissing)
	}
	return o, nil
}

func (s *store) Create(_ context.Context, name string, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return 0, fail(samphireturn.KindUnavailable)
	}
	if _, ok := s.objects[name]; ok {
		return 0, fail(samphireturn.KindConflict)
	}
	s.objects[name] = samphireturn.Object{Name: name, Version: 1, Value: value}
	if s.loseReplies > 0 {
		s.loseReplies--
		return 0, fail(samphireturn.KindUnknown)
	}
	return 1, nil
}

func (s *store) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []samphireturn.Object
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, prefix) {
			found = append(found, samphireturn.Object{Name: name})
		}
	}
	return found, nil
}

// network carries calls between the peers of a test. Daemons in offline
// neither send nor receive.
type network struct {
	handlers map[string]map[string]samphireturn.Handler
	offline  map[string]bool
	// delay is the time that a daemon takes to reply; calls counts the calls
	// of TopicCopy.
	delay map[string]time.Duration
	calls int
}

type peers struct {
	*network
	self string
}

func (p *peers) Handle(topic string, h samphireturn.Handler) {
	if p.handlers[p.self] == nil {
		p.handlers[p.self] = make(map[string]samphireturn.Handler)
	}
	p.handlers[p.self][topic] = h
}

func (p *peers) Call(ctx context.Context, to, topic string, body, _ any) error {
	if topic == biller.TopicCopy {
		p.calls++
	}
	select {
	case <-time.After(p.delay[to]):
	case <-ctx.Done():
		return fail(samphireturn.KindUnknown)
	}
	if p.offline[to] || p.offline[p.self] || ctx.Err() != nil {
		return fail(samphireturn.KindUnavailable)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	_, err = p.handlers[to][topic](ctx, p.self, data)
	return err
}

func (p *peers) Connected() []string {
	others := slices.Sorted(maps.Keys(p.handlers))
	return slices.DeleteFunc(others, func(id string) bool { return id == p.self })
}
