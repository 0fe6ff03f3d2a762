package leaser

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindHeld means that another holder's lease has not been seen to expire.
	KindHeld Kind = iota
	// KindLost means that the lease has another holder.
	KindLost
	// KindUnavailable means that the platform could not be reached; a lease that the
	// caller has stays valid until it expires.
	KindUnavailable
	// KindInvalid means that the object is not a lease.
	KindInvalid
)

var (
	errorCounts     = expvar.NewMap("leaser_refused")
	confirmedWrites = expvar.NewInt("leaser_settled")
	kinds           = [...]string{"held", "lost", "unavailable", "invalid"}
)

// Kind classifies an Error.
type Kind int

// String returns the kind in one word.
func (k Kind) String() string { return samphireturn.KindText(kinds[:], int(k)) }

// Error is an error of the leaser.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// kindOf returns conflict if the object changed or is missing, and KindUnavailable for
// all other errors.
func kindOf(err error, conflict Kind) Kind {
	switch samphireturn.KindOf(err) {
	case samphireturn.KindConflict, samphireturn.KindMissing:
		return conflict
	default:
		return KindUnavailable
	}
}

func countedError(op string, kind Kind, err error) error {
	errorCounts.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind, Err: err}
}
