// Package publisher keeps configurations in the platform's object API.
//
// Each file is a part under a name made from its content. One manifest object
// names the parts in force and is swapped by conditional update, so that of
// two changes made from the same generation only one is accepted and a reader
// never sees half a change.
package publisher

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/parser"
)

const (
	// AnyBase as a base matches any generation in force.
	AnyBase uint64 = 0
	// NoBase as a base means that the change was made without knowledge of the
	// generation in force, if there is one.
	NoBase uint64 = math.MaxUint64
	// PartBytes is the largest part in bytes, which the platform sets.
	PartBytes = 1 << 20
	// attempts bounds the tries of one write whose outcome is unknown.
	attempts = 5
	// pause is the time between two tries.
	pause = 200 * time.Millisecond
)

var (
	retries  = expvar.NewMap("publisher_retry")
	failures = expvar.NewMap("publisher_failure")
)

type (
	// Error is an error of the publisher, of a kind of the root package.
	Error struct {
		Op   string
		Kind samphireturn.Kind
		Err  error
		// InForce is the manifest in force if Kind is KindConflict; nil otherwise.
		InForce *Manifest
	}

	// Publisher reads and changes the configuration in the platform.
	Publisher struct {
		Store samphireturn.Store
		// Author and Note go into the manifests that it writes.
		Author string
		Note   string
		// Now is time.Now unless set.
		Now func() time.Time
	}

	// state is a manifest with its object; the zero value stands for none.
	state struct {
		Manifest
		object samphireturn.Object
	}
)

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package or of a Store.
func KindOf(err error) samphireturn.Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return samphireturn.KindOf(err)
}

func wrap(op string, err error) error {
	return &Error{Op: op, Kind: KindOf(err), Err: err}
}

// Apply makes files, by name, the configuration in force. Base is the
// generation that the change was made from, Current or Unseen. The new
// generation is above any that a daemon is known to run, so that it takes
// effect also after the platform was restored from an older state. Apply
// returns an *Error of KindInvalid for a faulty configuration, of
// KindConflict if another change came between, and of KindUnknown if the
// platform does not say whether the change was accepted.
func (p *Publisher) Apply(ctx context.Context, files map[string][]byte, base uint64) (Manifest, error) {
	m, err := p.build(files)
	if err != nil {
		return m, err
	}
	old, err := p.current(ctx)
	if err != nil {
		return m, wrap("apply", err)
	}
	if base != AnyBase && base != old.Generation && old.Generation != 0 {
		return m, conflict(old.Manifest, base)
	}
	running, err := p.running(ctx)
	if err != nil {
		return m, wrap("apply", err)
	}
	m.Generation = max(old.Generation, running) + 1
	m.Previous = Previous{Generation: old.Generation, Hash: Hash(old.object.Value), Parts: old.Parts}
	if err := p.write(ctx, m, old, files); err != nil {
		return m, err
	}
	if m.version, err = p.swap(ctx, m, old); err != nil {
		return m, err
	}
	// A concurrent apply may have removed a new part before the swap named it.
	// Writing it again makes a removal that is under way fail.
	if err := p.write(ctx, m, old, files); err != nil {
		failures.Add("rewrite", 1)
	}
	p.clean(ctx)
	return m, nil
}

// build checks files and makes a manifest of them.
func (p *Publisher) build(files map[string][]byte) (Manifest, error) {
	now := time.Now
	if p.Now != nil {
		now = p.Now
	}
	m := Manifest{Author: p.Author, Note: p.Note, Time: now().UTC()}
	var list []parser.File
	for _, name := range slices.Sorted(maps.Keys(files)) {
		data := files[name]
		if len(data) > PartBytes {
			err := parser.Problems{{File: name, Message: fmt.Sprintf("has %d bytes; at most %d are allowed", len(data), PartBytes)}}
			return m, &Error{Op: "apply", Kind: samphireturn.KindInvalid, Err: err}
		}
		list = append(list, parser.File{Name: name, Data: data})
		m.Parts = append(m.Parts, Part{Name: name, Hash: Hash(data)})
	}
	if _, err := Check(list); err != nil {
		return m, &Error{Op: "apply", Kind: samphireturn.KindInvalid, Err: err}
	}
	return m, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
