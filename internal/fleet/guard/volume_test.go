package guard

import (
	"fmt"
	"slices"
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
		g := New(control, &node{&fabric{handlers: map[string]samphireturn.Handler{}}, members[self].ID}, nil, samphireturn.Instance(members[self].ID, "1"))
		instances := make(map[string]Total)
		for _, m := range members {
			instances[samphireturn.Instance(m.ID, "1234567890abcdef")] = Total{Calls: 100000, Failures: 100}
		}
		totals := []Totals{{Version: samphireturn.VersionRef{Model: "small", Version: "v1"}, Instances: instances}, {Version: samphireturn.VersionRef{Model: "large", Version: "v1"}, Instances: instances}}
		if self > 0 { // an ordinary daemon learns all and has links within its data centre
			ordinary = pushed(c, g, totals, members, func(i int) bool { return i < daemons })
			continue
		}
		relay = pushed(c, g, totals, members, func(i int) bool { return i < daemons || i%daemons < relayCount })
	}
	return ordinary, relay
}

// pushed returns the bytes that a guard pushes to the linked members.
func pushed(c *qt.C, g *Guard, totals []Totals, members []samphireturn.VM, linked func(int) bool) int {
	var peers []string
	for i, m := range members {
		if linked(i) {
			peers = append(peers, m.ID)
		}
	}
	sum, relay := 0, relays(g.Control.Snapshot(), peers)
	for i, m := range members {
		if m.ID == g.Control.Snapshot().Self.ID || !linked(i) {
			continue
		}
		news, _ := g.news(m.ID, totals, relay)
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
	_, relay := volume(qt.New(t), 19, 23)
	qt.Check(t, relay <= allowance, qt.IsTrue, qt.Commentf("%d bytes a second", relay))
}

// TestCountsCross checks whose counts a daemon pushes to whom: those of its data
// centre to others, and those of others to its own, if it is a relay.
func TestCountsCross(t *testing.T) {
	members := []samphireturn.VM{{ID: "a1", Centre: "a"}, {ID: "a2", Centre: "a"}, {ID: "b1", Centre: "b"}}
	instances := make(map[string]Total)
	for _, m := range members {
		instances[samphireturn.Instance(m.ID, "1")] = Total{Calls: 1}
	}
	tests := []struct {
		to    string
		links []string
		want  []string
	}{
		{"a2", []string{"a2"}, []string{"a1"}},
		{"a2", []string{"a2", "b1"}, []string{"a1", "b1"}},
		{"b1", []string{"a2", "b1"}, []string{"a1", "a2"}},
	}
	for _, tt := range tests {
		control := &control{}
		control.current.Store(&samphireturn.Snapshot{Self: members[0], Members: members})
		g := New(control, &node{&fabric{handlers: map[string]samphireturn.Handler{}}, "a1"}, nil, samphireturn.Instance("a1", "1"))
		m, _ := g.news(tt.to, []Totals{{Version: v1, Instances: instances}}, relays(control.Snapshot(), tt.links))
		var got []string
		for instance := range m.Totals[0].Instances {
			got = append(got, samphireturn.InstanceVM(instance))
		}
		slices.Sort(got)
		qt.Check(t, got, qt.DeepEquals, tt.want, qt.Commentf("to %s with links %v", tt.to, tt.links))
	}
}
