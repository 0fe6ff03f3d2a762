package claimer

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindUnavailable means that the claim could not be committed. The caller
	// must not run the request.
	KindUnavailable Kind = iota
	// KindMismatch means that the key was used for a different request.
	KindMismatch
	// KindFull means that a bound on the stored or waiting claims is reached.
	KindFull
	// KindInvalid means that the key or a message is malformed.
	KindInvalid
	// KindClosed means that the claimer is closed.
	KindClosed
)

var (
	// counters counts the claims that were granted, found taken, released or
	// abandoned, and the windows that were begun or removed.
	counters = expvar.NewMap("claimer_claims")
	refused  = expvar.NewMap("claimer_refused")
	retries  = expvar.NewMap("claimer_retries")
	kinds    = [...]string{"unavailable", "mismatch", "full", "invalid", "closed"}
)

// Kind classifies an Error.
type Kind int

// String returns the name of the kind.
func (k Kind) String() string { return samphireturn.KindText(kinds[:], int(k)) }

// Error is an error of the claimer.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newError counts the error by its kind and returns it.
func newError(op string, kind Kind, err error) error {
	refused.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind, Err: err}
}
