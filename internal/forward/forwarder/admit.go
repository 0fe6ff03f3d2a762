package forwarder

import (
	"cmp"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/accountant"
	"samphireturn/internal/core/timekeeper"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/isolator"
	"samphireturn/internal/traffic/collector"
)

const (
	// startTime is how long after its start a daemon lets requests wait until it has read
	// what it needs, and startCheckInterval the time between two checks of that.
	startTime          = time.Second
	startCheckInterval = 10 * time.Millisecond
)

// admit finds the route, authorizes the request, chooses the pool and reads the
// body. It returns nil if the request can be forwarded.
func (c *proxyCall) admit() *samphireturn.Refusal {
	c.request = c.CallerProtocol.Decode(c.r)
	if c.forPeer != nil {
		if refusal := c.applyPeerAttempt(); refusal != nil {
			return refusal
		}
	}
	if c.forPeer == nil && c.closing.Load() {
		return refusal(samphireturn.ReasonClosing, busyRetryAfter, nil)
	}
	if c.view = c.firstView(); c.view == nil || !c.view.Synced {
		return refusal(samphireturn.ReasonNotReady, notReadyRetryAfter, nil)
	}
	c.tableMatcher = c.matcher(c.view.Table)
	c.route = c.tableMatcher.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return c.refuseUnknown(samphireturn.ForwardNoRoute)
	}
	if refusal := c.authorize(); refusal != nil {
		return refusal
	}
	if c.request.ID == "" {
		return refusal(samphireturn.ReasonBadRequest, 0, errors.New("request has no id"))
	}
	c.pool = c.tableMatcher.PickPool(c.route, cmp.Or(c.request.Session, c.request.ID))
	if c.pool == nil {
		return refusal(samphireturn.ReasonNoEndpoint, busyRetryAfter, nil)
	}
	if c.forPeer == nil {
		requests.Add(c.route.Work.String(), 1)
	}
	c.timeout = c.requestTimeout()
	c.lastEventID = c.request.LastEventID
	c.initPickRequest()
	if c.forPeer != nil {
		if refusal := c.applyPeerModel(); refusal != nil {
			return refusal
		}
	}
	c.budget = c.Forwarder.budget(c.pool.Name)
	if !c.takeMemory() {
		return refusal(samphireturn.ForwardNoRoom, busyRetryAfter, errors.New("no memory for the request"))
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.keys = append([]isolator.Key{isolator.RequestKey(c.r.RequestURI, c.team, c.body)}, isolator.PartKeys(c.request.Parts)...)
	if !c.route.Repeatable() && !c.onceIDs.add(c.request.ID, c.start) {
		return refusal(samphireturn.ReasonBadRequest, 0, errors.New("request id was already used"))
	}
	if c.forPeer == nil {
		c.budget.CountRequest()
	}
	return nil
}

// firstView returns the current view. While the daemon starts, it waits for the first
// complete one, which takes less than it would take the caller to come back.
func (c *proxyCall) firstView() *samphireturn.View {
	wait := startTime - (c.start - c.startedAt)
	if c.request.Timeout > 0 {
		wait = min(wait, c.request.Timeout/2)
	}
	for {
		v := c.currentView()
		if v != nil && v.Synced || c.Clock()-c.start >= wait || !timekeeper.Sleep(c.r.Context(), startCheckInterval) {
			return v
		}
	}
}

// refuseUnknown returns the refusal of a request whose route or key is not in the
// routing table. If the table may be out of date, the caller is asked to retry.
func (c *proxyCall) refuseUnknown(reason string) *samphireturn.Refusal {
	if c.tableAge(c.view) >= c.MaxAgeForMisses {
		return refusal(samphireturn.ReasonNotReady, notReadyRetryAfter, errors.New(reason))
	}
	return refusal(reason, 0, nil)
}

// authorize finds the team that owns the request's key, sets the priority, and
// refuses an unknown key unless the route is public.
func (c *proxyCall) authorize() *samphireturn.Refusal {
	c.priority = c.route.Priority
	if !c.tableMatcher.HasTeams() {
		return nil
	}
	team := c.tableMatcher.Team(c.request.Key)
	if team != nil {
		c.team = team.Name
		if team.HasPriority {
			c.priority = team.Priority
		}
	}
	if c.route.Public {
		return nil
	}
	if !c.freshForKeys(c.view) {
		return refusal(samphireturn.ReasonPlatformUnavailable, notReadyRetryAfter, nil)
	}
	if team == nil {
		return c.refuseUnknown(samphireturn.ReasonUnauthorized)
	}
	return nil
}

// requestTimeout returns the time from now until the complete answer is due.
func (c *proxyCall) requestTimeout() time.Duration {
	timeout := defaultTimeout
	if c.request.Timeout > 0 {
		timeout = min(timeout, c.request.Timeout)
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	return timeout - c.Clock() + c.start
}

// takeMemory takes what the request holds beside its body from the account of memory, and reports
// whether there is room.
func (c *proxyCall) takeMemory() bool {
	size := accountant.RequestBytes + accountant.HeaderBytes(c.r.Header)
	if c.forPeer != nil {
		// No room is left for the connections of peers.
		size += accountant.ConnBytes
	}
	use := accountant.Short
	if c.route.Work == samphireturn.WorkStream {
		use = accountant.Long
	}
	if !c.Memory.Take(use, c.priority, size) {
		return false
	}
	c.held = size
	return true
}

// releaseMemory gives back what the request holds.
func (c *proxyCall) releaseMemory() {
	c.collected.Release()
	c.Memory.Give(c.held)
}

// readBody reads the complete body, so that the request can be retried.
func (c *proxyCall) readBody() *samphireturn.Refusal {
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return refusal(samphireturn.ReasonBadRequest, 0, err)
	}
	limit := int64(cmp.Or(c.view.Table.Limits.BodyBytes, defaultBodyBytes))
	var err error
	c.collected, err = c.Bodies.Read(c.r.Body, c.r.ContentLength, limit, func() { _ = control.SetReadDeadline(longAgo) })
	if err != nil {
		return bodyRefusal(err)
	}
	c.body = c.collected.Data
	// The server's own timeouts apply to the rest of the connection's life.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return refusal(samphireturn.ReasonBadRequest, 0, err)
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) *samphireturn.Refusal {
	var failed *collector.Error
	switch {
	case errors.As(err, &failed) && failed.Kind == collector.KindTooLong:
		return refusal(samphireturn.ReasonTooLarge, 0, err)
	case failed != nil && failed.Kind == collector.KindNoRoom:
		return refusal(samphireturn.ForwardNoRoom, busyRetryAfter, err)
	case failed != nil && failed.Kind == collector.KindDropped, errors.Is(err, os.ErrDeadlineExceeded):
		return refusal(samphireturn.ForwardRequestSlow, 0, err)
	}
	return refusal(samphireturn.ReasonBadRequest, 0, err)
}

// initPickRequest sets the parts of pickRequest that do not change between
// attempts.
func (c *proxyCall) initPickRequest() {
	c.undialled, c.excludedPeers = make(map[string]bool), make(map[string]bool)
	c.pickRequest = balancer.Request{
		Pool:    c.pool,
		Exclude: make(map[string]bool),
		Members: c.view.Members,

		PromptTokens: c.request.PromptTokens,
		Objective:    c.route.Objective,
	}
	if c.pool.MemoryTokens > 0 {
		c.pickRequest.MemoryTokens = c.request.PromptTokens + c.request.MaxOutputTokens/2
	}
	if n := len(c.request.Parts); n > 1 {
		// The last part is not shared with other requests.
		c.pickRequest.PrefixID = c.request.Parts[n-2].ID
		for _, p := range c.request.Parts[:n-1] {
			c.pickRequest.PrefixTokens += p.Tokens
		}
	}
}
