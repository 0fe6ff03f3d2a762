// Package validator checks a configuration as a whole: names, references,
// shares, successors and ranges.
package validator

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"samphireturn"
	"samphireturn/internal/config/parser"
)

const (
	// MinSecretBytes is the least length of a signing key in bytes.
	MinSecretBytes = 32
	// KeyHashDigits is the length of a bearer key's SHA-256 hash in hexadecimal
	// digits.
	KeyHashDigits = 64
	// MaxAttempts is the largest bound that retry.attempts may set on the attempts
	// of one request.
	MaxAttempts = 10

	// shareTolerance is how far a sum of shares may be from 1 because of rounding.
	shareTolerance = 1e-6
)

type (
	// Problem is one fault of a configuration.
	Problem = parser.Problem

	// checker collects the problems of one configuration.
	checker struct {
		cfg       *samphireturn.Config
		positions parser.Positions
		models    map[string]*samphireturn.Model
		services  map[string]bool
		problems  []Problem
	}
)

// Validate returns every problem of cfg in order of file and line. Positions come
// from the parser and may be nil.
func Validate(cfg *samphireturn.Config, positions parser.Positions) []Problem {
	c := &checker{cfg: cfg, positions: positions, models: make(map[string]*samphireturn.Model), services: make(map[string]bool)}
	for i := range cfg.Models {
		c.models[cfg.Models[i].Name] = &cfg.Models[i]
	}
	for _, s := range cfg.Services {
		c.services[s.Name] = true
	}
	c.presets()
	c.centres()
	c.allModels()
	c.allServices()
	c.teams()
	c.keys()
	c.guard()
	c.retry()
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		if a.File != b.File {
			return strings.Compare(a.File, b.File)
		}
		return a.Line - b.Line
	})
	return c.problems
}

// add records a problem with the key.
func (c *checker) add(key, format string, args ...any) {
	pos := c.positions.At(key)
	c.problems = append(c.problems, Problem{File: pos.File, Line: pos.Line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// names checks that the names of a list's elements are valid and unique.
func (c *checker) names(list string, names []string) {
	seen := make(map[string]int)
	for i, n := range names {
		key := fmt.Sprintf("%s[%d].name", list, i)
		switch {
		case n == "":
			c.add(key, "is missing")
		case strings.ContainsAny(n, "@/ \t\r\n"):
			c.add(key, "%q must have no '@', '/' or space", n)
		}
		if first, ok := seen[n]; ok && n != "" {
			c.add(key, "%q is the name of %s[%d] too", n, list, first)
			continue
		}
		seen[n] = i
	}
}

// inRange checks that v is from low to high.
func (c *checker) inRange(key string, v, low, high float64) bool {
	if math.IsNaN(v) || v < low || v > high {
		c.add(key, "must be from %g to %g, not %g", low, high, v)
		return false
	}
	return true
}

// nonNegative checks that v is finite and not negative.
func (c *checker) nonNegative(key string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		c.add(key, "must be 0 or more, not %g", v)
	}
}

func (c *checker) presets() {
	names := make([]string, len(c.cfg.Presets))
	var active []int
	for i, p := range c.cfg.Presets {
		names[i] = p.Name
		key := fmt.Sprintf("preset[%d]", i)
		if p.Active {
			active = append(active, i)
		}
		c.nonNegative(key+".scale", p.Scale)
		c.inRange(key+".explore", p.ExploreShare, 0, 1)
		c.aliases(key+".alias", p.Aliases)
	}
	c.names("preset", names)
	switch {
	case len(names) == 0:
		c.add("preset", "is missing: one preset must be in force")
	case len(active) == 0:
		c.add("preset[0]", "no preset is in force: set force = true in one")
	}
	for _, i := range active[min(1, len(active)):] {
		c.add(fmt.Sprintf("preset[%d].force", i), "preset %q is in force already; only one may be", names[active[0]])
	}
}

func (c *checker) aliases(list string, aliases []samphireturn.Alias) {
	names := make([]string, len(aliases))
	for i, a := range aliases {
		names[i] = a.Name
		key := fmt.Sprintf("%s[%d]", list, i)
		if c.models[a.Name] != nil {
			c.add(key+".name", "%q is the name of a model", a.Name)
		}
		if len(a.Steps) == 0 {
			c.add(key+".steps", "is missing: an alias needs at least one model")
		}
		for j, s := range a.Steps {
			step := fmt.Sprintf("%s.steps[%d]", key, j)
			c.reference(step, s)
			if slices.Contains(a.Steps[:j], s) {
				c.add(step, "%q is a step already", s)
			}
		}
		c.inRange(key+".quality", a.MinQuality, 0, 1)
		c.inRange(key+".target", a.TargetShare, 0, 1)
		c.nonNegative(key+".delay", float64(a.MaxDelayMs))
	}
	c.names(list, names)
}

// reference checks that a "model" or "model@version" exists.
func (c *checker) reference(key, ref string) {
	name, version, exact := strings.Cut(ref, "@")
	m := c.models[name]
	if m == nil {
		c.add(key, "no model %q", name)
		return
	}
	if exact && versionIndex(m, version) < 0 {
		c.add(key, "model %q has no version %q", name, version)
	}
}

func (c *checker) centres() {
	names := make([]string, len(c.cfg.Centres))
	for i, centre := range c.cfg.Centres {
		names[i] = centre.Name
	}
	if len(names) == 0 {
		c.add("centre", "is missing: name at least one data centre")
	}
	c.names("centre", names)
}

func (c *checker) allServices() {
	names := make([]string, len(c.cfg.Services))
	for i, s := range c.cfg.Services {
		names[i] = s.Name
		key := fmt.Sprintf("service[%d]", i)
		c.patterns(key+".idempotent", s.Idempotent)
		c.patterns(key+".once", s.NotIdempotent)
		for j, p := range s.NotIdempotent {
			if slices.Contains(s.Idempotent, p) {
				c.add(fmt.Sprintf("%s.once[%d]", key, j), "%q is listed as idempotent too", p)
			}
		}
	}
	c.names("service", names)
}

// patterns checks the syntax of "METHOD /path" patterns.
func (c *checker) patterns(list string, patterns []string) {
	for i, p := range patterns {
		method, path, _ := strings.Cut(p, " ")
		wildcard := strings.IndexByte(path, '*')
		invalid := method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" ||
			!strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \t") || (wildcard >= 0 && wildcard != len(path)-1)
		if invalid {
			c.add(fmt.Sprintf("%s[%d]", list, i), "%q is no pattern: want \"METHOD /path\", with '*' only at the end", p)
		}
	}
}

func (c *checker) keys() {
	names := make([]string, len(c.cfg.Keys))
	for i, k := range c.cfg.Keys {
		names[i] = k.Name
		if n := len(k.Secret); n < MinSecretBytes {
			c.add(fmt.Sprintf("key[%d].secret", i), "must have at least %d bytes, not %d", MinSecretBytes, n)
		}
	}
	if len(names) == 0 {
		c.add("key", "is missing: one key must sign session tokens")
	}
	c.names("key", names)
}

// guard checks the parameters of the sequential test, which may all be left out.
func (c *checker) guard() {
	g := c.cfg.Guard
	if g == (samphireturn.Guard{}) {
		return
	}
	for _, r := range []struct {
		key string
		v   float64
	}{{"guard.good", g.GoodRate}, {"guard.bad", g.BadRate}, {"guard.alarm", g.FalseAlarmRate}, {"guard.miss", g.MissRate}} {
		if math.IsNaN(r.v) || r.v <= 0 || r.v >= 1 {
			c.add(r.key, "must be above 0 and below 1, not %g", r.v)
		}
	}
	c.inRange("guard.floor", g.MinRating, 0, 1)
	if g.GoodRate >= g.BadRate {
		c.add("guard.bad", "must be above good, %g, not %g", g.GoodRate, g.BadRate)
	}
	if g.FalseAlarmRate+g.MissRate >= 1 {
		c.add("guard.miss", "alarm and miss together must be below 1, not %g", g.FalseAlarmRate+g.MissRate)
	}
}

func (c *checker) retry() {
	c.inRange("retry.share", c.cfg.Retry.Share, 0, 1)
	c.inRange("retry.attempts", float64(c.cfg.Retry.MaxAttempts), 0, MaxAttempts)
}
