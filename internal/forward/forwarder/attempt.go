package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
)

const (
	// lookTime is the longest time between two looks at an attempt that waits.
	maxCheckInterval = 500 * time.Millisecond
	// leastLook is the shortest.
	minCheckInterval = 50 * time.Millisecond
	// usualTimes is how many times as long as expected an answer may take to begin at an
	// endpoint that sends nothing to anyone: it may read a long prompt.
	silentDelayFactor = 2
	// quietTime is how long an endpoint that sends nothing to anyone is taken to
	// work still: dozens of its steps.
	silenceThreshold = time.Second
)

// patience says how long the first bytes of an answer are waited for.
type waitLimits struct {
	// most is the longest wait, and mute the longest at an endpoint that sends nothing to
	// anyone meanwhile; zero is no bound.
	total, silent time.Duration
}

// attempt is one send of a request.
type attempt struct {
	*samphireturn.Response
	call        *proxyCall
	ctx         context.Context
	host        *samphireturn.Host
	reservation *balancer.Reservation
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	// limit is the longest wait for the next bytes in nanoseconds; zero is no bound.
	maxWait atomic.Int64
	// mute is the longest wait for the first bytes at an endpoint that has sent nothing
	// to anyone meanwhile; zero is no bound.
	maxSilentWait time.Duration
	// begun is true once events were passed on; last is when bytes came last.
	streaming atomic.Bool
	lastRead  atomic.Int64
}

// watch looks after an attempt that waits, if the request can go on elsewhere.
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
	a.timer = time.AfterFunc(a.nextCheck(0), a.checkProgress)
}

// next returns the time until the next look after a wait.
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

// look ends an attempt that makes no progress. An endpoint that answers others
// works on a stream that has begun and is waited for; silence alone is no reason to
// end an answer. One that is silent to all and can't be reached is dead. A daemon
// that leaves has too few requests to tell by them whether an endpoint works.
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
	if !stalled && silent && c.Sender.Probe(a.ctx, a.host) != nil && a.ctx.Err() == nil {
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

// end gives the attempt's place at the endpoint back.
func (a *attempt) finish() {
	a.timer.Stop()
	a.cancel(nil)
	a.reservation.Done()
}

// close ends the attempt and what is left of its answer.
func (a *attempt) close() {
	_ = a.Body.Close()
	a.finish()
}

// cause returns why the answer broke off. Where this daemon ended the attempt, the
// connection's own error would hide the reason.
func (a *attempt) cause(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return cause
	}
	return err
}

// Read reads on and notes that the endpoint makes progress.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if n > 0 {
		a.lastRead.Store(int64(a.call.Clock()))
		a.call.Balancer.RecordActivity(a.host)
	}
	return n, err
}
