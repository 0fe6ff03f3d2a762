package forwarder

import (
	"context"
	"net/http"

	"samphireturn"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/traffic/finisher"
)

// serve handles one caller's request.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) finisher.End {
	c := f.newCall(w, r)
	defer f.activeRequests.Add(-1)
	defer func() { meter.ObserveRequest(c.routeName(), c.outcome, f.Clock()-c.start) }()
	defer c.releaseMemory()
	if refusal := c.run(c.forward); refusal != nil {
		c.refuse(refusal)
	}
	return c.end()
}

// end returns what is known of the request once it was handled.
func (c *proxyCall) end() finisher.End { return finisher.End{ID: c.request.ID, Err: c.lastErr} }

// newCall counts a request and returns its state.
func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request) *proxyCall {
	f.activeRequests.Add(1)
	return &proxyCall{Forwarder: f, w: w, r: r, start: f.Clock(), executed: samphireturn.ExecutedNo, outcome: meter.OutcomeCallerLeft}
}

// announceClose adds to the head of an answer that its connection closes, while the daemon
// leaves.
func (c *proxyCall) announceClose() {
	if c.leaving.Load() {
		c.w.Header().Set("Connection", "close")
	}
}

// run admits the request and forwards it.
func (c *proxyCall) run(forward func() *samphireturn.Refusal) *samphireturn.Refusal {
	if refusal := c.admit(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.timeout)
	defer cancel()
	c.ctx = ctx
	return forward()
}
