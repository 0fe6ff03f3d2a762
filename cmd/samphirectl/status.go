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
	statuses, err := reporter.ReadStatuses(ctx, c.store)
	if err != nil {
		return err
	}
	loads, err := orderer.ReadAll(ctx, c.store)
	if err != nil {
		return err
	}
	outOfService, err := c.outOfService(ctx)
	if err != nil {
		return err
	}
	for name := range outOfService {
		if _, ok := statuses[name]; !ok {
			statuses[name] = reporter.Status{Centre: name}
		}
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		b.WriteString(name + ", " + c.age(statuses[name]))
		if outOfService[name] {
			b.WriteString(", out of service")
		}
		b.WriteByte('\n')
		for _, d := range statuses[name].Daemons {
			fmt.Fprintf(&b, "  %s\n", daemonLine(d))
		}
		for _, v := range loads[name].Versions {
			fmt.Fprintf(&b, "  %s\n", loadLine(v, loads[name].Problem))
		}
	}
	if len(statuses) == 0 {
		b.WriteString("no data centre has reported yet")
	}
	output := make(map[string]centreStatus)
	for name, s := range statuses {
		output[name] = centreStatus{Status: s, Loads: loads[name].Versions, Problem: loads[name].Problem}
	}
	return c.print(output, b.String())
}

// outOfService returns, for each data centre of the configuration in force, whether
// it is out of service. It returns nil if no configuration was applied.
func (c *client) outOfService(ctx context.Context) (map[string]bool, error) {
	p := publisher.Publisher{Store: c.store}
	_, cfg, err := p.Fetch(ctx)
	if publisher.KindOf(err) == samphireturn.KindMissing {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	out := make(map[string]bool)
	for _, centre := range cfg.Centres {
		out[centre.Name] = centre.OutOfService
	}
	return out, nil
}

// age returns the age of a status as text.
func (c *client) age(s reporter.Status) string {
	if s.Time.IsZero() {
		return "never reported"
	}
	return c.now().Sub(s.Time).Round(time.Second).String() + " old"
}

// daemonLine returns the printed line of one daemon's status.
func daemonLine(d reporter.Daemon) string {
	text := fmt.Sprintf("%s generation %d ready %t", d.ID, d.Generation, d.Ready)
	if len(d.HeldVersions) > 0 {
		text += " held " + strings.Join(d.HeldVersions, " ")
	}
	if d.Problem != "" {
		text += " problem: " + d.Problem
	}
	return text
}

// loadLine returns the printed line of the desired and loaded engines of a version.
func loadLine(v orderer.Version, problem string) string {
	text := fmt.Sprintf("%s wanted %d loaded %d", v.Name, v.Desired, v.Loaded)
	if problem != "" && v.Loaded < v.Desired {
		text += " problem: " + problem
	}
	return text
}
