package granter

import (
	"context"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

// demandSteps is the number of steps in which demands are reported, so that a
// small change needs no message.
const demandSteps = 32

type (
	// endpoint is an endpoint of this data centre, with the grant that this
	// daemon has for it.
	endpoint struct {
		info *samphireturn.Endpoint
		// key identifies the endpoint's process; home is the daemon to request
		// grants from.
		key  uint32
		home string
		// grantHome is the home that gave the last grant, or "" if that home no
		// longer counts it, and granted is the size of that grant. requestedAt is
		// when the last grant, or the last workPending response, was requested.
		grantHome   string
		granted     int64
		requestedAt int64
		// demand decays towards the demand in the quota; largestRequest follows the
		// quota's largest request.
		demand, largestRequest int64
		// reportedDemand is the demand in requests to the home; it follows demand
		// in steps.
		reportedDemand int64
		loads          []load
		// staticSafe is set once reports show that no daemon has more than a static
		// share in flight.
		staticSafe bool
		// static is true while the endpoint is limited to the static share.
		static bool
	}

	// load is an endpoint's reported work, in flight and queued.
	load struct {
		reportedAt int64
		work       int64
	}

	// homeClient is the state of the requests to one home.
	homeClient struct {
		id         string
		requesting bool
		// needsFull is set if the next request must hold all demands.
		needsFull bool
		// instance, homeTime and seq are those of the last response.
		instance uint32
		homeTime int64
		seq      uint64
		// reported holds the demands, and grants the granted work, that the home
		// knows of.
		reported map[uint32]Demand
		grants   map[uint32]int64
	}
)

// keyOf returns the key of an endpoint's process.
func keyOf(e *samphireturn.Endpoint) uint32 {
	return uint32(xxhash.Sum64String(e.ID + "\x00" + strconv.FormatUint(e.Incarnation, 10)))
}

// refreshEndpoint updates the state of the endpoint e and returns its key. The
// caller holds mu.
func (g *Granter) refreshEndpoint(e *samphireturn.Endpoint, now int64) uint32 {
	key := keyOf(e)
	ep := g.endpoints[key]
	if ep == nil || ep.info.ID != e.ID || ep.info.Quota != e.Quota {
		ep = &endpoint{key: key, requestedAt: now}
		g.endpoints[key] = ep
	}
	ep.info = e
	ep.home = ranker.Home(e.ID, g.view.linked)
	ep.recordLoad(e.InFlight+e.Queued, now)
	peak := max(e.Quota.PeakDemand.Swap(0), e.Quota.Outstanding.Load())
	ep.demand = max(peak, ep.demand-ep.demand/8)
	step := max(e.Budget/demandSteps, 1)
	if ep.demand > ep.reportedDemand || ep.demand < ep.reportedDemand/4*3 {
		ep.reportedDemand = (ep.demand + step - 1) / step * step
	}
	if unit := e.Quota.LargestRequest.Swap(0); unit > ep.largestRequest || unit > 0 && unit < ep.largestRequest/4*3 {
		ep.largestRequest = max(unit, ep.largestRequest-ep.largestRequest/8)
	}
	return key
}

// recordLoad keeps a reported load for loadWindow.
func (ep *endpoint) recordLoad(work, now int64) {
	kept := ep.loads[:0]
	for _, l := range ep.loads {
		if now-l.reportedAt < int64(loadWindow) {
			kept = append(kept, l)
		}
	}
	ep.loads = append(kept, load{reportedAt: now, work: work})
}

// recentLoad returns the highest load reported within loadWindow.
func (ep *endpoint) recentLoad() int64 {
	var peak int64
	for _, l := range ep.loads {
		peak = max(peak, l.work)
	}
	return peak
}

// demandsByHome returns this daemon's demands, grouped by home, for all homes
// but itself. The caller holds mu.
func (g *Granter) demandsByHome(now int64) map[string]map[uint32]Demand {
	all := make(map[string]map[uint32]Demand)
	for key, ep := range g.endpoints {
		if ep.home == g.self.ID {
			continue
		}
		if all[ep.home] == nil {
			all[ep.home] = make(map[uint32]Demand)
		}
		all[ep.home][key] = g.demandAt(ep, now)
	}
	return all
}

// demandAt returns the demand at an endpoint. Work within a grant of the
// current home is not reported, since the home counts the whole grant.
func (g *Granter) demandAt(ep *endpoint, now int64) Demand {
	quota := ep.info.Quota
	excess := quota.Outstanding.Load()
	if ep.grantHome == ep.home {
		if excess <= ep.granted {
			excess = 0
		}
	} else if quota.Expires.Load() > now {
		excess = max(excess, quota.Allowed.Load())
	}
	return Demand{Key: ep.key, Excess: excess, Work: ep.reportedDemand, LargestRequest: ep.largestRequest, Overloaded: g.recentlyOverloaded(ep.info.ID, now)}
}

// newRequest returns a request with the demands that the home does not know
// yet. The caller holds mu.
func (g *Granter) newRequest(hc *homeClient, demands map[uint32]Demand) *Request {
	if len(demands) != len(hc.reported) {
		hc.needsFull = true
	}
	for key := range demands {
		if _, ok := hc.reported[key]; !ok {
			hc.needsFull = true
		}
	}
	req := &Request{Instance: g.instance, HomeInstance: hc.instance, HomeTime: hc.homeTime, AckedSeq: hc.seq, Daemons: len(g.view.listed), Full: hc.needsFull}
	for key, demand := range demands {
		if hc.needsFull || hc.reported[key] != demand {
			req.Demands = append(req.Demands, demand)
		}
	}
	slices.SortFunc(req.Demands, func(x, y Demand) int { return int(int64(x.Key) - int64(y.Key)) })
	return req
}

// requestGrants sends a request and applies the response. The lifetime of the
// grants counts from before the request was sent.
func (g *Granter) requestGrants(ctx context.Context, hc *homeClient, req *Request, demands map[uint32]Demand) {
	callCtx, cancel := context.WithTimeout(ctx, 2*RequestInterval)
	defer cancel()
	sentAt := g.Clock()
	var resp Response
	err := g.Links.Call(callCtx, hc.id, Topic, req, &resp)
	g.mu.Lock()
	defer g.mu.Unlock()
	hc.requesting = false
	if err != nil {
		reasons.Add("ask", 1)
		hc.needsFull = true
		return
	}
	g.applyResponse(hc, &resp, demands, sentAt)
}

// applyResponse applies the grants of a response. The caller holds mu.
func (g *Granter) applyResponse(hc *homeClient, resp *Response, demands map[uint32]Demand, requestedAt int64) {
	g.view.recordOtherCount(resp.Daemons, g.Clock())
	hc.instance, hc.homeTime, hc.seq = resp.Instance, resp.HomeTime, resp.Seq
	if resp.Resync {
		hc.needsFull = true
		hc.reported, hc.grants = nil, nil
		for _, ep := range g.endpoints {
			if ep.grantHome == hc.id {
				ep.grantHome = ""
			}
		}
		return
	}
	hc.needsFull = false
	hc.reported = demands
	if resp.Full || hc.grants == nil {
		hc.grants = make(map[uint32]int64, len(resp.Grants))
	}
	for _, grant := range resp.Grants {
		hc.grants[grant.Key] = grant.Work
	}
	expires := requestedAt + resp.TTL*nanosPerMilli
	for key, demand := range demands {
		if demand.Overloaded {
			g.clearOverload(g.endpoints[key])
		}
		ep, work := g.endpoints[key], hc.grants[key]
		if ep == nil || ep.home != hc.id {
			continue
		}
		ep.applyGrant(hc.id, work, requestedAt, expires)
	}
}

// applyGrant applies the work of one Grant: it sets the quota if the home
// granted work, and otherwise records what the response means.
func (ep *endpoint) applyGrant(home string, work, requestedAt, expires int64) {
	if work == workReportAll {
		ep.grantHome = ""
	}
	if work == workNotHome || work == workReportAll {
		return
	}
	ep.requestedAt = requestedAt
	if work == workPending {
		return
	}
	ep.grantHome, ep.granted = home, work
	ep.static, ep.staticSafe = false, false
	ep.info.Quota.Allowed.Store(work)
	ep.info.Quota.Expires.Store(expires)
}

// applyStaticShare limits this daemon to its static share of the endpoint once
// no home has answered for so long that every home counts it as inactive: by
// then its own grant has expired, and so have the larger grants that a home
// gave to others before it noticed this daemon's absence. Until reports show
// that no daemon has more than a static share in flight, this daemon takes at
// most its part of the free budget that they show. The caller holds mu.
func (g *Granter) applyStaticShare(ep *endpoint, now int64) {
	if now < ep.requestedAt+2*int64(GrantTTL)+int64(maxReportAge) {
		return
	}
	if !ep.static {
		modes.Add("static", 1)
	}
	ep.static, ep.grantHome = true, ""
	n := int64(g.view.daemonCount())
	budget := staticBudget(ep.info)
	share := budget / n
	used := ep.recentLoad()
	ep.staticSafe = ep.staticSafe || used <= share
	if !ep.staticSafe {
		own := ep.info.Quota.Outstanding.Load()
		share = min(share, max(0, budget-used+min(own, used))/n)
	}
	if g.recentlyOverloaded(ep.info.ID, now) {
		share = min(share, initialWork(ep.info)/n)
	}
	ep.info.Quota.Allowed.Store(share)
	ep.info.Quota.Expires.Store(now + int64(GrantTTL))
}

// staticBudget returns the budget that is divided into static shares.
func staticBudget(e *samphireturn.Endpoint) int64 {
	if !e.Warm {
		return initialWork(e)
	}
	return e.Budget
}
