package guard

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

// Prefix begins the names of the platform's objects that store holds.
const Prefix = "holds/"

// storeLoop synchronises this daemon's holds with the platform's.
func (g *Guard) storeLoop(ctx context.Context) {
	t := time.NewTicker(storeInterval)
	defer t.Stop()
	loaded := false
	for {
		if !loaded || g.ReadsStore == nil || g.ReadsStore() {
			err := g.readHolds(ctx)
			loaded = loaded || err == nil
		}
		g.writeHolds(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// readHolds applies the platform's holds.
func (g *Guard) readHolds(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := g.Store.List(ctx, Prefix)
	if err != nil {
		retries.Add("store", 1)
		return err
	}
	for _, o := range list {
		if h, _, err := LoadHold(ctx, g.Store, strings.TrimPrefix(o.Name, Prefix)); err == nil {
			g.adoptStored(h)
		}
	}
	return nil
}

// adoptStored records the epoch that the platform has and applies the hold.
func (g *Guard) adoptStored(h Hold) {
	g.mu.Lock()
	g.storedEpochs[h.Version] = max(g.storedEpochs[h.Version], h.Epoch)
	g.mu.Unlock()
	g.adopt(h)
}

// writeHolds writes the holds that the platform lacks. A write that fails is retried at
// the next synchronisation.
func (g *Guard) writeHolds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.mu.Lock()
	var missing []Hold
	for v, h := range g.holds {
		if h.Epoch > g.storedEpochs[v] {
			missing = append(missing, h)
		}
	}
	g.mu.Unlock()
	for _, h := range missing {
		winner, err := SaveHold(ctx, g.Store, h)
		if err != nil {
			retries.Add("store", 1)
			continue
		}
		g.adoptStored(winner)
	}
}

// LoadHold returns a version's hold in the platform and the object's version. The error is
// of KindMissing if the platform has no hold of the version.
func LoadHold(ctx context.Context, s samphireturn.Store, version string) (Hold, uint64, error) {
	o, err := s.Get(ctx, Prefix+version)
	if err != nil {
		return Hold{}, 0, err
	}
	var h Hold
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return Hold{}, 0, &samphireturn.Error{Op: "read " + o.Name, Kind: samphireturn.KindInvalid, Err: err}
	}
	if h.Version.String() != version {
		return Hold{}, 0, &samphireturn.Error{Op: "read " + o.Name, Kind: samphireturn.KindInvalid, Err: errors.Errorf("it is about %s", h.Version)}
	}
	return h, o.Version, nil
}

// SaveHold writes a hold, unless the platform has one of the same or a higher epoch, and
// returns the one that the platform then has. If the answer to the write is lost it
// returns an error; saving the hold again finds out whether it was written.
func SaveHold(ctx context.Context, s samphireturn.Store, h Hold) (Hold, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return Hold{}, err
	}
	old, version, err := LoadHold(ctx, s, h.Version.String())
	switch {
	case samphireturn.KindOf(err) == samphireturn.KindMissing:
		_, err = s.Create(ctx, Prefix+h.Version.String(), data)
	case err != nil:
		return Hold{}, err
	case old.Epoch >= h.Epoch:
		return old, nil
	default:
		_, err = s.Update(ctx, Prefix+h.Version.String(), data, version)
	}
	if err != nil {
		return Hold{}, err
	}
	return h, nil
}
