package stager

import (
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

// Wait is the wait for the answer to a request. It must be ended by Answer, Timeout or
// Cancel, of which only the first call counts.
type Wait struct {
	stager *Stager
	host   *samphireturn.Host
	route  string
	sentAt time.Duration
	// overdue is true once the answer was counted as slow before it came.
	overdue bool
}

// RecordSend counts a request that is sent to an endpoint, whose answer is waited for.
func (s *Stager) RecordSend(h *samphireturn.Host, route string) *Wait {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(h, sendRoute, false, false)
	w := &Wait{stager: s, host: h, route: route, sentAt: s.Clock()}
	s.waits[w] = struct{}{}
	return w
}

// Answer counts the answer, which failed or whose first bytes came now.
func (w *Wait) Answer(failed bool) {
	s := w.stager
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.end() {
		s.recordAnswer(w.host, w.route, failed, s.Clock()-w.sentAt, w.overdue)
	}
}

// Timeout counts an answer that did not come before the request's deadline as slow.
func (w *Wait) Timeout() {
	s := w.stager
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.end() && !w.overdue {
		s.countLate(w.host, w.route)
	}
}

// Cancel ends a wait without an answer to count.
func (w *Wait) Cancel() {
	w.stager.mu.Lock()
	defer w.stager.mu.Unlock()
	w.end()
}

// end reports whether the wait had not ended before. The caller holds mu.
func (w *Wait) end() bool {
	_, ok := w.stager.waits[w]
	delete(w.stager.waits, w)
	return ok
}

// countOverdue counts the answers as slow that take too long already. If they were counted
// only when they come, the answers known at a moment would be the fast ones. The caller
// holds mu.
func (s *Stager) countOverdue() {
	now := s.Clock()
	for w := range s.waits {
		from, ok := s.latency(w.route).slowFrom(minSlowTime, slowFactor)
		if !w.overdue && ok && now-w.sentAt >= from {
			w.overdue = true
			s.countLate(w.host, w.route)
		}
	}
}

// countLate counts an answer as slow that did not come yet. The caller holds mu.
func (s *Stager) countLate(h *samphireturn.Host, route string) {
	s.count(h, route, false, false)
	s.count(h, route+timeSuffix, false, true)
}

// RecordAnswer counts an answer of an endpoint, which failed or whose first bytes
// came after the elapsed time.
func (s *Stager) RecordAnswer(h *samphireturn.Host, route string, failed bool, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordAnswer(h, route, failed, elapsed, false)
}

// recordAnswer is RecordAnswer for an answer that may have been counted already. The caller
// holds mu.
func (s *Stager) recordAnswer(h *samphireturn.Host, route string, failed bool, elapsed time.Duration, counted bool) {
	l := s.latency(route)
	from, ok := l.slowFrom(minSlowTime, slowFactor)
	if !failed && !s.isCanary(h) {
		l.observe(elapsed, minSlowTime)
	}
	if counted {
		return
	}
	s.count(h, route, failed, false)
	if !failed && ok {
		s.count(h, route+timeSuffix, false, elapsed >= from)
	}
}

// RecordPace counts the time that the given number of events of a stream took after its
// first ones. It is no further answer.
func (s *Stager) RecordPace(h *samphireturn.Host, route string, events int, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	route += paceSuffix
	n := time.Duration(events)
	from, ok := s.latency(route).slowFrom(minSlowPace/n, paceFactor)
	if !s.isCanary(h) {
		s.latency(route).observe(elapsed/n, minSlowPace/n)
	}
	if ok {
		s.count(h, route, false, elapsed/n >= from)
	}
}

// SlowPace reports whether a stream is slow whose given number of events take longer than
// the elapsed time.
func (s *Stager) SlowPace(route string, events int, elapsed time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := time.Duration(events)
	from, ok := s.latency(route+paceSuffix).slowFrom(minSlowPace/n, paceFactor)
	return ok && elapsed/n >= from
}

// RecordTimeout counts an answer that did not come before its request's deadline as
// slow.
func (s *Stager) RecordTimeout(h *samphireturn.Host, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countLate(h, route)
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
	answer := Count{Answers: 1}
	if failed {
		answer.Failed = 1
	}
	if slow {
		answer.Slow = 1
	}
	if s.isCanary(h) {
		s.countCanary(releaseKey{h.Pool, ro.release}, route, answer)
		return
	}
	ro.local = Sum(ro.local, []Tally{{
		Pool: h.Pool, Release: ro.release, Route: route, Answers: 1, Failed: answer.Failed, Slow: answer.Slow,
	}})
}

// LocalTallies returns the tallies of this daemon for all roll-outs that have not
// ended, and what it knows of the new releases.
func (s *Stager) LocalTallies() []Tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Tally
	for pool, ro := range s.rollouts {
		if !ended(ro.state) {
			all = append(all, ro.local...)
			all = append(all, Tally{
				Pool: pool, Release: ro.release, Canary: true, MaxShare: ro.maxShare, ProvenAt: ro.provenAt, FoundFaulty: ro.faulty,
				Daemons: 1, Watched: ro.watched,
			})
		}
	}
	return all
}

// SetRemoteTallies replaces the tallies of all other daemons and reevaluates the
// roll-outs by these and by the evidence added since the last call.
func (s *Stager) SetRemoteTallies(tallies []Tally) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remote = tallies
	s.evaluate()
}

// evaluate counts the answers that are overdue, takes what other daemons know of the
// roll-outs and updates the tests that are due. The caller holds mu.
func (s *Stager) evaluate() {
	s.countOverdue()
	for pool, ro := range s.rollouts {
		if ended(ro.state) || ro.faulty {
			continue
		}
		tallies := Sum(ro.local, s.remote)
		foundFaulty := false
		for _, t := range tallies {
			if t.Pool == pool && t.Release == ro.release {
				// Sessions that migrated at another daemon must not go back at this one,
				// and a release that one daemon found faulty is faulty for all.
				ro.maxShare = max(ro.maxShare, t.MaxShare)
				ro.provenAt = earlier(ro.provenAt, t.ProvenAt)
				foundFaulty = foundFaulty || t.FoundFaulty
			}
		}
		if foundFaulty || s.testDue(ro) && ro.detector.update(byRoute(tallies, pool, ro.release)) {
			s.markFaulty(ro, foundFaulty)
		}
		s.assess(ro)
	}
}

// testDue reports whether the answers of a roll-out are to be tested now, at most every
// testInterval. The caller holds mu.
func (s *Stager) testDue(ro *rollout) bool {
	now := s.Clock()
	if now-ro.testedAt < testInterval {
		return false
	}
	ro.testedAt = now
	return true
}

// markFaulty records that the new release of a roll-out is faulty, as found here or heard
// from a peer. The caller holds mu.
func (s *Stager) markFaulty(ro *rollout, heard bool) {
	ro.faulty = true
	ro.faultyAt = s.Clock()
	base, canary := s.counts(ro)
	route, score := worstRoute(canary, base, faultPrior)
	s.Log.Warn().Str("event", logger.EventReleaseBad).Str("pool", ro.pool).Str("release", ro.release).
		Bool("heard", heard).Str("route", route).Float64("score", score).Interface("route_base", base[route]).Interface("route_canary", canary[route]).
		Interface("base", base[""]).Interface("canary", canary[""]).
		Interface("base_time", base[timeSuffix]).Interface("canary_time", canary[timeSuffix]).Interface("base_pace", base[paceSuffix]).Interface("canary_pace", canary[paceSuffix]).Float64("passed", s.elapsedShare(ro)).Send()
}

// Verdicts returns the releases in roll-out that are known to be faulty.
func (s *Stager) Verdicts() []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	var faulty []Verdict
	for pool, ro := range s.rollouts {
		if ro.faulty && !ended(ro.state) {
			faulty = append(faulty, Verdict{Pool: pool, Release: ro.release})
		}
	}
	return faulty
}

// AddVerdict records that a peer found a release faulty.
func (s *Stager) AddVerdict(v Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ro := s.rollouts[v.Pool]
	if ro != nil && ro.release == v.Release && !ro.faulty && !ended(ro.state) {
		s.markFaulty(ro, true)
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
	settled, watch := s.settled(ro), s.watch(ro)
	faulty, state := ro.faulty, ro.state
	if next.ProvenAt == 0 {
		next.ProvenAt = ro.provenAt
	}
	s.mu.Unlock()
	if next.Started.IsZero() {
		next.Started = started
	}
	switch {
	case ended(state):
		next.State = state
		return next, r.Unwritten
	case faulty:
		next.State = samphireturn.RolloutRolledBack
	case settled && (elapsed >= forcedEnd || elapsed >= earliestEnd && watch.broad() && idle(r.Release)):
		next.State = samphireturn.RolloutDone
	case state == samphireturn.RolloutOrdered:
		next.State = samphireturn.RolloutRunning
	case next.ProvenAt != r.ProvenAt:
		// The proof is to be known to daemons that start later.
	default:
		return next, r.Unwritten
	}
	return next, true
}

// settled reports whether nothing is left to learn of a roll-out's release: all sessions may
// go to it, and it is proven or, at the end, gets too few requests for that. The caller
// holds mu.
func (s *Stager) settled(ro *rollout) bool {
	if s.sessionShare(ro) < 1 {
		return false
	}
	a := &ro.assessment
	return ro.provenAt > 0 || a.affordsAll && a.scarce && !a.suspect && s.elapsedShare(ro) >= unprovenEnd
}

// Basis is what a daemon knows when it writes the state of a roll-out. The JSON names are those
// of the log.
type Basis struct {
	// Passed is the elapsed share of the roll-out, Share the session share, and Proven the
	// elapsed share at which the release was proven; zero if it is not.
	Passed, Share, Proven float64
	// Sent is the number of requests to the release, Answers that of the answers, of which
	// Failed have failed. Total counts the requests to the other releases too.
	Sent, Answers, Failed, Total int
	// Affords is true if so few requests come that all may go to the release.
	Affords bool
	// Fleet is the number of daemons that are listed, Daemons that of those whose counts
	// are known, and Watched for how many seconds these have counted on average.
	Fleet, Daemons int
	Watched        float64
}

// Basis returns what this daemon knows of a roll-out.
func (s *Stager) Basis(r *samphireturn.Rollout) Basis {
	s.mu.Lock()
	defer s.mu.Unlock()
	ro := s.rollout(r)
	base, canary := s.counts(ro)
	w := s.watch(ro)
	return Basis{
		Passed: s.elapsedShare(ro), Share: s.sessionShare(ro), Proven: ro.provenAt,
		Sent: canary[sendRoute].Answers, Answers: canary[""].Answers, Failed: canary[""].Failed,
		Total:   canary[sendRoute].Answers + base[sendRoute].Answers,
		Affords: ro.assessment.affordsAll,
		Fleet:   w.fleet, Daemons: w.daemons, Watched: w.total.Seconds() / float64(w.daemons),
	}
}
