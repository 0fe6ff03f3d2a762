package queuer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/traffic/queuer"
)

// TestHardLoadRetries has 64 callers that come back 10 ms after each refusal, where capacity
// for ten requests a second is shared by teams: the refused ones are told so at once with the
// time until they could be served, those that wait are served in time, and the capacity is
// used (pattern: callers that return at once hold places while nobody is served).
func TestHardLoadRetries(t *testing.T) {
	const (
		callers, capacity = 64, 8
		rate              = 10
		length            = 30 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &testPool{}
		p.Capacity, p.Total = callers, capacity
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		var (
			wait            sync.WaitGroup
			mu              sync.Mutex
			served, refused int
			others          = make(map[string]int) // by kind
		)
		for i := range callers {
			wait.Go(func() {
				for ctx.Err() == nil {
					reqCtx, cancelRequest := context.WithTimeout(ctx, 2*time.Second)
					start := time.Now()
					err := p.join(reqCtx, queuer.Entry{Team: string(rune('a' + i%8)), Rank: i % 3, Cost: 1, Bound: time.Second, Rate: rate}, "r")
					cancelRequest()
					took := time.Since(start)
					var e *queuer.Error
					mu.Lock()
					switch {
					case err == nil:
						served++
						c.Check(took <= time.Second, qt.IsTrue)
					case errors.As(err, &e) && e.Kind == queuer.KindFull:
						refused++
						c.Check(took, qt.Equals, time.Duration(0))
						c.Check(e.RetryAfter >= 100*time.Millisecond && e.RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%v", e.RetryAfter))
					default:
						others[kindOf(err)]++
						// Only those that wait when the test ends see their deadline.
						c.Check(kindOf(err) != "left" || ctx.Err() != nil, qt.IsTrue)
						c.Check(kindOf(err) != "late" || took == 0, qt.IsTrue)
					}
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		for ctx.Err() == nil {
			p.release(1)
			time.Sleep(time.Second / rate)
		}
		wait.Wait()
		t.Logf("%d served, %d refused, others %v", served, refused, others)
		c.Check(served >= rate*int(length.Seconds())*9/10, qt.IsTrue)
		c.Check(refused > 0, qt.IsTrue)
		c.Check(p.Waiting(poolRef), qt.Equals, 0)
	})
}
