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

// TestFaultConfigStartUnknown starts a daemon that no other knows while the
// platform is down, so that its seeds alone tell who the others are.
func TestFaultConfigStartUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(qt.New(t))
		f.down(true)
		f.Seeds = []string{"n1:90", "s1:90"}
		f.run(f.vm("n5"))
		f.reach(1, relink+soon)
		f.heal()
		f.c.Check(f.Close(), qt.IsNil)
	})
}

// TestFaultUnlisted starts daemons that no list holds and that have seeds. They
// get the configuration, and nothing else changes until they are listed.
func TestFaultUnlisted(t *testing.T) {
	tests := []struct {
		fault string
		begin func(f *fleet)
		// except are the daemons that can't get the configuration.
		except []string
	}{
		{"platform down", func(f *fleet) { f.down(true) }, nil},
		{"platform's list late", func(*fleet) {}, nil},
		{"platform's list late, cut off from peers", func(f *fleet) { f.cut([]string{"n5", "n6", "n7"}, peer) }, nil},
		{"platform slow", func(f *fleet) { f.delay(3 * time.Second) }, nil},
		{"platform down, one seed cut off", func(f *fleet) {
			f.down(true)
			f.cut([]string{"n1"}, everything)
		}, []string{"n1"}},
		{"platform down, data centres parted", func(f *fleet) {
			f.down(true)
			f.cut([]string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}, south)
		}, nil},
		{"platform down, another fleet key", func(f *fleet) {
			f.down(true)
			f.FleetKey = "a key that is not the fleet's"
		}, []string{"n5", "n6", "n7"}},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(qt.New(t))
				f.c.Assert(f.Engine("north", &generator.Generator{ID: "engine1", Incarnation: 1, Versions: []string{"small@v1"}}), qt.IsNil)
				time.Sleep(settle)
				members := len(f.daemons["n2"].Kernel.Snapshot().Members)
				tt.begin(f)
				f.Seeds = []string{"n1:90", "s1:90"}
				unlisted := []string{"n5", "n6", "n7"}
				for _, id := range unlisted {
					f.run(f.vm(id))
				}
				f.reach(1, relink+soon, tt.except...)
				time.Sleep(time.Minute)
				for _, id := range unlisted {
					f.serves(id, false)
				}
				now := f.daemons["n2"].Kernel.Snapshot()
				f.c.Check(now.Members, qt.HasLen, members)
				for _, d := range f.daemons {
					for _, e := range d.Kernel.Snapshot().Endpoints {
						f.c.Check(strings.Contains("n1 n2 n3 n4", e.Home), qt.IsTrue, qt.Commentf("%s is home", e.Home))
					}
				}
				f.heal()
				if tt.except == nil || tt.except[0] == "n1" {
					f.join(unlisted)
				}
				f.c.Check(f.Close(), qt.IsNil)
			})
		})
	}
}

// serves checks whether a daemon takes requests; one that does not says that
// nothing was run.
func (f *fleet) serves(id string, want bool) {
	f.c.Helper()
	s := f.daemons[id].Kernel.Snapshot()
	status, _, body, err := f.daemons[id].Do(context.Background(), "POST", "/v1/chat/completions", short, "Authorization", bearer)
	note := qt.Commentf("%s: %s", id, body)
	f.c.Check(err, qt.IsNil, note)
	f.c.Check(status == 200, qt.Equals, want, note)
	f.c.Check(len(s.Endpoints) > 0, qt.Equals, want, note)
	f.c.Check(f.ready(id), qt.Equals, want, note)
	if !want {
		f.c.Check(strings.Contains(body, `"run":"no"`), qt.IsTrue, note)
	}
}

// join lists daemons and checks that they are members like the others, and that
// no more than two of a data centre watched the platform before.
func (f *fleet) join(ids []string) {
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
	time.Sleep(settle)
	f.change("b")
	f.reach(2, quick)
	for _, id := range ids {
		f.serves(id, true)
	}
	f.c.Check(f.daemons["n2"].Kernel.Snapshot().Members, qt.HasLen, 6+len(ids))
}
