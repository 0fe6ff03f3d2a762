package ranker

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// TestRank checks that a member that is removed moves only the names that rank it first,
// each to its second choice, and that it is first for about a quarter of the names.
func TestRank(t *testing.T) {
	c := qt.New(t)
	members := []samphireturn.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	moved := 0
	for i := range 400 {
		name := fmt.Sprint("name-", i)
		ids := Rank(name, members)
		c.Assert(ids, qt.HasLen, 4)
		c.Assert(Home(name, members), qt.Equals, ids[0])
		after := Home(name, members[:3])
		if ids[0] != "d" {
			c.Assert(after, qt.Equals, ids[0])
			continue
		}
		c.Assert(after, qt.Equals, ids[1])
		moved++
	}
	c.Assert(moved > 60 && moved < 140, qt.IsTrue)
	c.Assert(Home("x", nil), qt.Equals, "")
}

// TestInTop checks that InTop agrees with Rank.
func TestInTop(t *testing.T) {
	c := qt.New(t)
	var members []samphireturn.VM
	for i := range 20 {
		members = append(members, samphireturn.VM{ID: string(rune('a' + i))})
	}
	for n := range 22 {
		ranked := Rank("name", members)
		for i, id := range ranked {
			c.Check(InTop("name", members, id, n), qt.Equals, i < n)
		}
		c.Check(InTop("name", members, "other", n), qt.IsFalse)
	}
}
