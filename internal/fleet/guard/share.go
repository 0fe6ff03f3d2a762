package guard

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphireturn"
)

// pushLoop pushes each pushInterval and, after a failure, at once.
func (g *Guard) pushLoop(ctx context.Context) {
	t := time.NewTicker(pushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.pushNow:
		}
		g.applyConfig()
		g.foldAbsent()
		g.push(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minPushGap):
		}
	}
}

// applyConfig applies a new configuration: it sets the rates, removes versions that are
// no longer configured, and releases held versions whose state has changed.
func (g *Guard) applyConfig() {
	cfg := g.Control.Snapshot().Config
	if cfg == nil || cfg.Generation == g.generation {
		return
	}
	g.generation = cfg.Generation
	g.Counter.SetGuard(cfg.Guard)
	states := make(map[samphireturn.VersionRef]string)
	for _, m := range cfg.Models {
		for _, v := range m.Versions {
			states[samphireturn.VersionRef{Model: m.Name, Version: v.Name}] = v.State
		}
	}
	g.Counter.Retain(func(v samphireturn.VersionRef) bool { return states[v] != "" })
	for v, state := range states {
		old := g.states[v]
		g.mu.Lock()
		h := g.holds[v]
		g.mu.Unlock()
		if old != "" && old != state && h.Held() && h.Generation < cfg.Generation {
			g.adopt(Hold{Version: v, Epoch: h.Epoch + 1, Generation: cfg.Generation})
			g.Log.Info().Str("event", "version_released").Str("version", v.String()).Msg("its state was changed")
		}
	}
	g.states = states
}

// foldAbsent folds the counts of instances that have been on no member list for
// foldDelay.
func (g *Guard) foldAbsent() {
	s, now := g.Control.Snapshot(), g.Now()
	listed := make(map[string]bool, len(s.Members))
	for _, m := range s.Members {
		listed[m.ID] = true
	}
	if len(listed) == 0 {
		return
	}
	g.Counter.Fold(func(instance string) bool {
		if listed[samphireturn.InstanceVM(instance)] || instance == g.Counter.Instance {
			delete(g.absentSince, instance)
			return true
		}
		since, ok := g.absentSince[instance]
		if !ok {
			g.absentSince[instance] = now
			return true
		}
		return now.Sub(since) < foldDelay
	})
}

// push sends each peer what has changed since its last successful push. A peer that has
// not answered the last push yet is skipped, so that an unresponsive link does not delay
// the others.
func (g *Guard) push(ctx context.Context) {
	peers := g.Peers.Connected()
	g.forgetDisconnected(peers)
	totals := g.Counter.Totals()
	for _, id := range peers {
		m, delivered := g.messageFor(id, totals, peers)
		if len(m.Totals) == 0 && len(m.Holds) == 0 {
			continue
		}
		g.mu.Lock()
		pushing := g.pushing[id]
		g.pushing[id] = true
		g.mu.Unlock()
		if !pushing {
			g.wg.Go(func() { g.send(ctx, id, m, delivered) })
		}
	}
}

// forgetDisconnected removes the records of what was sent to peers that are no longer
// connected.
func (g *Guard) forgetDisconnected(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.sent {
		if !slices.Contains(peers, id) {
			delete(g.sent, id)
		}
	}
	maps.DeleteFunc(g.unreached, func(id string, _ bool) bool { return !slices.Contains(peers, id) })
}

// send pushes a message to one peer and records the delivered counts. A lost push is
// retried once before the interval ends, and then each interval.
func (g *Guard) send(ctx context.Context, id string, m message, delivered map[entryKey]Total) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := g.Peers.Call(ctx, id, Topic, m, nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pushing, id)
	if err != nil {
		retries.Add("peer", 1)
		if !g.unreached[id] {
			g.unreached[id] = true
			g.requestPush()
		}
		return
	}
	delete(g.unreached, id)
	g.sent[id] = delivered
}

// isRelay reports whether a daemon with links to the peers passes counts on between data
// centres.
func isRelay(s *samphireturn.Snapshot, peers []string) bool {
	return slices.ContainsFunc(s.Members, func(m samphireturn.VM) bool {
		return m.Centre != s.Self.Centre && slices.Contains(peers, m.ID)
	})
}

// isCentreContact reports whether a linked daemon of another data centre is the one that
// receives counts for that data centre. It passes them on to the others there.
func isCentreContact(centres map[string]string, peers []string, id string) bool {
	return !slices.ContainsFunc(peers, func(other string) bool { return other < id && centres[other] == centres[id] })
}

// centresOf returns the data centre of each member.
func centresOf(s *samphireturn.Snapshot) map[string]string {
	centres := make(map[string]string, len(s.Members))
	for _, m := range s.Members {
		centres[m.ID] = m.Centre
	}
	return centres
}

// messageFor returns the message for a peer, and the counts that the peer has once it
// received the message. Within the data centre the message carries this daemon's own
// counts, across data centres it carries sums. Peers are the daemons with a link.
func (g *Guard) messageFor(id string, totals []Totals, peers []string) (message, map[entryKey]Total) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.Control.Snapshot()
	centres := centresOf(s)
	centre, ok := centres[id]
	sameCentre := !ok || centre == s.Self.Centre
	relay := isRelay(s, peers)
	sent, delivered := g.sent[id], make(map[entryKey]Total)
	var m message
	if !sameCentre && !isCentreContact(centres, peers, id) {
		totals = nil
	}
	for _, t := range totals {
		changed := Totals{Version: t.Version, Epoch: t.Epoch, Instances: make(map[string]Total)}
		for name, n := range t.countsFor(g.Counter.Instance, s.Self.Centre, sameCentre, relay) {
			k := entryKey{t.Version, t.Epoch, name}
			delivered[k] = n
			if sent[k] != n {
				changed.Instances[name] = n
			}
		}
		if len(changed.Instances) > 0 {
			m.Totals = append(m.Totals, changed)
		}
	}
	for _, h := range g.holds {
		k := entryKey{version: h.Version, epoch: h.Epoch}
		delivered[k] = Total{Calls: h.Epoch}
		if _, ok := sent[k]; !ok {
			m.Holds = append(m.Holds, h)
		}
	}
	return m, delivered
}
