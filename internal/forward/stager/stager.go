// Package stager decides which release of a pool a request may go to while a
// roll-out is under way, and when the roll-out is done or taken back.
package stager

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// Shares of a roll-out by the part of its time that has passed.
const (
	// trialEnd is when sessions may move: never in the first half.
	trialEnd = 0.5
	// moveEnd is when the new release takes all, so that work on the old one ends
	// before the deadline.
	moveEnd = 0.65
)

type (
	// Stager is safe for concurrent use. Set the exported fields before the first
	// call.
	Stager struct {
		// Clock counts suspensions too.
		Clock func() time.Duration
		// Share is the part of a pool's requests that a release under trial gets.
		Share float64

		mu    sync.Mutex
		pools map[string]*stage
	}

	// stage is the roll-out of one pool as this daemon sees it.
	stage struct {
		release string
		since   time.Duration
		state   string
		// base holds the releases that took all requests before.
		base map[string]bool
	}
)

// New returns a stager.
func New(clock func() time.Duration, share float64) *Stager {
	return &Stager{Clock: clock, Share: share, pools: make(map[string]*stage)}
}

// Hosts returns the endpoints of a pool that a request about the subject may go
// to.
func (s *Stager) Hosts(v *samphireturn.View, pool, subject string) []*samphireturn.Host {
	release, wanted := s.choose(v, pool, subject)
	var hosts []*samphireturn.Host
	for _, h := range v.Hosts[pool] {
		if h.Leaving || v.Closed[h.Centre] {
			continue
		}
		if release != "" && (h.Release == release) != wanted {
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// choose returns a release and whether the request goes to it or to the others;
// an empty release stands for all.
func (s *Stager) choose(v *samphireturn.View, pool, subject string) (release string, wanted bool) {
	r := v.Rollouts[pool]
	if r == nil {
		return "", false
	}
	switch r.State {
	case samphireturn.RolloutDone:
		return r.Release, present(v.Hosts[pool], r.Release)
	case samphireturn.RolloutRolledBack:
		return r.Release, false
	}
	point := float64(xxhash.Sum64String(r.Release+"\x00"+subject)) / (1 << 64)
	return r.Release, point < s.share(r) && present(v.Hosts[pool], r.Release)
}

// share returns the part of the pool's requests that the new release gets now.
func (s *Stager) share(r *samphireturn.Rollout) float64 {
	passed := s.passed(r)
	switch {
	case passed < trialEnd:
		return s.Share
	case passed < moveEnd:
		return s.Share + (1-s.Share)*(passed-trialEnd)/(moveEnd-trialEnd)
	}
	return 1
}

// passed returns the part of the roll-out's time that has passed.
func (s *Stager) passed(r *samphireturn.Rollout) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.pools[r.Pool]
	if st == nil || st.release != r.Release {
		st = &stage{release: r.Release, since: s.Clock()}
		s.pools[r.Pool] = st
	}
	if r.Length <= 0 {
		return 0
	}
	return float64(s.Clock()-st.since) / float64(r.Length)
}

// present reports whether any endpoint that stays has the release.
func present(hosts []*samphireturn.Host, release string) bool {
	return slices.ContainsFunc(hosts, func(h *samphireturn.Host) bool { return h.Release == release && !h.Leaving })
}
