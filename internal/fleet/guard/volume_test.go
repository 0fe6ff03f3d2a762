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
	// maxControlBytesPerSecond bounds what a daemon may send for all control traffic.
	maxControlBytesPerSecond = 5000
	// relayCount is the number of daemons that connect a data centre with the others.
	relayCount = 2
)

// pushVolume returns the bytes that an ordinary daemon and a relay push in a second in
// which every daemon ran calls of both served versions. There are links between all
// daemons of a data centre and between the relays.
func pushVolume(c *qt.C, centres, daemons int) (ordinary, relay int) {
	var members []samphireturn.VM
	for i := range centres * daemons {
		members = append(members, samphireturn.VM{ID: fmt.Sprintf("entry-%03d", i), Centre: fmt.Sprint("centre", i/daemons)})
	}
	for _, self := range []int{0, daemons - 1} {
		control := &fakeControl{}
		control.current.Store(&samphireturn.Snapshot{Self: members[self], Members: members, Config: config(samphireturn.VersionLive, 1)})
		g := New(control, &node{&network{handlers: map[string]samphireturn.Handler{}}, members[self].ID}, nil, samphireturn.InstanceName(members[self].ID, "1234567890abcdef"))
		instances := knownCounts(members, self)
		totals := []Totals{{Version: samphireturn.VersionRef{Model: "small", Version: "v1"}, Instances: instances}, {Version: samphireturn.VersionRef{Model: "large", Version: "v1"}, Instances: instances}}
		if self > 0 { // an ordinary daemon knows all counts and has links only within its data centre
			ordinary = pushedBytes(c, g, totals, members, func(i int) bool { return i < daemons })
			continue
		}
		relay = pushedBytes(c, g, totals, members, func(i int) bool { return i < daemons || i%daemons < relayCount })
	}
	return ordinary, relay
}

// knownCounts returns the counts that a daemon has: those of each instance of its data
// centre and the sums of the other data centres.
func knownCounts(members []samphireturn.VM, self int) map[string]Total {
	instances := make(map[string]Total)
	for _, m := range members {
		one := Total{Calls: 100000, Failures: 100}
		if m.Centre == members[self].Centre {
			instances[samphireturn.InstanceName(m.ID, "1234567890abcdef")] = one
			continue
		}
		one.Daemons = 1
		instances[sumName(m.Centre)] = instances[sumName(m.Centre)].plus(one)
	}
	return instances
}

// pushedBytes returns the bytes that a guard pushes to the linked members.
func pushedBytes(c *qt.C, g *Guard, totals []Totals, members []samphireturn.VM, linked func(int) bool) int {
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
		msg, _ := g.messageFor(m.ID, totals, peers)
		data, err := encoder.Marshal(msg)
		c.Assert(err, qt.IsNil)
		sum += len(data)
	}
	return sum
}

// TestMessageVolume checks the messages of a second in which every daemon ran calls
// against the bound on control traffic.
func TestMessageVolume(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct{ centres, daemons int }{{3, 1}, {1, 8}, {3, 3}, {1, 23}} {
		ordinary, relay := pushVolume(c, tt.centres, tt.daemons)
		t.Logf("%d data centres of %d: ordinary %d, relay %d bytes a second", tt.centres, tt.daemons, ordinary, relay)
		c.Check(max(ordinary, relay) <= maxControlBytesPerSecond, qt.IsTrue)
	}
	ordinary, _ := pushVolume(c, 19, 23)
	c.Check(ordinary <= maxControlBytesPerSecond, qt.IsTrue, qt.Commentf("ordinary daemon of a large fleet: %d", ordinary))
}

// TestMessageVolumeOfRelays checks the relays of a large fleet against the same bound.
func TestMessageVolumeOfRelays(t *testing.T) {
	ordinary, relay := pushVolume(qt.New(t), 19, 23)
	t.Logf("ordinary %d, relay %d bytes a second", ordinary, relay)
	qt.Check(t, relay <= maxControlBytesPerSecond, qt.IsTrue, qt.Commentf("%d bytes a second", relay))
}

// TestCountsCross checks which counts a daemon sends to whom: its own to the daemons of
// its data centre, its data centre's sum to one daemon of each other data centre, and,
// if it is a relay, the sum of all other data centres to its own.
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
		control := &fakeControl{}
		control.current.Store(&samphireturn.Snapshot{Self: members[0], Members: members})
		g := New(control, &node{&network{handlers: map[string]samphireturn.Handler{}}, "a1"}, nil, samphireturn.InstanceName("a1", "1"))
		m, _ := g.messageFor(tt.to, []Totals{{Version: v1, Instances: instances, FoldedSum: Total{Calls: 10}}}, tt.links)
		var got map[string]Total
		if len(m.Totals) > 0 {
			got = m.Totals[0].Instances
		}
		qt.Check(t, got, qt.DeepEquals, tt.want, qt.Commentf("to %s with links %v", tt.to, tt.links))
	}
}

// TestSums has three data centres exchange counts repeatedly and in any order through
// two relays each. Every daemon must count each call once, also after daemons have left
// and relays have changed.
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
			control := &fakeControl{}
			control.current.Store(&samphireturn.Snapshot{Self: m, Members: members})
			g := New(control, &node{&network{handlers: map[string]samphireturn.Handler{}}, m.ID}, nil, samphireturn.InstanceName(m.ID, "1"))
			g.Counter.Guard = samphireturn.Guard{GoodRate: 0.4, BadRate: 0.9, FalseAlarmRate: 1e-9}
			guards = append(guards, g)
		}
		calls := 0
		push := func(from, to int, relayed bool) {
			var links []string
			for i, m := range members {
				if i != from && (m.Centre == members[from].Centre || relayed) {
					links = append(links, m.ID)
				}
			}
			m, _ := guards[from].messageFor(members[to].ID, guards[from].Counter.Totals(), links)
			body, err := encoder.Marshal(m)
			c.Assert(err, qt.IsNil)
			_, err = guards[to].receive(t.Context(), members[from].ID, body)
			c.Assert(err, qt.IsNil)
		}
		for range 400 {
			at := r.IntN(len(guards))
			guards[at].Counter.RecordCall(v1, r.IntN(4) == 0)
			calls++
			push(r.IntN(9), r.IntN(9), r.IntN(2) == 0)
			if r.IntN(40) == 0 {
				gone := samphireturn.InstanceName(members[r.IntN(9)].ID, "1")
				guards[at].Counter.Fold(func(name string) bool { return name != gone || name == guards[at].Counter.Instance })
			}
		}
		for range 3 {
			for from := range guards {
				for to := range guards {
					if from != to {
						push(from, to, true)
					}
				}
			}
		}
		for i, g := range guards {
			s := g.Counter.versions[v1]
			n := s.remoteSum().Calls
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
