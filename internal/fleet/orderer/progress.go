package orderer

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"samphireturn"
)

// Prefix begins the names of the objects that store the progress of loads; the
// name of the data centre follows.
const Prefix = "orders/"

type (
	// Version is the progress of one version in a data centre: the number of
	// engines that should have it and that have it.
	Version struct {
		Name    string `json:"name"`
		Desired int    `json:"wanted"`
		Loaded  int    `json:"loaded"`
	}

	// Progress is the content of a data centre's progress object.
	Progress struct {
		Centre string    `json:"centre"`
		Time   time.Time `json:"time"`
		// Fence is the fencing number of the writer's lease.
		Fence    uint64    `json:"fence"`
		Versions []Version `json:"versions"`
		// Engine and Loading are the engine ordered last and the version to load,
		// until no engine is missing.
		Engine  string `json:"engine,omitempty"`
		Loading string `json:"loading,omitempty"`
		// Problem is what keeps a version from being loaded; empty if nothing does.
		Problem string `json:"problem,omitempty"`
	}
)

// sameContent reports whether two values differ in time and fence at most.
func (p Progress) sameContent(q Progress) bool {
	p.Time, p.Fence = q.Time, q.Fence
	a, err := json.Marshal(p)
	if err != nil {
		return false
	}
	b, err := json.Marshal(q)
	return err == nil && string(a) == string(b)
}

// ReadAll returns the stored progress of every data centre, by its name.
func ReadAll(ctx context.Context, store samphireturn.Store) (map[string]Progress, error) {
	list, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	all := make(map[string]Progress)
	for _, entry := range list {
		p, _, err := load(ctx, store, strings.TrimPrefix(entry.Name, Prefix))
		if err != nil {
			return nil, err
		}
		all[p.Centre] = p
	}
	return all, nil
}

// load reads the progress of a data centre and the object's version, which is
// zero if the object does not exist.
func load(ctx context.Context, store samphireturn.Store, centre string) (Progress, uint64, error) {
	object, err := store.Get(ctx, Prefix+centre)
	if samphireturn.KindOf(err) == samphireturn.KindMissing {
		return Progress{Centre: centre}, 0, nil
	}
	if err != nil {
		return Progress{}, 0, err
	}
	var p Progress
	if err := json.Unmarshal(object.Value, &p); err != nil {
		return Progress{}, 0, &samphireturn.Error{Op: "read " + object.Name, Kind: samphireturn.KindInvalid, Err: err}
	}
	return p, object.Version, nil
}

// save writes the progress if the object still has the version, and returns the
// new version. Version zero creates the object.
func save(ctx context.Context, store samphireturn.Store, p Progress, version uint64) (uint64, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return 0, err
	}
	if version == 0 {
		return store.Create(ctx, Prefix+p.Centre, data)
	}
	return store.Update(ctx, Prefix+p.Centre, data, version)
}
