package minter

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindMalformed says that the text is cut, too long or no token at all.
	KindMalformed Kind = iota
	// KindForged says that the code does not fit the content.
	KindForged
	// KindTeam says that the text belongs to another team.
	KindTeam
	// KindKey says that no usable key has the name.
	KindKey
	// KindExpired says that the id is past its expiry.
	KindExpired
	// KindInvalid says that the content to sign is not complete.
	KindInvalid
	// KindRandom says that no serial could be drawn.
	KindRandom
)

var (
	refused = expvar.NewMap("minter_refused")
	kinds   = [...]string{"malformed", "forged", "team", "key", "expired", "invalid", "random"}
)

// Kind classifies an Error.
type Kind int

// String returns the kind in one word.
func (k Kind) String() string { return samphireturn.KindText(kinds[:], int(k)) }

// Error is an error of the minter.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// refuse counts and returns a refusal.
func refuse(op string, kind Kind, err error) error {
	refused.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind, Err: err}
}
