// Package granter shares the budget of each endpoint between the daemons of a
// data centre.
//
// The home of an endpoint lends parts of its budget to the daemons that ask
// for them. A grant lapses by itself, counted from when it was asked for. A
// daemon acts as home only while more than half of the data centre's daemons
// ask it, which they do one home at a time, and not before every grant of an
// earlier home has lapsed. A daemon that no home answers keeps to a static
// share of the budget, which the homes hold back for it.
package granter

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
)

const (
	// Topic is the topic of Ask messages.
	Topic = "grants"
	// Life is the longest time that a grant lasts.
	Life = 2 * time.Second
	// Period is the time between two asks of the same home.
	Period = 500 * time.Millisecond

	// reportLag is the assumed bound on the age of a reported load.
	reportLag = time.Second
	// loadWindow is the time over which the highest reported load counts.
	loadWindow = 2 * time.Second
	// countWindow is the time for which an earlier, higher number of daemons
	// counts, as lists are late.
	countWindow = 30 * time.Second
	// forgetTime is the time after which the work of a daemon that is neither
	// listed nor heard from is taken for ended.
	forgetTime = 30 * time.Second
)

var (
	reasons = expvar.NewMap("granter_reason")
	regimes = expvar.NewMap("granter_regime")
)

type (
	// Links is what the granter needs of the messenger.
	Links interface {
		Call(ctx context.Context, to, topic string, body, reply any) error
		Handle(topic string, h samphireturn.Handler)
		Connected() []string
	}

	// Granter is a service of the kernel. Set the exported fields before Run.
	Granter struct {
		Control samphireturn.Control
		Links   Links
		// Clock is the monotonic clock of Gauge.Lapse, in nanoseconds.
		Clock func() int64

		self     samphireturn.VM
		instance uint32
		cancel   context.CancelFunc
		wait     sync.WaitGroup

		mu    sync.Mutex
		began int64
		view  view
		// places are the endpoints of this data centre, by key.
		places map[uint32]*place
		// lenders are the homes that this daemon asks, by id.
		lenders map[string]*lender
		// borrowers are the daemons that ask this one, by id.
		borrowers map[string]*borrower
		// books are the endpoints that this daemon is home of, by key.
		books map[uint32]*book
		// votes and wants are used anew for each grant.
		votes []int64
		wants []want

		markMu sync.Mutex
		marks  map[string]*mark
	}

	// view is this daemon's view of its data centre.
	view struct {
		// listed are the ids of all daemons, near those that are linked, and self.
		listed []string
		near   []samphireturn.VM
		counts []count
		// met is true once another daemon has told how many it lists.
		met bool
	}

	// count is a number of daemons that was seen at a time.
	count struct {
		at int64
		n  int
	}
)

// New returns a granter of the daemon self.
func New(self samphireturn.VM, control samphireturn.Control, links Links, clock func() int64) *Granter {
	return &Granter{
		Control:   control,
		Links:     links,
		Clock:     clock,
		self:      self,
		places:    make(map[uint32]*place),
		lenders:   make(map[string]*lender),
		borrowers: make(map[string]*borrower),
		books:     make(map[uint32]*book),
		marks:     make(map[string]*mark),
	}
}

// Register sets the handler of Topic. It must be called before the messenger
// runs.
func (g *Granter) Register() {
	// Zero stands for no process.
	g.instance = max(uint32(time.Now().UnixNano()/int64(time.Microsecond)), 1)
	g.Links.Handle(Topic, g.take)
}

// Run starts to ask for grants and returns at once.
func (g *Granter) Run(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	g.began = g.Clock()
	g.wait.Go(func() { g.loop(ctx) })
	return nil
}

// Close stops the granter and waits for it.
func (g *Granter) Close() error {
	if g.cancel != nil {
		g.cancel()
	}
	g.wait.Wait()
	return nil
}

func (g *Granter) loop(ctx context.Context) {
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		g.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// renew asks every home for its grants and sets the static shares.
func (g *Granter) renew(ctx context.Context) {
	s := g.Control.Snapshot()
	linked := g.Links.Connected()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock()
	g.look(s, linked, now)
	g.lendSelf(now)
	for id, needs := range g.needs(now) {
		l := g.lenders[id]
		if l == nil {
			l = &lender{id: id, full: true}
			g.lenders[id] = l
		}
		if l.busy {
			continue
		}
		l.busy = true
		ask := g.ask(l, needs)
		g.wait.Go(func() { g.borrow(ctx, l, ask, needs) })
	}
	for _, p := range g.places {
		g.shareStatic(p, now)
	}
}

// look brings the view, the places and the books up to date. The caller holds
// mu.
func (g *Granter) look(s *samphireturn.Snapshot, linked []string, now int64) {
	up := make(map[string]bool, len(linked))
	for _, id := range linked {
		up[id] = true
	}
	g.view.listed, g.view.near = nil, nil
	self := false
	for _, vm := range ranker.InCentre(g.self.Centre, s.Members) {
		self = self || vm.ID == g.self.ID
		g.view.listed = append(g.view.listed, vm.ID)
		if up[vm.ID] || vm.ID == g.self.ID {
			g.view.near = append(g.view.near, vm)
		}
	}
	if !self {
		g.view.listed = append(g.view.listed, g.self.ID)
		g.view.near = append(g.view.near, g.self)
	}
	slices.Sort(g.view.listed)
	g.view.add(len(g.view.listed), now)
	known := make(map[uint32]bool)
	for _, e := range s.Endpoints {
		if e.Centre == g.self.Centre && e.Quota != nil {
			known[g.lookAt(e, now)] = true
		}
	}
	for key := range g.places {
		if !known[key] {
			delete(g.places, key)
		}
	}
	g.keepBooks(now)
}

// add notes that n daemons were seen.
func (v *view) add(n int, now int64) {
	kept := v.counts[:0]
	for _, c := range v.counts {
		if c.n > n && now-c.at < int64(countWindow) {
			kept = append(kept, c)
		}
	}
	v.counts = append(kept, count{at: now, n: n})
}

// hear notes that another daemon lists n daemons.
func (v *view) hear(n int, now int64) {
	v.met = true
	v.add(n, now)
}

// daemons returns the highest number of daemons seen of late, at least 1. A
// daemon of several that has met no other since its start counts twice as many,
// as its list may have gaps.
func (v *view) daemons() int {
	n := 1
	for _, c := range v.counts {
		n = max(n, c.n)
	}
	if !v.met && n > 1 {
		n *= 2
	}
	return n
}

// take handles Topic.
func (g *Granter) take(_ context.Context, from string, body []byte) (any, error) {
	var in Ask
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "take ask", Kind: samphireturn.KindInvalid, Err: err}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answer(from, &in, g.Clock()), nil
}
