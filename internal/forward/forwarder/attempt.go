package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
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
	// maxReachProbes is the number of endpoints that are dialled to find out whether any
	// can be reached.
	maxReachProbes = 3
	// linkSettleTime is how long delayed answers may take to arrive after a link is back.
	linkSettleTime = 100 * time.Millisecond
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
	// resumes is true if the attempt resumes a stream that has begun.
	resumes bool
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
	a.timer = time.AfterFunc(a.nextCheck(0), a.checkProgress)
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

// checkProgress cancels an attempt that makes no progress, if the request can go on
// elsewhere. Once a stream has begun, an endpoint that still sends to other requests is
// assumed to work on it too, and the silence of one stream does not end it. An endpoint
// that is silent to all requests and can't be reached is dead. A daemon that is leaving
// has too few requests to conclude from their silence that an endpoint does not work.
func (a *attempt) checkProgress() {
	c := a.call
	waited := c.Clock() - time.Duration(a.lastRead.Load())
	move := a.stalled(waited) && a.canMove()
	if a.ctx.Err() != nil {
		return
	}
	if move && c.budget.TryWithdraw(a.retryReserve()) {
		c.retryPaid.Store(true)
		retries.Add("stalled", 1)
		a.cancel(errStalled)
		return
	}
	a.timer.Reset(a.nextCheck(waited))
}

// stalled reports whether an attempt that has received nothing for the time waited makes
// no progress.
func (a *attempt) stalled(waited time.Duration) bool {
	c := a.call
	maxWait := time.Duration(a.maxWait.Load())
	silentFor := c.Balancer.SilentFor(a.host)
	silent := waited >= silenceThreshold && silentFor >= silenceThreshold
	mayMove := !a.streaming.Load() || silent && !c.leaving.Load()
	if maxWait > 0 && waited >= maxWait && mayMove {
		return true
	}
	if a.maxSilentWait > 0 && waited >= a.maxSilentWait && !a.streaming.Load() && silentFor >= waited {
		return true
	}
	if silent && c.Sender.Probe(a.ctx, a.host) != nil && a.ctx.Err() == nil {
		c.Balancer.RecordFailure(a.host, true)
		return true
	}
	return false
}

// canMove reports whether an attempt that makes no progress can go on at any endpoint. A
// daemon that has lately heard from no endpoint at all may have lost its own link: the
// endpoint then works on, and the attempt is kept until an endpoint can be reached. If the
// link is back by then, so is the answer.
func (a *attempt) canMove() bool {
	c := a.call
	if c.Balancer.AllSilentFor() < silenceThreshold {
		return true
	}
	lastRead := a.lastRead.Load()
	if c.reachesAny(a.ctx, c.Stager.Hosts(c.currentView(), c.pool.Name, c.request.Session, c.request.ID)) {
		return timekeeper.Sleep(a.ctx, linkSettleTime) && a.lastRead.Load() == lastRead
	}
	if a.ctx.Err() == nil {
		c.Log.Info().Str("event", logger.EventAttemptKept).Str("id", c.request.ID).Str("endpoint", a.host.ID).
			Dur("quiet", c.Balancer.AllSilentFor()).Send()
	}
	return false
}

// retryReserve is that of the request, which may have begun with this attempt.
func (a *attempt) retryReserve() float64 {
	if a.resumes || a.streaming.Load() {
		return 0
	}
	return resumeReserve
}

// reachesAny reports whether any of up to maxReachProbes of the endpoints can be dialled.
func (c *proxyCall) reachesAny(ctx context.Context, hosts []*samphireturn.Host) bool {
	ctx, cancel := context.WithCancel(ctx)
	var probes sync.WaitGroup
	defer probes.Wait()
	defer cancel()
	n := min(len(hosts), maxReachProbes)
	first := int(c.Rand() * float64(len(hosts)))
	reached := make(chan bool, n)
	for i := range n {
		probes.Go(func() { reached <- c.Sender.Probe(ctx, hosts[(first+i)%len(hosts)]) == nil })
	}
	for range n {
		if <-reached {
			return true
		}
	}
	return false
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
