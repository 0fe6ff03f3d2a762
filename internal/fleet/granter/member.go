package granter

import (
	"context"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

// wantSteps is the number of steps in which wants are told, so that a small
// change needs no message.
const wantSteps = 32

type (
	// place is an endpoint of this data centre as the borrower sees it.
	place struct {
		e    *samphireturn.Endpoint
		key  uint32
		home string
		// from is the home of the last grant, work its size, asked the time when
		// it or a promise of one was asked for.
		from  string
		work  int64
		asked int64
		// want decays towards what the gauge shows.
		want, unit int64
		// told is the want that is told; it follows want in steps.
		told  int64
		loads []load
		// clear is set once reports show that no daemon has more than a static
		// share under way.
		clear  bool
		static bool
	}

	// load is a reported load.
	load struct {
		at   int64
		used int64
	}

	// lender is a home that this daemon asks.
	lender struct {
		id       string
		busy     bool
		full     bool
		instance uint32
		stamp    int64
		seq      uint64
		told     map[uint32]Need
		grants   map[uint32]int64
	}
)

// keyOf returns the key of an endpoint's process.
func keyOf(e *samphireturn.Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.ID + "\x00" + strconv.FormatUint(e.Incarnation, 10)))
}

// lookAt brings the place of an endpoint up to date and returns its key. The
// caller holds mu.
func (g *Granter) lookAt(e *samphireturn.Endpoint, now int64) uint32 {
	key := keyOf(e)
	p := g.places[key]
	if p == nil || p.e.ID != e.ID || p.e.Quota != e.Quota {
		p = &place{key: key, asked: now}
		g.places[key] = p
	}
	p.e = e
	p.home = ranker.Home(e.ID, g.view.near)
	p.note(e.InFlight+e.Queued, now)
	peak := max(e.Quota.PeakDemand.Swap(0), e.Quota.Outstanding.Load())
	p.want = max(peak, p.want-p.want/8)
	step := max(e.Budget/wantSteps, 1)
	if p.want > p.told || p.want < p.told/4*3 {
		p.told = (p.want + step - 1) / step * step
	}
	if unit := e.Quota.LargestRequest.Swap(0); unit > p.unit || unit > 0 && unit < p.unit/4*3 {
		p.unit = max(unit, p.unit-p.unit/8)
	}
	return key
}

// note keeps a reported load for loadWindow.
func (p *place) note(used, now int64) {
	kept := p.loads[:0]
	for _, l := range p.loads {
		if now-l.at < int64(loadWindow) {
			kept = append(kept, l)
		}
	}
	p.loads = append(kept, load{at: now, used: used})
}

// load returns the highest load reported of late.
func (p *place) load() int64 {
	var used int64
	for _, l := range p.loads {
		used = max(used, l.used)
	}
	return used
}

// needs returns this daemon's needs by home, itself left out. The caller holds
// mu.
func (g *Granter) needs(now int64) map[string]map[uint32]Need {
	all := make(map[string]map[uint32]Need)
	for key, p := range g.places {
		if p.home == g.self.ID {
			continue
		}
		if all[p.home] == nil {
			all[p.home] = make(map[uint32]Need)
		}
		all[p.home][key] = g.need(p, now)
	}
	return all
}

// need returns the need at a place. Work within the home's own grant is not
// told, as the home counts the grant.
func (g *Granter) need(p *place, now int64) Need {
	gauge := p.e.Quota
	out := gauge.Outstanding.Load()
	if p.from == p.home {
		if out <= p.work {
			out = 0
		}
	} else if gauge.Expires.Load() > now {
		out = max(out, gauge.Allowed.Load())
	}
	return Need{Key: p.key, Out: out, Want: p.told, Unit: p.unit, Cold: g.suspect(p.e.ID, now)}
}

// ask returns the message with the needs that the home does not know yet. The
// caller holds mu.
func (g *Granter) ask(l *lender, needs map[uint32]Need) *Ask {
	if len(needs) != len(l.told) {
		l.full = true
	}
	for key := range needs {
		if _, ok := l.told[key]; !ok {
			l.full = true
		}
	}
	a := &Ask{Instance: g.instance, Home: l.instance, Stamp: l.stamp, Seq: l.seq, Daemons: len(g.view.listed), Full: l.full}
	for key, need := range needs {
		if l.full || l.told[key] != need {
			a.Needs = append(a.Needs, need)
		}
	}
	slices.SortFunc(a.Needs, func(x, y Need) int { return int(int64(x.Key) - int64(y.Key)) })
	return a
}

// borrow sends an ask and puts the answer in force. Grants count from before
// the ask was sent.
func (g *Granter) borrow(ctx context.Context, l *lender, ask *Ask, needs map[uint32]Need) {
	limit, cancel := context.WithTimeout(ctx, 2*Period)
	defer cancel()
	asked := g.Clock()
	var answer Answer
	err := g.Links.Call(limit, l.id, Topic, ask, &answer)
	g.mu.Lock()
	defer g.mu.Unlock()
	l.busy = false
	if err != nil {
		reasons.Add("ask", 1)
		l.full = true
		return
	}
	g.adopt(l, &answer, needs, asked)
}

// adopt puts an answer in force. The caller holds mu.
func (g *Granter) adopt(l *lender, answer *Answer, needs map[uint32]Need, asked int64) {
	g.view.hear(answer.Daemons, g.Clock())
	l.instance, l.stamp, l.seq = answer.Instance, answer.Stamp, answer.Seq
	if answer.Resync {
		l.full = true
		l.told, l.grants = nil, nil
		for _, p := range g.places {
			if p.from == l.id {
				p.from = ""
			}
		}
		return
	}
	l.full = false
	l.told = needs
	if answer.Full || l.grants == nil {
		l.grants = make(map[uint32]int64, len(answer.Grants))
	}
	for _, grant := range answer.Grants {
		l.grants[grant.Key] = grant.Work
	}
	lapse := asked + answer.Life*millisecond
	for key, need := range needs {
		if need.Cold {
			g.told(g.places[key])
		}
		p, work := g.places[key], l.grants[key]
		if p == nil || p.home != l.id {
			continue
		}
		p.put(l.id, work, asked, lapse)
	}
}

// put puts one grant in force.
func (p *place) put(home string, work, asked, lapse int64) {
	if work == workTell {
		p.from = ""
	}
	if work == workNone || work == workTell {
		return
	}
	p.asked = asked
	if work == workWait {
		return
	}
	p.from, p.work = home, work
	p.static, p.clear = false, false
	p.e.Quota.Allowed.Store(work)
	p.e.Quota.Expires.Store(lapse)
}

// shareStatic gives this daemon its static share once no home has answered for
// so long that all have set it aside: our grant has lapsed, and so have the
// larger ones that a home gave to others before it missed us. Until reports show
// that no daemon has more than a static share under way, it takes no more than its part
// of the room that they show. The caller holds mu.
func (g *Granter) shareStatic(p *place, now int64) {
	if now < p.asked+2*int64(Life)+int64(reportLag) {
		return
	}
	if !p.static {
		regimes.Add("static", 1)
	}
	p.static, p.from = true, ""
	n := int64(g.view.daemons())
	budget := staticBudget(p.e)
	share := budget / n
	used := p.load()
	p.clear = p.clear || used <= share
	if !p.clear {
		own := p.e.Quota.Outstanding.Load()
		share = min(share, max(0, budget-used+min(own, used))/n)
	}
	if g.suspect(p.e.ID, now) {
		share = min(share, coldWork(p.e)/n)
	}
	p.e.Quota.Allowed.Store(share)
	p.e.Quota.Expires.Store(now + int64(Life))
}

// staticBudget returns the budget that static shares are parts of.
func staticBudget(e *samphireturn.Endpoint) int64 {
	if !e.Warm {
		return coldWork(e)
	}
	return e.Budget
}
