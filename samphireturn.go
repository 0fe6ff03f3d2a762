// Package samphireturn holds the data and the interfaces that the parts of the
// router share. Implementations live below internal/.
package samphireturn

import "context"

// Object is a value of the platform's object API.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Store is the platform's object API. Errors are of type *Error.
type Store interface {
	// Get returns the object, or an error of KindMissing.
	Get(ctx context.Context, name string) (Object, error)
	// Create stores a new object; KindConflict if the name is taken.
	Create(ctx context.Context, name string, value []byte) (uint64, error)
	// Update replaces version; KindConflict if another is current.
	Update(ctx context.Context, name string, value []byte, version uint64) (uint64, error)
	// Delete removes version; KindConflict if another is current.
	Delete(ctx context.Context, name string, version uint64) error
	// List returns the objects whose names begin with prefix, without values,
	// in order of name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's version is above since and returns it. It
	// returns an error of KindTimeout when the platform ends a quiet watch.
	Watch(ctx context.Context, name string, since uint64) (Object, error)
}

// Lister is the platform's VM list, which lags.
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
	// Connected returns the ids of the daemons with a live link, in order.
	Connected() []string
}

// Handler answers one message of a peer. Body is CBOR; decode it with
// encoder.Unmarshal. The returned value is encoded as the reply.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Event changes the control state. Apply runs on the control goroutine with a
// copy that it may change; maps and slices must be replaced, not changed.
type Event interface {
	Apply(next *Snapshot)
}

// Control is the kernel as its services see it.
type Control interface {
	// Post queues an event and returns at once.
	Post(e Event)
	// Snapshot returns the control state in force; never nil.
	Snapshot() *Snapshot
}
