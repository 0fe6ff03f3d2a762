package player

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"samphireturn"
	"samphireturn/internal/replay/reader"
	"samphireturn/internal/traffic/cascader"
)

// requestReplay is the replay of one recorded request through the decision code.
type requestReplay struct {
	*Player
	daemon   *daemon
	recorded *reader.Request
	request  samphireturn.Request
	alias    *samphireturn.Alias
	// cost sums the recorded costs of all runs so far.
	cost float64
	// elapsed is the time since the request arrived.
	elapsed time.Duration
	// ranBadVersion is true once a run was on a version marked as faulty.
	ranBadVersion bool
	// pinned is true if only one step was available.
	pinned bool
}

// replayRequest replays one recorded request on its daemon.
func (p *Player) replayRequest(r *reader.Request) {
	d := p.daemonsByID[r.Daemon]
	s := p.snapshot(d)
	a := findAlias(s, r.Model)
	if a == nil {
		p.stats.skipped++
		return
	}
	session := p.sessions[r.Session]
	if session.ID == "" {
		session = samphireturn.Session{ID: r.Session, Team: r.Team}
	}
	rr := &requestReplay{Player: p, daemon: d, recorded: r, alias: a, request: samphireturn.Request{
		ID: r.ID, Team: r.Team, Class: r.Class, Model: r.Model, Session: &session,
		PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Prefixes: r.Prefixes,
	}}
	steps := rr.availableSteps(s, candidateModels(a, &session))
	if len(steps) == 0 {
		p.stats.refused++
		return
	}
	rr.execute(rr.plan(s, steps))
}

// availableSteps returns the versions that the picker chooses for the models, with
// their prices. Versions without a recorded run are left out.
func (rr *requestReplay) availableSteps(s *samphireturn.Snapshot, models []string) []cascader.Step {
	var steps []cascader.Step
	for _, model := range models {
		v, err := rr.daemon.picker.Version(s, &rr.request, model)
		if err == nil && rr.recorded.FindRun(v) != nil {
			steps = append(steps, pricedStep(s.Config, v))
		}
	}
	return steps
}

// pricedStep returns the step of a version with its configured prices.
func pricedStep(c *samphireturn.Config, ref samphireturn.VersionRef) cascader.Step {
	for _, m := range c.Models {
		for _, v := range m.Versions {
			if m.Name == ref.Model && v.Name == ref.Version {
				return cascader.Step{Version: ref, InputPrice: v.InputPrice, OutputPrice: v.OutputPrice}
			}
		}
	}
	return cascader.Step{Version: ref}
}

// plan chooses the steps to run by the player's policy.
func (rr *requestReplay) plan(s *samphireturn.Snapshot, steps []cascader.Step) cascader.Plan {
	single := func(i int) cascader.Plan { return cascader.Plan{Steps: steps[i : i+1]} }
	last := len(steps) - 1
	switch {
	case rr.Policy == PolicyConfigured && last == 0:
		rr.pinned = true
		return rr.daemon.cascader.PlanPinned(&rr.request, rr.alias, steps[0])
	case rr.Policy == PolicyFirstStep || last == 0:
		return single(0)
	case rr.Policy == PolicyLastStep:
		return single(last)
	case rr.Policy == PolicyRandom:
		if rr.randomDraw() < rr.LastStepProbability {
			return single(last)
		}
		return single(0)
	}
	c := rr.daemon.cascader
	return c.Plan(&rr.request, rr.alias, steps, c.RatingAvailable(), s.Preset.ExploreShare)
}

// randomDraw returns a number from 0 to 1 that depends only on the seed and the
// request id.
func (rr *requestReplay) randomDraw() float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(rr.recorded.ID))
	return rand.New(rand.NewPCG(rr.Seed, h.Sum64())).Float64()
}

// execute runs the steps of a plan, as the receiver does, on the recorded results.
func (rr *requestReplay) execute(plan cascader.Plan) {
	last := len(plan.Steps) - 1
	for i, step := range plan.Steps {
		run := rr.runStep(step)
		if i == last {
			rr.releaseLast(step, run, i > 0, plan.RateAfterRelease)
			return
		}
		if run.Error != "" {
			continue
		}
		if rr.rateBeforeRelease(plan, i, run) {
			return
		}
	}
}

// runStep adds a step's recorded run to the request's cost and schedules its count
// in the guard for the end of the run. Only a failed run adds to the elapsed time
// here.
func (rr *requestReplay) runStep(step cascader.Step) *reader.Run {
	run := rr.recorded.FindRun(step.Version)
	rr.cost += run.Cost
	rr.ranBadVersion = rr.ranBadVersion || rr.badVersions[step.Version]
	d, failed := rr.daemon, run.Error != ""
	rr.schedule(rr.elapsed+ms(run.LastTokenMs), func() {
		d.counter.RecordCall(step.Version, failed)
		d.holdIfSuspected(step.Version)
	})
	if failed {
		rr.elapsed += ms(run.LastTokenMs)
	}
	return run
}

// rateBeforeRelease waits for the rating of an answer that is not the plan's last
// and reports whether the answer was released to the caller.
func (rr *requestReplay) rateBeforeRelease(plan cascader.Plan, index int, run *reader.Run) bool {
	step, afterFailure := plan.Steps[index], index > 0
	timeout := preReleaseRatingTimeout
	if rr.alias.MaxDelayMs > 0 {
		timeout = min(timeout, ms(rr.alias.MaxDelayMs))
	}
	rated := run.RatingDelayMs >= 0 && ms(run.RatingDelayMs) <= timeout
	delay := ms(run.LastTokenMs) + timeout
	if rated {
		delay = ms(run.LastTokenMs + run.RatingDelayMs)
	}
	started := rr.elapsed
	rr.elapsed += delay
	released := rated && (run.Rating >= rr.alias.MinQuality || rr.daemon.cascader.AcceptBelowQuality(&rr.request, rr.alias, plan, index, run.Rating))
	o := rr.outcome(step, run, afterFailure, rated)
	o.Delay, o.Returned = delay, released
	d := rr.daemon
	rr.schedule(rr.elapsed, func() {
		d.cascader.RecordOutcome(o)
		d.cascader.RecordRatingInTime(rated)
	})
	if rated {
		rr.recordBadRating(step, run, started+delay)
	}
	if released {
		rr.finish(step, run, rr.elapsed)
	}
	return released
}

// releaseLast ends the request with the answer of the plan's last step, which is
// released without waiting for a rating.
func (rr *requestReplay) releaseLast(step cascader.Step, run *reader.Run, afterFailure, rateAfterRelease bool) {
	o := rr.outcome(step, run, afterFailure, false)
	o.Delay, o.Returned = ms(run.LastTokenMs), true
	at := rr.elapsed + ms(run.LastTokenMs)
	if rateAfterRelease && run.RatingDelayMs >= 0 && ms(run.RatingDelayMs) <= postReleaseRatingTimeout {
		at += ms(run.RatingDelayMs)
		o.Rated = true
		rr.recordBadRating(step, run, at)
	}
	if run.Error == "" {
		d := rr.daemon
		rr.schedule(at, func() { d.cascader.RecordOutcome(o) })
	}
	rr.finish(step, run, rr.elapsed+ms(run.FirstTokenMs))
}

// outcome returns the outcome of a run as the cascader records it.
func (rr *requestReplay) outcome(step cascader.Step, run *reader.Run, afterFailure, rated bool) cascader.Outcome {
	return cascader.Outcome{
		Team: rr.recorded.Team, Class: rr.recorded.Class, Version: step.Version, MinQuality: rr.alias.MinQuality,
		AfterFailure: afterFailure, Pinned: rr.pinned, Rating: run.Rating, Rated: rated, Cost: run.Cost,
		QuotedCost: step.Quote(&rr.request), EstimatedOutput: rr.recorded.OutputTokens, Alias: rr.alias,
	}
}

// recordBadRating schedules a late failure in the guard if the answer's rating is
// below the guard's MinRating.
func (rr *requestReplay) recordBadRating(step cascader.Step, run *reader.Run, at time.Duration) {
	if run.Error != "" || run.Rating >= rr.Config.Guard.MinRating {
		return
	}
	d := rr.daemon
	rr.schedule(at, func() {
		d.counter.RecordLateFailure(step.Version, d.counter.Epoch(step.Version))
		d.holdIfSuspected(step.Version)
	})
}

// finish records the request's result and its session's model and version.
func (rr *requestReplay) finish(step cascader.Step, run *reader.Run, first time.Duration) {
	session := *rr.request.Session
	session.Model, session.Version = step.Version.Model, step.Version.Version
	rr.sessions[rr.recorded.Session] = session
	rr.stats.add(requestResult{
		team:          rr.recorded.Team,
		class:         rr.recorded.Class,
		cost:          rr.cost,
		rating:        run.Rating,
		meetsQuality:  run.Error == "" && run.Rating >= rr.alias.MinQuality,
		failed:        run.Error != "",
		firstToken:    first,
		ranBadVersion: rr.ranBadVersion,
	})
}

// ms converts milliseconds to a duration.
func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
