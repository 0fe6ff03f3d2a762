package samphireturn

import (
	"time"
)

// What is known of a request's run at an endpoint.
const (
	// RunNo says that no endpoint started the request.
	RunNo = "no"
	// RunYes says that an endpoint ran the request.
	RunYes = "yes"
	// RunUnknown says that an endpoint may have run the request.
	RunUnknown = "unknown"
)

// Reasons of refusals. They are the codes of error answers and the names of
// counters.
const (
	ReasonAuth       = "unauthorized"
	ReasonRequest    = "bad_request"
	ReasonLarge      = "too_large"
	ReasonModel      = "unknown_model"
	ReasonForbidden  = "forbidden"
	ReasonSession    = "bad_session"
	ReasonConcurrent = "team_concurrent"
	ReasonTokens     = "team_tokens"
	ReasonEmpty      = "no_endpoint"
	ReasonBusy       = "busy"
	ReasonEndpoint   = "endpoint_failed"
	ReasonDeadline   = "deadline"
	ReasonID         = "request_id_unknown"
	ReasonKey        = "key_in_use"
	ReasonMismatch   = "key_mismatch"
	ReasonPlatform   = "platform_unavailable"
	ReasonReady      = "not_ready"
	ReasonClosing    = "closing"
	ReasonBroken     = "stream_broken"
)

// Reasons that only a daemon that forwards by a table of routes gives.
const (
	// ForwardRoute says that no route matches.
	ForwardRoute = "no_route"
	// ForwardSlow says that the request's body did not come in time.
	ForwardSlow = "request_slow"
)

// Refusal is an error that a caller is told of.
type Refusal struct {
	Reason string
	// Run is RunNo, RunYes or RunUnknown.
	Run string
	// RetryAfter is when coming back is expected to help; zero if it does not.
	RetryAfter time.Duration
	Err        error
}

// Error returns the reason and the cause.
func (r *Refusal) Error() string {
	if r.Err == nil {
		return r.Reason
	}
	return r.Reason + ": " + r.Err.Error()
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// WorseRun returns what is known of a run after two attempts.
func WorseRun(a, b string) string {
	if a == RunUnknown || b == RunUnknown {
		return RunUnknown
	}
	if a == RunYes || b == RunYes {
		return RunYes
	}
	return RunNo
}
