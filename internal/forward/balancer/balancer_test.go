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
)

// cluster is a set of balancers that share endpoints and a simulated clock.
type cluster struct {
	now     time.Duration
	daemons []*balancer.Balancer
	hosts   []*samphireturn.Host
	members []samphireturn.VM
}

func newCluster(daemons, hosts int, centres ...string) *cluster {
	cl := &cluster{now: time.Hour}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range daemons {
		id := fmt.Sprintf("d%d", i)
		cl.members = append(cl.members, samphireturn.VM{ID: id, Centre: centres[i%len(centres)]})
		b := balancer.New(id, centres[i%len(centres)], func() time.Duration { return cl.now })
		b.Rand = random.Float64
		cl.daemons = append(cl.daemons, b)
	}
	for i := range hosts {
		cl.hosts = append(cl.hosts, &samphireturn.Host{
			ID: fmt.Sprintf("h%d", i), Pool: "llm", Centre: centres[i%len(centres)], Slots: 64,
		})
	}
	return cl
}

// exchangeLoads gives each daemon the summed loads of the others.
func (cl *cluster) exchangeLoads() {
	for _, b := range cl.daemons {
		sum := make(balancer.Loads)
		for _, o := range cl.daemons {
			if o != b {
				sum.Add(o.LocalLoads())
			}
		}
		b.SetRemoteLoads(sum)
	}
}

var engines = &samphireturn.Pool{Name: "llm", Slots: 64, MemoryTokens: 400_000, WarmUpRate: 10}

// request returns a request of a latency class.
func (cl *cluster) request(class string, tokens int, prefixID string, prefixTokens int) *balancer.Request {
	return &balancer.Request{
		Pool: engines, Hosts: cl.hosts, MemoryTokens: tokens + 300, PromptTokens: tokens, LatencyClass: class,
		PrefixID: prefixID, PrefixTokens: prefixTokens, Objective: 4 * time.Second, Members: cl.members,
	}
}

// train gives all daemons samples of a latency class at a time per token.
func (cl *cluster) train(class string, token time.Duration) {
	for _, b := range cl.daemons {
		for range 5 {
			r := b.Pick(cl.request(class, 1000, "", 0))
			cl.now += 1000 * token
			r.ObserveHead(samphireturn.ResponseMeta{})
			r.Done()
		}
	}
}

// TestLongPrompts checks that short requests do not queue behind long prompts,
// which occupy an engine for seconds: they go to an engine without a backlog, and
// to another data centre only if all local engines process long prompts.
func TestLongPrompts(t *testing.T) {
	tests := []struct {
		name string
		// long is the number of long prompts; inNorth is whether the short request
		// stays in its data centre.
		long    int
		inNorth bool
	}{
		{"one engine busy", 1, true},
		{"half of the local engines busy", 2, true},
		{"all local engines busy", 24, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(1, 8, "north", "south")
			cl.train("large", 100*time.Microsecond)
			cl.train("small", 5*time.Microsecond)
			b := cl.daemons[0]
			northOnly := cl.request("large", 12_000, "", 0)
			northOnly.Hosts = nil
			for _, h := range cl.hosts {
				if h.Centre == "north" {
					northOnly.Hosts = append(northOnly.Hosts, h)
				}
			}
			busy := make(map[string]bool)
			for range test.long {
				busy[b.Pick(northOnly).Host.ID] = true
			}
			got := b.Pick(cl.request("small", 800, "", 0))
			c.Check(got.Host.Centre == "north", qt.Equals, test.inNorth)
			c.Check(busy[got.Host.ID], qt.IsFalse)
		})
	}
}

// TestHerding guards against eight daemons that act on the same stale loads and
// all choose the endpoint that seemed idle. The busiest endpoint gets at most 1.5
// times the mean.
func TestHerding(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		cl := newCluster(8, 12, "north")
		cl.train("small", 20*time.Microsecond)
		random := rand.New(rand.NewPCG(seed, 7))
		requestsByHost := make(map[string]int)
		for i := range 480 {
			if i%12 == 0 {
				cl.exchangeLoads()
			}
			cl.now += 25 * time.Millisecond
			b := cl.daemons[random.IntN(len(cl.daemons))]
			got := b.Pick(cl.request("small", 1000+random.IntN(2000), "", 0))
			requestsByHost[got.Host.ID]++
		}
		most := 0
		for _, n := range requestsByHost {
			most = max(most, n)
		}
		c.Check(most <= 480/12*3/2, qt.IsTrue, qt.Commentf("seed %d: %d of 480 at one of 12", seed, most))
	}
}

// TestPrefixAffinity checks that requests which share a long prompt prefix go to
// one engine, whichever daemon forwards them.
func TestPrefixAffinity(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 4, "north")
	cl.train("large", 20*time.Microsecond)
	sameHost := 0
	for i := range 40 {
		prefixID := fmt.Sprintf("s%d", i)
		var first string
		for _, b := range cl.daemons {
			t := b.Pick(cl.request("large", 6000, prefixID, 5400))
			if first == "" {
				first = t.Host.ID
			}
			if t.Host.ID == first {
				sameHost++
			}
			t.ObserveHead(samphireturn.ResponseMeta{})
			t.Done()
		}
	}
	c.Check(sameHost >= 100, qt.IsTrue, qt.Commentf("%d of 120 at the same endpoint", sameHost))
}

// TestPrefixHitsInLargeFleet checks a large fleet, in which each daemon sees few of
// the requests with a prefix: most of them still reach an engine that has the prefix
// cached, and no engine gets far more than its share of requests.
func TestPrefixHitsInLargeFleet(t *testing.T) {
	const (
		prefixes, daemons, hosts = 96, 60, 60
		rate                     = 56
		// cacheTTL is how long an engine caches a prefix, runTime how long a request
		// runs.
		cacheTTL, runTime = 20 * time.Second, 1500 * time.Millisecond
		// minHitShare is the share of requests that must hit the cache.
		minHitShare = 0.8
	)
	c := qt.New(t)
	cl := newCluster(daemons, hosts, "north", "south", "west")
	cl.train("large", 20*time.Microsecond)
	random := rand.New(rand.NewPCG(7, 8))
	lastSent := make(map[string]time.Duration)
	requestsByHost := make(map[string]int)
	type run struct {
		reservation *balancer.Reservation
		end         time.Duration
	}
	var running []run
	start := cl.now
	hits, requests := 0, 0
	for i := 0; cl.now < start+60*time.Second; i++ {
		cl.now += time.Second / rate
		if i%17 == 0 {
			cl.exchangeLoads()
		}
		running = slices.DeleteFunc(running, func(r run) bool {
			if cl.now < r.end {
				return false
			}
			r.reservation.Done()
			return true
		})
		prefixID := fmt.Sprint("s", random.IntN(prefixes))
		reservation := cl.daemons[random.IntN(daemons)].Pick(cl.request("large", 6600, prefixID, 5400))
		key := reservation.Host.ID + prefixID
		if cl.now > start+20*time.Second {
			requests++
			requestsByHost[reservation.Host.ID]++
			if last, ok := lastSent[key]; ok && cl.now-last < cacheTTL {
				hits++
			}
		}
		lastSent[key] = cl.now
		running = append(running, run{reservation, cl.now + runTime})
	}
	most := 0
	for _, n := range requestsByHost {
		most = max(most, n)
	}
	c.Check(float64(hits) >= minHitShare*float64(requests), qt.IsTrue, qt.Commentf("%d cache hits of %d requests", hits, requests))
	c.Check(most*hosts <= 4*requests, qt.IsTrue, qt.Commentf("the busiest endpoint had %d of %d", most, requests))
}

// TestWarmUpRate checks that a burst does not overload an endpoint that is warming
// up. All daemons together, including new ones that the others do not know yet and
// partitioned ones with a stale member list, send no more in any second than the
// endpoint can take.
func TestWarmUpRate(t *testing.T) {
	const rate, tolerance, slack = 10, 1.5, 5
	tests := []struct{ known, unknown, stale int }{{1, 0, 0}, {8, 4, 0}, {8, 0, 3}, {65, 6, 6}, {300, 10, 20}}
	for _, test := range tests {
		for host := range 5 {
			c := qt.New(t)
			cl := newCluster(test.known+test.unknown, 1, "north")
			cl.hosts[0].ID = fmt.Sprintf("cold%d", host)
			cl.hosts[0].WarmUpLeft = 3 * time.Second
			start := cl.now
			var sent []time.Duration
			for cl.now < start+2500*time.Millisecond {
				for i, b := range cl.daemons {
					req := cl.request("small", 100, "", 0)
					req.Members = cl.members[:test.known]
					if i >= test.known {
						req.Members = append(req.Members[:test.known:test.known], cl.members[i])
					}
					if i < test.stale {
						// Its member list lacks the half that was replaced.
						req.Members = append(cl.members[:test.known/2:test.known/2], samphireturn.VM{ID: "gone"})
					}
					if b.Pick(req) != nil {
						sent = append(sent, cl.now)
					}
				}
				cl.now += 50 * time.Millisecond
			}
			c.Check(len(sent) > 0, qt.IsTrue)
			for i := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at-sent[i] < time.Second {
						n++
					}
				}
				c.Check(n <= rate*tolerance+slack, qt.IsTrue, qt.Commentf("%v: %d in a second", test, n))
			}
		}
	}
}

// TestMemory checks that long prompts do not exceed the memory of an engine while
// another one has memory left.
func TestMemory(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(1, 4, "north")
	cl.train("large", 10*time.Microsecond)
	used := make(map[string]int)
	for range 4 * 20 {
		req := cl.request("large", 18_000, "", 0)
		t := cl.daemons[0].Pick(req)
		t.ObserveHead(samphireturn.ResponseMeta{})
		used[t.Host.ID] += req.MemoryTokens
	}
	for id, n := range used {
		c.Check(n <= engines.MemoryTokens, qt.IsTrue, qt.Commentf("%s: %d tokens", id, n))
	}
}

// TestUnreachable checks that an unreachable endpoint is not chosen until it is
// marked reachable.
func TestUnreachable(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(1, 2, "north")
	b := cl.daemons[0]
	pools := map[string][]*samphireturn.Host{"llm": cl.hosts}
	b.RecordFailure(cl.hosts[0], true)
	cl.now += time.Minute
	for range 10 {
		c.Check(b.Pick(cl.request("small", 100, "", 0)).Host, qt.Equals, cl.hosts[1])
	}
	c.Check(b.Unreachable(pools), qt.DeepEquals, []*samphireturn.Host{cl.hosts[0]})
	b.MarkReachable(cl.hosts[0])
	c.Check(b.Pick(cl.request("small", 100, "", 0)).Host, qt.Equals, cl.hosts[0])
}

// TestReservation checks that a request is released once, however often Done and
// ObserveHead are called.
func TestReservation(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(1, 1, "north")
	cl.train("large", 100*time.Microsecond)
	b := cl.daemons[0]
	reservation := b.Pick(cl.request("large", 1000, "", 0))
	c.Check(b.LocalLoads()[balancer.KeyOf("h0")].Requests, qt.Equals, 1)
	c.Check(b.LocalLoads()[balancer.KeyOf("h0")].Backlog > 0, qt.IsTrue)
	reservation.ObserveHead(samphireturn.ResponseMeta{})
	c.Check(b.LocalLoads()[balancer.KeyOf("h0")].Backlog, qt.Equals, int64(0))
	reservation.Done()
	reservation.Done()
	reservation.ObserveHead(samphireturn.ResponseMeta{})
	c.Check(b.LocalLoads(), qt.HasLen, 0)
}
