package balancer

import (
	"time"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

const (
	// coldShare is the requests a second that one daemon sends to a cold endpoint.
	// Half of what the endpoint bears is used, since daemons that are cut off or new
	// know other members and may count themselves among the senders too.
	coldShare = 2.0
	// coldPart is the rate an endpoint bears for each daemon that sends to it.
	coldPart = 2.5
	// coldMargin keeps the gap between two sends longer than the rate asks for.
	coldMargin = 1.04
)

// admits reports whether an endpoint may get a request of this daemon now. A cold
// one gets requests from the few daemons that come first in rank for it, so that
// the bound on all of them holds whatever their number.
func (b *Balancer) admits(h *samphireturn.Host, l *load, w *Want, now time.Duration) bool {
	if now >= l.coldUntil || w.Pool.WarmUpRate <= 0 {
		return true
	}
	if now < l.coldNext {
		return false
	}
	return ranker.InTop("cold/"+h.ID, w.Members, b.Self, max(1, int(w.Pool.WarmUpRate/coldPart)))
}

// coldGap is the time between two requests of one daemon to a cold endpoint.
func coldGap(rate float64) time.Duration {
	return time.Duration(coldMargin / min(coldShare, max(rate, 0.1)) * float64(time.Second))
}
