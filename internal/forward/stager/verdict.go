package stager

import (
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

// RecordAnswer counts an answer of an endpoint, which failed or whose first bytes
// came after the elapsed time.
func (s *Stager) RecordAnswer(h *samphireturn.Host, route string, failed bool, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.latencies[route]
	if l == nil {
		l = new(latency)
		s.latencies[route] = l
	}
	slow := !failed && l.isSlow(elapsed)
	if !failed && !s.isCanary(h) {
		l.observe(elapsed)
	}
	s.count(h, route, failed, slow)
}

// RecordTimeout counts an answer that did not come before its request's deadline as
// slow.
func (s *Stager) RecordTimeout(h *samphireturn.Host, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(h, route, false, true)
}

// isCanary reports whether an endpoint has the release that is being rolled out. The
// caller holds mu.
func (s *Stager) isCanary(h *samphireturn.Host) bool {
	ro := s.rollouts[h.Pool]
	return ro != nil && h.Release == ro.release
}

// count adds an answer to the tallies of a roll-out that has not ended. The caller
// holds mu.
func (s *Stager) count(h *samphireturn.Host, route string, failed, slow bool) {
	ro := s.rollouts[h.Pool]
	if ro == nil || ended(ro.state) {
		return
	}
	t := Tally{Pool: h.Pool, Release: ro.release, Route: route, Canary: s.isCanary(h), Answers: 1}
	if failed {
		t.Failed = 1
	}
	if slow {
		t.Slow = 1
	}
	ro.local = Sum(ro.local, []Tally{t})
}

// LocalTallies returns the tallies of this daemon for all roll-outs that have not
// ended.
func (s *Stager) LocalTallies() []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Tally
	for pool, ro := range s.rollouts {
		if !ended(ro.state) {
			all = append(all, ro.local...)
			all = append(all, Tally{Pool: pool, Release: ro.release, Canary: true, MaxShare: ro.maxShare, FoundFaulty: ro.faulty})
		}
	}
	return all
}

// SetRemoteTallies replaces the tallies of all other daemons and reevaluates the
// roll-outs.
func (s *Stager) SetRemoteTallies(tallies []Tally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remote = tallies
	for pool, ro := range s.rollouts {
		if ended(ro.state) || ro.faulty {
			continue
		}
		var tallies []Tally
		foundFaulty := false
		for _, t := range Sum(ro.local, s.remote) {
			if t.Pool != pool {
				continue
			}
			tallies = append(tallies, t)
			if t.Release == ro.release {
				// Sessions that migrated at another daemon must not go back at this one,
				// and a release that one daemon found faulty is faulty for all.
				ro.maxShare = max(ro.maxShare, t.MaxShare)
				foundFaulty = foundFaulty || t.FoundFaulty
			}
		}
		if ro.detector.update(tallies, ro.release) || foundFaulty {
			ro.faulty = true
			ro.faultyAt = s.Clock()
			s.Log.Warn().Str("event", logger.EventReleaseBad).Str("pool", pool).Str("release", ro.release).
				Bool("heard", foundFaulty).Interface("tallies", tallies).Float64("passed", s.elapsedShare(ro)).Send()
		}
	}
}

// NextState returns the roll-out with the state that it should have now, and whether
// it has to be stored. idle reports whether no daemon has requests in flight at those
// endpoints of the pool that have another release than the given one.
func (s *Stager) NextState(r *samphireturn.Rollout, idle func(release string) bool) (samphireturn.Rollout, bool) {
	s.mu.Lock()
	ro := s.rollout(r)
	next := *r
	next.PreviousRelease = ro.previous
	elapsed := s.elapsedShare(ro)
	started := s.Now().Add(ro.started - s.Clock())
	faulty, state, share := ro.faulty, ro.state, s.sessionShare(ro)
	s.mu.Unlock()
	if next.Started.IsZero() {
		next.Started = started
	}
	switch {
	case ended(state):
		return next, false
	case faulty:
		next.State = samphireturn.RolloutRolledBack
	case elapsed >= forcedEnd && share >= 1, elapsed >= earliestEnd && share >= 1 && idle(r.Release):
		next.State = samphireturn.RolloutDone
	case state == samphireturn.RolloutOrdered:
		next.State = samphireturn.RolloutRunning
	default:
		return next, false
	}
	return next, true
}
