// Package granter sets how much work this daemon may have under way at each
// endpoint.
package granter

import (
	"context"
	"sync"
	"time"

	"samphireturn"
)

const (
	// Life is how long a grant lasts.
	Life = 2 * time.Second

	period    = 500 * time.Millisecond
	coldShare = 0.1 // part of the budget that a cold endpoint is given
)

// Granter is a service that renews the grants of this daemon. Set the exported
// fields before Run.
type Granter struct {
	Control samphireturn.Control
	// Clock is the clock of Gauge.Lapse, in nanoseconds.
	Clock func() int64

	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// Run starts to renew grants and returns at once.
func (g *Granter) Run(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	g.wait.Go(func() { g.loop(ctx) })
	return nil
}

// Close stops the granter and waits for it.
func (g *Granter) Close() error {
	if g.cancel != nil {
		g.cancel()
	}
	g.wait.Wait()
	return nil
}

func (g *Granter) loop(ctx context.Context) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		g.renew(g.Control.Snapshot())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// renew gives each daemon of the data centre an equal part of each endpoint's
// budget. A cold endpoint is for its home alone.
func (g *Granter) renew(s *samphireturn.Snapshot) {
	daemons := int64(0)
	for _, m := range s.Members {
		if m.Centre == s.Self.Centre {
			daemons++
		}
	}
	for _, e := range s.Endpoints {
		if e.Centre != s.Self.Centre {
			continue
		}
		share := e.Budget / max(daemons, 1)
		if !e.Warm {
			share = 0
		}
		if !e.Warm && e.Home == s.Self.ID {
			share = int64(float64(e.Budget) * coldShare)
		}
		e.Gauge.Allowed.Store(share)
		e.Gauge.Lapse.Store(g.Clock() + int64(Life))
	}
}
