package granter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphireturn"
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
		gauge   *samphireturn.Quota
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
	d := &node{fleet: w, index: i, rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)), gauge: new(samphireturn.Quota), load: 1.5 / float64(len(w.nodes))}
	d.ctx, d.stop = context.WithCancel(w.ctx)
	if w.endpoints > 1 {
		d.ends = make(map[string]*samphireturn.Endpoint)
		for j := range w.endpoints {
			e := d.endpoint()
			e.ID, e.Quota = fmt.Sprint("e", j), new(samphireturn.Quota)
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
