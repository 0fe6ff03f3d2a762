package samphireturn

import (
	"time"
)

// What is known of a request's run at an endpoint.
const (
	// ExecutedNo says that no endpoint started the request.
	ExecutedNo = "no"
	// ExecutedYes says that an endpoint ran the request.
	ExecutedYes = "yes"
	// ExecutedUnknown says that an endpoint may have run the request.
	ExecutedUnknown = "unknown"
)

// Reasons of refusals. They are the codes of error answers and the names of
// counters.
const (
	ReasonUnauthorized        = "unauthorized"
	ReasonBadRequest          = "bad_request"
	ReasonTooLarge            = "too_large"
	ReasonUnknownModel        = "unknown_model"
	ReasonForbidden           = "forbidden"
	ReasonBadSession          = "bad_session"
	ReasonTeamConcurrent      = "team_concurrent"
	ReasonTeamTokens          = "team_tokens"
	ReasonNoEndpoint          = "no_endpoint"
	ReasonBusy                = "busy"
	ReasonEndpointFailed      = "endpoint_failed"
	ReasonDeadline            = "deadline"
	ReasonUnknownRequestID    = "request_id_unknown"
	ReasonKeyInUse            = "key_in_use"
	ReasonKeyMismatch         = "key_mismatch"
	ReasonPlatformUnavailable = "platform_unavailable"
	ReasonNotReady            = "not_ready"
	ReasonClosing             = "closing"
	ReasonStreamBroken        = "stream_broken"
)

// Reasons that only a daemon that forwards by a table of routes gives.
const (
	// ReasonNoRoute says that no route matches.
	ReasonNoRoute = "no_route"
	// ReasonRequestSlow says that the request's body did not come in time.
	ReasonRequestSlow = "request_slow"
)

// Refusal is an error that a caller is told of.
type Refusal struct {
	Reason string
	// Executed is RunNo, RunYes or RunUnknown.
	Executed string
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

// MergeExecuted returns what is known of a run after two attempts.
func MergeExecuted(a, b string) string {
	if a == ExecutedUnknown || b == ExecutedUnknown {
		return ExecutedUnknown
	}
	if a == ExecutedYes || b == ExecutedYes {
		return ExecutedYes
	}
	return ExecutedNo
}
