package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"samphireturn"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/reporter"
	"samphireturn/internal/fleet/orderer"
)

// centreStatus is the status of one data centre.
type centreStatus struct {
	reporter.Status
	Loads   []orderer.Version `json:"loads,omitempty"`
	Problem string            `json:"problem,omitempty"`
}

// status prints the status of every data centre that has reported or is in the
// configuration.
func (c *client) status(ctx context.Context) error {
	all, err := reporter.Read(ctx, c.store)
	if err != nil {
		return err
	}
	loads, err := orderer.Read(ctx, c.store)
	if err != nil {
		return err
	}
	out, err := c.centres(ctx)
	if err != nil {
		return err
	}
	for name := range out {
		if _, ok := all[name]; !ok {
			all[name] = reporter.Status{Centre: name}
		}
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		b.WriteString(name + ", " + c.age(all[name]))
		if out[name] {
			b.WriteString(", out of service")
		}
		b.WriteByte('\n')
		for _, d := range all[name].Daemons {
			fmt.Fprintf(&b, "  %s\n", line(d))
		}
		for _, v := range loads[name].Versions {
			fmt.Fprintf(&b, "  %s\n", load(v, loads[name].Problem))
		}
	}
	if len(all) == 0 {
		b.WriteString("no data centre has reported yet")
	}
	states := make(map[string]centreStatus)
	for name, s := range all {
		states[name] = centreStatus{Status: s, Loads: loads[name].Versions, Problem: loads[name].Problem}
	}
	return c.print(states, b.String())
}

// centres returns the data centres of the configuration in force and whether
// each is out; none if no configuration was applied.
func (c *client) centres(ctx context.Context) (map[string]bool, error) {
	p := publisher.Publisher{Store: c.store}
	_, cfg, err := p.Fetch(ctx)
	if publisher.KindOf(err) == samphireturn.KindMissing {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	out := make(map[string]bool)
	for _, z := range cfg.Centres {
		out[z.Name] = z.OutOfService
	}
	return out, nil
}

// age says how old a status is.
func (c *client) age(s reporter.Status) string {
	if s.Time.IsZero() {
		return "never reported"
	}
	return c.now().Sub(s.Time).Round(time.Second).String() + " old"
}

// line returns the status of one daemon in words.
func line(d reporter.Daemon) string {
	text := fmt.Sprintf("%s generation %d ready %t", d.ID, d.Generation, d.Ready)
	if len(d.Held) > 0 {
		text += " held " + strings.Join(d.Held, " ")
	}
	if d.Problem != "" {
		text += " problem: " + d.Problem
	}
	return text
}

// load returns how far a version is loaded, in words.
func load(v orderer.Version, problem string) string {
	text := fmt.Sprintf("%s wanted %d loaded %d", v.Name, v.Desired, v.Loaded)
	if problem != "" && v.Loaded < v.Desired {
		text += " problem: " + problem
	}
	return text
}
