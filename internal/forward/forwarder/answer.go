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
	heldBody = 128 << 10
	// patienceShare is the part of a repeatable request's objective that one
	// endpoint gets before another is asked.
	patienceShare = 1.5
	// leftShare is the part of the time left that one endpoint gets at least.
	leftShare = 3
)

// forward sends the request and passes the answer on.
func (j *job) forward() *samphireturn.Refusal {
	if j.route.Work == samphireturn.WorkStream {
		return j.stream()
	}
	for {
		a, refusal := j.send(j.wholePatience())
		if refusal != nil {
			return refusal
		}
		again, refusal := j.pass(a)
		if refusal != nil || !again {
			return refusal
		}
	}
}

// wholePatience returns how long a whole answer is waited for at one endpoint; zero
// means to the end.
func (j *job) wholePatience() patience {
	if !j.route.Repeatable() || j.runs+1 >= j.route.MaxAttempts {
		return patience{}
	}
	return patience{most: max(time.Duration(patienceShare*float64(j.route.Objective)), j.left()/leftShare)}
}

// pass passes a whole answer on, or reports that the request is to be sent
// again.
func (j *job) pass(a *attempt) (again bool, _ *samphireturn.Refusal) {
	defer a.close()
	j.sends++
	j.runs++
	j.run = samphireturn.ExecutedYes
	if a.Status >= http.StatusInternalServerError {
		j.Balancer.Fault(a.host, false)
	}
	held, err := io.ReadAll(io.LimitReader(a, heldBody))
	if err != nil {
		err = errors.Wrap(a.cause(err), "read answer")
	} else {
		err = j.flaw(a)
	}
	failed := err != nil || a.Status >= http.StatusInternalServerError
	if failed && j.mayRepeat() {
		fault := err
		if fault == nil {
			fault = errors.Errorf("status %d", a.Status)
		}
		j.avoid(a.host, fault)
		repeats.Add("failed", 1)
		j.Log.Debug().Str("event", logger.EventRepeat).Str("id", j.ask.ID).Str("endpoint", a.host.ID).Int("status", a.Status).Err(err).Send()
		return true, nil
	}
	if err != nil {
		j.run = samphireturn.ExecutedUnknown
		if j.ctx.Err() != nil {
			return false, j.over()
		}
		return false, j.refusal(samphireturn.ReasonEndpointFailed, 0, err)
	}
	j.head(a)
	if _, err := j.w.Write(held); err != nil {
		return false, nil
	}
	if len(held) == heldBody {
		if _, err := io.Copy(j.w, a); err != nil {
			j.abort(err)
		}
	}
	j.served(a)
	return false, nil
}

// flaw returns why an answer can't be passed on as it is.
func (j *job) flaw(a *attempt) error {
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
func (j *job) mayRepeat() bool {
	return j.route.Repeatable() && j.runs < j.route.MaxAttempts && j.ctx.Err() == nil
}

// served logs a request that was answered.
func (j *job) served(a *attempt) {
	j.outcome = meter.OutcomeServed
	if a.Status >= http.StatusInternalServerError {
		j.outcome = meter.OutcomeFailed
	}
	j.Log.Info().Str("event", logger.EventServed).Str("id", j.ask.ID).Str("session", j.ask.Session).Str("route", j.route.Name).Str("endpoint", a.host.ID).
		Int("status", a.Status).Int("sends", j.sends).Int("attempts", j.route.MaxAttempts).Int("step", j.step).Int("confidence", a.Meta.Confidence).
		Dur("first", j.first).Bool("late", j.route.Objective > 0 && j.first > j.route.Objective).Dur("took", j.Clock()-j.start).Send()
}

// abort breaks the caller's connection, so that a part of an answer never looks
// whole.
func (j *job) abort(err error) {
	refusals.Add(samphireturn.ReasonStreamBroken, 1)
	meter.CountRefusal(samphireturn.ReasonStreamBroken)
	j.outcome = meter.OutcomeBroken
	j.Log.Warn().Str("event", logger.EventBroken).Str("id", j.ask.ID).Str("route", j.route.Name).Str("last", j.last).
		Int("sends", j.sends).Dur("took", j.Clock()-j.start).Err(err).Send()
	panic(http.ErrAbortHandler)
}
