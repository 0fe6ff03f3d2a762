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
	return e.sender.is(h, req, b.Self)
}

// sender tells whether a daemon sends to an endpoint that is warming up. The answer is
// kept while the member list is the same: it takes the hash of many members.
type sender struct {
	members  *samphireturn.VM
	count    int
	senders  int
	isSender bool
}

// is reports whether the daemon self is among those that rank highest for the endpoint.
func (s *sender) is(h *samphireturn.Host, req *Request, self string) bool {
	if len(req.Members) == 0 {
		return false
	}
	senders := max(1, int(req.Pool.WarmUpRate/warmUpRatePerSender))
	if s.members != &req.Members[0] || s.count != len(req.Members) || s.senders != senders {
		*s = sender{&req.Members[0], len(req.Members), senders, ranker.InTop("cold/"+h.ID, req.Members, self, senders)}
	}
	return s.isSender
}

// warmUpInterval returns the least time between two requests of one daemon to an
// endpoint that is warming up at the rate per second.
func warmUpInterval(rate float64) time.Duration {
	return time.Duration(warmUpIntervalMargin / min(warmUpSendRate, max(rate, 0.1)) * float64(time.Second))
}
