package granter

import (
	"slices"
	"time"
)

const (
	// never is before any reading of the clock.
	never = -1 << 62
	// millisecond is in nanoseconds, as the clock is.
	millisecond = int64(time.Millisecond)
)

type (
	// borrower is a daemon that asks this one.
	borrower struct {
		instance uint32
		seq      uint64
		// stamp is our clock in the last answer that the daemon had when it asked.
		stamp int64
		// heard is our clock at its last ask.
		heard int64
		needs map[uint32]Need
		sent  map[uint32]int64
	}

	// book is an endpoint that this daemon is home of.
	book struct {
		p *place
		// since is when this daemon began to be asked by a majority without a
		// break, 0 if it is not; until is when that majority ends.
		since, until int64
		ramp         ramp
		shares       map[string]*share
	}

	// share is what one daemon may have under way at an endpoint.
	share struct {
		// out is the work beyond the grant that the daemon last told.
		out int64
		// grant is the last grant; peak the highest that may still be in force or
		// in use.
		grant, peak int64
		// told is true once the daemon has told all its work, since the book began.
		told bool
		// held is true once the daemon has told that it had a grant of ours.
		held bool
		// until is when the last grant lapses at the latest.
		until int64
	}
)

// keepBooks opens and closes books as this daemon becomes home or ceases to
// be. A new book knows nothing of what was granted before, so that all daemons
// must tell their work in full. The caller holds mu.
func (g *Granter) keepBooks(now int64) {
	for key, b := range g.books {
		if p := g.places[key]; p != b.p || p.home != g.self.ID {
			delete(g.books, key)
		}
	}
	for key, p := range g.places {
		if p.home != g.self.ID || g.books[key] != nil {
			continue
		}
		g.books[key] = &book{p: p, ramp: newRamp(p.e, now), shares: make(map[string]*share)}
		regimes.Add("home", 1)
	}
	for id, b := range g.borrowers {
		if now-b.heard > int64(forgetTime) && !slices.Contains(g.view.listed, id) {
			delete(g.borrowers, id)
			for _, k := range g.books {
				delete(k.shares, id)
			}
		}
	}
}

// answer returns the grants for an ask. The caller holds mu.
func (g *Granter) answer(from string, in *Ask, now int64) *Answer {
	for _, k := range g.books {
		g.breakMajority(k, now)
	}
	b := g.meet(from, in)
	b.heard = now
	g.view.hear(in.Daemons, now)
	out := &Answer{Instance: g.instance, Stamp: now / millisecond, Daemons: len(g.view.listed)}
	if in.Home == g.instance {
		b.stamp = min(in.Stamp*millisecond, now)
	}
	if !in.Full && (in.Home != g.instance || in.Seq != b.seq) {
		reasons.Add("resync", 1)
		// The daemon forgets our grants, so that its next ask tells all its work.
		b.needs, b.sent = nil, nil
		b.seq++
		out.Seq, out.Resync = b.seq, true
		return out
	}
	acked := in.Home == g.instance && in.Seq == b.seq
	if in.Full {
		b.needs = make(map[uint32]Need, len(in.Needs))
		out.Full = true
	}
	for _, need := range in.Needs {
		b.needs[need.Key] = need
	}
	b.seq++
	out.Seq = b.seq
	g.lend(from, b, acked, out, now)
	return out
}

// meet returns the borrower; a new process of it has no work under way.
func (g *Granter) meet(from string, in *Ask) *borrower {
	b := g.borrowers[from]
	if b != nil && b.instance == in.Instance {
		return b
	}
	b = &borrower{instance: in.Instance, stamp: never}
	g.borrowers[from] = b
	for _, k := range g.books {
		delete(k.shares, from)
	}
	return b
}

// lend fills an answer with the grants for all needs of a borrower.
func (g *Granter) lend(from string, b *borrower, acked bool, out *Answer, now int64) {
	life := int64(Life)
	works := make(map[uint32]int64, len(b.needs))
	for key, need := range b.needs {
		k := g.books[key]
		if k == nil {
			works[key] = workNone
			continue
		}
		if !k.hear(from, need, acked, b.sent) {
			works[key] = workTell
			continue
		}
		works[key] = g.lendOne(k, from, now)
		if works[key] >= 0 {
			life = min(life, k.until-now)
		}
	}
	// Whole milliseconds, rounded down.
	out.Life = life / millisecond
	for key, work := range works {
		if work >= 0 {
			g.books[key].shares[from].until = now + life
		}
		if old, ok := b.sent[key]; out.Full || !ok || old != work {
			out.Grants = append(out.Grants, Grant{Key: key, Work: work})
		}
	}
	slices.SortFunc(out.Grants, func(x, y Grant) int { return int(int64(x.Key) - int64(y.Key)) })
	b.sent = works
}

// hear takes a need into the book. Once the daemon has told that it has the
// last grant, earlier and larger ones count no more. It returns false while the
// daemon has not told all its work.
func (k *book) hear(from string, need Need, acked bool, sent map[uint32]int64) bool {
	s := k.shares[from]
	if s == nil {
		s = new(share)
		k.shares[from] = s
	}
	s.out = need.Out
	work, ok := sent[need.Key]
	if acked && ok && work >= 0 {
		s.peak, s.held = work, true
	}
	s.told = s.told || acked && ok && work == workTell
	k.ramp.refused = k.ramp.refused || need.Cold
	return s.told
}

// lendSelf renews this daemon's own grants and moves the warm-ups on. The
// caller holds mu.
func (g *Granter) lendSelf(now int64) {
	for _, k := range g.books {
		p := k.p
		g.breakMajority(k, now)
		g.warmUp(k, now)
		s := k.shares[g.self.ID]
		if s == nil {
			s = &share{told: true, held: true}
			k.shares[g.self.ID] = s
		}
		s.out = p.e.Quota.Outstanding.Load()
		s.peak = 0
		work := g.lendOne(k, g.self.ID, now)
		p.put(g.self.ID, work, now, min(now+int64(Life), k.until))
	}
}

// breakMajority notes that the majority of a book has ended.
func (g *Granter) breakMajority(k *book, now int64) {
	if k.until > now {
		return
	}
	k.since = 0
	for id, s := range k.shares {
		s.held = id == g.self.ID
	}
}

// lendOne returns the grant of one daemon, which adds to what it may have under
// way. The caller holds mu.
func (g *Granter) lendOne(k *book, id string, now int64) int64 {
	k.until = g.majority(k, now)
	if k.until <= now {
		return workNone
	}
	if k.since == 0 {
		k.since = now
	}
	if now < k.since+int64(Life) {
		return workWait
	}
	s := k.shares[id]
	work := g.split(k, id, now)
	s.grant = work
	s.peak = max(s.peak, work)
	return work
}

// majority returns when the last majority of daemons that asked for the book
// ends, by our own clock: a daemon's ask counts from the time of the answer that
// it brings back, so that a late ask counts for as long as it should.
func (g *Granter) majority(k *book, now int64) int64 {
	votes := append(g.votes[:0], now)
	n := g.view.daemons()
	for id, b := range g.borrowers {
		if _, ok := b.needs[k.p.key]; ok && id != g.self.ID {
			votes = append(votes, b.stamp)
		}
	}
	g.votes = votes
	n = max(n, len(votes))
	need := n/2 + 1
	if len(votes) < need {
		return never
	}
	slices.Sort(votes)
	return votes[len(votes)-need] + int64(Life)
}

// live reports whether a daemon asks this one for the book.
func (g *Granter) live(k *book, id string, now int64) bool {
	if id == g.self.ID {
		return true
	}
	b := g.borrowers[id]
	if b == nil || now-b.stamp >= int64(Life) {
		return false
	}
	_, ok := b.needs[k.p.key]
	return ok
}
