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

// record is one entry of a shard's log: a claim, the claim's outcome if Done is
// set, or its release if Released is set.
type record struct {
	// Key is the hash of the team and its Idempotency-Key, Digest that of the
	// request.
	Key    [32]byte `cbor:"k"`
	Digest [32]byte `cbor:"p"`
	Nonce  [16]byte `cbor:"n"`
	// Expires is in seconds since 1970 UTC.
	Expires  int64   `cbor:"e"`
	Done     bool    `cbor:"d,omitempty"`
	Released bool    `cbor:"f,omitempty"`
	Outcome  Outcome `cbor:"o"`
}

// window is the value of one object of the log.
type window struct {
	Sealed bool `cbor:"s"`
	// Created is the time of creation, in seconds since 1970 UTC.
	Created int64    `cbor:"b"`
	Records []record `cbor:"r"`
}

// log is a shard's log as this daemon last read or wrote it.
type log struct {
	prefix string
	// claims holds the claim in force for each key.
	claims map[[32]byte]record
	// releasedNonces maps each released nonce, which can never claim again, to
	// its expiry in seconds since 1970 UTC.
	releasedNonces map[[16]byte]int64
	// sealed holds the windows before the last, oldest first.
	sealed []sealedWindow
	// last is the window that takes records; its number is zero if the log is
	// empty.
	last    window
	number  uint64
	version uint64
}

// sealedWindow holds what is needed to remove a sealed window.
type sealedWindow struct {
	name    string
	version uint64
	// expires is the latest expiry of its records, in seconds since 1970 UTC.
	expires int64
}

// readLog reads the whole log of a shard. A window other than the last that
// disappears between List and Get was removed because all its claims had
// expired; it is skipped.
func readLog(ctx context.Context, store samphireturn.Store, prefix string) (*log, error) {
	l := &log{prefix: prefix, claims: make(map[[32]byte]record), releasedNonces: make(map[[16]byte]int64)}
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
		l.sealLast()
		l.last, l.number, l.version = w, number, object.Version
		l.apply(w.Records)
	}
	return l, nil
}

// sealLast adds the last window to the sealed ones.
func (l *log) sealLast() {
	if l.number == 0 {
		return
	}
	s := sealedWindow{name: l.lastName(), version: l.version}
	for _, r := range l.last.Records {
		s.expires = max(s.expires, r.Expires)
	}
	l.sealed = append(l.sealed, s)
}

// apply applies records in their order. A claim is written only if its key was
// free, so the last claim of a key is the one in force. A release affects its
// own nonce alone, even if that nonce never claimed.
func (l *log) apply(records []record) {
	for _, r := range records {
		current, ok := l.claims[r.Key]
		own := ok && current.Nonce == r.Nonce
		switch {
		case r.Released:
			l.releasedNonces[r.Nonce] = r.Expires
			if own {
				delete(l.claims, r.Key)
			}
		case !r.Done || own:
			l.claims[r.Key] = r
		}
	}
}

// isResolved reports whether the log makes an outcome or a release superfluous.
// known is false if the log lacks the claim of an outcome.
func (l *log) isResolved(r record, now int64) (resolved, known bool) {
	_, released := l.releasedNonces[r.Nonce]
	found, ok := l.find(r.Key, now)
	own := ok && found.Nonce == r.Nonce
	if r.Released {
		return released || own && found.Done, true
	}
	return released || !own || found.Done, own || released
}

// find returns the claim of a key that is in force at now, in seconds since
// 1970 UTC.
func (l *log) find(key [32]byte, now int64) (record, bool) {
	r, ok := l.claims[key]
	return r, ok && r.Expires > now
}

// append writes records to the end of the log by one conditional write. It also
// seals the window if its encoding reaches maxBytes or its age reaches maxAge.
// After an error of KindConflict or KindUnknown the log must be read again.
func (l *log) append(ctx context.Context, store samphireturn.Store, records []record, now time.Time, maxBytes int, maxAge time.Duration) error {
	next, number, version := l.last, l.number, l.version
	if number == 0 || next.Sealed {
		next = window{Created: now.Unix()}
		number++
		version = 0
	}
	next.Records = append(next.Records[:len(next.Records):len(next.Records)], records...)
	value, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) >= maxBytes || now.Sub(time.Unix(next.Created, 0)) >= maxAge {
		next.Sealed = true
		if value, err = cbor.Marshal(next); err != nil {
			return err
		}
	}
	name := l.windowName(number)
	if version == 0 {
		version, err = store.Create(ctx, name, value)
	} else {
		version, err = store.Update(ctx, name, value, version)
	}
	if err != nil {
		return err
	}
	if number != l.number {
		l.sealLast()
		counters.Add("windows", 1)
	}
	l.last, l.number, l.version = next, number, version
	l.apply(records)
	return nil
}

// isCurrent reports whether the log is the same as the platform's. It returns
// false if the platform can't be read.
func (l *log) isCurrent(ctx context.Context, store samphireturn.Store) bool {
	if l.number == 0 {
		return false
	}
	if l.last.Sealed {
		_, err := store.Get(ctx, l.windowName(l.number+1))
		return samphireturn.KindOf(err) == samphireturn.KindMissing
	}
	object, err := store.Get(ctx, l.lastName())
	return err == nil && object.Version == l.version
}

// trim removes sealed windows, oldest first, as long as all claims of the
// oldest have expired, and forgets expired claims and nonces. The last window
// stays.
func (l *log) trim(ctx context.Context, store samphireturn.Store, cutoff int64) {
	for len(l.sealed) > 0 && l.sealed[0].expires <= cutoff {
		s := l.sealed[0]
		err := store.Delete(ctx, s.name, s.version)
		if kind := samphireturn.KindOf(err); err != nil && kind != samphireturn.KindMissing && kind != samphireturn.KindConflict {
			return
		}
		l.sealed = l.sealed[1:]
		counters.Add("removed", 1)
	}
	for key, r := range l.claims {
		if r.Expires <= cutoff {
			delete(l.claims, key)
		}
	}
	for nonce, expires := range l.releasedNonces {
		if expires <= cutoff {
			delete(l.releasedNonces, nonce)
		}
	}
}

// lastName returns the object name of the last window.
func (l *log) lastName() string { return l.windowName(l.number) }

func (l *log) windowName(number uint64) string { return fmt.Sprintf("%s%012d", l.prefix, number) }
