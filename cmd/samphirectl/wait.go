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
)

type (
	// accepted is the output of a change in JSON.
	accepted struct {
		publisher.Manifest
		// Apart names the data centres that were not waited for.
		Apart []string `json:"apart,omitempty"`
	}

	// target is the change that is waited for.
	target struct {
		manifest publisher.Manifest
		digest   string
		// floor is the object version that a status must be above to be news.
		floor uint64
	}

	// standing is where the fleet stands.
	standing struct {
		// late names who does not report the change, with the reason.
		late []string
		// apart does the same for data centres that are not waited for.
		apart []string
	}
)

// done prints an accepted manifest after the wait, if one is asked for. Old says
// that m was in force before the command.
func (c *client) done(ctx context.Context, m publisher.Manifest, text string, wait, old bool) error {
	out := accepted{Manifest: m}
	if wait {
		apart, err := c.wait(ctx, m, old)
		if err != nil {
			return err
		}
		out.Apart = apart
		for _, line := range apart {
			text = strings.TrimRight(text, "\n") + "\nnot waited for: " + line
		}
	}
	return c.print(out, text)
}

// wait returns once every daemon of each data centre in service has reported
// the manifest or a later one, and names the data centres not waited for.
func (c *client) wait(ctx context.Context, m publisher.Manifest, old bool) ([]string, error) {
	var t *target
	last := "the platform was not read"
	for {
		s, err := c.stand(ctx, &t, m, old)
		if err == nil && len(s.late) == 0 {
			return s.apart, nil
		}
		if err == nil {
			last = strings.Join(append(s.late, s.apart...), "; ")
		}
		select {
		case <-ctx.Done():
			return nil, &Error{Op: fmt.Sprintf("generation %d was accepted but is not known to be in force everywhere: %s", m.Generation, last), Code: exitLate}
		case <-time.After(poll):
		}
	}
}

// stand compares the reports with the target, which the first call sets.
func (c *client) stand(ctx context.Context, t **target, m publisher.Manifest, old bool) (standing, error) {
	p := publisher.Publisher{Store: c.store}
	now, cfg, err := p.Fetch(ctx)
	if err != nil {
		return standing{}, err
	}
	all, err := reporter.Read(ctx, c.store)
	if err != nil {
		return standing{}, err
	}
	if *t == nil {
		*t = &target{manifest: m, floor: m.Version()}
		for _, s := range all {
			if old {
				(*t).floor = max((*t).floor, s.Version)
			}
		}
	}
	if now.Generation == m.Generation {
		(*t).digest = now.Digest()
	}
	s := c.compare(cfg, all, *t)
	if now.Generation < m.Generation {
		s.late = append(s.late, fmt.Sprintf("the platform went back to generation %d", now.Generation))
	}
	return s, nil
}

// compare lists who does not run the target.
func (c *client) compare(cfg *samphireturn.Config, all map[string]reporter.Status, t *target) standing {
	var s standing
	known := make(map[string]bool)
	for _, z := range cfg.Centres {
		known[z.Name] = true
		status, ok := all[z.Name]
		lines := c.behind(z.Name, status, ok, t)
		if !z.OutOfService {
			s.late = append(s.late, lines...)
			continue
		}
		s.apart = append(s.apart, "data centre "+z.Name+" is out")
		s.apart = append(s.apart, lines...)
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !known[name] {
			s.apart = append(s.apart, "data centre "+name+" is not in the configuration")
			s.apart = append(s.apart, c.behind(name, all[name], true, t)...)
		}
	}
	return s
}

// behind says who of one data centre does not run the target and why.
func (c *client) behind(centre string, s reporter.Status, reported bool, t *target) []string {
	if !reported {
		return []string{centre + " has not reported"}
	}
	age := c.now().Sub(s.Time).Round(time.Second)
	if s.Version <= t.floor {
		return []string{fmt.Sprintf("%s has not reported since; its last report is %s old", centre, age)}
	}
	var lines []string
	for _, d := range s.Daemons {
		if !t.reached(d) {
			lines = append(lines, fmt.Sprintf("%s of %s %s", d.ID, centre, reason(d)))
		}
	}
	return lines
}

// reached reports whether the daemon runs the target or a later generation.
func (t *target) reached(d reporter.Daemon) bool {
	if d.Generation != t.manifest.Generation {
		return d.Generation > t.manifest.Generation
	}
	return t.digest == "" || d.Digest == t.digest
}

// reason says in words where a daemon stands.
func reason(d reporter.Daemon) string {
	if d.Problem != "" && d.Generation == 0 {
		return "gives no report: " + d.Problem
	}
	text := fmt.Sprintf("runs generation %d", d.Generation)
	if d.Problem != "" {
		text += ": " + d.Problem
	}
	return text
}
