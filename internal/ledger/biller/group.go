package biller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphireturn"
)

const (
	// maxGroup bounds the records of one copy.
	maxGroup = 256
	// avoidance is the time in which a buddy that did not take a copy comes last.
	avoidance = 10 * time.Second
)

// group is the records of one segment that are copied by one call.
type group struct {
	segment *segment
	records []samphireturn.Usage
	done    chan struct{}
	// kept is true if a buddy has them; it is set before done is closed.
	kept bool
}

// copy brings u to a buddy. Whoever begins a group sends it once the copy before
// it has ended; the others wait for it.
func (b *Biller) copy(ctx context.Context, s *segment, u samphireturn.Usage) bool {
	b.mu.Lock()
	g := b.next
	first := g == nil || g.segment != s || len(g.records) >= maxGroup
	if first {
		g = &group{segment: s, done: make(chan struct{})}
		b.next = g
	}
	g.records = append(g.records, u)
	if b.sending == nil {
		b.sending = make(chan struct{}, 1)
	}
	b.mu.Unlock()
	if !first {
		<-g.done
		return g.kept
	}
	b.sending <- struct{}{}
	defer func() { <-b.sending }()
	b.mu.Lock()
	if b.next == g {
		b.next = nil
	}
	b.mu.Unlock()
	g.kept = b.send(ctx, g)
	close(g.done)
	return g.kept
}

// send sends a group to the first buddy that takes it.
func (b *Biller) send(ctx context.Context, g *group) bool {
	for _, id := range b.buddies() {
		b.mu.Lock()
		g.segment.buddies[id] = true
		b.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, cmp.Or(b.Wait, DefaultWait))
		err := b.Peers.Call(call, id, TopicCopy, message{Instance: g.segment.instance, Number: g.segment.number, Records: g.records}, nil)
		cancel()
		if err == nil {
			counters.Add("copies", 1)
			return true
		}
		retries.Add("copy failed", 1)
		b.avoid(id)
	}
	return false
}

// buddies returns the daemons to try, those that failed lately last.
func (b *Biller) buddies() []string {
	rank := b.Rank
	if rank == nil {
		rank = rendezvous
	}
	ids := slices.Clone(rank(b.Instance, b.Peers.Connected()))
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	late := func(id string) int {
		if at, ok := b.failing[id]; ok && now.Sub(at) < avoidance {
			return 1
		}
		delete(b.failing, id)
		return 0
	}
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(late(x), late(y)) })
	return ids[:min(len(ids), maxBuddies)]
}

// avoid lets a buddy come last for a while.
func (b *Biller) avoid(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing == nil {
		b.failing = make(map[string]time.Time)
	}
	b.failing[id] = b.now()
}
