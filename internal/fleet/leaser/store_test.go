package leaser_test

import (
	"context"
	"time"

	"samphireturn"
)

// store is an in-memory store with faults: the replies of the next dropReplies writes
// are lost, unavailable refuses all calls, readsFail refuses reads, and replyDelay
// delays the replies of writes.
type store struct {
	samphireturn.Store
	objects                map[string]samphireturn.Object
	version                uint64
	dropReplies            int
	unavailable, readsFail bool
	replyDelay             time.Duration
}

func fail(kind samphireturn.Kind) error { return &samphireturn.Error{Op: "store", Kind: kind} }

func (s *store) Get(_ context.Context, name string) (samphireturn.Object, error) {
	if s.unavailable || s.readsFail {
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
	if s.unavailable {
		return 0, fail(samphireturn.KindUnavailable)
	}
	if s.objects[name].Version != version {
		return 0, fail(samphireturn.KindConflict)
	}
	s.version++
	s.objects[name] = samphireturn.Object{Name: name, Version: s.version, Value: value}
	time.Sleep(s.replyDelay)
	if s.dropReplies > 0 {
		s.dropReplies--
		return 0, fail(samphireturn.KindUnknown)
	}
	return s.version, nil
}
