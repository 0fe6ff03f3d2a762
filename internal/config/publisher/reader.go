package publisher

import (
	"context"

	"github.com/go-faster/errors"

	"samphireturn"
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
	return state{Manifest: m, object: o}, err
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
