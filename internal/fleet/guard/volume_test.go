package guard

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

const (
	// allowance is what a daemon may send for all control, in bytes a second.
	allowance = 5000
	// relayCount is the number of daemons that link a data centre with others.
	relayCount = 2
)

// volume returns the bytes of messages that an ordinary daemon and a relay push
// in a second in which every daemon ran calls of both versions that are served.
// Links go to all daemons of a data centre and between the relays.
func volume(c *qt.C, centres, daemons int) (ordinary, relay int) {
	var members []samphireturn.VM
	for i := range centres * daemons {
		members = append(members, samphireturn.VM{ID: fmt.Sprintf("entry-%03d", i), Centre: fmt.Sprint("centre", i/daemons)})
	}
	for _, self := range []int{0, daemons - 1} {
		control := &control{}
		control.current.Store(&samphireturn.Snapshot{Self: members[self], Members: members, Config: config(samphireturn.VersionLive, 1)})
		g := New(control, &node{&fabric{handlers: map[string]samphireturn.Handler{}}, members[self].ID}, nil, samphireturn.InstanceName(members[self].ID, "1234567890abcdef"))
		instances := known(members, self)
		totals := []Totals{{Version: samphireturn.VersionRef{Model: "small", Version: "v1"}, Instances: instances}, {Version: samphireturn.VersionRef{Model: "large", Version: "v1"}, Instances: instances}}
		if self > 0 { // an ordinary daemon learns all and has links within its data centre
			ordinary = pushed(c, g, totals, members, func(i int) bool { return i < daemons })
			continue
		}
		relay = pushed(c, g, totals, members, func(i int) bool { return i < daemons || i%daemons < relayCount })
	}
	return ordinary, relay
}

// known returns the counts that a daemon holds: those of each instance of its data
// centre and the sums of the others.
func known(members []samphireturn.VM, self int) map[string]Total {
	instances := make(map[string]Total)
	for _, m := range members {
		one := Total{Calls: 100000, Failures: 100}
		if m.Centre == members[self].Centre {
			instances[samphireturn.InstanceName(m.ID, "1234567890abcdef")] = one
			continue
		}
		one.Daemons = 1
		instances[sumOf(m.Centre)] = instances[sumOf(m.Centre)].plus(one)
	}
	return instances
}

// pushed returns the bytes that a guard pushes to the linked members.
func pushed(c *qt.C, g *Guard, totals []Totals, members []samphireturn.VM, linked func(int) bool) int {
	var peers []string
	for i, m := range members {
		if linked(i) {
			peers = append(peers, m.ID)
		}
	}
	sum := 0
	for i, m := range members {
		if m.ID == g.Control.Snapshot().Self.ID || !linked(i) {
			continue
		}
		news, _ := g.news(m.ID, totals, peers)
		data, err := encoder.Marshal(news)
		c.Assert(err, qt.IsNil)
		sum += len(data)
	}
	return sum
}

// TestMessageVolume checks the messages of a busy second against the allowance.
func TestMessageVolume(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct{ centres, daemons int }{{3, 1}, {1, 8}, {3, 3}, {1, 23}} {
		ordinary, relay := volume(c, tt.centres, tt.daemons)
		t.Logf("%d data centres of %d: ordinary %d, relay %d bytes a second", tt.centres, tt.daemons, ordinary, relay)
		c.Check(max(ordinary, relay) <= allowance, qt.IsTrue)
	}
	ordinary, _ := volume(c, 19, 23)
	c.Check(ordinary <= allowance, qt.IsTrue, qt.Commentf("ordinary daemon of a large fleet: %d", ordinary))
}

// TestMessageVolumeOfRelays checks the relays of a large fleet.
func TestMessageVolumeOfRelays(t *testing.T) {
	ordinary, relay := volume(qt.New(t), 19, 23)
	t.Logf("ordinary %d, relay %d bytes a second", ordinary, relay)
	qt.Check(t, relay <= allowance, qt.IsTrue, qt.Commentf("%d bytes a second", relay))
}

// TestCountsCross checks what a daemon tells whom: its own counts to those of its
// data centre, the sum of its data centre to one daemon of each other, and the sum of
// all others to its own, if it is a relay.
func TestCountsCross(t *testing.T) {
	members := []samphireturn.VM{
		{ID: "a1", Centre: "a"}, {ID: "a2", Centre: "a"}, {ID: "b1", Centre: "b"}, {ID: "b2", Centre: "b"}, {ID: "c1", Centre: "c"},
	}
	instances := map[string]Total{
		"a1.1": {Calls: 1}, "a2.1": {Calls: 2, Failures: 1},
		"@b": {Calls: 40, Failures: 4, Daemons: 2}, "@c": {Calls: 500, Daemons: 1}, "@": {Calls: 9000, Daemons: 1},
	}
	tests := []struct {
		to    string
		links []string
		want  map[string]Total
	}{
		{"a2", []string{"a2"}, map[string]Total{"1": {Calls: 1}}},
		{"a2", []string{"a2", "b1"}, map[string]Total{"1": {Calls: 1}, "@": {Calls: 540, Failures: 4, Daemons: 3}}},
		{"b1", []string{"a2", "b1", "b2"}, map[string]Total{"@a": {Calls: 13, Failures: 1, Daemons: 2}}},
		{"b2", []string{"a2", "b1", "b2"}, nil},
		{"b2", []string{"a2", "b2"}, map[string]Total{"@a": {Calls: 13, Failures: 1, Daemons: 2}}},
	}
	for _, tt := range tests {
		control := &control{}
		control.current.Store(&samphireturn.Snapshot{Self: members[0], Members: members})
		g := New(control, &node{&fabric{handlers: map[string]samphireturn.Handler{}}, "a1"}, nil, samphireturn.InstanceName("a1", "1"))
		m, _ := g.news(tt.to, []Totals{{Version: v1, Instances: instances, Gone: Total{Calls: 10}}}, tt.links)
		var got map[string]Total
		if len(m.Totals) > 0 {
			got = m.Totals[0].Instances
		}
		qt.Check(t, got, qt.DeepEquals, tt.want, qt.Commentf("to %s with links %v", tt.to, tt.links))
	}
}

// TestSums has three data centres tell each other of their calls in any order, again
// and again, through two relays each: each daemon counts each call once, also after
// daemons have gone and relays have changed.
func TestSums(t *testing.T) {
	for seed := range uint64(50) {
		c := qt.New(t)
		r := rand.New(rand.NewPCG(seed, 9))
		var members []samphireturn.VM
		for i := range 9 {
			members = append(members, samphireturn.VM{ID: fmt.Sprint("d", i), Centre: string(rune('a' + i/3))})
		}
		var guards []*Guard
		for _, m := range members {
			control := &control{}
			control.current.Store(&samphireturn.Snapshot{Self: m, Members: members})
			g := New(control, &node{&fabric{handlers: map[string]samphireturn.Handler{}}, m.ID}, nil, samphireturn.InstanceName(m.ID, "1"))
			g.Counter.Guard = samphireturn.Guard{GoodRate: 0.4, BadRate: 0.9, FalseAlarmRate: 1e-9}
			guards = append(guards, g)
		}
		calls := 0
		tell := func(from, to int, relayed bool) {
			var links []string
			for i, m := range members {
				if i != from && (m.Centre == members[from].Centre || relayed) {
					links = append(links, m.ID)
				}
			}
			m, _ := guards[from].news(members[to].ID, guards[from].Counter.Totals(), links)
			body, err := encoder.Marshal(m)
			c.Assert(err, qt.IsNil)
			_, err = guards[to].receive(t.Context(), members[from].ID, body)
			c.Assert(err, qt.IsNil)
		}
		for range 400 {
			at := r.IntN(len(guards))
			guards[at].Counter.RecordCall(v1, r.IntN(4) == 0)
			calls++
			tell(r.IntN(9), r.IntN(9), r.IntN(2) == 0)
			if r.IntN(40) == 0 {
				gone := samphireturn.InstanceName(members[r.IntN(9)].ID, "1")
				guards[at].Counter.Fold(func(name string) bool { return name != gone || name == guards[at].Counter.Instance })
			}
		}
		for range 3 {
			for from := range guards {
				for to := range guards {
					if from != to {
						tell(from, to, true)
					}
				}
			}
		}
		for i, g := range guards {
			s := g.Counter.versions[v1]
			n := s.foreign().Calls
			for name, one := range s.instances {
				if !isSum(name) {
					n += one.Calls
				}
			}
			for _, one := range s.folded {
				n += one.Calls
			}
			c.Check(int(n), qt.Equals, calls, qt.Commentf("seed %d, daemon %d", seed, i))
		}
	}
}
