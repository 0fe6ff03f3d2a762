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

// pressure is a fleet of daemons at which requests wait for engines, as the forwarder lets them.
type pressure struct {
	*herd
	request    balancer.Request
	allowances []queuer.Allowance
	// waiting holds when the requests of each daemon came, and inFlight those that were sent.
	waiting  [][]time.Duration
	inFlight [][]prompt
	// slots holds when each slot of an engine is free, the first one first.
	slots map[string][]time.Duration
	// queued and delayed are the waits at the daemons and at the engines, by data centre.
	queued, delayed [3]time.Duration
	count           [3]int
}

const pressureHold = 800 * time.Millisecond

// send reserves an engine for the next request of a daemon, and reports whether it did.
func (p *pressure) send(i int) bool {
	b, req := p.balancers[i], p.request
	room := b.Room(&req)
	first := p.waiting[i][0]
	var r *balancer.Reservation
	atOnce := first == p.now
	switch {
	case atOnce && !room.Scarce:
		r = b.Pick(&req)
	case atOnce && room.Free > 0 && room.Spare >= float64(len(p.balancers)):
		r = b.PickRoomy(&req)
	case p.allowances[i].Allows(p.now, room.Spare, len(p.balancers)):
		r = b.PickRoomy(&req)
	}
	if r == nil {
		return false
	}
	if atOnce && !room.Scarce {
		b.TakePlace(&req)
	}
	p.allowances[i].Use(p.now)
	slots := p.slots[r.Host.ID]
	start := max(slots[0], p.now)
	slots[0] = start + pressureHold
	slices.Sort(slots)
	p.inFlight[i] = append(p.inFlight[i], prompt{start + pressureHold, r})
	p.waiting[i] = p.waiting[i][1:]
	p.queued[i%3] += p.now - first
	p.delayed[i%3] += start - p.now
	p.count[i%3]++
	return true
}

// TestHardLoadShares guards against daemons that all send to the same free slots, of which they
// learn up to a second late, against slots that stay free, and against requests that wait
// although another data centre has capacity.
func TestHardLoadShares(t *testing.T) {
	const (
		step, exchange  = 25 * time.Millisecond, 20
		engines, slots  = 60, 16
		settled, length = 10 * time.Second, 15 * time.Second
		// The mean wait is below a tenth of the time that an engine takes, and a tenth of the
		// slots may be unused if more is offered.
		maxWait, minUse = pressureHold / 10, 0.9
	)
	tests := []struct {
		name    string
		daemons int
		// load is the load of each data centre as a share of the capacity of all.
		load [3]float64
		// gone is the number of engines that come into service after 5 s.
		gone int
	}{
		{"8 daemons, a third of the engines comes back", 8, [3]float64{.4, .4, .4}, engines / 3},
		{"88 daemons, a third of the engines comes back", 88, [3]float64{.4, .4, .4}, engines / 3},
		{"440 daemons, a third of the engines comes back", 440, [3]float64{.4, .4, .4}, engines / 3},
		{"88 daemons, three times the load in one data centre", 88, [3]float64{.51, .17, .17}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := &pressure{
				herd: newHerd(test.daemons, engines, 3), allowances: make([]queuer.Allowance, test.daemons),
				waiting: make([][]time.Duration, test.daemons), inFlight: make([][]prompt, test.daemons), slots: make(map[string][]time.Duration),
			}
			for _, h := range p.hosts {
				h.Slots = slots
				p.slots[h.ID] = make([]time.Duration, slots)
			}
			for i, b := range p.balancers {
				p.allowances[i].Start(p.now, p.random.Float64())
				b.OnRelease = func(balancer.Release) { p.allowances[i].Release(p.now) }
			}
			p.request = balancer.Request{Pool: &samphireturn.Pool{Name: "llm"}, Hosts: p.hosts[test.gone:]}
			begin := p.now
			for n := 0; p.now < begin+length; n++ {
				if n%exchange == 0 {
					p.share()
				}
				if p.now == begin+length/3 {
					p.request.Hosts = p.hosts
				}
				if p.now == begin+settled {
					p.queued, p.delayed, p.count = [3]time.Duration{}, [3]time.Duration{}, [3]int{}
				}
				for i := range p.balancers {
					p.inFlight[i] = slices.DeleteFunc(p.inFlight[i], func(s prompt) bool {
						if s.end <= p.now {
							s.reservation.Done()
						}
						return s.end <= p.now
					})
					perStep := test.load[i%3] * engines * slots * float64(step) / float64(pressureHold) * 3 / float64(test.daemons)
					for perStep += p.random.Float64(); perStep >= 1; perStep-- {
						p.waiting[i] = append(p.waiting[i], p.now)
					}
					for len(p.waiting[i]) > 0 && p.send(i) {
					}
				}
				p.now += step
			}
			offered, use, share := 0.0, 0.0, pressureHold.Seconds()/(length-settled).Seconds()/(engines*slots)
			for k, load := range test.load {
				offered += load
				use += float64(p.count[k]) * share
				n := time.Duration(max(p.count[k], 1))
				t.Logf("data centre %d: %d requests, mean wait %v at daemons, %v at engines", k, n, p.queued[k]/n, p.delayed[k]/n)
				c.Check(p.delayed[k]/n <= maxWait, qt.IsTrue)
				c.Check(p.queued[k]/n <= maxWait || test.gone > 0, qt.IsTrue)
			}
			t.Logf("%.3f of the slots used", use)
			c.Check(use >= minUse*min(offered, 1), qt.IsTrue)
		})
	}
}

// hasRoom reports whether a request need not wait for capacity: any of its endpoints has some, or
// none may be used at all.
func hasRoom(b *balancer.Balancer, req *balancer.Request) bool {
	r := b.Room(req)
	return !r.Usable || r.Free > 0
}

// TestRoom states which endpoints have room.
func TestRoom(t *testing.T) {
	fill := func(b *balancer.Balancer, req *balancer.Request) *balancer.Reservation {
		b.Pick(req)
		return b.Pick(req)
	}
	tests := []struct {
		name    string
		prepare func(b *balancer.Balancer, h *samphireturn.Host, req *balancer.Request)
		want    bool
	}{
		{"one slot left", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) { b.Pick(req) }, true},
		{"full", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) { fill(b, req) }, false},
		{"full, one ended", func(b *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) { fill(b, req).Done() }, true},
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
		{"larger than any memory", func(_ *balancer.Balancer, _ *samphireturn.Host, req *balancer.Request) { req.MemoryTokens = 800 }, true},
		{"slots not known", func(b *balancer.Balancer, h *samphireturn.Host, req *balancer.Request) { h.Slots = 0; fill(b, req) }, true},
		// Nothing to wait for: such requests are refused as before.
		{"unreachable", func(b *balancer.Balancer, h *samphireturn.Host, _ *balancer.Request) { b.RecordFailure(h, true) }, true},
		{"paused", func(b *balancer.Balancer, h *samphireturn.Host, _ *balancer.Request) { b.Pause(h, time.Minute) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts, b := roomFleet(1, 2, func() time.Duration { return time.Hour })
			req := &balancer.Request{Pool: &samphireturn.Pool{Name: "llm", MemoryTokens: 1000}, Hosts: hosts, MemoryTokens: 100}
			test.prepare(b, hosts[0], req)
			qt.Check(t, hasRoom(b, req), qt.Equals, test.want)
		})
	}
}

// TestRoomMixed guards against endpoints of unknown slots that count as full, and against requests
// that wait because another one, larger than they are, found no memory a moment before.
func TestRoomMixed(t *testing.T) {
	now := time.Hour
	hosts, b := roomFleet(40, 2, func() time.Duration { return now })
	pool := &samphireturn.Pool{Name: "llm", MemoryTokens: 1000}
	small := &balancer.Request{Pool: pool, Hosts: hosts, MemoryTokens: 100}
	large := &balancer.Request{Pool: pool, Hosts: hosts, MemoryTokens: 700}
	for _, h := range hosts {
		b.Pick(&balancer.Request{Pool: pool, Hosts: []*samphireturn.Host{h}, MemoryTokens: 100})
	}
	for range 3 {
		now += time.Millisecond
		qt.Check(t, b.Room(large).Free, qt.Equals, 0)
		qt.Check(t, b.Room(small).Free > 0, qt.IsTrue)
	}
	hosts[0].Slots = 0
	now += time.Second
	r := b.Room(small)
	qt.Check(t, r.Unknown, qt.IsTrue)
	qt.Check(t, r.Free > 0, qt.IsTrue)
	qt.Check(t, r.Slots <= 78, qt.IsTrue)
}

// TestRoomSuspect guards against waiting requests that follow an own one at an endpoint in whose
// place another instance has answered since.
func TestRoomSuspect(t *testing.T) {
	now := time.Hour
	hosts, b := roomFleet(3, 8, func() time.Duration { return now })
	pool := &samphireturn.Pool{Name: "llm"}
	b.OnRelease = func(balancer.Release) {}
	all := func() *balancer.Request { return &balancer.Request{Pool: pool, Hosts: hosts} }
	b.Room(all())
	for _, misdirected := range []bool{false, true} {
		r := b.Pick(&balancer.Request{Pool: pool, Hosts: hosts[:1]})
		now += time.Millisecond
		r.ObserveHead(samphireturn.ResponseMeta{NotExecuted: misdirected, Misdirected: misdirected})
		r.Done()
	}
	picked := b.PickRoomy(all())
	qt.Assert(t, picked, qt.IsNotNil)
	qt.Check(t, picked.Host.ID, qt.Not(qt.Equals), hosts[0].ID)
}

// TestHardLoadRejections guards against endpoints that attract waiting requests by rejecting
// others: only the end of a request that may have run leaves a place.
func TestHardLoadRejections(t *testing.T) {
	tests := []struct {
		name string
		end  func(r *balancer.Reservation)
		want int
	}{
		{"ran", func(r *balancer.Reservation) { r.ObserveHead(samphireturn.ResponseMeta{}) }, 1},
		{"may have run", func(*balancer.Reservation) {}, 1},
		{"rejected", func(r *balancer.Reservation) { r.ObserveHead(samphireturn.ResponseMeta{NotExecuted: true}) }, 0},
		{"not received", (*balancer.Reservation).NotReceived, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts, b := roomFleet(1, 2, func() time.Duration { return time.Hour })
			releases := 0
			b.OnRelease = func(balancer.Release) { releases++ }
			r := b.Pick(&balancer.Request{Pool: &samphireturn.Pool{Name: "llm"}, Hosts: hosts})
			test.end(r)
			r.Done()
			qt.Check(t, releases, qt.Equals, test.want)
		})
	}
}

// TestHardLoadSuddenScarcity guards against places that are used twice: first by a request that
// was sent at once while enough was free, then by one that waits.
func TestHardLoadSuddenScarcity(t *testing.T) {
	now := time.Hour
	hosts, b := roomFleet(1, 2, func() time.Duration { return now })
	b.OnRelease = func(balancer.Release) {}
	req := &balancer.Request{Pool: &samphireturn.Pool{Name: "llm"}, Hosts: hosts}
	b.Room(req)
	b.Pick(req).Done()
	b.TakePlace(req)
	b.Pick(req)
	b.Pick(req)
	b.SetRemoteLoads(balancer.Loads{balancer.KeyOf(hosts[0].ID): {Requests: 1}})
	qt.Check(t, b.PickRoomy(req), qt.IsNil)
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

// BenchmarkRoom asks for room at 12,000 endpoints, all of them full or one of them with room,
// 25 microseconds after the last time: the time of a search in between is part of it. Search
// is the time of one alone.
func BenchmarkRoom(b *testing.B) {
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
				hasRoom(loads, req)
			}
		})
	}
}
