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

// control applies events at once.
type control struct {
	mu      sync.Mutex
	current atomic.Pointer[samphireturn.Snapshot]
}

func (c *control) Post(e samphireturn.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.current.Load()
	e.Apply(&next)
	c.current.Store(&next)
}

func (c *control) Snapshot() *samphireturn.Snapshot { return c.current.Load() }

// edit replaces the configuration by a changed one of the next generation.
func (c *control) edit(state string) {
	s := *c.Snapshot()
	s.Config = config(state, s.Config.Generation+1)
	c.current.Store(&s)
}

// fabric carries calls between guards.
type fabric struct {
	mu       sync.Mutex
	handlers map[string]samphireturn.Handler
	cut      map[string]bool
	loss     float64
	rand     *rand.Rand
	calls    int
	bytes    int
}

// node is one daemon's end of a fabric.
type node struct {
	*fabric
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
		if id != n.id && !n.cut[id] && !n.cut[n.id] {
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
	lost := n.cut[to] || n.cut[n.id] || n.rand.Float64() < n.loss
	h := n.handlers[to]
	n.mu.Unlock()
	if lost {
		return &samphireturn.Error{Op: "call", Kind: samphireturn.KindUnavailable}
	}
	_, err = h(ctx, n.id, data)
	return err
}

// objects is an object API; down refuses every call and lose loses the answers
// of that many writes.
type objects struct {
	samphireturn.Store
	mu     sync.Mutex
	values map[string]samphireturn.Object
	clock  uint64
	down   bool
	lose   int
}

func fault(kind samphireturn.Kind) error { return &samphireturn.Error{Op: "store", Kind: kind} }

func (o *objects) Get(_ context.Context, name string) (samphireturn.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.values[name]
	switch {
	case o.down:
		return v, fault(samphireturn.KindUnavailable)
	case !ok:
		return v, fault(samphireturn.KindMissing)
	}
	return v, nil
}

func (o *objects) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return o.Update(ctx, name, value, 0)
}

func (o *objects) Update(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return 0, fault(samphireturn.KindUnavailable)
	}
	if o.values[name].Version != version {
		return 0, fault(samphireturn.KindConflict)
	}
	o.clock++
	o.values[name] = samphireturn.Object{Name: name, Version: o.clock, Value: value}
	if o.lose > 0 {
		o.lose--
		return 0, fault(samphireturn.KindUnknown)
	}
	return o.clock, nil
}

func (o *objects) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, fault(samphireturn.KindUnavailable)
	}
	var list []samphireturn.Object
	for name, v := range o.values {
		if strings.HasPrefix(name, prefix) {
			list = append(list, v)
		}
	}
	return list, nil
}

// config returns a configuration whose version v1 has the state.
func config(state string, generation uint64) *samphireturn.Config {
	g := rates
	g.MinRating = 0.3
	return &samphireturn.Config{Generation: generation, Guard: g, Models: []samphireturn.Model{
		{Name: "m", Versions: []samphireturn.Version{{Name: "v1", State: state}}},
	}}
}

// fleet is a number of guards on one fabric and one platform.
type fleet struct {
	*fabric
	objects *objects
	guards  []*Guard
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		fabric:  &fabric{handlers: map[string]samphireturn.Handler{}, cut: map[string]bool{}, rand: rand.New(rand.NewPCG(seed, 9))},
		objects: &objects{values: map[string]samphireturn.Object{}},
	}
	for range n {
		f.add()
	}
	return f
}

// add adds a guard and lists it everywhere.
func (f *fleet) add() *Guard {
	id := fmt.Sprint("d", len(f.guards))
	c := &control{}
	c.current.Store(&samphireturn.Snapshot{Self: samphireturn.VM{ID: id, Centre: "a"}, Config: config(samphireturn.VersionCanary, 1)})
	f.guards = append(f.guards, New(c, &node{f.fabric, id}, f.objects, samphireturn.InstanceName(id, "1")))
	var members []samphireturn.VM
	for i := range f.guards {
		members = append(members, samphireturn.VM{ID: fmt.Sprint("d", i), Centre: "a"})
	}
	for _, g := range f.guards {
		s := *g.Control.Snapshot()
		s.Members = members
		g.Control.(*control).current.Store(&s)
	}
	return f.guards[len(f.guards)-1]
}

// set changes the faults.
func (f *fleet) set(change func(*fleet)) {
	f.fabric.mu.Lock()
	defer f.fabric.mu.Unlock()
	f.objects.mu.Lock()
	defer f.objects.mu.Unlock()
	change(f)
}

// held counts the guards that hold v1.
func (f *fleet) held() int {
	n := 0
	for _, g := range f.guards {
		if g.Control.Snapshot().HeldVersions[v1] {
			n++
		}
	}
	return n
}
