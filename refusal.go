package samphireturn

import (
	"time"
)

// Whether an endpoint executed a request.
const (
	// ExecutedNo means that no endpoint started the request.
	ExecutedNo = "no"
	// ExecutedYes means that an endpoint executed the request.
	ExecutedYes = "yes"
	// ExecutedUnknown means that an endpoint may have executed the request.
	ExecutedUnknown = "unknown"
)

// Reasons for refusals. They are sent to callers as error codes and name the
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

// Reasons that only a daemon that forwards by a routing table gives.
const (
	// ForwardNoRoute means that no route matches the request.
	ForwardNoRoute = "no_route"
	// ForwardRequestSlow means that the request's body did not arrive in time.
	ForwardRequestSlow = "request_slow"
	// ForwardNoRoom means that the daemon has no room for the request or its body.
	ForwardNoRoom = "no_room"
	// ForwardPaused means that all endpoints that can be reached asked for no requests for
	// a time.
	ForwardPaused = "endpoints_paused"
	// ForwardLimited means the same of endpoints of which the first that is available again
	// named a limit of its requests.
	ForwardLimited = "endpoints_limited"
	// ForwardIsolated means that endpoints crash by the request or a part of its prompt.
	ForwardIsolated = "request_isolated"
)

// Refusal is an error that is reported to the caller.
type Refusal struct {
	Reason string
	// Executed is ExecutedNo, ExecutedYes or ExecutedUnknown.
	Executed string
	// RetryAfter is how long the caller should wait before a retry; zero if a retry
	// is not expected to help.
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

// MergeExecuted combines the results of two attempts: ExecutedUnknown wins over
// ExecutedYes, which wins over ExecutedNo.
func MergeExecuted(a, b string) string {
	if a == ExecutedUnknown || b == ExecutedUnknown {
		return ExecutedUnknown
	}
	if a == ExecutedYes || b == ExecutedYes {
		return ExecutedYes
	}
	return ExecutedNo
}
