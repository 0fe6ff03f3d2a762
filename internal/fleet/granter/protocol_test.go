package granter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// quiet has a fixed clock, three daemons, and one endpoint that its tests' home
// serves.
type quiet struct {
	now  int64
	used int64
	up   []string
	list []samphireturn.VM
}

func (q *quiet) Post(samphireturn.Event)                              {}
func (q *quiet) Handle(string, samphireturn.Handler)                  {}
func (q *quiet) Connected() []string                                  { return q.up }
func (q *quiet) Call(context.Context, string, string, any, any) error { return context.Canceled }

func (q *quiet) Snapshot() *samphireturn.Snapshot {
	e := &samphireturn.Endpoint{VM: samphireturn.VM{ID: "e", Centre: "x"}, Incarnation: 1, Budget: 900, Warm: true, InFlight: q.used, Quota: gauge}
	return &samphireturn.Snapshot{Members: q.list, Endpoints: map[string]*samphireturn.Endpoint{"e": e}}
}

var gauge *samphireturn.Quota

// newHome returns a granter that is home of the endpoint and the other daemons.
func newHome(c *qt.C) (*Granter, *quiet, []string) {
	gauge = new(samphireturn.Quota)
	q := &quiet{now: int64(time.Hour)}
	for _, id := range []string{"a", "b", "c"} {
		q.list = append(q.list, samphireturn.VM{ID: id, Centre: "x"})
	}
	q.up = []string{"a", "b", "c"}
	for i, vm := range q.list {
		g := New(vm, q, q, func() int64 { return q.now })
		g.instance = 7
		g.renew(c.Context())
		g.wait.Wait()
		if len(g.books) > 0 {
			return g, q, append(append([]string{}, q.up[:i]...), q.up[i+1:]...)
		}
	}
	c.Fatal("no home")
	return nil, nil, nil
}

// asker plays one borrower.
type asker struct {
	g      *Granter
	q      *quiet
	id     string
	last   *Answer
	out    int64
	stamp  int64
	listed int
}

// ask asks for 300 and returns the grant.
func (a *asker) ask() int64 {
	in := &Ask{Instance: 9, Full: true, Daemons: a.listed}
	for key := range a.g.places {
		in.Needs = []Need{{Key: key, Out: a.out, Want: 300, Unit: 1}}
	}
	if a.last != nil {
		in.Home, in.Stamp, in.Seq = a.last.Instance, a.last.Stamp, a.last.Seq
	}
	if a.stamp != 0 {
		in.Stamp = a.stamp
	}
	a.last = a.g.answer(a.id, in, a.q.now)
	if a.last.Resync {
		return workNone
	}
	return a.last.Grants[0].Work
}

// rounds lets the askers ask for a time, each Period.
func rounds(g *Granter, q *quiet, d time.Duration, all ...*asker) {
	for range int(d / Period) {
		q.now += int64(Period)
		g.look(q.Snapshot(), q.up, q.now)
		g.lendSelf(q.now)
		for _, a := range all {
			a.ask()
		}
	}
}

func TestFaultGrantProtocol(t *testing.T) {
	tests := []struct {
		name string
		play func(c *qt.C, g *Granter, q *quiet, x, y *asker)
	}{
		{"a new home waits", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			rounds(g, q, 2*Period, x, y)
			c.Check(x.ask(), qt.Equals, int64(workWait))
			rounds(g, q, Life-Period, x, y)
			c.Check(x.ask(), qt.Equals, int64(workWait))
			rounds(g, q, 2*Period, x, y)
			c.Check(x.ask() > 0, qt.IsTrue)
		}},
		{"asks that come late are no votes", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			rounds(g, q, 4*time.Second, x, y)
			x.stamp, y.stamp = x.last.Stamp, y.last.Stamp
			rounds(g, q, Life, x, y)
			c.Check(x.ask(), qt.Equals, int64(workNone))
		}},
		{"one vote of three is no majority", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			rounds(g, q, 4*time.Second, x, y)
			rounds(g, q, 4*time.Second)
			c.Check(gauge.Expires.Load() <= q.now, qt.IsTrue)
		}},
		{"a grant ends with the majority", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			rounds(g, q, 4*time.Second, x, y)
			seen := x.last.Stamp * millisecond
			rounds(g, q, Life-2*Period)
			x.ask()
			c.Check(x.last.Grants[0].Work >= 0, qt.IsTrue)
			c.Check(q.now+x.last.Life*1e6 <= seen+int64(Life), qt.IsTrue)
		}},
		{"work is told in full first", func(c *qt.C, _ *Granter, _ *quiet, x, _ *asker) {
			c.Check(x.ask(), qt.Equals, int64(workTell))
			c.Check(x.ask(), qt.Equals, int64(workWait))
		}},
		{"one that was never heard keeps its static share, and its work counts", func(c *qt.C, g *Granter, q *quiet, x, _ *asker) {
			q.used = 100
			rounds(g, q, 8*time.Second, x)
			sum := x.ask() + gauge.Allowed.Load()
			c.Check(sum > 0 && sum <= 900-300-100, qt.IsTrue, qt.Commentf("%d lent", sum))
		}},
		{"one that is lost keeps its static share", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			rounds(g, q, 8*time.Second, x, y)
			rounds(g, q, 20*time.Second, x)
			sum := x.ask() + gauge.Allowed.Load()
			c.Check(sum > 0 && sum <= 600, qt.IsTrue, qt.Commentf("%d lent", sum))
		}},
		{"work beyond a grant counts", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			y.out = 700
			rounds(g, q, 8*time.Second, x, y)
			sum := x.ask() + gauge.Allowed.Load()
			c.Check(sum > 0 && sum <= 200, qt.IsTrue, qt.Commentf("%d lent", sum))
		}},
		{"a longer list elsewhere counts", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			x.listed = 9
			rounds(g, q, 8*time.Second, x, y)
			c.Check(x.ask(), qt.Equals, int64(workNone))
		}},
		{"a lost answer brings a full ask", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			rounds(g, q, 4*time.Second, x, y)
			in := &Ask{Instance: 9, Home: g.instance, Stamp: x.last.Stamp, Seq: x.last.Seq - 1}
			c.Check(g.answer(x.id, in, q.now).Resync, qt.IsTrue)
		}},
		{"a refusal makes it cold for all but the home", func(c *qt.C, g *Granter, q *quiet, x, y *asker) {
			rounds(g, q, 8*time.Second, x, y)
			for _, k := range g.books {
				k.ramp.refused = true
			}
			rounds(g, q, Period, x, y)
			c.Check(x.ask(), qt.Equals, int64(0))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			g, q, ids := newHome(c)
			tt.play(c, g, q, &asker{g: g, q: q, id: ids[0]}, &asker{g: g, q: q, id: ids[1]})
		})
	}
}

// TestFaultGrantLateAnswer checks that a grant counts from when it was asked for.
func TestFaultGrantLateAnswer(t *testing.T) {
	c := qt.New(t)
	g, q, ids := newHome(c)
	asked := q.now
	q.now += int64(1500 * time.Millisecond)
	for key, p := range g.places {
		p.home = ids[0]
		needs := map[uint32]Need{key: {Key: key}}
		g.adopt(&lender{id: ids[0]}, &Answer{Full: true, Life: 2000, Grants: []Grant{{Key: key, Work: 5}}}, needs, asked)
	}
	c.Check(gauge.Expires.Load(), qt.Equals, asked+int64(Life))
}
