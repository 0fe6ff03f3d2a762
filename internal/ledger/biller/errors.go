package biller

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindClosed means that the biller is closed.
	KindClosed Kind = iota
	// KindFull means that MaxBytes, the bound on records in memory, is reached.
	KindFull
	// KindInvalid means that a record or a message is malformed.
	KindInvalid
	// KindUnwritten means that records are still only in memory.
	KindUnwritten
)

var (
	// counters counts recorded and copied records, copies sent, segments
	// written, records carried to another name, and exposed records. An
	// exposed record is only in this process's memory, because neither a peer
	// nor the platform could be reached, until the next write succeeds.
	counters = expvar.NewMap("biller_records")
	refused  = expvar.NewMap("biller_refused")
	retries  = expvar.NewMap("biller_retries")
	kinds    = [...]string{"closed", "full", "invalid", "unwritten"}
)

// Kind classifies an Error.
type Kind int

// String returns the name of the kind.
func (k Kind) String() string { return samphireturn.KindText(kinds[:], int(k)) }

// Error is an error of the biller.
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
