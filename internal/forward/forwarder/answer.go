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
	// heldBody bounds the part of an answer that is read before any of it is
	// passed on, so that a broken one can be asked for again.
	retryBufferSize = 128 << 10
	// patienceShare is the part of a repeatable request's objective that one
	// endpoint gets before another is asked.
	objectiveFactor = 1.5
	// leftShare is the part of the time left that one endpoint gets at least.
	remainingDivisor = 3
)

// forward sends the request and passes the answer on.
func (c *proxyCall) forward() *samphireturn.Refusal {
	if c.route.Work == samphireturn.WorkStream {
		return c.stream()
	}
	for {
		a, refusal := c.send(c.answerLimits())
		if refusal != nil {
			return refusal
		}
		again, refusal := c.forwardAnswer(a)
		if refusal != nil || !again {
			return refusal
		}
	}
}

// wholePatience returns how long a whole answer is waited for at one endpoint; zero
// means to the end.
func (c *proxyCall) answerLimits() waitLimits {
	if !c.route.Repeatable() || c.executions+1 >= c.route.MaxAttempts {
		return waitLimits{}
	}
	return waitLimits{total: max(time.Duration(objectiveFactor*float64(c.route.Objective)), c.remaining()/remainingDivisor)}
}

// pass passes a whole answer on, or reports that the request is to be sent
// again.
func (c *proxyCall) forwardAnswer(a *attempt) (again bool, _ *samphireturn.Refusal) {
	defer a.close()
	c.sends++
	c.executions++
	c.executed = samphireturn.ExecutedYes
	if a.Status >= http.StatusInternalServerError {
		c.Balancer.RecordFailure(a.host, false)
	}
	buffered, err := io.ReadAll(io.LimitReader(a, retryBufferSize))
	if err != nil {
		err = errors.Wrap(a.cause(err), "read answer")
	} else {
		err = c.checkAnswer(a)
	}
	failed := err != nil || a.Status >= http.StatusInternalServerError
	if failed && c.mayRetry() {
		failure := err
		if failure == nil {
			failure = errors.Errorf("status %d", a.Status)
		}
		c.excludeHost(a.host, failure)
		retries.Add("failed", 1)
		c.Log.Debug().Str("event", logger.EventRepeat).Str("id", c.request.ID).Str("endpoint", a.host.ID).Int("status", a.Status).Err(err).Send()
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
	if len(buffered) == retryBufferSize {
		if _, err := io.Copy(c.w, a); err != nil {
			c.abort(err)
		}
	}
	c.recordServed(a)
	return false, nil
}

// flaw returns why an answer can't be passed on as it is.
func (c *proxyCall) checkAnswer(a *attempt) error {
	switch {
	case a.Meta.Encoded:
		return errors.New("answer with an encoding that was not asked for")
	case a.Status < http.StatusMultipleChoices && !a.Meta.HasSeal:
		return errors.New("success without the endpoint's proof")
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusRequestTimeout:
		// Passed on it would promise that the request was not run.
		return errors.Errorf("status %d of an endpoint that may have run the request", a.Status)
	}
	return nil
}

// mayRepeat reports whether a request that has run may be sent once more.
func (c *proxyCall) mayRetry() bool {
	return c.route.Repeatable() && c.executions < c.route.MaxAttempts && c.ctx.Err() == nil
}

// served logs a request that was answered.
func (c *proxyCall) recordServed(a *attempt) {
	c.outcome = meter.OutcomeServed
	if a.Status >= http.StatusInternalServerError {
		c.outcome = meter.OutcomeFailed
	}
	c.Log.Info().Str("event", logger.EventServed).Str("id", c.request.ID).Str("session", c.request.Session).Str("route", c.route.Name).Str("endpoint", a.host.ID).
		Int("status", a.Status).Int("sends", c.sends).Int("attempts", c.route.MaxAttempts).Int("step", c.step).Int("confidence", a.Meta.Confidence).
		Dur("first", c.firstByte).Bool("late", c.route.Objective > 0 && c.firstByte > c.route.Objective).Dur("took", c.Clock()-c.start).Send()
}

// abort breaks the caller's connection, so that a part of an answer never looks
// whole.
func (c *proxyCall) abort(err error) {
	refusals.Add(samphireturn.ReasonStreamBroken, 1)
	meter.CountRefusal(samphireturn.ReasonStreamBroken)
	c.outcome = meter.OutcomeBroken
	c.Log.Warn().Str("event", logger.EventBroken).Str("id", c.request.ID).Str("route", c.route.Name).Str("last", c.lastEventID).
		Int("sends", c.sends).Dur("took", c.Clock()-c.start).Err(err).Send()
	panic(http.ErrAbortHandler)
}
