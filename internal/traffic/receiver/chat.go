package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"samphireturn"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/decoder"
	"samphireturn/internal/traffic/router"
)

const (
	completionsPath = "/v1/chat/completions"
	million         = 1e6 // tokens that a price is for
)

// turn is a chat request on its way through the cascade.
type turn struct {
	*exchange
	chat    *decoder.Chat
	work    *samphireturn.Request
	alias   *samphireturn.Alias
	session samphireturn.Session
	// prompt, output and cost sum up all steps that ran.
	prompt, output int
	cost           float64
	// kept is true if only one step could run.
	kept bool
}

// chat answers a chat completion request.
func (r *Receiver) chat(ctx context.Context, x *exchange) error {
	body, err := r.body(x)
	if err != nil {
		return err
	}
	t := &turn{exchange: x}
	t.chat, err = decoder.DecodeChat(body)
	if err != nil {
		return refusal(samphireturn.ReasonBadRequest, err)
	}
	if err := r.openSession(t); err != nil {
		return err
	}
	x.affinity = &t.session
	t.alias = findAlias(x.snapshot, t.chat.Model)
	t.work = t.request(ctx)
	ticket, err := r.admit(x, t.work.PromptTokens+t.work.OutputTokens)
	if err != nil {
		return err
	}
	defer func() { ticket.Close(t.prompt + t.output) }()
	if x.options.Key != "" || x.options.Request != "" {
		versions := func() []samphireturn.VersionRef { return t.versions(r) }
		return r.once(ctx, x, body, versions, func(ctx context.Context) (*reply, error) { return r.whole(ctx, t) })
	}
	err = r.answer(ctx, t)
	if r.canOverflow(x, err) {
		return r.overflow(ctx, x, t.versions(r), body, err)
	}
	return err
}

// answer runs a request that no one remembers, streamed if it asks for that.
func (r *Receiver) answer(ctx context.Context, t *turn) error {
	if t.chat.Stream {
		return r.stream(ctx, t)
	}
	reply, err := r.whole(ctx, t)
	if err != nil {
		return err
	}
	t.write(reply)
	return nil
}

// whole runs the cascade, bills it and returns the whole answer.
func (r *Receiver) whole(ctx context.Context, t *turn) (*reply, error) {
	plan, err := r.plan(t)
	if err != nil {
		return nil, err
	}
	answer, err := r.judged(ctx, t, plan)
	if err != nil {
		return nil, err
	}
	if answer == nil {
		answer, err = r.step(ctx, t, plan.Steps[len(plan.Steps)-1], len(plan.Steps) > 1, plan.RateAfterRelease)
	}
	if err != nil {
		return nil, err
	}
	if err := r.bill(ctx, t, answer.version); err != nil {
		return nil, err
	}
	reply := &reply{
		status:  answer.status,
		kind:    "application/json",
		body:    answer.body,
		version: answer.version,
		run:     samphireturn.ExecutedYes,
	}
	reply.token, err = r.sign(t, answer)
	if err == nil && t.chat.Stream && answer.status == http.StatusOK {
		reply.kind, reply.body = "text/event-stream", events(t.id, answer)
	}
	return reply, err
}

// openSession verifies the session token that the caller sent, or begins a new
// session.
func (r *Receiver) openSession(t *turn) error {
	if t.options.Session == "" {
		t.session = samphireturn.Session{ID: uuid.NewString(), Team: t.team.Name}
		return nil
	}
	s, err := r.Minter.VerifySession(t.options.Session, t.team.Name)
	if err != nil {
		return refusal(samphireturn.ReasonBadSession, err)
	}
	t.session = s
	return nil
}

// request returns the request as the decision code sees it.
func (t *turn) request(ctx context.Context) *samphireturn.Request {
	deadline, _ := ctx.Deadline()
	session := t.session
	return &samphireturn.Request{
		ID:           t.id,
		Team:         t.team.Name,
		Class:        t.options.Class,
		Model:        t.chat.Model,
		Session:      &session,
		PromptTokens: t.chat.Prompt,
		OutputTokens: t.chat.Output,
		Prefixes:     t.chat.Prefixes,
		Priority:     t.options.Priority,
		Deadline:     deadline,
		Stream:       t.chat.Stream,
	}
}

// send returns the work of one step, which engines know by the id.
func (t *turn) send(v samphireturn.VersionRef, id string, stream bool) (router.Work, error) {
	request := *t.work
	request.ID = id
	body, err := t.chat.Encode(v.String(), stream)
	if err != nil {
		return router.Work{}, err
	}
	return router.Work{
		Request:    &request,
		Version:    v,
		Method:     http.MethodPost,
		Path:       completionsPath,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       body,
		Weight:     t.team.Weight,
		Overflow:   t.overflows(),
		Repeatable: true,
	}, nil
}

// bill records the request's use once.
func (r *Receiver) bill(ctx context.Context, t *turn, v samphireturn.VersionRef) error {
	err := r.Biller.Record(context.WithoutCancel(ctx), samphireturn.Usage{
		Request:      t.id,
		Team:         t.team.Name,
		Version:      v,
		PromptTokens: t.prompt,
		OutputTokens: t.output,
		Cost:         t.cost,
		Time:         time.Now().UnixMilli(),
	})
	if err != nil {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonPlatformUnavailable, Executed: samphireturn.ExecutedYes, Err: err}
	}
	return nil
}

// spend adds the use of one step.
func (t *turn) spend(step cascader.Step, u usage) float64 {
	cost := (float64(u.Prompt)*step.InputPrice + float64(u.Output)*step.OutputPrice) / million
	t.prompt += u.Prompt
	t.output += u.Output
	t.result.tokens += u.Prompt + u.Output
	t.cost += cost
	return cost
}

// sign returns the session token that goes with an answer.
func (r *Receiver) sign(t *turn, a *answer) (string, error) {
	s := t.session
	s.Model, s.Version, s.Endpoint = a.version.Model, a.version.Version, a.endpoint
	s.Issued = time.Now().Unix()
	token, err := r.Minter.IssueSession(s)
	if err != nil {
		return "", errors.Wrap(err, "sign session")
	}
	return token, nil
}
