package granter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/traffic/dispatcher"
	"samphireturn/internal/traffic/limiter"
)

const (
	budget = 6400
	unit   = 20 // largest request
)

type (
	// fleet is one data centre on fake time with one endpoint.
	fleet struct {
		mu     sync.Mutex
		rand   *rand.Rand
		nodes  []*node
		cut    map[[2]int]bool
		list   []samphireturn.VM
		past   []int64 // load at each loadStep
		used   map[*node]int64
		bears  func() int64
		start  uint64
		warm   bool
		over   string
		refuse int
		bytes  int64
		calls  int64
		stop   context.CancelFunc
		ctx    context.Context
		wait   sync.WaitGroup
		// endpoints is the number of endpoints.
		endpoints int
		life      time.Duration // longest request
	}

	// node is one daemon: its granter and its traffic.
	node struct {
		*Granter
		fleet   *fleet
		index   int
		rand    *rand.Rand
		ctx     context.Context
		stop    context.CancelFunc
		paused  bool
		dead    bool
		list    []samphireturn.VM // its own view; nil for the fleet's
		load    float64           // part of the budget that it wants
		gauge   *samphireturn.Gauge
		ends    map[string]*samphireturn.Endpoint
		limit   *limiter.Limiter
		handler samphireturn.Handler
	}
)

// run plays n daemons and passes them to f.
func run(t *testing.T, n int, seed uint64, f func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := newFleet(n, seed, 1)
		f(w)
		w.close()
	})
}

// newFleet starts n daemons; only with one endpoint do they have traffic.
func newFleet(n int, seed uint64, endpoints int) *fleet {
	w := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, used: map[*node]int64{}, start: 1, warm: true, life: 2 * time.Second}
	w.bears = func() int64 { return budget }
	w.endpoints = endpoints
	w.ctx, w.stop = context.WithCancel(context.Background())
	for i := range n {
		w.list = append(w.list, samphireturn.VM{ID: fmt.Sprint("d", i), Role: samphireturn.RoleEntry, Centre: "x"})
	}
	w.nodes = make([]*node, n)
	for i := range n {
		w.boot(i)
	}
	w.wait.Go(w.sample)
	return w
}

func (w *fleet) close() {
	w.do(func() {
		for _, d := range w.nodes {
			d.paused = false
		}
	})
	for _, d := range w.nodes {
		d.stop()
		_ = d.Granter.Close()
	}
	w.stop()
	w.wait.Wait()
}

// boot starts a new process of a daemon.
func (w *fleet) boot(i int) {
	d := &node{fleet: w, index: i, rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)), gauge: new(samphireturn.Gauge), load: 1.5 / float64(len(w.nodes))}
	d.ctx, d.stop = context.WithCancel(w.ctx)
	if w.endpoints > 1 {
		d.ends = make(map[string]*samphireturn.Endpoint)
		for j := range w.endpoints {
			e := d.endpoint()
			e.ID, e.Gauge = fmt.Sprint("e", j), new(samphireturn.Gauge)
			d.ends[e.ID] = e
		}
	}
	offset := time.Duration(i*7+int(w.start)) * time.Hour
	d.limit = &limiter.Limiter{Now: func() time.Time { return time.Now().Add(offset) }}
	d.Granter = New(w.list[i], d, d, d.limit.Clock)
	d.Register()
	d.instance = w.rand.Uint32() | 1
	w.mu.Lock()
	w.nodes[i] = d
	w.mu.Unlock()
	_ = d.Run(d.ctx)
	if w.endpoints == 1 {
		w.wait.Go(d.traffic)
	}
}

func (d *node) Post(samphireturn.Event) {}

// Snapshot returns the daemon's view: late lists and reports a lag old.
func (d *node) Snapshot() *samphireturn.Snapshot {
	d.awake()
	w := d.fleet
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.list
	if d.list != nil {
		list = d.list
	}
	if d.ends != nil {
		return &samphireturn.Snapshot{Self: d.self, Members: list, Endpoints: d.ends}
	}
	return &samphireturn.Snapshot{Self: d.self, Members: list, Endpoints: map[string]*samphireturn.Endpoint{"e": d.endpoint()}}
}

func (d *node) endpoint() *samphireturn.Endpoint {
	w := d.fleet
	e := &samphireturn.Endpoint{VM: samphireturn.VM{ID: "e", Centre: "x", Role: samphireturn.RoleEngine}, Start: w.start, Budget: budget, Warm: w.warm, Gauge: d.gauge}
	if len(w.past) > 8 {
		e.Used = w.past[len(w.past)-8]
	}
	return e
}

func (d *node) Handle(_ string, h samphireturn.Handler) { d.handler = h }

func (d *node) Connected() []string {
	w := d.fleet
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for i, other := range w.nodes {
		if i != d.index && other != nil && !other.dead && !w.cut[[2]int{d.index, i}] {
			ids = append(ids, w.list[i].ID)
		}
	}
	return ids
}

// Call carries a message with a latency, unless a link is cut on its way.
func (d *node) Call(ctx context.Context, to, _ string, body, reply any) error {
	data, _ := encoder.Marshal(body)
	other := d.hop(ctx, to)
	if other == nil {
		return errors.New("cut")
	}
	other.awake()
	answer, err := other.handler(ctx, d.self.ID, data)
	if err != nil {
		return err
	}
	other.awake()
	back, _ := encoder.Marshal(answer)
	d.fleet.mu.Lock()
	d.fleet.bytes += int64(len(data) + len(back))
	d.fleet.calls++
	d.fleet.mu.Unlock()
	if d.hop(ctx, to) == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	d.awake()
	return encoder.Unmarshal(back, reply)
}

func (d *node) hop(ctx context.Context, to string) *node {
	w := d.fleet
	w.mu.Lock()
	delay := time.Duration(1+d.rand.IntN(60)) * time.Millisecond
	w.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, vm := range w.list {
		if vm.ID == to && w.nodes[i] != nil && !w.nodes[i].dead && !w.cut[[2]int{d.index, i}] {
			return w.nodes[i]
		}
	}
	return nil
}

// awake returns once the daemon is not paused.
func (d *node) awake() {
	for {
		d.fleet.mu.Lock()
		paused := d.paused
		d.fleet.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// traffic sends requests as a router does, up to the daemon's load.
func (d *node) traffic() {
	for d.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		d.awake()
		for d.try() {
		}
	}
}

func (d *node) try() bool {
	w := d.fleet
	w.mu.Lock()
	work := 1 + d.rand.Int64N(unit)
	life := time.Duration(1 + d.rand.Int64N(int64(w.life)))
	stall := d.rand.IntN(10) == 0
	full := float64(d.gauge.Outstanding.Load()) >= d.load*budget || d.ctx.Err() != nil
	e := d.endpoint()
	w.mu.Unlock()
	if full {
		return false
	}
	e.Gauge.Want(work)
	if !d.limit.Acquire(e, work) {
		return false
	}
	if stall {
		time.Sleep(time.Millisecond)
		d.awake()
	}
	if !d.limit.Valid(e) {
		d.limit.Release(e, work)
		return false
	}
	w.wait.Go(func() { d.request(e, work, life) })
	return true
}

// request runs one request at the endpoint.
func (d *node) request(e *samphireturn.Endpoint, work int64, life time.Duration) {
	w := d.fleet
	w.mu.Lock()
	if d.ctx.Err() != nil || e.Start != w.start {
		w.mu.Unlock()
		d.limit.Release(e, work)
		return
	}
	total := work
	for _, used := range w.used {
		total += used
	}
	if total > w.bears() {
		w.refuse++
		if w.over == "" {
			w.over = fmt.Sprintf("%s sends %d, so that %d are under way of %d", d.self.ID, work, total, w.bears())
		}
		w.mu.Unlock()
		d.limit.Release(e, work)
		d.Sent(e, samphireturn.VersionRef{}, 0, &dispatcher.Error{Kind: dispatcher.KindRefused, Code: codeOverloaded})
		return
	}
	w.used[d] += work
	w.mu.Unlock()
	select {
	case <-time.After(life):
	case <-d.ctx.Done():
		return
	}
	w.mu.Lock()
	if e.Start == w.start {
		w.used[d] -= work
	}
	w.mu.Unlock()
	d.awake()
	d.limit.Release(e, work)
	d.Sent(e, samphireturn.VersionRef{}, 0, nil)
}

// sample records the endpoint's load for its late reports.
func (w *fleet) sample() {
	for w.ctx.Err() == nil {
		used := w.total()
		w.mu.Lock()
		w.past = append(w.past, used)
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *fleet) total() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var total int64
	for _, used := range w.used {
		total += used
	}
	return total
}

// mean returns the mean part of the budget in use over a time.
func (w *fleet) mean(d time.Duration) float64 {
	sum := int64(0)
	for range 50 {
		time.Sleep(d / 50)
		sum += w.total()
	}
	return float64(sum) / 50 / budget
}

// home returns the daemon that most views name as home.
func (w *fleet) home() *node {
	for _, d := range w.nodes {
		d.mu.Lock()
		n := len(d.books)
		d.mu.Unlock()
		if n > 0 && !d.dead {
			return d
		}
	}
	return w.nodes[0]
}

func (w *fleet) do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// part cuts the links between two groups; same says which group one is in.
func (w *fleet) part(group func(i int) int) {
	w.do(func() {
		for i := range w.nodes {
			for j := range w.nodes {
				w.cut[[2]int{i, j}] = group(i) != group(j)
			}
		}
	})
}

func (w *fleet) kill(d *node) {
	d.stop()
	w.do(func() {
		d.dead = true
		delete(w.used, d)
	})
}
