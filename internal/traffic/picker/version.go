package picker

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// criteria restricts the search for a new session's version.
type criteria struct {
	state string
	// loadedOnly skips versions that no known endpoint has loaded.
	loadedOnly bool
	// positiveShare skips versions with a share of zero.
	positiveShare bool
}

// searchOrder is the order in which versions for a new session are searched, first
// among the loaded versions and then among all. Canaries beyond their share are used
// only if no live version can be.
var searchOrder = [...]criteria{
	{state: samphireturn.VersionLive, positiveShare: true},
	{state: samphireturn.VersionLive},
	{state: samphireturn.VersionCanary},
}

// Version returns the version that runs the request, for a model given as "model" or
// "model@version". A session keeps its version. If that is withdrawn, the session
// moves along the chain of successors, even to a held version, so that every daemon
// moves it to the same one. A new session is placed on a version that is neither held
// nor withdrawn, by the hash of its id (of the request's id while it has none) in
// proportion to the shares. Errors are of KindUnknown, KindForbidden and
// KindUnavailable.
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
		v = placeSession(s, r, t, m)
	}
	if v == nil && pinned != "" {
		v = pinnedVersion(s, m, pinned)
	}
	if v == nil {
		return samphireturn.VersionRef{}, &Error{Op: "pick version of " + model, Kind: KindUnavailable}
	}
	return samphireturn.VersionRef{Model: m.Name, Version: v.Name}, nil
}

// AuthorizeService returns nil if the team may use the plain service, otherwise an
// error of KindUnknown or KindForbidden.
func (p *Picker) AuthorizeService(s *samphireturn.Snapshot, team, service string) error {
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

// sessionVersion returns the version on which the request's session continues, or nil
// if it has none that the team may use. A pinned version that leads to another version starts a
// new session.
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

// pinnedVersion returns the named version for a new session, or nil if it takes no
// new sessions.
func pinnedVersion(s *samphireturn.Snapshot, m *samphireturn.Model, name string) *samphireturn.Version {
	v := findVersion(m, name)
	if v.State == samphireturn.VersionWithdrawn || s.HeldVersions[samphireturn.VersionRef{Model: m.Name, Version: name}] {
		return nil
	}
	return v
}

// placeSession returns the version of a new session, or nil if none takes it.
func placeSession(s *samphireturn.Snapshot, r *samphireturn.Request, t *samphireturn.Team, m *samphireturn.Model) *samphireturn.Version {
	key := mixHash(sessionKey(r), m.Name)
	for _, loadedOnly := range [...]bool{true, false} {
		if loadedOnly && !anyLoaded(s, t, m) {
			continue
		}
		if v := placeCanary(s, key, t, m, loadedOnly); v != nil {
			return v
		}
		for _, crit := range searchOrder {
			crit.loadedOnly = loadedOnly
			if v := placeWeighted(s, key, t, m, crit); v != nil {
				return v
			}
		}
	}
	return nil
}

// anyLoaded reports whether any version that the team may use is loaded.
func anyLoaded(s *samphireturn.Snapshot, t *samphireturn.Team, m *samphireturn.Model) bool {
	for i := range m.Versions {
		ref := samphireturn.VersionRef{Model: m.Name, Version: m.Versions[i].Name}
		if isLoaded(s, ref) && allows(t, m.Name, ref.Version) {
			return true
		}
	}
	return false
}

// isLoaded reports whether a known endpoint has loaded the version.
func isLoaded(s *samphireturn.Snapshot, ref samphireturn.VersionRef) bool {
	return len(s.Pools[ref]) > 0 || len(s.RemoteCentres[ref]) > 0
}

// placeCanary returns the canary whose share of the hash range contains the key, or
// nil. The share of a held canary falls to the live versions.
func placeCanary(s *samphireturn.Snapshot, key uint64, t *samphireturn.Team, m *samphireturn.Model, loadedOnly bool) *samphireturn.Version {
	point, end := unitInterval(key), 0.0
	crit := criteria{state: samphireturn.VersionCanary, loadedOnly: loadedOnly, positiveShare: true}
	for i := range m.Versions {
		v := &m.Versions[i]
		if v.State != samphireturn.VersionCanary {
			continue
		}
		end += v.Share
		if point < end {
			if accepts(s, t, m, v, crit) {
				return v
			}
			return nil
		}
	}
	return nil
}

// placeWeighted returns the version with the highest weighted rendezvous score among
// those that meet the criteria, or nil.
func placeWeighted(s *samphireturn.Snapshot, key uint64, t *samphireturn.Team, m *samphireturn.Model, crit criteria) *samphireturn.Version {
	var best *samphireturn.Version
	score := 0.0
	for i := range m.Versions {
		v := &m.Versions[i]
		if v.State != crit.state || !accepts(s, t, m, v, crit) {
			continue
		}
		weight := 1.0
		if crit.positiveShare {
			weight = v.Share
		}
		if sc := -weight / math.Log(unitInterval(mixHash(key, v.Name))); best == nil || sc > score {
			best, score = v, sc
		}
	}
	return best
}

// accepts reports whether the version takes a new session of the team under the
// criteria.
func accepts(s *samphireturn.Snapshot, t *samphireturn.Team, m *samphireturn.Model, v *samphireturn.Version, crit criteria) bool {
	if v.State == samphireturn.VersionWithdrawn || !allows(t, m.Name, v.Name) {
		return false
	}
	if crit.positiveShare && v.Share <= 0 {
		return false
	}
	ref := samphireturn.VersionRef{Model: m.Name, Version: v.Name}
	if s.HeldVersions[ref] {
		return false
	}
	return !crit.loadedOnly || isLoaded(s, ref)
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

// mixHash combines a hash with a name. The finalizer is that of SplitMix64.
func mixHash(key uint64, name string) uint64 {
	z := key*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(name)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// unitInterval maps a hash to the open interval from 0 to 1.
func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
