package publisher

import (
	"context"
	"strings"

	"samphireturn"
)

// write stores the parts of m that old does not name or that are damaged.
func (p *Publisher) write(ctx context.Context, m Manifest, old state, files map[string][]byte) error {
	for _, part := range m.Parts {
		if old.names(part.Hash) && p.whole(ctx, part) {
			continue
		}
		if err := p.part(ctx, PartPrefix+part.Hash, files[part.Name]); err != nil {
			return wrap("write part of "+part.Name, err)
		}
	}
	return nil
}

// whole reports whether the part is there with its content.
func (p *Publisher) whole(ctx context.Context, part Part) bool {
	o, err := p.Store.Get(ctx, PartPrefix+part.Hash)
	return err == nil && Hash(o.Value) == part.Hash
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
