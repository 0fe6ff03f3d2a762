package balancer

import (
	"time"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

const (
	// warmUpSendRate bounds the requests per second that one daemon sends to an
	// endpoint that is warming up. It is below warmUpRatePerSender, so that a part of
	// what the endpoint can take stays unused: daemons that are partitioned or new
	// know other members and may count themselves among the senders too.
	warmUpSendRate = 2.0
	// warmUpRatePerSender is the part of an endpoint's WarmUpRate, in requests per
	// second, that is set aside for each daemon that sends to it.
	warmUpRatePerSender = 2.5
	// warmUpIntervalMargin lengthens the interval between two requests beyond the
	// inverse of the rate.
	warmUpIntervalMargin = 1.04
)

// admits reports whether this daemon may send a request to an endpoint now. During
// warm-up only the few daemons that rank highest for the endpoint send to it, so
// that WarmUpRate holds for any number of daemons.
func (b *Balancer) admits(h *samphireturn.Host, e *endpoint, req *Request, now time.Duration) bool {
	if now >= e.warmUpUntil || req.Pool.WarmUpRate <= 0 {
		return true
	}
	if now < e.nextWarmUpSend {
		return false
	}
	return ranker.InTop("cold/"+h.ID, req.Members, b.Self, max(1, int(req.Pool.WarmUpRate/warmUpRatePerSender)))
}

// warmUpInterval returns the least time between two requests of one daemon to an
// endpoint that is warming up at the rate per second.
func warmUpInterval(rate float64) time.Duration {
	return time.Duration(warmUpIntervalMargin / min(warmUpSendRate, max(rate, 0.1)) * float64(time.Second))
}
