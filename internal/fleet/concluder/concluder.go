// Package concluder writes the state of roll-outs. The first daemon in rank among
// those that are linked writes; the others follow later, so that one that is cut
// off delays a verdict but does not prevent it. All writes are conditional.
package concluder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/fleet/ranker"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/stager"
)

const (
	// period is the time between two looks at the roll-outs.
	period = 150 * time.Millisecond
	// turn is how much longer each next daemon in rank waits before it writes.
	turn = 700 * time.Millisecond
	// settle is how long a write's effect may take to come back by the watch.
	settle = 500 * time.Millisecond
)

// Concluder is a service. Set the exported fields before Run.
type Concluder struct {
	Source   samphireturn.Source
	Control  samphireturn.Control
	Peers    samphireturn.Peers
	Stager   *stager.Stager
	Balancer *balancer.Balancer
	Self     samphireturn.VM
	Log      zerolog.Logger
	// Clock counts suspensions too.
	Clock func() time.Duration

	due    map[string]due
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// due is a state that is to be written.
type due struct {
	state   string
	version uint64
	since   time.Duration
	next    time.Duration
}

// Run starts to look.
func (c *Concluder) Run(ctx context.Context) error {
	c.due = make(map[string]due)
	ctx, c.cancel = context.WithCancel(ctx)
	c.wait.Go(func() { c.loop(ctx) })
	return nil
}

// Close stops and waits.
func (c *Concluder) Close() error {
	c.cancel()
	c.wait.Wait()
	return nil
}

func (c *Concluder) loop(ctx context.Context) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v := c.Control.Snapshot().View
		if v == nil {
			continue
		}
		for _, r := range v.Rollouts {
			c.look(ctx, v, r)
		}
	}
}

// look writes the state of one roll-out if it is this daemon's turn.
func (c *Concluder) look(ctx context.Context, v *samphireturn.View, r *samphireturn.Rollout) {
	next, ok := c.Stager.NextState(r, func(release string) bool { return c.idle(v, r.Pool, release) })
	if !ok {
		delete(c.due, r.Pool)
		return
	}
	now := c.Clock()
	d := c.due[r.Pool]
	if d.state != next.State || d.version != r.Version {
		d = due{state: next.State, version: r.Version, since: now}
		c.due[r.Pool] = d
	}
	if now < d.next || now-d.since < time.Duration(c.rank(r.Pool))*turn {
		return
	}
	d.next = now + settle
	c.due[r.Pool] = d
	err := c.Source.UpdateRollout(ctx, next)
	c.Log.Info().Str("event", logger.EventConcluded).Str("pool", r.Pool).Str("release", r.Release).Str("state", next.State).
		Uint64("version", r.Version).Err(err).Send()
}

// rank returns the place of this daemon among those that are linked.
func (c *Concluder) rank(pool string) int {
	linked := c.Peers.Connected()
	var members []samphireturn.VM
	for _, m := range c.Control.Snapshot().Members {
		if m.ID == c.Self.ID || slices.Contains(linked, m.ID) {
			members = append(members, m)
		}
	}
	return max(0, slices.Index(ranker.Rank("rollout/"+pool, members), c.Self.ID))
}

// idle reports whether no daemon has work at an endpoint of another release.
func (c *Concluder) idle(v *samphireturn.View, pool, release string) bool {
	for _, h := range v.Hosts[pool] {
		if h.Release != release && c.Balancer.InFlight(h) > 0 {
			return false
		}
	}
	return true
}
