package queuer

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// source sends requests of one kind: count of them every interval.
type source struct {
	team     string
	rank     int
	interval time.Duration
	bound    time.Duration
}

// result tells what became of the requests of a source.
type result struct {
	sent, passed int // sent to free capacity; bound passed
	longest      time.Duration
}

// play feeds an order from sources for a minute, while slots serve requests for 100 ms each.
// slots returns the number of slots at a time.
func play(sources []source, slots func(at time.Duration) int) []result {
	const step, hold = time.Millisecond, 100 * time.Millisecond
	type waiting struct {
		*waiter
		source int
		since  time.Time
	}
	var (
		o       order
		busy    []time.Time // ends of requests
		all     = make(map[*waiter]waiting)
		results = make([]result, len(sources))
		begin   = time.Unix(0, 0)
	)
	for at := time.Duration(0); at < time.Minute; at += step {
		now := begin.Add(at)
		for i, s := range sources {
			for n := (at - step) / s.interval; n < at/s.interval; n++ {
				w := o.add(Entry{Team: s.team, Rank: s.rank, Cost: 1}, now, s.bound)
				all[w] = waiting{w, i, now}
			}
		}
		for len(busy) > 0 && !busy[0].After(now) {
			busy = busy[1:]
		}
		for o.count > 0 && len(busy) < slots(at) {
			w := o.next(now)
			o.place(w)
			r := &results[all[w].source]
			r.sent++
			r.longest = max(r.longest, now.Sub(all[w].since))
			delete(all, w)
			busy = append(busy, now.Add(hold))
		}
		for w, e := range all {
			if now.Sub(e.since) >= sources[e.source].bound {
				o.remove(w)
				results[e.source].passed++
				delete(all, w)
			}
		}
	}
	return results
}

// TestHardLoadOrder guards against urgent requests and modest teams that wait behind a surge
// of others, and against requests that are never served. Twenty slots serve 200 requests a
// second; where more come, the rest is what the bound passes for.
func TestHardLoadOrder(t *testing.T) {
	const (
		ms        = time.Millisecond
		perMinute = 200 * 60
	)
	all := func(time.Duration) int { return 20 }
	tests := []struct {
		name    string
		sources []source
		slots   func(time.Duration) int
		// minSent is the least share of the capacity that each source gets, and maxWait the
		// longest wait of those that are sent.
		minSent []float64
		maxWait []time.Duration
	}{
		// 120 urgent requests a second and 180 of the cheapest kind instead of 60.
		{"the cheapest kind three times as frequent", []source{{"a", 0, 25 * ms / 3, 500 * ms}, {"a", 2, 50 * ms / 9, time.Second}}, all,
			[]float64{.598, .39}, []time.Duration{50 * ms, time.Second}},
		// The urgent ones alone exceed the capacity; an eighth of it is left to the others.
		{"a surge of urgent requests", []source{{"a", 0, 4 * ms, 500 * ms}, {"a", 2, 10 * ms, time.Second}}, all,
			[]float64{.86, .12}, []time.Duration{500 * ms, time.Second}},
		// Shares of a quarter are 50 requests a second: 300 come of one team, 40 of each other.
		{"a team with six times its load", []source{{"a", 1, 10 * ms / 3, time.Second}, {"b", 1, 25 * ms, time.Second}, {"c", 1, 25 * ms, time.Second}, {"d", 1, 25 * ms, time.Second}}, all,
			[]float64{.39, .198, .198, .198}, []time.Duration{time.Second, 100 * ms, 100 * ms, 100 * ms}},
		// 100 urgent requests and 90 others a second; 130 can be served for half the time.
		{"a third of the endpoints gone", []source{{"a", 0, 10 * ms, 500 * ms}, {"a", 1, 100 * ms / 9, 500 * ms}}, func(at time.Duration) int {
			if at > 20*time.Second && at < 50*time.Second {
				return 13
			}
			return 20
		}, []float64{.498, .29}, []time.Duration{100 * ms, 500 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for i, r := range play(test.sources, test.slots) {
				share := float64(r.sent) / perMinute
				t.Logf("%v: %.3f of the capacity, bound passed for %d, longest wait %v", test.sources[i], share, r.passed, r.longest)
				c.Check(share >= test.minSent[i], qt.IsTrue, qt.Commentf("%.3f", share))
				c.Check(r.longest <= test.maxWait[i], qt.IsTrue, qt.Commentf("%v", r.longest))
			}
		})
	}
}

// TestHardLoadPromotedTurn guards against promoted requests that can't be placed and hold up the
// first rank one after the other.
func TestHardLoadPromotedTurn(t *testing.T) {
	var o order
	now := time.Unix(0, 0)
	for i := range 20 {
		o.add(Entry{Team: "a", Rank: i % 2, Cost: 1}, now, time.Second)
	}
	now = now.Add(time.Second / 2)
	for range promotedEvery - 1 {
		o.place(o.next(now))
	}
	promoted := o.next(now)
	qt.Assert(t, promoted.rank, qt.Equals, 1)
	o.remove(promoted)
	qt.Check(t, o.next(now).rank, qt.Equals, 0)
}

// BenchmarkDecision places the next of 10,000 waiting requests of 100 teams and adds another
// one in its stead.
func BenchmarkDecision(b *testing.B) {
	var o order
	now := time.Unix(0, 0)
	for i := range 10_000 {
		o.add(Entry{Team: strconv.Itoa(i % 100), Rank: i % 3, Cost: 1}, now, time.Duration(i+1)*time.Millisecond)
	}
	var a Allowance
	a.Start(0, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		w := o.next(now)
		a.Release(time.Duration(i))
		if a.Allows(time.Duration(i), 100, 88) {
			a.Use(time.Duration(i))
			o.place(w)
			// The same entry joins again, as a new one would be allocated by its request.
			o.rejoin(w, now)
		}
	}
}

// rejoin adds a request that was placed.
func (o *order) rejoin(w *waiter, now time.Time) {
	o.count++
	o.enter(w)
	if w.rank > 0 {
		w.promoteAt = now.Add(time.Second)
		o.promotions.push(w)
	}
}
