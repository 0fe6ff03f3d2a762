package matcher_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/matcher"
)

// TestRoute checks that the longest matching prefix of the request's host wins, and
// that the host's port and case do not matter.
func TestRoute(t *testing.T) {
	c := qt.New(t)
	m := matcher.New(&samphireturn.Table{Routes: []samphireturn.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x/yy", "short"},
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/", ""},
	}
	for _, test := range tests {
		got := ""
		if r := m.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

// TestTeam checks that each key of a team finds it, and that an unknown or empty key
// finds none.
func TestTeam(t *testing.T) {
	c := qt.New(t)
	m := matcher.New(&samphireturn.Table{Teams: []samphireturn.TeamCredentials{
		{Name: "alpha", Keys: []string{"k1", "k2"}}, {Name: "beta", Keys: []string{"k3"}},
	}})
	for key, want := range map[string]string{"k1": "alpha", "k2": "alpha", "k3": "beta", "k4": "", "": ""} {
		got := ""
		if h := m.Team(key); h != nil {
			got = h.Name
		}
		c.Check(got, qt.Equals, want, qt.Commentf("key %q", key))
	}
}

// TestPickPool checks that affinity keys are split by weight, and that one key always
// goes to one pool.
func TestPickPool(t *testing.T) {
	c := qt.New(t)
	m := matcher.New(&samphireturn.Table{Pools: []samphireturn.Pool{{Name: "a"}, {Name: "b"}}})
	r := &samphireturn.Route{Targets: []samphireturn.Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	n := 0
	for i := range 1000 {
		affinityKey := fmt.Sprint("s", i)
		first := m.PickPool(r, affinityKey)
		c.Check(m.PickPool(r, affinityKey), qt.Equals, first)
		if first.Name == "b" {
			n++
		}
	}
	c.Check(n > 60 && n < 140, qt.IsTrue, qt.Commentf("%d of 1000", n))
	c.Check(m.PickPool(&samphireturn.Route{Targets: []samphireturn.Target{{Pool: "c", Weight: 1}}}, "s"), qt.IsNil)
}
