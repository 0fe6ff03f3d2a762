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
		sim := newFleet(n, seed, 1)
		f(sim)
		sim.close()
	})
}

// newFleet starts n daemons. They send requests only if there is a single
// endpoint.
func newFleet(n int, seed uint64, endpoints int) *simFleet {
	sim := &simFleet{rand: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, inFlight: map[*simDaemon]int64{}, incarnation: 1, warm: true, maxDuration: 2 * time.Second}
	sim.capacity = func() int64 { return budget }
	sim.endpoints = endpoints
	sim.ctx, sim.stop = context.WithCancel(context.Background())
	for i := range n {
		sim.list = append(sim.list, samphireturn.VM{ID: fmt.Sprint("d", i), Role: samphireturn.RoleEntry, Centre: "x"})
	}
	sim.daemons = make([]*simDaemon, n)
	for i := range n {
		sim.startDaemon(i)
	}
	sim.wait.Go(sim.sampleLoad)
	return sim
}

func (sim *simFleet) close() {
	sim.locked(func() {
		for _, d := range sim.daemons {
			d.paused = false
		}
	})
	for _, d := range sim.daemons {
		d.stop()
		_ = d.Granter.Close()
	}
	sim.stop()
	sim.wait.Wait()
}

// startDaemon starts a new process of daemon i.
func (sim *simFleet) startDaemon(i int) {
	d := &simDaemon{fleet: sim, index: i, rand: rand.New(rand.NewPCG(sim.rand.Uint64(), 2)), quota: new(samphireturn.Quota), load: 1.5 / float64(len(sim.daemons))}
	d.ctx, d.stop = context.WithCancel(sim.ctx)
	if sim.endpoints > 1 {
		d.endpointsByID = make(map[string]*samphireturn.Endpoint)
		for j := range sim.endpoints {
			e := d.endpoint()
			e.ID, e.Quota = fmt.Sprint("e", j), new(samphireturn.Quota)
			d.endpointsByID[e.ID] = e
		}
	}
	offset := time.Duration(i*7+int(sim.incarnation)) * time.Hour
	d.limit = &limiter.Limiter{Now: func() time.Time { return time.Now().Add(offset) }}
	d.Granter = New(sim.list[i], d, d, d.limit.Clock)
	d.Register()
	d.instance = sim.rand.Uint32() | 1
	sim.mu.Lock()
	sim.daemons[i] = d
	sim.mu.Unlock()
	_ = d.Run(d.ctx)
	if sim.endpoints == 1 {
		sim.wait.Go(d.traffic)
	}
}

// sampleLoad records the endpoint's load every 100 ms, for its late reports.
func (sim *simFleet) sampleLoad() {
	for sim.ctx.Err() == nil {
		used := sim.total()
		sim.mu.Lock()
		sim.loadHistory = append(sim.loadHistory, used)
		sim.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// total returns the work in flight at the endpoint.
func (sim *simFleet) total() int64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var total int64
	for _, used := range sim.inFlight {
		total += used
	}
	return total
}

// meanLoad returns the mean part of the budget in use during d.
func (sim *simFleet) meanLoad(d time.Duration) float64 {
	sum := int64(0)
	for range 50 {
		time.Sleep(d / 50)
		sum += sim.total()
	}
	return float64(sum) / 50 / budget
}

// home returns the first live daemon that is home of an endpoint.
func (sim *simFleet) home() *simDaemon {
	for _, d := range sim.daemons {
		d.mu.Lock()
		n := len(d.homed)
		d.mu.Unlock()
		if n > 0 && !d.dead {
			return d
		}
	}
	return sim.daemons[0]
}

// locked calls f with mu held.
func (sim *simFleet) locked(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// partition cuts the links between daemons of different groups; group returns
// the group of daemon i.
func (sim *simFleet) partition(group func(i int) int) {
	sim.locked(func() {
		for i := range sim.daemons {
			for j := range sim.daemons {
				sim.cut[[2]int{i, j}] = group(i) != group(j)
			}
		}
	})
}

// kill ends the process of a daemon and its work.
func (sim *simFleet) kill(d *simDaemon) {
	d.stop()
	sim.locked(func() {
		d.dead = true
		delete(sim.inFlight, d)
	})
}
