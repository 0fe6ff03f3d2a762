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
	judgeTimeout = 2 * time.Second // longest wait for a rating before release
	rateTimeout  = 30 * time.Second
)

// answer is what one step of the cascade gave.
type answer struct {
	status   int
	body     []byte
	text     string
	usage    usage
	version  samphireturn.VersionRef
	endpoint string
}

// judged runs the steps of the plan that are judged before release. It returns
// the first answer that passes, or nil if none did. Each has an id of its own at
// engines, so that a late cancel of one can't stop a later one there.
func (r *Receiver) judged(ctx context.Context, t *turn, plan cascader.Plan) (*answer, error) {
	for i, step := range plan.Steps[:len(plan.Steps)-1] {
		start := time.Now()
		id := t.id + "." + strconv.Itoa(i+1)
		a, cost, err := r.run(ctx, t, step, id)
		if ctx.Err() != nil {
			return nil, err
		}
		if err != nil {
			t.log.Info().Str("event", "step_failed").Str("version", step.Version.String()).Err(err).Msg("cascade goes on")
			continue
		}
		if a.status != http.StatusOK {
			continue // an engine's own refusal says nothing about quality
		}
		rating, rated := r.judge(ctx, t, a)
		passed := rated && (rating >= t.alias.MinQuality || r.Cascader.AcceptBelowQuality(t.work, t.alias, plan, i, rating))
		o := t.outcome(step, cost, time.Since(start), i > 0)
		o.Rating, o.Rated, o.Final = rating, rated, passed
		r.Cascader.RecordOutcome(o)
		if passed {
			a.body = rename(a.body, id, t.id)
			return a, nil
		}
	}
	return nil, nil
}

// step runs the step whose answer is released as it is.
func (r *Receiver) step(ctx context.Context, t *turn, step cascader.Step, after, rate bool) (*answer, error) {
	start := time.Now()
	a, cost, err := r.run(ctx, t, step, t.id)
	if err != nil {
		return nil, err
	}
	r.learn(t, a, cost, time.Since(start), after, rate)
	return a, nil
}

// run sends one step under the id and reads its use.
func (r *Receiver) run(ctx context.Context, t *turn, step cascader.Step, id string) (*answer, float64, error) {
	w, err := t.send(step.Version, id, false)
	if err != nil {
		return nil, 0, err
	}
	got, e, err := r.Router.Send(ctx, w)
	if err != nil {
		return nil, 0, err
	}
	t.result.endpoint = e.ID
	a := &answer{status: got.Status, body: got.Body, version: step.Version, endpoint: e.ID}
	if got.Status != http.StatusOK {
		return a, 0, nil
	}
	c, err := decodeCompletion(got.Body)
	if err != nil || c.Usage == nil || len(c.Choices) == 0 {
		return nil, 0, &samphireturn.Refusal{
			Reason:   samphireturn.ReasonEndpointFailed,
			Executed: samphireturn.ExecutedYes,
			Err:      errors.Errorf("answer of %s without text or usage", e.ID),
		}
	}
	a.usage, a.text = *c.Usage, c.Choices[0].Message.Content
	r.hold(e, t)
	r.Picker.ObserveThroughput(e, a.usage.Prompt, a.usage.Output, e.Quota.Requests.Load()+1, got.Took)
	return a, t.spend(step, a.usage), nil
}

// hold notes that the endpoint now holds the request's prefixes.
func (r *Receiver) hold(e *samphireturn.Endpoint, t *turn) {
	if p := r.Picker.Prefixes; p != nil {
		p.Add(e.ID, t.chat.Prefixes...)
	}
}

// rename returns an engine's answer with another id.
func rename(body []byte, from, to string) []byte {
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

// judge rates an answer before its release, within the alias's delay.
func (r *Receiver) judge(ctx context.Context, t *turn, a *answer) (float64, bool) {
	wait := judgeTimeout
	if t.alias.MaxDelayMs > 0 {
		wait = min(wait, time.Duration(t.alias.MaxDelayMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	rating, err := r.Rater.Rate(ctx, a.version, t.chat.Text, a.text)
	if err != nil {
		r.Cascader.RecordRatingInTime(false)
		ratings.Add("failed", 1)
		return 0, false
	}
	r.Cascader.RecordRatingInTime(true)
	ratings.Add("judged", 1)
	return rating, true
}

// learn tells the cascader of a released answer, and rates it in the background
// if that is wanted.
func (r *Receiver) learn(t *turn, a *answer, cost float64, delay time.Duration, after, rate bool) {
	if t.alias == nil || a.status != http.StatusOK {
		return
	}
	o := t.outcome(priced(t.snapshot.Config, a.version), cost, delay, after)
	o.Final = true
	prompt := t.chat.Text
	if !rate {
		r.Cascader.RecordOutcome(o)
		return
	}
	r.rating.Add(1)
	_, taken := r.background.TrySubmit(func() {
		defer r.rating.Done()
		ctx, cancel := context.WithTimeout(context.Background(), rateTimeout)
		defer cancel()
		rating, err := r.Rater.Rate(ctx, a.version, prompt, a.text)
		o.Rating, o.Rated = rating, err == nil
		r.Cascader.RecordOutcome(o)
	})
	if !taken {
		r.rating.Done()
		ratings.Add("dropped", 1)
	}
}

// outcome returns what the cascader learns of a run of a step.
func (t *turn) outcome(step cascader.Step, cost float64, delay time.Duration, after bool) cascader.Outcome {
	return cascader.Outcome{
		Team:            t.team.Name,
		Class:           t.options.Class,
		Version:         step.Version,
		MinQuality:      t.alias.MinQuality,
		AfterFailure:    after,
		Pinned:          t.kept,
		Cost:            cost,
		QuotedCost:      step.Quote(t.work),
		EstimatedOutput: t.work.OutputTokens,
		Delay:           delay,
		Alias:           t.alias,
	}
}

// passed reports an engine's own error answer that is passed on to the caller,
// or nil.
func passed(err error) *dispatcher.Answer {
	var e *dispatcher.Error
	if errors.As(err, &e) && e.Answer != nil && e.Answer.Status < http.StatusInternalServerError {
		return e.Answer
	}
	return nil
}
