package samphireturn

import (
	"math"
	"sync/atomic"
	"time"
)

// throughputDecay is the weight of each new answer in the moving averages.
const throughputDecay = 1.0 / 16

// ThroughputEstimator estimates the throughput of an endpoint from its answers to
// this daemon. The zero value is ready to use. It is safe for concurrent use and
// lock-free.
type ThroughputEstimator struct {
	// sums holds two float32 moving averages: work in tokens in the upper half,
	// seconds in the lower.
	sums atomic.Uint64
	// at is when the last answer came, in nanoseconds on the clock of Quota.Expires.
	at atomic.Int64
}

// Observe adds an answer with the given tokens and duration. Answers is the number
// of answers in flight at the endpoint, this one included. Now is in nanoseconds on
// the clock of Quota.Expires.
func (t *ThroughputEstimator) Observe(tokens, answers float64, took time.Duration, now int64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	t.at.Store(now)
	for {
		old := t.sums.Load()
		work, seconds := unpack(old)
		work += throughputDecay * (tokens*max(answers, 1) - work)
		seconds += throughputDecay * (took.Seconds() - seconds)
		if t.sums.CompareAndSwap(old, pack(work, seconds)) {
			return
		}
	}
}

// Estimate returns the endpoint's throughput over all its concurrent answers, in
// tokens per second, and when the last answer came. Both are zero before the first
// answer.
func (t *ThroughputEstimator) Estimate() (tokensPerSecond float64, at int64) {
	work, seconds := unpack(t.sums.Load())
	if seconds <= 0 {
		return 0, 0
	}
	return work / seconds, t.at.Load()
}

func pack(work, seconds float64) uint64 {
	return uint64(math.Float32bits(float32(work)))<<32 | uint64(math.Float32bits(float32(seconds)))
}

func unpack(sums uint64) (work, seconds float64) {
	return float64(math.Float32frombits(uint32(sums >> 32))), float64(math.Float32frombits(uint32(sums)))
}
