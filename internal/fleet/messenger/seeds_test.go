package messenger

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
)

// startSeeded runs a daemon with seeds and without a member list.
func startSeeded(c *qt.C, n *network, key string, self samphireturn.VM, seeds ...string) *Messenger {
	m := New(self, key, zerolog.Nop())
	m.Dial = n.dial
	m.Listener = n.listen(self.Peer)
	m.Rand = func() float64 { return 0 }
	m.Seeds = seeds
	c.Assert(m.Run(context.Background()), qt.IsNil)
	return m
}

// TestFaultSeeds checks which daemons a daemon with seeds is linked to, before and after it
// receives a member list, and that it dials no more often than needed.
func TestFaultSeeds(t *testing.T) {
	tests := []struct {
		fault, key string
		seeds      []string
		// listed are the members that the daemon receives after a minute, if any.
		listed []samphireturn.VM
		linked []string
		// dials counts all dials of the run, those that failed in the handshake
		// included.
		dials        int
		reason, self string
	}{
		{"none", fleetKey, []string{"a:1"}, nil, []string{"a"}, 1, "", "n"},
		{"higher id", fleetKey, []string{"a:1"}, nil, []string{"a"}, 1, "", "0"},
		{"one seed does not answer", fleetKey, []string{"z:1", "b:1"}, nil, []string{"b"}, 1, "broken", "n"},
		{"the daemon's own address", fleetKey, []string{"n:1", "a:1"}, nil, []string{"a"}, 1, "", "n"},
		{"the same seed twice", fleetKey, []string{"a:1", "a:1"}, nil, []string{"a"}, 1, "", "n"},
		{"another fleet key", "some other key of tests", []string{"a:1"}, nil, nil, 44, "proof", "n"},
		{"listed without itself", fleetKey, []string{"a:1"}, []samphireturn.VM{vm("a", "x"), vm("b", "x"), vm("f", "y")}, []string{"a", "b"}, 2, "", "n"},
		{"listed, seed in another data centre", fleetKey, []string{"a:1", "f:1"}, []samphireturn.VM{vm("a", "x"), vm("b", "x"), vm("f", "y"), vm("n", "x")}, []string{"a", "b"}, 4, "", "n"},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newNetwork()
				var all []*Messenger
				for _, v := range []samphireturn.VM{vm("a", "x"), vm("b", "x"), vm("f", "y")} {
					all = append(all, startSeeded(c, n, fleetKey, v))
				}
				before := reasonCount(tt.reason)
				m := startSeeded(c, n, tt.key, vm(tt.self, "x"), tt.seeds...)
				all = append(all, m)
				defer stopAll(all)
				time.Sleep(time.Minute)
				if tt.listed != nil {
					// The two relays of x are a and b.
					m.SetMembers(tt.listed)
					if tt.listed[len(tt.listed)-1].ID == "n" {
						all[1].SetMembers(tt.listed)
					}
					time.Sleep(time.Minute)
				}
				synctest.Wait()
				got := m.Connected()
				if len(got) == 0 {
					got = nil
				}
				c.Check(got, qt.DeepEquals, tt.linked)
				c.Check(n.dialled(), qt.HasLen, tt.dials)
				if tt.reason != "" {
					c.Check(reasonCount(tt.reason), qt.Not(qt.Equals), before)
				}
			})
		})
	}
}

// TestFaultSeedSilent has the link to a seed drop all data. The daemon must detect it
// and dial the seed again, although it is in no member list.
func TestFaultSeedSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		a := startSeeded(c, n, fleetKey, vm("a", "x"))
		m := startSeeded(c, n, fleetKey, vm("n", "x"), "a:1")
		defer stopAll([]*Messenger{a, m})
		time.Sleep(time.Second)
		c.Assert(m.Connected(), qt.DeepEquals, []string{"a"})
		n.dialled()[0].dropWrites.Store(true)
		time.Sleep((MaxSilentPings+1)*m.PingInterval + m.MaxBackoff)
		c.Check(m.Connected(), qt.DeepEquals, []string{"a"})
		c.Check(a.Connected(), qt.DeepEquals, []string{"n"})
		c.Check(n.dialled(), qt.HasLen, 2)
	})
}

// TestFaultFleetKeyChange pairs daemons with the settings that occur side by side while
// the fleet key is changed, or if a step is left out, each as the dialler and as the
// acceptor.
func TestFaultFleetKeyChange(t *testing.T) {
	const old, next = "the old key of the fleet", "the new key of the fleet"
	type settings struct {
		key      string
		accepted []string
	}
	first, second, third, last := settings{old, nil}, settings{old, []string{next}}, settings{next, []string{old}}, settings{next, nil}
	tests := []struct {
		name   string
		a, b   settings
		linked bool
	}{
		{"before", first, first, true},
		{"first step under way", first, second, true},
		{"second step under way", second, third, true},
		{"third step under way", third, last, true},
		{"after", last, last, true},
		{"first step left out", first, third, false},
		{"last step too early", second, last, false},
		{"no step", first, last, false},
		{"key too short to be accepted", settings{old, []string{""}}, settings{old, []string{"short"}}, false},
	}
	for _, tt := range tests {
		for _, pair := range [][2]settings{{tt.a, tt.b}, {tt.b, tt.a}} {
			t.Run(tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					n := newNetwork()
					vms := []samphireturn.VM{vm("a", "x"), vm("b", "x")}
					var all []*Messenger
					for i, s := range pair {
						m := New(vms[i], s.key, zerolog.Nop())
						m.AcceptedKeys = s.accepted
						m.Dial, m.Listener = n.dial, n.listen(vms[i].Peer)
						if err := m.Run(context.Background()); err != nil {
							c.Check(tt.linked, qt.IsFalse)
							return
						}
						all = append(all, m)
					}
					defer stopAll(all)
					for _, m := range all {
						m.SetMembers(vms)
					}
					time.Sleep(10 * time.Second)
					c.Check(len(all[0].Connected()) == 1, qt.Equals, tt.linked)
					c.Check(len(all[1].Connected()) == 1, qt.Equals, tt.linked)
				})
			})
		}
	}
}

// TestFaultSeedLinked has a seed dial the daemon before the daemon can dial the seed.
// The daemon must not open a second link.
func TestFaultSeedLinked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		a := startSeeded(c, n, fleetKey, vm("a", "x"))
		m := New(vm("n", "x"), fleetKey, zerolog.Nop())
		m.Listener = n.listen("n:1")
		m.Seeds = []string{"a:1"}
		ready := time.Now().Add(10 * time.Second)
		m.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if time.Now().Before(ready) {
				return nil, net.ErrClosed
			}
			return n.dial(ctx, addr)
		}
		c.Assert(m.Run(context.Background()), qt.IsNil)
		defer stopAll([]*Messenger{a, m})
		a.SetMembers([]samphireturn.VM{vm("a", "x"), vm("n", "x")})
		m.SetMembers([]samphireturn.VM{vm("a", "x")})
		time.Sleep(time.Minute)
		c.Check(m.Connected(), qt.DeepEquals, []string{"a"})
		c.Check(n.dialled(), qt.HasLen, 1)
	})
}
