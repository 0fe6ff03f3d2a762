package player

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"samphireturn"
	"samphireturn/internal/replay/reader"
	"samphireturn/internal/traffic/cascader"
)

// turn is one request on its way through the decision code.
type turn struct {
	*Player
	daemon  *daemon
	record  *reader.Request
	request samphireturn.Request
	alias   *samphireturn.Alias
	cost    float64
	// spent is the time since the request came.
	spent time.Duration
	// exposed is true once a run was on a bad version.
	exposed bool
	// kept is true if only one step was left.
	kept bool
}

// request runs one recorded request.
func (p *Player) request(r *reader.Request) {
	d := p.daemons[r.Daemon]
	s := p.snapshot(d)
	a := alias(s, r.Model)
	if a == nil {
		p.account.skipped++
		return
	}
	session := p.tokens[r.Session]
	if session.ID == "" {
		session = samphireturn.Session{ID: r.Session, Team: r.Team}
	}
	t := &turn{Player: p, daemon: d, record: r, alias: a, request: samphireturn.Request{
		ID: r.ID, Team: r.Team, Class: r.Class, Model: r.Model, Session: &session,
		PromptTokens: r.Prompt, OutputTokens: r.Output, Prefixes: r.Prefixes,
	}}
	steps := t.steps(s, models(a, &session))
	if len(steps) == 0 {
		p.account.refused++
		return
	}
	t.run(t.plan(s, steps))
}

// steps returns the versions of the models with their prices. Those that the
// trace holds no run of are left out.
func (t *turn) steps(s *samphireturn.Snapshot, models []string) []cascader.Step {
	var steps []cascader.Step
	for _, model := range models {
		v, err := t.daemon.picker.Version(s, &t.request, model)
		if err == nil && t.record.Run(v) != nil {
			steps = append(steps, priced(s.Config, v))
		}
	}
	return steps
}

// priced returns the step of a version.
func priced(c *samphireturn.Config, ref samphireturn.VersionRef) cascader.Step {
	for _, m := range c.Models {
		for _, v := range m.Versions {
			if m.Name == ref.Model && v.Name == ref.Version {
				return cascader.Step{Version: ref, InputPrice: v.InputPrice, OutputPrice: v.OutputPrice}
			}
		}
	}
	return cascader.Step{Version: ref}
}

// plan chooses the steps to run.
func (t *turn) plan(s *samphireturn.Snapshot, steps []cascader.Step) cascader.Plan {
	one := func(i int) cascader.Plan { return cascader.Plan{Steps: steps[i : i+1]} }
	last := len(steps) - 1
	switch {
	case t.Policy == Configured && last == 0:
		t.kept = true
		return t.daemon.cascader.PlanPinned(&t.request, t.alias, steps[0])
	case t.Policy == Cheap || last == 0:
		return one(0)
	case t.Policy == Dear:
		return one(last)
	case t.Policy == Random:
		if t.coin() < t.Dearness {
			return one(last)
		}
		return one(0)
	}
	c := t.daemon.cascader
	return c.Plan(&t.request, t.alias, steps, c.RatingAvailable(), s.Preset.ExploreShare)
}

// coin draws a number from 0 to 1 that depends on the request alone.
func (t *turn) coin() float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.record.ID))
	return rand.New(rand.NewPCG(t.Seed, h.Sum64())).Float64()
}

// run looks the plan's outcomes up as the receiver would meet them.
func (t *turn) run(plan cascader.Plan) {
	last := len(plan.Steps) - 1
	for i, step := range plan.Steps {
		run := t.send(step)
		if i == last {
			t.release(step, run, i > 0, plan.RateAfterRelease)
			return
		}
		if run.Error != "" {
			continue
		}
		if t.judge(plan, i, run) {
			return
		}
	}
}

// send spends a run and has the guard count it when it ends.
func (t *turn) send(step cascader.Step) *reader.Run {
	run := t.record.Run(step.Version)
	t.cost += run.Cost
	t.exposed = t.exposed || t.bad[step.Version]
	d, failed := t.daemon, run.Error != ""
	t.later(t.spent+ms(run.Whole), func() {
		d.counter.RecordCall(step.Version, failed)
		d.suspect(step.Version)
	})
	if failed {
		t.spent += ms(run.Whole)
	}
	return run
}

// judge waits for a rating before release and reports whether the request is
// answered.
func (t *turn) judge(plan cascader.Plan, at int, run *reader.Run) bool {
	step, after := plan.Steps[at], at > 0
	wait := judgeWait
	if t.alias.MaxDelayMs > 0 {
		wait = min(wait, ms(t.alias.MaxDelayMs))
	}
	rated := run.Late >= 0 && ms(run.Late) <= wait
	delay := ms(run.Whole) + wait
	if rated {
		delay = ms(run.Whole + run.Late)
	}
	begun := t.spent
	t.spent += delay
	passed := rated && (run.Rating >= t.alias.MinQuality || t.daemon.cascader.AcceptBelowQuality(&t.request, t.alias, plan, at, run.Rating))
	o := t.outcome(step, run, after, rated)
	o.Delay, o.Final = delay, passed
	d := t.daemon
	t.later(t.spent, func() {
		d.cascader.RecordOutcome(o)
		d.cascader.RecordRatingInTime(rated)
	})
	if rated {
		t.blame(step, run, begun+delay)
	}
	if passed {
		t.finish(step, run, t.spent)
	}
	return passed
}

// release ends the request with an answer that was not judged.
func (t *turn) release(step cascader.Step, run *reader.Run, after, rate bool) {
	o := t.outcome(step, run, after, false)
	o.Delay, o.Final = ms(run.Whole), true
	at := t.spent + ms(run.Whole)
	if rate && run.Late >= 0 && ms(run.Late) <= rateWait {
		at += ms(run.Late)
		o.Rated = true
		t.blame(step, run, at)
	}
	if run.Error == "" {
		d := t.daemon
		t.later(at, func() { d.cascader.RecordOutcome(o) })
	}
	t.finish(step, run, t.spent+ms(run.First))
}

// outcome returns what the cascader learns of a run.
func (t *turn) outcome(step cascader.Step, run *reader.Run, after, rated bool) cascader.Outcome {
	return cascader.Outcome{
		Team: t.record.Team, Class: t.record.Class, Version: step.Version, MinQuality: t.alias.MinQuality,
		AfterFailure: after, Pinned: t.kept, Rating: run.Rating, Rated: rated, Cost: run.Cost,
		QuotedCost: step.Quote(&t.request), EstimatedOutput: t.record.Output, Alias: t.alias,
	}
}

// blame tells the guard of a rating below its floor.
func (t *turn) blame(step cascader.Step, run *reader.Run, at time.Duration) {
	if run.Error != "" || run.Rating >= t.Config.Guard.MinRating {
		return
	}
	d := t.daemon
	t.later(at, func() {
		d.counter.RecordLateFailure(step.Version, d.counter.Epoch(step.Version))
		d.suspect(step.Version)
	})
}

// finish books the request.
func (t *turn) finish(step cascader.Step, run *reader.Run, first time.Duration) {
	session := *t.request.Session
	session.Model, session.Version = step.Version.Model, step.Version.Version
	t.tokens[t.record.Session] = session
	t.account.add(entry{
		team:    t.record.Team,
		class:   t.record.Class,
		cost:    t.cost,
		rating:  run.Rating,
		good:    run.Error == "" && run.Rating >= t.alias.MinQuality,
		failed:  run.Error != "",
		first:   first,
		exposed: t.exposed,
	})
}

// ms returns a duration of n milliseconds.
func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
