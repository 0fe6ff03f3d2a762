// Package player replays a recorded trace through the decision code and sums up the
// cost, quality and latency that follow from its decisions.
package player

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphireturn"
	"samphireturn/internal/fleet/guard"
	"samphireturn/internal/replay/reader"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/picker"
)

const (
	// preReleaseRatingTimeout and postReleaseRatingTimeout bound the wait for a
	// rating before and after an answer's release. They equal the receiver's
	// timeouts.
	preReleaseRatingTimeout  = 2 * time.Second
	postReleaseRatingTimeout = 30 * time.Second
	// guardSyncPeriod is the time between two exchanges of the guard's counts.
	guardSyncPeriod = time.Second
	// minEventDelay is the shortest delay with which an event is scheduled.
	minEventDelay = time.Millisecond
)

// Policies.
const (
	// PolicyConfigured runs the decision code with the configuration.
	PolicyConfigured Policy = iota
	// PolicyFirstStep runs only the alias's first step, the cheapest. Reports call
	// it "cheap".
	PolicyFirstStep
	// PolicyLastStep runs only the alias's last step, the most expensive. Reports
	// call it "dear".
	PolicyLastStep
	// PolicyRandom runs only the last step with probability LastStepProbability,
	// otherwise only the first.
	PolicyRandom
)

type (
	// Policy selects which steps of an alias a request runs.
	Policy int

	// Player replays one trace once. Set the exported fields before calling Play.
	Player struct {
		Config *samphireturn.Config
		Trace  *reader.Trace
		Policy Policy
		// LastStepProbability is used by PolicyRandom.
		LastStepProbability float64
		// DisableGuardSync keeps the daemons from exchanging the guard's counts and
		// their held versions.
		DisableGuardSync bool
		// Seed seeds all random numbers.
		Seed uint64

		start time.Time
		now   time.Time
		// currentConfig is Config with the state changes of the trace so far.
		currentConfig samphireturn.Config
		daemonsByID   map[string]*daemon
		daemons       []*daemon
		// sessions holds, by session id, the session as its last answer left it.
		sessions map[string]samphireturn.Session
		// scheduled holds the pending events in order of time.
		scheduled     []scheduledEvent
		lastGuardSync time.Time
		// badVersions holds the versions that the trace has marked as faulty so far.
		badVersions map[samphireturn.VersionRef]bool
		stats       requestStats
	}

	// daemon is the decision state of one daemon.
	daemon struct {
		cascader     *cascader.Cascader
		counter      *guard.Counter
		picker       *picker.Picker
		heldVersions map[samphireturn.VersionRef]bool
	}

	// scheduledEvent is a function that runs at a time of the replay, such as the
	// arrival of a rating.
	scheduledEvent struct {
		at  time.Time
		run func()
	}
)

// Play replays the trace and returns the summed results.
func (p *Player) Play() *Result {
	p.setUp()
	for i := range p.Trace.Lines {
		l := &p.Trace.Lines[i]
		p.advance(p.start.Add(time.Duration(l.TimeMs) * time.Millisecond))
		switch l.Kind {
		case reader.LineState:
			p.applyState(l.State)
		case reader.LineBad:
			ref, _ := reader.ParseVersionRef(l.BadVersion.Version)
			p.badVersions[ref] = true
		case reader.LineRequest:
			p.replayRequest(l.Request)
		}
	}
	return p.stats.summarize(p.daemons)
}

// setUp initialises the clock and the daemons.
func (p *Player) setUp() {
	p.start = time.Unix(0, 0)
	p.now, p.lastGuardSync = p.start, p.start
	p.currentConfig = *p.Config
	p.currentConfig.Models = slices.Clone(p.Config.Models)
	p.daemonsByID = make(map[string]*daemon)
	p.sessions = make(map[string]samphireturn.Session)
	p.badVersions = make(map[samphireturn.VersionRef]bool)
	for i, id := range p.Trace.Header.Daemons {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		d := &daemon{
			cascader:     &cascader.Cascader{Now: func() time.Time { return p.now }, Rand: r.Float64},
			counter:      &guard.Counter{Instance: id, Guard: p.Config.Guard},
			picker:       &picker.Picker{Rand: r.Uint64},
			heldVersions: make(map[samphireturn.VersionRef]bool),
		}
		p.daemonsByID[id] = d
		p.daemons = append(p.daemons, d)
	}
}

// advance moves the clock to the given time and runs the events scheduled until
// then, each at its own time.
func (p *Player) advance(to time.Time) {
	for len(p.scheduled) > 0 && !p.scheduled[0].at.After(to) {
		next := p.scheduled[0]
		p.scheduled = p.scheduled[1:]
		p.syncGuards(next.at)
		p.now = next.at
		next.run()
	}
	p.syncGuards(to)
	p.now = to
}

// schedule runs a function after a delay of at least minEventDelay.
func (p *Player) schedule(after time.Duration, do func()) {
	n := scheduledEvent{at: p.now.Add(max(after, minEventDelay)), run: do}
	at, _ := slices.BinarySearchFunc(p.scheduled, n, func(a, b scheduledEvent) int {
		return cmp.Or(a.at.Compare(b.at), -1)
	})
	p.scheduled = slices.Insert(p.scheduled, at, n)
}

// syncGuards exchanges the guards' counts and the held versions among all daemons if
// guardSyncPeriod has passed since the last exchange.
func (p *Player) syncGuards(to time.Time) {
	if p.DisableGuardSync || to.Sub(p.lastGuardSync) < guardSyncPeriod {
		return
	}
	p.lastGuardSync = to
	for _, from := range p.daemons {
		totals := from.counter.Totals()
		for _, d := range p.daemons {
			if d != from {
				d.counter.Merge(totals...)
			}
		}
	}
	for _, d := range p.daemons {
		for _, other := range p.daemons {
			for v := range other.heldVersions {
				d.heldVersions[v] = true
			}
		}
		for _, m := range p.currentConfig.Models {
			for _, v := range m.Versions {
				d.holdIfSuspected(samphireturn.VersionRef{Model: m.Name, Version: v.Name})
			}
		}
	}
}

// applyState applies a recorded state change to the configuration. It ignores
// unknown versions.
func (p *Player) applyState(s *reader.VersionState) {
	ref, _ := reader.ParseVersionRef(s.Version)
	for i := range p.currentConfig.Models {
		m := &p.currentConfig.Models[i]
		if m.Name != ref.Model {
			continue
		}
		m.Versions = slices.Clone(m.Versions)
		at := slices.IndexFunc(m.Versions, func(v samphireturn.Version) bool { return v.Name == ref.Version })
		if at < 0 {
			continue
		}
		v := &m.Versions[at]
		v.State, v.Share, v.Successor = s.State, s.Share, s.Successor
	}
}

// snapshot returns the control state that a daemon decides with.
func (p *Player) snapshot(d *daemon) *samphireturn.Snapshot {
	s := &samphireturn.Snapshot{Config: &p.currentConfig, HeldVersions: d.heldVersions}
	for i := range p.currentConfig.Presets {
		if p.currentConfig.Presets[i].Active {
			s.Preset = &p.currentConfig.Presets[i]
		}
	}
	return s
}

// holdIfSuspected adds the version to the daemon's held versions if its guard
// suspects the version.
func (d *daemon) holdIfSuspected(v samphireturn.VersionRef) {
	if d.counter.Suspicion(v) == guard.SuspicionBad {
		d.heldVersions[v] = true
	}
}

// findAlias returns the alias of that name in the active preset, or nil.
func findAlias(s *samphireturn.Snapshot, name string) *samphireturn.Alias {
	if s.Preset == nil {
		return nil
	}
	for i := range s.Preset.Aliases {
		if s.Preset.Aliases[i].Name == name {
			return &s.Preset.Aliases[i]
		}
	}
	return nil
}

// candidateModels returns the alias's steps that a request may run, as model names. A
// session stays with its model if the alias has a step of it; other requests may run
// all steps.
func candidateModels(a *samphireturn.Alias, session *samphireturn.Session) []string {
	for _, name := range a.Steps {
		if model, _, _ := strings.Cut(name, "@"); session.Model == model {
			return []string{name}
		}
	}
	return a.Steps
}
