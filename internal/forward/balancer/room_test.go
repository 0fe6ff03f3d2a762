package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/traffic/queuer"
)

// engine is an endpoint that serves as many requests at a time as it has slots, in order.
type engine struct {
	// free is when each slot is free, the first to be at index 0.
	free []time.Duration
}

// serve returns when a request that arrives now is served.
func (e *engine) serve(now, hold time.Duration) time.Duration {
	end := max(e.free[0], now) + hold
	e.free[0] = end
	slices.Sort(e.free)
	return end
}

// sent is a request at an engine.
type sent struct {
	reservation *balancer.Reservation
	end         time.Duration
}

// TestHardLoadShares guards against daemons that all send to the same free slots, of which they
// learn up to a second late, and against slots that stay free. At each daemon more requests
// wait than can be sent, and a third of the engines comes into service empty.
func TestHardLoadShares(t *testing.T) {
	const (
		step, hold, exchange = 25 * time.Millisecond, 800 * time.Millisecond, 20 // steps
		engines, slots       = 60, 16
		warm, length         = 5 * time.Second, 15 * time.Second
		// A request waits for less than a tenth of its time at an engine on average, and less
		// than a tenth of the slots is unused.
		maxWait, minUse = hold / 10, 0.9
	)
	for _, daemons := range []int{8, 88, 440} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			c := qt.New(t)
			h := newHerd(daemons, engines, 3)
			for _, host := range h.hosts {
				host.Slots = slots
			}
			served := make([]engine, engines)
			for i := range served {
				served[i].free = make([]time.Duration, slots)
			}
			index := make(map[string]int)
			for i, host := range h.hosts {
				index[host.ID] = i
			}
			allowances, inFlight := make([]queuer.Allowance, daemons), make([][]sent, daemons)
			for i, b := range h.balancers {
				allowances[i].Start(h.now, h.random.Float64())
				b.OnRelease = func(balancer.Release) { allowances[i].Release(h.now) }
			}
			request := balancer.Request{Pool: &samphireturn.Pool{Name: "llm"}, Hosts: h.hosts[:engines*2/3]}
			send := func(i int, r *balancer.Reservation) (wait time.Duration) {
				end := served[index[r.Host.ID]].serve(h.now, hold)
				inFlight[i] = append(inFlight[i], sent{r, end})
				return end - hold - h.now
			}
			begin := h.now
			var waits time.Duration
			count := 0
			for n := 0; h.now < begin+length; n++ {
				if n%exchange == 0 {
					h.share()
				}
				if h.now >= begin+warm {
					request.Hosts = h.hosts
				}
				for i, b := range h.balancers {
					inFlight[i] = slices.DeleteFunc(inFlight[i], func(s sent) bool {
						if s.end <= h.now {
							s.reservation.Done()
						}
						return s.end <= h.now
					})
					for {
						req := request
						if !allowances[i].Allows(h.now, b.Room(&req).Spare, daemons) {
							break
						}
						r := b.PickRoomy(&req)
						if r == nil {
							break
						}
						allowances[i].Use()
						wait := send(i, r)
						if h.now >= begin+2*warm {
							waits += wait
							count++
						}
					}
				}
				h.now += step
			}
			use := float64(count) * hold.Seconds() / (length - 2*warm).Seconds() / (engines * slots)
			wait := waits / time.Duration(max(count, 1))
			t.Logf("%.3f of the slots used, mean wait at an engine %v", use, wait)
			c.Check(use >= minUse, qt.IsTrue)
			c.Check(wait <= maxWait, qt.IsTrue)
		})
	}
}

// TestHardLoadCentres guards against requests that wait although another data centre has
// capacity. One of three data centres has three times the load of the others, and in all
// there is a slot for each request.
func TestHardLoadCentres(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	hosts, b := roomFleet(30, 8, func() time.Duration { return now })
	req := &balancer.Request{Pool: &samphireturn.Pool{Name: "llm"}, Hosts: hosts}
	inFlight := make(map[string]int)
	for n := range 240 {
		c.Assert(b.HasRoom(req), qt.IsTrue, qt.Commentf("request %d", n))
		r := b.PickRoomy(req)
		c.Assert(r, qt.IsNotNil)
		inFlight[r.Host.ID]++
		c.Assert(inFlight[r.Host.ID] <= 8, qt.IsTrue)
		now += time.Millisecond
	}
	now += time.Second
	c.Check(b.HasRoom(req), qt.IsFalse)
}

// TestRoom states which endpoints have room.
func TestRoom(t *testing.T) {
	engines := &samphireturn.Pool{Name: "llm", Slots: 2, MemoryTokens: 1000, WarmUpRate: 10}
	tests := []struct {
		name    string
		prepare func(b *balancer.Balancer, h *samphireturn.Host, req *balancer.Request)
		want    bool
	}{
		{"idle", func(*balancer.Balancer, *samphireturn.Host, *balancer.Request) {}, true},
		{"one slot left", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) { b.Pick(req) }, true},
		{"full", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) { b.Pick(req); b.Pick(req) }, false},
		{"full, one ended", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) {
			b.Pick(req)
			r := b.Pick(req)
			b.HasRoom(req)
			r.Done()
		}, true},
		{"full by others", func(b *balancer.Balancer, h *samphireturn.Host, _ *balancer.Request) {
			b.Reaches(h)
			b.SetRemoteLoads(balancer.Loads{balancer.KeyOf(h.ID): {Requests: 2}})
		}, false},
		{"reported full", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) {
			r := b.Pick(req)
			r.ObserveHead(samphireturn.ResponseMeta{Running: 2, Waiting: 1, Slots: 2})
			r.Done()
		}, false},
		{"no memory", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) {
			b.Pick(req)
			req.MemoryTokens = 700
		}, false},
		{"slots not known", func(b *balancer.Balancer, h *samphireturn.Host, req *balancer.Request) {
			h.Slots = 0
			b.Pick(req)
		}, true},
		// Nothing to wait for: such requests are refused as before.
		{"unreachable", func(b *balancer.Balancer, h *samphireturn.Host, _ *balancer.Request) { b.RecordFailure(h, true) }, true},
		{"paused", func(b *balancer.Balancer, h *samphireturn.Host, _ *balancer.Request) { b.Pause(h, time.Minute) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Hour
			hosts, b := roomFleet(1, 2, func() time.Duration { return now })
			req := &balancer.Request{Pool: engines, Hosts: hosts, MemoryTokens: 100, Exclude: map[string]bool{}}
			test.prepare(b, hosts[0], req)
			now += 10 * time.Millisecond
			qt.Check(t, b.HasRoom(req), qt.Equals, test.want)
			full := hosts[0]
			hosts = append(hosts, &samphireturn.Host{ID: "other", Pool: "llm", Slots: 1})
			req.Hosts = hosts
			req.Exclude[full.ID] = true
			qt.Check(t, b.HasRoom(req), qt.IsTrue)
			b.RecordFailure(hosts[1], true)
			now += time.Second
			qt.Check(t, b.Room(req).Usable, qt.IsFalse)
		})
	}
}

// roomFleet returns endpoints of three data centres and a balancer.
func roomFleet(endpoints, slots int, clock func() time.Duration) ([]*samphireturn.Host, *balancer.Balancer) {
	hosts := make([]*samphireturn.Host, endpoints)
	for i := range hosts {
		hosts[i] = &samphireturn.Host{ID: fmt.Sprint("e", i), Pool: "llm", Centre: fmt.Sprint("c", i%3), Slots: slots}
	}
	b := balancer.New("d0", "c0", clock)
	b.Rand = rand.New(rand.NewPCG(1, 2)).Float64
	return hosts, b
}

// BenchmarkHasRoom asks for room at 12,000 endpoints, all of them full or one of them with room,
// 25 microseconds after the last time: the time of a search in between is part of it. Search
// is the time of one alone.
func BenchmarkHasRoom(b *testing.B) {
	for _, bench := range []struct {
		name string
		full int
		gap  time.Duration
	}{
		{"full", 12_000, 25 * time.Microsecond},
		{"one with room", 11_999, 25 * time.Microsecond},
		{"search", 12_000, time.Second},
	} {
		b.Run(bench.name, func(b *testing.B) {
			now := time.Hour
			hosts, loads := roomFleet(12_000, 1, func() time.Duration { return now })
			pool := &samphireturn.Pool{Name: "llm"}
			for _, h := range hosts[:bench.full] {
				loads.Pick(&balancer.Request{Pool: pool, Hosts: []*samphireturn.Host{h}})
			}
			req := &balancer.Request{Pool: pool, Hosts: hosts}
			b.ReportAllocs()
			for b.Loop() {
				now += bench.gap
				loads.HasRoom(req)
			}
		})
	}
}
