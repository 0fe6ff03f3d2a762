package player

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
)

// TestPicking compares the endpoint picker with and without load reports, cached
// prefixes and cache events on the committed traces, and checks that stale load
// reports cause no herding.
func TestPicking(t *testing.T) {
	large := sr.VersionRef{Model: "large", Version: "v1"}
	replays := []PickerReplay{
		{},
		{UseLoad: true},
		{UsePrefixes: true},
		{UseLoad: true, UsePrefixes: true},
		{UseLoad: true, UsePrefixes: true, UseCacheEvents: true, EventLag: time.Second},
		{UseLoad: true, UsePrefixes: true, UseCacheEvents: true, EventLag: 10 * time.Second, DropEvery: 3},
		{UseLoad: true, ExtraLoadLag: 30 * time.Second},
		{UseLoad: true, UsePrefixes: true, ExtraLoadLag: 30 * time.Second},
	}
	names := []string{"neither load nor prefixes", "load", "prefixes", "load and prefixes", "load, prefixes and events", "load, prefixes and late events with gaps", "stale load", "stale load and prefixes"}
	for _, trace := range []string{"counter", "dossier"} {
		_, recorded := loadTrace(t, trace)
		got := make([]PickerResult, len(replays))
		for i, w := range replays {
			w.Trace, w.Version, w.Seed = recorded, large, 1
			got[i] = w.Play()
			t.Logf("%s, %s: %+v", trace, names[i], got[i])
		}
		loadOnly, prefixOnly, both, events := got[1], got[2], got[3], got[4]
		qt.Check(t, both.CacheHitShare > loadOnly.CacheHitShare, qt.IsTrue)
		qt.Check(t, both.P50 <= loadOnly.P50, qt.IsTrue)
		qt.Check(t, both.P95 <= prefixOnly.P95, qt.IsTrue)
		qt.Check(t, events.P95 <= prefixOnly.P95, qt.IsTrue)
		qt.Check(t, got[7].MeanTopShare < 0.75, qt.IsTrue, qt.Commentf("picks herd on a stale load report"))
	}
}
