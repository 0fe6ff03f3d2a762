package claimer

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
)

// record is one entry of a shard's log: a claim, its outcome if Done, or its
// release if Freed.
type record struct {
	Key     [32]byte `cbor:"k"`
	Print   [32]byte `cbor:"p"`
	Nonce   [16]byte `cbor:"n"`
	Expires int64    `cbor:"e"`
	Done    bool     `cbor:"d,omitempty"`
	Freed   bool     `cbor:"f,omitempty"`
	Outcome Outcome  `cbor:"o"`
}

// window is the content of one object of the log.
type window struct {
	Sealed bool `cbor:"s"`
	// Begun is in seconds since 1970 UTC.
	Begun   int64    `cbor:"b"`
	Records []record `cbor:"r"`
}

// log is a shard's log as this daemon last read or wrote it.
type log struct {
	prefix string
	// claims is the claim in force for each key.
	claims map[[32]byte]record
	// freed holds the expiries of the released nonces, which never claim again.
	freed map[[16]byte]int64
	// sealed are the windows before the last, oldest first.
	sealed []span
	// last is the window that takes records; its number is zero if there is none.
	last    window
	number  uint64
	version uint64
}

// span is what must be known of a sealed window to remove it.
type span struct {
	name    string
	version uint64
	// expires is the latest expiry in it, in seconds since 1970 UTC.
	expires int64
}

// read reads the whole log of a shard. A window that vanishes on the way was
// removed with all its claims expired.
func read(ctx context.Context, store samphireturn.Store, prefix string) (*log, error) {
	l := &log{prefix: prefix, claims: make(map[[32]byte]record), freed: make(map[[16]byte]int64)}
	objects, err := store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	for i, o := range objects {
		number, err := strconv.ParseUint(strings.TrimPrefix(o.Name, prefix), 10, 64)
		if err != nil {
			return nil, &Error{Op: "read " + o.Name, Kind: KindInvalid, Err: err}
		}
		object, err := store.Get(ctx, o.Name)
		if samphireturn.KindOf(err) == samphireturn.KindMissing && i < len(objects)-1 {
			continue
		}
		if err != nil {
			return nil, err
		}
		var w window
		if err := cbor.Unmarshal(object.Value, &w); err != nil {
			return nil, &Error{Op: "read " + o.Name, Kind: KindInvalid, Err: err}
		}
		l.push()
		l.last, l.number, l.version = w, number, object.Version
		l.apply(w.Records)
	}
	return l, nil
}

// push makes the last window one of those before it.
func (l *log) push() {
	if l.number == 0 {
		return
	}
	s := span{name: l.name(), version: l.version}
	for _, r := range l.last.Records {
		s.expires = max(s.expires, r.Expires)
	}
	l.sealed = append(l.sealed, s)
}

// apply puts records into force in their order. A claim is written only when the
// key was free, so the last claim of a key is the one in force. A release counts
// for its nonce alone, also for one that never claimed.
func (l *log) apply(records []record) {
	for _, r := range records {
		current, ok := l.claims[r.Key]
		own := ok && current.Nonce == r.Nonce
		switch {
		case r.Freed:
			l.freed[r.Nonce] = r.Expires
			if own {
				delete(l.claims, r.Key)
			}
		case !r.Done || own:
			l.claims[r.Key] = r
		}
	}
}

// ended reports whether the log needs nothing more of an outcome or a release.
// Known is false if the log lacks the claim.
func (l *log) ended(r record, now int64) (ended, known bool) {
	_, freed := l.freed[r.Nonce]
	found, ok := l.find(r.Key, now)
	own := ok && found.Nonce == r.Nonce
	if r.Freed {
		return freed || own && found.Done, true
	}
	return freed || !own || found.Done, own || freed
}

// find returns the claim in force at a time in seconds since 1970 UTC.
func (l *log) find(key [32]byte, now int64) (record, bool) {
	r, ok := l.claims[key]
	return r, ok && r.Expires > now
}

// append writes records to the end of the log by one conditional write, and
// seals the window if it is large or old. If the error is of KindConflict or
// KindUnknown the log must be read anew.
func (l *log) append(ctx context.Context, store samphireturn.Store, records []record, now time.Time, size int, age time.Duration) error {
	next, number, version := l.last, l.number, l.version
	if number == 0 || next.Sealed {
		next = window{Begun: now.Unix()}
		number++
		version = 0
	}
	next.Records = append(next.Records[:len(next.Records):len(next.Records)], records...)
	value, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) >= size || now.Sub(time.Unix(next.Begun, 0)) >= age {
		next.Sealed = true
		if value, err = cbor.Marshal(next); err != nil {
			return err
		}
	}
	name := l.nameOf(number)
	if version == 0 {
		version, err = store.Create(ctx, name, value)
	} else {
		version, err = store.Update(ctx, name, value, version)
	}
	if err != nil {
		return err
	}
	if number != l.number {
		l.push()
		counters.Add("windows", 1)
	}
	l.last, l.number, l.version = next, number, version
	l.apply(records)
	return nil
}

// current reports whether the log is as the platform has it. It is false if that
// can't be told.
func (l *log) current(ctx context.Context, store samphireturn.Store) bool {
	if l.number == 0 {
		return false
	}
	if l.last.Sealed {
		_, err := store.Get(ctx, l.nameOf(l.number+1))
		return samphireturn.KindOf(err) == samphireturn.KindMissing
	}
	object, err := store.Get(ctx, l.name())
	return err == nil && object.Version == l.version
}

// trim removes sealed windows from the front whose claims have all expired, and
// forgets expired claims. The last window stays.
func (l *log) trim(ctx context.Context, store samphireturn.Store, now int64) {
	for len(l.sealed) > 0 && l.sealed[0].expires <= now {
		s := l.sealed[0]
		err := store.Delete(ctx, s.name, s.version)
		if kind := samphireturn.KindOf(err); err != nil && kind != samphireturn.KindMissing && kind != samphireturn.KindConflict {
			return
		}
		l.sealed = l.sealed[1:]
		counters.Add("removed", 1)
	}
	for key, r := range l.claims {
		if r.Expires <= now {
			delete(l.claims, key)
		}
	}
	for nonce, expires := range l.freed {
		if expires <= now {
			delete(l.freed, nonce)
		}
	}
}

// name returns the object name of the last window.
func (l *log) name() string { return l.nameOf(l.number) }

func (l *log) nameOf(number uint64) string { return fmt.Sprintf("%s%012d", l.prefix, number) }
