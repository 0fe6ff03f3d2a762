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
	budget     = 6400
	maxRequest = 20 // tokens of the largest request
)

type (
	// simFleet is one data centre on simulated time with one or more endpoints.
	simFleet struct {
		mu           sync.Mutex
		rand         *rand.Rand
		daemons      []*simDaemon
		cut          map[[2]int]bool
		list         []samphireturn.VM
		loadHistory  []int64 // load every 100 ms
		inFlight     map[*simDaemon]int64
		capacity     func() int64
		incarnation  uint64
		warm         bool
		overload     string
		refusals     int
		messageBytes int64
		calls        int64
		stop         context.CancelFunc
		ctx          context.Context
		wait         sync.WaitGroup
		// endpoints is the number of endpoints.
		endpoints   int
		maxDuration time.Duration // longest request
	}

	// simDaemon is one daemon: its granter and its traffic.
	simDaemon struct {
		*Granter
		fleet         *simFleet
		index         int
		rand          *rand.Rand
		ctx           context.Context
		stop          context.CancelFunc
		paused        bool
		dead          bool
		list          []samphireturn.VM // its own member list; nil for the fleet's
		load          float64           // part of the budget that it tries to use
		quota         *samphireturn.Quota
		endpointsByID map[string]*samphireturn.Endpoint
		limit         *limiter.Limiter
		handler       samphireturn.Handler
	}
)

// run simulates n daemons and passes them to f.
func run(t *testing.T, n int, seed uint64, f func(f *simFleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := newFleet(n, seed, 1)
		f(w)
		w.close()
	})
}

// newFleet starts n daemons. They send requests only if there is a single
// endpoint.
func newFleet(n int, seed uint64, endpoints int) *simFleet {
	w := &simFleet{rand: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, inFlight: map[*simDaemon]int64{}, incarnation: 1, warm: true, maxDuration: 2 * time.Second}
	w.capacity = func() int64 { return budget }
	w.endpoints = endpoints
	w.ctx, w.stop = context.WithCancel(context.Background())
	for i := range n {
		w.list = append(w.list, samphireturn.VM{ID: fmt.Sprint("d", i), Role: samphireturn.RoleEntry, Centre: "x"})
	}
	w.daemons = make([]*simDaemon, n)
	for i := range n {
		w.startDaemon(i)
	}
	w.wait.Go(w.sampleLoad)
	return w
}

func (w *simFleet) close() {
	w.locked(func() {
		for _, d := range w.daemons {
			d.paused = false
		}
	})
	for _, d := range w.daemons {
		d.stop()
		_ = d.Granter.Close()
	}
	w.stop()
	w.wait.Wait()
}

// startDaemon starts a new process of daemon i.
func (w *simFleet) startDaemon(i int) {
	d := &simDaemon{fleet: w, index: i, rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)), quota: new(samphireturn.Quota), load: 1.5 / float64(len(w.daemons))}
	d.ctx, d.stop = context.WithCancel(w.ctx)
	if w.endpoints > 1 {
		d.endpointsByID = make(map[string]*samphireturn.Endpoint)
		for j := range w.endpoints {
			e := d.endpoint()
			e.ID, e.Quota = fmt.Sprint("e", j), new(samphireturn.Quota)
			d.endpointsByID[e.ID] = e
		}
	}
	offset := time.Duration(i*7+int(w.incarnation)) * time.Hour
	d.limit = &limiter.Limiter{Now: func() time.Time { return time.Now().Add(offset) }}
	d.Granter = New(w.list[i], d, d, d.limit.Clock)
	d.Register()
	d.instance = w.rand.Uint32() | 1
	w.mu.Lock()
	w.daemons[i] = d
	w.mu.Unlock()
	_ = d.Run(d.ctx)
	if w.endpoints == 1 {
		w.wait.Go(d.traffic)
	}
}

// sampleLoad records the endpoint's load every 100 ms, for its late reports.
func (w *simFleet) sampleLoad() {
	for w.ctx.Err() == nil {
		used := w.total()
		w.mu.Lock()
		w.loadHistory = append(w.loadHistory, used)
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// total returns the work in flight at the endpoint.
func (w *simFleet) total() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var total int64
	for _, used := range w.inFlight {
		total += used
	}
	return total
}

// meanLoad returns the mean part of the budget in use during d.
func (w *simFleet) meanLoad(d time.Duration) float64 {
	sum := int64(0)
	for range 50 {
		time.Sleep(d / 50)
		sum += w.total()
	}
	return float64(sum) / 50 / budget
}

// home returns the first live daemon that is home of an endpoint.
func (w *simFleet) home() *simDaemon {
	for _, d := range w.daemons {
		d.mu.Lock()
		n := len(d.homed)
		d.mu.Unlock()
		if n > 0 && !d.dead {
			return d
		}
	}
	return w.daemons[0]
}

// locked calls f with mu held.
func (w *simFleet) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// partition cuts the links between daemons of different groups; group returns
// the group of daemon i.
func (w *simFleet) partition(group func(i int) int) {
	w.locked(func() {
		for i := range w.daemons {
			for j := range w.daemons {
				w.cut[[2]int{i, j}] = group(i) != group(j)
			}
		}
	})
}

// kill ends the process of a daemon and its work.
func (w *simFleet) kill(d *simDaemon) {
	d.stop()
	w.locked(func() {
		d.dead = true
		delete(w.inFlight, d)
	})
}
