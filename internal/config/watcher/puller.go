package watcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"samphireturn/internal/config/publisher"
)

// handleGet handles TopicGet. It returns the bundle in force if it is newer than
// the peer's, and queues a pull if the peer's is newer.
func (w *Watcher) handleGet(_ context.Context, from string, body []byte) (any, error) {
	var state PeerState
	if err := decodeMessage(body, &state); err != nil {
		refusals.Add("message", 1)
		return nil, err
	}
	w.mu.Lock()
	b := w.bundle
	w.mu.Unlock()
	if state.Generation > b.Generation {
		w.queuePull(from)
	}
	if state.Generation >= b.Generation {
		return Bundle{Generation: b.Generation}, nil
	}
	return b.withoutParts(state.KnownParts), nil
}

// withoutParts returns b without the parts that have one of the hashes.
func (b Bundle) withoutParts(hashes []string) Bundle {
	parts := make(map[string][]byte, len(b.Parts))
	for hash, data := range b.Parts {
		if !slices.Contains(hashes, hash) {
			parts[hash] = data
		}
	}
	b.Parts = parts
	return b
}

// withParts returns b with those parts of known that its manifest names and b
// lacks.
func (b Bundle) withParts(known map[string][]byte) Bundle {
	m, err := publisher.Decode(b.Manifest)
	if err != nil {
		return b
	}
	parts := maps.Clone(b.Parts)
	if parts == nil {
		parts = make(map[string][]byte)
	}
	for _, p := range m.Parts {
		if data, ok := known[p.Hash]; ok && parts[p.Hash] == nil {
			parts[p.Hash] = data
		}
	}
	b.Parts = parts
	return b
}

// handleNew handles TopicNew. It records a reported outage of the platform and
// queues a pull if the peer's generation is newer.
func (w *Watcher) handleNew(_ context.Context, from string, body []byte) (any, error) {
	var state PeerState
	if err := decodeMessage(body, &state); err != nil {
		refusals.Add("message", 1)
		return nil, err
	}
	if state.PlatformUnreachable {
		w.mu.Lock()
		w.outageReported = w.Now()
		w.mu.Unlock()
	}
	if state.Generation > w.Generation() {
		w.queuePull(from)
	}
	return PeerState{Generation: w.Generation()}, nil
}

// queuePull makes pullFromNewer pull from the peer next. Only one peer is queued;
// the periodic pulls make up for the others.
func (w *Watcher) queuePull(peer string) {
	select {
	case w.newerPeer <- peer:
	default:
	}
}

// pullLoop pulls from all peers while no configuration is in force, and from one
// peer in turn afterwards.
func (w *Watcher) pullLoop() {
	for turn := 0; w.ctx.Err() == nil; turn++ {
		peers := w.Peers.Connected()
		switch {
		case len(peers) == 0:
		case w.Generation() == 0:
			w.pullFromAll(peers)
		default:
			w.pull(peers[turn%len(peers)], false)
		}
		w.pullFromNewer()
	}
}

// pullFromNewer waits for the next periodic pull and meanwhile pulls from the
// queued peers.
func (w *Watcher) pullFromNewer() {
	d := w.ExchangeInterval
	if w.Generation() == 0 {
		d = min(d, tickInterval)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case peer := <-w.newerPeer:
			w.pull(peer, true)
		case <-t.C:
			return
		}
	}
}

// pullFromAll pulls from the peers concurrently and waits for all of them.
func (w *Watcher) pullFromAll(peers []string) {
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { w.pull(p, false) })
	}
	wg.Wait()
}

// pull requests the peer's configuration and adopts it if it is newer. If the peer
// is known to be newer, the request lists the parts that the reply can leave out.
func (w *Watcher) pull(peer string, knownNewer bool) {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	w.mu.Lock()
	known := w.bundle.Parts
	w.mu.Unlock()
	var b Bundle
	state := PeerState{Generation: w.Generation()}
	if knownNewer {
		state.KnownParts = slices.Sorted(maps.Keys(known))
	}
	if err := w.Peers.Call(ctx, peer, TopicGet, state, &b); err != nil {
		retries.Add("peer", 1)
		return
	}
	if len(b.Manifest) == 0 {
		return
	}
	if changed, err := w.adopt(b.withParts(known), peer); err == nil && changed {
		w.announce(peer)
	}
}

// announce sends the generation in force to every connected peer but its source.
// Peers that it does not reach pull the generation later.
func (w *Watcher) announce(source string) {
	w.broadcast(source, PeerState{Generation: w.Generation()})
}

// broadcast sends a message to every connected peer but the excluded one. It does
// not wait for the replies.
func (w *Watcher) broadcast(excluded string, state PeerState) {
	if w.Peers == nil {
		return
	}
	for _, p := range w.Peers.Connected() {
		if p == excluded {
			continue
		}
		w.wg.Go(func() {
			ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
			defer cancel()
			if err := w.Peers.Call(ctx, p, TopicNew, state, nil); err != nil {
				retries.Add("announce", 1)
			}
		})
	}
}
