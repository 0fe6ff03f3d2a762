package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
)

const (
	// maxCheckInterval and minCheckInterval bound the time between two checks of a
	// waiting attempt.
	maxCheckInterval = 500 * time.Millisecond
	minCheckInterval = 50 * time.Millisecond
	// silentDelayFactor is how many times the expected delay an answer may take to
	// begin at an endpoint that sends nothing to any request: it may be processing a
	// long prompt.
	silentDelayFactor = 2
	// silenceThreshold is how long an endpoint that sends nothing to any request is
	// assumed to be working; it spans dozens of the endpoint's steps.
	silenceThreshold = time.Second
)

// waitLimits bounds the wait for the first bytes of an answer.
type waitLimits struct {
	// total is the longest wait, silent the longest wait at an endpoint that sends
	// nothing to any request meanwhile; 0 means no limit.
	total, silent time.Duration
}

// attempt is one attempt to run a request at an endpoint.
type attempt struct {
	*samphireturn.Response
	call        *proxyCall
	ctx         context.Context
	host        *samphireturn.Host
	reservation *balancer.Reservation
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	// maxWait is the longest wait for the next bytes in nanoseconds; 0 means no limit.
	maxWait atomic.Int64
	// maxSilentWait is the longest wait for the first bytes at an endpoint that sends
	// nothing to any request meanwhile; 0 means no limit.
	maxSilentWait time.Duration
	// streaming is true once the answer is accepted and its events are forwarded.
	streaming atomic.Bool
	// lastRead is when bytes last came, or the start, in nanoseconds of Clock.
	lastRead atomic.Int64
}

// startWatchdog starts the progress checks of an attempt, if the request may be
// retried at another endpoint.
func (a *attempt) startWatchdog(limits waitLimits) {
	a.maxWait.Store(int64(limits.total))
	a.maxSilentWait = limits.silent
	if a.maxSilentWait > 0 {
		a.maxSilentWait = max(a.maxSilentWait, silentDelayFactor*a.reservation.EstimatedDelay, silentDelayFactor*a.reservation.TypicalDelay)
	}
	a.lastRead.Store(int64(a.call.Clock()))
	canRetry := a.call.route.Repeatable() && a.call.executions+1 < a.call.route.MaxAttempts
	if !canRetry {
		a.timer = time.AfterFunc(defaultTimeout, func() {})
		return
	}
	// checkProgress reads the timer, so it is set before the timer may fire.
	a.timer = time.AfterFunc(defaultTimeout, a.checkProgress)
	a.timer.Reset(a.nextCheck(0))
}

// nextCheck returns the time until the next progress check after a wait.
func (a *attempt) nextCheck(waited time.Duration) time.Duration {
	maxWait := time.Duration(a.maxWait.Load())
	if a.maxSilentWait > waited && !a.streaming.Load() {
		maxWait = a.maxSilentWait
	}
	if maxWait <= 0 {
		return maxCheckInterval
	}
	return min(max(maxWait-waited, minCheckInterval), maxCheckInterval)
}

// checkProgress cancels an attempt that makes no progress. Once a stream has begun,
// an endpoint that still sends to other requests is assumed to work on it too, and
// the silence of one stream does not end it. An endpoint that is silent to all
// requests and can't be reached is dead, unless it may not be probed. A daemon that is leaving has too few
// requests to conclude from their silence that an endpoint does not work.
func (a *attempt) checkProgress() {
	c := a.call
	waited := c.Clock() - time.Duration(a.lastRead.Load())
	maxWait := time.Duration(a.maxWait.Load())
	silent := waited >= silenceThreshold && c.Balancer.SilentFor(a.host) >= silenceThreshold
	mayMove := !a.streaming.Load() || silent && !c.leaving.Load()
	stalled := maxWait > 0 && waited >= maxWait && mayMove
	if a.maxSilentWait > 0 && waited >= a.maxSilentWait && !a.streaming.Load() && c.Balancer.SilentFor(a.host) >= waited {
		stalled = true
	}
	if !stalled && silent && c.mayProbe(c.Control.Snapshot().View, a.host) && c.Sender.Probe(a.ctx, a.host) != nil && a.ctx.Err() == nil {
		c.Balancer.RecordFailure(a.host, true)
		stalled = true
	}
	if stalled && c.budget.TryWithdraw(0) {
		c.retryPaid.Store(true)
		retries.Add("stalled", 1)
		a.cancel(errStalled)
		return
	}
	a.timer.Reset(a.nextCheck(waited))
}

// finish stops the checks, cancels the attempt's context and releases its
// reservation.
func (a *attempt) finish() {
	a.timer.Stop()
	a.cancel(nil)
	a.reservation.Done()
}

// close closes the body of the answer and finishes the attempt.
func (a *attempt) close() {
	_ = a.Body.Close()
	a.finish()
}

// cause returns why the answer broke off. If this daemon cancelled the attempt, that
// is the reason; err is only the error of the connection closed by it.
func (a *attempt) cause(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return cause
	}
	return err
}

// Read reads from the body and records that the endpoint makes progress.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if n > 0 {
		a.lastRead.Store(int64(a.call.Clock()))
		a.call.Balancer.RecordActivity(a.host)
	}
	return n, err
}
