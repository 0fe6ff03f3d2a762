package biller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// ensureWritten writes the segment unless it is written already, and reports
// whether it is written. While the platform is down, only one call per
// flushBackoff waits for it.
func (b *Biller) ensureWritten(ctx context.Context, s *segment) bool {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	if !b.isUnwritten(s) {
		return true
	}
	if !b.lastFailure.IsZero() && b.now().Sub(b.lastFailure) < flushBackoff {
		return false
	}
	return b.flush(ctx) == nil
}

// Flush seals the open segment and writes all unwritten segments. After an
// error the unwritten records are kept for the next flush.
func (b *Biller) Flush(ctx context.Context) error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	return b.flush(ctx)
}

// flush is Flush for callers that hold writeMu.
func (b *Biller) flush(ctx context.Context) error {
	for {
		b.mu.Lock()
		if len(b.sealed) == 0 {
			b.sealOpen()
		}
		if len(b.sealed) == 0 {
			b.mu.Unlock()
			return nil
		}
		s := b.sealed[0]
		b.mu.Unlock()
		last, err := b.writeSegment(ctx, s)
		if err != nil {
			b.lastFailure = b.now()
			return &Error{Op: "flush " + s.name(), Kind: KindUnwritten, Err: err}
		}
		b.mu.Lock()
		b.sealed = b.sealed[1:]
		b.bytes -= s.bytes
		b.number = max(b.number, last)
		buddies := slices.Sorted(maps.Keys(s.buddies))
		b.mu.Unlock()
		b.lastFailure = time.Time{}
		b.notifyBuddies(ctx, s, buddies)
	}
}

// notifyBuddies makes the buddies drop their copies of a written segment. A
// buddy that is not reached writes its copy when that is old, and then finds
// the records already stored.
func (b *Biller) notifyBuddies(ctx context.Context, s *segment, buddies []string) {
	for _, id := range buddies {
		callCtx, cancel := context.WithTimeout(ctx, cmp.Or(b.CallTimeout, DefaultCallTimeout))
		if err := b.Peers.Call(callCtx, id, TopicDone, segmentMessage{Instance: s.instance, Number: s.number}, nil); err != nil {
			retries.Add("done failed", 1)
		}
		cancel()
	}
}

// isUnwritten reports whether the segment is still to be written.
func (b *Biller) isUnwritten(s *segment) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == s {
		return true
	}
	for _, f := range b.sealed {
		if f == s {
			return true
		}
	}
	return false
}
