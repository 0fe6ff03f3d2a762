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

var poolRef = sr.VersionRef{Model: "m", Version: "v1"}.String()

// testPool is a pool with free capacity.
type testPool struct {
	queuer.Queuer
	mu     sync.Mutex
	free   int64
	served []string // names in the order in which they were served
}

// tryAcquire returns a function that takes cost if it is free.
func (p *testPool) tryAcquire(team string, cost int64) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.free < cost {
			return false
		}
		p.free -= cost
		p.served = append(p.served, team)
		return true
	}
}

// release returns cost.
func (p *testPool) release(cost int64) {
	p.mu.Lock()
	p.free += cost
	p.mu.Unlock()
	p.RecordReleased(poolRef, cost)
}

func (p *testPool) join(ctx context.Context, e queuer.Entry, name string) error {
	e.Pool, e.MayWait = poolRef, true
	return p.Join(ctx, e, p.tryAcquire(name, e.Cost))
}

func kindOf(err error) string {
	var e *queuer.Error
	if errors.As(err, &e) {
		return e.Kind.String()
	}
	return ""
}

// TestFaultFairness fills the queue and checks which of the first requests are served:
// by weight between teams, by priority within a team.
func TestFaultFairness(t *testing.T) {
	tests := []struct {
		name    string
		entries []queuer.Entry // each joins 40 times, one entry after the other
		want    map[string]int // served among the first 30
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
				p := &testPool{}
				p.MaxWait = time.Hour
				ctx, cancel := context.WithCancel(context.Background())
				for _, e := range tt.entries {
					for range 40 {
						go func() { _ = p.join(ctx, e, e.Team+string(rune('0'+e.Priority))) }()
						synctest.Wait()
					}
				}
				for len(p.served) < 30 {
					p.release(1)
					time.Sleep(time.Millisecond)
					synctest.Wait()
				}
				got := map[string]int{}
				for _, name := range p.served[:30] {
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

// TestFaultBounds guards against requests that wait beyond the bound or their deadline,
// or wait at all although they cannot be served in time.
func TestFaultBounds(t *testing.T) {
	tests := []struct {
		name       string
		waiting    int           // requests that wait already
		rate       int64         // work released per second before
		quiet      time.Duration // after that
		deadline   time.Duration // of the request
		freeAfter  time.Duration // when capacity is released; zero for never
		kind       string
		took       time.Duration
		retryAfter time.Duration // Retry-After
	}{
		{"capacity in time", 0, 0, 0, time.Minute, time.Second, "", time.Second, 0},
		{"waits no longer than the bound", 0, 0, 0, time.Minute, 0, "waited", 2 * time.Second, 0},
		{"deadline in the queue", 0, 0, 0, time.Second, 0, "left", time.Second, 0},
		{"queue full", 4, 0, 0, time.Minute, 0, "full", 0, 0},
		{"would be too late", 2, 1, 0, time.Minute, 0, "late", 0, 3 * time.Second},
		{"would miss the deadline", 1, 2, 0, 500 * time.Millisecond, 0, "late", 0, time.Second},
		{"queue full, rate known", 4, 100, 0, time.Minute, 0, "full", 0, 100 * time.Millisecond},
		// The rate of a quiet time is not that of the capacity.
		{"first after a quiet time", 0, 1, time.Minute, 500 * time.Millisecond, 100 * time.Millisecond, "", 100 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := &testPool{}
				p.Capacity, p.MaxWait = 4, 2*time.Second
				for range 20 {
					p.RecordReleased(poolRef, tt.rate)
					time.Sleep(time.Second)
				}
				time.Sleep(tt.quiet)
				ctx, cancel := context.WithCancel(context.Background())
				for range tt.waiting {
					go func() { _ = p.join(ctx, queuer.Entry{Team: "other", Cost: 1}, "other") }()
					synctest.Wait()
				}
				if tt.freeAfter > 0 {
					time.AfterFunc(tt.freeAfter, func() { p.release(1) })
				}
				reqCtx, cancelReq := context.WithTimeout(ctx, tt.deadline)
				start := time.Now()
				err := p.join(reqCtx, queuer.Entry{Team: "t", Cost: 1}, "t")
				c.Check(time.Since(start), qt.Equals, tt.took)
				c.Check(kindOf(err), qt.Equals, tt.kind)
				var e *queuer.Error
				if errors.As(err, &e) {
					c.Check(e.RetryAfter, qt.Equals, tt.retryAfter)
				}
				cancelReq()
				cancel()
			})
		})
	}
}

// TestFaultPanic guards against a queue that is stuck after the function of one request panicked.
func TestFaultPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &testPool{}
		calls := 0
		go func() {
			defer func() { _ = recover() }()
			_ = p.Join(context.Background(), queuer.Entry{Pool: poolRef, Cost: 1, MayWait: true}, func() bool {
				if calls++; calls > 1 {
					panic("try")
				}
				return false
			})
		}()
		synctest.Wait()
		p.release(1)
		c.Check(p.join(context.Background(), queuer.Entry{Team: "a", Cost: 1}, "next"), qt.IsNil)
		c.Check(p.Waiting(poolRef), qt.Equals, 0)
	})
}

// TestFaultOvertaking checks that a request does not overtake a larger waiting one
// although the free capacity suffices for the small one.
func TestFaultOvertaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &testPool{free: 1}
		go func() { _ = p.join(context.Background(), queuer.Entry{Team: "a", Cost: 2}, "large") }()
		synctest.Wait()
		go func() { _ = p.join(context.Background(), queuer.Entry{Team: "a", Cost: 1}, "small") }()
		time.Sleep(time.Second)
		p.release(1)
		synctest.Wait()
		p.release(1)
		synctest.Wait()
		c.Check(p.served, qt.DeepEquals, []string{"large", "small"})
	})
}
