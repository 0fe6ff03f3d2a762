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
	changeBound  = 5 * time.Second       // until a change is in force at every reachable daemon
	pollInterval = 50 * time.Millisecond // between two checks
	// pushBound is changeBound for a change that is pushed to peers at once, without
	// waiting for the periodic exchange.
	pushBound = 100 * time.Millisecond
)

// fleet runs six daemons in two data centres.
type fleet struct {
	*starter.Starter
	c       *qt.C
	config  string
	daemons map[string]*starter.Daemon
	// highestSeen is the highest generation that each daemon has had in force.
	highestSeen map[string]uint64
	// watchers are the daemons of north that watch the manifest, the manifest's homes.
	watchers []string
}

func newFleet(c *qt.C) *fleet { return newFleetLog(c, nil) }

// newFleetLog is newFleet with a writer for the daemons' log lines.
func newFleetLog(c *qt.C, log io.Writer) *fleet {
	data, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	s, err := starter.New()
	c.Assert(err, qt.IsNil)
	s.Log = log
	f := &fleet{Starter: s, c: c, config: string(data), daemons: make(map[string]*starter.Daemon), highestSeen: make(map[string]uint64)}
	f.publish("first")
	var north []samphireturn.VM
	for _, id := range []string{"n1", "n2", "n3", "n4", "s1", "s2"} {
		f.startDaemon(id)
		if id[0] == 'n' {
			north = append(north, f.daemons[id].VM)
		}
	}
	f.watchers = ranker.Rank(publisher.ManifestName, north)[:2]
	time.Sleep(settleTime)
	return f
}

func (f *fleet) startDaemon(id string) {
	d, err := f.Daemon(context.Background(), id, map[byte]string{'n': "north", 's': "south"}[id[0]])
	f.c.Assert(err, qt.IsNil)
	f.daemons[id] = d
}

// kill cuts daemons off from everything and excludes them from further checks.
func (f *fleet) kill(ids ...string) {
	f.partition(ids, func(string) bool { return true })
	for _, id := range ids {
		delete(f.daemons, id)
	}
}

// partition cuts the daemons off from the hosts that match.
func (f *fleet) partition(ids []string, match func(host string) bool) {
	f.Network.Partition(func(from, to string) bool {
		from, to = hostName(from), hostName(to)
		return slices.Contains(ids, from) && match(to) || slices.Contains(ids, to) && match(from)
	})
}

// hostName returns the address without its port.
func hostName(addr string) string {
	name, _, _ := strings.Cut(addr, ":")
	return name
}

func isPlatform(host string) bool { return host == "platform" }
func isDaemon(host string) bool   { return host[0] == 'n' || host[0] == 's' }
func anyHost(string) bool         { return true }
func inSouth(host string) bool    { return host[0] == 's' }
func notInNorth(host string) bool { return host[0] != 'n' }
func (f *fleet) publish(n string) {
	_, err := f.Apply(context.Background(), "# "+n+"\n"+f.config)
	f.c.Assert(err, qt.IsNil)
}
func (f *fleet) setPlatformDown(down bool)        { f.Objects.SetFaults(keeper.Faults{Down: down}) }
func (f *fleet) setPlatformDelay(d time.Duration) { f.Objects.SetFaults(keeper.Faults{Delay: d}) }

// checkGenerations returns each daemon's generation and checks that none has decreased.
func (f *fleet) checkGenerations() map[string]uint64 {
	now := make(map[string]uint64)
	for id, d := range f.daemons {
		now[id] = 0
		if cfg := d.Kernel.Snapshot().Config; cfg != nil {
			now[id] = cfg.Generation
		}
		f.c.Check(now[id] >= f.highestSeen[id], qt.IsTrue, qt.Commentf("generation of %s decreased from %d to %d", id, f.highestSeen[id], now[id]))
		f.highestSeen[id] = now[id]
	}
	return now
}

// waitForGeneration waits until all daemons but the exceptions run at least the
// generation, and fails after the bound. It returns the time that it took.
func (f *fleet) waitForGeneration(generation uint64, bound time.Duration, except ...string) time.Duration {
	f.c.Helper()
	began := time.Now()
	for {
		synctest.Wait()
		late := ""
		for id, g := range f.checkGenerations() {
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
		time.Sleep(pollInterval)
	}
}

// checkStays checks for the duration d that the daemons keep a generation.
func (f *fleet) checkStays(generation uint64, d time.Duration, ids ...string) {
	f.c.Helper()
	for range int(d / pollInterval) {
		time.Sleep(pollInterval)
		now := f.checkGenerations()
		for _, id := range ids {
			f.c.Check(now[id], qt.Equals, generation, qt.Commentf("%s", id))
		}
	}
}

func (f *fleet) newestPart() samphireturn.Object {
	list, err := f.Objects.List(context.Background(), publisher.PartPrefix)
	f.c.Assert(err, qt.IsNil)
	newest := slices.MaxFunc(list, func(a, b samphireturn.Object) int { return int(a.Version) - int(b.Version) })
	o, err := f.Objects.Get(context.Background(), newest.Name)
	f.c.Assert(err, qt.IsNil)
	return o
}

// restore replaces the manifest by an earlier one, as a restored backup would.
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

// heal ends partitions and faults of the platform.
func (f *fleet) heal() {
	f.Network.Partition(nil)
	f.setPlatformDown(false)
}

// relinkBound is the longest wait before a link that can be established again is dialled.
const relinkBound = 5 * time.Second

// replace kills a daemon and starts another one that the other daemons already know from
// the VM list. If down is true, the platform is down when it starts.
func (f *fleet) replace(old, id string, down bool) {
	f.kill(old)
	vm := f.vm(id)
	f.c.Assert(f.List(vm), qt.IsNil)
	time.Sleep(settleTime)
	if down {
		f.setPlatformDown(true)
	}
	f.startVM(vm)
}

func (f *fleet) vm(id string) samphireturn.VM {
	return samphireturn.VM{ID: id, Role: samphireturn.RoleEntry, Centre: "north", Addr: id + ":80", Peer: id + ":90"}
}

func (f *fleet) startVM(vm samphireturn.VM) {
	d, err := f.Start(context.Background(), vm)
	f.c.Assert(err, qt.IsNil)
	f.daemons[vm.ID] = d
}

func (f *fleet) isReady(id string) bool {
	status, _, _, err := f.daemons[id].Do(context.Background(), "GET", "/readyz", "")
	return err == nil && status == 200
}

// checkSameManifest checks that all daemons run the same manifest.
func (f *fleet) checkSameManifest() {
	digests := make(map[string]bool)
	for _, d := range f.daemons {
		w, err := kernel.Find[*watcher.Watcher](d.Kernel, assembler.Watcher)
		f.c.Assert(err, qt.IsNil)
		digests[w.Digest()] = true
	}
	f.c.Check(digests, qt.HasLen, 1)
}
