// Package leaser acquires leases with fencing numbers through the platform's conditional
// updates.
//
// A lease is one object that names its holder. The fencing number is the object's
// version at the write that changed the holder. Versions grow over the whole store, so
// the number grows with each change of holder even if the object was deleted in between.
//
// No clock reading is stored or compared between daemons. A holder counts the TTL from
// before it sent the write. Another daemon takes the lease only after it has seen the
// same version unchanged for the TTL and Slack on its own monotonic clock; since it saw
// the version after the write was sent, the holder's lease expires first. A clock that
// is stepped does no harm. A holder that was paused finds its lease expired when it
// calls Valid; what it sent before that call must be rejected by means of the fencing
// number.
package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
)

const (
	// DefaultTTL is the life of a lease if Leaser.TTL is zero.
	DefaultTTL = 10 * time.Second
	// prefix begins the names of the lease objects.
	prefix = "leases/"
	// slackDivisor divides the TTL into the default slack, which others wait beyond the
	// TTL because clocks may run at different speeds.
	slackDivisor = 10
)

// Leaser acquires leases for one process. Set the exported fields before use; it is then
// safe for concurrent use. Within a process only one user may acquire a given name.
type Leaser struct {
	Store samphireturn.Store
	// Holder names this process; no two processes share a name.
	Holder string
	// Now returns the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// TTL is the life of a lease, the same in every daemon; zero means DefaultTTL.
	TTL time.Duration
	// Slack is the time beyond the TTL after which another holder's lease may be taken;
	// zero means a tenth of the TTL.
	Slack time.Duration

	mu       sync.Mutex
	serial   uint64
	observed map[string]observation
}

// Lease is a lease as its holder knows it.
type Lease struct {
	Name string
	// Fence is the fencing number; it grows with every change of holder.
	Fence uint64
	// Expires is when the lease expires, on the monotonic clock.
	Expires time.Time

	version uint64
	now     func() time.Time
}

// record is the content of a lease object. Fence is zero in the write that changes the
// holder: then the object's version is the fencing number.
type record struct {
	Holder string `cbor:"h"`
	Fence  uint64 `cbor:"f"`
	// Serial distinguishes the writes of one holder.
	Serial uint64 `cbor:"s"`
}

// observation records when a version of another holder's lease was first seen.
type observation struct {
	version uint64
	at      time.Time
}

// Valid reports whether the lease lasts longer than margin.
func (l Lease) Valid(margin time.Duration) bool {
	return l.now != nil && l.now().Add(margin).Before(l.Expires)
}

// Acquire acquires the named lease. The error is of KindHeld while another holder's
// lease has not expired; the caller must call again later, since the wait counts from
// the first call that saw that version of the lease.
func (s *Leaser) Acquire(ctx context.Context, name string) (Lease, error) {
	op := "acquire " + name
	object, err := s.Store.Get(ctx, prefix+name)
	var last record
	switch {
	case samphireturn.KindOf(err) == samphireturn.KindMissing:
		object = samphireturn.Object{}
	case err != nil:
		return Lease{}, countedError(op, KindUnavailable, err)
	default:
		if err := cbor.Unmarshal(object.Value, &last); err != nil {
			return Lease{}, countedError(op, KindInvalid, err)
		}
	}
	if last.Holder != "" && last.Holder != s.Holder && !s.expired(name, object.Version) {
		return Lease{}, countedError(op, KindHeld, nil)
	}
	sent := s.now()
	next := record{Holder: s.Holder, Serial: s.nextSerial()}
	version, err := s.write(ctx, prefix+name, next, object.Version)
	if err != nil {
		return Lease{}, countedError(op, kindOf(err, KindHeld), err)
	}
	s.forgetObservation(name)
	return Lease{Name: name, Fence: version, Expires: sent.Add(s.ttl()), version: version, now: s.now}, nil
}

// Renew extends the lease by the TTL from now. An error of KindLost means that it has
// another holder; after KindUnavailable the lease stays valid until its old expiry.
func (s *Leaser) Renew(ctx context.Context, l Lease) (Lease, error) {
	op := "renew " + l.Name
	sent := s.now()
	next := record{Holder: s.Holder, Fence: l.Fence, Serial: s.nextSerial()}
	version, err := s.write(ctx, prefix+l.Name, next, l.version)
	if samphireturn.KindOf(err) == samphireturn.KindConflict {
		// An earlier renewal may have taken effect although its answer was lost.
		current, ownedErr := s.ownedVersion(ctx, l)
		if ownedErr != nil {
			return l, countedError(op, kindOf(ownedErr, KindLost), ownedErr)
		}
		sent = s.now()
		version, err = s.write(ctx, prefix+l.Name, next, current)
	}
	if err != nil {
		return l, countedError(op, kindOf(err, KindLost), err)
	}
	l.version = version
	l.Expires = sent.Add(s.ttl())
	return l, nil
}

// Release gives the lease up, so that another holder need not wait for its expiry.
func (s *Leaser) Release(ctx context.Context, l Lease) error {
	if _, err := s.write(ctx, prefix+l.Name, record{Fence: l.Fence, Serial: s.nextSerial()}, l.version); err != nil {
		return countedError("release "+l.Name, kindOf(err, KindLost), err)
	}
	return nil
}

// ownedVersion returns the version of the lease's object if l's holder and fencing
// number are still in it.
func (s *Leaser) ownedVersion(ctx context.Context, l Lease) (uint64, error) {
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

// write replaces the given version of the object by r, or creates the object if version
// is zero. If the answer is lost, it reads the object back to find out whether the write
// took effect.
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
	confirmedWrites.Add(1)
	return object.Version, nil
}

// expired reports whether the version has been seen unchanged for the TTL and the slack.
func (s *Leaser) expired(name string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	last, ok := s.observed[name]
	if !ok || last.version != version {
		if s.observed == nil {
			s.observed = make(map[string]observation)
		}
		s.observed[name] = observation{version: version, at: now}
		return false
	}
	slack := s.Slack
	if slack == 0 {
		slack = s.ttl() / slackDivisor
	}
	return now.Sub(last.at) >= s.ttl()+slack
}

func (s *Leaser) forgetObservation(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.observed, name)
}

func (s *Leaser) nextSerial() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	return s.serial
}

func (s *Leaser) ttl() time.Duration {
	if s.TTL == 0 {
		return DefaultTTL
	}
	return s.TTL
}

func (s *Leaser) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
