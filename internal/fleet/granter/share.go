package granter

import "slices"

// steadyPart is the part, as a divisor, by which a grant must change to be
// changed, while it suffices.
const steadyPart = 8

// split returns the part of the endpoint's budget for one daemon: its fair part
// by what all daemons want, but no more than the others have left.
func (g *Granter) split(k *book, id string, now int64) int64 {
	total := k.ramp.work(k.p.e)
	cold := k.ramp.cold(k.p.e)
	daemons := int64(g.view.daemons())
	reserve := staticBudget(k.p.e) / daemons
	if cold {
		reserve = coldWork(k.p.e) / daemons
	}
	var others, absent int64
	wants := g.wants[:0]
	unheard := false
	everyone := g.everyone(k)
	if missing := daemons - int64(len(everyone)); missing > 0 {
		// Others list daemons that we do not.
		others, absent = missing*reserve, missing*reserve
	}
	for _, other := range everyone {
		s, live := k.shares[other], g.live(k, other, now)
		unheard = unheard || s == nil || !s.told
		committed := k.committed(s, live, reserve, now)
		if other != id {
			others += committed
		}
		if !live {
			absent += committed
			continue
		}
		wants = append(wants, g.wantOf(k, other))
	}
	g.wants = wants
	if unheard {
		load := k.p.load()
		others += load
		absent += load
	}
	if cold && id != g.self.ID {
		return 0
	}
	if cold {
		return max(total-others, 0)
	}
	part := fair(wants, max(total-absent, 0), id)
	return k.steady(id, wants, max(min(part, total-others), 0), total-others)
}

// steady keeps a daemon's last grant if it is close to the new one and suffices,
// so that small changes need no message.
func (k *book) steady(id string, wants []want, work, most int64) int64 {
	old := k.shares[id].grant
	if old > most || max(old-work, work-old) > old/steadyPart {
		return work
	}
	for _, w := range wants {
		if w.id == id && w.work > old && work >= old+max(w.unit, 1) {
			return work
		}
	}
	return old
}

// committed returns the work that a daemon may have under way. One that does
// not ask may use its static share, and so may one that has not told yet that it
// has a grant of ours.
func (k *book) committed(s *share, live bool, reserve, now int64) int64 {
	if s == nil {
		return reserve
	}
	work := max(s.out, s.peak)
	if !live && now > s.until+int64(reportLag+loadWindow) {
		work = min(work, k.p.load())
	}
	if !live || !s.held {
		work = max(work, reserve)
	}
	return work
}

// everyone returns the ids of the daemons that are listed or have a share.
func (g *Granter) everyone(k *book) []string {
	ids := g.view.listed
	for id := range k.shares {
		if _, ok := slices.BinarySearch(g.view.listed, id); !ok {
			ids = append(slices.Clip(ids), id)
		}
	}
	return ids
}

// wantOf returns what a live daemon wants.
func (g *Granter) wantOf(k *book, id string) want {
	if id == g.self.ID {
		return want{id: id, work: k.p.told, unit: k.p.unit}
	}
	need := g.borrowers[id].needs[k.p.key]
	return want{id: id, work: need.Want, unit: need.Unit}
}
