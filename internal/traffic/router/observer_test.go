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

// firsts notes the first-token times that it is told.
type firsts []time.Duration

// Sent implements router.Observer.
func (f *firsts) Sent(_ *sr.Endpoint, _ sr.VersionRef, first time.Duration, _ *dispatcher.Error) {
	*f = append(*f, first)
}

// TestFirstToken checks that the time of a whole answer is not told as the time
// of a first token, which would make an endpoint with long answers look cold.
func TestFirstToken(t *testing.T) {
	for _, tt := range []struct {
		kind string
		told bool
	}{{"chat", false}, {"stream", true}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(t, "wait/late")
			var f firsts
			b.Observer = &f
			_, err := b.call(context.Background(), tt.kind, "r1")
			c.Assert(err, qt.IsNil)
			c.Assert(f, qt.HasLen, 1)
			c.Check(f[0] > 0, qt.Equals, tt.told, qt.Commentf("%s: %s", tt.kind, f[0]))
		})
	}
}
