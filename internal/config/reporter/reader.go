package reporter

import (
	"context"
	"encoding/json"

	"samphireturn"
)

// ReadStatuses returns the status of every data centre that has reported one, by the
// data centre's name.
func ReadStatuses(ctx context.Context, store samphireturn.Store) (map[string]Status, error) {
	list, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	statuses := make(map[string]Status)
	for _, entry := range list {
		o, err := store.Get(ctx, entry.Name)
		if samphireturn.KindOf(err) == samphireturn.KindMissing {
			continue
		}
		if err != nil {
			return nil, err
		}
		var s Status
		if err := json.Unmarshal(o.Value, &s); err != nil {
			return nil, &samphireturn.Error{Op: "read " + o.Name, Kind: samphireturn.KindInvalid, Err: err}
		}
		s.Version = o.Version
		statuses[s.Centre] = s
	}
	return statuses, nil
}
