package balancer

import (
	"strconv"
	"time"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

const (
	// minLimitRate is the rate in requests per second at which an endpoint is used that
	// names a lower one or zero: only an answer tells that a limit is over.
	minLimitRate = 0.1
	// limitIntervalMargin lengthens the interval between two requests beyond the inverse of
	// the rate.
	limitIntervalMargin = 1.04
	// minLimitTTL is the least time for which it is known that a limit holds or is over
	// after an answer last told it.
	minLimitTTL = 10 * time.Second
	// limitTTLIntervals is that time in intervals between two requests of one sender.
	limitTTLIntervals = 3
	// unheardDaemonFactor allows for daemons that a daemon without news of the limit does
	// not know.
	unheardDaemonFactor = 1.5
)

type (
	// Limit is what an answer of an endpoint told about its limit, as daemons tell each
	// other.
	Limit struct {
		// Limited is false if the endpoint no longer names a limit.
		Limited bool `cbor:"1,keyasint,omitempty"`
		// Rate is in requests per second.
		Rate float64 `cbor:"2,keyasint,omitempty"`
		// Age is the time since the answer.
		Age time.Duration `cbor:"3,keyasint,omitempty"`
	}

	// Limits holds the limits of endpoints by the key of their instances.
	Limits map[EndpointKey]Limit

	// LimitChange is a limit of an endpoint that began, changed or ended.
	LimitChange struct {
		ID string
		// Rate and Before are in requests per second, and 0 if there is no limit.
		Rate, Before float64
		Limited      bool
	}

	// limit is the rate of requests that an endpoint takes from all daemons together, as
	// its answers name it.
	//
	// A few daemons, the senders, share the rate; the others send nothing. So it is kept by
	// any number of daemons without a message for each request, and also while they can't
	// reach each other. The senders' answers tell when the limit is over, and daemons
	// exchange that with their loads.
	limit struct {
		// own is what the last answer to this daemon told, and heard what the last one to
		// any other did.
		own, heard observation
		// endedAt is when an answer last ended a limit, here or elsewhere; zero if none has.
		endedAt time.Duration
		// begunAt is when the limit became known, and phase the share of the first interval
		// after which this daemon first sends.
		begunAt time.Duration
		phase   float64
		// sentAt is when this daemon last sent a request under the limit; zero if it has
		// not.
		sentAt time.Duration
	}

	// limitShare is this daemon's part in the rate of an endpoint. It is kept while the
	// member list and the rate are the same: it takes the hash of many members.
	limitShare struct {
		members *samphireturn.VM
		count   int
		rate    float64
		// senders is the number of senders; isSender is true if this daemon is one.
		senders  int
		isSender bool
	}

	// observation is what an answer told at a time; at is zero if there was none.
	observation struct {
		limited bool
		rate    float64
		at      time.Duration
	}
)

// current returns the newest observation.
func (l *limit) current() observation {
	if l.heard.at > l.own.at {
		return l.heard
	}
	return l.own
}

// active reports whether the endpoint named a limit and no later answer lacked one.
func (l *limit) active() bool { return l.current().limited }

// confirmed reports whether a recent answer named a limit.
func (l *limit) confirmed(now time.Duration) bool {
	o := l.current()
	return o.limited && now-o.at < o.ttl()
}

// rateOrZero returns the rate, or 0 if there is no limit.
func (o observation) rateOrZero() float64 {
	if !o.limited {
		return 0
	}
	return o.rate
}

// usedRate returns the rate at which the endpoint is used.
func (o observation) usedRate() float64 { return max(o.rate, minLimitRate) }

// ttl returns the time after which the observation no longer tells whether there is a
// limit.
func (o observation) ttl() time.Duration {
	interval := time.Duration((1/o.usedRate() + 1) * float64(time.Second))
	return max(minLimitTTL, limitTTLIntervals*interval)
}

// observe applies an observation and reports whether the limit began, changed or ended.
func (l *limit) observe(target *observation, o observation, phase float64) (before observation, changed bool) {
	before = l.current()
	if o.at <= target.at {
		return before, false
	}
	*target = o
	after := l.current()
	switch {
	case after.limited && !before.limited:
		l.begunAt, l.phase, l.sentAt = after.at, phase, 0
	case !after.limited && before.limited:
		l.endedAt = after.at
	}
	return before, after.limited != before.limited || after.limited && after.rate != before.rate
}

// SetLimit records the rate of requests per second that an endpoint named in an answer. It
// returns the rate that held before, or 0, and whether that differs.
func (b *Balancer) SetLimit(h *samphireturn.Host, rate float64) (before float64, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(h)
	if h.Started < e.started {
		// The instance that named it is gone.
		return 0, false
	}
	known, changed := e.limit.observe(&e.limit.own, observation{limited: true, rate: rate, at: b.Clock()}, b.Rand())
	return known.rateOrZero(), changed
}

// observeHead ends the limit if an answer to a request sent at the time sentAt names none,
// and reports whether there was one. Answers to requests sent before the limit was named may
// arrive after it. For some time after the end, each answer confirms it.
func (l *limit) observeHead(meta samphireturn.ResponseMeta, sentAt, now time.Duration) (ended bool) {
	o := l.current()
	if meta.HasLimit || meta.MalformedLimit != "" || !meta.HasSeal || sentAt <= o.at || !l.recent(o, now) {
		return false
	}
	_, ended = l.observe(&l.own, observation{at: now}, 0)
	return ended
}

// recent reports whether there is a limit or was one lately.
func (l *limit) recent(o observation, now time.Duration) bool {
	return o.limited || l.endedAt > 0 && now-l.endedAt < o.ttl()
}

// LocalLimits returns what answers to this daemon told of limits.
func (b *Balancer) LocalLimits() Limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	var all Limits
	for id, e := range b.endpoints {
		o := e.limit.own
		if o.at == 0 || o != e.limit.current() || now-o.at >= o.ttl() || !e.limit.recent(o, now) {
			continue
		}
		if all == nil {
			all = make(Limits)
		}
		all[instanceKey(id, e.started)] = Limit{Limited: o.limited, Rate: o.rate, Age: now - o.at}
	}
	return all
}

// SetRemoteLimits applies what answers to other daemons told of limits, and returns what
// changed by it. A limit that is not told holds on.
func (b *Balancer) SetRemoteLimits(all Limits) []LimitChange {
	if len(all) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	var changes []LimitChange
	for id, e := range b.endpoints {
		told, ok := all[instanceKey(id, e.started)]
		if !ok {
			continue
		}
		o := observation{limited: told.Limited, rate: told.Rate, at: now - max(told.Age, 0)}
		if before, changed := e.limit.observe(&e.limit.heard, o, b.Rand()); changed {
			after := e.limit.current()
			changes = append(changes, LimitChange{ID: id, Rate: after.rateOrZero(), Before: before.rateOrZero(), Limited: after.limited})
		}
	}
	return changes
}

// Add adds what other daemons told some time ago; of two limits of an endpoint the newer one
// holds.
func (l Limits) Add(other Limits, ago time.Duration) {
	for key, o := range other {
		o.Age += ago
		if known, ok := l[key]; !ok || o.Age < known.Age {
			l[key] = o
		}
	}
}

// instanceKey returns the key of the instance of an endpoint that started at a time.
func instanceKey(id string, started int64) EndpointKey {
	return KeyOf(id + "@" + strconv.FormatInt(started, 10))
}

// limitWait returns the time until this daemon may send a request to an endpoint by its
// limit, and whether it may do so at all.
func (b *Balancer) limitWait(h *samphireturn.Host, e *endpoint, req *Request, now time.Duration) (wait time.Duration, ok bool) {
	o := e.limit.current()
	if !o.limited {
		return 0, true
	}
	rate := o.usedRate()
	e.limitShare.update(h, req.Members, b.Self, rate)
	interval := limitInterval(rate, e.limitShare.senders)
	if e.limitShare.isSender {
		return max(e.limit.next(interval)-now, 0), true
	}
	if now-o.at < o.ttl() {
		return interval, false
	}
	// Nobody tells whether the limit still holds: the senders are out of reach or have no
	// requests.
	interval = limitInterval(rate, max(len(req.Members), 1))
	interval = time.Duration(unheardDaemonFactor * float64(interval))
	first := o.at + o.ttl() + time.Duration(e.limit.phase*float64(interval))
	return max(e.limit.next(interval)-now, first-now, 0), true
}

// update sets the share of the daemon self in the rate of an endpoint. The senders are in
// the endpoint's data centre if any daemon is: others would use it only once those there are
// busy, and would not learn for long that the limit is over.
func (s *limitShare) update(h *samphireturn.Host, members []samphireturn.VM, self string, rate float64) {
	if len(members) == 0 {
		*s = limitShare{senders: 1}
		return
	}
	if s.members == &members[0] && s.count == len(members) && s.rate == rate {
		return
	}
	candidates := ranker.InCentre(h.Centre, members)
	if len(candidates) == 0 {
		candidates = members
	}
	senders := 1 + int(min(rate, float64(len(candidates)-1)))
	*s = limitShare{&members[0], len(members), rate, senders, ranker.InTop("limit/"+h.ID, candidates, self, senders)}
}

// admitsByLimit reports whether this daemon may send a request to an endpoint now, by the
// endpoint's limit.
func (b *Balancer) admitsByLimit(h *samphireturn.Host, e *endpoint, req *Request, now time.Duration) bool {
	wait, ok := b.limitWait(h, e, req, now)
	return ok && wait == 0
}

// next returns when a daemon that sends a request each interval may send the next one.
func (l *limit) next(interval time.Duration) time.Duration {
	if l.sentAt > 0 {
		return l.sentAt + interval
	}
	return l.begunAt + time.Duration(l.phase*float64(interval))
}

// limitInterval returns the time between two requests of one of the daemons that share a
// rate in requests per second.
func limitInterval(rate float64, daemons int) time.Duration {
	return time.Duration(limitIntervalMargin * float64(daemons) / rate * float64(time.Second))
}
