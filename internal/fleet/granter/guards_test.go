package granter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// TestStaticShareWaits checks that a static share begins only once all grants of
// a home that is lost must have lapsed, and that it takes no more than its part
// of the room that reports show.
func TestStaticShareWaits(t *testing.T) {
	c := qt.New(t)
	g, q, ids := newHome(c)
	g.view.met = true
	for _, p := range g.places {
		p.home = ids[0]
		p.put(ids[0], 7, q.now, q.now+int64(Life))
		share := p.e.Budget / 3
		q.now += int64(2*Life + reportLag - 1)
		g.shareStatic(p, q.now)
		c.Check(gauge.Expires.Load() < q.now, qt.IsTrue, qt.Commentf("before the wait is over"))
		q.now++
		for _, tt := range []struct{ used, want int64 }{
			{p.e.Budget, 0}, {p.e.Budget - 30, 10}, {share, share}, {p.e.Budget, share},
		} {
			p.loads = nil
			p.note(tt.used, q.now)
			g.shareStatic(p, q.now)
			c.Check(gauge.Allowed.Load(), qt.Equals, tt.want, qt.Commentf("used %d", tt.used))
			c.Check(gauge.Expires.Load(), qt.Equals, q.now+int64(Life))
		}
	}
}

// TestColdGuards checks that only the home sends to a cold endpoint, and that a
// warm-up takes no step before its time.
func TestColdGuards(t *testing.T) {
	c := qt.New(t)
	g, q, ids := newHome(c)
	x, y := &asker{g: g, q: q, id: ids[0]}, &asker{g: g, q: q, id: ids[1]}
	rounds(g, q, 4*time.Second, x, y)
	c.Assert(x.ask() > 0, qt.IsTrue)
	for _, k := range g.books {
		first := coldWork(k.p.e)
		k.ramp.refused = true
		g.warmUp(k, q.now)
		for _, s := range k.shares {
			s.out, s.peak = 0, 0 // the others have nothing, and the home has not lent itself any yet
		}
		c.Check(x.ask(), qt.Equals, int64(0))
		for _, tt := range []struct {
			after time.Duration
			part  int64
		}{{stepTime - 1, first}, {1, 2 * first}, {stepTime - 1, 2 * first}, {1, 4 * first}} {
			q.now += int64(tt.after)
			g.Sent(k.p.e, samphireturn.VersionRef{}, time.Millisecond, nil)
			g.warmUp(k, q.now)
			c.Check(k.ramp.part, qt.Equals, tt.part)
		}
	}
}

// TestFirstTokenTimes checks that an endpoint counts as cold after slowCount
// answers in a row whose first token came far off the record.
func TestFirstTokenTimes(t *testing.T) {
	const usual = 200 * time.Millisecond
	tests := []struct {
		name  string
		times []time.Duration
		cold  bool
	}{
		{"three slow", []time.Duration{usual, 2 * time.Second, 2 * time.Second, 2 * time.Second}, true},
		{"one in between", []time.Duration{usual, 2 * time.Second, 2 * time.Second, usual, 2 * time.Second}, false},
		{"below the floor", []time.Duration{usual / 10, slowFloor, slowFloor, slowFloor}, false},
		{"within the factor", []time.Duration{usual, slowFactor * usual, slowFactor * usual, slowFactor * usual}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			g, q, _ := newHome(c)
			for _, p := range g.places {
				for _, first := range tt.times {
					p.e.Quota.Expires.Store(q.now + 1)
					g.Sent(p.e, samphireturn.VersionRef{}, first, nil)
				}
				c.Check(p.e.Quota.Expires.Load() == never, qt.Equals, tt.cold)
				c.Check(g.suspect(p.e.ID, q.now), qt.Equals, tt.cold)
			}
		})
	}
}

// TestWholeRequests checks that short work is not cut into parts that no request
// fits into.
func TestWholeRequests(t *testing.T) {
	wants := []want{{"a", 400, 200}, {"b", 400, 200}, {"c", 400, 200}}
	for id, part := range map[string]int64{"a": 200, "b": 200, "c": 0} {
		qt.Check(t, fair(wants, 500, id), qt.Equals, part)
	}
}
