// Package kernel runs the named services of a daemon and owns its control
// state.
//
// Services are added and found by name. They start in the order in which they were
// added and close in the reverse order. One goroutine applies posted events to the
// control state and publishes each new state as an immutable snapshot.
package kernel

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindMissing means that no service has the name.
	KindMissing Kind = iota
	// KindTaken means that another service has the name.
	KindTaken
	// KindType means that the service does not have the requested type.
	KindType
	// KindStart means that a service failed to start.
	KindStart
	// KindClose means that a service returned an error when it was closed.
	KindClose
)

var events = expvar.NewInt("kernel_events")

// Kind classifies an Error.
type Kind int

// Error describes a failed operation of the kernel.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause, or the kind if there is no cause.
func (e *Error) Error() string {
	if e.Err == nil {
		names := [...]string{"no such service", "name taken", "wrong type", "start failed", "close failed"}
		return e.Op + ": " + names[e.Kind]
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Service is a part of the daemon that is started and closed by the kernel.
type Service interface {
	// Run starts the service and returns when it is ready. The kernel cancels ctx
	// after all services are closed.
	Run(ctx context.Context) error
	// Close stops the service and returns when it has stopped.
	Close() error
}

// Leaver is implemented by services that prepare for the shutdown before any service
// is closed. Leave must not block.
type Leaver interface{ Leave() }

// Kernel runs services and owns the control state. Set the exported fields before
// Run.
type Kernel struct {
	Log  zerolog.Logger
	Self samphireturn.VM
	// Derive, if set, computes the derived fields of each new snapshot before it is
	// published. The old snapshot must not be changed.
	Derive func(old, next *samphireturn.Snapshot)

	names    []string
	services map[string]Service
	// startedCount is the number of running services, the first ones of names.
	startedCount int
	cancel       context.CancelFunc

	mu       sync.Mutex
	pending  []samphireturn.Event
	wake     chan struct{}
	done     chan struct{}
	snapshot atomic.Pointer[samphireturn.Snapshot]
}

// New returns a kernel without services.
func New(self samphireturn.VM, log zerolog.Logger) *Kernel {
	k := &Kernel{
		Log:      log,
		Self:     self,
		services: make(map[string]Service),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	k.snapshot.Store(&samphireturn.Snapshot{Self: self})
	return k
}

// Add registers a service under a name. It returns an Error of KindTaken if the name
// is in use.
func (k *Kernel) Add(name string, s Service) error {
	if _, ok := k.services[name]; ok {
		return &Error{Op: "add " + name, Kind: KindTaken}
	}
	k.services[name] = s
	k.names = append(k.names, name)
	return nil
}

// Find returns the named service as a T. Its errors have the kind KindMissing or
// KindType.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, &Error{Op: "find " + name, Kind: KindMissing}
	}
	t, ok := s.(T)
	if !ok {
		return zero, &Error{Op: "find " + name, Kind: KindType, Err: fmt.Errorf("service %s is a %T", name, s)}
	}
	return t, nil
}

// Run starts the goroutine that applies events and then every service, in order. If a
// service fails to start, those already started are closed and an Error of KindStart is
// returned.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	go k.applyEvents(ctx)
	for _, name := range k.names {
		if err := k.services[name].Run(ctx); err != nil {
			_ = k.Close()
			return &Error{Op: "start " + name, Kind: KindStart, Err: err}
		}
		k.startedCount++
		k.Log.Debug().Str("service", name).Msg("service started")
	}
	return nil
}

// Close calls Leave of the started services that are Leavers, closes all started
// services in reverse order, then stops the goroutine that applies events and waits for
// it. It returns the first error, as an Error of KindClose.
func (k *Kernel) Close() error {
	var first error
	for _, name := range k.names[:k.startedCount] {
		if l, ok := k.services[name].(Leaver); ok {
			l.Leave()
		}
	}
	for k.startedCount > 0 {
		k.startedCount--
		name := k.names[k.startedCount]
		if err := k.services[name].Close(); err != nil && first == nil {
			first = &Error{Op: "close " + name, Kind: KindClose, Err: err}
		}
	}
	if k.cancel != nil {
		k.cancel()
		<-k.done
	}
	return first
}

// Post queues an event to be applied to the control state. It does not block.
func (k *Kernel) Post(e samphireturn.Event) {
	k.mu.Lock()
	k.pending = append(k.pending, e)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Snapshot returns the current control state. It must not be changed.
func (k *Kernel) Snapshot() *samphireturn.Snapshot { return k.snapshot.Load() }

// applyEvents applies queued events in batches and publishes one snapshot per batch,
// until ctx is done.
func (k *Kernel) applyEvents(ctx context.Context) {
	defer close(k.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		k.mu.Lock()
		batch := k.pending
		k.pending = nil
		k.mu.Unlock()
		old := k.snapshot.Load()
		next := *old
		for _, e := range batch {
			e.Apply(&next)
		}
		if k.Derive != nil {
			k.Derive(old, &next)
		}
		k.snapshot.Store(&next)
		events.Add(int64(len(batch)))
	}
}
