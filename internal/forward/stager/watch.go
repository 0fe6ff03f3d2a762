package stager

import "time"

const (
	// maxWatchStep is the longest time between two assessments of a roll-out that counts as
	// watched: in a longer one, the daemon was suspended or stopped.
	maxWatchStep = time.Second
	// unseenRequests is added to a count of requests, so that the rate that follows is
	// exceeded in one case of twenty if none was counted.
	unseenRequests = 3
)

// watch is for how long the fleet's daemons have counted the requests of a roll-out. A daemon
// that has just started, or is cut off from the others, has counted few requests however many
// there are: what it has not seen says nothing.
type watch struct {
	// fleet is the number of daemons that are listed, and daemons that of those whose counts
	// are known, this one included.
	fleet, daemons int
	// total is the sum of their times.
	total time.Duration
}

// watch returns for how long the daemons have watched a roll-out, up to now. The caller holds
// mu.
func (s *Stager) watch(ro *rollout) watch {
	now := s.Clock()
	ro.watched += min(now-ro.watchedAt, maxWatchStep)
	ro.watchedAt = now
	w := watch{fleet: 1, daemons: 1, total: ro.watched}
	if s.Fleet != nil {
		w.fleet = s.Fleet()
	}
	for _, t := range s.remote {
		if t.Canary && t.Pool == ro.pool && t.Release == ro.release {
			w.daemons += t.Daemons
			w.total += t.Watched
		}
	}
	w.fleet = max(w.fleet, w.daemons)
	return w
}

// broad reports whether the counts stand for the whole fleet and for the load of now: half of
// the daemons tell theirs and have counted for verdictTime on average.
func (w watch) broad() bool {
	return 2*w.daemons >= w.fleet && w.total >= time.Duration(w.daemons)*verdictTime
}

// expect returns how many requests the whole fleet gets in a time at most, if these daemons
// have counted n.
func (w watch) expect(n float64, in time.Duration) float64 {
	rate := (n + unseenRequests) / float64(max(w.total, 1))
	return rate * float64(w.fleet) * float64(in)
}

// sinceOrder returns how many requests came since the order of a roll-out, which was the
// elapsed time ago, if the daemons have counted n of them while they watched: counts are lost
// with the daemons that made them.
func (w watch) sinceOrder(n float64, elapsed time.Duration) float64 {
	return n * max(1, float64(w.daemons)*float64(elapsed)/float64(max(w.total, 1)))
}
