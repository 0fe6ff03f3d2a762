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

// store is an in-memory store with faults. loseReplies is the number of next writes
// that take effect but whose reply is lost; with failReadsAfterLoss reads fail
// after such a write. delayNextWrite holds back the next write until applyDelayed
// is called.
type store struct {
	samphireturn.Store
	mu                 sync.Mutex
	objects            map[string]samphireturn.Object
	version            uint64
	writes             int
	loseReplies        int
	failReadsAfterLoss bool
	delayNextWrite     bool
	down               bool
	readsFail          bool
	applyDelayed       func()
	largestValue       int
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
	case s.down || s.readsFail:
		return o, fail(samphireturn.KindUnavailable)
	case !ok:
		return o, fail(samphireturn.KindMissing)
	}
	return o, nil
}

func (s *store) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.readsFail {
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
	if s.delayNextWrite {
		s.delayNextWrite = false
		s.applyDelayed = func() { _ = s.put(name, value, version) }
		return 0, fail(samphireturn.KindUnknown)
	}
	if err := s.put(name, value, version); err != nil {
		return 0, err
	}
	if s.loseReplies > 0 {
		s.loseReplies--
		s.readsFail = s.failReadsAfterLoss
		return 0, fail(samphireturn.KindUnknown)
	}
	return s.version, nil
}

func (s *store) put(name string, value []byte, version uint64) error {
	if s.objects[name].Version != version {
		return fail(samphireturn.KindConflict)
	}
	s.version++
	s.largestValue = max(s.largestValue, len(value))
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

// network carries calls between the peers of a test. Daemons in disconnected are
// not among the connected peers; those in replyLost handle calls, but their replies
// are lost.
type network struct {
	// mu guards calls and lastClaim.
	mu                      sync.Mutex
	handlers                map[string]map[string]samphireturn.Handler
	disconnected, replyLost map[string]bool
	calls                   int
	// lastClaim is the body of the last call of TopicClaim.
	lastClaim []byte
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

func (p *peers) Call(ctx context.Context, to, topic string, body, reply any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.calls++
	if topic == claimer.TopicClaim {
		p.lastClaim = data
	}
	p.mu.Unlock()
	answer, err := p.handlers[to][topic](ctx, p.self, data)
	if err != nil || reply == nil {
		return err
	}
	if p.replyLost[to] {
		return fail(samphireturn.KindUnknown)
	}
	if data, err = cbor.Marshal(answer); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

func (p *peers) Connected() []string {
	others := slices.Sorted(maps.Keys(p.handlers))
	return slices.DeleteFunc(others, func(id string) bool { return id == p.self || p.disconnected[id] })
}
