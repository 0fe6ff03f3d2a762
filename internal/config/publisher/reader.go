package publisher

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/reporter"
)

// readManifest returns the manifest in force, or the zero value if there is none.
func (p *Publisher) readManifest(ctx context.Context) (storedManifest, error) {
	o, err := p.Store.Get(ctx, ManifestName)
	if samphireturn.KindOf(err) == samphireturn.KindMissing {
		return storedManifest{}, nil
	}
	if err != nil {
		return storedManifest{}, err
	}
	m, err := Decode(o.Value)
	m.version, m.digest = o.Version, Hash(o.Value)
	return storedManifest{Manifest: m, object: o}, err
}

// highestReported returns the highest generation that a daemon has reported.
func (p *Publisher) highestReported(ctx context.Context) (uint64, error) {
	statuses, err := reporter.ReadStatuses(ctx, p.Store)
	if err != nil {
		return 0, err
	}
	highest := uint64(0)
	for _, s := range statuses {
		for _, d := range s.Daemons {
			highest = max(highest, d.Generation)
		}
	}
	return highest, nil
}

// Load returns the manifest in force and its files by hash. It returns an error of
// KindMissing if there is no configuration or a part is missing.
func (p *Publisher) Load(ctx context.Context) (Manifest, map[string][]byte, error) {
	now, err := p.readManifest(ctx)
	if err != nil {
		return Manifest{}, nil, wrapError("load", err)
	}
	if now.Generation == 0 {
		return Manifest{}, nil, &Error{Op: "load", Kind: samphireturn.KindMissing, Err: errors.New("no configuration was applied yet")}
	}
	parts, err := p.Parts(ctx, now.Manifest)
	return now.Manifest, parts, err
}

// Parts reads the files of m concurrently and returns them by hash.
func (p *Publisher) Parts(ctx context.Context, m Manifest) (map[string][]byte, error) {
	objects := make([]samphireturn.Object, len(m.Parts))
	errs := make([]error, len(m.Parts))
	var wg sync.WaitGroup
	for i, part := range m.Parts {
		wg.Go(func() { objects[i], errs[i] = p.Store.Get(ctx, PartPrefix+part.Hash) })
	}
	wg.Wait()
	parts := make(map[string][]byte)
	for i, part := range m.Parts {
		if errs[i] != nil {
			return nil, wrapError("load part of "+part.Name, errs[i])
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
