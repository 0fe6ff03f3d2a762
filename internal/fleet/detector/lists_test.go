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

func TestDifferenceRestoresList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Detector{self: samphireturn.VM{ID: "a", Centre: "x"}}
		from, to := drawList(t, "from"), drawList(t, "to")
		got := d.relevant(changed(from, difference(from, to)))
		if !slices.Equal(got, to) {
			t.Fatalf("got %v, want %v", got, to)
		}
	})
}

// TestChangesOnly checks that a change of one VM is passed on without the rest
// of the list.
func TestChangesOnly(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		w.change(func() {
			for i := range 300 {
				w.vms = append(w.vms, samphireturn.VM{ID: fmt.Sprintf("x%03d", i), Role: samphireturn.RoleEngine, Centre: "x"})
			}
		}, 3*time.Second)
		w.mu.Lock()
		w.largest = 0
		w.mu.Unlock()
		w.change(func() { w.vms[len(w.vms)-1].Leaving = true }, 3*time.Second)
		for _, id := range []string{"a", "b", "c", "d"} {
			d := w.daemons[id]
			d.Detector.mu.Lock()
			list := d.list
			d.Detector.mu.Unlock()
			i, _ := slices.BinarySearchFunc(list, "x299", compare)
			c.Check(list[i].Leaving, qt.IsTrue, qt.Commentf("daemon %s", id))
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		c.Check(w.largest < 1000, qt.IsTrue, qt.Commentf("largest message %d bytes", w.largest))
	})
}

// TestServingAfterSilence checks that a data centre that is heard of again after
// it was forgotten counts at once, though it serves what it served before.
func TestServingAfterSilence(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		d := w.daemons["a"]
		v := samphireturn.VersionRef{Model: "m", Version: "1"}
		tell := func() {
			body, err := encoder.Marshal(Serving{Centre: "q", Versions: []samphireturn.VersionRef{v}, Local: true})
			c.Assert(err, qt.IsNil)
			_, err = d.handlers[TopicServing](context.Background(), "q1", body)
			c.Assert(err, qt.IsNil)
			synctest.Wait()
		}
		known := func() bool { return slices.Contains(d.Snapshot().RemoteCentres[v], "q") }
		tell()
		c.Check(known(), qt.IsTrue)
		time.Sleep(30 * time.Second)
		c.Check(known(), qt.IsFalse)
		tell()
		c.Check(known(), qt.IsTrue)
	})
}
