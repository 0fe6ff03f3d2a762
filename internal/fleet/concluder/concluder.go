// Package concluder writes the state of roll-outs. The first daemon in rank among those
// that are linked writes; the others write after a delay that grows with their rank, so
// that an isolated daemon delays a change of state but does not prevent it. All writes
// are conditional.
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
	// checkInterval is the time between two checks of the roll-outs.
	checkInterval = 150 * time.Millisecond
	// rankDelay is how much longer each next daemon in rank waits before it writes.
	rankDelay = 700 * time.Millisecond
	// rewriteDelay is how long a daemon waits for the effect of its write to arrive
	// through the watch before it writes again.
	rewriteDelay = 500 * time.Millisecond
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
	// Clock returns a time that counts suspensions too.
	Clock func() time.Duration

	pending map[string]pendingWrite
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// pendingWrite is a state, with or without a proof, that is to be written to a roll-out of the
// given version.
type pendingWrite struct {
	state     string
	proven    bool
	version   samphireturn.Revision
	firstSeen time.Duration
	notBefore time.Duration
}

// Run starts to check the roll-outs.
func (c *Concluder) Run(ctx context.Context) error {
	c.pending = make(map[string]pendingWrite)
	ctx, c.cancel = context.WithCancel(ctx)
	c.wg.Go(func() { c.loop(ctx) })
	return nil
}

// Close stops the concluder and waits for its goroutine.
func (c *Concluder) Close() error {
	c.cancel()
	c.wg.Wait()
	return nil
}

func (c *Concluder) loop(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
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
			c.updateRollout(ctx, v, r)
		}
	}
}

// updateRollout writes the state of one roll-out if it has to change and it is this
// daemon's turn.
func (c *Concluder) updateRollout(ctx context.Context, v *samphireturn.View, r *samphireturn.Rollout) {
	if r.Version == (samphireturn.Revision{}) {
		// The source has no entry to write to.
		delete(c.pending, r.Pool)
		return
	}
	next, ok := c.Stager.NextState(r, func(release string) bool { return c.drained(v, r.Pool, release) })
	// The endpoints of the other releases end once it is done.
	unserved := next.State == samphireturn.RolloutDone && r.State != next.State && !stager.HasRelease(v, r.Pool, r.Release)
	if !ok || unserved {
		delete(c.pending, r.Pool)
		return
	}
	now := c.Clock()
	d := c.pending[r.Pool]
	proven := next.ProvenAt > 0
	if d.state != next.State || d.proven != proven || d.version != r.Version {
		d = pendingWrite{state: next.State, proven: proven, version: r.Version, firstSeen: now}
		c.pending[r.Pool] = d
	}
	if now < d.notBefore || now-d.firstSeen < time.Duration(c.rank(r.Pool))*rankDelay {
		return
	}
	d.notBefore = now + rewriteDelay
	c.pending[r.Pool] = d
	basis := c.Stager.Basis(r)
	err := c.Source.UpdateRollout(ctx, next)
	c.Log.Info().Str("event", logger.EventConcluded).Str("pool", r.Pool).Str("release", r.Release).Str("state", next.State).
		Bool("again", r.Unwritten).Uint64("era", r.Version.Era).Uint64("version", r.Version.Number).
		Interface("basis", basis).Err(err).Send()
}

// rank returns the position of this daemon among those that are linked.
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

// drained reports whether no daemon has work in flight at an endpoint of another
// release.
func (c *Concluder) drained(v *samphireturn.View, pool, release string) bool {
	for _, h := range v.Hosts[pool] {
		if h.Release != release && c.Balancer.InFlight(h) > 0 {
			return false
		}
	}
	return true
}
