package balancer

import (
	"time"

	"samphireturn"
)

const (
	// MaxPause bounds a pause. An endpoint that asks for a longer one is tried again after
	// this time, by maxTrials requests of each daemon.
	MaxPause = time.Hour
	// pauseJitterShare, minPauseJitter and maxPauseJitter give the time after the end of a
	// pause over which the daemons of the fleet spread their return: a share of the pause
	// within bounds.
	pauseJitterShare = 0.25
	minPauseJitter   = 100 * time.Millisecond
	maxPauseJitter   = 2 * time.Second
	// maxTrials bounds this daemon's requests in flight at an endpoint after its pause,
	// until it has run one.
	maxTrials = 2
)

// pause is a time in which an endpoint asked this daemon for no requests, and the trial
// after it.
type pause struct {
	// until is the end, and jitter the share of the spread that it includes.
	until  time.Duration
	jitter float64
	// number counts the pauses so far.
	number int
	// onTrial is true from the beginning of the pause until a request that was sent after
	// it was run, and trials the number of requests in flight that were sent meanwhile.
	onTrial bool
	trials  int
}

// Pause keeps all requests of this daemon from an endpoint for the duration d, at most
// MaxPause, and a jitter. It returns the time until the end of the pause, and whether that
// differs much from what was known.
func (b *Balancer) Pause(h *samphireturn.Host, d time.Duration) (left time.Duration, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	e := b.endpoint(h)
	if h.Started < e.started {
		// The instance that asked for it is gone.
		return 0, false
	}
	p := &e.pause
	if now >= p.until {
		// Answers to requests that were sent together extend a pause, but draw no other
		// jitter: the greatest of many draws would be much the same at all daemons.
		p.jitter = b.Rand()
		p.number++
		p.trials = 0
	}
	d = min(d, MaxPause)
	spread := min(max(time.Duration(pauseJitterShare*float64(d)), minPauseJitter), maxPauseJitter)
	until := now + d + time.Duration(p.jitter*float64(spread))
	changed = now >= p.until || until > p.until+minPauseJitter
	p.until = max(p.until, until)
	p.onTrial = true
	return p.until - now, changed
}

// Paused reports whether an endpoint is paused.
func (b *Balancer) Paused(h *samphireturn.Host) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoint(h).pause.active(b.Clock())
}

// AvailableIn returns the time until the first of a request's endpoints is to be tried
// again, if all that can be reached are paused or limited, and whether a limit binds there.
// It is 0 if an endpoint is on trial. For a limit by which other daemons send, it is the
// time between two of their requests.
func (b *Balancer) AvailableIn(req *Request) (left time.Duration, limited, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	for _, h := range req.Hosts {
		e := b.endpoint(h)
		if e.unreachable || e.presence.misdirected(now) {
			continue
		}
		limitWait, maySend := b.limitWait(h, e, req, now)
		if e.pause.admits(now) && maySend && limitWait == 0 {
			return 0, false, false
		}
		pauseWait := max(e.pause.until-now, 0)
		if wait := max(pauseWait, limitWait); !ok || wait < left {
			left, limited, ok = wait, limitWait > pauseWait, true
		}
	}
	return left, limited, ok
}

// active reports whether requests are kept from the endpoint.
func (p *pause) active(now time.Duration) bool { return now < p.until }

// admits reports whether a request may be sent.
func (p *pause) admits(now time.Duration) bool {
	return !p.active(now) && (!p.onTrial || p.trials < maxTrials)
}

// startTrial counts a request as sent, and returns the number of the pause after which it
// is a trial, or 0 if it is none.
func (p *pause) startTrial() int {
	if !p.onTrial {
		return 0
	}
	p.trials++
	return p.number
}

// finishTrial counts a request for which startTrial returned number as no longer in flight.
func (p *pause) finishTrial(number int) {
	if number > 0 && number == p.number {
		p.trials--
	}
}

// endTrial ends the trial of an endpoint that ran a request sent at the time sentAt, and
// reports whether there was one.
func (p *pause) endTrial(sentAt time.Duration) bool {
	ended := p.onTrial && sentAt >= p.until
	if ended {
		p.onTrial = false
	}
	return ended
}
