package leaser

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindHeld says that another holder's lease has not been seen to lapse.
	KindHeld Kind = iota
	// KindLost says that the lease has another holder.
	KindLost
	// KindUnavailable says that the platform could not be asked; a lease in hand
	// stays valid until it lapses.
	KindUnavailable
	// KindInvalid says that the object is no lease.
	KindInvalid
)

var (
	refused = expvar.NewMap("leaser_refused")
	settled = expvar.NewInt("leaser_settled")
	kinds   = [...]string{"held", "lost", "unavailable", "invalid"}
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

// kindOf returns conflict for a conflict and KindUnavailable for all else.
func kindOf(err error, conflict Kind) Kind {
	switch samphireturn.KindOf(err) {
	case samphireturn.KindConflict, samphireturn.KindMissing:
		return conflict
	default:
		return KindUnavailable
	}
}

func refuse(op string, kind Kind, err error) error {
	refused.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind, Err: err}
}
