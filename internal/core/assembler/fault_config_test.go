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
			f.Network.Blackhole(func(from, to string) bool {
				return slices.Contains(f.homes, place(from)) || slices.Contains(f.homes, place(to))
			})
			f.change("b")
			f.reach(2, soon, f.homes...)
			f.Network.Blackhole(nil)
			f.reach(2, 2*soon)
		}},
		{"watch", "connections to the platform go silent", func(f *fleet) {
			f.Network.BlackholeOpen(func(_, to string) bool { return platform(place(to)) })
			f.change("b")
			f.reach(2, soon)
		}},
		{"watch", "all open connections go silent", func(f *fleet) {
			f.Network.BlackholeOpen(func(string, string) bool { return true })
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
			f.Network.BlackholeOpen(func(from, to string) bool { return peer(from) && strings.HasSuffix(to, ":90") })
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
			f.Network.Partition(func(from, to string) bool { return place(from) == "n5" || place(to) == "n5" })
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
			f.Objects.SetFaults(keeper.Faults{DropReplies: 2})
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
