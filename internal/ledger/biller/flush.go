package biller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// settle writes the segment and tells whether it is written. While the platform
// is down only one call in each backoff waits for it.
func (b *Biller) settle(ctx context.Context, s *segment) bool {
	b.writing.Lock()
	defer b.writing.Unlock()
	if !b.pending(s) {
		return true
	}
	if !b.failed.IsZero() && b.now().Sub(b.failed) < backoff {
		return false
	}
	return b.flush(ctx) == nil
}

// Flush closes the open segment and writes all that is not written. With an
// error the records stay for the next try.
func (b *Biller) Flush(ctx context.Context) error {
	b.writing.Lock()
	defer b.writing.Unlock()
	return b.flush(ctx)
}

// flush is Flush for a caller that holds writing.
func (b *Biller) flush(ctx context.Context) error {
	for {
		b.mu.Lock()
		if len(b.full) == 0 {
			b.seal()
		}
		if len(b.full) == 0 {
			b.mu.Unlock()
			return nil
		}
		s := b.full[0]
		b.mu.Unlock()
		last, err := b.write(ctx, s)
		if err != nil {
			b.failed = b.now()
			return &Error{Op: "flush " + s.name(), Kind: KindUnwritten, Err: err}
		}
		b.mu.Lock()
		b.full = b.full[1:]
		b.bytes -= s.bytes
		b.number = max(b.number, last)
		buddies := slices.Sorted(maps.Keys(s.buddies))
		b.mu.Unlock()
		b.failed = time.Time{}
		b.tell(ctx, s, buddies)
	}
}

// tell lets the buddies drop their copies. A copy that stays is written when it
// is old, and found to be there.
func (b *Biller) tell(ctx context.Context, s *segment, buddies []string) {
	for _, id := range buddies {
		call, cancel := context.WithTimeout(ctx, cmp.Or(b.Wait, DefaultWait))
		if err := b.Peers.Call(call, id, TopicDone, message{Instance: s.instance, Number: s.number}, nil); err != nil {
			retries.Add("done failed", 1)
		}
		cancel()
	}
}

// pending tells whether the segment is not yet written.
func (b *Biller) pending(s *segment) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == s {
		return true
	}
	for _, f := range b.full {
		if f == s {
			return true
		}
	}
	return false
}
