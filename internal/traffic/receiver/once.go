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
	keyPrefix = "key-"
	mintedID  = "id-"
	claimLife = 24 * time.Hour // time in which a repeated key is recognised
)

// record is an answer as it is kept for repeated requests.
type record struct {
	Status  int                     `cbor:"s"`
	Kind    string                  `cbor:"k"`
	Body    []byte                  `cbor:"b"`
	Version samphireturn.VersionRef `cbor:"v"`
	Token   string                  `cbor:"t"`
}

// identify gives the request the id that repeats of it share: from the caller's
// idempotency key or from the minted id. Without either the id is its own.
func (r *Receiver) identify(x *exchange) error {
	switch {
	case x.options.Request != "":
		id, err := r.Minter.VerifyID(x.options.Request, x.team.Name)
		if err != nil {
			return idRefusal(err)
		}
		x.minted = id
		x.id = mintedID + id.Serial
	case x.options.Key != "":
		sum := sha256.Sum256([]byte(x.team.Name + "\n" + x.options.Key))
		x.id = keyPrefix + hex.EncodeToString(sum[:16])
	}
	x.Header().Set(decoder.HeaderRequest, x.id)
	return nil
}

// once runs f at most once for the request's minted id or idempotency key and
// answers with its outcome. A run goes on when its caller leaves, so that a
// repeat finds the outcome. A request with a key that this data centre has no
// room for goes on to another that serves one of the versions; its claim here has
// been released then.
func (r *Receiver) once(ctx context.Context, x *exchange, body []byte, versions func() []samphireturn.VersionRef, f func(context.Context) (*reply, error)) error {
	if x.options.Request != "" {
		return r.onceByID(ctx, x, body, f)
	}
	err := r.onceByKey(ctx, x, body, f)
	if r.canOverflow(x, err) {
		return r.overflow(ctx, x, versions(), body, err)
	}
	return err
}

// onceByID runs f in the process that minted the id.
func (r *Receiver) onceByID(ctx context.Context, x *exchange, body []byte, f func(context.Context) (*reply, error)) error {
	if x.minted.Instance != r.Runner.Instance {
		return r.passToMinter(ctx, x, body)
	}
	var failure error
	o, err := r.Runner.Do(ctx, x.minted, func(ctx context.Context) (runner.Outcome, error) {
		ctx, cancel := detach(ctx)
		defer cancel()
		a, err := f(ctx)
		if err != nil {
			failure = err
			return runner.Outcome{State: stateAfter(err)}, err
		}
		kept, err := encoder.Marshal(a.record())
		return runner.Outcome{State: runner.StateDone, Status: a.status, Answer: kept}, err
	})
	if failure != nil {
		return failure
	}
	if err != nil {
		return runnerRefusal(err)
	}
	return x.replay(o)
}

// replay answers with the outcome of a run.
func (x *exchange) replay(o runner.Outcome) error {
	switch {
	case o.State == runner.StateNotRun:
		return &samphireturn.Refusal{Reason: samphireturn.ReasonBusy, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: errors.New("the first request did not run")}
	case o.State != runner.StateDone:
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedUnknown, Err: errors.New("the outcome of the first request is unknown")}
	case o.Truncated:
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedYes, Err: errors.Errorf("done with status %d; the answer was too long to be kept", o.Status)}
	}
	return x.writeRecord(o.Answer)
}

// passToMinter passes the request on to the process that minted its id. If that
// can't be asked, what became of the id is unknown.
func (r *Receiver) passToMinter(ctx context.Context, x *exchange, body []byte) error {
	unknown := &samphireturn.Refusal{
		Reason:   samphireturn.ReasonUnknownRequestID,
		Executed: samphireturn.ExecutedUnknown,
		Err:      errors.New("the daemon that minted the request id is gone"),
	}
	if x.request.Header.Get(HeaderHop) != "" {
		return unknown
	}
	vm := samphireturn.InstanceVM(x.minted.Instance)
	for _, m := range x.snapshot.Members {
		if m.ID != vm || vm == r.Self.ID {
			continue
		}
		err := r.pass(ctx, x, m, body)
		var f *samphireturn.Refusal
		if errors.As(err, &f) {
			f.Executed = samphireturn.ExecutedUnknown
		}
		return err
	}
	return unknown
}

// onceByKey claims the idempotency key before f runs.
func (r *Receiver) onceByKey(ctx context.Context, x *exchange, body []byte, f func(context.Context) (*reply, error)) error {
	claim, err := r.Claimer.Claim(ctx, x.team.Name, x.options.Key, digest(x, body), claimLife)
	if err != nil {
		return claimRefusal(err)
	}
	if !claim.Granted {
		return x.repeat(claim)
	}
	ctx, cancel := detach(ctx)
	defer cancel()
	a, err := f(ctx)
	if err != nil {
		r.free(ctx, x, claim, err)
		return err
	}
	kept, err := encoder.Marshal(a.record())
	if err != nil {
		return err
	}
	if err := r.Claimer.Finish(ctx, claim, claimer.Outcome{Status: a.status, Summary: kept}); err != nil {
		x.log.Warn().Str("event", "finish_failed").Err(err).Msg("outcome of a key not kept")
	}
	x.write(a)
	return nil
}

// free releases the claim of a request that ended with err if it did not run, so
// that a repeat can.
func (r *Receiver) free(ctx context.Context, x *exchange, claim claimer.Claim, err error) {
	if stateAfter(err) != runner.StateNotRun {
		return
	}
	if err := r.Claimer.Release(ctx, claim); err != nil {
		x.log.Warn().Str("event", "release_failed").Err(err).Msg("key not released yet")
	}
}

// repeat answers a request whose key was claimed before.
func (x *exchange) repeat(claim claimer.Claim) error {
	if claim.State != claimer.StateDone {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonKeyInUse, Executed: samphireturn.ExecutedUnknown, RetryAfter: time.Second, Err: errors.New("an earlier request with this key runs or did not end")}
	}
	if len(claim.Outcome.Summary) == 0 {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonKeyInUse, Executed: samphireturn.ExecutedYes, Err: errors.Errorf("done with status %d; the answer was too long to be kept", claim.Outcome.Status)}
	}
	return x.writeRecord(claim.Outcome.Summary)
}

// writeRecord answers with a kept answer.
func (x *exchange) writeRecord(kept []byte) error {
	var k record
	if err := encoder.Unmarshal(kept, &k); err != nil {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedYes, Err: err}
	}
	x.write(&reply{status: k.Status, kind: k.Kind, body: k.Body, version: k.Version, token: k.Token})
	return nil
}

// record returns the reply as it is kept.
func (a *reply) record() record {
	return record{Status: a.status, Kind: a.kind, Body: a.body, Version: a.version, Token: a.token}
}

// detach returns a context that keeps the deadline of ctx but does not end when
// the caller leaves.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// digest identifies what a key is used for.
func digest(x *exchange, body []byte) [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(x.request.Method + " " + x.request.URL.RequestURI() + "\n"))
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// stateAfter returns what is known of a run that ended with err.
func stateAfter(err error) runner.State {
	var f *samphireturn.Refusal
	if errors.As(err, &f) && f.Executed == samphireturn.ExecutedNo {
		return runner.StateNotRun
	}
	return runner.StateUnknown
}

// idRefusal turns an error of the minter into a refusal.
func idRefusal(err error) *samphireturn.Refusal {
	var e *minter.Error
	if errors.As(err, &e) && e.Kind == minter.KindExpired {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnknownRequestID, Executed: samphireturn.ExecutedUnknown, Err: err}
	}
	return refusal(samphireturn.ReasonBadRequest, err)
}

// runnerRefusal turns an error of the runner into a refusal.
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

// claimRefusal turns an error of the claimer into a refusal. The request has
// not run here; with KindMismatch another one has the key.
func claimRefusal(err error) *samphireturn.Refusal {
	f := &samphireturn.Refusal{Reason: samphireturn.ReasonPlatformUnavailable, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: err}
	var e *claimer.Error
	if errors.As(err, &e) && e.Kind == claimer.KindMismatch {
		f.Reason, f.RetryAfter = samphireturn.ReasonKeyMismatch, 0
	}
	return f
}
