package dispatcher

import (
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindConnect says that no byte of the request was written.
	KindConnect Kind = iota
	// KindRefused says that the endpoint declared that it did not start.
	KindRefused
	// KindConnLost means that the connection failed after bytes were written.
	KindConnLost
	// KindMismatched means that the answer belonged to another request.
	KindMismatched
	// KindTimeout means that the endpoint sent nothing for too long.
	KindTimeout
	// KindCancelled says that the caller gave up or the deadline passed.
	KindCancelled
	// KindLarge says that the answer is over the limit.
	KindLarge
	// KindStatus says that the endpoint answered with an error of its own.
	KindStatus
	// KindLapsed says that the grant lapsed before the first byte was written.
	KindLapsed
)

// Kind classifies an Error.
type Kind int

// String returns the kind as a counter's name.
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
	// Run is RunNo, RunYes or RunUnknown.
	Run string
	// Code is the endpoint's own code of a refusal.
	Code string
	// RetryAfter is the endpoint's wish; zero if it has none.
	RetryAfter time.Duration
	// Answer is the endpoint's answer; only with KindStatus.
	Answer *Answer
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns err as an *Error. One of another type is taken for a broken
// connection.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Op: "send", Kind: KindConnLost, Run: samphireturn.ExecutedUnknown, Err: err}
}
