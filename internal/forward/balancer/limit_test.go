package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
)

// limitRun is a run of daemons that send to one endpoint with a limit as often as they may.
type limitRun struct {
	*cluster
	rate float64
	// arrivals holds when requests reached the endpoint.
	arrivals []time.Duration
}

// send has a daemon with a view of the members send a request, if it may, and get an answer
// that names the limit.
func (r *limitRun) send(b *balancer.Balancer, members []samphireturn.VM) {
	req := r.request("small", 100, "", 0)
	req.Members = members
	reservation := b.Pick(req)
	if reservation == nil {
		return
	}
	r.arrivals = append(r.arrivals, r.now)
	b.SetLimit(reservation.Host, r.rate)
	reservation.ObserveHead(samphireturn.ResponseMeta{HasSeal: true, HasLimit: true, Limit: r.rate})
	reservation.Done()
}

// exchange tells each daemon the limits that the others know.
func (r *limitRun) exchange() {
	for _, b := range r.daemons {
		told := make(balancer.Limits)
		for _, o := range r.daemons {
			if o != b {
				told.Add(o.LocalLimits(), 300*time.Millisecond)
			}
		}
		b.SetRemoteLimits(told)
	}
}

// most returns the largest number of arrivals in four seconds after the moment from.
func (r *limitRun) most(from time.Duration) int {
	most, first := 0, 0
	for i, at := range r.arrivals {
		for r.arrivals[first] < from || at-r.arrivals[first] > 4*time.Second {
			first++
			if first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitRate guards against daemons that together exceed the limit of an endpoint: in any
// four seconds no more than half again as many requests reach it, plus five, though each
// daemon would send far more, whether or not they hear from each other, and while their
// member lists differ. With news of each other they use at least half of it.
func TestLimitRate(t *testing.T) {
	const length = 60 * time.Second
	all := func(members []samphireturn.VM, _ int, _ time.Duration) []samphireturn.VM { return members }
	tests := []struct {
		name    string
		daemons int
		rate    float64
		centres []string
		// view returns the members that a daemon knows at a time since the start.
		view func(members []samphireturn.VM, daemon int, at time.Duration) []samphireturn.VM
		// silent is true if daemons don't hear from each other.
		silent bool
	}{
		{"one daemon", 1, 1, []string{"north"}, all, false},
		{"slow", 8, 0.2, []string{"north", "south"}, all, false},
		{"one a second", 8, 1, []string{"north", "south"}, all, false},
		{"one a second, single data centre", 8, 1, []string{"north"}, all, false},
		{"five a second", 8, 5, []string{"north", "south"}, all, false},
		{"fifty a second", 8, 50, []string{"north", "south"}, all, false},
		{"hundreds of daemons", 295, 1, []string{"north", "south", "east"}, all, false},
		{"hundreds of daemons, forty a second", 295, 40, []string{"north", "south", "east"}, all, false},
		{"without news", 8, 1, []string{"north", "south"}, all, true},
		{"without news, hundreds of daemons", 295, 1, []string{"north", "south", "east"}, all, true},
		{"a daemon that others don't know", 8, 1, []string{"north"}, func(members []samphireturn.VM, daemon int, _ time.Duration) []samphireturn.VM {
			if daemon == 0 {
				return members
			}
			return members[1:]
		}, false},
		{"members change, half of the daemons a second late", 8, 2, []string{"north", "south"}, func(members []samphireturn.VM, daemon int, at time.Duration) []samphireturn.VM {
			if daemon%2 == 0 {
				at -= time.Second
			}
			return members[max(0, int(at/(3*time.Second)))%len(members):]
		}, false},
		{"no members known", 8, 1, []string{"north"}, func([]samphireturn.VM, int, time.Duration) []samphireturn.VM { return nil }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			run := &limitRun{cluster: newCluster(test.daemons, 1, test.centres...), rate: test.rate}
			begin := run.now
			random := rand.New(rand.NewPCG(3, 4))
			for step := 0; run.now < begin+length; step++ {
				run.now += 2 * time.Millisecond
				i := random.IntN(test.daemons)
				run.send(run.daemons[i], test.view(run.members, i, run.now-begin))
				if step%150 == 0 && !test.silent {
					run.exchange()
				}
			}
			allowed := 1.5*test.rate*4 + 5
			most := run.most(begin + 3*time.Second)
			c.Check(float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d arrivals in four seconds, %.1f allowed", most, allowed))
			if !test.silent {
				c.Check(float64(len(run.arrivals)) >= test.rate*length.Seconds()/2, qt.IsTrue, qt.Commentf("%d arrivals", len(run.arrivals)))
			}
		})
	}
}

// TestLimitEnd checks which answers end a limit: those to requests sent after an answer
// named it, with the endpoint's seal, and the start of another instance.
func TestLimitEnd(t *testing.T) {
	sealed := samphireturn.ResponseMeta{HasSeal: true}
	tests := []struct {
		name string
		// early is true if the answered request was sent before the limit was named.
		early bool
		meta  samphireturn.ResponseMeta
		ended bool
	}{
		{"later request", false, sealed, true},
		{"earlier request", true, sealed, false},
		{"without a seal", false, samphireturn.ResponseMeta{}, false},
		{"names it again", false, samphireturn.ResponseMeta{HasSeal: true, HasLimit: true, Limit: 1}, false},
		{"names something else", false, samphireturn.ResponseMeta{HasSeal: true, MalformedLimit: "few"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl := newCluster(2, 1, "north")
			b, other := cl.daemons[0], cl.daemons[1]
			cl.members = cl.members[:1]
			early := b.Pick(cl.request("small", 100, "", 0))
			cl.now += time.Second
			_, changed := b.SetLimit(cl.hosts[0], 1)
			c.Check(changed, qt.IsTrue)
			cl.now += 2 * time.Second
			reservation := b.Pick(cl.request("small", 100, "", 0))
			c.Assert(reservation, qt.IsNotNil)
			if test.early {
				reservation = early
			}
			cl.now += time.Second
			c.Check(other.SetRemoteLimits(b.LocalLimits()), qt.HasLen, 0)
			c.Check(other.Pick(cl.request("small", 100, "", 0)), qt.IsNotNil)
			c.Check(other.SetRemoteLimits(b.LocalLimits()), qt.DeepEquals, []balancer.LimitChange{{ID: "h0", Rate: 1, Limited: true}})
			c.Check(reservation.ObserveHead(test.meta).Limit, qt.Equals, test.ended)
			cl.now += time.Second
			changes := other.SetRemoteLimits(b.LocalLimits())
			if !test.ended {
				c.Check(changes, qt.HasLen, 0)
				return
			}
			c.Check(changes, qt.DeepEquals, []balancer.LimitChange{{ID: "h0", Before: 1}})
			c.Check(other.Pick(cl.request("small", 100, "", 0)), qt.IsNotNil)
		})
	}
}

// TestLimitInstance checks that a limit does not hold for another instance that has the same
// id, and that one that left can't limit it.
func TestLimitInstance(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(1, 1, "north")
	b := cl.daemons[0]
	old := *cl.hosts[0]
	b.SetLimit(&old, 0)
	c.Check(b.Pick(cl.request("small", 100, "", 0)), qt.IsNil)
	_, limited, ok := b.AvailableIn(cl.request("small", 100, "", 0))
	c.Check(limited && ok, qt.IsTrue)
	cl.hosts[0].Started = 7
	c.Check(b.Pick(cl.request("small", 100, "", 0)), qt.IsNotNil)
	_, changed := b.SetLimit(&old, 0)
	c.Check(changed, qt.IsFalse)
	c.Check(b.Pick(cl.request("small", 100, "", 0)), qt.IsNotNil)
}
