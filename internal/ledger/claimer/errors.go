package claimer

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindUnavailable says that the claim could not be committed; the caller must
	// not run the request.
	KindUnavailable Kind = iota
	// KindMismatch says that the key was used for another request.
	KindMismatch
	// KindFull says that no more claims can be kept.
	KindFull
	// KindInvalid says that the key or a message is malformed.
	KindInvalid
	// KindClosed says that the claimer takes no more claims.
	KindClosed
)

var (
	// counters counts claims granted and found taken, windows begun and removed.
	counters = expvar.NewMap("claimer_claims")
	refused  = expvar.NewMap("claimer_refused")
	retries  = expvar.NewMap("claimer_retries")
	kinds    = [...]string{"unavailable", "mismatch", "full", "invalid", "closed"}
)

// Kind classifies an Error.
type Kind int

// String returns the kind in one word.
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

func refuse(op string, kind Kind, err error) error {
	refused.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind, Err: err}
}
