// Package leaser takes leases with fencing numbers from the platform's
// conditional updates.
//
// A lease is one object that names its holder. The fencing number is the
// object's version at the write that changed the holder. Versions grow over the
// whole store, so the number grows with each change even if the object was
// deleted in between.
//
// No clock reading is ever stored or compared between daemons. A holder counts
// its lease from before it sent the write. Another daemon takes the lease only
// after it has seen the same version unchanged for the whole life, and Slack
// more, on its own monotonic clock; since it saw the version after the write was
// sent, the holder's count ends first. A clock that is stepped does no harm. A
// holder that was paused finds its lease lapsed when it asks Valid; what it sent
// before it asks is for the fencing number to stop.
package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
)

const (
	// DefaultTTL is the life of a lease.
	DefaultTTL = 10 * time.Second
	// prefix begins the names of the lease objects.
	prefix = "leases/"
	// slackPart is the part of the life that others wait longer, for clocks that
	// do not run at the same speed.
	slackPart = 10
)

// Leaser takes leases for one process. Set the exported fields before use; it
// is then safe for concurrent use. One part of the process uses a name.
type Leaser struct {
	Store samphireturn.Store
	// Holder names this process; no two processes share a name.
	Holder string
	// Now tells the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Life is the life of a lease, the same in every daemon; zero means
	// DefaultLife.
	Life time.Duration
	// Slack is the time beyond Life that another holder's lease is waited out;
	// zero means a tenth of Life.
	Slack time.Duration

	mu     sync.Mutex
	serial uint64
	seen   map[string]sight
}

// Lease is a lease as its holder knows it.
type Lease struct {
	Name string
	// Fence grows with every change of holder.
	Fence uint64
	// Expires is when the lease lapses, on the monotonic clock.
	Expires time.Time

	version uint64
	now     func() time.Time
}

// record is the content of a lease object. Fence is zero in the write that
// changes the holder: the object's version is the number then.
type record struct {
	Holder string `cbor:"h"`
	Fence  uint64 `cbor:"f"`
	// Serial tells the writes of one holder apart.
	Serial uint64 `cbor:"s"`
}

// sight is when a version of another's lease was first seen.
type sight struct {
	version uint64
	at      time.Time
}

// Valid tells whether the lease lasts at least margin longer.
func (l Lease) Valid(margin time.Duration) bool {
	return l.now != nil && l.now().Add(margin).Before(l.Expires)
}

// Acquire takes the named lease. The error is of KindHeld while another holder's
// lease has not lapsed; call again later, since the time counts from the first
// call that saw it.
func (s *Leaser) Acquire(ctx context.Context, name string) (Lease, error) {
	op := "acquire " + name
	object, err := s.Store.Get(ctx, prefix+name)
	var last record
	switch {
	case samphireturn.KindOf(err) == samphireturn.KindMissing:
		object = samphireturn.Object{}
	case err != nil:
		return Lease{}, refuse(op, KindUnavailable, err)
	default:
		if err := cbor.Unmarshal(object.Value, &last); err != nil {
			return Lease{}, refuse(op, KindInvalid, err)
		}
	}
	if last.Holder != "" && last.Holder != s.Holder && !s.lapsed(name, object.Version) {
		return Lease{}, refuse(op, KindHeld, nil)
	}
	sent := s.now()
	next := record{Holder: s.Holder, Serial: s.next()}
	version, err := s.write(ctx, prefix+name, next, object.Version)
	if err != nil {
		return Lease{}, refuse(op, kindOf(err, KindHeld), err)
	}
	s.forget(name)
	return Lease{Name: name, Fence: version, Expires: sent.Add(s.life()), version: version, now: s.now}, nil
}

// Renew extends the lease from now. An error of KindLost means that it has
// another holder; with KindUnavailable the lease in hand lasts until it lapses.
func (s *Leaser) Renew(ctx context.Context, l Lease) (Lease, error) {
	op := "renew " + l.Name
	sent := s.now()
	next := record{Holder: s.Holder, Fence: l.Fence, Serial: s.next()}
	version, err := s.write(ctx, prefix+l.Name, next, l.version)
	if samphireturn.KindOf(err) == samphireturn.KindConflict {
		// An earlier renewal may have taken effect after its answer was given up.
		current, adoptErr := s.adopt(ctx, l)
		if adoptErr != nil {
			return l, refuse(op, kindOf(adoptErr, KindLost), adoptErr)
		}
		sent = s.now()
		version, err = s.write(ctx, prefix+l.Name, next, current)
	}
	if err != nil {
		return l, refuse(op, kindOf(err, KindLost), err)
	}
	l.version = version
	l.Expires = sent.Add(s.life())
	return l, nil
}

// Release gives the lease up, so that another holder need not wait.
func (s *Leaser) Release(ctx context.Context, l Lease) error {
	if _, err := s.write(ctx, prefix+l.Name, record{Fence: l.Fence, Serial: s.next()}, l.version); err != nil {
		return refuse("release "+l.Name, kindOf(err, KindLost), err)
	}
	return nil
}

// adopt returns the version of the lease's object if it still is l's.
func (s *Leaser) adopt(ctx context.Context, l Lease) (uint64, error) {
	object, err := s.Store.Get(ctx, prefix+l.Name)
	if samphireturn.KindOf(err) == samphireturn.KindMissing {
		return 0, &samphireturn.Error{Op: "adopt " + l.Name, Kind: samphireturn.KindConflict}
	}
	if err != nil {
		return 0, err
	}
	var current record
	if err := cbor.Unmarshal(object.Value, &current); err != nil {
		return 0, err
	}
	if current.Holder != s.Holder || current.Fence != l.Fence {
		return 0, &samphireturn.Error{Op: "adopt " + l.Name, Kind: samphireturn.KindConflict}
	}
	return object.Version, nil
}

// write puts r in place of version, or creates the object if that is zero. A
// lost answer is settled by reading back.
func (s *Leaser) write(ctx context.Context, name string, r record, version uint64) (uint64, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return 0, err
	}
	var written uint64
	if version == 0 {
		written, err = s.Store.Create(ctx, name, value)
	} else {
		written, err = s.Store.Update(ctx, name, value, version)
	}
	if samphireturn.KindOf(err) != samphireturn.KindUnknown {
		return written, err
	}
	object, readErr := s.Store.Get(ctx, name)
	if readErr != nil {
		return 0, err
	}
	var current record
	if cbor.Unmarshal(object.Value, &current) != nil || current != r {
		return 0, err
	}
	settled.Add(1)
	return object.Version, nil
}

// lapsed tells whether the version has been seen unchanged for the whole life.
func (s *Leaser) lapsed(name string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	last, ok := s.seen[name]
	if !ok || last.version != version {
		if s.seen == nil {
			s.seen = make(map[string]sight)
		}
		s.seen[name] = sight{version: version, at: now}
		return false
	}
	slack := s.Slack
	if slack == 0 {
		slack = s.life() / slackPart
	}
	return now.Sub(last.at) >= s.life()+slack
}

func (s *Leaser) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.seen, name)
}

func (s *Leaser) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	return s.serial
}

func (s *Leaser) life() time.Duration {
	if s.Life == 0 {
		return DefaultTTL
	}
	return s.Life
}

func (s *Leaser) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
