package picker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
)

// TestLearned tests when the learned speed of an endpoint counts: while another
// one's is known too, and while it is new or work is under way there.
func TestLearned(t *testing.T) {
	tests := []struct {
		name       string
		other      bool // whether the sound endpoint has answered
		after      time.Duration
		calls      int64
		speed      int // tokens a second of the slow endpoint's answer
		wantPicked bool
	}{
		{name: "slow", other: true, speed: 10},
		{name: "at most the report", other: true, speed: 100000, wantPicked: true},
		{name: "other unknown", speed: 10, wantPicked: true},
		{name: "idle for long", other: true, after: paceAge + 1, speed: 10, wantPicked: true},
		{name: "slow answers under way", other: true, after: paceAge + 1, calls: 1, speed: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s, p := fleet(2), newPicker(1)
			slow, sound := s.Endpoints["e0"], s.Endpoints["e1"]
			p.ObserveThroughput(slow, 0, tt.speed, 1, time.Second)
			if tt.other {
				p.ObserveThroughput(sound, 0, 1000, 1, time.Second)
			}
			slow.Quota.Requests.Store(tt.calls)
			sound.Quota.Requests.Store(1)
			now := second + int64(tt.after)
			p.Now = func() int64 { return now }
			slow.Quota.Expires.Store(now + second)
			sound.Quota.Expires.Store(now + second)
			picked, first := false, true
			for range 50 {
				e, err := p.Endpoint(s, &sr.Request{OutputTokens: 10}, s.Endpoints["e0"].Versions[0], nil)
				c.Assert(err, qt.IsNil)
				picked = picked || e == slow
				first = first && e == slow
			}
			c.Check(picked, qt.Equals, tt.wantPicked)
			c.Check(first, qt.IsFalse)
		})
	}
}
