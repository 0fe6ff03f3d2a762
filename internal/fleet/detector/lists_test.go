package detector

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

// drawList draws a sorted VM list of data centre x.
func drawList(t *rapid.T, label string) []samphireturn.VM {
	ids := rapid.SliceOfDistinct(rapid.IntRange(10, 40), rapid.ID).Draw(t, label)
	slices.Sort(ids)
	var list []samphireturn.VM
	for _, id := range ids {
		leaving := rapid.Bool().Draw(t, label+" leaving")
		list = append(list, samphireturn.VM{ID: fmt.Sprint(id), Role: samphireturn.RoleEngine, Centre: "x", Leaving: leaving})
	}
	return list
}

// TestDifferenceRestoresList checks that the difference of two lists turns the
// first into the second.
func TestDifferenceRestoresList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Detector{self: samphireturn.VM{ID: "a", Centre: "x"}}
		from, to := drawList(t, "from"), drawList(t, "to")
		got := d.normalize(applyDiff(from, diff(from, to)))
		if !slices.Equal(got, to) {
			t.Fatalf("got %v, want %v", got, to)
		}
	})
}

// TestChangesOnly checks that a change of one VM is sent without the rest of
// the list.
func TestChangesOnly(t *testing.T) {
	run(t, func(c *qt.C, ff *fakeFleet) {
		ff.change(func() {
			for i := range 300 {
				ff.vms = append(ff.vms, samphireturn.VM{ID: fmt.Sprintf("x%03d", i), Role: samphireturn.RoleEngine, Centre: "x"})
			}
		}, 3*time.Second)
		ff.mu.Lock()
		ff.largestMessage = 0
		ff.mu.Unlock()
		ff.change(func() { ff.vms[len(ff.vms)-1].Leaving = true }, 3*time.Second)
		for _, id := range []string{"a", "b", "c", "d"} {
			d := ff.daemons[id]
			d.Detector.mu.Lock()
			list := d.list
			d.Detector.mu.Unlock()
			i, _ := slices.BinarySearchFunc(list, "x299", compare)
			c.Check(list[i].Leaving, qt.IsTrue, qt.Commentf("daemon %s", id))
		}
		ff.mu.Lock()
		defer ff.mu.Unlock()
		c.Check(ff.largestMessage < 1000, qt.IsTrue, qt.Commentf("largest message %d bytes", ff.largestMessage))
	})
}

// TestServingAfterSilence checks that a data centre whose announcement has
// expired counts again at the next one, although it serves the same versions as
// before.
func TestServingAfterSilence(t *testing.T) {
	run(t, func(c *qt.C, ff *fakeFleet) {
		d := ff.daemons["a"]
		v := samphireturn.VersionRef{Model: "m", Version: "1"}
		announce := func() {
			body, err := encoder.Marshal(ServedVersions{Centre: "q", Versions: []samphireturn.VersionRef{v}, Local: true})
			c.Assert(err, qt.IsNil)
			_, err = d.handlers[TopicServing](context.Background(), "q1", body)
			c.Assert(err, qt.IsNil)
			synctest.Wait()
		}
		isKnown := func() bool { return slices.Contains(d.Snapshot().RemoteCentres[v], "q") }
		announce()
		c.Check(isKnown(), qt.IsTrue)
		time.Sleep(30 * time.Second)
		c.Check(isKnown(), qt.IsFalse)
		announce()
		c.Check(isKnown(), qt.IsTrue)
	})
}
