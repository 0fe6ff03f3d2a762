package forwarder

import (
	"context"
	"sync"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
)

const (
	// maxReachProbes is the number of endpoints that are dialled to find out whether any
	// can be reached.
	maxReachProbes = 3
	// linkCheckTTL is how long the result of such dials is used: a new one is due with each
	// check of a waiting attempt.
	linkCheckTTL = maxCheckInterval
)

// link is what this daemon knows of its own connection to the endpoints. A dial that fails
// says nothing about its endpoint if dials to others fail too.
type link struct {
	mu sync.Mutex
	// reached is the id of an endpoint that could be dialled at checkedAt; empty if none
	// could. checkedAt is zero before the first check.
	reached   string
	checkedAt time.Duration
	// checking is closed when the check that is under way ends; nil if none is.
	checking chan struct{}
	// lostAt is when a check first reached no endpoint; zero if the last one did.
	lostAt time.Duration
}

// LinkLost reports whether new connections to endpoints fail, whichever it is.
func (f *Forwarder) LinkLost() bool {
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	return f.link.lostAt > 0
}

// checkLink returns the id of an endpoint that could be dialled just now, or "" if none of
// up to maxReachProbes could. All callers share one result for linkCheckTTL.
func (f *Forwarder) checkLink(ctx context.Context) string {
	for {
		f.link.mu.Lock()
		if f.link.checkedAt > 0 && f.Clock()-f.link.checkedAt < linkCheckTTL {
			defer f.link.mu.Unlock()
			return f.link.reached
		}
		checking := f.link.checking
		if checking == nil {
			f.link.checking = make(chan struct{})
			f.link.mu.Unlock()
			return f.dialForCheck(ctx)
		}
		f.link.mu.Unlock()
		select {
		case <-checking:
		case <-ctx.Done():
			return ""
		}
	}
}

// reachesOther reports whether any endpoint but h could be dialled just now.
func (f *Forwarder) reachesOther(ctx context.Context, h *samphireturn.Host) bool {
	reached := f.checkLink(ctx)
	if reached == h.ID {
		reached = f.dialAny(ctx, f.drawHosts(maxReachProbes, h))
	}
	return reached != ""
}

// dialForCheck dials endpoints and records the result.
func (f *Forwarder) dialForCheck(ctx context.Context) string {
	hosts := f.drawHosts(maxReachProbes, nil)
	reached := f.dialAny(ctx, hosts)
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	close(f.link.checking)
	f.link.checking = nil
	if ctx.Err() == nil && len(hosts) > 0 {
		f.link.reached, f.link.checkedAt = reached, f.Clock()
		f.setLinkLost(reached == "")
	}
	return reached
}

// setLinkLost records the result of a check. The caller holds link.mu.
func (f *Forwarder) setLinkLost(lost bool) {
	switch {
	case lost && f.link.lostAt == 0:
		f.link.lostAt = f.Clock()
		meter.CountLink(meter.LinkLost)
		f.Log.Warn().Str("event", logger.EventLinkLost).Dur("quiet", f.Balancer.AllSilentFor()).Send()
	case !lost && f.link.lostAt > 0:
		meter.CountLink(meter.LinkRegained)
		f.Log.Info().Str("event", logger.EventLinkRegained).Str("endpoint", f.link.reached).Dur("away", f.Clock()-f.link.lostAt).Send()
		f.link.lostAt = 0
	}
}

// recordReached records that an endpoint could be dialled.
func (f *Forwarder) recordReached(h *samphireturn.Host) {
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	f.link.reached, f.link.checkedAt = h.ID, f.Clock()
	f.setLinkLost(false)
}

// startLinkCheck checks the link in the background, since a dial to an endpoint failed.
func (f *Forwarder) startLinkCheck() {
	f.background(func() { f.checkLink(f.ctx) })
}

// drawHosts returns up to n endpoints that may be dialled, drawn at random from all pools,
// without one that may be nil.
func (f *Forwarder) drawHosts(n int, except *samphireturn.Host) []*samphireturn.Host {
	v := f.currentView()
	if v == nil {
		return nil
	}
	var all []*samphireturn.Host
	for _, hosts := range v.Hosts {
		for _, h := range hosts {
			if (except == nil || h.ID != except.ID) && f.mayProbe(v, h) {
				all = append(all, h)
			}
		}
	}
	n = min(n, len(all))
	for i := range n {
		j := i + int(f.Rand()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// dialAny dials endpoints at the same time and returns the id of the first that accepts, or
// "".
func (f *Forwarder) dialAny(ctx context.Context, hosts []*samphireturn.Host) string {
	ctx, cancel := context.WithCancel(ctx)
	var probes sync.WaitGroup
	defer probes.Wait()
	defer cancel()
	results := make(chan string, len(hosts))
	for _, h := range hosts {
		probes.Go(func() {
			if f.Sender.Probe(ctx, h) != nil {
				results <- ""
				return
			}
			results <- h.ID
		})
	}
	for range hosts {
		if id := <-results; id != "" {
			return id
		}
	}
	return ""
}
