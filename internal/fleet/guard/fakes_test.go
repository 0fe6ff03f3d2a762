package guard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

// fakeControl applies events at once.
type fakeControl struct {
	mu      sync.Mutex
	current atomic.Pointer[samphireturn.Snapshot]
}

func (c *fakeControl) Post(e samphireturn.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.current.Load()
	e.Apply(&next)
	c.current.Store(&next)
}

func (c *fakeControl) Snapshot() *samphireturn.Snapshot { return c.current.Load() }

// changeConfig puts a configuration of the next generation in force, in which v1 has the
// state.
func (c *fakeControl) changeConfig(state string) {
	s := *c.Snapshot()
	s.Config = config(state, s.Config.Generation+1)
	c.current.Store(&s)
}

// network carries calls between guards. It drops a share of the calls, lossRate, and all
// calls from and to disconnected daemons.
type network struct {
	mu           sync.Mutex
	handlers     map[string]samphireturn.Handler
	disconnected map[string]bool
	lossRate     float64
	rand         *rand.Rand
	calls        int
	bytes        int
}

// node is one daemon's connection to a network.
type node struct {
	*network
	id string
}

func (n *node) Handle(_ string, h samphireturn.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[n.id] = h
}

func (n *node) Connected() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	for id := range n.handlers {
		if id != n.id && !n.disconnected[id] && !n.disconnected[n.id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (n *node) Call(ctx context.Context, to, _ string, body, _ any) error {
	data, err := encoder.Marshal(body)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.calls++
	n.bytes += len(data)
	lost := n.disconnected[to] || n.disconnected[n.id] || n.rand.Float64() < n.lossRate
	h := n.handlers[to]
	n.mu.Unlock()
	if lost {
		return &samphireturn.Error{Op: "call", Kind: samphireturn.KindUnavailable}
	}
	_, err = h(ctx, n.id, data)
	return err
}

// fakeStore is an in-memory object API. If unavailable is set it refuses every call; it
// drops the replies of the next dropReplies writes.
type fakeStore struct {
	samphireturn.Store
	mu          sync.Mutex
	values      map[string]samphireturn.Object
	clock       uint64
	unavailable bool
	dropReplies int
}

func storeError(kind samphireturn.Kind) error { return &samphireturn.Error{Op: "store", Kind: kind} }

func (o *fakeStore) Get(_ context.Context, name string) (samphireturn.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.values[name]
	switch {
	case o.unavailable:
		return v, storeError(samphireturn.KindUnavailable)
	case !ok:
		return v, storeError(samphireturn.KindMissing)
	}
	return v, nil
}

func (o *fakeStore) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return o.Update(ctx, name, value, 0)
}

func (o *fakeStore) Update(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return 0, storeError(samphireturn.KindUnavailable)
	}
	if o.values[name].Version != version {
		return 0, storeError(samphireturn.KindConflict)
	}
	o.clock++
	o.values[name] = samphireturn.Object{Name: name, Version: o.clock, Value: value}
	if o.dropReplies > 0 {
		o.dropReplies--
		return 0, storeError(samphireturn.KindUnknown)
	}
	return o.clock, nil
}

func (o *fakeStore) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return nil, storeError(samphireturn.KindUnavailable)
	}
	var list []samphireturn.Object
	for name, v := range o.values {
		if strings.HasPrefix(name, prefix) {
			list = append(list, v)
		}
	}
	return list, nil
}

// config returns a configuration in which version v1 has the state.
func config(state string, generation uint64) *samphireturn.Config {
	g := rates
	g.MinRating = 0.3
	return &samphireturn.Config{Generation: generation, Guard: g, Models: []samphireturn.Model{
		{Name: "m", Versions: []samphireturn.Version{{Name: "v1", State: state}}},
	}}
}

// testFleet is a number of guards on one network and one platform.
type testFleet struct {
	*network
	objects *fakeStore
	guards  []*Guard
}

func newFleet(n int, seed uint64) *testFleet {
	f := &testFleet{
		network: &network{handlers: map[string]samphireturn.Handler{}, disconnected: map[string]bool{}, rand: rand.New(rand.NewPCG(seed, 9))},
		objects: &fakeStore{values: map[string]samphireturn.Object{}},
	}
	for range n {
		f.add()
	}
	return f
}

// add adds a guard and lists it in every guard's members.
func (f *testFleet) add() *Guard {
	id := fmt.Sprint("d", len(f.guards))
	c := &fakeControl{}
	c.current.Store(&samphireturn.Snapshot{Self: samphireturn.VM{ID: id, Centre: "a"}, Config: config(samphireturn.VersionCanary, 1)})
	f.guards = append(f.guards, New(c, &node{f.network, id}, f.objects, samphireturn.InstanceName(id, "1")))
	var members []samphireturn.VM
	for i := range f.guards {
		members = append(members, samphireturn.VM{ID: fmt.Sprint("d", i), Centre: "a"})
	}
	for _, g := range f.guards {
		s := *g.Control.Snapshot()
		s.Members = members
		g.Control.(*fakeControl).current.Store(&s)
	}
	return f.guards[len(f.guards)-1]
}

// set changes the injected faults under the locks.
func (f *testFleet) set(change func(*testFleet)) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.objects.mu.Lock()
	defer f.objects.mu.Unlock()
	change(f)
}

// heldCount returns the number of guards that hold v1.
func (f *testFleet) heldCount() int {
	n := 0
	for _, g := range f.guards {
		if g.Control.Snapshot().HeldVersions[v1] {
			n++
		}
	}
	return n
}
