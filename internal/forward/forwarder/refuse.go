package forwarder

import (
	"context"
	"net/http"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/traffic/collector"
)

const (
	// notReadyRetryAfter is the Retry-After of a daemon without a routing table or
	// with one that is not confirmed recently enough.
	notReadyRetryAfter = 700 * time.Millisecond
	// busyRetryAfter is the Retry-After when all endpoints are full, none is
	// available, the attempts failed or the deadline passed.
	busyRetryAfter = 500 * time.Millisecond
	// retryAfterJitter is the width of the jitter as a share of Retry-After.
	retryAfterJitter = 0.5
	// returnSpreadShare is the share of the time left of a pause over which callers come
	// back after it, if that is more than busyRetryAfter.
	returnSpreadShare = 0.25
	// discardPause is how long a caller that is refused may pause in its body until its connection is
	// closed, slowDiscardPause if it was too slow before.
	discardPause     = time.Second
	slowDiscardPause = 200 * time.Millisecond
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// deadlineRefusal returns the refusal of a request whose deadline has passed or
// whose caller left.
func (c *proxyCall) deadlineRefusal() *samphireturn.Refusal {
	return c.refusal(samphireturn.ReasonDeadline, busyRetryAfter, context.Cause(c.ctx))
}

// noEndpointRefusal returns the refusal of a request for which no endpoint is left. If all
// that can be reached are paused or limited, the caller is asked to come back when the first
// is available. More urgent requests come back earlier, as there is no queue.
func (c *proxyCall) noEndpointRefusal() *samphireturn.Refusal {
	left, limited, ok := c.Balancer.AvailableIn(&c.pickRequest)
	if !ok {
		return c.refusal(samphireturn.ReasonNoEndpoint, busyRetryAfter, c.lastErr)
	}
	reason := samphireturn.ForwardPaused
	if limited {
		reason = samphireturn.ForwardLimited
	}
	urgency := float64(min(max(c.priority, 0), maxPriority)) / (maxPriority + 1)
	spread := max(busyRetryAfter, time.Duration(returnSpreadShare*float64(left)))
	left += time.Duration((urgency + c.Rand()) / 2 * float64(spread))
	// Encoded times are rounded, and none may end early.
	return c.refusal(reason, left.Truncate(time.Millisecond)+time.Millisecond, c.lastErr)
}

// refusal returns a refusal that says whether the request may have been executed.
func (c *proxyCall) refusal(reason string, retryAfter time.Duration, err error) *samphireturn.Refusal {
	r := refusal(reason, retryAfter, err)
	r.Executed = c.executed
	return r
}

func refusal(reason string, retryAfter time.Duration, err error) *samphireturn.Refusal {
	return &samphireturn.Refusal{Reason: reason, Executed: samphireturn.ExecutedNo, RetryAfter: retryAfter, Err: err}
}

// refuse answers the caller with a refusal, logs and counts it. It panics with
// http.ErrAbortHandler if the caller left.
func (c *proxyCall) refuse(refusal *samphireturn.Refusal) {
	refusals.Add(refusal.Reason, 1)
	meter.CountRefusal(refusal.Reason)
	// Callers that are refused together must not retry together. The time until an endpoint
	// is available includes a jitter, and that of an isolation must not end early.
	switch refusal.Reason {
	case samphireturn.ForwardPaused, samphireturn.ForwardLimited, samphireturn.ForwardIsolated:
	default:
		refusal.RetryAfter = c.jitter(refusal.RetryAfter)
	}
	if c.left(refusal) {
		c.Log.Info().Str("event", logger.EventCallerLeft).Str("id", c.request.ID).Str("route", c.routeName()).Int("sends", c.sends).
			Dur("took", c.Clock()-c.start).Send()
		panic(http.ErrAbortHandler)
	}
	c.outcome = meter.OutcomeFailed
	if refusal.Executed == samphireturn.ExecutedNo {
		c.outcome = meter.OutcomeRefused
	}
	line := c.Log.Warn().Str("event", logger.EventRefused).Str("id", c.request.ID).Str("reason", refusal.Reason).Str("run", refusal.Executed).
		Str("route", c.routeName()).Int("sends", c.sends).Dur("took", c.Clock()-c.start).Dur("age", c.tableAge(c.view)).
		Dur("retry", refusal.RetryAfter)
	if c.view != nil && c.view.Table != nil {
		line = line.Int64("table", c.view.Table.Version)
	}
	if refusal.Reason == samphireturn.ReasonNoEndpoint {
		line = line.Int("endpoints", len(c.pickRequest.Hosts)).Int("unreachable", c.Balancer.CountUnreachable(c.pickRequest.Hosts)).Bool("link_lost", c.LinkLost())
	}
	line.Err(refusal.Err).Send()
	c.writeRefusal(refusal)
}

// left reports whether the caller left before a refusal. A body that comes too late cancels the
// request's context too, but its caller still waits for the answer.
func (c *proxyCall) left(refusal *samphireturn.Refusal) bool {
	return c.r.Context().Err() != nil && refusal.Reason != samphireturn.ForwardRequestSlow
}

// writeRefusal answers with a refusal, also a caller that is still sending its body.
func (c *proxyCall) writeRefusal(refusal *samphireturn.Refusal) {
	c.announceClose()
	if c.collected != nil || c.r.ContentLength == 0 {
		c.CallerProtocol.WriteError(c.w, c.request, refusal)
		return
	}
	pause := discardPause
	switch refusal.Reason {
	case samphireturn.ReasonTooLarge, samphireturn.ForwardNoRoom, samphireturn.ForwardRequestSlow:
		c.w.Header().Set("Connection", "close")
		if refusal.Reason == samphireturn.ForwardRequestSlow {
			pause = slowDiscardPause
		}
	}
	collector.Refuse(c.w, c.r, pause, func() { c.CallerProtocol.WriteError(c.w, c.request, refusal) })
}

// jitter returns a time that differs at random from d.
func (c *proxyCall) jitter(d time.Duration) time.Duration {
	return time.Duration((1 - retryAfterJitter/2 + retryAfterJitter*c.Rand()) * float64(d))
}
