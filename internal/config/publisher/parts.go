package publisher

import (
	"context"
	"strings"

	"samphireturn"
)

// writeParts stores the parts of m that old does not list or that are damaged.
func (p *Publisher) writeParts(ctx context.Context, m Manifest, old storedManifest, files map[string][]byte) error {
	for _, part := range m.Parts {
		if old.references(part.Hash) && p.isIntact(ctx, part) {
			continue
		}
		if err := p.writePart(ctx, PartPrefix+part.Hash, files[part.Name]); err != nil {
			return wrapError("write part of "+part.Name, err)
		}
	}
	return nil
}

// isIntact reports whether the part is stored with the content that its hash
// stands for.
func (p *Publisher) isIntact(ctx context.Context, part Part) bool {
	o, err := p.Store.Get(ctx, PartPrefix+part.Hash)
	return err == nil && Hash(o.Value) == part.Hash
}

// writePart stores one part. A part that exists already is written again, which
// gives it a new version.
func (p *Publisher) writePart(ctx context.Context, name string, data []byte) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			retries.Add("part", 1)
			if e := sleep(ctx, retryDelay); e != nil {
				return err
			}
		}
		_, err = p.Store.Create(ctx, name, data)
		if samphireturn.KindOf(err) == samphireturn.KindConflict {
			err = p.rewritePart(ctx, name, data)
		}
		if err == nil || samphireturn.KindOf(err) == samphireturn.KindInvalid {
			return err
		}
	}
	return err
}

// rewritePart writes an existing part again.
func (p *Publisher) rewritePart(ctx context.Context, name string, data []byte) error {
	o, err := p.Store.Get(ctx, name)
	if err != nil {
		return err
	}
	_, err = p.Store.Update(ctx, name, data, o.Version)
	return err
}

// removeUnusedParts removes the parts that neither the manifest in force nor its
// predecessor lists. A later Apply removes what is left behind. The manifest is read
// after the list of parts: a part that comes into use since then has a newer version
// than listed, so that its removal fails.
func (p *Publisher) removeUnusedParts(ctx context.Context) {
	list, err := p.Store.List(ctx, PartPrefix)
	if err != nil {
		failures.Add("clean", 1)
		return
	}
	now, err := p.readManifest(ctx)
	if err != nil || now.Generation == 0 {
		return
	}
	for _, o := range list {
		if !now.references(strings.TrimPrefix(o.Name, PartPrefix)) {
			if err := p.Store.Delete(ctx, o.Name, o.Version); err != nil {
				failures.Add("clean", 1)
			}
		}
	}
}
