// Package publisher keeps configurations in the platform's object API.
//
// Each file is a part under a name made from its content. One manifest object
// names the parts in force and is swapped by conditional update, so that of
// two changes made from the same generation only one is accepted and a reader
// never sees half a change.
package publisher

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/parser"
)

const (
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
		// Between is the manifest in force, for KindConflict; else nil.
		Between *Manifest
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
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + e.Kind.String()
	}
	return e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

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
// generation that the change was made from; zero stands for the current one.
// It returns an *Error of KindInvalid for a faulty configuration, of
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
	if base != 0 && base != old.Generation {
		return m, conflict(old.Manifest, base)
	}
	m.Generation = old.Generation + 1
	m.Previous = Previous{Generation: old.Generation, Hash: Hash(old.object.Value), Parts: old.Parts}
	if err := p.write(ctx, m, old, files); err != nil {
		return m, err
	}
	if err := p.swap(ctx, m, old); err != nil {
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

// write stores the parts of m that old does not name.
func (p *Publisher) write(ctx context.Context, m Manifest, old state, files map[string][]byte) error {
	for _, part := range m.Parts {
		if old.names(part.Hash) {
			continue
		}
		if err := p.part(ctx, PartPrefix+part.Hash, files[part.Name]); err != nil {
			return wrap("write part of "+part.Name, err)
		}
	}
	return nil
}

// part stores one part and gives it a new version if it is there already.
func (p *Publisher) part(ctx context.Context, name string, data []byte) error {
	var err error
	for try := range attempts {
		if try > 0 {
			retries.Add("part", 1)
			if e := sleep(ctx, pause); e != nil {
				return err
			}
		}
		_, err = p.Store.Create(ctx, name, data)
		if samphireturn.KindOf(err) == samphireturn.KindConflict {
			err = p.touch(ctx, name, data)
		}
		if err == nil || samphireturn.KindOf(err) == samphireturn.KindInvalid {
			return err
		}
	}
	return err
}

// touch writes an existing part again.
func (p *Publisher) touch(ctx context.Context, name string, data []byte) error {
	o, err := p.Store.Get(ctx, name)
	if err != nil {
		return err
	}
	_, err = p.Store.Update(ctx, name, data, o.Version)
	return err
}

// swap puts m in the place of old and settles an unknown outcome.
func (p *Publisher) swap(ctx context.Context, m Manifest, old state) error {
	data, err := json.Marshal(m)
	if err != nil {
		return wrap("swap", err)
	}
	unknown := false
	for try := range attempts {
		if try > 0 {
			retries.Add("swap", 1)
			if sleep(ctx, pause) != nil {
				break
			}
		}
		if old.object.Version == 0 {
			_, err = p.Store.Create(ctx, ManifestName, data)
		} else {
			_, err = p.Store.Update(ctx, ManifestName, data, old.object.Version)
		}
		switch samphireturn.KindOf(err) {
		case samphireturn.KindConflict, samphireturn.KindUnknown:
			unknown = unknown || samphireturn.KindOf(err) == samphireturn.KindUnknown
		default:
			if err == nil || !unknown {
				return swapError(err)
			}
			continue
		}
		now, e := p.current(ctx)
		if e != nil {
			unknown, err = true, e
			continue
		}
		done, e := settle(now, m, data, old, unknown)
		if done {
			return e
		}
	}
	return &Error{Op: "swap " + ManifestName, Kind: samphireturn.KindUnknown, Err: err}
}

func swapError(err error) error {
	if err == nil {
		return nil
	}
	return wrap("swap "+ManifestName, err)
}

// settle decides from the manifest now in force what became of m. It reports
// false if the old one is still there, so that the swap may be tried again.
func settle(now state, m Manifest, data []byte, old state, unknown bool) (bool, error) {
	switch {
	case bytes.Equal(now.object.Value, data):
		return true, nil
	case now.object.Version == old.object.Version:
		return false, nil
	case now.Previous.Hash == Hash(data):
		// m was accepted and another change was made from it since.
		return true, nil
	case unknown && now.Generation > m.Generation+1:
		between := now.Manifest
		return true, &Error{Op: "swap " + ManifestName, Kind: samphireturn.KindUnknown, Between: &between,
			Err: errors.Errorf("generation %d is in force; the outcome of generation %d can't be told", now.Generation, m.Generation)}
	default:
		return true, conflict(now.Manifest, old.Generation)
	}
}

// conflict is the error for a change made from base while m is in force.
func conflict(m Manifest, base uint64) error {
	return &Error{Op: "apply", Kind: samphireturn.KindConflict, Between: &m,
		Err: errors.Errorf("the change was made from generation %d, but %d by %s is in force", base, m.Generation, m.Author)}
}

// current returns the manifest in force, or the zero state if there is none.
func (p *Publisher) current(ctx context.Context) (state, error) {
	o, err := p.Store.Get(ctx, ManifestName)
	if samphireturn.KindOf(err) == samphireturn.KindMissing {
		return state{}, nil
	}
	if err != nil {
		return state{}, err
	}
	m, err := Decode(o.Value)
	return state{Manifest: m, object: o}, err
}

// clean removes parts that neither the manifest in force nor the one before
// names. What it leaves behind a later apply removes. The manifest is read
// after the list: a part named since then has a newer version than listed.
func (p *Publisher) clean(ctx context.Context) {
	list, err := p.Store.List(ctx, PartPrefix)
	if err != nil {
		failures.Add("clean", 1)
		return
	}
	now, err := p.current(ctx)
	if err != nil || now.Generation == 0 {
		return
	}
	for _, o := range list {
		if !now.names(strings.TrimPrefix(o.Name, PartPrefix)) {
			if err := p.Store.Delete(ctx, o.Name, o.Version); err != nil {
				failures.Add("clean", 1)
			}
		}
	}
}

// Load returns the manifest in force and its files by hash. KindMissing says
// that there is no configuration or that a part is not there.
func (p *Publisher) Load(ctx context.Context) (Manifest, map[string][]byte, error) {
	now, err := p.current(ctx)
	if err != nil {
		return Manifest{}, nil, wrap("load", err)
	}
	if now.Generation == 0 {
		return Manifest{}, nil, &Error{Op: "load", Kind: samphireturn.KindMissing, Err: errors.New("no configuration was applied yet")}
	}
	parts, err := p.Parts(ctx, now.Manifest)
	return now.Manifest, parts, err
}

// Parts reads the files of m by hash.
func (p *Publisher) Parts(ctx context.Context, m Manifest) (map[string][]byte, error) {
	parts := make(map[string][]byte)
	for _, part := range m.Parts {
		o, err := p.Store.Get(ctx, PartPrefix+part.Hash)
		if err != nil {
			return nil, wrap("load part of "+part.Name, err)
		}
		parts[part.Hash] = o.Value
	}
	return parts, nil
}

// Fetch returns the manifest in force and its configuration.
func (p *Publisher) Fetch(ctx context.Context) (Manifest, *samphireturn.Config, error) {
	m, parts, err := p.Load(ctx)
	if err != nil {
		return m, nil, err
	}
	cfg, err := Assemble(m, parts)
	return m, cfg, err
}

// Files returns the manifest in force and its files by name.
func (p *Publisher) Files(ctx context.Context) (Manifest, map[string][]byte, error) {
	m, parts, err := p.Load(ctx)
	if err != nil {
		return m, nil, err
	}
	files := make(map[string][]byte)
	for _, part := range m.Parts {
		files[part.Name] = parts[part.Hash]
	}
	return m, files, nil
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
