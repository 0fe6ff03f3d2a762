// Package stager decides which release of a pool a request may go to during a
// roll-out, and when the roll-out is done or rolled back.
//
// In the first half of a roll-out, the new release is a canary: it gets a bounded
// share of the requests without a session. Sessions are left out, since their
// requests reach any daemon and no daemon can tell a new session from one that
// others have served. In the second half, sessions migrate to the new release step by
// step: a part of them until the answers prove it, then all. Every daemon derives the
// release of a request from its session, the roll-out's order and the time of the proof,
// which daemons tell each other.
//
// The answers that all daemons received are counted together: those of the new release
// by the instance that received them, so that none is lost or counted twice when daemons
// restart or their reports are missing. A release that fails or is slow clearly more
// often than the others is rolled back at once.
package stager

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"samphireturn"
)

// Limits of a roll-out. Those that end in End are shares of its duration.
const (
	// canaryEnd is when sessions begin to migrate: never in the first half.
	canaryEnd = 0.52
	// migrationEnd is when all sessions have migrated, so that work on the old
	// release ends before the deadline, and minMigration how long they take at least if
	// the release is proven late.
	migrationEnd = 0.72
	minMigration = 0.05
	// forcedEnd is when the roll-out is done although requests are in flight at the
	// old release; their streams are then resumed at the new one.
	forcedEnd = 0.95
	// earliestEnd is from when it is done as soon as no request is in flight at the
	// old release.
	earliestEnd = 0.8
	// unprovenEnd is from when a release that gets too few requests to be proven may be done.
	unprovenEnd = 0.9
	// unprovenShare is the part of the bound on canary requests that is used until
	// the release is proven.
	unprovenShare = 0.7
	// takeoverShare is the session share from which a release counts as the previous
	// one if another order replaces its roll-out.
	takeoverShare = 0.5
	// proofSpreadTime is how long it takes until all daemons know that a release is proven.
	// None raises its share before, so that they raise it together.
	proofSpreadTime = 1200 * time.Millisecond
	// verdictWriteTime is how long it takes until a verdict is stored and all daemons
	// have read it: two attempts of the writer.
	verdictWriteTime = time.Second
	// maxSessions bounds the sessions remembered.
	maxSessions = 20000
)

type (
	// Stager chooses releases and evaluates roll-outs. It is safe for concurrent use.
	// Set the exported fields before the first call.
	Stager struct {
		// Clock is a monotonic clock that also advances while the machine is
		// suspended. Now is the wall clock, which is nearly the same at all daemons.
		Clock func() time.Duration
		Now   func() time.Time
		// CanaryShare and CanaryExtra bound the requests to a canary release: a share of
		// all requests of its pool, plus a number of requests.
		CanaryShare, CanaryExtra float64
		// SessionTTL is how long a session lasts after its last request.
		SessionTTL time.Duration
		// Instance names this run of this daemon; no two instances have the same.
		Instance uint64
		// Fleet returns the number of daemons that are listed, this one included. If it is
		// nil, there is no other.
		Fleet func() int
		Log   zerolog.Logger

		mu sync.Mutex
		// rollouts is keyed by pool, sessions by session id, latencies by route.
		rollouts  map[string]*rollout
		sessions  map[string]session
		latencies map[string]*latency
		// waits holds the requests whose answers are waited for.
		waits map[*Wait]struct{}
		// remote holds the tallies of all other daemons.
		remote []Tally
		// evidence holds the answers of new releases, and changes is the number of
		// changes to it.
		evidence map[releaseKey]records
		changes  uint64
	}

	// rollout is the state of one pool's roll-out at this daemon.
	rollout struct {
		pool, release string
		// started is when the order was first seen by any daemon, by Clock.
		started  time.Duration
		duration time.Duration
		state    string
		// previous is the release that served before, if known. Endpoints may also have
		// other releases, left from an order that this one replaced.
		previous string
		// faulty is true once the release was found faulty, at faultyAt.
		faulty   bool
		faultyAt time.Duration
		// maxShare is the largest session share so far at any daemon, and provenAt the
		// elapsed share at which the first daemon found the release proven; zero before.
		maxShare, provenAt float64
		assessment         assessment
		// watched is for how long this daemon has counted the roll-out's requests, up to
		// watchedAt.
		watched, watchedAt time.Duration
		detector           detector
		// testedAt is when the detector was last updated.
		testedAt time.Duration
		// local holds the tallies of this daemon: the answers of the other releases.
		local []Tally
	}

	// session records where a session's last request went.
	session struct {
		lastRequest time.Duration
		// release is the new release of the roll-out at that time, if any; migrated is
		// true if the request went to it.
		release  string
		migrated bool
	}
)

// New returns a Stager.
func New(clock func() time.Duration, log zerolog.Logger) *Stager {
	return &Stager{
		Clock: clock, Now: time.Now, Log: log,
		rollouts:  make(map[string]*rollout),
		sessions:  make(map[string]session),
		latencies: make(map[string]*latency),
		waits:     make(map[*Wait]struct{}),
		evidence:  make(map[releaseKey]records),
	}
}

// Hosts returns the endpoints of a pool that a request may go to. session is the
// request's session, which may be empty; id is its own id.
func (s *Stager) Hosts(v *samphireturn.View, pool, session, id string) []*samphireturn.Host {
	required, excluded := s.selectRelease(v, pool, session, id)
	hosts := make([]*samphireturn.Host, 0, len(v.Hosts[pool]))
	for _, h := range v.Hosts[pool] {
		if !v.InService(h) {
			continue
		}
		if required != "" && h.Release != required || excluded != "" && h.Release == excluded {
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// ResumeHosts returns the endpoints at which an answer that an endpoint of the given
// release began may go on: those of that release, unless it is under test and the answer
// belongs to no session that has migrated to it. If there are none, it returns what Hosts
// does.
func (s *Stager) ResumeHosts(v *samphireturn.View, pool, session, id, release string) []*samphireturn.Host {
	r := v.Rollouts[pool]
	if r == nil || ended(r.State) || release == r.Release && session != "" {
		return s.Hosts(v, pool, session, id)
	}
	var hosts []*samphireturn.Host
	for _, h := range v.Hosts[pool] {
		if v.InService(h) && h.Release != r.Release && (h.Release == release || release == r.Release) {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return s.Hosts(v, pool, session, id)
	}
	return hosts
}

// selectRelease returns the release that the request must go to, or the one that it
// must not go to. Both are empty without a roll-out.
func (s *Stager) selectRelease(v *samphireturn.View, pool, sessionID, id string) (required, excluded string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := v.Rollouts[pool]
	if r == nil {
		s.rememberSession(sessionID, session{})
		return "", ""
	}
	ro := s.rollout(r)
	available := HasRelease(v, pool, r.Release)
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
	if ro.previous != "" && HasRelease(v, pool, ro.previous) {
		return ro.previous, ""
	}
	return "", r.Release
}

// migrates reports whether a request goes to the new release. The caller holds mu.
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

// abandoned reports whether a faulty release gets no more requests although its
// rollback is not stored yet: at once before sessions migrate. Sessions that have
// migrated go back when the rollback is stored, at all daemons alike, or if it could
// not be stored within verdictWriteTime. The caller holds mu.
func (s *Stager) abandoned(ro *rollout) bool {
	return ro.faulty && (s.elapsedShare(ro) < canaryEnd || s.Clock()-ro.faultyAt > verdictWriteTime)
}

// rememberSession records where a session's request goes, unless maxSessions other
// sessions are alive. The caller holds mu.
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

// rollout returns the state of a roll-out, created when its order is first seen,
// updated from the stored one. The caller holds mu.
func (s *Stager) rollout(r *samphireturn.Rollout) *rollout {
	ro := s.rollouts[r.Pool]
	if ro == nil || ro.release != r.Release || ended(ro.state) && r.State == samphireturn.RolloutOrdered {
		ro = &rollout{pool: r.Pool, release: r.Release, started: s.Clock(), duration: r.Duration, previous: s.previousRelease(ro, r)}
		ro.detector, ro.watchedAt = newDetector(), s.Clock()
		if !r.Started.IsZero() {
			// Another daemon saw the order first, or this one did before a restart.
			ro.started -= max(0, min(s.Now().Sub(r.Started), r.Duration))
		}
		s.rollouts[r.Pool] = ro
		s.observeKnown(r.Pool, ro)
	}
	if !ended(ro.state) {
		ro.state = r.State
	}
	if ended(ro.state) {
		delete(s.evidence, releaseKey{r.Pool, ro.release})
	}
	if r.PreviousRelease != "" {
		// Daemons may have seen the last order end differently: the stored value
		// decides.
		ro.previous = r.PreviousRelease
	}
	if r.ProvenAt > 0 {
		// A proof outlives the daemons that know the answers.
		ro.provenAt = earlier(ro.provenAt, min(r.ProvenAt, s.elapsedShare(ro)))
	}
	return ro
}

// previousRelease returns the release that served before an order: the stored one,
// or else the one that follows from the last order. The caller holds mu.
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

// elapsedShare returns the elapsed time as a share of the roll-out's duration.
func (s *Stager) elapsedShare(ro *rollout) float64 {
	if ro.duration <= 0 {
		return 1
	}
	return float64(s.Clock()-ro.started) / float64(ro.duration)
}

// sessionShare returns the share of sessions that the new release gets now. It never
// falls, so that no session goes back. The caller holds mu.
func (s *Stager) sessionShare(ro *rollout) float64 {
	s.assess(ro)
	share := s.CanaryShare * unprovenShare
	if elapsed := s.elapsedShare(ro); elapsed >= canaryEnd {
		share = max(share, s.migrationShare(ro, elapsed))
	}
	ro.maxShare = max(ro.maxShare, share)
	return ro.maxShare
}

// migrationShare returns the share of sessions that may have migrated at an elapsed share
// of the roll-out. The caller holds mu.
func (s *Stager) migrationShare(ro *rollout, elapsed float64) float64 {
	initial, a := s.CanaryShare*unprovenShare, &ro.assessment
	scheduled := min(initial+(1-initial)*(elapsed-canaryEnd)/(migrationEnd-canaryEnd), 1)
	held := s.heldShare(ro)
	if a.affordsAll {
		held = 1
	}
	if ro.provenAt == 0 || a.suspect {
		return min(scheduled, held)
	}
	start := ro.provenAt + float64(proofSpreadTime)/float64(ro.duration)
	if start <= canaryEnd {
		return scheduled
	}
	length := max(migrationEnd-start, minMigration)
	return min(scheduled, held+(1-held)*max(elapsed-start, 0)/length)
}

// HasRelease reports whether any endpoint of a pool that is not leaving has the release.
func HasRelease(v *samphireturn.View, pool, release string) bool {
	return slices.ContainsFunc(v.Hosts[pool], func(h *samphireturn.Host) bool { return h.Release == release && !v.Leaving(h) })
}
