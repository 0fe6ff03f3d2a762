package balancer

import (
	"maps"
	"time"

	"samphireturn"
)

const (
	// maxSuspectTime is how long an endpoint that answered as another instance is not used, and a
	// group is suspect once two endpoints of it have. A list of endpoints without the old
	// instances arrives within 2 s.
	maxSuspectTime = 3 * time.Second
	// loneSuspectTime is how long a group is suspect after one endpoint of it answered so: that
	// endpoint may have restarted alone, or may reject one kind of request.
	loneSuspectTime = 500 * time.Millisecond
	// confirmingEndpoints is the number of endpoints of a group by whose answers the others are
	// taken to be gone or, if the addressed instances answer, to be there.
	confirmingEndpoints = 2
)

// Levels of trust in an endpoint, from the least.
const (
	// trustNone is that of an endpoint that answered as another instance.
	trustNone trust = iota
	// trustSuspect is that of an endpoint whose group is suspect.
	trustSuspect
	// trustFull is that of all others.
	trustFull
)

type (
	// trust is whether an endpoint is assumed to be the listed instance.
	trust int

	// presence is what tells whether the listed instance of an endpoint is there.
	presence struct {
		// entry is the endpoint's entry, and listedAt when it was first considered with this
		// content. Both are recorded only while there is a suspicion of its group.
		entry    *samphireturn.Host
		listedAt time.Duration
		// activeAt is when the instance last sent anything, and misdirectedAt when another one
		// last answered in its place; zero if never or if the instance answered since.
		activeAt, misdirectedAt time.Duration
	}

	// groupKey identifies the endpoints of a pool in a data centre, which restart together.
	groupKey struct{ pool, centre string }

	// suspicion is that the instances of a group are gone.
	suspicion struct {
		// sentAt is when the last request was sent that another instance answered, and
		// observedAt when the answer came. The suspicion lasts until the time until.
		sentAt, observedAt, until time.Duration
		// misdirected is the number of endpoints in whose place other instances answered, and
		// answered that of the suspect ones that have answered themselves since.
		misdirected, answered int
	}

	// suspectGroup is the data centre of a group of the request's pool, with its suspicion.
	suspectGroup struct {
		centre    string
		suspicion *suspicion
	}

	// caution is what a choice takes into account of suspicions: the groups that are or were
	// suspect, the trust that an endpoint needs now, and the least that it may need if there is no
	// other. It is empty if there are no such groups.
	caution struct {
		groups        []suspectGroup
		needed, least trust
	}

	// Suspicion tells what an answer changed about the group of its endpoint.
	Suspicion struct {
		// Misdirected is true if another instance answered in place of the endpoint, and Length
		// is how long the group is suspect from now.
		Misdirected bool
		Length      time.Duration
		// Began is true if the group was not suspect before, Confirmed if enough endpoints
		// have now answered so, and Ended if enough suspect ones have answered themselves.
		Began, Confirmed, Ended bool
	}
)

// observePresence records by the head of the answer whether the listed instance of the endpoint
// is there. The caller holds mu.
func (r *Reservation) observePresence(e *endpoint, misdirected bool, now time.Duration) Suspicion {
	p, b := &e.presence, r.balancer
	if misdirected {
		return r.suspect(p, now)
	}
	var s *suspicion
	if len(b.suspicions) > 0 {
		s = b.suspicions[groupKey{r.Host.Pool, r.Host.Centre}]
	}
	confirms := s != nil && s.active(now) && r.sentAt >= s.sentAt && p.trust(s, now) < trustFull
	p.activeAt, p.misdirectedAt = now, 0
	if !confirms {
		return Suspicion{}
	}
	if s.answered++; s.answered < confirmingEndpoints {
		return Suspicion{}
	}
	s.until, s.misdirected, s.answered = now, 0, 0
	return Suspicion{Ended: true}
}

// suspect records that another instance answered in place of the endpoint. The caller holds mu.
func (r *Reservation) suspect(p *presence, now time.Duration) Suspicion {
	b, key := r.balancer, groupKey{r.Host.Pool, r.Host.Centre}
	s := b.suspicions[key]
	if s == nil || s.expired(now) {
		s = new(suspicion)
		b.suspicions[key] = s
	}
	for _, h := range r.request.Hosts {
		if h.Centre == key.centre {
			b.endpoint(h).presence.list(h, r.sentAt)
		}
	}
	result := Suspicion{Misdirected: true, Began: !s.active(now)}
	if !p.misdirected(now) {
		s.misdirected++
		result.Confirmed = s.misdirected == confirmingEndpoints
	}
	if p.listedAt <= r.sentAt {
		p.misdirectedAt = now
	}
	s.sentAt, s.observedAt, s.answered = max(s.sentAt, r.sentAt), now, 0
	length := loneSuspectTime
	if s.misdirected >= confirmingEndpoints {
		length = maxSuspectTime
	}
	s.until = max(s.until, now+length)
	result.Length = s.until - now
	return result
}

// active reports whether the group is suspect.
func (s *suspicion) active(now time.Duration) bool { return now < s.until }

// expired reports whether no endpoint of the group is suspect or taken to be gone.
func (s *suspicion) expired(now time.Duration) bool { return now-s.observedAt >= maxSuspectTime }

// misdirected reports whether another instance answered in place of the endpoint lately and its
// entry has not changed since.
func (p *presence) misdirected(now time.Duration) bool {
	return p.misdirectedAt > 0 && now-p.misdirectedAt < maxSuspectTime && p.listedAt <= p.misdirectedAt
}

// trust returns the trust in an endpoint by the suspicion of its group.
func (p *presence) trust(s *suspicion, now time.Duration) trust {
	switch {
	case p.misdirected(now):
		return trustNone
	case s.active(now) && p.activeAt < s.sentAt && p.listedAt <= s.sentAt:
		return trustSuspect
	}
	return trustFull
}

// list records the entry by which an endpoint is considered. One that is new or has changed was
// written by an instance that is there.
func (p *presence) list(h *samphireturn.Host, now time.Duration) {
	if p.entry == h {
		return
	}
	if p.entry == nil || *p.entry != *h {
		p.listedAt = now
	}
	p.entry = h
}

// considerSuspicions begins a choice. An endpoint that is suspect is chosen only if no other is
// usable. One in whose place another instance answered is chosen only if there are none but
// suspect ones, as it would reject the request again. The caller holds mu.
func (b *Balancer) considerSuspicions(req *Request, now time.Duration) {
	c := &b.caution
	c.groups, c.needed, c.least = c.groups[:0], trustNone, trustNone
	for key, s := range b.suspicions {
		if key.pool == req.Pool.Name && !s.expired(now) {
			c.groups = append(c.groups, suspectGroup{key.centre, s})
		}
	}
	if len(c.groups) == 0 {
		return
	}
	c.needed = trustSuspect
	for _, h := range req.Hosts {
		if b.trust(h, b.endpoint(h), now) == trustFull {
			c.needed, c.least = trustFull, trustSuspect
			return
		}
	}
}

// relax lowers the trust that an endpoint needs by one level, and reports whether that is
// possible. The caller holds mu.
func (b *Balancer) relax() bool {
	if b.caution.needed <= b.caution.least {
		return false
	}
	b.caution.needed--
	return true
}

// trust returns the trust in an endpoint. The caller holds mu.
func (b *Balancer) trust(h *samphireturn.Host, e *endpoint, now time.Duration) trust {
	e.presence.list(h, now)
	for _, g := range b.caution.groups {
		if g.centre == h.Centre {
			return e.presence.trust(g.suspicion, now)
		}
	}
	return trustFull
}

// trusts reports whether an endpoint has the trust that the choice needs. The caller holds mu.
func (b *Balancer) trusts(h *samphireturn.Host, e *endpoint, now time.Duration) bool {
	return len(b.caution.groups) == 0 || b.trust(h, e, now) >= b.caution.needed
}

// retainSuspicions forgets those that have expired. The caller holds mu.
func (b *Balancer) retainSuspicions(now time.Duration) {
	maps.DeleteFunc(b.suspicions, func(_ groupKey, s *suspicion) bool { return s.expired(now) })
}
