package picker

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	sr "samphireturn"
)

const second = int64(time.Second)

// newSnapshot returns a snapshot with n warm endpoints of m@v1 in this data centre.
func newSnapshot(n int) *sr.Snapshot {
	v1 := sr.VersionRef{Model: "m", Version: "v1"}
	s := &sr.Snapshot{
		Config: &sr.Config{
			Centres:  []sr.Centre{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d", OutOfService: true}},
			Models:   []sr.Model{{Name: "m", Versions: []sr.Version{{Name: "v1", State: sr.VersionLive, Share: 1}}}},
			Services: []sr.Service{{Name: "tickets"}, {Name: "other"}},
			Teams:    []sr.Team{{Name: "t", Models: []string{"m"}, Services: []string{"tickets"}}},
		},
		Self:          sr.VM{ID: "me", Centre: "a"},
		Endpoints:     map[string]*sr.Endpoint{},
		Pools:         map[sr.VersionRef][]*sr.Endpoint{},
		Services:      map[string][]*sr.Endpoint{},
		RemoteCentres: map[sr.VersionRef][]string{v1: {"b", "c", "d"}},
	}
	for i := range n {
		e := &sr.Endpoint{VM: sr.VM{ID: fmt.Sprint("e", i), Centre: "a"}, Versions: []sr.VersionRef{v1}, Warm: true, Throughput: 100, Quota: &sr.Quota{}}
		e.Quota.Allowed.Store(1000)
		e.Quota.Expires.Store(2 * second)
		s.Endpoints[e.ID] = e
		s.Pools[v1] = append(s.Pools[v1], e)
	}
	s.Services["tickets"] = s.Pools[v1]
	return s
}

func newPicker(seed uint64) *Picker {
	src := rand.New(rand.NewPCG(seed, 1))
	return &Picker{Rand: src.Uint64, Now: func() int64 { return second }, Prefixes: &Prefixes{}}
}

func kindOf(err error) Kind {
	var e *Error
	if !errors.As(err, &e) {
		return -1
	}
	return e.Kind
}

// TestVersionTable checks the version, or the error, for each combination of a pinned
// version, a session, a held version and the team's permissions.
func TestVersionTable(t *testing.T) {
	cfg := &sr.Config{
		Models: []sr.Model{{Name: "m", Versions: []sr.Version{
			{Name: "v1", State: sr.VersionWithdrawn, Successor: "v2"},
			{Name: "v2", State: sr.VersionWithdrawn, Successor: "v3"},
			{Name: "v3", State: sr.VersionLive, Share: 1},
			{Name: "v4", State: sr.VersionLive},
			{Name: "v5", State: sr.VersionLive},
		}}},
		Teams: []sr.Team{{Name: "all", Models: []string{"m"}}, {Name: "one", Models: []string{"m@v4"}}, {Name: "gone", Models: []string{"m@v1"}}},
	}
	tests := []struct {
		name, team, model, session, owner, held, want string
		kind                                          Kind
	}{
		{name: "new session", team: "all", model: "m", want: "v3", kind: -1},
		{name: "session keeps its version", team: "all", model: "m", session: "v4", want: "v4", kind: -1},
		{name: "session keeps a held version", team: "all", model: "m", session: "v4", held: "v4", want: "v4", kind: -1},
		{name: "session on a withdrawn version", team: "all", model: "m", session: "v1", want: "v3", kind: -1},
		{name: "session of another team", team: "all", model: "m", session: "v4", owner: "one", want: "v3", kind: -1},
		{name: "pinned version whose session has moved", team: "all", model: "m@v1", session: "v3", want: "v3", kind: -1},
		{name: "pinned withdrawn", team: "all", model: "m@v1", kind: KindUnavailable},
		{name: "pinned held", team: "all", model: "m@v4", held: "v4", kind: KindUnavailable},
		{name: "pinned held with a session elsewhere", team: "all", model: "m@v4", session: "v5", held: "v4", kind: KindUnavailable},
		{name: "pinned version overrides session", team: "all", model: "m@v4", session: "v5", want: "v4", kind: -1},
		{name: "only version of the team", team: "one", model: "m", want: "v4", kind: -1},
		{name: "session that the team may not use", team: "one", model: "m", session: "v3", want: "v4", kind: -1},
		{name: "only version held", team: "one", model: "m", held: "v4", kind: KindUnavailable},
		{name: "only version withdrawn", team: "gone", model: "m", kind: KindUnavailable},
		{name: "pinned not allowed", team: "one", model: "m@v3", kind: KindForbidden},
		{name: "unknown team", team: "x", model: "m", kind: KindForbidden},
		{name: "unknown model", team: "all", model: "x", kind: KindUnknown},
		{name: "unknown version", team: "all", model: "m@x", kind: KindUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := &sr.Snapshot{Config: cfg, HeldVersions: map[sr.VersionRef]bool{{Model: "m", Version: tt.held}: true}}
			r := &sr.Request{ID: "r", Team: tt.team}
			if tt.session != "" {
				r.Session = &sr.Session{ID: "s", Team: cmp.Or(tt.owner, tt.team), Model: "m", Version: tt.session}
			}
			v, err := newPicker(1).Version(s, r, tt.model)
			c.Assert(kindOf(err), qt.Equals, tt.kind)
			c.Assert(v.Version, qt.Equals, tt.want)
		})
	}
}

// TestVersionProperties guards against daemons that choose different versions for one
// request, and against choosing a withdrawn or forbidden version, placing a new session
// on a held one, or moving a session without need.
func TestVersionProperties(t *testing.T) {
	states := []string{sr.VersionLive, sr.VersionCanary, sr.VersionWithdrawn}
	oneInFour := rapid.SampledFrom([]bool{false, false, false, true})
	rapid.Check(t, func(t *rapid.T) {
		m := sr.Model{Name: "m"}
		team := sr.Team{Name: "t"}
		s := &sr.Snapshot{HeldVersions: map[sr.VersionRef]bool{}}
		for i := range rapid.IntRange(1, 6).Draw(t, "versions") {
			v := sr.Version{Name: fmt.Sprint("v", i), State: rapid.SampledFrom(states).Draw(t, "state")}
			v.Share = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "share")
			v.Successor = fmt.Sprint("v", rapid.IntRange(0, 6).Draw(t, "successor"))
			m.Versions = append(m.Versions, v)
			if !oneInFour.Draw(t, "forbidden") {
				team.Models = append(team.Models, "m@"+v.Name)
			}
			s.HeldVersions[sr.VersionRef{Model: "m", Version: v.Name}] = oneInFour.Draw(t, "held")
		}
		s.Config = &sr.Config{Models: []sr.Model{m}, Teams: []sr.Team{team}}
		r := &sr.Request{ID: rapid.String().Draw(t, "id"), Team: "t"}
		if rapid.Bool().Draw(t, "session") {
			r.Session = &sr.Session{ID: "s", Team: "t", Model: "m", Version: fmt.Sprint("v", rapid.IntRange(0, 6).Draw(t, "on"))}
		}
		got, err := newPicker(1).Version(s, r, "m")
		other := *s
		other.Self = sr.VM{ID: "other", Centre: "z"}
		again, errAgain := newPicker(2).Version(&other, r, "m")
		if got != again || (err == nil) != (errAgain == nil) {
			t.Fatalf("daemons differ: %v and %v", got, again)
		}
		if err != nil {
			return
		}
		if v := findVersion(&m, got.Version); v.State == sr.VersionWithdrawn || !allows(&team, "m", got.Version) {
			t.Fatalf("picked %v, allowed %v, state %s", got, team.Models, v.State)
		}
		if r.Session == nil && s.HeldVersions[got] {
			t.Fatalf("new session on held %v", got)
		}
		if r.Session != nil && r.Session.Version != got.Version {
			old := findVersion(&m, r.Session.Version)
			if old != nil && old.State != sr.VersionWithdrawn && allows(&team, "m", old.Name) {
				t.Fatalf("session moved from %s to %v", old.Name, got)
			}
		}
	})
}

// TestShares checks that new sessions are spread by the versions' shares, and that the
// share of a held live version falls to the other live one, not to the canary.
func TestShares(t *testing.T) {
	c := qt.New(t)
	s := &sr.Snapshot{Config: &sr.Config{
		Models: []sr.Model{{Name: "m", Versions: []sr.Version{
			{Name: "v1", State: sr.VersionLive, Share: 0.6}, {Name: "v2", State: sr.VersionLive, Share: 0.3}, {Name: "v3", State: sr.VersionCanary, Share: 0.1},
		}}},
		Teams: []sr.Team{{Name: "t", Models: []string{"m"}}},
	}}
	count := func() map[string]int {
		n := map[string]int{}
		for i := range 10000 {
			v, err := newPicker(1).Version(s, &sr.Request{ID: fmt.Sprint(i), Team: "t"}, "m")
			c.Assert(err, qt.IsNil)
			n[v.Version]++
		}
		return n
	}
	checkNear := func(got, want int) {
		c.Check(got > want-200 && got < want+200, qt.IsTrue, qt.Commentf("%d, want %d", got, want))
	}
	n := count()
	checkNear(n["v1"], 6000)
	checkNear(n["v2"], 3000)
	checkNear(n["v3"], 1000)
	s.HeldVersions = map[sr.VersionRef]bool{{Model: "m", Version: "v1"}: true}
	n = count()
	checkNear(n["v2"], 9000)
	checkNear(n["v3"], 1000)
}

// TestEndpointIneligible guards against choosing an ineligible endpoint, even if it is
// the session's last one and caches the prompt. Only e17 is eligible, or none if the
// data centre is out of service.
func TestEndpointIneligible(t *testing.T) {
	tests := []struct {
		name    string
		disable func(s *sr.Snapshot, e *sr.Endpoint)
	}{
		{"leaving", func(_ *sr.Snapshot, e *sr.Endpoint) { e.Leaving = true }},
		{"warming up with another home", func(_ *sr.Snapshot, e *sr.Endpoint) { e.Warm, e.Home = false, "you" }},
		{"quota expired", func(_ *sr.Snapshot, e *sr.Endpoint) { e.Quota.Expires.Store(second) }},
		{"quota used up", func(_ *sr.Snapshot, e *sr.Endpoint) { e.Quota.Outstanding.Store(981) }},
		{"no quota", func(_ *sr.Snapshot, e *sr.Endpoint) { e.Quota = nil }},
		{"data centre out of service", func(s *sr.Snapshot, _ *sr.Endpoint) { s.Config.Centres[0].OutOfService = true }},
	}
	v := sr.VersionRef{Model: "m", Version: "v1"}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSnapshot(40)
			p := newPicker(7)
			p.Prefixes.Add("e3", 9)
			r := &sr.Request{Team: "t", PromptTokens: 10, OutputTokens: 10, Prefixes: []uint64{9}, Session: &sr.Session{Endpoint: "e3"}}
			for _, e := range s.Pools[v] {
				if e.ID != "e17" || tt.name == "data centre out of service" {
					tt.disable(s, e)
				}
			}
			for range 50 {
				e, err := p.Endpoint(s, r, v, nil)
				if tt.name == "data centre out of service" {
					c.Assert(kindOf(err), qt.Equals, KindUnavailable)
					continue
				}
				c.Assert(err, qt.IsNil)
				c.Assert(e.ID, qt.Equals, "e17")
			}
			_, err := p.Endpoint(s, r, v, []string{"e17"})
			c.Assert(kindOf(err), qt.Equals, KindUnavailable)
			if tt.name != "quota used up" {
				_, err = p.Service(s, "tickets", []string{"e17"})
				c.Assert(kindOf(err), qt.Equals, KindUnavailable)
			}
		})
	}
}

// TestEndpointEstimate checks how cached prefixes, work in flight and the session's last
// endpoint decide between endpoints of the same throughput.
func TestEndpointEstimate(t *testing.T) {
	c := qt.New(t)
	v := sr.VersionRef{Model: "m", Version: "v1"}
	s := newSnapshot(100)
	p := newPicker(3)
	r := &sr.Request{PromptTokens: 400, OutputTokens: 10, Prefixes: []uint64{11, 12, 13}, Session: &sr.Session{}}
	p.Prefixes.Add("e5", 11)
	p.Prefixes.Add("e6", 11, 12, 13)
	pick := func() string {
		e, err := p.Endpoint(s, r, v, nil)
		c.Assert(err, qt.IsNil)
		return e.ID
	}
	c.Assert(pick(), qt.Equals, "e6", qt.Commentf("longest prefix"))
	s.Endpoints["e6"].Quota.Outstanding.Store(500)
	c.Assert(pick(), qt.Not(qt.Equals), "e6", qt.Commentf("a loaded endpoint costs more than its cached prefix saves"))
	s.Endpoints["e6"].Quota.Outstanding.Store(0)
	p.Prefixes.Remove("e6", 13)
	p.Prefixes.RemoveEndpoint("e5")
	c.Assert(pick(), qt.Equals, "e6")
	p.Prefixes.Now = func() time.Time { return time.Now().Add(defaultTTL + time.Minute) }
	c.Assert(p.Prefixes.CachedBytes("e6", r.Prefixes), qt.Equals, 0, qt.Commentf("entries expire"))
	for _, e := range s.Pools[v] {
		e.Queued = 100
	}
	s.Endpoints["e42"].Queued = 0
	r.Session.Endpoint = "e42"
	c.Assert(pick(), qt.Equals, "e42", qt.Commentf("session's last endpoint"))
	s.Endpoints["e42"].Centre = "b"
	s.Pools[v] = slices.DeleteFunc(s.Pools[v], func(e *sr.Endpoint) bool { return e.ID == "e42" })
	c.Assert(pick(), qt.Not(qt.Equals), "e42", qt.Commentf("in another data centre"))
	s.Endpoints["e42"].Centre = "a"
	s.Endpoints["e42"].Versions = []sr.VersionRef{{Model: "m", Version: "v2"}}
	c.Assert(pick(), qt.Not(qt.Equals), "e42", qt.Commentf("serves another version now"))
}

// TestRemoteAndService checks the choice of another data centre, the permission to use a
// plain service and the choice of its endpoint.
func TestRemoteAndService(t *testing.T) {
	c := qt.New(t)
	v := sr.VersionRef{Model: "m", Version: "v1"}
	s := newSnapshot(3)
	p := newPicker(1)
	r := &sr.Request{Session: &sr.Session{ID: "s", Endpoint: "far"}}
	s.Endpoints["far"] = &sr.Endpoint{VM: sr.VM{ID: "far", Centre: "c"}}
	got, err := p.RemoteCentre(s, r, v, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "c")
	got, err = p.RemoteCentre(s, r, v, []string{"c"})
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "b")
	_, err = p.RemoteCentre(s, r, v, []string{"b", "c"})
	c.Assert(kindOf(err), qt.Equals, KindUnavailable)
	c.Assert(p.AuthorizeService(s, "t", "tickets"), qt.IsNil)
	c.Assert(kindOf(p.AuthorizeService(s, "t", "other")), qt.Equals, KindForbidden)
	c.Assert(kindOf(p.AuthorizeService(s, "t", "x")), qt.Equals, KindUnknown)
	s.Endpoints["e0"].Quota.Outstanding.Store(5)
	e, err := p.Service(s, "tickets", []string{"e1"})
	c.Assert(err, qt.IsNil)
	c.Assert(e.ID, qt.Equals, "e2")
}

// TestFaultStaleReport checks that daemons do not all choose the one endpoint of
// twelve whose report stays at an empty queue while it fills up.
func TestFaultStaleReport(t *testing.T) {
	const daemons, requests = 8, 60
	toStale := 0
	for d := range uint64(daemons) {
		s := newSnapshot(12)
		for _, e := range s.Endpoints {
			e.Quota.Allowed.Store(1 << 30)
			e.Queued = 100000
		}
		s.Endpoints["e0"].Queued = 0
		p := newPicker(d)
		r := &sr.Request{Team: "t", PromptTokens: 100, OutputTokens: 100}
		for range requests {
			e, err := p.Endpoint(s, r, sr.VersionRef{Model: "m", Version: "v1"}, nil)
			qt.Assert(t, err, qt.IsNil)
			e.Quota.Outstanding.Add(200)
			if e.ID == "e0" {
				toStale++
			}
		}
	}
	share := float64(toStale) / (daemons * requests)
	t.Logf("share of the endpoint with the stale report: %.2f", share)
	qt.Assert(t, share < 0.25, qt.IsTrue)
}

// BenchmarkDecide measures one decision. In the full pools one endpoint in ten, and
// at least one, has quota left.
func BenchmarkDecide(b *testing.B) {
	for _, full := range []bool{false, true} {
		for _, n := range []int{12, 630, 12000} {
			b.Run(fmt.Sprintf("full=%t/%d", full, n), func(b *testing.B) { benchmarkDecide(b, n, full) })
		}
	}
}

func benchmarkDecide(b *testing.B, n int, full bool) {
	s := newSnapshot(n)
	p := newPicker(1)
	r := &sr.Request{ID: "r", Team: "t", PromptTokens: 100, OutputTokens: 100, Prefixes: []uint64{1, 2, 3, 4}}
	r.Session = &sr.Session{ID: "s", Team: "t", Model: "m", Version: "v1", Endpoint: "e7"}
	p.Prefixes.Add("e3", 1, 2)
	if full {
		fillPool(s)
	}
	b.ReportAllocs()
	for b.Loop() {
		v, err := p.Version(s, r, "m")
		if err != nil {
			b.Fatal(err)
		}
		if _, err := p.Endpoint(s, r, v, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// fillPool leaves quota at every tenth endpoint.
func fillPool(s *sr.Snapshot) {
	for i, e := range s.Services["tickets"] {
		if i%10 != 5 || i > 9 && len(s.Endpoints) < 20 {
			e.Quota.Outstanding.Store(1000)
		}
	}
}

// TestDecideDoesNotAllocate guards against allocations in decisions, which every request
// would pay for.
func TestDecideDoesNotAllocate(t *testing.T) {
	for _, full := range []bool{false, true} {
		s := newSnapshot(630)
		p := newPicker(1)
		r := &sr.Request{ID: "r", Team: "t", PromptTokens: 100, OutputTokens: 100, Prefixes: []uint64{1, 2, 3, 4}}
		p.Prefixes.Add("e3", 1, 2)
		if full {
			fillPool(s)
		}
		n := testing.AllocsPerRun(100, func() {
			v, _ := p.Version(s, r, "m")
			_, _ = p.Endpoint(s, r, v, nil)
			_, _ = p.RemoteCentre(s, r, v, nil)
			_, _ = p.Service(s, "tickets", nil)
		})
		qt.Assert(t, n, qt.Equals, 0.0, qt.Commentf("full pools: %t", full))
	}
}
