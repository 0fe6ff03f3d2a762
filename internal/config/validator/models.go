package validator

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"

	"samphireturn"
)

// versionIndex returns the index of the named version of m, or -1.
func versionIndex(m *samphireturn.Model, name string) int {
	return slices.IndexFunc(m.Versions, func(v samphireturn.Version) bool { return v.Name == name })
}

func (c *checker) allModels() {
	names := make([]string, len(c.cfg.Models))
	for i := range c.cfg.Models {
		m := &c.cfg.Models[i]
		names[i] = m.Name
		c.model(fmt.Sprintf("model[%d]", i), m)
	}
	c.names("model", names)
}

func (c *checker) model(key string, m *samphireturn.Model) {
	if len(m.Versions) == 0 {
		c.add(key, "model %q has no version", m.Name)
		return
	}
	names := make([]string, len(m.Versions))
	sum, serving := 0.0, 0
	for i, v := range m.Versions {
		names[i] = v.Name
		versionKey := fmt.Sprintf("%s.version[%d]", key, i)
		c.inRange(versionKey+".share", v.Share, 0, 1)
		c.nonNegative(versionKey+".input", v.InputPrice)
		c.nonNegative(versionKey+".output", v.OutputPrice)
		c.nonNegative(versionKey+".engines", float64(v.EnginesPerCentre))
		c.state(versionKey, m, v)
		if v.State == samphireturn.VersionLive || v.State == samphireturn.VersionCanary {
			sum += v.Share
			serving++
		}
		if !c.anyTeamMayUse(m.Name, v.Name) {
			c.add(versionKey+".name", "no team may use %s@%s", m.Name, v.Name)
		}
	}
	c.names(key+".version", names)
	if serving > 0 && !(math.Abs(sum-1) <= shareTolerance) {
		c.add(key, "the shares of model %q add up to %g, not 1", m.Name, sum)
	}
}

// state checks a version's state and the keys that depend on it.
func (c *checker) state(versionKey string, m *samphireturn.Model, v samphireturn.Version) {
	switch v.State {
	case samphireturn.VersionLive, samphireturn.VersionCanary:
		if v.Successor != "" {
			c.add(versionKey+".successor", "only a withdrawn version has a successor")
		}
	case samphireturn.VersionWithdrawn:
		if v.Share != 0 {
			c.add(versionKey+".share", "must be 0 for a withdrawn version, not %g", v.Share)
		}
		c.successor(versionKey, m, v)
	case "":
		c.add(versionKey+".state", "is missing")
	default:
		c.add(versionKey+".state", "%q is no state: use live, canary or withdrawn", v.State)
	}
}

// successor checks that the successors of a withdrawn version lead to a live one.
func (c *checker) successor(versionKey string, m *samphireturn.Model, v samphireturn.Version) {
	key := versionKey + ".successor"
	seen := map[string]bool{v.Name: true}
	for v.State == samphireturn.VersionWithdrawn {
		if v.Successor == "" {
			c.add(key, "withdrawn version %q needs a successor", v.Name)
			return
		}
		i := versionIndex(m, v.Successor)
		if i < 0 {
			c.add(key, "model %q has no version %q", m.Name, v.Successor)
			return
		}
		if seen[v.Successor] {
			c.add(key, "the successors run in a circle at %q", v.Successor)
			return
		}
		seen[v.Successor] = true
		v = m.Versions[i]
	}
	if v.State != samphireturn.VersionLive {
		c.add(key, "the successors end at %q, which is not live", v.Name)
	}
}

// anyTeamMayUse reports whether at least one team may use the version.
func (c *checker) anyTeamMayUse(model, version string) bool {
	return slices.ContainsFunc(c.cfg.Teams, func(t samphireturn.Team) bool {
		return slices.Contains(t.Models, model) || slices.Contains(t.Models, model+"@"+version)
	})
}

func (c *checker) teams() {
	names := make([]string, len(c.cfg.Teams))
	owner := make(map[string]string)
	for i, t := range c.cfg.Teams {
		names[i] = t.Name
		key := fmt.Sprintf("team[%d]", i)
		if len(t.Keys) == 0 {
			c.add(key+".keys", "is missing: a team needs a key")
		}
		for j, h := range t.Keys {
			c.keyHash(fmt.Sprintf("%s.keys[%d]", key, j), t.Name, h, owner)
		}
		for j, ref := range t.Models {
			c.reference(fmt.Sprintf("%s.models[%d]", key, j), ref)
		}
		for j, s := range t.Services {
			if !c.services[s] {
				c.add(fmt.Sprintf("%s.services[%d]", key, j), "no service %q", s)
			}
		}
		c.nonNegative(key+".concurrent", float64(t.MaxConcurrent))
		c.nonNegative(key+".tokens", float64(t.TokensPerMinute))
		c.nonNegative(key+".weight", t.Weight)
		c.nonNegative(key+".priority", float64(t.MaxPriority))
	}
	if len(names) == 0 {
		c.add("team", "is missing: name at least one team")
	}
	c.names("team", names)
}

// keyHash checks the format of a bearer key's hash and that no team has the hash
// already.
func (c *checker) keyHash(key, team, h string, owner map[string]string) {
	if _, err := hex.DecodeString(h); err != nil || len(h) != KeyHashDigits {
		c.add(key, "must be a SHA-256 hash of %d hexadecimal digits", KeyHashDigits)
		return
	}
	h = strings.ToLower(h)
	if other, ok := owner[h]; ok {
		c.add(key, "is a key of team %q already", other)
		return
	}
	owner[h] = team
}
