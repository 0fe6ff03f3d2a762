package assembler_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
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

func newFleet(c *qt.C) *fleet { return newFleetLog(c, nil) }

// newFleetLog is newFleet with a writer of the daemons' log lines.
func newFleetLog(c *qt.C, log io.Writer) *fleet {
	data, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	s, err := starter.New()
	c.Assert(err, qt.IsNil)
	s.Log = log
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
	f.Network.Partition(func(from, to string) bool {
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
	f.Network.Partition(nil)
	f.down(false)
}

// relink bounds the dial of a healed link, whose pause is 5 s at most.
const relink = 5 * time.Second

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

func (f *fleet) ready(id string) bool {
	status, _, _, err := f.daemons[id].Do(context.Background(), "GET", "/readyz", "")
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
