package minter

import (
	"expvar"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindMalformed means that the text is cut off, too long or not a token.
	KindMalformed Kind = iota
	// KindForged means that the MAC does not match the content.
	KindForged
	// KindTeam means that the text belongs to another team.
	KindTeam
	// KindKey means that no usable key has the given name.
	KindKey
	// KindExpired means that the request id is past its expiry.
	KindExpired
	// KindInvalid means that the content to sign is incomplete or too long.
	KindInvalid
	// KindRandom means that the source of random bytes failed.
	KindRandom
)

var (
	refused = expvar.NewMap("minter_refused")
	kinds   = [...]string{"malformed", "forged", "team", "key", "expired", "invalid", "random"}
)

// Kind classifies an Error.
type Kind int

// String returns the name of the kind.
func (k Kind) String() string { return samphireturn.KindText(kinds[:], int(k)) }

// Error is an error of the minter. Its text is part of answers to callers, which
// is why Op says "mint" for issuing and "open" for verifying.
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
