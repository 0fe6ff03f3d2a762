// Package stager decides which release of a pool a request may go to while a
// roll-out is under way, and when the roll-out is done or taken back.
//
// A release under trial gets a bounded share of the requests without a session in
// the first half of the roll-out's time, then all sessions move to it step by step:
// the requests of a session reach any daemon, and none can tell a new session from
// one that others served. Every daemon derives the release of a request from its
// session and the order alone. The
// answers of all daemons are counted together; a release that fails or is slow
// clearly more often than the others is taken back at once.
package stager

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"samphireturn"
)

// Shares of a roll-out by the part of its time that has passed.
const (
	// trialEnd is when sessions begin to move: never in the first half.
	canaryEnd = 0.52
	// moveEnd is when the new release takes all, so that work on the old one ends
	// before the deadline.
	migrationEnd = 0.72
	// doneEnd is when the roll-out is done although work goes on at the old
	// release; streams are then resumed at the new one.
	forcedEnd = 0.95
	// idleEnd is when it is done as soon as nothing is at work at the old release.
	earliestEnd = 0.8
	// exposedShare is the part of the bound on requests to a release under trial
	// that is used as long as little is known of it.
	unprovenShare = 0.7
	// mostShare is the share from which a release has taken over, should its roll-out
	// be replaced by another.
	takeoverShare = 0.5
	// provenAsked is the number of answers from which a release without more
	// failures than the others counts as good.
	provenAnswers = 30
	// recordTime is how long a verdict takes to be written and seen by all: two tries of
	// the writer.
	verdictWriteTime = time.Second
	// sessionLimit bounds the sessions remembered.
	maxSessions = 20000
)

type (
	// Stager is safe for concurrent use. Set the exported fields before the first
	// call.
	Stager struct {
		// Clock counts suspensions too; Now is the time of day, which daemons have
		// nearly in common.
		Clock func() time.Duration
		Now   func() time.Time
		// CanaryShare and CanaryExtra bound the requests to a canary release: a share of
		// all requests of its pool, plus a number of requests.
		CanaryShare, CanaryExtra float64
		// SessionTTL is how long a session lasts after its last request.
		SessionTTL time.Duration
		Log        zerolog.Logger

		mu        sync.Mutex
		rollouts  map[string]*rollout
		sessions  map[string]session
		latencies map[string]*latency
		remote    []Tally
	}

	// stage is the roll-out of one pool as this daemon sees it.
	rollout struct {
		release string
		// started is when the order was first seen, on the clock.
		started  time.Duration
		duration time.Duration
		state    string
		// before is the release that took the requests before, if known. Others than
		// it and the new one may be left from an order that this one replaced.
		previous string
		// bad is true once the evidence speaks against the release, since judged.
		faulty   bool
		faultyAt time.Duration
		// peak is the largest share so far.
		maxShare float64
		detector detector
		local    []Tally
	}

	// session is where a session's last request went.
	session struct {
		lastRequest time.Duration
		// release is the release under roll-out at that time, if any; moved is true
		// if the request went to it.
		release  string
		migrated bool
	}
)

// New returns a stager.
func New(clock func() time.Duration, log zerolog.Logger) *Stager {
	return &Stager{
		Clock: clock, Now: time.Now, Log: log,
		rollouts:  make(map[string]*rollout),
		sessions:  make(map[string]session),
		latencies: make(map[string]*latency),
	}
}

// Hosts returns the endpoints of a pool that a request may go to. Session may be
// empty; id is the request's own.
func (s *Stager) Hosts(v *samphireturn.View, pool, session, id string) []*samphireturn.Host {
	required, excluded := s.selectRelease(v, pool, session, id)
	var hosts []*samphireturn.Host
	for _, h := range v.Hosts[pool] {
		if h.Leaving || v.ClosedCentres[h.Centre] {
			continue
		}
		if required != "" && h.Release != required || excluded != "" && h.Release == excluded {
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// choose returns the only release that the request goes to, or the one that it
// does not go to; both are empty without a roll-out.
func (s *Stager) selectRelease(v *samphireturn.View, pool, sessionID, id string) (required, excluded string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := v.Rollouts[pool]
	if r == nil {
		s.rememberSession(sessionID, session{})
		return "", ""
	}
	ro := s.rollout(r)
	available := hasRelease(v.Hosts[pool], r.Release)
	migrated := available
	switch {
	case ro.state == samphireturn.RolloutDone:
	case ro.state == samphireturn.RolloutRolledBack || s.abandoned(ro):
		migrated = false
	default:
		migrated = available && s.migrates(ro, sessionID, id)
	}
	s.rememberSession(sessionID, session{release: r.Release, migrated: migrated})
	if migrated {
		return r.Release, ""
	}
	if ro.previous != "" && hasRelease(v.Hosts[pool], ro.previous) {
		return ro.previous, ""
	}
	return "", r.Release
}

// moved reports whether a request goes to the release under trial. The caller
// holds mu.
func (s *Stager) migrates(ro *rollout, sessionID, id string) bool {
	share := s.sessionShare(ro)
	now := s.Clock()
	if last, ok := s.sessions[sessionID]; ok && sessionID != "" && now-last.lastRequest < s.SessionTTL {
		if last.release == ro.release && last.migrated {
			return true
		}
	}
	if sessionID != "" && s.elapsedShare(ro) < canaryEnd {
		return false
	}
	key := sessionID
	if key == "" {
		key = id
	}
	point := float64(xxhash.Sum64String(ro.release+"\x00"+key)) / (1 << 64)
	return point < share
}

// dropped reports whether a release that was found bad gets no more requests
// although this is not written yet. Sessions that have moved go back once it is, at
// all daemons alike, or when it can't be written. The caller holds mu.
func (s *Stager) abandoned(ro *rollout) bool {
	return ro.faulty && (s.elapsedShare(ro) < canaryEnd || s.Clock()-ro.faultyAt > verdictWriteTime)
}

// remember notes where a session's request goes. The caller holds mu.
func (s *Stager) rememberSession(sessionID string, last session) {
	if sessionID == "" {
		return
	}
	last.lastRequest = s.Clock()
	if len(s.sessions) >= maxSessions {
		for old, v := range s.sessions {
			if last.lastRequest-v.lastRequest >= s.SessionTTL {
				delete(s.sessions, old)
			}
		}
		if len(s.sessions) >= maxSessions {
			return
		}
	}
	s.sessions[sessionID] = last
}

// stage returns the stage of a roll-out, begun when it is first seen. The caller
// holds mu.
func (s *Stager) rollout(r *samphireturn.Rollout) *rollout {
	ro := s.rollouts[r.Pool]
	if ro == nil || ro.release != r.Release || ended(ro.state) && r.State == samphireturn.RolloutOrdered {
		ro = &rollout{release: r.Release, started: s.Clock(), duration: r.Duration, previous: s.previousRelease(ro, r)}
		ro.detector = newDetector()
		if !r.Started.IsZero() {
			// Another daemon saw the order first, or this one did before it started anew.
			ro.started -= max(0, min(s.Now().Sub(r.Started), r.Duration))
		}
		s.rollouts[r.Pool] = ro
	}
	if !ended(ro.state) {
		ro.state = r.State
	}
	if r.PreviousRelease != "" {
		// Daemons that saw different ends of the last order go by what was written.
		ro.previous = r.PreviousRelease
	}
	return ro
}

// before returns the release that took the requests before an order, by what a
// daemon wrote or by the order that was replaced. The caller holds mu.
func (s *Stager) previousRelease(last *rollout, r *samphireturn.Rollout) string {
	switch {
	case r.PreviousRelease != "":
		return r.PreviousRelease
	case last == nil:
		return ""
	case last.release == r.Release:
		return last.previous
	case last.state == samphireturn.RolloutDone:
		return last.release
	case last.state == samphireturn.RolloutRolledBack || last.faulty || s.sessionShare(last) < takeoverShare:
		return last.previous
	}
	return last.release
}

// ended reports whether a roll-out is over.
func ended(state string) bool {
	return state == samphireturn.RolloutDone || state == samphireturn.RolloutRolledBack
}

// passed returns the part of the roll-out's time that has passed.
func (s *Stager) elapsedShare(ro *rollout) float64 {
	if ro.duration <= 0 {
		return 1
	}
	return float64(s.Clock()-ro.started) / float64(ro.duration)
}

// share returns the part of the sessions that the new release gets now. It only
// rises, so that no session goes back, and stays where it is while little is known
// of the release and it has had its part. The caller holds mu.
func (s *Stager) sessionShare(ro *rollout) float64 {
	elapsed := s.elapsedShare(ro)
	initial := s.CanaryShare * unprovenShare
	next := initial
	if elapsed >= canaryEnd {
		next = min(initial+(1-initial)*(elapsed-canaryEnd)/(migrationEnd-canaryEnd), 1)
	}
	if next > ro.maxShare && (ro.maxShare == 0 || s.mayRaiseShare(ro)) {
		ro.maxShare = next
	}
	return ro.maxShare
}

// rises reports whether the release may get more: it gave enough good answers, or
// has not had its part of all requests yet. The caller holds mu.
func (s *Stager) mayRaiseShare(ro *rollout) bool {
	total, canary, bad := 0, 0, 0
	for _, t := range Sum(ro.local, s.remote) {
		if t.Release != ro.release {
			continue
		}
		total += t.Answers
		if t.Canary {
			canary += t.Answers
			bad += t.Failed + t.Slow
		}
	}
	proven := canary >= provenAnswers && float64(bad) < 0.2*float64(canary)
	exposed := float64(canary) > unprovenShare*(s.CanaryShare*float64(total)+s.CanaryExtra)
	return proven || !exposed
}

// present reports whether any endpoint that stays has the release.
func hasRelease(hosts []*samphireturn.Host, release string) bool {
	return slices.ContainsFunc(hosts, func(h *samphireturn.Host) bool { return h.Release == release && !h.Leaving })
}
