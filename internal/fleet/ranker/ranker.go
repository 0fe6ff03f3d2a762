// Package ranker orders daemons by rendezvous hashing, those on larger VMs first.
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

// score is a member's place in the order for a name: the VM with the most cores ranks
// first, and among equal ones the highest hash.
type score struct {
	id    string
	cores float64
	hash  uint64
}

func scoreOf(name string, vm *samphireturn.VM) score {
	return score{id: vm.ID, cores: vm.Cores, hash: hash(name, vm.ID)}
}

// Rank returns the ids of members in their order for name, the first choice
// first.
func Rank(name string, members []samphireturn.VM) []string {
	scores := make([]score, len(members))
	for i := range members {
		scores[i] = scoreOf(name, &members[i])
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
	at := slices.IndexFunc(members, func(vm samphireturn.VM) bool { return vm.ID == id })
	if at < 0 {
		return false
	}
	own, better := scoreOf(name, &members[at]), 0
	for i := range members {
		if compare(scoreOf(name, &members[i]), own) < 0 {
			better++
		}
		if better >= n {
			return false
		}
	}
	return true
}

// Home returns the id of the member that ranks first for name, or "" if there
// are no members.
func Home(name string, members []samphireturn.VM) string {
	var best score
	for i := range members {
		s := scoreOf(name, &members[i])
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

// compare orders scores by descending cores and hash, then by id.
func compare(a, b score) int {
	if c := cmp.Compare(b.cores, a.cores); c != 0 {
		return c
	}
	if c := cmp.Compare(b.hash, a.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

func hash(name, id string) uint64 {
	return xxhash.Sum64String(name + "\x00" + id)
}
