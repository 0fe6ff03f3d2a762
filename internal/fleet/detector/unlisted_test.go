package detector

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
)

// TestFaultAcceptKeepsEndpoints checks that a peer's daemons replace those of a
// list that was read from the platform, but not its endpoints.
func TestFaultAcceptKeepsEndpoints(t *testing.T) {
	c := qt.New(t)
	entry := func(id string) samphireturn.VM {
		return samphireturn.VM{ID: id, Role: samphireturn.RoleEntry, Centre: "x"}
	}
	engine := samphireturn.VM{ID: "e", Role: samphireturn.RoleEngine, Centre: "x"}
	tests := []struct {
		name             string
		have, take, want []samphireturn.VM
	}{
		{"listed now", []samphireturn.VM{entry("a"), engine}, []samphireturn.VM{entry("a"), entry("n")}, []samphireturn.VM{entry("a"), engine, entry("n")}},
		{"another daemon", []samphireturn.VM{entry("a"), engine}, []samphireturn.VM{entry("b")}, []samphireturn.VM{entry("b"), engine}},
		{"listed before", []samphireturn.VM{entry("a"), entry("n")}, []samphireturn.VM{entry("a")}, []samphireturn.VM{entry("a"), entry("n")}},
		{"a peer's endpoints", nil, []samphireturn.VM{entry("a"), engine}, []samphireturn.VM{entry("a")}},
	}
	for _, tt := range tests {
		d := New(entry("n"), zerolog.Nop())
		own := &daemon{fleet: &fakeFleet{}, self: entry("n")}
		d.Links, d.Control = own, own
		d.list = tt.have
		d.records["e"] = &record{}
		d.applyPeerDaemons(tt.take)
		c.Check(d.list, qt.DeepEquals, tt.want, qt.Commentf("%s", tt.name))
		c.Check(d.records["e"], qt.IsNotNil)
	}
}
