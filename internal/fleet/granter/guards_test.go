package granter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// TestStaticShareWaits checks that a static share starts only once all grants
// of a lost home must have expired, and that it takes at most its part of the
// free budget that reports show.
func TestStaticShareWaits(t *testing.T) {
	c := qt.New(t)
	g, fp, ids := newHome(c)
	g.view.metOther = true
	for _, ep := range g.endpoints {
		ep.home = ids[0]
		ep.applyGrant(ids[0], 7, fp.now, fp.now+int64(GrantTTL))
		share := ep.info.Budget / 3
		fp.now += int64(2*GrantTTL + maxReportAge - 1)
		g.applyStaticShare(ep, fp.now)
		c.Check(quota.Expires.Load() < fp.now, qt.IsTrue, qt.Commentf("before the wait has ended"))
		fp.now++
		for _, tt := range []struct{ used, want int64 }{
			{ep.info.Budget, 0}, {ep.info.Budget - 30, 10}, {share, share}, {ep.info.Budget, share},
		} {
			ep.loads = nil
			ep.recordLoad(tt.used, fp.now)
			g.applyStaticShare(ep, fp.now)
			c.Check(quota.Allowed.Load(), qt.Equals, tt.want, qt.Commentf("used %d", tt.used))
			c.Check(quota.Expires.Load(), qt.Equals, fp.now+int64(GrantTTL))
		}
	}
}

// TestColdGuards checks that only the home sends to an endpoint that is
// warming up, and that the warm-up takes no step before its time.
func TestColdGuards(t *testing.T) {
	c := qt.New(t)
	g, fp, ids := newHome(c)
	x, y := &fakeClient{g: g, fp: fp, id: ids[0]}, &fakeClient{g: g, fp: fp, id: ids[1]}
	runRounds(g, fp, 4*time.Second, x, y)
	c.Assert(x.request() > 0, qt.IsTrue)
	for _, h := range g.homed {
		first := initialWork(h.endpoint.info)
		h.warmUp.overloaded = true
		g.advanceWarmUp(h, fp.now)
		for _, a := range h.allocations {
			a.excess, a.peakGrant = 0, 0 // no work is in flight or granted, also at the home
		}
		c.Check(x.request(), qt.Equals, int64(0))
		for _, tt := range []struct {
			after time.Duration
			part  int64
		}{{warmUpStepTime - 1, first}, {1, 2 * first}, {warmUpStepTime - 1, 2 * first}, {1, 4 * first}} {
			fp.now += int64(tt.after)
			g.ObserveAttempt(h.endpoint.info, samphireturn.VersionRef{}, time.Millisecond, nil)
			g.advanceWarmUp(h, fp.now)
			c.Check(h.warmUp.limit, qt.Equals, tt.part)
		}
	}
}

// TestFirstTokenTimes checks that an endpoint counts as overloaded after
// maxSlowInRow answers in a row whose first-token time was far above the mean.
func TestFirstTokenTimes(t *testing.T) {
	const usual = 200 * time.Millisecond
	tests := []struct {
		name       string
		times      []time.Duration
		overloaded bool
	}{
		{"three slow in a row", []time.Duration{usual, 2 * time.Second, 2 * time.Second, 2 * time.Second}, true},
		{"one fast in between", []time.Duration{usual, 2 * time.Second, 2 * time.Second, usual, 2 * time.Second}, false},
		{"at minSlowTime", []time.Duration{usual / 10, minSlowTime, minSlowTime, minSlowTime}, false},
		{"at slowFactor", []time.Duration{usual, slowFactor * usual, slowFactor * usual, slowFactor * usual}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			g, fp, _ := newHome(c)
			for _, ep := range g.endpoints {
				for _, first := range tt.times {
					ep.info.Quota.Expires.Store(fp.now + 1)
					g.ObserveAttempt(ep.info, samphireturn.VersionRef{}, first, nil)
				}
				c.Check(ep.info.Quota.Expires.Load() == distantPast, qt.Equals, tt.overloaded)
				c.Check(g.recentlyOverloaded(ep.info.ID, fp.now), qt.Equals, tt.overloaded)
			}
		})
	}
}

// TestWholeRequests checks that scarce work is not divided into shares too
// small for any request.
func TestWholeRequests(t *testing.T) {
	claims := []claim{{"a", 400, 200}, {"b", 400, 200}, {"c", 400, 200}}
	for id, part := range map[string]int64{"a": 200, "b": 200, "c": 0} {
		qt.Check(t, fairShare(claims, 500, id), qt.Equals, part)
	}
}
