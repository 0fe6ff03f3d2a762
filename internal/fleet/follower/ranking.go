package follower

import (
	"slices"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

// ranking is the order of the daemons of one member list. It must not be changed.
type ranking struct {
	members []samphireturn.VM
	// fleet holds the ids of all daemons, and centre those of this daemon's data centre,
	// in the order in which they watch the source.
	fleet, centre []string
	// centreRank is how many data centres rank before this daemon's.
	centreRank int
}

// ranking returns the order of the current members. It is kept as long as these are the
// same, since it is asked for many times a second.
func (f *Follower) ranking() *ranking {
	members := f.Control.Snapshot().Members
	if r := f.lastRanking.Load(); r != nil && sameSlice(r.members, members) {
		return r
	}
	r := &ranking{
		members:    members,
		fleet:      watchOrder(members),
		centre:     ranker.Rank("follow/"+f.Self.Centre, ranker.InCentre(f.Self.Centre, members)),
		centreRank: max(slices.Index(ranker.Rank("follow", centresOf(members)), f.Self.Centre), 0),
	}
	f.lastRanking.Store(r)
	return r
}

// sameSlice reports whether two member lists, which are never changed, are one.
func sameSlice(a, b []samphireturn.VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
