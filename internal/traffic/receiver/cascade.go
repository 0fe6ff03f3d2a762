package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/dispatcher"
)

const (
	preReleaseRatingTimeout  = 2 * time.Second
	postReleaseRatingTimeout = 30 * time.Second
)

// stepAnswer is the answer of one step of the cascade.
type stepAnswer struct {
	status   int
	body     []byte
	text     string
	usage    usage
	version  samphireturn.VersionRef
	endpoint string
}

// runRatedSteps runs the steps of the plan whose answers are rated before
// release, which are all but the last. It returns the first answer that passes,
// or nil if none does. Each step has its own id at the engines, so that a late
// cancel of one step cannot stop a later one there.
func (r *Receiver) runRatedSteps(ctx context.Context, c *chatRequest, plan cascader.Plan) (*stepAnswer, error) {
	for i, step := range plan.Steps[:len(plan.Steps)-1] {
		start := time.Now()
		id := c.id + "." + strconv.Itoa(i+1)
		a, cost, err := r.runStep(ctx, c, step, id)
		if ctx.Err() != nil {
			return nil, err
		}
		if err != nil {
			c.log.Info().Str("event", "step_failed").Str("version", step.Version.String()).Err(err).Msg("step failed, cascade continues")
			continue
		}
		if a.status != http.StatusOK {
			continue // an engine's error answer says nothing about its quality
		}
		rating, rated := r.rateBeforeRelease(ctx, c, a)
		passed := rated && (rating >= c.alias.MinQuality || r.Cascader.AcceptBelowQuality(c.modelRequest, c.alias, plan, i, rating))
		o := c.outcome(step, cost, time.Since(start), i > 0)
		o.Rating, o.Rated, o.Returned = rating, rated, passed
		r.Cascader.RecordOutcome(o)
		if passed {
			a.body = replaceID(a.body, id, c.id)
			return a, nil
		}
	}
	return nil, nil
}

// runFinalStep runs the step whose answer is released without a prior rating.
func (r *Receiver) runFinalStep(ctx context.Context, c *chatRequest, step cascader.Step, afterFailure, rateAfterRelease bool) (*stepAnswer, error) {
	start := time.Now()
	a, cost, err := r.runStep(ctx, c, step, c.id)
	if err != nil {
		return nil, err
	}
	r.recordReleased(c, a, cost, time.Since(start), afterFailure, rateAfterRelease)
	return a, nil
}

// runStep sends a step under the given id and returns its answer and its cost.
func (r *Receiver) runStep(ctx context.Context, c *chatRequest, step cascader.Step, id string) (*stepAnswer, float64, error) {
	w, err := c.stepWork(step.Version, id, false)
	if err != nil {
		return nil, 0, err
	}
	response, e, err := r.Router.Send(ctx, w)
	if err != nil {
		return nil, 0, err
	}
	c.result.endpoint = e.ID
	a := &stepAnswer{status: response.Status, body: response.Body, version: step.Version, endpoint: e.ID}
	if response.Status != http.StatusOK {
		return a, 0, nil
	}
	decoded, err := decodeCompletion(response.Body)
	if err != nil || decoded.Usage == nil || len(decoded.Choices) == 0 {
		return nil, 0, &samphireturn.Refusal{
			Reason:   samphireturn.ReasonEndpointFailed,
			Executed: samphireturn.ExecutedYes,
			Err:      errors.Errorf("answer of %s without text or usage", e.ID),
		}
	}
	a.usage, a.text = *decoded.Usage, decoded.Choices[0].Message.Content
	r.recordPrefixes(e, c)
	r.Picker.ObserveThroughput(e, a.usage.PromptTokens, a.usage.OutputTokens, e.Quota.Requests.Load()+1, response.Duration)
	return a, c.addUsage(step, a.usage), nil
}

// recordPrefixes records that the endpoint now caches the request's prefixes.
func (r *Receiver) recordPrefixes(e *samphireturn.Endpoint, c *chatRequest) {
	if p := r.Picker.Prefixes; p != nil {
		p.Add(e.ID, c.chat.Prefixes...)
	}
}

// replaceID returns an engine's answer with the id from replaced by to.
func replaceID(body []byte, from, to string) []byte {
	if rest, ok := bytes.CutPrefix(body, []byte(`{"id":"`+from+`",`)); ok {
		return append([]byte(`{"id":"`+to+`",`), rest...)
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	fields["id"], _ = json.Marshal(to)
	if renamed, err := json.Marshal(fields); err == nil {
		return renamed
	}
	return body
}

// rateBeforeRelease rates an answer and reports whether the rating came in time:
// within preReleaseRatingTimeout, and within the alias's MaxDelayMs if that is set.
func (r *Receiver) rateBeforeRelease(ctx context.Context, c *chatRequest, a *stepAnswer) (float64, bool) {
	wait := preReleaseRatingTimeout
	if c.alias.MaxDelayMs > 0 {
		wait = min(wait, time.Duration(c.alias.MaxDelayMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	rating, err := r.Rater.Rate(ctx, a.version, c.chat.Text, a.text)
	if err != nil {
		r.Cascader.RecordRatingInTime(false)
		ratings.Add("failed", 1)
		return 0, false
	}
	r.Cascader.RecordRatingInTime(true)
	ratings.Add("judged", 1)
	return rating, true
}

// recordReleased records the outcome of a released answer at the cascader. With
// rateAfterRelease the answer is rated in the background first; if the rating
// pool is full, neither rating nor outcome is recorded.
func (r *Receiver) recordReleased(c *chatRequest, a *stepAnswer, cost float64, delay time.Duration, afterFailure, rateAfterRelease bool) {
	if c.alias == nil || a.status != http.StatusOK {
		return
	}
	o := c.outcome(pricedStep(c.snapshot.Config, a.version), cost, delay, afterFailure)
	o.Returned = true
	prompt := c.chat.Text
	if !rateAfterRelease {
		r.Cascader.RecordOutcome(o)
		return
	}
	r.ratingsInFlight.Add(1)
	_, submitted := r.ratingPool.TrySubmit(func() {
		defer r.ratingsInFlight.Done()
		ctx, cancel := context.WithTimeout(context.Background(), postReleaseRatingTimeout)
		defer cancel()
		rating, err := r.Rater.Rate(ctx, a.version, prompt, a.text)
		o.Rating, o.Rated = rating, err == nil
		r.Cascader.RecordOutcome(o)
	})
	if !submitted {
		r.ratingsInFlight.Done()
		ratings.Add("dropped", 1)
	}
}

// outcome returns the outcome of a step for the cascader.
func (c *chatRequest) outcome(step cascader.Step, cost float64, delay time.Duration, afterFailure bool) cascader.Outcome {
	return cascader.Outcome{
		Team:            c.team.Name,
		Class:           c.options.Class,
		Version:         step.Version,
		MinQuality:      c.alias.MinQuality,
		AfterFailure:    afterFailure,
		Pinned:          c.pinned,
		Cost:            cost,
		QuotedCost:      step.Quote(c.modelRequest),
		EstimatedOutput: c.modelRequest.OutputTokens,
		Delay:           delay,
		Alias:           c.alias,
	}
}

// ownErrorAnswer returns an engine's own error answer that is passed on to the
// caller, which is one of status below 500; otherwise nil.
func ownErrorAnswer(err error) *dispatcher.Answer {
	var e *dispatcher.Error
	if errors.As(err, &e) && e.Answer != nil && e.Answer.Status < http.StatusInternalServerError {
		return e.Answer
	}
	return nil
}
