package biller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphireturn"
)

const (
	// maxBatchRecords bounds the records of one copy.
	maxBatchRecords = 256
	// buddyPenaltyTime is how long a buddy that failed to take a copy ranks
	// last.
	buddyPenaltyTime = 10 * time.Second
)

// copyBatch holds the records of one segment that are copied by one call.
type copyBatch struct {
	segment *segment
	records []samphireturn.Usage
	done    chan struct{}
	// replicated is true if a buddy has the records. It is set before done is
	// closed.
	replicated bool
}

// replicate copies u to a buddy and reports whether one took it. The caller
// that begins a batch sends it, once the copy before it has ended; the callers
// that add to the batch wait for that.
func (b *Biller) replicate(ctx context.Context, s *segment, u samphireturn.Usage) bool {
	b.mu.Lock()
	batch := b.nextBatch
	first := batch == nil || batch.segment != s || len(batch.records) >= maxBatchRecords
	if first {
		batch = &copyBatch{segment: s, done: make(chan struct{})}
		b.nextBatch = batch
	}
	batch.records = append(batch.records, u)
	if b.sendSlot == nil {
		b.sendSlot = make(chan struct{}, 1)
	}
	b.mu.Unlock()
	if !first {
		<-batch.done
		return batch.replicated
	}
	b.sendSlot <- struct{}{}
	defer func() { <-b.sendSlot }()
	b.mu.Lock()
	if b.nextBatch == batch {
		b.nextBatch = nil
	}
	b.mu.Unlock()
	batch.replicated = b.sendBatch(ctx, batch)
	close(batch.done)
	return batch.replicated
}

// sendBatch sends the batch to the first buddy that takes it and reports
// whether one did.
func (b *Biller) sendBatch(ctx context.Context, batch *copyBatch) bool {
	for _, id := range b.rankedBuddies() {
		b.mu.Lock()
		batch.segment.buddies[id] = true
		b.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, cmp.Or(b.CallTimeout, DefaultCallTimeout))
		err := b.Peers.Call(callCtx, id, TopicCopy, segmentMessage{Instance: batch.segment.instance, Number: batch.segment.number, Records: batch.records}, nil)
		cancel()
		if err == nil {
			counters.Add("copies", 1)
			return true
		}
		retries.Add("copy failed", 1)
		b.markFailed(id)
	}
	return false
}

// rankedBuddies returns the daemons to try, in order. Those that failed
// recently come last.
func (b *Biller) rankedBuddies() []string {
	rank := b.RankBuddies
	if rank == nil {
		rank = rankByRendezvous
	}
	ids := slices.Clone(rank(b.Instance, b.Peers.Connected()))
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	failedRecently := func(id string) int {
		if at, ok := b.failedBuddies[id]; ok && now.Sub(at) < buddyPenaltyTime {
			return 1
		}
		delete(b.failedBuddies, id)
		return 0
	}
	slices.SortStableFunc(ids, func(x, y string) int { return cmp.Compare(failedRecently(x), failedRecently(y)) })
	return ids[:min(len(ids), maxBuddies)]
}

// markFailed makes a buddy rank last for buddyPenaltyTime.
func (b *Biller) markFailed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failedBuddies == nil {
		b.failedBuddies = make(map[string]time.Time)
	}
	b.failedBuddies[id] = b.now()
}
