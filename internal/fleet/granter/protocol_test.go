package granter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// platform has a fixed clock, three daemons and one endpoint.
type platform struct {
	now    int64
	used   int64
	linked []string
	list   []samphireturn.VM
}

func (fp *platform) Post(samphireturn.Event)                              {}
func (fp *platform) Handle(string, samphireturn.Handler)                  {}
func (fp *platform) Connected() []string                                  { return fp.linked }
func (fp *platform) Call(context.Context, string, string, any, any) error { return context.Canceled }

func (fp *platform) Snapshot() *samphireturn.Snapshot {
	e := &samphireturn.Endpoint{VM: samphireturn.VM{ID: "e", Centre: "x"}, Incarnation: 1, Budget: 900, Warm: true, InFlight: fp.used, Quota: quota}
	return &samphireturn.Snapshot{Members: fp.list, Endpoints: map[string]*samphireturn.Endpoint{"e": e}}
}

var quota *samphireturn.Quota

// newHome returns a granter that is home of the endpoint, and the ids of the
// other daemons.
func newHome(c *qt.C) (*Granter, *platform, []string) {
	quota = new(samphireturn.Quota)
	fp := &platform{now: int64(time.Hour)}
	for _, id := range []string{"a", "b", "c"} {
		fp.list = append(fp.list, samphireturn.VM{ID: id, Centre: "x"})
	}
	fp.linked = []string{"a", "b", "c"}
	for i, vm := range fp.list {
		g := New(vm, fp, fp, func() int64 { return fp.now })
		g.instance = 7
		g.requestAll(c.Context())
		g.wait.Wait()
		if len(g.homed) > 0 {
			return g, fp, append(append([]string{}, fp.linked[:i]...), fp.linked[i+1:]...)
		}
	}
	c.Fatal("no home")
	return nil, nil, nil
}

// fakeClient sends requests to a home as another daemon does.
type fakeClient struct {
	g      *Granter
	fp     *platform
	id     string
	last   *Response
	excess int64
	// staleHomeTime, if not 0, is sent in place of the last response's HomeTime.
	staleHomeTime int64
	listed        int
}

// request requests 300 and returns the grant.
func (a *fakeClient) request() int64 {
	in := &Request{Instance: 9, Full: true, Daemons: a.listed}
	for key := range a.g.endpoints {
		in.Demands = []Demand{{Key: key, Excess: a.excess, Work: 300, LargestRequest: 1}}
	}
	if a.last != nil {
		in.HomeInstance, in.HomeTime, in.AckedSeq = a.last.Instance, a.last.HomeTime, a.last.Seq
	}
	if a.staleHomeTime != 0 {
		in.HomeTime = a.staleHomeTime
	}
	a.last = a.g.respond(a.id, in, a.fp.now)
	if a.last.Resync {
		return workNotHome
	}
	return a.last.Grants[0].Work
}

// runRounds runs the home and lets each client send a request, every
// RequestInterval for d.
func runRounds(g *Granter, fp *platform, d time.Duration, all ...*fakeClient) {
	for range int(d / RequestInterval) {
		fp.now += int64(RequestInterval)
		g.refresh(fp.Snapshot(), fp.linked, fp.now)
		g.renewOwnGrants(fp.now)
		for _, a := range all {
			a.request()
		}
	}
}

// TestFaultGrantProtocol checks how a home answers late, lost, partial and
// missing requests.
func TestFaultGrantProtocol(t *testing.T) {
	tests := []struct {
		name string
		play func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient)
	}{
		{"a new home waits", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			runRounds(g, fp, 2*RequestInterval, x, y)
			c.Check(x.request(), qt.Equals, int64(workPending))
			runRounds(g, fp, GrantTTL-RequestInterval, x, y)
			c.Check(x.request(), qt.Equals, int64(workPending))
			runRounds(g, fp, 2*RequestInterval, x, y)
			c.Check(x.request() > 0, qt.IsTrue)
		}},
		{"late requests do not count for the majority", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			runRounds(g, fp, 4*time.Second, x, y)
			x.staleHomeTime, y.staleHomeTime = x.last.HomeTime, y.last.HomeTime
			runRounds(g, fp, GrantTTL, x, y)
			c.Check(x.request(), qt.Equals, int64(workNotHome))
		}},
		{"one of three daemons is no majority", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			runRounds(g, fp, 4*time.Second, x, y)
			runRounds(g, fp, 4*time.Second)
			c.Check(quota.Expires.Load() <= fp.now, qt.IsTrue)
		}},
		{"a grant ends with the majority", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			runRounds(g, fp, 4*time.Second, x, y)
			seen := x.last.HomeTime * nanosPerMilli
			runRounds(g, fp, GrantTTL-2*RequestInterval)
			x.request()
			c.Check(x.last.Grants[0].Work >= 0, qt.IsTrue)
			c.Check(fp.now+x.last.TTL*1e6 <= seen+int64(GrantTTL), qt.IsTrue)
		}},
		{"a client first reports all its work", func(c *qt.C, _ *Granter, _ *platform, x, _ *fakeClient) {
			c.Check(x.request(), qt.Equals, int64(workReportAll))
			c.Check(x.request(), qt.Equals, int64(workPending))
		}},
		{"a daemon that never sent a request keeps its static share, and its work counts", func(c *qt.C, g *Granter, fp *platform, x, _ *fakeClient) {
			fp.used = 100
			runRounds(g, fp, 8*time.Second, x)
			sum := x.request() + quota.Allowed.Load()
			c.Check(sum > 0 && sum <= 900-300-100, qt.IsTrue, qt.Commentf("%d granted", sum))
		}},
		{"a lost daemon keeps its static share", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			runRounds(g, fp, 8*time.Second, x, y)
			runRounds(g, fp, 20*time.Second, x)
			sum := x.request() + quota.Allowed.Load()
			c.Check(sum > 0 && sum <= 600, qt.IsTrue, qt.Commentf("%d granted", sum))
		}},
		{"work beyond a grant counts", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			y.excess = 700
			runRounds(g, fp, 8*time.Second, x, y)
			sum := x.request() + quota.Allowed.Load()
			c.Check(sum > 0 && sum <= 200, qt.IsTrue, qt.Commentf("%d granted", sum))
		}},
		{"a longer member list elsewhere counts", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			x.listed = 9
			runRounds(g, fp, 8*time.Second, x, y)
			c.Check(x.request(), qt.Equals, int64(workNotHome))
		}},
		{"a lost response causes a full request", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			runRounds(g, fp, 4*time.Second, x, y)
			in := &Request{Instance: 9, HomeInstance: g.instance, HomeTime: x.last.HomeTime, AckedSeq: x.last.Seq - 1}
			c.Check(g.respond(x.id, in, fp.now).Resync, qt.IsTrue)
		}},
		{"after an overload only the home may send", func(c *qt.C, g *Granter, fp *platform, x, y *fakeClient) {
			runRounds(g, fp, 8*time.Second, x, y)
			for _, h := range g.homed {
				h.warmUp.overloaded = true
			}
			runRounds(g, fp, RequestInterval, x, y)
			c.Check(x.request(), qt.Equals, int64(0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			g, fp, ids := newHome(c)
			tt.play(c, g, fp, &fakeClient{g: g, fp: fp, id: ids[0]}, &fakeClient{g: g, fp: fp, id: ids[1]})
		})
	}
}

// TestFaultGrantLateAnswer checks that the lifetime of a grant counts from
// its request, not from the response.
func TestFaultGrantLateAnswer(t *testing.T) {
	c := qt.New(t)
	g, fp, ids := newHome(c)
	requestedAt := fp.now
	fp.now += int64(1500 * time.Millisecond)
	for key, ep := range g.endpoints {
		ep.home = ids[0]
		demands := map[uint32]Demand{key: {Key: key}}
		g.applyResponse(&homeClient{id: ids[0]}, &Response{Full: true, TTL: 2000, Grants: []Grant{{Key: key, Work: 5}}}, demands, requestedAt)
	}
	c.Check(quota.Expires.Load(), qt.Equals, requestedAt+int64(GrantTTL))
}
