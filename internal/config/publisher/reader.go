package publisher

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/reporter"
)

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
	m.version, m.digest = o.Version, Hash(o.Value)
	return state{Manifest: m, object: o}, err
}

// running returns the highest generation that a daemon has reported.
func (p *Publisher) running(ctx context.Context) (uint64, error) {
	all, err := reporter.Read(ctx, p.Store)
	if err != nil {
		return 0, err
	}
	highest := uint64(0)
	for _, s := range all {
		for _, d := range s.Daemons {
			highest = max(highest, d.Generation)
		}
	}
	return highest, nil
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

// Parts reads the files of m by hash, all at once.
func (p *Publisher) Parts(ctx context.Context, m Manifest) (map[string][]byte, error) {
	objects := make([]samphireturn.Object, len(m.Parts))
	failed := make([]error, len(m.Parts))
	var all sync.WaitGroup
	for i, part := range m.Parts {
		all.Go(func() { objects[i], failed[i] = p.Store.Get(ctx, PartPrefix+part.Hash) })
	}
	all.Wait()
	parts := make(map[string][]byte)
	for i, part := range m.Parts {
		if failed[i] != nil {
			return nil, wrap("load part of "+part.Name, failed[i])
		}
		parts[part.Hash] = objects[i].Value
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
