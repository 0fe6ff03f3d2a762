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
	trialEnd = 0.52
	// moveEnd is when the new release takes all, so that work on the old one ends
	// before the deadline.
	moveEnd = 0.72
	// doneEnd is when the roll-out is done although work goes on at the old
	// release; streams are then resumed at the new one.
	doneEnd = 0.95
	// idleEnd is when it is done as soon as nothing is at work at the old release.
	idleEnd = 0.8
	// exposedShare is the part of the bound on requests to a release under trial
	// that is used as long as little is known of it.
	exposedShare = 0.7
	// mostShare is the share from which a release has taken over, should its roll-out
	// be replaced by another.
	mostShare = 0.5
	// provenAsked is the number of answers from which a release without more
	// failures than the others counts as good.
	provenAsked = 30
	// recordTime is how long a verdict takes to be written and seen by all: two tries of
	// the writer.
	recordTime = time.Second
	// sessionLimit bounds the sessions remembered.
	sessionLimit = 20000
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

		mu       sync.Mutex
		stages   map[string]*stage
		sessions map[string]session
		usual    map[string]*usual
		others   []Tally
	}

	// stage is the roll-out of one pool as this daemon sees it.
	stage struct {
		release string
		// started is when the order was first seen, on the clock.
		started time.Duration
		length  time.Duration
		state   string
		// before is the release that took the requests before, if known. Others than
		// it and the new one may be left from an order that this one replaced.
		before string
		// bad is true once the evidence speaks against the release, since judged.
		bad    bool
		judged time.Duration
		// peak is the largest share so far.
		peak  float64
		rates rates
		mine  []Tally
	}

	// session is where a session's last request went.
	session struct {
		at time.Duration
		// release is the release under roll-out at that time, if any; moved is true
		// if the request went to it.
		release string
		moved   bool
	}
)

// New returns a stager.
func New(clock func() time.Duration, log zerolog.Logger) *Stager {
	return &Stager{
		Clock: clock, Now: time.Now, Log: log,
		stages:   make(map[string]*stage),
		sessions: make(map[string]session),
		usual:    make(map[string]*usual),
	}
}

// Hosts returns the endpoints of a pool that a request may go to. Session may be
// empty; id is the request's own.
func (s *Stager) Hosts(v *samphireturn.View, pool, session, id string) []*samphireturn.Host {
	only, not := s.choose(v, pool, session, id)
	var hosts []*samphireturn.Host
	for _, h := range v.Hosts[pool] {
		if h.Leaving || v.ClosedCentres[h.Centre] {
			continue
		}
		if only != "" && h.Release != only || not != "" && h.Release == not {
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// choose returns the only release that the request goes to, or the one that it
// does not go to; both are empty without a roll-out.
func (s *Stager) choose(v *samphireturn.View, pool, name, id string) (only, not string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := v.Rollouts[pool]
	if r == nil {
		s.remember(name, session{})
		return "", ""
	}
	st := s.stage(r)
	there := present(v.Hosts[pool], r.Release)
	moved := there
	switch {
	case st.state == samphireturn.RolloutDone:
	case st.state == samphireturn.RolloutRolledBack || s.dropped(st):
		moved = false
	default:
		moved = there && s.moved(st, name, id)
	}
	s.remember(name, session{release: r.Release, moved: moved})
	if moved {
		return r.Release, ""
	}
	if st.before != "" && present(v.Hosts[pool], st.before) {
		return st.before, ""
	}
	return "", r.Release
}

// moved reports whether a request goes to the release under trial. The caller
// holds mu.
func (s *Stager) moved(st *stage, name, id string) bool {
	share := s.share(st)
	now := s.Clock()
	if last, ok := s.sessions[name]; ok && name != "" && now-last.at < s.SessionTTL {
		if last.release == st.release && last.moved {
			return true
		}
	}
	if name != "" && s.passed(st) < trialEnd {
		return false
	}
	subject := name
	if subject == "" {
		subject = id
	}
	point := float64(xxhash.Sum64String(st.release+"\x00"+subject)) / (1 << 64)
	return point < share
}

// dropped reports whether a release that was found bad gets no more requests
// although this is not written yet. Sessions that have moved go back once it is, at
// all daemons alike, or when it can't be written. The caller holds mu.
func (s *Stager) dropped(st *stage) bool {
	return st.bad && (s.passed(st) < trialEnd || s.Clock()-st.judged > recordTime)
}

// remember notes where a session's request goes. The caller holds mu.
func (s *Stager) remember(name string, last session) {
	if name == "" {
		return
	}
	last.at = s.Clock()
	if len(s.sessions) >= sessionLimit {
		for old, v := range s.sessions {
			if last.at-v.at >= s.SessionTTL {
				delete(s.sessions, old)
			}
		}
		if len(s.sessions) >= sessionLimit {
			return
		}
	}
	s.sessions[name] = last
}

// stage returns the stage of a roll-out, begun when it is first seen. The caller
// holds mu.
func (s *Stager) stage(r *samphireturn.Rollout) *stage {
	st := s.stages[r.Pool]
	if st == nil || st.release != r.Release || ended(st.state) && r.State == samphireturn.RolloutOrdered {
		st = &stage{release: r.Release, started: s.Clock(), length: r.Duration, before: s.before(st, r)}
		st.rates = newRates()
		if !r.Started.IsZero() {
			// Another daemon saw the order first, or this one did before it started anew.
			st.started -= max(0, min(s.Now().Sub(r.Started), r.Duration))
		}
		s.stages[r.Pool] = st
	}
	if !ended(st.state) {
		st.state = r.State
	}
	if r.PreviousRelease != "" {
		// Daemons that saw different ends of the last order go by what was written.
		st.before = r.PreviousRelease
	}
	return st
}

// before returns the release that took the requests before an order, by what a
// daemon wrote or by the order that was replaced. The caller holds mu.
func (s *Stager) before(last *stage, r *samphireturn.Rollout) string {
	switch {
	case r.PreviousRelease != "":
		return r.PreviousRelease
	case last == nil:
		return ""
	case last.release == r.Release:
		return last.before
	case last.state == samphireturn.RolloutDone:
		return last.release
	case last.state == samphireturn.RolloutRolledBack || last.bad || s.share(last) < mostShare:
		return last.before
	}
	return last.release
}

// ended reports whether a roll-out is over.
func ended(state string) bool {
	return state == samphireturn.RolloutDone || state == samphireturn.RolloutRolledBack
}

// passed returns the part of the roll-out's time that has passed.
func (s *Stager) passed(st *stage) float64 {
	if st.length <= 0 {
		return 1
	}
	return float64(s.Clock()-st.started) / float64(st.length)
}

// share returns the part of the sessions that the new release gets now. It only
// rises, so that no session goes back, and stays where it is while little is known
// of the release and it has had its part. The caller holds mu.
func (s *Stager) share(st *stage) float64 {
	passed := s.passed(st)
	trial := s.CanaryShare * exposedShare
	next := trial
	if passed >= trialEnd {
		next = min(trial+(1-trial)*(passed-trialEnd)/(moveEnd-trialEnd), 1)
	}
	if next > st.peak && (st.peak == 0 || s.rises(st)) {
		st.peak = next
	}
	return st.peak
}

// rises reports whether the release may get more: it gave enough good answers, or
// has not had its part of all requests yet. The caller holds mu.
func (s *Stager) rises(st *stage) bool {
	all, trial, bad := 0, 0, 0
	for _, t := range Sum(st.mine, s.others) {
		if t.Release != st.release {
			continue
		}
		all += t.Asked
		if t.New {
			trial += t.Asked
			bad += t.Failed + t.Slow
		}
	}
	proven := trial >= provenAsked && float64(bad) < 0.2*float64(trial)
	exposed := float64(trial) > exposedShare*(s.CanaryShare*float64(all)+s.CanaryExtra)
	return proven || !exposed
}

// present reports whether any endpoint that stays has the release.
func present(hosts []*samphireturn.Host, release string) bool {
	return slices.ContainsFunc(hosts, func(h *samphireturn.Host) bool { return h.Release == release && !h.Leaving })
}
