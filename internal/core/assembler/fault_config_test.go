package assembler_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/watcher"
	"samphireturn/internal/core/assembler"
	"samphireturn/internal/core/kernel"
	"samphireturn/internal/fleet/ranker"
	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/standin/starter"
)

const (
	soon = 5 * time.Second       // bound of a change in every reachable daemon
	step = 50 * time.Millisecond // between two looks
	// quick bounds a change that is passed on at once, without an exchange.
	quick = 100 * time.Millisecond
)

// fleet is six daemons in two data centres.
type fleet struct {
	*starter.Starter
	c       *qt.C
	config  string
	daemons map[string]*starter.Daemon
	// seen is the highest generation seen of each daemon.
	seen map[string]uint64
	// homes are the daemons of north that watch the manifest.
	homes []string
}

func newFleet(c *qt.C) *fleet {
	data, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	s, err := starter.New()
	c.Assert(err, qt.IsNil)
	f := &fleet{Starter: s, c: c, config: string(data), daemons: make(map[string]*starter.Daemon), seen: make(map[string]uint64)}
	f.change("first")
	var north []samphireturn.VM
	for _, id := range []string{"n1", "n2", "n3", "n4", "s1", "s2"} {
		f.start(id)
		if id[0] == 'n' {
			north = append(north, f.daemons[id].VM)
		}
	}
	f.homes = ranker.Rank(publisher.ManifestName, north)[:2]
	time.Sleep(settle)
	return f
}

func (f *fleet) start(id string) {
	d, err := f.Daemon(context.Background(), id, map[byte]string{'n': "north", 's': "south"}[id[0]])
	f.c.Assert(err, qt.IsNil)
	f.daemons[id] = d
}

// kill takes a daemon off the network at once, and out of the tests' sight.
func (f *fleet) kill(ids ...string) {
	f.cut(ids, func(string) bool { return true })
	for _, id := range ids {
		delete(f.daemons, id)
	}
}

// cut cuts daemons off from the places that match.
func (f *fleet) cut(ids []string, match func(place string) bool) {
	f.Network.Cut(func(from, to string) bool {
		from, to = place(from), place(to)
		return slices.Contains(ids, from) && match(to) || slices.Contains(ids, to) && match(from)
	})
}

// place returns the name before the port.
func place(addr string) string {
	name, _, _ := strings.Cut(addr, ":")
	return name
}

func platform(place string) bool { return place == "platform" }
func peer(place string) bool     { return place[0] == 'n' || place[0] == 's' }
func everything(string) bool     { return true }
func south(place string) bool    { return place[0] == 's' }
func notNorth(place string) bool { return place[0] != 'n' }
func (f *fleet) change(n string) {
	_, err := f.Apply(context.Background(), "# "+n+"\n"+f.config)
	f.c.Assert(err, qt.IsNil)
}
func (f *fleet) down(is bool)          { f.Objects.SetFaults(keeper.Faults{Down: is}) }
func (f *fleet) delay(d time.Duration) { f.Objects.SetFaults(keeper.Faults{Delay: d}) }

// look returns each daemon's generation and checks that none went back.
func (f *fleet) look() map[string]uint64 {
	now := make(map[string]uint64)
	for id, d := range f.daemons {
		now[id] = 0
		if cfg := d.Kernel.Snapshot().Config; cfg != nil {
			now[id] = cfg.Generation
		}
		f.c.Check(now[id] >= f.seen[id], qt.IsTrue, qt.Commentf("%s went back from %d to %d", id, f.seen[id], now[id]))
		f.seen[id] = now[id]
	}
	return now
}

// reach waits until all daemons but the exceptions run at least the
// generation, and fails after the bound. It returns the time that it took.
func (f *fleet) reach(generation uint64, bound time.Duration, except ...string) time.Duration {
	f.c.Helper()
	began := time.Now()
	for {
		synctest.Wait()
		late := ""
		for id, g := range f.look() {
			if g < generation && !slices.Contains(except, id) {
				late += fmt.Sprintf(" %s at %d", id, g)
			}
		}
		took := time.Since(began)
		if late == "" {
			return took
		}
		if took >= bound {
			f.c.Errorf("generation %d is not in force after %s:%s", generation, took, late)
			return took
		}
		time.Sleep(step)
	}
}

// stay checks for a time that the daemons keep a generation.
func (f *fleet) stay(generation uint64, d time.Duration, ids ...string) {
	f.c.Helper()
	for range int(d / step) {
		time.Sleep(step)
		now := f.look()
		for _, id := range ids {
			f.c.Check(now[id], qt.Equals, generation, qt.Commentf("%s", id))
		}
	}
}

func (f *fleet) part() samphireturn.Object {
	list, err := f.Objects.List(context.Background(), publisher.PartPrefix)
	f.c.Assert(err, qt.IsNil)
	newest := slices.MaxFunc(list, func(a, b samphireturn.Object) int { return int(a.Version) - int(b.Version) })
	o, err := f.Objects.Get(context.Background(), newest.Name)
	f.c.Assert(err, qt.IsNil)
	return o
}

// restore puts an earlier manifest back.
func (f *fleet) restore(old samphireturn.Object) {
	now := f.manifest()
	_, err := f.Objects.Update(context.Background(), now.Name, old.Value, now.Version)
	f.c.Assert(err, qt.IsNil)
}

func (f *fleet) manifest() samphireturn.Object {
	o, err := f.Objects.Get(context.Background(), publisher.ManifestName)
	f.c.Assert(err, qt.IsNil)
	return o
}

func (f *fleet) problem(id string) string {
	w, err := kernel.Find[*watcher.Watcher](f.daemons[id].Kernel, assembler.Watcher)
	f.c.Assert(err, qt.IsNil)
	return w.Problem()
}

// heal ends the cuts and faults.
func (f *fleet) heal() {
	f.Network.Cut(nil)
	f.down(false)
}

// relink bounds the dial of a healed link, whose pause is 5 s at most.
const relink = 5 * time.Second

func TestFaultConfigFleet(t *testing.T) {
	north := []string{"n1", "n2", "n3", "n4"}
	tests := []struct {
		step, fault string
		run         func(f *fleet)
	}{
		{"watch", "none", func(f *fleet) { f.change("b"); f.reach(2, quick) }},
		{"watch", "platform down later, restored late", func(f *fleet) {
			f.down(true)
			f.stay(1, 3*time.Minute, north...)
			f.heal()
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "slow platform", func(f *fleet) {
			f.delay(1500 * time.Millisecond)
			time.Sleep(time.Minute)
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "home cut off from the platform", func(f *fleet) {
			f.cut(f.homes[:1], platform)
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "both homes cut off from the platform", func(f *fleet) {
			f.cut(f.homes, platform)
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "data centre cut off from the platform", func(f *fleet) {
			f.cut(north, platform)
			time.Sleep(time.Minute)
			f.change("b")
			f.reach(2, quick)
		}},
		{"watch", "all but one that is no home cut off from the platform", func(f *fleet) {
			last := slices.DeleteFunc(slices.Clone(north), func(id string) bool { return slices.Contains(f.homes, id) })[0]
			cut := slices.DeleteFunc([]string{"n1", "n2", "n3", "n4", "s1", "s2"}, func(id string) bool { return id == last })
			f.cut(cut, platform)
			time.Sleep(time.Minute)
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "homes killed", func(f *fleet) {
			f.kill(f.homes...)
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "homes cut off from both, then back", func(f *fleet) {
			f.cut(f.homes, everything)
			f.change("b")
			f.reach(2, soon, f.homes...)
			f.heal()
			f.reach(2, soon)
		}},
		{"watch", "homes paused, then awake", func(f *fleet) {
			f.Network.Mute(func(from, to string) bool {
				return slices.Contains(f.homes, place(from)) || slices.Contains(f.homes, place(to))
			})
			f.change("b")
			f.reach(2, soon, f.homes...)
			f.Network.Mute(nil)
			f.reach(2, 2*soon)
		}},
		{"watch", "connections to the platform go silent", func(f *fleet) {
			f.Network.Silence(func(_, to string) bool { return platform(place(to)) })
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "all open connections go silent", func(f *fleet) {
			f.Network.Silence(func(string, string) bool { return true })
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "older manifest restored", func(f *fleet) {
			old := f.manifest()
			f.change("b")
			f.reach(2, soon)
			f.restore(old)
			f.stay(2, time.Minute, "n1", "n2", "n3", "n4", "s1", "s2")
			f.c.Check(f.problem(f.homes[0]), qt.Contains, "the platform went back")
			f.change("c")
			f.reach(3, soon)
			f.c.Check(f.problem(f.homes[0]), qt.Equals, "")
		}},
		{"watch", "manifest deleted", func(f *fleet) {
			old := f.manifest()
			f.c.Assert(f.Objects.Delete(context.Background(), old.Name, old.Version), qt.IsNil)
			f.stay(1, time.Minute, "n1", "n2", "n3", "n4", "s1", "s2")
			f.change("b")
			f.reach(2, soon)
		}},
		{"read parts", "part missing, then there", func(f *fleet) {
			f.cut(append(north, "s1", "s2"), platform)
			f.change("b")
			part := f.part()
			f.c.Assert(f.Objects.Delete(context.Background(), part.Name, part.Version), qt.IsNil)
			f.heal()
			f.stay(1, 20*time.Second, append(north, "s1", "s2")...)
			f.c.Check(f.problem(f.homes[0]), qt.Contains, "config.toml")
			_, err := f.Objects.Create(context.Background(), part.Name, part.Value)
			f.c.Assert(err, qt.IsNil)
			f.reach(2, soon)
		}},
		{"read parts", "part with other content, then mended", func(f *fleet) {
			f.cut(append(north, "s1", "s2"), platform)
			f.change("b")
			part := f.part()
			_, err := f.Objects.Update(context.Background(), part.Name, []byte("# nothing"), part.Version)
			f.c.Assert(err, qt.IsNil)
			f.heal()
			f.stay(1, 20*time.Second, append(north, "s1", "s2")...)
			f.change("b")
			f.reach(3, soon)
		}},
		{"peer exchange", "daemon cut off from peers, not from the platform", func(f *fleet) {
			f.cut([]string{"n1"}, peer)
			time.Sleep(time.Minute)
			f.change("b")
			f.reach(2, soon)
		}},
		{"peer exchange", "daemon cut off from both", func(f *fleet) {
			f.cut([]string{"n1"}, everything)
			f.change("b")
			f.reach(2, soon, "n1")
			f.stay(1, time.Minute, "n1")
			f.heal()
			f.reach(2, soon)
		}},
		{"peer exchange", "data centres parted", func(f *fleet) {
			f.cut(north, south)
			time.Sleep(time.Minute)
			f.change("b")
			f.reach(2, soon)
		}},
		{"peer exchange", "data centres parted, one cut off from the platform", func(f *fleet) {
			f.cut(north, notNorth)
			f.change("b")
			f.reach(2, soon, north...)
			f.stay(1, time.Minute, north...)
			f.heal()
			f.reach(2, soon)
		}},
		{"peer exchange", "connections between daemons go silent", func(f *fleet) {
			f.cut(north, platform)
			f.Network.Silence(func(from, to string) bool { return peer(from) && strings.HasSuffix(to, ":90") })
			f.change("b")
			f.reach(2, relink+soon)
		}},
		{"start", "platform down", func(f *fleet) {
			f.replace("n1", "n5", true)
			f.reach(1, relink+soon)
		}},
		{"start", "platform down, after a change that only peers have", func(f *fleet) {
			f.change("b")
			f.reach(2, soon)
			f.replace("n1", "n5", true)
			f.reach(2, relink+soon)
		}},
		{"start", "platform and peers out of reach, then back", func(f *fleet) {
			f.Network.Cut(func(from, to string) bool { return place(from) == "n5" || place(to) == "n5" })
			f.start("n5")
			f.stay(0, time.Minute, "n5")
			f.c.Check(f.ready("n5"), qt.IsFalse)
			f.heal()
			f.reach(1, soon)
			f.c.Check(f.ready("n5"), qt.IsTrue)
		}},
		{"start", "older manifest restored", func(f *fleet) {
			old := f.manifest()
			f.change("b")
			f.reach(2, soon)
			f.restore(old)
			f.replace("n1", "n5", false)
			f.reach(2, soon)
		}},
		{"start", "slow platform", func(f *fleet) {
			f.delay(2 * time.Second)
			f.replace("n1", "n5", false)
			f.reach(1, soon)
		}},
		{"apply", "two operators at once", func(f *fleet) {
			var all sync.WaitGroup
			accepted := make([]bool, 2)
			f.delay(100 * time.Millisecond)
			for i := range accepted {
				all.Go(func() {
					p := publisher.Publisher{Store: f.Objects, Author: fmt.Sprint(i)}
					files := map[string][]byte{"config.toml": []byte(fmt.Sprintf("# %d\n%s", i, f.config))}
					_, err := p.Apply(context.Background(), files, 1)
					accepted[i] = err == nil
				})
			}
			all.Wait()
			f.c.Check(accepted[0] != accepted[1], qt.IsTrue)
			f.reach(2, soon)
			f.same()
		}},
		{"apply", "answer lost", func(f *fleet) {
			f.Objects.SetFaults(keeper.Faults{Lose: 2})
			f.change("b")
			f.reach(2, soon)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.step+" x "+tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(qt.New(t))
				f.reach(1, 0)
				tt.run(f)
				f.heal()
				f.c.Check(f.Close(), qt.IsNil)
			})
		})
	}
}

// replace kills a daemon and starts another one that the fleet has heard of,
// with the platform down if asked to.
func (f *fleet) replace(old, id string, down bool) {
	f.kill(old)
	vm := f.vm(id)
	f.c.Assert(f.List(vm), qt.IsNil)
	time.Sleep(settle)
	if down {
		f.down(true)
	}
	f.run(vm)
}

func (f *fleet) vm(id string) samphireturn.VM {
	return samphireturn.VM{ID: id, Role: samphireturn.RoleEntry, Centre: "north", Addr: id + ":80", Peer: id + ":90"}
}

func (f *fleet) run(vm samphireturn.VM) {
	d, err := f.Start(context.Background(), vm)
	f.c.Assert(err, qt.IsNil)
	f.daemons[vm.ID] = d
}

// TestFaultConfigStartUnknown starts a daemon that no other knows while the
// platform, which alone could tell who the others are, is down.
func TestFaultConfigStartUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t))
		f.down(true)
		f.run(f.vm("n5"))
		f.reach(1, relink+soon)
		f.heal()
		f.c.Check(f.Close(), qt.IsNil)
	})
}

func (f *fleet) ready(id string) bool {
	status, _, _, err := f.daemons[id].Send(context.Background(), "GET", "/readyz", "")
	return err == nil && status == 200
}

// same checks that all daemons run the same manifest.
func (f *fleet) same() {
	digests := make(map[string]bool)
	for _, d := range f.daemons {
		w, err := kernel.Find[*watcher.Watcher](d.Kernel, assembler.Watcher)
		f.c.Assert(err, qt.IsNil)
		digests[w.Digest()] = true
	}
	f.c.Check(digests, qt.HasLen, 1)
}
