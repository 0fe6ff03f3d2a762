// Package ranker orders daemons by rendezvous hashing.
//
// All daemons with the same member list compute the same order. Adding or
// removing a member changes the first choice only for the names that rank that
// member first.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// score is a member's hash for a name; the highest hash ranks first.
type score struct {
	id   string
	hash uint64
}

// Rank returns the ids of members in their order for name, the first choice
// first.
func Rank(name string, members []samphireturn.VM) []string {
	scores := make([]score, len(members))
	for i := range members {
		scores[i] = score{id: members[i].ID, hash: hash(name, members[i].ID)}
	}
	slices.SortFunc(scores, compare)
	ids := make([]string, len(scores))
	for i, s := range scores {
		ids[i] = s.id
	}
	return ids
}

// InTop reports whether the member with the given id is among the first n of the
// order for name.
func InTop(name string, members []samphireturn.VM, id string, n int) bool {
	own := score{id: id, hash: hash(name, id)}
	listed, better := false, 0
	for i := range members {
		other := score{id: members[i].ID, hash: hash(name, members[i].ID)}
		listed = listed || other.id == id
		if compare(other, own) < 0 {
			better++
		}
		if better >= n {
			return false
		}
	}
	return listed
}

// Home returns the id of the member that ranks first for name, or "" if there
// are no members.
func Home(name string, members []samphireturn.VM) string {
	var best score
	for i := range members {
		s := score{id: members[i].ID, hash: hash(name, members[i].ID)}
		if i == 0 || compare(s, best) < 0 {
			best = s
		}
	}
	return best.id
}

// InCentre returns the members in the given data centre, in the order of members.
func InCentre(centre string, members []samphireturn.VM) []samphireturn.VM {
	var found []samphireturn.VM
	for _, m := range members {
		if m.Centre == centre {
			found = append(found, m)
		}
	}
	return found
}

// compare orders scores by descending hash, then by id.
func compare(a, b score) int {
	if c := cmp.Compare(b.hash, a.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

func hash(name, id string) uint64 {
	return xxhash.Sum64String(name + "\x00" + id)
}
