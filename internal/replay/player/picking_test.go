package player

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
)

// TestPicking compares ways of picking an endpoint on the committed traces.
func TestPicking(t *testing.T) {
	large := sr.VersionRef{Model: "large", Version: "v1"}
	ways := []Picking{
		{},
		{Load: true},
		{Prefix: true},
		{Load: true, Prefix: true},
		{Load: true, Prefix: true, Events: true, EventLag: time.Second},
		{Load: true, Prefix: true, Events: true, EventLag: 10 * time.Second, Gap: 3},
		{Load: true, Stale: 30 * time.Second},
		{Load: true, Prefix: true, Stale: 30 * time.Second},
	}
	names := []string{"random", "load only", "prefix only", "own sends", "events", "events late with gaps", "load only, stale", "own sends, stale"}
	for _, trace := range []string{"counter", "dossier"} {
		_, recorded := load(t, trace)
		got := make([]PickingResult, len(ways))
		for i, w := range ways {
			w.Trace, w.Version, w.Seed = recorded, large, 1
			got[i] = w.Play()
			t.Logf("%s, %s: %+v", trace, names[i], got[i])
		}
		loadOnly, prefixOnly, both, events := got[1], got[2], got[3], got[4]
		qt.Check(t, both.Hit > loadOnly.Hit, qt.IsTrue)
		qt.Check(t, both.P50 <= loadOnly.P50, qt.IsTrue)
		qt.Check(t, both.P95 <= prefixOnly.P95, qt.IsTrue)
		qt.Check(t, events.P95 <= prefixOnly.P95, qt.IsTrue)
		qt.Check(t, got[7].Crowd < 0.75, qt.IsTrue, qt.Commentf("herding on a stale report"))
	}
}
