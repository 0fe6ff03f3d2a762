package leaser_test

import (
	"context"
	"time"

	"samphireturn"
)

// store is an in-memory store with faults: lose counts the next writes whose
// answer is lost, down refuses all, deaf refuses reads, and slow delays answers.
type store struct {
	samphireturn.Store
	objects    map[string]samphireturn.Object
	version    uint64
	lose       int
	down, deaf bool
	slow       time.Duration
}

func fail(kind samphireturn.Kind) error { return &samphireturn.Error{Op: "store", Kind: kind} }

func (s *store) Get(_ context.Context, name string) (samphireturn.Object, error) {
	if s.down || s.deaf {
		return samphireturn.Object{}, fail(samphireturn.KindUnavailable)
	}
	o, ok := s.objects[name]
	if !ok {
		return o, fail(samphireturn.KindMissing)
	}
	return o, nil
}

func (s *store) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return s.Update(ctx, name, value, 0)
}

func (s *store) Update(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	if s.down {
		return 0, fail(samphireturn.KindUnavailable)
	}
	if s.objects[name].Version != version {
		return 0, fail(samphireturn.KindConflict)
	}
	s.version++
	s.objects[name] = samphireturn.Object{Name: name, Version: s.version, Value: value}
	time.Sleep(s.slow)
	if s.lose > 0 {
		s.lose--
		return 0, fail(samphireturn.KindUnknown)
	}
	return s.version, nil
}
