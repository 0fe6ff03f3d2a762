package detector

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

// TestFaultLeavingRefusal checks that an endpoint that refuses a request
// because it is leaving is removed from its pool at once, before the list or
// its report says so.
func TestFaultLeavingRefusal(t *testing.T) {
	tests := []struct {
		code string
		left int
	}{{codeLeaving, 1}, {"overloaded", 2}}
	for _, tt := range tests {
		t.Run(tt.code, func(t *testing.T) {
			run(t, func(c *qt.C, ff *fakeFleet) {
				d := ff.daemons["a"]
				e := d.Snapshot().Endpoints["e"]
				d.ObserveAttempt(e, version, 0, &dispatcher.Error{Kind: dispatcher.KindRefused, Code: tt.code})
				c.Check(d.Snapshot().Pools[version], qt.HasLen, tt.left)
			})
		})
	}
}

// TestFaultCentreOutAtOnce checks that the snapshot with a configuration that
// takes a data centre out of service holds none of its endpoints in the pools.
func TestFaultCentreOutAtOnce(t *testing.T) {
	run(t, func(c *qt.C, ff *fakeFleet) {
		for _, id := range []string{"a", "z"} {
			d := ff.daemons[id]
			old := d.Snapshot()
			next := *old
			next.Config = &samphireturn.Config{Centres: []samphireturn.Centre{{Name: "x", OutOfService: true}}}
			d.Derive(old, &next)
			c.Check(next.Pools[version], qt.HasLen, 0)
			c.Check(next.Services["shop"], qt.HasLen, 0)
			c.Check(next.RemoteCentres[version], qt.HasLen, 0)
			back := next
			back.Config = old.Config
			d.Derive(&next, &back)
			c.Check(back.Pools[version], qt.HasLen, len(old.Pools[version]))
			c.Check(back.RemoteCentres[version], qt.DeepEquals, old.RemoteCentres[version])
		}
	})
}
