// Package publisher stores configurations in the platform's object store.
//
// Each file of a configuration is a part, stored under a name derived from its
// content. One manifest object lists the parts in force. It is replaced by a
// conditional update, so that of two changes made from the same generation only one
// is accepted and no reader sees a part of a change.
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
	// generation in force. It conflicts with any that is in force.
	NoBase uint64 = math.MaxUint64
	// MaxPartBytes is the largest part in bytes, a limit of the platform.
	MaxPartBytes = 1 << 20
	// maxAttempts bounds the attempts at one write whose outcome is unknown.
	maxAttempts = 5
	// retryDelay is the time between two attempts.
	retryDelay = 200 * time.Millisecond
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
		// InForce is the manifest in force if Kind is KindConflict, or if it is
		// KindUnknown and later changes were accepted; nil otherwise.
		InForce *Manifest
	}

	// Publisher reads and changes the configuration in the platform.
	Publisher struct {
		Store samphireturn.Store
		// Author and Note are written to the manifests.
		Author string
		Note   string
		// Now returns the current time; nil means time.Now.
		Now func() time.Time
	}

	// storedManifest is a manifest and its object; the zero value means that there
	// is none.
	storedManifest struct {
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

func wrapError(op string, err error) error {
	return &Error{Op: op, Kind: KindOf(err), Err: err}
}

// Apply puts files, by name, in force as the new configuration. Base is the
// generation that the change was made from, AnyBase or NoBase. The new generation is
// higher than any that a daemon has reported, so that the change takes effect even
// after the platform was restored from an older state. Apply returns an *Error of
// KindInvalid for a faulty configuration, of KindConflict if another change was
// accepted since base, and of KindUnknown if the platform does not say whether the
// change was accepted.
func (p *Publisher) Apply(ctx context.Context, files map[string][]byte, base uint64) (Manifest, error) {
	m, err := p.buildManifest(files)
	if err != nil {
		return m, err
	}
	old, err := p.readManifest(ctx)
	if err != nil {
		return m, wrapError("apply", err)
	}
	if base != AnyBase && base != old.Generation && old.Generation != 0 {
		return m, conflictError(old.Manifest, base)
	}
	reported, err := p.highestReported(ctx)
	if err != nil {
		return m, wrapError("apply", err)
	}
	m.Generation = max(old.Generation, reported) + 1
	m.Previous = Previous{Generation: old.Generation, Hash: Hash(old.object.Value), Parts: old.Parts}
	if err := p.writeParts(ctx, m, old, files); err != nil {
		return m, err
	}
	if m.version, err = p.commitManifest(ctx, m, old); err != nil {
		return m, err
	}
	// A concurrent Apply may have removed a new part before the manifest listed
	// it. Writing the part again changes its version, so that a removal still in
	// progress fails.
	if err := p.writeParts(ctx, m, old, files); err != nil {
		failures.Add("rewrite", 1)
	}
	p.removeUnusedParts(ctx)
	return m, nil
}

// buildManifest validates files and returns a manifest of them without a
// generation.
func (p *Publisher) buildManifest(files map[string][]byte) (Manifest, error) {
	now := time.Now
	if p.Now != nil {
		now = p.Now
	}
	m := Manifest{Author: p.Author, Note: p.Note, Time: now().UTC()}
	var list []parser.File
	for _, name := range slices.Sorted(maps.Keys(files)) {
		data := files[name]
		if len(data) > MaxPartBytes {
			err := parser.Problems{{File: name, Message: fmt.Sprintf("has %d bytes; at most %d are allowed", len(data), MaxPartBytes)}}
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
