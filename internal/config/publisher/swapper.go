package publisher

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"samphireturn"
)

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
