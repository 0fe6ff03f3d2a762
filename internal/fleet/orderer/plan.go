package orderer

import (
	"cmp"
	"slices"

	"samphireturn"
)

// Reasons why a wanted version is not loaded further.
const (
	problemEngine  = "no engine is free to load it"
	problemLoading = "an engine is loading"
)

type (
	// engine is an engine of the data centre as it reports itself.
	engine struct {
		id, addr string
		fenced   bool
		used     int64
		versions []string
		loading  string
		// resting is true for a while after the engine refused an order or did not
		// carry it out.
		resting bool
	}

	// order is the next load: the engine drops what it has for the version.
	order struct {
		engine  engine
		version string
	}

	// fleet is the engines of a data centre beside what is wanted of them.
	fleet struct {
		engines []engine
		// wanted is the number of engines for each version that may be used; zero
		// if nothing is ordered for it.
		wanted map[string]int
		// model is the model of each version that may be used.
		model  map[string]string
		loaded map[string]int
		// names are the versions with a wanted number, in the configuration's order.
		names []string
	}
)

// newFleet counts what the engines have loaded.
func newFleet(cfg *samphireturn.Config, engines []engine) *fleet {
	f := &fleet{
		engines: engines,
		wanted:  make(map[string]int),
		model:   make(map[string]string),
		loaded:  make(map[string]int),
	}
	for _, m := range cfg.Models {
		for _, v := range m.Versions {
			if v.State == samphireturn.VersionWithdrawn {
				continue
			}
			name := samphireturn.VersionRef{Model: m.Name, Version: v.Name}.String()
			f.wanted[name], f.model[name] = v.EnginesPerCentre, m.Name
			if v.EnginesPerCentre > 0 {
				f.names = append(f.names, name)
			}
		}
	}
	for _, e := range engines {
		for _, v := range e.versions {
			f.loaded[v]++
		}
	}
	return f
}

// progress returns the wanted and the loaded number of each ordered version.
func (f *fleet) progress() []Version {
	var list []Version
	for _, name := range f.names {
		list = append(list, Version{Name: name, Desired: f.wanted[name], Loaded: f.loaded[name]})
	}
	return list
}

// missing reports whether a version has fewer engines than wanted.
func (f *fleet) missing() bool {
	return slices.ContainsFunc(f.names, func(v string) bool { return f.loaded[v] < f.wanted[v] })
}

// next returns the next load, or a problem if one is wanted and none may begin.
// Versions with no engine at all come first. No load begins while an engine is
// loading.
func (f *fleet) next() (o order, ok bool, problem string) {
	var short []string
	for _, v := range f.names {
		if f.loaded[v] < f.wanted[v] {
			short = append(short, v)
		}
	}
	if len(short) == 0 {
		return order{}, false, ""
	}
	if slices.ContainsFunc(f.engines, func(e engine) bool { return e.loading != "" }) {
		return order{}, false, problemLoading
	}
	slices.SortStableFunc(short, func(a, b string) int {
		return cmp.Compare(min(f.loaded[a], 1), min(f.loaded[b], 1))
	})
	for _, v := range short {
		if e, ok := f.choose(v); ok {
			return order{engine: e, version: v}, true, ""
		}
	}
	return order{}, false, short[0] + ": " + problemEngine
}

// choose returns the engine that loses least by loading v: an empty one, then
// one with versions out of use only, then one of the same model, the least busy
// first.
func (f *fleet) choose(v string) (engine, bool) {
	var best engine
	rank := 0
	for _, e := range f.engines {
		r := f.rank(e, v)
		if r == 0 || e.resting {
			continue
		}
		if rank == 0 || r < rank || r == rank && e.used < best.used {
			best, rank = e, r
		}
	}
	return best, rank > 0
}

// rank returns what e would lose by loading v, or zero if e may not.
func (f *fleet) rank(e engine, v string) int {
	const (
		empty = iota + 1
		unused
		same
		other
	)
	if slices.Contains(e.versions, v) {
		return 0
	}
	if len(e.versions) == 0 {
		return empty
	}
	rank := unused
	for _, u := range e.versions {
		model, used := f.model[u]
		switch {
		case !used:
			continue
		case !f.spare(u, model == f.model[v]):
			return 0
		case model == f.model[v]:
			rank = max(rank, same)
		default:
			rank = other
		}
	}
	return rank
}

// spare reports whether a version in use can lose an engine. It always keeps
// one and its wanted number. A version without such a number yields engines to
// its own model only.
func (f *fleet) spare(u string, same bool) bool {
	if f.wanted[u] == 0 && !same {
		return false
	}
	return f.loaded[u] > max(f.wanted[u], 1)
}
