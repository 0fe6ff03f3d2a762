package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
)

const (
	// retryBufferSize is the number of bytes of an answer that are read before any
	// of it is forwarded, so that the request can be retried if the answer breaks off. It is
	// less where answers have no more room.
	retryBufferSize = 128 << 10
	// objectiveFactor times the objective of a repeatable request is how long one
	// endpoint gets before the request is retried at another.
	objectiveFactor = 1.5
	// remainingDivisor divides the remaining time; one endpoint gets at least the
	// quotient.
	remainingDivisor = 3
)

// forward sends the request and forwards the answer.
func (c *proxyCall) forward() *samphireturn.Refusal {
	if c.route.Work == samphireturn.WorkStream {
		return c.stream()
	}
	for {
		a, refusal := c.send(c.answerLimits())
		if refusal != nil {
			return refusal
		}
		retry, refusal := c.forwardAnswer(a)
		if refusal != nil || !retry {
			return refusal
		}
	}
}

// answerLimits returns the wait limits of one attempt that is not a stream; there
// are none if the request can't be retried.
func (c *proxyCall) answerLimits() waitLimits {
	if !c.mayRetryAfterThis() {
		return waitLimits{}
	}
	return waitLimits{total: max(time.Duration(objectiveFactor*float64(c.route.Objective)), c.remaining()/remainingDivisor)}
}

// forwardAnswer forwards an answer that is not a stream, or reports that the request
// should be retried.
func (c *proxyCall) forwardAnswer(a *attempt) (retry bool, _ *samphireturn.Refusal) {
	defer a.close()
	c.sends++
	c.executions++
	c.executed = samphireturn.ExecutedYes
	if a.Status >= http.StatusInternalServerError {
		c.recordFailure(a)
	}
	buffered, ended, err := a.share.ReadAll(a, retryBufferSize)
	if err != nil {
		err = errors.Wrap(a.cause(err), "read answer")
		a.lose(err)
	} else {
		a.answer.Succeed()
		err = c.checkAnswer(a)
	}
	failed := err != nil || a.Status >= http.StatusInternalServerError
	if failed && c.mayRetry() {
		failure := err
		if failure == nil {
			failure = errors.Errorf("status %d", a.Status)
		}
		c.excludeHost(a.endpoint, failure)
		retries.Add("failed", 1)
		c.Log.Debug().Str("event", logger.EventRetry).Str("id", c.request.ID).Str("endpoint", a.endpoint).Int("status", a.Status).Err(err).Send()
		return true, nil
	}
	if err != nil {
		c.executed = samphireturn.ExecutedUnknown
		if c.ctx.Err() != nil {
			return false, c.deadlineRefusal()
		}
		return false, c.refusal(samphireturn.ReasonEndpointFailed, 0, err)
	}
	c.writeHead(a)
	if _, err := c.w.Write(buffered); err != nil {
		return false, nil
	}
	if !ended {
		if _, err := io.Copy(c.w, a); err != nil {
			c.abort(err)
		}
	}
	c.recordServed(a)
	return false, nil
}

// checkAnswer returns an error if the answer can't be forwarded.
func (c *proxyCall) checkAnswer(a *attempt) error {
	switch {
	case a.Meta.Encoded:
		return errors.New("answer has a content encoding that was not requested")
	case a.Status < http.StatusMultipleChoices && !a.Meta.HasSeal:
		return errors.New("successful answer lacks the endpoint's seal")
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusRequestTimeout:
		// Forwarding it would tell the caller that the request was not executed.
		return errors.Errorf("status %d of an endpoint that may have executed the request", a.Status)
	}
	return nil
}

// mayRetry reports whether a request that may have been executed may be retried.
func (c *proxyCall) mayRetry() bool {
	if c.forPeer != nil {
		return c.forPeer.MayRetry && !c.expired()
	}
	return c.route.Repeatable() && c.executions < c.route.MaxAttempts && !c.expired()
}

// mayRetryAfterThis reports whether the request may be retried after a further attempt.
func (c *proxyCall) mayRetryAfterThis() bool {
	if c.forPeer != nil {
		return c.forPeer.MayRetry
	}
	return c.route.Repeatable() && c.executions+1 < c.route.MaxAttempts
}

// maxExecutions returns the number of endpoints that may execute the request.
func (c *proxyCall) maxExecutions() int {
	if c.forPeer != nil {
		return 1
	}
	return c.route.MaxAttempts
}

// recordServed logs a request that was answered and sets its outcome.
func (c *proxyCall) recordServed(a *attempt) {
	c.outcome = meter.OutcomeServed
	if a.Status >= http.StatusInternalServerError {
		c.outcome = meter.OutcomeFailed
	}
	c.Log.Info().Str("event", logger.EventServed).Str("id", c.request.ID).Str("session", c.request.Session).Str("route", c.route.Name).Str("endpoint", a.endpoint).Bool("by_peer", a.byPeer).
		Int("status", a.Status).Int("sends", c.sends).Int("attempts", c.route.MaxAttempts).Int("step", c.step).Int("confidence", a.Meta.Confidence).
		Dur("first", c.firstByte).Bool("late", c.route.Objective > 0 && c.firstByte > c.route.Objective).Dur("took", c.Clock()-c.start).Send()
}

// abort logs the error and panics with http.ErrAbortHandler, which closes the
// caller's connection, so that a partial answer never looks complete.
func (c *proxyCall) abort(err error) {
	refusals.Add(samphireturn.ReasonStreamBroken, 1)
	meter.CountRefusal(samphireturn.ReasonStreamBroken)
	c.outcome = meter.OutcomeBroken
	c.Log.Warn().Str("event", logger.EventBroken).Str("id", c.request.ID).Str("route", c.route.Name).Str("last", c.lastEventID).
		Int("sends", c.sends).Dur("took", c.Clock()-c.start).Err(err).Send()
	panic(http.ErrAbortHandler)
}
