package claimer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/ledger/claimer"
)

// TestWriteRate claims and finishes keys at constant rates for four seconds. The
// number of writes is bounded by the number of shards and the time: at most one per
// shard and BatchInterval.
func TestWriteRate(t *testing.T) {
	const seconds = 4
	for _, rate := range []int{10, 50, 200, 800} {
		run(t, func(tf *testFleet) {
			a := tf.addClaimer("a", "a")
			a.Shards, a.MaxClaims = claimer.DefaultShards, 1<<20
			for n := range seconds * rate {
				go func() {
					if claim, err := tf.claim(a, fmt.Sprint(n)); err == nil {
						_ = a.Finish(tf.t.Context(), claim, claimer.Outcome{Status: 201})
					}
				}()
				time.Sleep(time.Second / time.Duration(rate))
			}
			time.Sleep(5 * time.Second)
			tf.store.mu.Lock()
			defer tf.store.mu.Unlock()
			most := (seconds + 1) * claimer.DefaultShards * int(time.Second/claimer.DefaultBatchInterval)
			t.Logf("%d claims a second: %.1f writes a second, largest window %d bytes", rate, float64(tf.store.writes)/seconds, tf.store.largestValue)
			tf.Check(tf.store.writes <= min(most, 2*seconds*rate), qt.IsTrue)
		})
	}
}
