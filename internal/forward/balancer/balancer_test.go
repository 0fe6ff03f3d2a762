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

// fleet is some daemons before the same endpoints, on a clock of its own.
type fleet struct {
	now     time.Duration
	daemons []*balancer.Balancer
	hosts   []*samphireturn.Host
	members []samphireturn.VM
}

func newFleet(daemons, hosts int, centres ...string) *fleet {
	f := &fleet{now: time.Hour}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range daemons {
		id := fmt.Sprintf("d%d", i)
		f.members = append(f.members, samphireturn.VM{ID: id, Centre: centres[i%len(centres)]})
		b := balancer.New(id, centres[i%len(centres)], func() time.Duration { return f.now })
		b.Rand = random.Float64
		f.daemons = append(f.daemons, b)
	}
	for i := range hosts {
		f.hosts = append(f.hosts, &samphireturn.Host{
			ID: fmt.Sprintf("h%d", i), Pool: "llm", Centre: centres[i%len(centres)], Slots: 64,
		})
	}
	return f
}

// share tells each daemon of the others' work.
func (f *fleet) share() {
	for _, b := range f.daemons {
		sum := make(map[string]balancer.Load)
		for _, o := range f.daemons {
			if o == b {
				continue
			}
			for id, l := range o.LocalLoads() {
				s := sum[id]
				s.Requests += l.Requests
				s.Tokens += l.Tokens
				s.Backlog += l.Backlog
				sum[id] = s
			}
		}
		b.SetRemoteLoads(sum)
	}
}

var engines = &samphireturn.Pool{Name: "llm", Slots: 64, MemoryTokens: 400_000, WarmUpRate: 10}

// prompt is a request of a kind.
func (f *fleet) prompt(kind string, tokens int, subject string, shared int) *balancer.Want {
	return &balancer.Want{
		Pool: engines, Hosts: f.hosts, Tokens: tokens + 300, Prompt: tokens, Kind: kind,
		Subject: subject, Shared: shared, Objective: 4 * time.Second, Members: f.members,
	}
}

// teach lets all daemons learn that a kind takes so long for each token.
func (f *fleet) teach(kind string, token time.Duration) {
	for _, b := range f.daemons {
		for range 5 {
			t := b.Pick(f.prompt(kind, 1000, "", 0))
			f.now += 1000 * token
			t.Begin(samphireturn.ResponseMeta{})
			t.Done()
		}
	}
}

// TestLongPrompts answers the pattern in which prompts of the largest model are
// read for seconds at a few engines: short requests go where nothing waits, and to
// another data centre only if all own engines have long prompts.
func TestLongPrompts(t *testing.T) {
	tests := []struct {
		name string
		// long is the number of long prompts; own says whether the short request
		// stays in its data centre.
		long int
		own  bool
	}{
		{"one engine busy", 1, true},
		{"half of the own engines busy", 2, true},
		{"all own engines busy", 24, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(1, 8, "north", "south")
			f.teach("large", 100*time.Microsecond)
			f.teach("small", 5*time.Microsecond)
			b := f.daemons[0]
			near := f.prompt("large", 12_000, "", 0)
			near.Hosts = nil
			for _, h := range f.hosts {
				if h.Centre == "north" {
					near.Hosts = append(near.Hosts, h)
				}
			}
			busy := make(map[string]bool)
			for range test.long {
				busy[b.Pick(near).Host.ID] = true
			}
			got := b.Pick(f.prompt("small", 800, "", 0))
			c.Check(got.Host.Centre == "north", qt.Equals, test.own)
			c.Check(busy[got.Host.ID], qt.IsFalse)
		})
	}
}

// TestHerd answers the pattern in which eight daemons read the same stale reports
// and all send to the endpoint that seemed free: the busiest has no more than half
// again the mean.
func TestHerd(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		f := newFleet(8, 12, "north")
		f.teach("small", 20*time.Microsecond)
		random := rand.New(rand.NewPCG(seed, 7))
		work := make(map[string]int)
		for i := range 480 {
			if i%12 == 0 {
				f.share()
			}
			f.now += 25 * time.Millisecond
			b := f.daemons[random.IntN(len(f.daemons))]
			got := b.Pick(f.prompt("small", 1000+random.IntN(2000), "", 0))
			work[got.Host.ID]++
		}
		most := 0
		for _, n := range work {
			most = max(most, n)
		}
		c.Check(most <= 480/12*3/2, qt.IsTrue, qt.Commentf("seed %d: %d of 480 at one of 12", seed, most))
	}
}

// TestSubjects answers the pattern of many requests that share long prompts: those
// about one subject meet at one engine, whichever daemon has them.
func TestSubjects(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 4, "north")
	f.teach("large", 20*time.Microsecond)
	same := 0
	for i := range 40 {
		subject := fmt.Sprintf("s%d", i)
		var first string
		for _, b := range f.daemons {
			t := b.Pick(f.prompt("large", 6000, subject, 5400))
			if first == "" {
				first = t.Host.ID
			}
			if t.Host.ID == first {
				same++
			}
			t.Begin(samphireturn.ResponseMeta{})
			t.Done()
		}
	}
	c.Check(same >= 100, qt.IsTrue, qt.Commentf("%d of 120 met", same))
}

// TestSharedPrompts answers the pattern of a large fleet, in which a daemon sees few
// of the requests about a subject: the engines that read the shared part before are
// found nevertheless, and none gets far more than its part.
func TestSharedPrompts(t *testing.T) {
	const (
		subjects, daemons, hosts = 96, 60, 60
		rate                     = 56
		// cached is how long an engine keeps what it read, runs how long a request runs.
		cached, runs = 20 * time.Second, 1500 * time.Millisecond
		// found is the part of the requests that have to find the shared part read.
		found = 0.8
	)
	c := qt.New(t)
	f := newFleet(daemons, hosts, "north", "south", "west")
	f.teach("large", 20*time.Microsecond)
	random := rand.New(rand.NewPCG(7, 8))
	read := make(map[string]time.Duration)
	got := make(map[string]int)
	type run struct {
		ticket *balancer.Ticket
		end    time.Duration
	}
	var running []run
	start := f.now
	hits, asked := 0, 0
	for i := 0; f.now < start+60*time.Second; i++ {
		f.now += time.Second / rate
		if i%17 == 0 {
			f.share()
		}
		running = slices.DeleteFunc(running, func(r run) bool {
			if f.now < r.end {
				return false
			}
			r.ticket.Done()
			return true
		})
		subject := fmt.Sprint("s", random.IntN(subjects))
		ticket := f.daemons[random.IntN(daemons)].Pick(f.prompt("large", 6600, subject, 5400))
		key := ticket.Host.ID + subject
		if f.now > start+20*time.Second {
			asked++
			got[ticket.Host.ID]++
			if last, ok := read[key]; ok && f.now-last < cached {
				hits++
			}
		}
		read[key] = f.now
		running = append(running, run{ticket, f.now + runs})
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	c.Check(float64(hits) >= found*float64(asked), qt.IsTrue, qt.Commentf("%d of %d found the shared part", hits, asked))
	c.Check(most*hosts <= 4*asked, qt.IsTrue, qt.Commentf("the busiest endpoint had %d of %d", most, asked))
}

// TestCold answers the return of cold endpoints under a burst: all daemons
// together, among them some that nobody knows yet and some that are cut off and
// know old members, send no more in any second than an endpoint bears.
func TestCold(t *testing.T) {
	const rate, over, slack = 10, 1.5, 5
	tests := []struct{ known, unknown, stale int }{{1, 0, 0}, {8, 4, 0}, {8, 0, 3}, {65, 6, 6}, {300, 10, 20}}
	for _, test := range tests {
		for host := range 5 {
			c := qt.New(t)
			f := newFleet(test.known+test.unknown, 1, "north")
			f.hosts[0].ID = fmt.Sprintf("cold%d", host)
			f.hosts[0].WarmUpLeft = 3 * time.Second
			start := f.now
			var sent []time.Duration
			for f.now < start+2500*time.Millisecond {
				for i, b := range f.daemons {
					w := f.prompt("small", 100, "", 0)
					w.Members = f.members[:test.known]
					if i >= test.known {
						w.Members = append(w.Members[:test.known:test.known], f.members[i])
					}
					if i < test.stale {
						// It has not heard of the half that was replaced.
						w.Members = append(f.members[:test.known/2:test.known/2], samphireturn.VM{ID: "gone"})
					}
					if b.Pick(w) != nil {
						sent = append(sent, f.now)
					}
				}
				f.now += 50 * time.Millisecond
			}
			c.Check(len(sent) > 0, qt.IsTrue)
			for i := range sent {
				n := 0
				for _, at := range sent[i:] {
					if at-sent[i] < time.Second {
						n++
					}
				}
				c.Check(n <= rate*over+slack, qt.IsTrue, qt.Commentf("%v: %d in a second", test, n))
			}
		}
	}
}

// TestMemory answers long prompts that fill the memory of engines: no engine is
// given more than it holds while another has room.
func TestMemory(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 4, "north")
	f.teach("large", 10*time.Microsecond)
	used := make(map[string]int)
	for range 4 * 20 {
		w := f.prompt("large", 18_000, "", 0)
		t := f.daemons[0].Pick(w)
		t.Begin(samphireturn.ResponseMeta{})
		used[t.Host.ID] += w.Tokens
	}
	for id, n := range used {
		c.Check(n <= engines.MemoryTokens, qt.IsTrue, qt.Commentf("%s: %d tokens", id, n))
	}
}

// TestShunned leaves an endpoint that can't be reached out until it was probed.
func TestShunned(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 2, "north")
	b := f.daemons[0]
	pools := map[string][]*samphireturn.Host{"llm": f.hosts}
	b.Fault(f.hosts[0], true)
	f.now += time.Minute
	for range 10 {
		c.Check(b.Pick(f.prompt("small", 100, "", 0)).Host, qt.Equals, f.hosts[1])
	}
	c.Check(b.Shunned(pools), qt.DeepEquals, []*samphireturn.Host{f.hosts[0]})
	b.Reached(f.hosts[0])
	c.Check(b.Pick(f.prompt("small", 100, "", 0)).Host, qt.Equals, f.hosts[0])
}

// TestTicket gives a request back once, however often it is told.
func TestTicket(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 1, "north")
	f.teach("large", 100*time.Microsecond)
	b := f.daemons[0]
	ticket := b.Pick(f.prompt("large", 1000, "", 0))
	c.Check(b.LocalLoads()["h0"].Requests, qt.Equals, 1)
	c.Check(b.LocalLoads()["h0"].Backlog > 0, qt.IsTrue)
	ticket.Begin(samphireturn.ResponseMeta{})
	c.Check(b.LocalLoads()["h0"].Backlog, qt.Equals, int64(0))
	ticket.Done()
	ticket.Done()
	ticket.Begin(samphireturn.ResponseMeta{})
	c.Check(b.LocalLoads(), qt.HasLen, 0)
}
