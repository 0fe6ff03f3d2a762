package assembler_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/generator"
)

// TestFaultConfigStartUnknown starts a daemon that is unknown to all others while the
// platform is down, so that it can find the others only by its seeds.
func TestFaultConfigStartUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t))
		f.setPlatformDown(true)
		f.Seeds = []string{"n1:90", "s1:90"}
		f.startVM(f.vm("n5"))
		f.waitForGeneration(1, relinkBound+changeBound)
		f.heal()
		f.c.Check(f.Close(), qt.IsNil)
	})
}

// TestFaultUnlisted starts daemons that are missing from the VM list but have seeds.
// They must get the configuration, and nothing else may change until they are listed.
func TestFaultUnlisted(t *testing.T) {
	tests := []struct {
		fault string
		begin func(f *fleet)
		// except are the daemons that can't get the configuration.
		except []string
	}{
		{"platform down", func(f *fleet) { f.setPlatformDown(true) }, nil},
		{"platform's list late", func(*fleet) {}, nil},
		{"platform's list late, cut off from peers", func(f *fleet) { f.partition([]string{"n5", "n6", "n7"}, isDaemon) }, nil},
		{"platform slow", func(f *fleet) { f.setPlatformDelay(3 * time.Second) }, nil},
		{"platform down, one seed cut off", func(f *fleet) {
			f.setPlatformDown(true)
			f.partition([]string{"n1"}, anyHost)
		}, []string{"n1"}},
		{"platform down, data centres parted", func(f *fleet) {
			f.setPlatformDown(true)
			f.partition([]string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}, inSouth)
		}, nil},
		{"platform down, another fleet key", func(f *fleet) {
			f.setPlatformDown(true)
			f.FleetKey = "a key that is not the fleet's"
		}, []string{"n5", "n6", "n7"}},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(qt.New(t))
				f.c.Assert(f.Engine("north", &generator.Generator{ID: "engine1", Incarnation: 1, Versions: []string{"small@v1"}}), qt.IsNil)
				time.Sleep(settleTime)
				members := len(f.daemons["n2"].Kernel.Snapshot().Members)
				tt.begin(f)
				f.Seeds = []string{"n1:90", "s1:90"}
				unlisted := []string{"n5", "n6", "n7"}
				for _, id := range unlisted {
					f.startVM(f.vm(id))
				}
				f.waitForGeneration(1, relinkBound+changeBound, tt.except...)
				time.Sleep(time.Minute)
				for _, id := range unlisted {
					f.checkServing(id, false)
				}
				now := f.daemons["n2"].Kernel.Snapshot()
				f.c.Check(now.Members, qt.HasLen, members)
				for _, d := range f.daemons {
					for _, e := range d.Kernel.Snapshot().Endpoints {
						f.c.Check(strings.Contains("n1 n2 n3 n4", e.Home), qt.IsTrue, qt.Commentf("%s is a home", e.Home))
					}
				}
				f.heal()
				if tt.except == nil || tt.except[0] == "n1" {
					f.listAndCheck(unlisted)
				}
				f.c.Check(f.Close(), qt.IsNil)
			})
		})
	}
}

// checkServing checks whether a daemon serves requests, as wanted. One that does not must
// declare that nothing was run.
func (f *fleet) checkServing(id string, want bool) {
	f.c.Helper()
	s := f.daemons[id].Kernel.Snapshot()
	status, _, body, err := f.daemons[id].Do(context.Background(), "POST", "/v1/chat/completions", shortBody, "Authorization", bearer)
	note := qt.Commentf("%s: %s", id, body)
	f.c.Check(err, qt.IsNil, note)
	f.c.Check(status == 200, qt.Equals, want, note)
	f.c.Check(len(s.Endpoints) > 0, qt.Equals, want, note)
	f.c.Check(f.isReady(id), qt.Equals, want, note)
	if !want {
		f.c.Check(strings.Contains(body, `"run":"no"`), qt.IsTrue, note)
	}
}

// listAndCheck adds daemons to the VM list and checks that they become members like the
// others. It also checks that no more than two daemons of a data centre watched the
// platform before.
func (f *fleet) listAndCheck(ids []string) {
	time.Sleep(time.Minute)
	var watches int64
	for range 20 {
		time.Sleep(130 * time.Millisecond) // watches end every 2 s
		watches = max(watches, f.Objects.Calls()["waiting"])
	}
	f.c.Check(watches, qt.Equals, int64(4))
	for _, id := range ids {
		f.c.Assert(f.List(f.daemons[id].VM), qt.IsNil)
	}
	time.Sleep(settleTime)
	f.publish("b")
	f.waitForGeneration(2, pushBound)
	for _, id := range ids {
		f.checkServing(id, true)
	}
	f.c.Check(f.daemons["n2"].Kernel.Snapshot().Members, qt.HasLen, 6+len(ids))
}
