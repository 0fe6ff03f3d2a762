package stager

import (
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

// Answered counts an answer of an endpoint: failed, or its first bytes after a
// time.
func (s *Stager) Answered(h *samphireturn.Host, route string, failed bool, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usual[route]
	if u == nil {
		u = new(usual)
		s.usual[route] = u
	}
	slow := !failed && u.slow(took)
	if !failed && !s.trial(h) {
		u.learn(took)
	}
	s.count(h, route, failed, slow)
}

// Late counts an answer that was still not there when the time of its request was
// over.
func (s *Stager) Late(h *samphireturn.Host, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(h, route, false, true)
}

// trial reports whether an endpoint has the release that is rolled out. The caller
// holds mu.
func (s *Stager) trial(h *samphireturn.Host) bool {
	st := s.stages[h.Pool]
	return st != nil && h.Release == st.release
}

// count adds an answer to the tallies of a roll-out under way. The caller holds mu.
func (s *Stager) count(h *samphireturn.Host, route string, failed, slow bool) {
	st := s.stages[h.Pool]
	if st == nil || ended(st.state) {
		return
	}
	t := Tally{Pool: h.Pool, Release: st.release, Route: route, New: s.trial(h), Asked: 1}
	if failed {
		t.Failed = 1
	}
	if slow {
		t.Slow = 1
	}
	st.mine = Sum(st.mine, []Tally{t})
}

// LocalTallies returns the tallies of this daemon.
func (s *Stager) LocalTallies() []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Tally
	for pool, st := range s.stages {
		if !ended(st.state) {
			all = append(all, st.mine...)
			all = append(all, Tally{Pool: pool, Release: st.release, New: true, Peak: st.peak, Judged: st.bad})
		}
	}
	return all
}

// SetRemoteTallies replaces the tallies of all other daemons and reevaluates the
// roll-outs.
func (s *Stager) SetRemoteTallies(tallies []Tally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = tallies
	for pool, st := range s.stages {
		if ended(st.state) || st.bad {
			continue
		}
		var tallies []Tally
		judged := false
		for _, t := range Sum(st.mine, s.others) {
			if t.Pool != pool {
				continue
			}
			tallies = append(tallies, t)
			if t.Release == st.release {
				// Sessions that moved at another daemon must not go back at this one, and
				// a verdict of one is a verdict of all.
				st.peak = max(st.peak, t.Peak)
				judged = judged || t.Judged
			}
		}
		if st.rates.judge(tallies, st.release) || judged {
			st.bad = true
			st.judged = s.Clock()
			s.Log.Warn().Str("event", logger.EventReleaseBad).Str("pool", pool).Str("release", st.release).
				Bool("heard", judged).Interface("tallies", tallies).Float64("passed", s.passed(st)).Send()
		}
	}
}

// NextState returns the roll-out with the state that it should have now, and whether
// that is to be written. Idle reports whether no daemon has work in flight at the
// pool's endpoints of another release than the given one.
func (s *Stager) NextState(r *samphireturn.Rollout, idle func(release string) bool) (samphireturn.Rollout, bool) {
	s.mu.Lock()
	st := s.stage(r)
	next := *r
	next.PreviousRelease = st.before
	passed := s.passed(st)
	started := s.Now().Add(st.started - s.Clock())
	bad, state, share := st.bad, st.state, s.share(st)
	s.mu.Unlock()
	if next.Started.IsZero() {
		next.Started = started
	}
	switch {
	case ended(state):
		return next, false
	case bad:
		next.State = samphireturn.RolloutRolledBack
	case passed >= doneEnd && share >= 1, passed >= idleEnd && share >= 1 && idle(r.Release):
		next.State = samphireturn.RolloutDone
	case state == samphireturn.RolloutOrdered:
		next.State = samphireturn.RolloutRunning
	default:
		return next, false
	}
	return next, true
}
