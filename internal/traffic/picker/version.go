package picker

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// pass is what a search for a new session's version insists on.
type pass struct {
	state string
	// served passes over versions that no known endpoint has loaded.
	served bool
	// shared passes over versions with a share of zero.
	shared bool
}

// passes is the order in which versions for a new session are searched, first
// among the versions that an endpoint has loaded and then among all. Canaries
// beyond their share serve only if no live version can.
var passes = [...]pass{
	{state: samphireturn.VersionLive, shared: true},
	{state: samphireturn.VersionLive},
	{state: samphireturn.VersionCanary},
}

// Version returns the version of a model ("model" or "model@version") that
// runs the request. A session keeps its version; if that is withdrawn it moves
// along the chain of successors, holds notwithstanding, so that every daemon
// moves it to the same version. A new session is placed by the hash of its id
// (of the request's id while it has none) in proportion to the shares, apart
// from held and withdrawn versions. Errors are KindUnknown, KindForbidden and
// KindNone.
func (p *Picker) Version(s *samphireturn.Snapshot, r *samphireturn.Request, model string) (samphireturn.VersionRef, error) {
	name, pinned, _ := strings.Cut(model, "@")
	m := findModel(s.Config, name)
	if m == nil || (pinned != "" && findVersion(m, pinned) == nil) {
		return samphireturn.VersionRef{}, &Error{Op: "pick version of " + model, Kind: KindUnknown}
	}
	t := findTeam(s.Config, r.Team)
	if t == nil || !allowsAny(t, m, pinned) {
		return samphireturn.VersionRef{}, &Error{Op: "pick version of " + model, Kind: KindForbidden}
	}
	v := sessionVersion(r, t, m, pinned)
	if v == nil && pinned == "" {
		v = place(s, r, t, m)
	}
	if v == nil && pinned != "" {
		v = pin(s, m, pinned)
	}
	if v == nil {
		return samphireturn.VersionRef{}, &Error{Op: "pick version of " + model, Kind: KindNone}
	}
	return samphireturn.VersionRef{Model: m.Name, Version: v.Name}, nil
}

// AllowedService returns nil if the team may use the plain service, otherwise
// KindUnknown or KindForbidden.
func (p *Picker) AllowedService(s *samphireturn.Snapshot, team, service string) error {
	known := s.Config != nil && slices.ContainsFunc(s.Config.Services, func(b samphireturn.Service) bool {
		return b.Name == service
	})
	if !known {
		return &Error{Op: "use service " + service, Kind: KindUnknown}
	}
	t := findTeam(s.Config, team)
	if t == nil || !slices.Contains(t.Services, service) {
		return &Error{Op: "use service " + service, Kind: KindForbidden}
	}
	return nil
}

// sessionVersion returns the version that the request's session goes on with,
// or nil if it has none that the team may use. A pinned version that leads
// elsewhere begins a new session.
func sessionVersion(r *samphireturn.Request, t *samphireturn.Team, m *samphireturn.Model, pinned string) *samphireturn.Version {
	if r.Session == nil || r.Session.Team != r.Team || r.Session.Model != m.Name {
		return nil
	}
	v := successor(m, r.Session.Version)
	if v == nil || !allows(t, m.Name, v.Name) {
		return nil
	}
	if pinned != "" && successor(m, pinned) != v {
		return nil
	}
	return v
}

// successor returns the first version that is not withdrawn on the chain that
// begins with the named one, or nil if there is none.
func successor(m *samphireturn.Model, name string) *samphireturn.Version {
	for range m.Versions {
		v := findVersion(m, name)
		if v == nil || v.State != samphireturn.VersionWithdrawn {
			return v
		}
		name = v.Successor
	}
	return nil
}

// pin returns the version that a new session asked for by name, or nil if it
// takes no new sessions.
func pin(s *samphireturn.Snapshot, m *samphireturn.Model, name string) *samphireturn.Version {
	v := findVersion(m, name)
	if v.State == samphireturn.VersionWithdrawn || s.HeldVersions[samphireturn.VersionRef{Model: m.Name, Version: name}] {
		return nil
	}
	return v
}

// place returns the version of a new session, or nil if none takes one.
func place(s *samphireturn.Snapshot, r *samphireturn.Request, t *samphireturn.Team, m *samphireturn.Model) *samphireturn.Version {
	key := mix(sessionKey(r), m.Name)
	for _, served := range [...]bool{true, false} {
		if served && !anyServed(s, t, m) {
			continue
		}
		if v := placeCanary(s, key, t, m, served); v != nil {
			return v
		}
		for _, ps := range passes {
			ps.served = served
			if v := placeBy(s, key, t, m, ps); v != nil {
				return v
			}
		}
	}
	return nil
}

// anyServed reports whether any version that the team may use is loaded.
func anyServed(s *samphireturn.Snapshot, t *samphireturn.Team, m *samphireturn.Model) bool {
	for i := range m.Versions {
		ref := samphireturn.VersionRef{Model: m.Name, Version: m.Versions[i].Name}
		if isServed(s, ref) && allows(t, m.Name, ref.Version) {
			return true
		}
	}
	return false
}

// isServed reports whether a known endpoint has loaded the version.
func isServed(s *samphireturn.Snapshot, ref samphireturn.VersionRef) bool {
	return len(s.Pools[ref]) > 0 || len(s.RemoteCentres[ref]) > 0
}

// placeCanary returns the canary whose part of the hash range holds the key.
// A held canary's part falls to the live versions.
func placeCanary(s *samphireturn.Snapshot, key uint64, t *samphireturn.Team, m *samphireturn.Model, served bool) *samphireturn.Version {
	u, end := unit(key), 0.0
	ps := pass{state: samphireturn.VersionCanary, served: served, shared: true}
	for i := range m.Versions {
		v := &m.Versions[i]
		if v.State != samphireturn.VersionCanary {
			continue
		}
		end += v.Share
		if u < end {
			if takes(s, t, m, v, ps) {
				return v
			}
			return nil
		}
	}
	return nil
}

// placeBy returns the version with the highest weighted rendezvous score among
// those that the pass admits, or nil.
func placeBy(s *samphireturn.Snapshot, key uint64, t *samphireturn.Team, m *samphireturn.Model, ps pass) *samphireturn.Version {
	var best *samphireturn.Version
	score := 0.0
	for i := range m.Versions {
		v := &m.Versions[i]
		if v.State != ps.state || !takes(s, t, m, v, ps) {
			continue
		}
		weight := 1.0
		if ps.shared {
			weight = v.Share
		}
		if sc := -weight / math.Log(unit(mix(key, v.Name))); best == nil || sc > score {
			best, score = v, sc
		}
	}
	return best
}

// takes reports whether the version takes a new session of the team.
func takes(s *samphireturn.Snapshot, t *samphireturn.Team, m *samphireturn.Model, v *samphireturn.Version, ps pass) bool {
	if v.State == samphireturn.VersionWithdrawn || !allows(t, m.Name, v.Name) {
		return false
	}
	if ps.shared && v.Share <= 0 {
		return false
	}
	ref := samphireturn.VersionRef{Model: m.Name, Version: v.Name}
	if s.HeldVersions[ref] {
		return false
	}
	return !ps.served || isServed(s, ref)
}

// allowsAny reports whether the team may use the pinned version or, without
// one, any version of the model.
func allowsAny(t *samphireturn.Team, m *samphireturn.Model, pinned string) bool {
	if pinned != "" {
		return allows(t, m.Name, pinned)
	}
	for i := range m.Versions {
		if allows(t, m.Name, m.Versions[i].Name) {
			return true
		}
	}
	return false
}

// allows reports whether the team may use the version.
func allows(t *samphireturn.Team, model, version string) bool {
	for _, entry := range t.Models {
		name, v, pinned := strings.Cut(entry, "@")
		if name == model && (!pinned || v == version) {
			return true
		}
	}
	return false
}

func findModel(c *samphireturn.Config, name string) *samphireturn.Model {
	if c == nil {
		return nil
	}
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

func findVersion(m *samphireturn.Model, name string) *samphireturn.Version {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i]
		}
	}
	return nil
}

func findTeam(c *samphireturn.Config, name string) *samphireturn.Team {
	if c == nil {
		return nil
	}
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// sessionKey hashes the id that places the request's session.
func sessionKey(r *samphireturn.Request) uint64 {
	if r.Session != nil && r.Session.ID != "" {
		return xxhash.Sum64String(r.Session.ID)
	}
	return xxhash.Sum64String(r.ID)
}

// mix combines a hash with a name. The finalizer is that of SplitMix64.
func mix(key uint64, name string) uint64 {
	z := key*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(name)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// unit maps a hash to the open interval from 0 to 1.
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
