package watcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"samphireturn/internal/config/publisher"
)

// handleGet answers a peer that asks for a configuration newer than its own.
func (w *Watcher) handleGet(_ context.Context, from string, body []byte) (any, error) {
	var a Ask
	if err := decode(body, &a); err != nil {
		refusals.Add("message", 1)
		return nil, err
	}
	w.mu.Lock()
	b := w.bundle
	w.mu.Unlock()
	if a.Generation > b.Generation {
		w.suggest(from)
	}
	if a.Generation >= b.Generation {
		return Bundle{Generation: b.Generation}, nil
	}
	return b.without(a.Have), nil
}

// without returns the bundle without the parts that have the hashes.
func (b Bundle) without(hashes []string) Bundle {
	parts := make(map[string][]byte, len(b.Parts))
	for hash, data := range b.Parts {
		if !slices.Contains(hashes, hash) {
			parts[hash] = data
		}
	}
	b.Parts = parts
	return b
}

// with returns the bundle with the parts that its manifest names and that it
// lacks, as far as they are known.
func (b Bundle) with(known map[string][]byte) Bundle {
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

// handleNew notes that a peer has put a generation in force.
func (w *Watcher) handleNew(_ context.Context, from string, body []byte) (any, error) {
	var a Ask
	if err := decode(body, &a); err != nil {
		refusals.Add("message", 1)
		return nil, err
	}
	if a.Blind {
		w.mu.Lock()
		w.blind = w.Now()
		w.mu.Unlock()
	}
	if a.Generation > w.Generation() {
		w.suggest(from)
	}
	return Ask{Generation: w.Generation()}, nil
}

// suggest makes the exchange ask the peer next. One suggestion is kept; what
// is lost the next exchange makes up for.
func (w *Watcher) suggest(peer string) {
	select {
	case w.kick <- peer:
	default:
	}
}

// exchange asks all peers at start and one after the other from then on.
func (w *Watcher) exchange() {
	for turn := 0; w.ctx.Err() == nil; turn++ {
		peers := w.Peers.Connected()
		switch {
		case len(peers) == 0:
		case w.Generation() == 0:
			w.askAll(peers)
		default:
			w.ask(peers[turn%len(peers)], false)
		}
		w.rest()
	}
}

// rest waits for the next exchange and asks peers that say they are newer.
func (w *Watcher) rest() {
	d := w.Exchange
	if w.Generation() == 0 {
		d = min(d, tick)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case peer := <-w.kick:
			w.ask(peer, true)
		case <-t.C:
			return
		}
	}
}

// askAll asks peers at the same time and waits for all.
func (w *Watcher) askAll(peers []string) {
	var all sync.WaitGroup
	for _, p := range peers {
		all.Go(func() { w.ask(p, false) })
	}
	all.Wait()
}

// ask takes over the peer's configuration if it is newer. A peer that is known to
// be newer is told which parts need not be sent.
func (w *Watcher) ask(peer string, newer bool) {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	w.mu.Lock()
	known := w.bundle.Parts
	w.mu.Unlock()
	var b Bundle
	a := Ask{Generation: w.Generation()}
	if newer {
		a.Have = slices.Sorted(maps.Keys(known))
	}
	if err := w.Peers.Call(ctx, peer, TopicGet, a, &b); err != nil {
		retries.Add("peer", 1)
		return
	}
	if len(b.Manifest) == 0 {
		return
	}
	if fresh, err := w.adopt(b.with(known), peer); err == nil && fresh {
		w.announce(peer)
	}
}

// announce tells every connected peer but the source of the generation in
// force. Peers that it does not reach ask by themselves.
func (w *Watcher) announce(source string) {
	w.tell(source, Ask{Generation: w.Generation()})
}

// tell sends a message to every connected peer but the source and does not wait.
func (w *Watcher) tell(source string, a Ask) {
	if w.Peers == nil {
		return
	}
	for _, p := range w.Peers.Connected() {
		if p == source {
			continue
		}
		w.wait.Go(func() {
			ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
			defer cancel()
			if err := w.Peers.Call(ctx, p, TopicNew, a, nil); err != nil {
				retries.Add("announce", 1)
			}
		})
	}
}
