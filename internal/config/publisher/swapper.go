package publisher

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"samphireturn"
)

// swap puts m in the place of old, settles an unknown outcome and returns the
// version of an object that is not older than the swap's.
func (p *Publisher) swap(ctx context.Context, m Manifest, old state) (uint64, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, wrap("swap", err)
	}
	unknown := false
	for try := range attempts {
		if try > 0 {
			retries.Add("swap", 1)
			if sleep(ctx, pause) != nil {
				break
			}
		}
		version, e := p.replace(ctx, data, old)
		err = e
		switch samphireturn.KindOf(err) {
		case samphireturn.KindConflict, samphireturn.KindUnknown:
			unknown = unknown || samphireturn.KindOf(err) == samphireturn.KindUnknown
		default:
			if err == nil || !unknown {
				return version, swapError(err)
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
			return now.object.Version, e
		}
	}
	return 0, &Error{Op: "swap " + ManifestName, Kind: samphireturn.KindUnknown, Err: err}
}

// replace writes the manifest's object in the place of old's.
func (p *Publisher) replace(ctx context.Context, data []byte, old state) (uint64, error) {
	if old.object.Version == 0 {
		return p.Store.Create(ctx, ManifestName, data)
	}
	return p.Store.Update(ctx, ManifestName, data, old.object.Version)
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
		return true, &Error{Op: "swap " + ManifestName, Kind: samphireturn.KindUnknown, InForce: &between,
			Err: errors.Errorf("generation %d is in force; the outcome of generation %d can't be told", now.Generation, m.Generation)}
	default:
		return true, conflict(now.Manifest, old.Generation)
	}
}

// conflict is the error for a change made from base while m is in force.
func conflict(m Manifest, base uint64) error {
	if base == NoBase {
		return &Error{Op: "apply", Kind: samphireturn.KindConflict, InForce: &m,
			Err: errors.Errorf("the change names no generation that it was made from, but %d by %s is in force", m.Generation, m.Author)}
	}
	return &Error{Op: "apply", Kind: samphireturn.KindConflict, InForce: &m,
		Err: errors.Errorf("the change was made from generation %d, but %d by %s is in force", base, m.Generation, m.Author)}
}
