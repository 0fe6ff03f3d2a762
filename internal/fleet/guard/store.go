package guard

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

// Prefix begins the names of the platform's objects that keep holds.
const Prefix = "holds/"

// storeLoop brings the platform and this daemon's holds together.
func (g *Guard) storeLoop(ctx context.Context) {
	t := time.NewTicker(storePeriod)
	defer t.Stop()
	read := false
	for {
		if !read || g.Home == nil || g.Home() {
			err := g.readHolds(ctx)
			read = read || err == nil
		}
		g.writeHolds(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// readHolds takes in the platform's holds.
func (g *Guard) readHolds(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := g.Store.List(ctx, Prefix)
	if err != nil {
		retries.Add("store", 1)
		return err
	}
	for _, o := range list {
		if h, _, err := Load(ctx, g.Store, strings.TrimPrefix(o.Name, Prefix)); err == nil {
			g.seen(h)
		}
	}
	return nil
}

// seen notes what the platform has and takes it in.
func (g *Guard) seen(h Hold) {
	g.mu.Lock()
	g.stored[h.Version] = max(g.stored[h.Version], h.Epoch)
	g.mu.Unlock()
	g.adopt(h)
}

// writeHolds writes the holds that the platform lacks. What is not written now
// is written at the next look.
func (g *Guard) writeHolds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.mu.Lock()
	var missing []Hold
	for v, h := range g.holds {
		if h.Epoch > g.stored[v] {
			missing = append(missing, h)
		}
	}
	g.mu.Unlock()
	for _, h := range missing {
		winner, err := Save(ctx, g.Store, h)
		if err != nil {
			retries.Add("store", 1)
			continue
		}
		g.seen(winner)
	}
}

// Load returns a version's hold in the platform and the object's version. The
// error is of KindMissing if there never was one.
func Load(ctx context.Context, s samphireturn.Store, version string) (Hold, uint64, error) {
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

// Save writes a hold unless the platform has one of the same or a higher epoch,
// and returns the one that stands. A lost answer is an error; saving again
// settles it.
func Save(ctx context.Context, s samphireturn.Store, h Hold) (Hold, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return Hold{}, err
	}
	old, version, err := Load(ctx, s, h.Version.String())
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
