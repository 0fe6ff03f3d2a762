package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

// firstTokenTimes records the times to the first token that are reported.
type firstTokenTimes []time.Duration

// ObserveAttempt implements router.Observer.
func (f *firstTokenTimes) ObserveAttempt(_ *sr.Endpoint, _ sr.VersionRef, first time.Duration, _ *dispatcher.Error) {
	*f = append(*f, first)
}

// TestFirstToken guards against reporting the time of a whole answer as the time to
// the first token, which would make an endpoint with long answers look as if it
// were still warming up.
func TestFirstToken(t *testing.T) {
	for _, tt := range []struct {
		kind     string
		reported bool
	}{{"chat", false}, {"stream", true}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			b := newTestRouter(t, "wait/late")
			var f firstTokenTimes
			b.Observer = &f
			_, err := b.call(context.Background(), tt.kind, "r1")
			c.Assert(err, qt.IsNil)
			c.Assert(f, qt.HasLen, 1)
			c.Check(f[0] > 0, qt.Equals, tt.reported, qt.Commentf("%s: %s", tt.kind, f[0]))
		})
	}
}
