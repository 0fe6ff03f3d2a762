package follower

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
)

// treeControl and treePeers place a daemon in a fleet whose daemons are all linked.
type (
	treeControl struct{ members []samphireturn.VM }
	treePeers   struct {
		samphireturn.Peers
		ids []string
	}
)

func (treeControl) Post(samphireturn.Event) {}

func (c treeControl) Snapshot() *samphireturn.Snapshot {
	return &samphireturn.Snapshot{Members: c.members}
}

func (p treePeers) Connected() []string { return p.ids }

// TestTree checks the daemons that each daemon follows in fleets of several sizes: each
// data centre has one root, no daemon has more followers than it can serve, the depth
// grows with the logarithm, and the daemons on larger VMs have the followers (pattern:
// one daemon of 0.2 cores polled by 58 others).
func TestTree(t *testing.T) {
	tests := []struct{ centres, perCentre, large int }{
		{3, 3, 0}, {4, 17, 2}, {5, 59, 3}, {19, 23, 3}, {5, 88, 3},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d of %d", test.centres, test.perCentre), func(t *testing.T) {
			c := qt.New(t)
			var members []samphireturn.VM
			for i := range test.centres * test.perCentre {
				vm := samphireturn.VM{ID: fmt.Sprint("d", i), Centre: fmt.Sprint("c", i%test.centres), Cores: 0.2}
				if i/test.centres < test.large {
					vm.Cores = 0.8
				}
				members = append(members, vm)
			}
			parents, followers := make(map[string]string), make(map[string]int)
			for _, vm := range members {
				f := New(nil, treeControl{members}, func() time.Duration { return time.Hour }, zerolog.Nop())
				f.Self = vm
				ids := make([]string, 0, len(members))
				for _, m := range members {
					if m.Centre == vm.Centre && m.ID != vm.ID {
						ids = append(ids, m.ID)
					}
				}
				f.Peers = treePeers{ids: ids}
				parents[vm.ID] = f.leader()
				followers[f.leader()]++
			}
			c.Check(followers[""], qt.Equals, 1)
			maxDepth := 2 + int(math.Ceil(math.Log(float64(test.perCentre))/math.Log(maxFollowers)))
			for _, vm := range members {
				depth := 0
				for id := vm.ID; id != ""; id = parents[id] {
					depth++
					c.Assert(depth <= maxDepth, qt.IsTrue, qt.Commentf("daemon %s", vm.ID))
				}
				c.Check(followers[vm.ID] <= maxFollowers+test.centres-1, qt.IsTrue)
			}
			root := slices.IndexFunc(members, func(vm samphireturn.VM) bool { return parents[vm.ID] == "" })
			c.Check(test.large == 0 || members[root].Cores == 0.8, qt.IsTrue)
		})
	}
}
