package biller

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindClosed says that the biller takes no more records.
	KindClosed Kind = iota
	// KindFull says that no more records can be kept.
	KindFull
	// KindInvalid says that a record or message is malformed.
	KindInvalid
	// KindUnwritten says that records are still only in memory.
	KindUnwritten
)

var (
	// counters counts records, copies, segments, carried and exposed records.
	// An exposed record is in this process's memory alone: neither a peer nor
	// the platform could be reached. It stays so until the next write.
	counters = expvar.NewMap("biller_records")
	refused  = expvar.NewMap("biller_refused")
	retries  = expvar.NewMap("biller_retries")
	kinds    = [...]string{"closed", "full", "invalid", "unwritten"}
)

// Kind classifies an Error.
type Kind int

// String returns the kind in one word.
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

func refuse(op string, kind Kind, err error) error {
	refused.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind, Err: err}
}
