package detector

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

// TestFaultLeavingRefusal checks that an endpoint's refusal takes it out at once,
// before list or report say so.
func TestFaultLeavingRefusal(t *testing.T) {
	tests := []struct {
		code string
		left int
	}{{codeLeaving, 1}, {"overloaded", 2}}
	for _, tt := range tests {
		t.Run(tt.code, func(t *testing.T) {
			run(t, func(c *qt.C, w *world) {
				d := w.daemons["a"]
				e := d.Snapshot().Endpoints["e"]
				d.Sent(e, version, 0, &dispatcher.Error{Kind: dispatcher.KindRefused, Code: tt.code})
				c.Check(d.Snapshot().Pools[version], qt.HasLen, tt.left)
			})
		})
	}
}

// TestFaultCentreOutAtOnce checks that the snapshot of a configuration that
// takes a data centre out has none of its endpoints.
func TestFaultCentreOutAtOnce(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		for _, id := range []string{"a", "z"} {
			d := w.daemons[id]
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
