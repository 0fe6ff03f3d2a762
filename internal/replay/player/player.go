// Package player runs the decision code over a recorded trace and accounts for
// what the decisions would have cost and given.
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
	// judgeWait and rateWait are the receiver's times for ratings.
	judgeWait = 2 * time.Second
	rateWait  = 30 * time.Second
	// sharePeriod is the time between two exchanges of counts.
	sharePeriod = time.Second
	// dueCheck is the least time between two looks at what has come due.
	dueCheck = time.Millisecond
)

// Policies.
const (
	// Configured runs the decision code with the configuration.
	Configured Policy = iota
	// Cheap and Dear run the first and the last step of the alias alone.
	Cheap
	Dear
	// Random runs the last step alone with the probability Dearness, else the
	// first.
	Random
)

type (
	// Policy chooses among the steps of an alias.
	Policy int

	// Player replays one trace. Set the exported fields before Play.
	Player struct {
		Config *samphireturn.Config
		Trace  *reader.Trace
		Policy Policy
		// Dearness is the probability of the last step under Random.
		Dearness float64
		// Alone keeps daemons from sharing the guard's counts and holds.
		Alone bool
		// Seed seeds every draw.
		Seed uint64

		start   time.Time
		now     time.Time
		config  samphireturn.Config
		daemons map[string]*daemon
		order   []*daemon
		tokens  map[string]samphireturn.Session
		due     []pending
		shared  time.Time
		bad     map[samphireturn.VersionRef]bool
		account account
	}

	// daemon is one daemon's decision state.
	daemon struct {
		cascader *cascader.Cascader
		counter  *guard.Counter
		picker   *picker.Picker
		held     map[samphireturn.VersionRef]bool
	}

	// pending is something that a daemon learns at a time.
	pending struct {
		at time.Time
		do func()
	}
)

// Play replays the trace and returns the account.
func (p *Player) Play() *Result {
	p.setUp()
	for i := range p.Trace.Lines {
		l := &p.Trace.Lines[i]
		p.advance(p.start.Add(time.Duration(l.Time) * time.Millisecond))
		switch l.Kind {
		case reader.LineState:
			p.change(l.State)
		case reader.LineBad:
			ref, _ := reader.ParseRef(l.Bad.Version)
			p.bad[ref] = true
		case reader.LineRequest:
			p.request(l.Request)
		}
	}
	return p.account.result(p.order)
}

// setUp makes the daemons.
func (p *Player) setUp() {
	p.start = time.Unix(0, 0)
	p.now, p.shared = p.start, p.start
	p.config = *p.Config
	p.config.Models = slices.Clone(p.Config.Models)
	p.daemons = make(map[string]*daemon)
	p.tokens = make(map[string]samphireturn.Session)
	p.bad = make(map[samphireturn.VersionRef]bool)
	for i, id := range p.Trace.Head.Daemons {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		d := &daemon{
			cascader: &cascader.Cascader{Now: func() time.Time { return p.now }, Rand: r.Float64},
			counter:  &guard.Counter{Instance: id, Guard: p.Config.Guard},
			picker:   &picker.Picker{Rand: r.Uint64},
			held:     make(map[samphireturn.VersionRef]bool),
		}
		p.daemons[id] = d
		p.order = append(p.order, d)
	}
}

// advance moves the clock and delivers what has come due, each at its time.
func (p *Player) advance(to time.Time) {
	for len(p.due) > 0 && !p.due[0].at.After(to) {
		next := p.due[0]
		p.due = p.due[1:]
		p.share(next.at)
		p.now = next.at
		next.do()
	}
	p.share(to)
	p.now = to
}

// later has do run after a delay.
func (p *Player) later(after time.Duration, do func()) {
	n := pending{at: p.now.Add(max(after, dueCheck)), do: do}
	at, _ := slices.BinarySearchFunc(p.due, n, func(a, b pending) int {
		return cmp.Or(a.at.Compare(b.at), -1)
	})
	p.due = slices.Insert(p.due, at, n)
}

// share exchanges the daemons' counts and holds once a period.
func (p *Player) share(to time.Time) {
	if p.Alone || to.Sub(p.shared) < sharePeriod {
		return
	}
	p.shared = to
	for _, from := range p.order {
		totals := from.counter.Totals()
		for _, d := range p.order {
			if d != from {
				d.counter.Merge(totals...)
			}
		}
	}
	for _, d := range p.order {
		for _, other := range p.order {
			for v := range other.held {
				d.held[v] = true
			}
		}
		for _, m := range p.config.Models {
			for _, v := range m.Versions {
				d.suspect(samphireturn.VersionRef{Model: m.Name, Version: v.Name})
			}
		}
	}
}

// change applies an operator's change of a version.
func (p *Player) change(s *reader.State) {
	ref, _ := reader.ParseRef(s.Version)
	for i := range p.config.Models {
		m := &p.config.Models[i]
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

// snapshot returns the control state of a daemon.
func (p *Player) snapshot(d *daemon) *samphireturn.Snapshot {
	s := &samphireturn.Snapshot{Config: &p.config, HeldVersions: d.held}
	for i := range p.config.Presets {
		if p.config.Presets[i].Active {
			s.Preset = &p.config.Presets[i]
		}
	}
	return s
}

// suspect holds the version here if the test has found it bad.
func (d *daemon) suspect(v samphireturn.VersionRef) {
	if d.counter.Suspicion(v) == guard.SuspicionBad {
		d.held[v] = true
	}
}

// alias returns the alias of the preset in force that the name stands for.
func alias(s *samphireturn.Snapshot, name string) *samphireturn.Alias {
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

// models returns what a request may run on. A session stays with its model.
func models(a *samphireturn.Alias, session *samphireturn.Session) []string {
	for _, name := range a.Steps {
		if model, _, _ := strings.Cut(name, "@"); session.Model == model {
			return []string{name}
		}
	}
	return a.Steps
}
