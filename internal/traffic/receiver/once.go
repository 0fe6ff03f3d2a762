package receiver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/ledger/claimer"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/ledger/runner"
	"samphireturn/internal/traffic/decoder"
)

const (
	keyPrefix      = "key-"
	issuedIDPrefix = "id-"
	claimTTL       = 24 * time.Hour // how long a key that is sent again is recognised
)

// storedReply is the stored form of a reply, replayed to the caller's retries.
type storedReply struct {
	Status       int                     `cbor:"s"`
	ContentType  string                  `cbor:"k"`
	Body         []byte                  `cbor:"b"`
	Version      samphireturn.VersionRef `cbor:"v"`
	SessionToken string                  `cbor:"t"`
}

// assignID sets the request's id. A caller's retries of a request share
// the id that is derived from the idempotency key or the issued request id; without
// either the request keeps its unique id.
func (r *Receiver) assignID(x *exchange) error {
	switch {
	case x.options.RequestID != "":
		id, err := r.Minter.VerifyID(x.options.RequestID, x.team.Name)
		if err != nil {
			return idRefusal(err)
		}
		x.issuedID = id
		x.id = issuedIDPrefix + id.Serial
	case x.options.IdempotencyKey != "":
		sum := sha256.Sum256([]byte(x.team.Name + "\n" + x.options.IdempotencyKey))
		x.id = keyPrefix + hex.EncodeToString(sum[:16])
	}
	x.Header().Set(decoder.HeaderRequestID, x.id)
	return nil
}

// runOnce runs f at most once for the request's issued id or idempotency key and
// answers with its outcome. A run continues after its caller has left, so that the
// caller's retry finds the outcome. If this data centre has no capacity for a request with
// a key, the request is forwarded to another one that serves one of the versions;
// its claim here has been released by then.
func (r *Receiver) runOnce(ctx context.Context, x *exchange, body []byte, versions func() []samphireturn.VersionRef, f func(context.Context) (*reply, error)) error {
	if x.options.RequestID != "" {
		return r.runOnceByID(ctx, x, body, f)
	}
	err := r.runOnceByKey(ctx, x, body, f)
	if r.canOverflow(x, err) {
		return r.overflow(ctx, x, versions(), body, err)
	}
	return err
}

// runOnceByID runs f in the process that issued the id, and forwards the request
// to that process from any other.
func (r *Receiver) runOnceByID(ctx context.Context, x *exchange, body []byte, f func(context.Context) (*reply, error)) error {
	if x.issuedID.Instance != r.Runner.Instance {
		return r.forwardToIssuer(ctx, x, body)
	}
	var failure error
	o, err := r.Runner.Do(ctx, x.issuedID, func(ctx context.Context) (runner.Outcome, error) {
		ctx, cancel := detach(ctx)
		defer cancel()
		a, err := f(ctx)
		if err != nil {
			failure = err
			return runner.Outcome{State: stateAfterError(err)}, err
		}
		encoded, err := encoder.Marshal(a.stored())
		return runner.Outcome{State: runner.StateDone, Status: a.status, Answer: encoded}, err
	})
	if failure != nil {
		return failure
	}
	if err != nil {
		return runnerRefusal(err)
	}
	return x.replayOutcome(o)
}

// replayOutcome answers with the outcome of the run of the request's id.
func (x *exchange) replayOutcome(o runner.Outcome) error {
	switch {
	case o.State == runner.StateNotRun:
		return &samphireturn.Refusal{Reason: samphireturn.ReasonBusy, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: errors.New("the first request did not run")}
	case o.State != runner.StateDone:
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedUnknown, Err: errors.New("the outcome of the first request is unknown")}
	case o.Truncated:
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedYes, Err: errors.Errorf("done with status %d; the answer was too long to be kept", o.Status)}
	}
	return x.writeStored(o.Answer)
}

// forwardToIssuer forwards the request to the process that issued its id. If that
// process cannot be reached, it is unknown whether the request was executed.
func (r *Receiver) forwardToIssuer(ctx context.Context, x *exchange, body []byte) error {
	unknown := &samphireturn.Refusal{
		Reason:   samphireturn.ReasonUnknownRequestID,
		Executed: samphireturn.ExecutedUnknown,
		Err:      errors.New("the daemon that minted the request id is gone"),
	}
	if x.request.Header.Get(HeaderHop) != "" {
		return unknown
	}
	vm := samphireturn.InstanceVM(x.issuedID.Instance)
	for _, m := range x.snapshot.Members {
		if m.ID != vm || vm == r.Self.ID {
			continue
		}
		err := r.forward(ctx, x, m, body)
		var f *samphireturn.Refusal
		if errors.As(err, &f) {
			f.Executed = samphireturn.ExecutedUnknown
		}
		return err
	}
	return unknown
}

// runOnceByKey claims the idempotency key before it runs f.
func (r *Receiver) runOnceByKey(ctx context.Context, x *exchange, body []byte, f func(context.Context) (*reply, error)) error {
	claim, err := r.Claimer.Claim(ctx, x.team.Name, x.options.IdempotencyKey, requestDigest(x, body), claimTTL)
	if err != nil {
		return claimRefusal(err)
	}
	if !claim.Granted {
		return x.replayClaim(claim)
	}
	ctx, cancel := detach(ctx)
	defer cancel()
	a, err := f(ctx)
	if err != nil {
		r.releaseIfNotRun(ctx, x, claim, err)
		return err
	}
	encoded, err := encoder.Marshal(a.stored())
	if err != nil {
		return err
	}
	if err := r.Claimer.Finish(ctx, claim, claimer.Outcome{Status: a.status, Summary: encoded}); err != nil {
		x.log.Warn().Str("event", "finish_failed").Err(err).Msg("outcome of an idempotency key not stored")
	}
	x.write(a)
	return nil
}

// releaseIfNotRun releases the claim of a request that failed with err if the
// request was not executed, so that the caller's retry can run.
func (r *Receiver) releaseIfNotRun(ctx context.Context, x *exchange, claim claimer.Claim, err error) {
	if stateAfterError(err) != runner.StateNotRun {
		return
	}
	if err := r.Claimer.Release(ctx, claim); err != nil {
		x.log.Warn().Str("event", "release_failed").Err(err).Msg("idempotency key not released yet")
	}
}

// replayClaim answers a request whose key is claimed already.
func (x *exchange) replayClaim(claim claimer.Claim) error {
	if claim.State != claimer.StateDone {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonKeyInUse, Executed: samphireturn.ExecutedUnknown, RetryAfter: time.Second, Err: errors.New("an earlier request with this key runs or did not end")}
	}
	if len(claim.Outcome.Summary) == 0 {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonKeyInUse, Executed: samphireturn.ExecutedYes, Err: errors.Errorf("done with status %d; the answer was too long to be kept", claim.Outcome.Status)}
	}
	return x.writeStored(claim.Outcome.Summary)
}

// writeStored answers with a stored reply.
func (x *exchange) writeStored(encoded []byte) error {
	var k storedReply
	if err := encoder.Unmarshal(encoded, &k); err != nil {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedYes, Err: err}
	}
	x.write(&reply{status: k.Status, contentType: k.ContentType, body: k.Body, version: k.Version, sessionToken: k.SessionToken})
	return nil
}

// stored returns the stored form of the reply.
func (a *reply) stored() storedReply {
	return storedReply{Status: a.status, ContentType: a.contentType, Body: a.body, Version: a.version, SessionToken: a.sessionToken}
}

// detach returns a context that keeps the deadline of ctx but is not cancelled
// when the caller leaves.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// requestDigest identifies the request that a key is used for: its method, URI
// and body.
func requestDigest(x *exchange, body []byte) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(x.request.Method + " " + x.request.URL.RequestURI() + "\n"))
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// stateAfterError returns the state of a run that failed with err.
func stateAfterError(err error) runner.State {
	var f *samphireturn.Refusal
	if errors.As(err, &f) && f.Executed == samphireturn.ExecutedNo {
		return runner.StateNotRun
	}
	return runner.StateUnknown
}

// idRefusal converts an error of the minter to a refusal.
func idRefusal(err error) *samphireturn.Refusal {
	var e *minter.Error
	if errors.As(err, &e) && e.Kind == minter.KindExpired {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedUnknown, Err: err}
	}
	return notExecuted(samphireturn.ReasonBadRequest, err)
}

// runnerRefusal converts an error of the runner to a refusal.
func runnerRefusal(err error) *samphireturn.Refusal {
	f := &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedUnknown, Err: err}
	var e *runner.Error
	if !errors.As(err, &e) {
		return f
	}
	switch e.Kind {
	case runner.KindFull:
		f.Reason, f.Executed, f.RetryAfter = samphireturn.ReasonBusy, samphireturn.ExecutedNo, time.Second
	case runner.KindRunning:
		f.Reason, f.RetryAfter = samphireturn.ReasonDeadline, time.Second
	}
	return f
}

// claimRefusal converts an error of the claimer to a refusal. This request was
// not executed; with KindMismatch a different request holds the key.
func claimRefusal(err error) *samphireturn.Refusal {
	f := &samphireturn.Refusal{Reason: samphireturn.ReasonPlatformUnavailable, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: err}
	var e *claimer.Error
	if errors.As(err, &e) && e.Kind == claimer.KindMismatch {
		f.Reason, f.RetryAfter = samphireturn.ReasonKeyMismatch, 0
	}
	return f
}
