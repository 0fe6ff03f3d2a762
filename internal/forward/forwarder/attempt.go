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
	lookTime = 500 * time.Millisecond
	// leastLook is the shortest.
	leastLook = 50 * time.Millisecond
	// usualTimes is how many times as long as expected an answer may take to begin at an
	// endpoint that sends nothing to anyone: it may read a long prompt.
	usualTimes = 2
	// quietTime is how long an endpoint that sends nothing to anyone is taken to
	// work still: dozens of its steps.
	quietTime = time.Second
)

// patience says how long the first bytes of an answer are waited for.
type patience struct {
	// most is the longest wait, and mute the longest at an endpoint that sends nothing to
	// anyone meanwhile; zero is no bound.
	most, mute time.Duration
}

// attempt is one send of a request.
type attempt struct {
	*samphireturn.Response
	job    *job
	ctx    context.Context
	host   *samphireturn.Host
	ticket *balancer.Ticket
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// limit is the longest wait for the next bytes in nanoseconds; zero is no bound.
	limit atomic.Int64
	// mute is the longest wait for the first bytes at an endpoint that has sent nothing
	// to anyone meanwhile; zero is no bound.
	mute time.Duration
	// begun is true once events were passed on; last is when bytes came last.
	begun atomic.Bool
	last  atomic.Int64
}

// watch looks after an attempt that waits, if the request can go on elsewhere.
func (a *attempt) watch(p patience) {
	a.limit.Store(int64(p.most))
	a.mute = p.mute
	if a.mute > 0 {
		a.mute = max(a.mute, usualTimes*a.ticket.Delay, usualTimes*a.ticket.Usual)
	}
	a.last.Store(int64(a.job.Clock()))
	movable := a.job.route.Repeatable() && a.job.runs+1 < a.job.route.MaxAttempts
	if !movable {
		a.timer = time.AfterFunc(defaultLimit, func() {})
		return
	}
	a.timer = time.AfterFunc(a.next(0), a.look)
}

// next returns the time until the next look after a wait.
func (a *attempt) next(waited time.Duration) time.Duration {
	limit := time.Duration(a.limit.Load())
	if a.mute > waited && !a.begun.Load() {
		limit = a.mute
	}
	if limit <= 0 {
		return lookTime
	}
	return min(max(limit-waited, leastLook), lookTime)
}

// look ends an attempt that makes no progress. An endpoint that answers others
// works on a stream that has begun and is waited for; silence alone is no reason to
// end an answer. One that is silent to all and can't be reached is dead. A daemon
// that leaves has too few requests to tell by them whether an endpoint works.
func (a *attempt) look() {
	j := a.job
	waited := j.Clock() - time.Duration(a.last.Load())
	limit := time.Duration(a.limit.Load())
	quiet := waited >= quietTime && j.Balancer.Quiet(a.host) >= quietTime
	moves := !a.begun.Load() || quiet && !j.leaving.Load()
	over := limit > 0 && waited >= limit && moves
	if a.mute > 0 && waited >= a.mute && !a.begun.Load() && j.Balancer.Quiet(a.host) >= waited {
		over = true
	}
	if !over && quiet && j.Sender.Probe(a.ctx, a.host) != nil && a.ctx.Err() == nil {
		j.Balancer.Fault(a.host, true)
		over = true
	}
	if over && j.budget.TryWithdraw(0) {
		j.paid.Store(true)
		repeats.Add("stalled", 1)
		a.cancel(errStalled)
		return
	}
	a.timer.Reset(a.next(waited))
}

// end gives the attempt's place at the endpoint back.
func (a *attempt) end() {
	a.timer.Stop()
	a.cancel(nil)
	a.ticket.Done()
}

// close ends the attempt and what is left of its answer.
func (a *attempt) close() {
	_ = a.Body.Close()
	a.end()
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
		a.last.Store(int64(a.job.Clock()))
		a.job.Balancer.Heard(a.host)
	}
	return n, err
}
