package orderer

import (
	"cmp"
	"slices"

	"samphireturn"
)

// Problems that keep a desired version from being loaded.
const (
	problemEngine  = "no engine is free to load it"
	problemLoading = "an engine is loading"
)

type (
	// engine is an engine of the data centre, as the snapshot or its own report
	// describes it.
	engine struct {
		id, addr string
		fenced   bool
		inFlight int64
		versions []string
		loading  string
		// backingOff is true for a while after the engine refused an order or did
		// not carry it out.
		backingOff bool
	}

	// order is the next load. The engine drops the versions that it has.
	order struct {
		engine  engine
		version string
	}

	// fleet holds the engines of a data centre and how many of them each version
	// should have.
	fleet struct {
		engines []engine
		// desired is the number of engines for each version that may be used; zero
		// means that no engine is ordered to load it.
		desired map[string]int
		// model is the model of each version that may be used.
		model  map[string]string
		loaded map[string]int
		// names are the versions with a desired number, in the order of the
		// configuration.
		names []string
	}
)

// newFleet returns the fleet and counts the versions that its engines have
// loaded.
func newFleet(cfg *samphireturn.Config, engines []engine) *fleet {
	f := &fleet{
		engines: engines,
		desired: make(map[string]int),
		model:   make(map[string]string),
		loaded:  make(map[string]int),
	}
	for _, m := range cfg.Models {
		for _, v := range m.Versions {
			if v.State == samphireturn.VersionWithdrawn {
				continue
			}
			name := samphireturn.VersionRef{Model: m.Name, Version: v.Name}.String()
			f.desired[name], f.model[name] = v.EnginesPerCentre, m.Name
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

// progress returns the desired and the loaded number of each version that has a
// desired number.
func (f *fleet) progress() []Version {
	var list []Version
	for _, name := range f.names {
		list = append(list, Version{Name: name, Desired: f.desired[name], Loaded: f.loaded[name]})
	}
	return list
}

// incomplete reports whether a version has fewer engines than desired.
func (f *fleet) incomplete() bool {
	return slices.ContainsFunc(f.names, func(v string) bool { return f.loaded[v] < f.desired[v] })
}

// next returns the next order, or a problem if an engine is missing and no load
// may start. Versions that no engine has come first. No load starts while an
// engine is loading.
func (f *fleet) next() (o order, ok bool, problem string) {
	var incomplete []string
	for _, v := range f.names {
		if f.loaded[v] < f.desired[v] {
			incomplete = append(incomplete, v)
		}
	}
	if len(incomplete) == 0 {
		return order{}, false, ""
	}
	if slices.ContainsFunc(f.engines, func(e engine) bool { return e.loading != "" }) {
		return order{}, false, problemLoading
	}
	slices.SortStableFunc(incomplete, func(a, b string) int {
		return cmp.Compare(min(f.loaded[a], 1), min(f.loaded[b], 1))
	})
	for _, v := range incomplete {
		if e, ok := f.pickEngine(v); ok {
			return order{engine: e, version: v}, true, ""
		}
	}
	return order{}, false, incomplete[0] + ": " + problemEngine
}

// pickEngine returns the engine that loses least by loading v: one without
// versions, then one whose versions are all out of use, then one with versions
// of the same model; among equals the one with the least work in flight.
func (f *fleet) pickEngine(v string) (engine, bool) {
	var best engine
	cost := 0
	for _, e := range f.engines {
		c := f.cost(e, v)
		if c == 0 || e.backingOff {
			continue
		}
		if cost == 0 || c < cost || c == cost && e.inFlight < best.inFlight {
			best, cost = e, c
		}
	}
	return best, cost > 0
}

// cost ranks what e would lose by loading v; zero means that e may not load it.
func (f *fleet) cost(e engine, v string) int {
	const (
		empty = iota + 1
		unused
		sameModel
		otherModel
	)
	if slices.Contains(e.versions, v) {
		return 0
	}
	if len(e.versions) == 0 {
		return empty
	}
	cost := unused
	for _, u := range e.versions {
		model, used := f.model[u]
		switch {
		case !used:
			continue
		case !f.canSpare(u, model == f.model[v]):
			return 0
		case model == f.model[v]:
			cost = max(cost, sameModel)
		default:
			cost = otherModel
		}
	}
	return cost
}

// canSpare reports whether a version in use can lose an engine. It always keeps
// at least one and its desired number. A version without a desired number
// yields engines to versions of its own model only.
func (f *fleet) canSpare(u string, sameModel bool) bool {
	if f.desired[u] == 0 && !sameModel {
		return false
	}
	return f.loaded[u] > max(f.desired[u], 1)
}
