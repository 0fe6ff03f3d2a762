// Package kernel runs the named services of a daemon and owns its control
// state.
//
// Services are added by name, find each other by name, start in the order in
// which they were added and close in the reverse order. One goroutine applies
// events to the control state and publishes an immutable snapshot.
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
	// KindMissing says that no service has the name.
	KindMissing Kind = iota
	// KindTaken says that the name is in use.
	KindTaken
	// KindType says that the service lacks the interface asked for.
	KindType
	// KindStart says that a service did not start.
	KindStart
	// KindClose says that a service did not close cleanly.
	KindClose
)

var events = expvar.NewInt("kernel_events")

// Kind classifies an Error.
type Kind int

// Error is an error of the kernel.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		names := [...]string{"no such service", "name taken", "wrong type", "start failed", "close failed"}
		return e.Op + ": " + names[e.Kind]
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Service is a part of the daemon with a life of its own.
type Service interface {
	// Run starts the service and returns once it works. The context ends when
	// the kernel closes.
	Run(ctx context.Context) error
	// Close stops the service and waits until it has stopped.
	Close() error
}

// Leaver is a service that acts before any service closes. Leave returns at
// once.
type Leaver interface{ Leave() }

// Kernel is a registry of services and the owner of the control state. Set
// the exported fields before Run.
type Kernel struct {
	Log  zerolog.Logger
	Self samphireturn.VM
	// Derive, if set, completes each new snapshot before it is published.
	Derive func(old, next *samphireturn.Snapshot)

	names    []string
	services map[string]Service
	started  int
	cancel   context.CancelFunc

	mu      sync.Mutex
	queue   []samphireturn.Event
	wake    chan struct{}
	done    chan struct{}
	current atomic.Pointer[samphireturn.Snapshot]
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
	k.current.Store(&samphireturn.Snapshot{Self: self})
	return k
}

// Add registers a service. Services start in the order of their addition.
func (k *Kernel) Add(name string, s Service) error {
	if _, ok := k.services[name]; ok {
		return &Error{Op: "add " + name, Kind: KindTaken}
	}
	k.services[name] = s
	k.names = append(k.names, name)
	return nil
}

// Find returns the named service as a T.
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

// Run starts the control goroutine and then every service. If one fails, those
// already started are closed.
func (k *Kernel) Run(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	go k.control(ctx)
	for _, name := range k.names {
		if err := k.services[name].Run(ctx); err != nil {
			_ = k.Close()
			return &Error{Op: "start " + name, Kind: KindStart, Err: err}
		}
		k.started++
		k.Log.Debug().Str("service", name).Msg("service started")
	}
	return nil
}

// Close tells the started services that are Leavers, closes all in reverse
// order, then stops the control goroutine and waits for it. It returns the
// first error.
func (k *Kernel) Close() error {
	var first error
	for _, name := range k.names[:k.started] {
		if l, ok := k.services[name].(Leaver); ok {
			l.Leave()
		}
	}
	for k.started > 0 {
		k.started--
		name := k.names[k.started]
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

// Post queues an event for the control goroutine and returns at once.
func (k *Kernel) Post(e samphireturn.Event) {
	k.mu.Lock()
	k.queue = append(k.queue, e)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Snapshot returns the control state in force.
func (k *Kernel) Snapshot() *samphireturn.Snapshot { return k.current.Load() }

// control applies queued events in batches and publishes one snapshot a batch.
func (k *Kernel) control(ctx context.Context) {
	defer close(k.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		k.mu.Lock()
		batch := k.queue
		k.queue = nil
		k.mu.Unlock()
		old := k.current.Load()
		next := *old
		for _, e := range batch {
			e.Apply(&next)
		}
		if k.Derive != nil {
			k.Derive(old, &next)
		}
		k.current.Store(&next)
		events.Add(int64(len(batch)))
	}
}
