package assembler_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/config/publisher"
	"samphireturn/internal/standin/keeper"
)

// TestFaultConfigFleet combines each step by which a configuration reaches the fleet
// with a fault: every reachable daemon gets the newest generation within the bound, and
// none goes back to an earlier one.
func TestFaultConfigFleet(t *testing.T) {
	north := []string{"n1", "n2", "n3", "n4"}
	tests := []struct {
		step, fault string
		run         func(f *fleet)
	}{
		{"watch", "none", func(f *fleet) { f.publish("b"); f.waitForGeneration(2, pushBound) }},
		{"watch", "platform down later, restored late", func(f *fleet) {
			f.setPlatformDown(true)
			f.checkStays(1, 3*time.Minute, north...)
			f.heal()
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "slow platform", func(f *fleet) {
			f.setPlatformDelay(1500 * time.Millisecond)
			time.Sleep(time.Minute)
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "home cut off from the platform", func(f *fleet) {
			f.partition(f.watchers[:1], isPlatform)
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "both homes cut off from the platform", func(f *fleet) {
			f.partition(f.watchers, isPlatform)
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "data centre cut off from the platform", func(f *fleet) {
			f.partition(north, isPlatform)
			time.Sleep(time.Minute)
			f.publish("b")
			f.waitForGeneration(2, pushBound)
		}},
		{"watch", "all but one that is no home cut off from the platform", func(f *fleet) {
			last := slices.DeleteFunc(slices.Clone(north), func(id string) bool { return slices.Contains(f.watchers, id) })[0]
			cut := slices.DeleteFunc([]string{"n1", "n2", "n3", "n4", "s1", "s2"}, func(id string) bool { return id == last })
			f.partition(cut, isPlatform)
			time.Sleep(time.Minute)
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "homes killed", func(f *fleet) {
			f.kill(f.watchers...)
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "homes cut off from both, then back", func(f *fleet) {
			f.partition(f.watchers, anyHost)
			f.publish("b")
			f.waitForGeneration(2, changeBound, f.watchers...)
			f.heal()
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "homes paused, then resumed", func(f *fleet) {
			f.Network.Blackhole(func(from, to string) bool {
				return slices.Contains(f.watchers, hostName(from)) || slices.Contains(f.watchers, hostName(to))
			})
			f.publish("b")
			f.waitForGeneration(2, changeBound, f.watchers...)
			f.Network.Blackhole(nil)
			f.waitForGeneration(2, 2*changeBound)
		}},
		{"watch", "connections to the platform go silent", func(f *fleet) {
			f.Network.BlackholeOpen(func(_, to string) bool { return isPlatform(hostName(to)) })
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "all open connections go silent", func(f *fleet) {
			f.Network.BlackholeOpen(func(string, string) bool { return true })
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"watch", "older manifest restored", func(f *fleet) {
			old := f.manifest()
			f.publish("b")
			f.waitForGeneration(2, changeBound)
			f.restore(old)
			f.checkStays(2, time.Minute, "n1", "n2", "n3", "n4", "s1", "s2")
			f.c.Check(f.problem(f.watchers[0]), qt.Contains, "the platform went back")
			f.publish("c")
			f.waitForGeneration(3, changeBound)
			f.c.Check(f.problem(f.watchers[0]), qt.Equals, "")
		}},
		{"watch", "manifest deleted", func(f *fleet) {
			old := f.manifest()
			f.c.Assert(f.Objects.Delete(context.Background(), old.Name, old.Version), qt.IsNil)
			f.checkStays(1, time.Minute, "n1", "n2", "n3", "n4", "s1", "s2")
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"read parts", "part missing, then there", func(f *fleet) {
			f.partition(append(north, "s1", "s2"), isPlatform)
			f.publish("b")
			part := f.newestPart()
			f.c.Assert(f.Objects.Delete(context.Background(), part.Name, part.Version), qt.IsNil)
			f.heal()
			f.checkStays(1, 20*time.Second, append(north, "s1", "s2")...)
			f.c.Check(f.problem(f.watchers[0]), qt.Contains, "config.toml")
			_, err := f.Objects.Create(context.Background(), part.Name, part.Value)
			f.c.Assert(err, qt.IsNil)
			f.waitForGeneration(2, changeBound)
		}},
		{"read parts", "part with other content, then repaired", func(f *fleet) {
			f.partition(append(north, "s1", "s2"), isPlatform)
			f.publish("b")
			part := f.newestPart()
			_, err := f.Objects.Update(context.Background(), part.Name, []byte("# nothing"), part.Version)
			f.c.Assert(err, qt.IsNil)
			f.heal()
			f.checkStays(1, 20*time.Second, append(north, "s1", "s2")...)
			f.publish("b")
			f.waitForGeneration(3, changeBound)
		}},
		{"peer exchange", "daemon cut off from peers, not from the platform", func(f *fleet) {
			f.partition([]string{"n1"}, isDaemon)
			time.Sleep(time.Minute)
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"peer exchange", "daemon cut off from both", func(f *fleet) {
			f.partition([]string{"n1"}, anyHost)
			f.publish("b")
			f.waitForGeneration(2, changeBound, "n1")
			f.checkStays(1, time.Minute, "n1")
			f.heal()
			f.waitForGeneration(2, changeBound)
		}},
		{"peer exchange", "data centres parted", func(f *fleet) {
			f.partition(north, inSouth)
			time.Sleep(time.Minute)
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
		{"peer exchange", "data centres parted, one cut off from the platform", func(f *fleet) {
			f.partition(north, notInNorth)
			f.publish("b")
			f.waitForGeneration(2, changeBound, north...)
			f.checkStays(1, time.Minute, north...)
			f.heal()
			f.waitForGeneration(2, changeBound)
		}},
		{"peer exchange", "connections between daemons go silent", func(f *fleet) {
			f.partition(north, isPlatform)
			f.Network.BlackholeOpen(func(from, to string) bool { return isDaemon(from) && strings.HasSuffix(to, ":90") })
			f.publish("b")
			f.waitForGeneration(2, relinkBound+changeBound)
		}},
		{"start", "platform down", func(f *fleet) {
			f.replace("n1", "n5", true)
			f.waitForGeneration(1, relinkBound+changeBound)
		}},
		{"start", "platform down, after a change that only peers have", func(f *fleet) {
			f.publish("b")
			f.waitForGeneration(2, changeBound)
			f.replace("n1", "n5", true)
			f.waitForGeneration(2, relinkBound+changeBound)
		}},
		{"start", "platform and peers out of reach, then back", func(f *fleet) {
			f.Network.Partition(func(from, to string) bool { return hostName(from) == "n5" || hostName(to) == "n5" })
			f.startDaemon("n5")
			f.checkStays(0, time.Minute, "n5")
			f.c.Check(f.isReady("n5"), qt.IsFalse)
			f.heal()
			f.waitForGeneration(1, changeBound)
			f.c.Check(f.isReady("n5"), qt.IsTrue)
		}},
		{"start", "older manifest restored", func(f *fleet) {
			old := f.manifest()
			f.publish("b")
			f.waitForGeneration(2, changeBound)
			f.restore(old)
			f.replace("n1", "n5", false)
			f.waitForGeneration(2, changeBound)
		}},
		{"start", "slow platform", func(f *fleet) {
			f.setPlatformDelay(2 * time.Second)
			f.replace("n1", "n5", false)
			f.waitForGeneration(1, changeBound)
		}},
		{"apply", "two operators at once", func(f *fleet) {
			var all sync.WaitGroup
			accepted := make([]bool, 2)
			f.setPlatformDelay(100 * time.Millisecond)
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
			f.waitForGeneration(2, changeBound)
			f.checkSameManifest()
		}},
		{"apply", "answer lost", func(f *fleet) {
			f.Objects.SetFaults(keeper.Faults{DropReplies: 2})
			f.publish("b")
			f.waitForGeneration(2, changeBound)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.step+" x "+tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(qt.New(t))
				f.waitForGeneration(1, 0)
				tt.run(f)
				f.heal()
				f.c.Check(f.Close(), qt.IsNil)
			})
		})
	}
}
