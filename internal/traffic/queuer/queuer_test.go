package queuer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/traffic/queuer"
)

var pool = sr.VersionRef{Model: "m", Version: "v1"}

// room is a pool of a number of places.
type room struct {
	queuer.Queuer
	mu     sync.Mutex
	free   int64
	served []string // teams in the order in which they were served
}

// try takes cost if there is room.
func (r *room) try(team string, cost int64) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.free < cost {
			return false
		}
		r.free -= cost
		r.served = append(r.served, team)
		return true
	}
}

// release gives cost back.
func (r *room) release(cost int64) {
	r.mu.Lock()
	r.free += cost
	r.mu.Unlock()
	r.Released(pool, cost)
}

func (r *room) join(ctx context.Context, e queuer.Entry, name string) error {
	e.Pool, e.MayWait = pool, true
	return r.Join(ctx, e, r.try(name, e.Cost))
}

func kind(err error) string {
	var e *queuer.Error
	if errors.As(err, &e) {
		return e.Kind.String()
	}
	return ""
}

// TestFaultFairness fills the queue and looks at who is served of the first
// requests: by weight between teams, by priority within a team.
func TestFaultFairness(t *testing.T) {
	tests := []struct {
		name  string
		first []queuer.Entry // each joins 40 times, one entry after the other
		want  map[string]int // served among the first 30
	}{
		{"equal weights", []queuer.Entry{{Team: "a", Cost: 1}, {Team: "b", Cost: 1}}, map[string]int{"a0": 15, "b0": 15}},
		{"weights 2 to 1", []queuer.Entry{{Team: "a", Cost: 1}, {Team: "b", Cost: 1, Weight: 2}}, map[string]int{"a0": 10, "b0": 20}},
		{"costs 2 to 1", []queuer.Entry{{Team: "a", Cost: 2}, {Team: "b", Cost: 1}}, map[string]int{"a0": 10, "b0": 20}},
		{"priority within a team", []queuer.Entry{{Team: "a", Cost: 1}, {Team: "a", Cost: 1, Priority: 3}, {Team: "b", Cost: 1}}, map[string]int{"a3": 15, "b0": 15}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := &room{}
				r.Wait = time.Hour
				ctx, cancel := context.WithCancel(context.Background())
				for _, e := range tt.first {
					for range 40 {
						go func() { _ = r.join(ctx, e, e.Team+string(rune('0'+e.Priority))) }()
						synctest.Wait()
					}
				}
				for len(r.served) < 30 {
					r.release(1)
					time.Sleep(time.Millisecond)
					synctest.Wait()
				}
				got := map[string]int{}
				for _, name := range r.served[:30] {
					got[name]++
				}
				for name, n := range tt.want {
					c.Check(got[name] >= n-1 && got[name] <= n+1, qt.IsTrue, qt.Commentf("%v", got))
				}
				cancel()
			})
		})
	}
}

// TestFaultBounds checks each way out of the queue and when it is taken.
func TestFaultBounds(t *testing.T) {
	tests := []struct {
		name     string
		waiting  int           // requests that wait before
		rate     int64         // work released a second before
		deadline time.Duration // of the request
		free     time.Duration // when there is room; zero for never
		kind     string
		took     time.Duration
		after    time.Duration // Retry-After
	}{
		{"room in time", 0, 0, time.Minute, time.Second, "", time.Second, 0},
		{"waits no longer than the bound", 0, 0, time.Minute, 0, "waited", 2 * time.Second, 0},
		{"deadline in the queue", 0, 0, time.Second, 0, "left", time.Second, 0},
		{"no place", 4, 0, time.Minute, 0, "full", 0, 0},
		{"would be too late", 2, 1, time.Minute, 0, "late", 0, 3 * time.Second},
		{"would miss the deadline", 1, 2, 500 * time.Millisecond, 0, "late", 0, time.Second},
		{"no place, rate known", 4, 100, time.Minute, 0, "full", 0, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := &room{}
				r.Places, r.Wait = 4, 2*time.Second
				for range 20 {
					r.Released(pool, tt.rate)
					time.Sleep(time.Second)
				}
				ctx, cancel := context.WithCancel(context.Background())
				for range tt.waiting {
					go func() { _ = r.join(ctx, queuer.Entry{Team: "other", Cost: 1}, "other") }()
					synctest.Wait()
				}
				if tt.free > 0 {
					time.AfterFunc(tt.free, func() { r.release(1) })
				}
				mine, end := context.WithTimeout(ctx, tt.deadline)
				start := time.Now()
				err := r.join(mine, queuer.Entry{Team: "t", Cost: 1}, "t")
				c.Check(time.Since(start), qt.Equals, tt.took)
				c.Check(kind(err), qt.Equals, tt.kind)
				var e *queuer.Error
				if errors.As(err, &e) {
					c.Check(e.RetryAfter, qt.Equals, tt.after)
				}
				end()
				cancel()
			})
		})
	}
}

// TestFaultOvertaking checks that a request does not overtake a larger one that
// waits, although there is room for the small one.
func TestFaultOvertaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &room{free: 1}
		go func() { _ = r.join(context.Background(), queuer.Entry{Team: "a", Cost: 2}, "large") }()
		synctest.Wait()
		go func() { _ = r.join(context.Background(), queuer.Entry{Team: "a", Cost: 1}, "small") }()
		time.Sleep(time.Second)
		r.release(1)
		synctest.Wait()
		r.release(1)
		synctest.Wait()
		c.Check(r.served, qt.DeepEquals, []string{"large", "small"})
	})
}
