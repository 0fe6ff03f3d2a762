package picker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
)

// TestObservedThroughput tests when the observed throughput of an endpoint is used:
// if that of the other one is known too, and while it is recent or requests are in
// flight there.
func TestObservedThroughput(t *testing.T) {
	tests := []struct {
		name         string
		bothObserved bool // whether the healthy endpoint has answered too
		elapsed      time.Duration
		inFlight     int64
		throughput   int // tokens per second of the slow endpoint's answer
		wantPicked   bool
	}{
		{name: "slow", bothObserved: true, throughput: 10},
		{name: "at most the reported throughput", bothObserved: true, throughput: 100000, wantPicked: true},
		{name: "other not observed", throughput: 10, wantPicked: true},
		{name: "idle beyond the TTL", bothObserved: true, elapsed: throughputTTL + 1, throughput: 10, wantPicked: true},
		{name: "slow answers in flight", bothObserved: true, elapsed: throughputTTL + 1, inFlight: 1, throughput: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, p := newSnapshot(2), newPicker(1)
			slow, healthy := s.Endpoints["e0"], s.Endpoints["e1"]
			p.ObserveThroughput(slow, 0, tt.throughput, 1, time.Second)
			if tt.bothObserved {
				p.ObserveThroughput(healthy, 0, 1000, 1, time.Second)
			}
			slow.Quota.Requests.Store(tt.inFlight)
			healthy.Quota.Requests.Store(1)
			now := second + int64(tt.elapsed)
			p.Now = func() int64 { return now }
			slow.Quota.Expires.Store(now + second)
			healthy.Quota.Expires.Store(now + second)
			picked, always := false, true
			for range 50 {
				e, err := p.Endpoint(s, &sr.Request{OutputTokens: 10}, s.Endpoints["e0"].Versions[0], nil)
				c.Assert(err, qt.IsNil)
				picked = picked || e == slow
				always = always && e == slow
			}
			c.Check(picked, qt.Equals, tt.wantPicked)
			c.Check(always, qt.IsFalse)
		})
	}
}
