// Package samphireturn declares the data types and interfaces that the parts of
// the router share. Implementations live below internal/.
package samphireturn

import "context"

// Object is a versioned value in the platform's object store.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Store is the platform's object API. Errors are of type *Error.
type Store interface {
	// Get returns the object, or an error of KindMissing.
	Get(ctx context.Context, name string) (Object, error)
	// Create stores a new object and returns its version. It returns an error of
	// KindConflict if the name is taken.
	Create(ctx context.Context, name string, value []byte) (uint64, error)
	// Update replaces the given version and returns the new one. It returns an error
	// of KindConflict if another version is current.
	Update(ctx context.Context, name string, value []byte, version uint64) (uint64, error)
	// Delete removes the object. It returns an error of KindConflict if another
	// version is current.
	Delete(ctx context.Context, name string, version uint64) error
	// List returns the objects whose names begin with prefix, without values,
	// in order of name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's version is above since and returns the object.
	// It returns an error of KindTimeout if the platform ends the watch without a
	// change.
	Watch(ctx context.Context, name string, since uint64) (Object, error)
}

// Lister reads the platform's VM list, which lags behind the VMs' actual state.
type Lister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Rater is the platform's rating service.
type Rater interface {
	// Rate returns the quality, from 0 to 1, of an answer to a prompt.
	Rate(ctx context.Context, version VersionRef, prompt, answer string) (float64, error)
}

// Peers carries messages between the daemons of the fleet. Bodies are encoded
// in CBOR.
type Peers interface {
	// Call sends body to the named daemon and decodes its reply into reply,
	// which may be nil.
	Call(ctx context.Context, to, topic string, body, reply any) error
	// Handle registers the handler of a topic. It must be called before Run.
	Handle(topic string, h Handler)
	// Connected returns the sorted ids of the daemons with a live connection.
	Connected() []string
}

// Handler answers one message of a peer. Body is CBOR; decode it with
// encoder.Unmarshal. The returned value is encoded as the reply.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Event changes the control state. Apply runs on the control goroutine with a
// shallow copy of the snapshot: it may set fields, but must replace maps and
// slices rather than modify them.
type Event interface {
	Apply(next *Snapshot)
}

// Control is the kernel's interface to its services.
type Control interface {
	// Post queues an event and returns at once.
	Post(e Event)
	// Snapshot returns the current control state; never nil.
	Snapshot() *Snapshot
}
