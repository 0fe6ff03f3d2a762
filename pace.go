package samphireturn

import (
	"math"
	"sync/atomic"
	"time"
)

// paceDecay is the part of what is known that each new answer replaces.
const paceDecay = 1.0 / 16

// ThroughputEstimator learns the speed of an endpoint from the answers that it gave to this
// daemon. The zero value knows nothing. It is safe for concurrent use and takes
// no lock.
type ThroughputEstimator struct {
	// sums holds two float32: decayed work above decayed seconds.
	sums atomic.Uint64
	// at is when the last answer came, on the clock of Gauge.Lapse.
	at atomic.Int64
}

// Observe adds an answer of so many tokens that took so long while the endpoint
// had so many answers under way, this one included. Now is in nanoseconds on the
// clock of Gauge.Lapse.
func (p *ThroughputEstimator) Observe(tokens, answers float64, took time.Duration, now int64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	p.at.Store(now)
	for {
		old := p.sums.Load()
		work, seconds := unpack(old)
		work += paceDecay * (tokens*max(answers, 1) - work)
		seconds += paceDecay * (took.Seconds() - seconds)
		if p.sums.CompareAndSwap(old, pack(work, seconds)) {
			return
		}
	}
}

// Estimate returns the tokens a second that the endpoint makes for all its answers
// together, and when the last answer came. It is zero while nothing is known.
func (p *ThroughputEstimator) Estimate() (speed float64, at int64) {
	work, seconds := unpack(p.sums.Load())
	if seconds <= 0 {
		return 0, 0
	}
	return work / seconds, p.at.Load()
}

func pack(work, seconds float64) uint64 {
	return uint64(math.Float32bits(float32(work)))<<32 | uint64(math.Float32bits(float32(seconds)))
}

func unpack(sums uint64) (work, seconds float64) {
	return float64(math.Float32frombits(uint32(sums >> 32))), float64(math.Float32frombits(uint32(sums)))
}
