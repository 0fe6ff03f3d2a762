// Package granter divides the budget of each endpoint among the daemons of a
// data centre.
//
// Rendezvous hashing picks one daemon as the home of an endpoint. The home
// grants parts of the endpoint's budget to the daemons that request them. A
// grant expires by itself; its lifetime counts from the time at which it was
// requested. A daemon acts as home only while more than half of the data
// centre's daemons send it requests, and only after all grants of an earlier
// home have expired. Since each daemon requests from one home at a time, there
// is at most one acting home. A daemon that gets no answer from a home limits
// itself to a static share of the budget, which homes reserve for it.
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
	// Topic is the topic of Request messages.
	Topic = "grants"
	// GrantTTL is the longest lifetime of a grant.
	GrantTTL = 2 * time.Second
	// RequestInterval is the time between two requests to the same home.
	RequestInterval = 500 * time.Millisecond

	// maxReportAge is the assumed maximum age of a load report.
	maxReportAge = time.Second
	// loadWindow is how long a load report counts; the highest load within it is
	// used.
	loadWindow = 2 * time.Second
	// daemonCountWindow is how long an earlier, higher number of daemons still
	// counts, because member lists arrive late.
	daemonCountWindow = 30 * time.Second
	// absentTimeout is the time after which a daemon that is not listed and sends
	// no requests is assumed to have no work in flight.
	absentTimeout = 30 * time.Second
)

var (
	// reasons counts failed requests, resyncs and overloads.
	reasons = expvar.NewMap("granter_reason")
	// modes counts the times that this daemon became home of an endpoint ("home")
	// and fell back to a static share ("static").
	modes = expvar.NewMap("granter_regime")
)

type (
	// Links is the part of the messenger that the granter uses.
	Links interface {
		Call(ctx context.Context, to, topic string, body, reply any) error
		Handle(topic string, h samphireturn.Handler)
		Connected() []string
	}

	// Granter requests this daemon's grants and serves the requests of others as
	// home. It is a service of the kernel. Set the exported fields before Run.
	Granter struct {
		Control samphireturn.Control
		Links   Links
		// Clock returns the monotonic time, in nanoseconds, that Quota.Expires is
		// measured in.
		Clock func() int64

		self     samphireturn.VM
		instance uint32
		cancel   context.CancelFunc
		wait     sync.WaitGroup

		mu      sync.Mutex
		started int64
		view    view
		// endpoints holds the endpoints of this data centre by key.
		endpoints map[uint32]*endpoint
		// homes holds the homes that this daemon sends requests to, by daemon id.
		homes map[string]*homeClient
		// clients holds the daemons that send requests to this one, by daemon id.
		clients map[string]*client
		// homed holds the endpoints that this daemon is home of, by key.
		homed map[uint32]*homedEndpoint
		// votes and claims are scratch buffers that are reused for each grant.
		votes  []int64
		claims []claim

		// trafficMu guards traffic, which holds what requests have shown of the
		// endpoints, by endpoint id.
		trafficMu sync.Mutex
		traffic   map[string]*trafficState
	}

	// view is this daemon's view of its data centre.
	view struct {
		// listed holds the ids of the listed daemons and of this one, in sorted
		// order.
		listed []string
		// linked holds the listed daemons with a live link, and this one.
		linked []samphireturn.VM
		// counts holds the recent numbers of daemons in member lists, here and
		// elsewhere.
		counts []count
		// metOther is true once another daemon has sent the number of daemons that
		// it lists.
		metOther bool
	}

	// count is the number of daemons in a member list at one time.
	count struct {
		seenAt int64
		n      int
	}
)

// New returns a granter of the daemon self.
func New(self samphireturn.VM, control samphireturn.Control, links Links, clock func() int64) *Granter {
	return &Granter{
		Control:   control,
		Links:     links,
		Clock:     clock,
		self:      self,
		endpoints: make(map[uint32]*endpoint),
		homes:     make(map[string]*homeClient),
		clients:   make(map[string]*client),
		homed:     make(map[uint32]*homedEndpoint),
		traffic:   make(map[string]*trafficState),
	}
}

// Register sets the handler of Topic. It must be called before the messenger
// runs.
func (g *Granter) Register() {
	// Zero means that no process is known.
	g.instance = max(uint32(time.Now().UnixNano()/int64(time.Microsecond)), 1)
	g.Links.Handle(Topic, g.handleRequest)
}

// Run starts the periodic requests for grants and returns at once.
func (g *Granter) Run(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	g.started = g.Clock()
	g.wait.Go(func() { g.loop(ctx) })
	return nil
}

// Close stops the granter and waits until its goroutines have ended.
func (g *Granter) Close() error {
	if g.cancel != nil {
		g.cancel()
	}
	g.wait.Wait()
	return nil
}

func (g *Granter) loop(ctx context.Context) {
	tick := time.NewTicker(RequestInterval)
	defer tick.Stop()
	for {
		g.requestAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// requestAll refreshes the view, renews the grants that this daemon gives
// itself as home, sends a request to every other home that has none in flight,
// and applies the static shares.
func (g *Granter) requestAll(ctx context.Context) {
	s := g.Control.Snapshot()
	linked := g.Links.Connected()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock()
	g.refresh(s, linked, now)
	g.renewOwnGrants(now)
	for id, demands := range g.demandsByHome(now) {
		hc := g.homes[id]
		if hc == nil {
			hc = &homeClient{id: id, needsFull: true}
			g.homes[id] = hc
		}
		if hc.requesting {
			continue
		}
		hc.requesting = true
		req := g.newRequest(hc, demands)
		g.wait.Go(func() { g.requestGrants(ctx, hc, req, demands) })
	}
	for _, ep := range g.endpoints {
		g.applyStaticShare(ep, now)
	}
}

// refresh updates the view, the endpoints and the homed endpoints from the
// snapshot s. The caller holds mu.
func (g *Granter) refresh(s *samphireturn.Snapshot, linkedIDs []string, now int64) {
	isLinked := make(map[string]bool, len(linkedIDs))
	for _, id := range linkedIDs {
		isLinked[id] = true
	}
	g.view.listed, g.view.linked = nil, nil
	self := false
	for _, vm := range ranker.InCentre(g.self.Centre, s.Members) {
		self = self || vm.ID == g.self.ID
		g.view.listed = append(g.view.listed, vm.ID)
		if isLinked[vm.ID] || vm.ID == g.self.ID {
			g.view.linked = append(g.view.linked, vm)
		}
	}
	if !self {
		g.view.listed = append(g.view.listed, g.self.ID)
		g.view.linked = append(g.view.linked, g.self)
	}
	slices.Sort(g.view.listed)
	g.view.recordCount(len(g.view.listed), now)
	known := make(map[uint32]bool)
	for _, e := range s.Endpoints {
		if e.Centre == g.self.Centre && e.Quota != nil {
			known[g.refreshEndpoint(e, now)] = true
		}
	}
	for key := range g.endpoints {
		if !known[key] {
			delete(g.endpoints, key)
		}
	}
	g.updateHomed(now)
}

// recordCount records a list of n daemons. Earlier counts are kept only while
// they are higher and not older than daemonCountWindow.
func (v *view) recordCount(n int, now int64) {
	kept := v.counts[:0]
	for _, c := range v.counts {
		if c.n > n && now-c.seenAt < int64(daemonCountWindow) {
			kept = append(kept, c)
		}
	}
	v.counts = append(kept, count{seenAt: now, n: n})
}

// recordOtherCount records that another daemon lists n daemons.
func (v *view) recordOtherCount(n int, now int64) {
	v.metOther = true
	v.recordCount(n, now)
}

// daemonCount returns the highest recent number of daemons, at least 1. If this
// daemon lists others but has not heard from any since it started, its own list
// may have gaps, so the number is doubled.
func (v *view) daemonCount() int {
	n := 1
	for _, c := range v.counts {
		n = max(n, c.n)
	}
	if !v.metOther && n > 1 {
		n *= 2
	}
	return n
}

// handleRequest handles Topic.
func (g *Granter) handleRequest(_ context.Context, from string, body []byte) (any, error) {
	var req Request
	if err := encoder.Unmarshal(body, &req); err != nil {
		return nil, &samphireturn.Error{Op: "decode grant request", Kind: samphireturn.KindInvalid, Err: err}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.respond(from, &req, g.Clock()), nil
}
