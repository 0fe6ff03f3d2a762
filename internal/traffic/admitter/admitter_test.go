package admitter_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/traffic/admitter"
)

// TestFaultLimits guards against a team that exceeds its limits or is refused below
// them: it admits requests one after the other and checks whether the last one is
// refused, by which limit and with which wait.
func TestFaultLimits(t *testing.T) {
	type step struct {
		tokens int
		used   int // closes the request with this use; -1 leaves it open
		pause  time.Duration
	}
	tests := []struct {
		name       string
		team       sr.Team
		scale      float64
		steps      []step
		lastTokens int // tokens of the last request
		kind       string
		wait       time.Duration
	}{
		{"no limits", sr.Team{}, 0, []step{{1e6, -1, 0}}, 1e6, "", 0},
		{"concurrent reached", sr.Team{MaxConcurrent: 2}, 0, []step{{1, -1, 0}, {1, -1, 0}}, 1, "concurrent", time.Second},
		{"concurrent request closed", sr.Team{MaxConcurrent: 2}, 0, []step{{1, -1, 0}, {1, 1, 0}}, 1, "", 0},
		{"scaled down", sr.Team{MaxConcurrent: 2}, 0.5, []step{{1, -1, 0}}, 1, "concurrent", time.Second},
		{"tokens used up", sr.Team{TokensPerMinute: 60}, 0, []step{{60, 60, 0}}, 30, "tokens", 30 * time.Second},
		{"tokens come back", sr.Team{TokensPerMinute: 60}, 0, []step{{60, 60, 30 * time.Second}}, 30, "", 0},
		{"estimate corrected", sr.Team{TokensPerMinute: 60}, 0, []step{{60, 10, 0}}, 50, "", 0},
		{"more used than estimated", sr.Team{TokensPerMinute: 60}, 0, []step{{10, 90, 0}}, 10, "tokens", 40 * time.Second},
		{"larger than a minute's worth", sr.Team{TokensPerMinute: 60}, 0, nil, 600, "", 0},
		{"overdrawn tokens do not stop a request without tokens", sr.Team{TokensPerMinute: 60}, 0, []step{{10, 90, 0}}, 0, "", 0},
		{"tokens scaled down", sr.Team{TokensPerMinute: 60}, 0.5, []step{{30, 30, 0}}, 15, "tokens", 30 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1e9, 0)
			a := &admitter.Admitter{Now: func() time.Time { return now }}
			for _, s := range tt.steps {
				admission, err := a.Admit(&tt.team, tt.scale, s.tokens)
				c.Assert(err, qt.IsNil)
				if s.used >= 0 {
					admission.Close(s.used)
				}
				now = now.Add(s.pause)
			}
			_, err := a.Admit(&tt.team, tt.scale, tt.lastTokens)
			var e *admitter.Error
			if !errors.As(err, &e) {
				c.Check(tt.kind, qt.Equals, "")
				c.Check(err, qt.IsNil)
				return
			}
			c.Check(e.Kind.String(), qt.Equals, tt.kind)
			c.Check(e.RetryAfter.Round(time.Millisecond), qt.Equals, tt.wait)
		})
	}
}
