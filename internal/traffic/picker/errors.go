package picker

// Kinds of errors.
const (
	// KindUnknown says that the configuration has no such model, version or
	// service.
	KindUnknown Kind = iota
	// KindForbidden says that the team may not use the model or service.
	KindForbidden
	// KindNone says that nothing allowed can take the request now.
	KindNone
)

// Kind classifies an Error.
type Kind int

// Error is a decision that found nothing to run a request on.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the reason.
func (e *Error) Error() string {
	if e.Err != nil {
		return e.Op + ": " + e.Err.Error()
	}
	names := [...]string{"not configured", "not allowed", "none available"}
	return e.Op + ": " + names[e.Kind]
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
