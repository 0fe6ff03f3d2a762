package dispatcher

import (
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindConnect means that no byte of the request was written.
	KindConnect Kind = iota
	// KindRefused means that the endpoint declared that it did not start the request.
	KindRefused
	// KindConnLost means that the connection failed after bytes were written.
	KindConnLost
	// KindMismatched means that the answer belonged to another request.
	KindMismatched
	// KindTimeout means that the endpoint sent nothing for too long.
	KindTimeout
	// KindCancelled means that the caller left or the deadline passed.
	KindCancelled
	// KindTooLarge means that the answer is over MaxAnswerBytes.
	KindTooLarge
	// KindStatus means that the endpoint answered with an error status of its own.
	KindStatus
	// KindGrantExpired means that the grant expired before the first byte was written.
	KindGrantExpired
)

// Kind classifies an Error.
type Kind int

// String returns the kind as it appears in counters.
func (k Kind) String() string {
	names := [...]string{"connect", "refused", "broken", "crossed", "silent", "cancelled", "large", "status", "lapsed"}
	if k < 0 || int(k) >= len(names) {
		return "other"
	}
	return names[k]
}

// Error is an error of a Dispatcher.
type Error struct {
	Op   string
	Kind Kind
	// Executed is ExecutedNo, ExecutedYes or ExecutedUnknown.
	Executed string
	// Code is the error code of the endpoint's refusal.
	Code string
	// RetryAfter is the wait that the endpoint asked for; zero if none.
	RetryAfter time.Duration
	// Answer is the endpoint's answer; set only with KindStatus.
	Answer *Answer
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns err as an *Error. An error of another type becomes one of
// KindConnLost with ExecutedUnknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Op: "send", Kind: KindConnLost, Executed: samphireturn.ExecutedUnknown, Err: err}
}
