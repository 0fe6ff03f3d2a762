package granter

import "slices"

// steadyGrantDivisor is the divisor of a grant that gives the smallest change
// worth a new grant, as long as the old one suffices.
const steadyGrantDivisor = 8

// allocate returns the part of the endpoint's budget for one daemon: its fair
// share of the active daemons' claims, but at most what the other daemons leave
// free.
func (g *Granter) allocate(h *homedEndpoint, id string, now int64) int64 {
	total := h.warmUp.allowedWork(h.endpoint.info)
	warmingUp := h.warmUp.inProgress(h.endpoint.info)
	daemons := int64(g.view.daemonCount())
	reserve := staticBudget(h.endpoint.info) / daemons
	if warmingUp {
		reserve = initialWork(h.endpoint.info) / daemons
	}
	var others, absent int64
	claims := g.claims[:0]
	unreported := false
	everyone := g.allDaemons(h)
	if missing := daemons - int64(len(everyone)); missing > 0 {
		// Other daemons list members that this one does not.
		others, absent = missing*reserve, missing*reserve
	}
	for _, other := range everyone {
		a, active := h.allocations[other], g.isActive(h, other, now)
		unreported = unreported || a == nil || !a.reported
		committed := h.committed(a, active, reserve, now)
		if other != id {
			others += committed
		}
		if !active {
			absent += committed
			continue
		}
		claims = append(claims, g.claimOf(h, other))
	}
	g.claims = claims
	if unreported {
		load := h.endpoint.recentLoad()
		others += load
		absent += load
	}
	if warmingUp && id != g.self.ID {
		return 0
	}
	if warmingUp {
		return max(total-others, 0)
	}
	share := fairShare(claims, max(total-absent, 0), id)
	return h.stabilize(id, claims, max(min(share, total-others), 0), total-others)
}

// stabilize returns the daemon's last grant if it is close to the new one and
// suffices, so that small changes need no message.
func (h *homedEndpoint) stabilize(id string, claims []claim, work, limit int64) int64 {
	old := h.allocations[id].lastGrant
	if old > limit || max(old-work, work-old) > old/steadyGrantDivisor {
		return work
	}
	for _, c := range claims {
		if c.id == id && c.work > old && work >= old+max(c.largestRequest, 1) {
			return work
		}
	}
	return old
}

// committed returns the work that a daemon may have in flight. A daemon that is
// not active may use its static share, and so may one that has not acknowledged
// a grant yet.
func (h *homedEndpoint) committed(a *allocation, active bool, reserve, now int64) int64 {
	if a == nil {
		return reserve
	}
	work := max(a.excess, a.peakGrant)
	if !active && now > a.grantExpires+int64(maxReportAge+loadWindow) {
		work = min(work, h.endpoint.recentLoad())
	}
	if !active || !a.acked {
		work = max(work, reserve)
	}
	return work
}

// allDaemons returns the ids of the daemons that are listed or have an
// allocation.
func (g *Granter) allDaemons(h *homedEndpoint) []string {
	ids := g.view.listed
	for id := range h.allocations {
		if _, ok := slices.BinarySearch(g.view.listed, id); !ok {
			ids = append(slices.Clip(ids), id)
		}
	}
	return ids
}

// claimOf returns the claim of an active daemon.
func (g *Granter) claimOf(h *homedEndpoint, id string) claim {
	if id == g.self.ID {
		return claim{id: id, work: h.endpoint.reportedDemand, largestRequest: h.endpoint.largestRequest}
	}
	demand := g.clients[id].demands[h.endpoint.key]
	return claim{id: id, work: demand.Work, largestRequest: demand.LargestRequest}
}
