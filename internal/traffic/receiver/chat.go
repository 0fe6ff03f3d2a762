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
	tokensPerPrice  = 1e6 // prices are per million tokens
)

// chatRequest is a chat completion request on its way through the cascade.
type chatRequest struct {
	*exchange
	chat         *decoder.Chat
	modelRequest *samphireturn.Request
	alias        *samphireturn.Alias
	session      samphireturn.Session
	// promptTokens, outputTokens and cost are sums over all steps that ran.
	promptTokens, outputTokens int
	cost                       float64
	// pinned is true if only one step could run.
	pinned bool
}

// chat answers a chat completion request.
func (r *Receiver) chat(ctx context.Context, x *exchange) error {
	body, err := r.readBody(x)
	if err != nil {
		return err
	}
	c := &chatRequest{exchange: x}
	c.chat, err = decoder.DecodeChat(body)
	if err != nil {
		return notExecuted(samphireturn.ReasonBadRequest, err)
	}
	if err := r.openSession(c); err != nil {
		return err
	}
	x.affinity = &c.session
	c.alias = findAlias(x.snapshot, c.chat.Model)
	c.modelRequest = c.routingRequest(ctx)
	admission, err := r.admit(x, c.modelRequest.PromptTokens+c.modelRequest.OutputTokens)
	if err != nil {
		return err
	}
	defer func() { admission.Close(c.promptTokens + c.outputTokens) }()
	if x.options.IdempotencyKey != "" || x.options.RequestID != "" {
		versions := func() []samphireturn.VersionRef { return c.versions(r) }
		return r.runOnce(ctx, x, body, versions, func(ctx context.Context) (*reply, error) { return r.runWhole(ctx, c) })
	}
	err = r.respond(ctx, c)
	if r.canOverflow(x, err) {
		return r.overflow(ctx, x, c.versions(r), body, err)
	}
	return err
}

// respond runs a request without an idempotency key or request id and writes its
// answer, as a stream if the caller asks for one.
func (r *Receiver) respond(ctx context.Context, c *chatRequest) error {
	if c.chat.Stream {
		return r.stream(ctx, c)
	}
	reply, err := r.runWhole(ctx, c)
	if err != nil {
		return err
	}
	c.write(reply)
	return nil
}

// runWhole runs the cascade, bills it and returns the complete answer.
func (r *Receiver) runWhole(ctx context.Context, c *chatRequest) (*reply, error) {
	plan, err := r.plan(c)
	if err != nil {
		return nil, err
	}
	answer, err := r.runRatedSteps(ctx, c, plan)
	if err != nil {
		return nil, err
	}
	if answer == nil {
		answer, err = r.runFinalStep(ctx, c, plan.Steps[len(plan.Steps)-1], len(plan.Steps) > 1, plan.RateAfterRelease)
	}
	if err != nil {
		return nil, err
	}
	if err := r.bill(ctx, c, answer.version); err != nil {
		return nil, err
	}
	reply := &reply{
		status:      answer.status,
		contentType: "application/json",
		body:        answer.body,
		version:     answer.version,
		executed:    samphireturn.ExecutedYes,
	}
	reply.sessionToken, err = r.issueSession(c, answer)
	if err == nil && c.chat.Stream && answer.status == http.StatusOK {
		reply.contentType, reply.body = "text/event-stream", encodeEvents(c.id, answer)
	}
	return reply, err
}

// openSession verifies the caller's session token, or begins a new session if
// there is none.
func (r *Receiver) openSession(c *chatRequest) error {
	if c.options.Session == "" {
		c.session = samphireturn.Session{ID: uuid.NewString(), Team: c.team.Name}
		return nil
	}
	s, err := r.Minter.VerifySession(c.options.Session, c.team.Name)
	if err != nil {
		return notExecuted(samphireturn.ReasonBadSession, err)
	}
	c.session = s
	return nil
}

// routingRequest returns the request as routing decisions see it.
func (c *chatRequest) routingRequest(ctx context.Context) *samphireturn.Request {
	deadline, _ := ctx.Deadline()
	session := c.session
	return &samphireturn.Request{
		ID:           c.id,
		Team:         c.team.Name,
		Class:        c.options.Class,
		Model:        c.chat.Model,
		Session:      &session,
		PromptTokens: c.chat.PromptTokens,
		OutputTokens: c.chat.OutputTokens,
		Prefixes:     c.chat.Prefixes,
		Priority:     c.options.Priority,
		Deadline:     deadline,
		Stream:       c.chat.Stream,
	}
}

// stepWork returns the work of one step; id identifies it at the engine.
func (c *chatRequest) stepWork(v samphireturn.VersionRef, id string, stream bool) (router.Work, error) {
	request := *c.modelRequest
	request.ID = id
	body, err := c.chat.Encode(v.String(), stream)
	if err != nil {
		return router.Work{}, err
	}
	return router.Work{
		Request:   &request,
		Version:   v,
		Method:    http.MethodPost,
		Path:      completionsPath,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Body:      body,
		Weight:    c.team.Weight,
		Overflow:  c.mayOverflow(),
		Retryable: true,
	}, nil
}

// bill writes one usage record for all steps of the request. It does so even if
// the caller has left.
func (r *Receiver) bill(ctx context.Context, c *chatRequest, v samphireturn.VersionRef) error {
	err := r.Biller.Record(context.WithoutCancel(ctx), samphireturn.Usage{
		Request:      c.id,
		Team:         c.team.Name,
		Version:      v,
		PromptTokens: c.promptTokens,
		OutputTokens: c.outputTokens,
		Cost:         c.cost,
		Time:         time.Now().UnixMilli(),
	})
	if err != nil {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonPlatformUnavailable, Executed: samphireturn.ExecutedYes, Err: err}
	}
	return nil
}

// addUsage adds the usage of one step to the request's and returns its cost.
func (c *chatRequest) addUsage(step cascader.Step, u usage) float64 {
	cost := (float64(u.PromptTokens)*step.InputPrice + float64(u.OutputTokens)*step.OutputPrice) / tokensPerPrice
	c.promptTokens += u.PromptTokens
	c.outputTokens += u.OutputTokens
	c.result.tokens += u.PromptTokens + u.OutputTokens
	c.cost += cost
	return cost
}

// issueSession returns the session token that is sent with an answer.
func (r *Receiver) issueSession(c *chatRequest, a *stepAnswer) (string, error) {
	s := c.session
	s.Model, s.Version, s.Endpoint = a.version.Model, a.version.Version, a.endpoint
	s.Issued = time.Now().Unix()
	token, err := r.Minter.IssueSession(s)
	if err != nil {
		return "", errors.Wrap(err, "sign session")
	}
	return token, nil
}
