package validator

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"

	"samphireturn"
)

// find returns the index of a version of m, or -1.
func find(m *samphireturn.Model, name string) int {
	return slices.IndexFunc(m.Versions, func(v samphireturn.Version) bool { return v.Name == name })
}

func (c *check) allModels() {
	names := make([]string, len(c.cfg.Models))
	for i := range c.cfg.Models {
		m := &c.cfg.Models[i]
		names[i] = m.Name
		c.model(fmt.Sprintf("model[%d]", i), m)
	}
	c.names("model", names)
}

func (c *check) model(key string, m *samphireturn.Model) {
	if len(m.Versions) == 0 {
		c.add(key, "model %q has no version", m.Name)
		return
	}
	names := make([]string, len(m.Versions))
	sum, open := 0.0, 0
	for i, v := range m.Versions {
		names[i] = v.Name
		at := fmt.Sprintf("%s.version[%d]", key, i)
		c.between(at+".share", v.Share, 0, 1)
		c.least(at+".input", v.InputPrice)
		c.least(at+".output", v.OutputPrice)
		c.least(at+".engines", float64(v.EnginesPerCentre))
		c.state(at, m, v)
		if v.State == samphireturn.VersionLive || v.State == samphireturn.VersionCanary {
			sum += v.Share
			open++
		}
		if !c.allowed(m.Name, v.Name) {
			c.add(at+".name", "no team may use %s@%s", m.Name, v.Name)
		}
	}
	c.names(key+".version", names)
	if open > 0 && !(math.Abs(sum-1) <= shareSlack) {
		c.add(key, "the shares of model %q add up to %g, not 1", m.Name, sum)
	}
}

// state checks a version's state and what goes with it.
func (c *check) state(at string, m *samphireturn.Model, v samphireturn.Version) {
	switch v.State {
	case samphireturn.VersionLive, samphireturn.VersionCanary:
		if v.Successor != "" {
			c.add(at+".successor", "only a withdrawn version has a successor")
		}
	case samphireturn.VersionWithdrawn:
		if v.Share != 0 {
			c.add(at+".share", "must be 0 for a withdrawn version, not %g", v.Share)
		}
		c.successor(at, m, v)
	case "":
		c.add(at+".state", "is missing")
	default:
		c.add(at+".state", "%q is no state: use live, canary or withdrawn", v.State)
	}
}

// successor follows the chain of a withdrawn version to a live one.
func (c *check) successor(at string, m *samphireturn.Model, v samphireturn.Version) {
	key := at + ".successor"
	seen := map[string]bool{v.Name: true}
	for v.State == samphireturn.VersionWithdrawn {
		if v.Successor == "" {
			c.add(key, "withdrawn version %q needs a successor", v.Name)
			return
		}
		i := find(m, v.Successor)
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

// allowed reports whether a team may use the version.
func (c *check) allowed(model, version string) bool {
	return slices.ContainsFunc(c.cfg.Teams, func(t samphireturn.Team) bool {
		return slices.Contains(t.Models, model) || slices.Contains(t.Models, model+"@"+version)
	})
}

func (c *check) teams() {
	names := make([]string, len(c.cfg.Teams))
	owner := make(map[string]string)
	for i, t := range c.cfg.Teams {
		names[i] = t.Name
		key := fmt.Sprintf("team[%d]", i)
		if len(t.Keys) == 0 {
			c.add(key+".keys", "is missing: a team needs a key")
		}
		for j, h := range t.Keys {
			c.hash(fmt.Sprintf("%s.keys[%d]", key, j), t.Name, h, owner)
		}
		for j, ref := range t.Models {
			c.reference(fmt.Sprintf("%s.models[%d]", key, j), ref)
		}
		for j, s := range t.Services {
			if !c.services[s] {
				c.add(fmt.Sprintf("%s.services[%d]", key, j), "no service %q", s)
			}
		}
		c.least(key+".concurrent", float64(t.MaxConcurrent))
		c.least(key+".tokens", float64(t.TokensPerMinute))
		c.least(key+".weight", t.Weight)
		c.least(key+".priority", float64(t.MaxPriority))
	}
	if len(names) == 0 {
		c.add("team", "is missing: name at least one team")
	}
	c.names("team", names)
}

// hash checks the hash of a bearer key and that no other team has it.
func (c *check) hash(key, team, h string, owner map[string]string) {
	if _, err := hex.DecodeString(h); err != nil || len(h) != HashDigits {
		c.add(key, "must be a SHA-256 hash of %d hexadecimal digits", HashDigits)
		return
	}
	h = strings.ToLower(h)
	if other, ok := owner[h]; ok {
		c.add(key, "is a key of team %q already", other)
		return
	}
	owner[h] = team
}
