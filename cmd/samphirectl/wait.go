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
	// changeOutput is the JSON output of a change.
	changeOutput struct {
		publisher.Manifest
		// NotAwaited lists the data centres that the wait did not cover, with the state of
		// their daemons.
		NotAwaited []string `json:"apart,omitempty"`
	}

	// target is the change that a wait waits for.
	target struct {
		manifest publisher.Manifest
		// digest is the manifest's digest; empty until the manifest was read back.
		digest string
		// since is the object version that a status object must exceed to be a
		// report since the change, or since the wait began if the manifest was in
		// force before.
		since uint64
	}

	// progress is the state of a change in the fleet.
	progress struct {
		// pending lists the daemons and data centres that do not report the change, with
		// the reason.
		pending []string
		// notAwaited lists the data centres that are out of service or not in the
		// configuration, and those of their daemons that do not report the change.
		notAwaited []string
	}
)

// printChange prints a manifest, after the wait if one is asked for. The parameter
// wasInForce says that m was in force before the command.
func (c *client) printChange(ctx context.Context, m publisher.Manifest, text string, wait, wasInForce bool) error {
	out := changeOutput{Manifest: m}
	if wait {
		notAwaited, err := c.wait(ctx, m, wasInForce)
		if err != nil {
			return err
		}
		out.NotAwaited = notAwaited
		for _, line := range notAwaited {
			text = strings.TrimRight(text, "\n") + "\nnot waited for: " + line
		}
	}
	return c.print(out, text)
}

// wait returns once every daemon of each data centre in service has reported the
// manifest or a later one. It returns progress.notAwaited, or an error with
// exitNotInForce and the last known progress if ctx ends first.
func (c *client) wait(ctx context.Context, m publisher.Manifest, wasInForce bool) ([]string, error) {
	var t *target
	last := "the platform could not be read"
	for {
		s, err := c.checkProgress(ctx, &t, m, wasInForce)
		if err == nil && len(s.pending) == 0 {
			return s.notAwaited, nil
		}
		if err == nil {
			last = strings.Join(append(s.pending, s.notAwaited...), "; ")
		}
		select {
		case <-ctx.Done():
			return nil, &Error{Op: fmt.Sprintf("generation %d was accepted but is not known to be in force everywhere: %s", m.Generation, last), Code: exitNotInForce}
		case <-time.After(pollInterval):
		}
	}
}

// checkProgress compares the reports with the target, which the first call sets.
func (c *client) checkProgress(ctx context.Context, t **target, m publisher.Manifest, wasInForce bool) (progress, error) {
	p := publisher.Publisher{Store: c.store}
	current, cfg, err := p.Fetch(ctx)
	if err != nil {
		return progress{}, err
	}
	all, err := reporter.ReadStatuses(ctx, c.store)
	if err != nil {
		return progress{}, err
	}
	if *t == nil {
		*t = &target{manifest: m, since: m.Version()}
		for _, s := range all {
			if wasInForce {
				(*t).since = max((*t).since, s.Version)
			}
		}
	}
	if current.Generation == m.Generation {
		(*t).digest = current.Digest()
	}
	s := c.compare(cfg, all, *t)
	if current.Generation < m.Generation {
		s.pending = append(s.pending, fmt.Sprintf("the platform went back to generation %d", current.Generation))
	}
	return s, nil
}

// compare returns the daemons and data centres that do not run the target.
func (c *client) compare(cfg *samphireturn.Config, all map[string]reporter.Status, t *target) progress {
	var s progress
	known := make(map[string]bool)
	for _, centre := range cfg.Centres {
		known[centre.Name] = true
		status, ok := all[centre.Name]
		lines := c.pendingDaemons(centre.Name, status, ok, t)
		if !centre.OutOfService {
			s.pending = append(s.pending, lines...)
			continue
		}
		s.notAwaited = append(s.notAwaited, "data centre "+centre.Name+" is out")
		s.notAwaited = append(s.notAwaited, lines...)
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !known[name] {
			s.notAwaited = append(s.notAwaited, "data centre "+name+" is not in the configuration")
			s.notAwaited = append(s.notAwaited, c.pendingDaemons(name, all[name], true, t)...)
		}
	}
	return s
}

// pendingDaemons returns a line for each daemon of a data centre that does not run the
// target, with the reason, or one line if the data centre has not reported.
func (c *client) pendingDaemons(centre string, s reporter.Status, reported bool, t *target) []string {
	if !reported {
		return []string{centre + " has not reported"}
	}
	age := c.now().Sub(s.Time).Round(time.Second)
	if s.Version <= t.since {
		return []string{fmt.Sprintf("%s has not reported since; its last report is %s old", centre, age)}
	}
	var lines []string
	for _, d := range s.Daemons {
		if !t.runsOn(d) {
			lines = append(lines, fmt.Sprintf("%s of %s %s", d.ID, centre, pendingReason(d)))
		}
	}
	return lines
}

// runsOn reports whether the daemon runs the target or a later generation. The same
// generation with another digest is another manifest.
func (t *target) runsOn(d reporter.Daemon) bool {
	if d.Generation != t.manifest.Generation {
		return d.Generation > t.manifest.Generation
	}
	return t.digest == "" || d.Digest == t.digest
}

// pendingReason returns the reason why a daemon does not run the target, as text.
func pendingReason(d reporter.Daemon) string {
	if d.Problem != "" && d.Generation == 0 {
		return "gives no report: " + d.Problem
	}
	text := fmt.Sprintf("runs generation %d", d.Generation)
	if d.Problem != "" {
		text += ": " + d.Problem
	}
	return text
}
