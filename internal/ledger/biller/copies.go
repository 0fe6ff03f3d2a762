package biller

import (
	"cmp"
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
)

// maxInstanceBytes bounds the instance name in a message.
const maxInstanceBytes = 256

// segmentMessage is the body of calls of both topics.
type segmentMessage struct {
	Instance string               `cbor:"i"`
	Number   uint64               `cbor:"n"`
	Records  []samphireturn.Usage `cbor:"r"`
}

// copySet holds the copied records of other daemons, by segment name.
type copySet struct {
	segments map[string]*segment
	bytes    int
}

// handleCopy keeps records of another daemon in memory.
func (b *Biller) handleCopy(_ context.Context, from string, body []byte) (any, error) {
	op := "copy from " + from
	m, err := decodeMessage(op, body)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, newError(op, KindClosed, nil)
	}
	if b.copies.bytes+len(body) > cmp.Or(b.MaxBytes, DefaultMaxBytes) {
		return nil, newError(op, KindFull, nil)
	}
	if b.copies.segments == nil {
		b.copies.segments = make(map[string]*segment)
	}
	name := Name(m.Instance, m.Number)
	s, ok := b.copies.segments[name]
	if !ok {
		s = &segment{instance: m.Instance, number: m.Number, created: b.now()}
		b.copies.segments[name] = s
	}
	s.records = append(s.records, m.Records...)
	s.bytes += len(body)
	b.copies.bytes += len(body)
	counters.Add("copied", int64(len(m.Records)))
	return nil, nil
}

// handleDone drops the copies of a segment that its owner has written.
func (b *Biller) handleDone(_ context.Context, from string, body []byte) (any, error) {
	m, err := decodeMessage("done from "+from, body)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.copies.segments[Name(m.Instance, m.Number)]; ok {
		b.dropCopy(s)
	}
	return nil, nil
}

// WriteCopiesOf writes the copies held for a process that is gone. If the
// process was only paused, it finds the names taken when it resumes.
func (b *Biller) WriteCopiesOf(ctx context.Context, instance string) {
	b.writeCopies(ctx, b.matchingCopies(func(s *segment) bool { return s.instance == instance }))
}

// orphanedCopies returns the copies whose owner is no longer in the VM list or
// that are older than MaxCopyAge.
func (b *Biller) orphanedCopies() []*segment {
	now := b.now()
	maxAge := cmp.Or(b.MaxCopyAge, DefaultMaxCopyAge)
	return b.matchingCopies(func(s *segment) bool {
		if b.IsListed != nil && !b.IsListed(samphireturn.InstanceVM(s.instance)) {
			return true
		}
		return now.Sub(s.created) >= maxAge
	})
}

func (b *Biller) matchingCopies(match func(*segment) bool) []*segment {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []*segment
	for _, s := range b.copies.segments {
		if match(s) {
			found = append(found, s)
		}
	}
	return found
}

// writeCopies writes segments of other daemons. A segment that received more
// records during its write is kept and written again later.
func (b *Biller) writeCopies(ctx context.Context, segments []*segment) {
	for _, s := range segments {
		b.mu.Lock()
		count := len(s.records)
		b.mu.Unlock()
		if _, err := b.writeSegment(ctx, s); err != nil {
			retries.Add("copy not written", 1)
			b.Log.Warn().Err(err).Str("segment", s.name()).Msg("usage copy not written")
			continue
		}
		b.mu.Lock()
		if len(s.records) == count {
			b.dropCopy(s)
		}
		b.mu.Unlock()
	}
}

// dropCopy removes a copied segment. The caller holds mu.
func (b *Biller) dropCopy(s *segment) {
	if b.copies.segments[s.name()] != s {
		return
	}
	delete(b.copies.segments, s.name())
	b.copies.bytes -= s.bytes
}

// UnwrittenCounts returns the number of own records that are not yet written
// and the number of copied records.
func (b *Biller) UnwrittenCounts() (own, copied int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open != nil {
		own = len(b.open.records)
	}
	for _, s := range b.sealed {
		own += len(s.records)
	}
	for _, s := range b.copies.segments {
		copied += len(s.records)
	}
	return own, copied
}

// decodeMessage decodes and validates a message sent by a peer.
func decodeMessage(op string, body []byte) (segmentMessage, error) {
	var m segmentMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, newError(op, KindInvalid, err)
	}
	if m.Instance == "" || len(m.Instance) > maxInstanceBytes || m.Number == 0 {
		return m, newError(op, KindInvalid, fmt.Errorf("instance %.20q, number %d", m.Instance, m.Number))
	}
	return m, nil
}
