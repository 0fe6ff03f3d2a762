package publisher

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"samphireturn"
)

// commitManifest replaces the manifest old by m and retries while the outcome is
// undecided. It returns a version of the manifest's object that is not older than
// the one written.
func (p *Publisher) commitManifest(ctx context.Context, m Manifest, old storedManifest) (uint64, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, wrapError("swap", err)
	}
	unknown := false
	for attempt := range maxAttempts {
		if attempt > 0 {
			retries.Add("swap", 1)
			if sleep(ctx, retryDelay) != nil {
				break
			}
		}
		version, e := p.writeManifest(ctx, data, old)
		err = e
		switch samphireturn.KindOf(err) {
		case samphireturn.KindConflict, samphireturn.KindUnknown:
			unknown = unknown || samphireturn.KindOf(err) == samphireturn.KindUnknown
		default:
			if err == nil || !unknown {
				return version, wrapCommitError(err)
			}
			continue
		}
		now, e := p.readManifest(ctx)
		if e != nil {
			unknown, err = true, e
			continue
		}
		done, e := resolveOutcome(now, m, data, old, unknown)
		if done {
			return now.object.Version, e
		}
	}
	return 0, &Error{Op: "swap " + ManifestName, Kind: samphireturn.KindUnknown, Err: err}
}

// writeManifest writes the manifest's object if its version is still that of old.
func (p *Publisher) writeManifest(ctx context.Context, data []byte, old storedManifest) (uint64, error) {
	if old.object.Version == 0 {
		return p.Store.Create(ctx, ManifestName, data)
	}
	return p.Store.Update(ctx, ManifestName, data, old.object.Version)
}

func wrapCommitError(err error) error {
	if err == nil {
		return nil
	}
	return wrapError("swap "+ManifestName, err)
}

// resolveOutcome decides from the manifest now in force whether m was accepted. It
// reports false if old is still in force, so that the write may be retried.
// unknown is true if an earlier write of m may have been accepted.
func resolveOutcome(now storedManifest, m Manifest, data []byte, old storedManifest, unknown bool) (bool, error) {
	switch {
	case bytes.Equal(now.object.Value, data):
		return true, nil
	case now.object.Version == old.object.Version:
		return false, nil
	case now.Previous.Hash == Hash(data):
		// m was accepted, and another change was made from it since.
		return true, nil
	case unknown && now.Generation > m.Generation+1:
		// A manifest names only its predecessor, so after two or more changes it
		// does not show whether m was among them.
		inForce := now.Manifest
		return true, &Error{Op: "swap " + ManifestName, Kind: samphireturn.KindUnknown, InForce: &inForce,
			Err: errors.Errorf("generation %d is in force; the outcome of generation %d can't be told", now.Generation, m.Generation)}
	default:
		return true, conflictError(now.Manifest, old.Generation)
	}
}

// conflictError returns the error for a change made from base while m is in force.
func conflictError(m Manifest, base uint64) error {
	if base == NoBase {
		return &Error{Op: "apply", Kind: samphireturn.KindConflict, InForce: &m,
			Err: errors.Errorf("the change names no generation that it was made from, but %d by %s is in force", m.Generation, m.Author)}
	}
	return &Error{Op: "apply", Kind: samphireturn.KindConflict, InForce: &m,
		Err: errors.Errorf("the change was made from generation %d, but %d by %s is in force", base, m.Generation, m.Author)}
}
