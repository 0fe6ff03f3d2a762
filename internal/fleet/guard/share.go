package guard

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphireturn"
)

// pushLoop pushes each period and, after a failure, at once.
func (g *Guard) pushLoop(ctx context.Context) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.urgent:
		}
		g.configure()
		g.fold()
		g.push(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// configure follows the configuration: rates, versions that are gone, and
// holds that a change of the version's state ends.
func (g *Guard) configure() {
	cfg := g.Control.Snapshot().Config
	if cfg == nil || cfg.Generation == g.generation {
		return
	}
	g.generation = cfg.Generation
	g.Counter.SetGuard(cfg.Guard)
	next := make(map[samphireturn.VersionRef]string)
	for _, m := range cfg.Models {
		for _, v := range m.Versions {
			next[samphireturn.VersionRef{Model: m.Name, Version: v.Name}] = v.State
		}
	}
	g.Counter.Retain(func(v samphireturn.VersionRef) bool { return next[v] != "" })
	for v, state := range next {
		old := g.states[v]
		g.mu.Lock()
		h := g.holds[v]
		g.mu.Unlock()
		if old != "" && old != state && h.Held() && h.Generation < cfg.Generation {
			g.adopt(Hold{Version: v, Epoch: h.Epoch + 1, Generation: cfg.Generation})
			g.Log.Info().Str("event", "version_released").Str("version", v.String()).Msg("its state was changed")
		}
	}
	g.states = next
}

// fold folds the counts of instances that have been on no member list for a
// while.
func (g *Guard) fold() {
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
			delete(g.absent, instance)
			return true
		}
		since, ok := g.absent[instance]
		if !ok {
			g.absent[instance] = now
			return true
		}
		return now.Sub(since) < foldAfter
	})
}

// push sends each peer what has changed since it last got a push. A peer that
// has not answered the last push yet is passed over, so that a silent link does
// not hold the others up.
func (g *Guard) push(ctx context.Context) {
	peers := g.Peers.Connected()
	g.forget(peers)
	totals := g.Counter.Totals()
	for _, id := range peers {
		m, keys := g.news(id, totals, peers)
		if len(m.Totals) == 0 && len(m.Holds) == 0 {
			continue
		}
		g.mu.Lock()
		busy := g.busy[id]
		g.busy[id] = true
		g.mu.Unlock()
		if !busy {
			g.wait.Go(func() { g.send(ctx, id, m, keys) })
		}
	}
}

// forget drops what was sent to peers that are no longer connected.
func (g *Guard) forget(peers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.sent {
		if !slices.Contains(peers, id) {
			delete(g.sent, id)
		}
	}
	maps.DeleteFunc(g.lost, func(id string, _ bool) bool { return !slices.Contains(peers, id) })
}

// send pushes a message to one peer. A lost push is repeated once before the
// period ends, and then each period.
func (g *Guard) send(ctx context.Context, id string, m message, keys map[entryKey]Total) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := g.Peers.Call(ctx, id, Topic, m, nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.busy, id)
	if err != nil {
		retries.Add("peer", 1)
		if !g.lost[id] {
			g.lost[id] = true
			g.hurry()
		}
		return
	}
	delete(g.lost, id)
	g.sent[id] = keys
}

// relays reports whether a daemon with links to the peers passes on counts
// between data centres.
func relays(s *samphireturn.Snapshot, peers []string) bool {
	return slices.ContainsFunc(s.Members, func(m samphireturn.VM) bool {
		return m.Centre != s.Self.Centre && slices.Contains(peers, m.ID)
	})
}

// first reports whether a linked daemon of another data centre is the one there that
// is told; it tells the others.
func first(centres map[string]string, peers []string, id string) bool {
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

// news returns the message for a peer and the counts that it will then have: this
// daemon's own within its data centre, and sums across. Peers are those with a link.
func (g *Guard) news(id string, totals []Totals, peers []string) (message, map[entryKey]Total) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.Control.Snapshot()
	centres := centresOf(s)
	centre, ok := centres[id]
	near := !ok || centre == s.Self.Centre
	relay := relays(s, peers)
	got, keys := g.sent[id], make(map[entryKey]Total)
	var m message
	if !near && !first(centres, peers, id) {
		totals = nil
	}
	for _, t := range totals {
		news := Totals{Version: t.Version, Epoch: t.Epoch, Instances: make(map[string]Total)}
		for name, n := range t.told(g.Counter.Instance, s.Self.Centre, near, relay) {
			k := entryKey{t.Version, t.Epoch, name}
			keys[k] = n
			if got[k] != n {
				news.Instances[name] = n
			}
		}
		if len(news.Instances) > 0 {
			m.Totals = append(m.Totals, news)
		}
	}
	for _, h := range g.holds {
		k := entryKey{version: h.Version, epoch: h.Epoch}
		keys[k] = Total{Calls: h.Epoch}
		if _, ok := got[k]; !ok {
			m.Holds = append(m.Holds, h)
		}
	}
	return m, keys
}
