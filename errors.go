package samphireturn

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kinds of errors at the platform's and the peers' interfaces.
const (
	// KindOther is an error of no known kind.
	KindOther Kind = iota
	// KindMissing says that the named thing does not exist.
	KindMissing
	// KindConflict says that the condition of a write did not hold.
	KindConflict
	// KindUnavailable says that nothing was done.
	KindUnavailable
	// KindUnknown says that a write may or may not have taken effect.
	KindUnknown
	// KindTimeout says that a watch ended without a change.
	KindTimeout
	// KindLimited says that a rate limit refused the call; nothing was done.
	KindLimited
	// KindInvalid says that the call or its content was malformed.
	KindInvalid
	// KindExpired says that the history asked for is gone.
	KindExpired
)

// Kind classifies an Error.
type Kind int

// String returns the kind in words.
func (k Kind) String() string {
	names := [...]string{"error", "missing", "conflict", "unavailable", "unknown outcome", "timeout", "limited", "invalid", "expired"}
	return KindText(names[:], int(k))
}

// Error is an error of a Store, Lister, Rater or Peers.
type Error struct {
	// Op names the operation and its object, such as "get config/manifest".
	Op   string
	Kind Kind
	Err  error
	// RetryAfter is how long the other side asked to wait; zero if it did not say.
	RetryAfter time.Duration
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RetryAfter returns how long err asks to wait, or zero.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// KindOf returns the kind of err, or KindOther if it holds no *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindOther
}

// KindOfStatus returns the kind of error that an HTTP status stands for whatever the
// call; ok is false for others.
func KindOfStatus(status int) (kind Kind, ok bool) {
	switch {
	case status == http.StatusNotFound:
		return KindMissing, true
	case status == http.StatusTooManyRequests:
		return KindLimited, true
	case status == http.StatusServiceUnavailable:
		return KindUnavailable, true
	case status >= 400 && status < 500:
		return KindInvalid, true
	}
	return KindOther, false
}

// ErrorText returns "op: kind: cause", without the cause if err is nil.
func ErrorText(op string, kind fmt.Stringer, err error) string {
	if err == nil {
		return op + ": " + kind.String()
	}
	return op + ": " + kind.String() + ": " + err.Error()
}

// KindText returns the name of the kind with the number k, or "error" if it has
// none.
func KindText(names []string, k int) string {
	if k < 0 || k >= len(names) {
		return "error"
	}
	return names[k]
}
