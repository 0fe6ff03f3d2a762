package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/core/rationer"
	"samphireturn/internal/core/timekeeper"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/isolator"
	"samphireturn/internal/forward/sender"
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
	// assumed to be working. Sound endpoints fall silent for a second or so; with the dial that
	// follows, nearly two seconds pass.
	silenceThreshold = 1600 * time.Millisecond
	// maxSilence is how long a stream that has begun stays at a silent endpoint that accepts
	// connections.
	maxSilence = sender.UnackedTimeout
	// linkSettleTime is how long delayed answers may take to arrive after a link is back.
	linkSettleTime = 100 * time.Millisecond
)

// waitLimits bounds the wait for the first bytes of an answer.
type waitLimits struct {
	// total is the longest wait, silent the longest wait at an endpoint that sends
	// nothing to any request meanwhile; 0 means no limit.
	total, silent time.Duration
	// maxTotal is the longest wait at an endpoint that is expected to need long; 0 if total
	// holds at any endpoint.
	maxTotal time.Duration
}

// totalAt returns the longest wait at an endpoint that is expected to answer after delay.
func (l waitLimits) totalAt(delay time.Duration) time.Duration {
	return max(l.total, min(silentDelayFactor*delay, l.maxTotal))
}

// attempt is one attempt to run a request at an endpoint.
type attempt struct {
	*samphireturn.Response
	call *proxyCall
	ctx  context.Context
	// host is the endpoint, or the peer that is asked for the attempt if byPeer is true.
	host   *samphireturn.Host
	byPeer bool
	// endpoint and release are those of the endpoint, as far as they are known.
	endpoint, release string
	// balancer holds the state of host.
	balancer    *balancer.Balancer
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
	// kept is true once it was logged that the attempt goes on for want of a link.
	kept bool
	// streaming is true once the answer is accepted and its events are forwarded.
	streaming atomic.Bool
	// answer is what the isolator learns of the answer.
	answer *isolator.Answer
	// share holds what is kept of the body.
	share rationer.Share
	// events is the number of complete events of the answer so far.
	events int
	// lastRead is when bytes last came, or the start, in nanoseconds of Clock.
	lastRead atomic.Int64
}

// startWatchdog starts the progress checks of an attempt, if the request may be
// retried at another endpoint.
func (a *attempt) startWatchdog(limits waitLimits) {
	a.maxWait.Store(int64(limits.totalAt(a.reservation.EstimatedDelay)))
	a.maxSilentWait = limits.silent
	if a.maxSilentWait > 0 {
		a.maxSilentWait = max(a.maxSilentWait, silentDelayFactor*a.reservation.EstimatedDelay, silentDelayFactor*a.reservation.TypicalDelay)
	}
	a.lastRead.Store(int64(a.call.Clock()))
	if !a.call.mayRetryAfterThis() {
		a.timer = time.AfterFunc(defaultTimeout, func() {})
		return
	}
	// checkProgress reads the timer, so it is set before the timer may fire.
	a.timer = time.AfterFunc(defaultTimeout, a.checkProgress)
	a.timer.Reset(a.nextCheck(0))
}

// nextCheck returns the time until the next progress check after a wait.
func (a *attempt) nextCheck(waited time.Duration) time.Duration {
	if maxWait := time.Duration(a.maxWait.Load()); a.streaming.Load() && maxWait > 0 && waited >= maxWait {
		return minCheckInterval
	}
	return a.untilLimit(waited)
}

// untilLimit returns the time until the next limit of the wait is reached, at most
// maxCheckInterval.
func (a *attempt) untilLimit(waited time.Duration) time.Duration {
	limits := [2]time.Duration{time.Duration(a.maxWait.Load())}
	if !a.streaming.Load() {
		limits[1] = a.maxSilentWait
	}
	next := maxCheckInterval
	for _, limit := range limits {
		if limit > waited {
			next = min(next, max(limit-waited, minCheckInterval))
		}
	}
	return next
}

// checkProgress cancels an attempt that makes no progress, if the request can go on
// elsewhere. Once a stream has begun, an endpoint that still sends to other requests is
// assumed to work on it too, and the silence of one stream does not end it. An endpoint
// that is silent to all requests and can't be reached is dead, unless it may not be
// probed. A daemon that is leaving has too few requests to conclude from their silence
// that an endpoint does not work.
func (a *attempt) checkProgress() {
	c := a.call
	lastRead := a.lastRead.Load()
	waited := c.Clock() - time.Duration(lastRead)
	wait := a.nextCheck(waited)
	if a.mayBeStalled(waited) && a.retryAvailable() {
		move := a.mustMove(waited)
		if a.ctx.Err() != nil {
			return
		}
		if move && a.lastRead.Load() == lastRead && a.payRetry() {
			retries.Add("stalled", 1)
			a.cancel(errStalled)
			return
		}
		wait = a.untilLimit(waited)
	}
	a.timer.Reset(wait)
}

// overdue reports whether nothing has come for longer than the limits of the attempt.
func (a *attempt) overdue(waited time.Duration) bool {
	c := a.call
	maxWait := time.Duration(a.maxWait.Load())
	mayMove := !a.streaming.Load() || a.silent(waited) && !c.leaving.Load()
	if maxWait > 0 && waited >= maxWait && mayMove {
		return true
	}
	return a.maxSilentWait > 0 && waited >= a.maxSilentWait && !a.streaming.Load() && a.balancer.SilentFor(a.host) >= waited
}

// silent reports whether the endpoint has lately sent nothing to this attempt or any other.
func (a *attempt) silent(waited time.Duration) bool {
	return waited >= silenceThreshold && a.balancer.SilentFor(a.host) >= silenceThreshold
}

// mayBeStalled reports whether the attempt may make no progress.
func (a *attempt) mayBeStalled(waited time.Duration) bool {
	return a.overdue(waited) || a.silent(waited)
}

// mustMove reports whether an attempt that may be stalled has to go on at another
// endpoint. A stream that has begun is moved only if this daemon's own link works: the
// silence of one endpoint proves nothing if none sends, and a dial that fails proves
// nothing if all do.
func (a *attempt) mustMove(waited time.Duration) bool {
	c := a.call
	if a.byPeer {
		return a.peerLost()
	}
	begun := a.resumes || a.streaming.Load()
	if a.overdue(waited) && (!begun || waited >= maxSilence) {
		return !begun || c.Balancer.AllSilentFor() < silenceThreshold || a.mayGoOn("")
	}
	if !c.mayProbe(c.Control.Snapshot().View, a.host) {
		return false
	}
	if c.Sender.Probe(a.ctx, a.host) == nil || a.ctx.Err() != nil || c.Balancer.SilentFor(a.host) < silenceThreshold {
		return false
	}
	if begun && !a.mayGoOn(a.host.ID) {
		return false
	}
	c.Balancer.RecordFailure(a.host, true)
	return true
}

// peerLost reports whether the peer that was asked for the attempt does not accept a
// connection.
func (a *attempt) peerLost() bool {
	if a.call.peers.sender.Probe(a.ctx, a.host) == nil || a.ctx.Err() != nil {
		return false
	}
	a.balancer.RecordFailure(a.host, true)
	return true
}

// mayGoOn reports whether a stream that has begun may go on elsewhere: this daemon reaches
// any endpoint but the named one, or a peer, or the daemon that asked for the attempt does. It
// runs beside the request and reads nothing that changes with it.
func (a *attempt) mayGoOn(except string) bool {
	c := a.call
	reached := c.checkLink(a.ctx)
	if reached != "" && reached != except {
		// Answers that were delayed by the link arrive now.
		return timekeeper.Sleep(a.ctx, linkSettleTime)
	}
	if reached == "" && (c.forPeer != nil || c.anyPeer(a.ctx, c.pool.Name)) {
		return true
	}
	if a.ctx.Err() == nil && !a.kept {
		a.kept = true
		c.Log.Info().Str("event", logger.EventAttemptKept).Str("id", c.request.ID).Str("endpoint", a.host.ID).
			Dur("quiet", c.Balancer.AllSilentFor()).Send()
	}
	return false
}

// retryAvailable reports whether the retry budget allows the request to go on elsewhere. For
// an attempt that a peer asked for, the peer pays.
func (a *attempt) retryAvailable() bool {
	return a.call.forPeer != nil || a.call.budget.Available(a.retryReserve())
}

// payRetry withdraws from the retry budget for the next attempt, and reports whether there
// may be one.
func (a *attempt) payRetry() bool {
	c := a.call
	if c.forPeer != nil {
		return true
	}
	if !c.budget.TryWithdraw(a.retryReserve()) {
		return false
	}
	c.retryPaid.Store(true)
	return true
}

// retryReserve is that of the request, which may have begun with this attempt.
func (a *attempt) retryReserve() float64 {
	if a.resumes || a.streaming.Load() {
		return 0
	}
	return resumeReserve
}

// recordSendError records that the attempt ended before the head of an answer.
func (a *attempt) recordSendError(err error) {
	switch {
	case sender.AsError(err).NotReceived():
		a.answer.Cancel()
		a.reservation.NotReceived()
	case a.ctx.Err() == nil:
		a.answer.Lose()
	}
}

// lose records that the answer, whose head has come, was not completed.
func (a *attempt) lose(err error) {
	a.answer.Lose()
	c := a.call
	if !a.byPeer {
		c.answerLost(a.host, a.stage(), err)
		return
	}
	c.logLostAnswer(a.endpoint, a.stage(), err)
	meter.CountPeerAttempt(meter.PeerLost)
	if c.ctx.Err() == nil {
		a.balancer.RecordFailure(a.host, false)
	}
}

// stage returns the stage of an answer whose head has come.
func (a *attempt) stage() string {
	if a.events == 0 {
		return stageHead
	}
	return stageEvents
}

// finish stops the checks, cancels the attempt's context and releases its share and its
// reservation.
func (a *attempt) finish() {
	a.timer.Stop()
	a.cancel(nil)
	a.share.Release()
	a.answer.Abandon()
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
		a.balancer.RecordActivity(a.host)
	}
	return n, err
}
