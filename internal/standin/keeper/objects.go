// Package keeper is a stand-in for the platform: an in-memory object API, VM
// list, rating service and weight store.
package keeper

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

// Operations that Objects counts and passes to its Fault hook.
const (
	OpGet     = "get"
	OpCreate  = "create"
	OpUpdate  = "update"
	OpDelete  = "delete"
	OpList    = "list"
	OpWatch   = "watch"
	OpVMs     = "vms"
	OpRate    = "rate"
	OpWeights = "weights"
	// opWaiting is the key of the number of watches in flight.
	opWaiting = "waiting"
)

const (
	// MaxValue is the size in bytes of the largest value.
	MaxValue = 1 << 20

	defaultWatchTime = 30 * time.Second
)

var _ samphireturn.Store = (*Objects)(nil)

// Fault is the fault of one call. The zero value is no fault.
type Fault struct {
	// Down fails the call as unavailable, without any effect.
	Down bool
	// Delay passes before the call takes effect.
	Delay time.Duration
	// DropReply carries out a write and returns an error of KindUnknown.
	DropReply bool
}

// Faults are the faults of all calls until they are replaced. The zero value is
// no fault.
type Faults struct {
	// Down fails every call as unavailable.
	Down bool
	// Delay passes before each call takes effect.
	Delay time.Duration
	// DropReplies is the number of writes from now whose answers are dropped.
	DropReplies int
}

// Objects is an in-memory object API. The zero value is ready to use; exported
// fields must be set before the first call.
type Objects struct {
	// Fault, if not nil, returns the fault of a call; op is one of the Op constants.
	Fault func(op, name string) Fault
	// WatchTime is the longest time that a watch waits; zero means 30 s.
	WatchTime time.Duration

	mu      sync.Mutex
	faults  Faults
	version uint64
	objects map[string]samphireturn.Object
	changed chan struct{}
	calls   map[string]int64
}

// SetFaults replaces the faults of all calls. If f.Down is set, the watches in
// flight fail.
func (o *Objects) SetFaults(f Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
	o.notifyWatches()
}

// Calls returns the number of calls by operation, and the number of watches in
// flight under "waiting".
func (o *Objects) Calls() map[string]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := make(map[string]int64, len(o.calls))
	maps.Copy(m, o.calls)
	return m
}

// Get implements samphireturn.Store.
func (o *Objects) Get(ctx context.Context, name string) (samphireturn.Object, error) {
	if _, err := o.begin(ctx, OpGet, name); err != nil {
		return samphireturn.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.objects[name]
	if !ok {
		return obj, newError(OpGet, name, samphireturn.KindMissing, nil)
	}
	return clone(obj), nil
}

// Create implements samphireturn.Store.
func (o *Objects) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return o.write(ctx, OpCreate, name, value, 0)
}

// Update implements samphireturn.Store.
func (o *Objects) Update(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	return o.write(ctx, OpUpdate, name, value, version)
}

// Delete implements samphireturn.Store.
func (o *Objects) Delete(ctx context.Context, name string, version uint64) error {
	_, err := o.write(ctx, OpDelete, name, nil, version)
	return err
}

// List implements samphireturn.Store.
func (o *Objects) List(ctx context.Context, prefix string) ([]samphireturn.Object, error) {
	if _, err := o.begin(ctx, OpList, prefix); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var objs []samphireturn.Object
	for name, obj := range o.objects {
		if strings.HasPrefix(name, prefix) {
			objs = append(objs, samphireturn.Object{Name: name, Version: obj.Version})
		}
	}
	sort.Slice(objs, func(i, j int) bool { return objs[i].Name < objs[j].Name })
	return objs, nil
}

// Watch implements samphireturn.Store. It waits for at most WatchTime.
func (o *Objects) Watch(ctx context.Context, name string, since uint64) (samphireturn.Object, error) {
	return o.watch(ctx, name, since, o.watchTime())
}

// Admit counts a call of an operation outside the object API and applies the
// faults that delay or fail it.
func (o *Objects) Admit(ctx context.Context, op, name string) error {
	_, err := o.begin(ctx, op, name)
	return err
}

func (o *Objects) watchTime() time.Duration {
	if o.WatchTime > 0 {
		return o.WatchTime
	}
	return defaultWatchTime
}

func (o *Objects) watch(ctx context.Context, name string, since uint64, wait time.Duration) (samphireturn.Object, error) {
	if _, err := o.begin(ctx, OpWatch, name); err != nil {
		return samphireturn.Object{}, err
	}
	o.addCalls(opWaiting, 1)
	defer o.addCalls(opWaiting, -1)
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		obj, changed := o.current(name)
		if obj.Version > since {
			return obj, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return samphireturn.Object{}, newError(OpWatch, name, samphireturn.KindTimeout, nil)
		case <-ctx.Done():
			return samphireturn.Object{}, newError(OpWatch, name, samphireturn.KindUnavailable, ctx.Err())
		}
		if o.down() {
			return samphireturn.Object{}, newError(OpWatch, name, samphireturn.KindUnavailable, nil)
		}
	}
}

// current returns the object, of version 0 if there is none, and a channel that is
// closed by the next write.
func (o *Objects) current(name string) (samphireturn.Object, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return clone(o.objects[name]), o.changed
}

func (o *Objects) down() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults.Down
}

func (o *Objects) write(ctx context.Context, op, name string, value []byte, version uint64) (uint64, error) {
	f, err := o.begin(ctx, op, name)
	if err != nil {
		return 0, err
	}
	if len(value) > MaxValue {
		return 0, newError(op, name, samphireturn.KindInvalid, errors.Errorf("value of %d bytes, limit %d", len(value), MaxValue))
	}
	v, err := o.apply(op, name, value, version)
	if f.DropReply {
		return 0, newError(op, name, samphireturn.KindUnknown, errors.New("answer lost"))
	}
	return v, err
}

// apply changes the object if version is current, where 0 stands for none.
func (o *Objects) apply(op, name string, value []byte, version uint64) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cur, ok := o.objects[name]
	if cur.Version != version || ok == (op == OpCreate) {
		return 0, newError(op, name, samphireturn.KindConflict, nil)
	}
	if o.objects == nil {
		o.objects = make(map[string]samphireturn.Object)
	}
	o.version++
	if op == OpDelete {
		delete(o.objects, name)
	} else {
		o.objects[name] = clone(samphireturn.Object{Name: name, Version: o.version, Value: value})
	}
	o.notifyWatches()
	return o.version, nil
}

// notifyWatches wakes the waiting watches. The caller holds mu.
func (o *Objects) notifyWatches() {
	if o.changed == nil {
		return
	}
	close(o.changed)
	o.changed = nil
}

// begin counts a call and applies its fault, except DropReply. If ctx ends during the
// delay, a write returns KindUnknown, as its caller cannot know whether it took effect.
func (o *Objects) begin(ctx context.Context, op, name string) (Fault, error) {
	o.addCalls(op, 1)
	f := o.nextFault(op, name)
	if f.Down || ctx.Err() != nil {
		return f, newError(op, name, samphireturn.KindUnavailable, ctx.Err())
	}
	if f.Delay <= 0 {
		return f, nil
	}
	t := time.NewTimer(f.Delay)
	defer t.Stop()
	select {
	case <-t.C:
		return f, nil
	case <-ctx.Done():
	}
	kind := samphireturn.KindUnavailable
	if isWrite(op) {
		kind = samphireturn.KindUnknown
	}
	return f, newError(op, name, kind, ctx.Err())
}

// nextFault combines the current faults with those of the hook and uses up one of
// DropReplies.
func (o *Objects) nextFault(op, name string) Fault {
	var f Fault
	if o.Fault != nil {
		f = o.Fault(op, name)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	f.Down = f.Down || o.faults.Down
	f.Delay += o.faults.Delay
	if isWrite(op) && !f.Down && o.faults.DropReplies > 0 {
		o.faults.DropReplies--
		f.DropReply = true
	}
	return f
}

func (o *Objects) addCalls(op string, n int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = make(map[string]int64)
	}
	o.calls[op] += n
}

func isWrite(op string) bool {
	return op == OpCreate || op == OpUpdate || op == OpDelete
}

func clone(obj samphireturn.Object) samphireturn.Object {
	obj.Value = append([]byte(nil), obj.Value...)
	return obj
}

func newError(op, name string, kind samphireturn.Kind, err error) error {
	return &samphireturn.Error{Op: strings.TrimSpace(op + " " + name), Kind: kind, Err: err}
}
