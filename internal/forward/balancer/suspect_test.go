package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
)

// offer offers a request to endpoints one after the other until one runs it, as a daemon does. It
// returns that endpoint, or nil if none is left, and the number of those that are gone.
func offer(b *balancer.Balancer, req *balancer.Request, gone map[string]bool) (ran *samphireturn.Host, misdirected int) {
	for req.Exclude = make(map[string]bool); ; misdirected++ {
		r := b.Pick(req)
		if r == nil {
			return nil, misdirected
		}
		missing := gone[r.Host.ID]
		r.ObserveHead(samphireturn.ResponseMeta{NotExecuted: missing, Misdirected: missing})
		r.Done()
		if !missing {
			return r.Host, misdirected
		}
		req.Exclude[r.Host.ID] = true
	}
}

// TestRestartOfCentre guards against requests that are offered to one gone endpoint after the other
// when those of a data centre restart as other instances, by the load of 10 requests a second at
// each daemon, while the list is 2 s late: a daemon that shares nothing meets few of them, and
// uses the new instances as soon as they are listed. One that restarts alone, or answers so for
// another reason, takes the others of its data centre out of use for half a second at most.
func TestRestartOfCentre(t *testing.T) {
	const gap, listDelay, alone = 100 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond
	tests := []struct {
		daemons, endpoints, centres int
		// all is true if all endpoints of a data centre restart, otherwise one does.
		all bool
	}{
		{8, 24, 3, true}, {88, 140, 3, true}, {440, 12000, 19, true},
		{8, 24, 3, false}, {88, 140, 3, false}, {440, 12000, 19, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d daemons, all %v", test.daemons, test.all), func(t *testing.T) {
			c := qt.New(t)
			var centres []string
			for i := range test.centres {
				centres = append(centres, fmt.Sprint("c", i))
			}
			cl := newCluster(test.daemons, test.endpoints, centres...)
			gone := make(map[string]bool)
			for i := 0; i < test.endpoints && (test.all || i == 0); i += test.centres {
				gone[cl.hosts[i].ID] = true
			}
			begin, met, metAt, away := cl.now, make(map[int]int), make(map[int]time.Duration), 0
			for ; cl.now < begin+listDelay; cl.now += gap {
				// Two daemons of the data centre and one of another: daemons decide alone.
				for _, i := range []int{0, test.centres, 1} {
					ran, misdirected := offer(cl.daemons[i], cl.request("a", 1000, "", 0), gone)
					c.Assert(ran, qt.IsNotNil)
					c.Check(misdirected <= 1, qt.IsTrue, qt.Commentf("%d gone endpoints met by one request", misdirected))
					if met[i] += misdirected; misdirected > 0 {
						metAt[i] = cl.now
					}
					if !test.all && i != 1 && ran.Centre != "c0" && (met[i] == 0 || cl.now >= metAt[i]+alone) {
						away++
					}
				}
			}
			for i, n := range met {
				c.Check(n <= 2, qt.IsTrue, qt.Commentf("daemon %d met %d gone endpoints", i, n))
			}
			c.Check(away, qt.Equals, 0)
			for i, h := range cl.hosts {
				if gone[h.ID] {
					cl.hosts[i] = &samphireturn.Host{ID: "new " + h.ID, Pool: h.Pool, Centre: h.Centre, Slots: h.Slots}
				}
			}
			ran, misdirected := offer(cl.daemons[0], cl.request("a", 1000, "", 0), gone)
			c.Check(ran.Centre, qt.Equals, "c0")
			c.Check(misdirected, qt.Equals, 0)
		})
	}
}

// TestSuspicion guards against endpoints that stay out of use although they are there: suspect
// ones are used if there are no others, two answers end the suspicion of the rest, and one in whose
// place another instance answered comes back when its entry changes or after 3 s.
func TestSuspicion(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(1, 4, "north")
	b, missing := cl.daemons[0], map[string]bool{"h0": true}
	_, misdirected := offer(b, &balancer.Request{Pool: engines, Hosts: cl.hosts[:1]}, missing)
	c.Assert(misdirected, qt.Equals, 1)
	cl.now += time.Millisecond
	uses := func(hosts []*samphireturn.Host) bool {
		for range 100 {
			r := b.Pick(&balancer.Request{Pool: engines, Hosts: hosts})
			r.Done()
			if r.Host.ID == "h0" {
				return true
			}
		}
		return false
	}
	c.Check(uses(cl.hosts), qt.IsFalse)
	c.Check(uses(cl.hosts[:1]), qt.IsTrue)
	for range 2 {
		ran, _ := offer(b, &balancer.Request{Pool: engines, Hosts: cl.hosts}, missing)
		c.Assert(ran, qt.IsNotNil)
	}
	c.Check(uses(cl.hosts), qt.IsFalse)
	changed := *cl.hosts[0]
	changed.Release = "v2"
	c.Check(uses([]*samphireturn.Host{&changed, cl.hosts[1]}), qt.IsTrue)
	_, misdirected = offer(b, &balancer.Request{Pool: engines, Hosts: []*samphireturn.Host{&changed}}, missing)
	c.Assert(misdirected, qt.Equals, 1)
	cl.now += 3 * time.Second
	c.Check(uses([]*samphireturn.Host{&changed, cl.hosts[1]}), qt.IsTrue)
}
