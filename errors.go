package samphireturn

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kinds of errors of the platform and of peers.
const (
	// KindOther is any other error.
	KindOther Kind = iota
	// KindMissing means that the named object does not exist.
	KindMissing
	// KindConflict means that the condition of a conditional write did not hold.
	KindConflict
	// KindUnavailable means that the call failed and had no effect.
	KindUnavailable
	// KindUnknown means that a write may or may not have taken effect.
	KindUnknown
	// KindTimeout means that a watch ended without a change.
	KindTimeout
	// KindLimited means that a rate limit refused the call, which had no effect.
	KindLimited
	// KindInvalid means that the call or its content was malformed.
	KindInvalid
	// KindExpired means that the requested history is no longer kept.
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
	// RetryAfter is how long the other side asked to wait before a retry; zero if not
	// specified.
	RetryAfter time.Duration
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RetryAfter returns the RetryAfter of the *Error in err's chain, or zero.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// KindOf returns the kind of the *Error in err's chain, or KindOther.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindOther
}

// KindOfStatus returns the kind of error that an HTTP status means for every call;
// ok is false if the meaning depends on the call.
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

// KindText returns names[k], or "error" if k is out of range.
func KindText(names []string, k int) string {
	if k < 0 || k >= len(names) {
		return "error"
	}
	return names[k]
}
