package picker

// Kinds of errors.
const (
	// KindUnknown means that the configuration has no such model, version or
	// service.
	KindUnknown Kind = iota
	// KindForbidden means that the team may not use the model or service.
	KindForbidden
	// KindUnavailable means that nothing that the team may use can take the
	// request now.
	KindUnavailable
)

// Kind classifies an Error.
type Kind int

// Error says why no version, endpoint or data centre was chosen for a request.
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
