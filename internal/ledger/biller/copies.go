package biller

import (
	"cmp"
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
)

const maxName = 256

// message is the body of both topics.
type message struct {
	Instance string               `cbor:"i"`
	Number   uint64               `cbor:"n"`
	Records  []samphireturn.Usage `cbor:"r"`
}

// copies are the records held for other daemons.
type copies struct {
	segments map[string]*segment
	bytes    int
}

// takeCopy keeps records of another daemon.
func (b *Biller) takeCopy(_ context.Context, from string, body []byte) (any, error) {
	op := "copy from " + from
	m, err := parse(op, body)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, refuse(op, KindClosed, nil)
	}
	if b.copies.bytes+len(body) > cmp.Or(b.Limit, DefaultLimit) {
		return nil, refuse(op, KindFull, nil)
	}
	if b.copies.segments == nil {
		b.copies.segments = make(map[string]*segment)
	}
	name := Name(m.Instance, m.Number)
	s, ok := b.copies.segments[name]
	if !ok {
		s = &segment{instance: m.Instance, number: m.Number, since: b.now()}
		b.copies.segments[name] = s
	}
	s.records = append(s.records, m.Records...)
	s.bytes += len(body)
	b.copies.bytes += len(body)
	counters.Add("copied", int64(len(m.Records)))
	return nil, nil
}

// takeDone drops the copies of a segment that its owner has written.
func (b *Biller) takeDone(_ context.Context, from string, body []byte) (any, error) {
	m, err := parse("done from "+from, body)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.copies.segments[Name(m.Instance, m.Number)]; ok {
		b.drop(s)
	}
	return nil, nil
}

// Gone writes the copies held for a daemon's process that is gone. If it is only
// paused, it finds the names taken when it wakes.
func (b *Biller) Gone(ctx context.Context, instance string) {
	b.writeCopies(ctx, b.copiesWhere(func(s *segment) bool { return s.instance == instance }))
}

// orphans returns the copies whose owner has left the list of VMs or has not
// written them in time.
func (b *Biller) orphans() []*segment {
	now := b.now()
	age := cmp.Or(b.Age, DefaultAge)
	return b.copiesWhere(func(s *segment) bool {
		if b.Listed != nil && !b.Listed(samphireturn.InstanceVM(s.instance)) {
			return true
		}
		return now.Sub(s.since) >= age
	})
}

func (b *Biller) copiesWhere(match func(*segment) bool) []*segment {
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

// writeCopies writes segments of others. A segment that got more records while
// it was written stays and is written again.
func (b *Biller) writeCopies(ctx context.Context, segments []*segment) {
	for _, s := range segments {
		b.mu.Lock()
		count := len(s.records)
		b.mu.Unlock()
		if _, err := b.write(ctx, s); err != nil {
			retries.Add("copy not written", 1)
			b.Log.Warn().Err(err).Str("segment", s.name()).Msg("usage copy not written")
			continue
		}
		b.mu.Lock()
		if len(s.records) == count {
			b.drop(s)
		}
		b.mu.Unlock()
	}
}

// drop forgets a copied segment. The caller holds mu.
func (b *Biller) drop(s *segment) {
	if b.copies.segments[s.name()] != s {
		return
	}
	delete(b.copies.segments, s.name())
	b.copies.bytes -= s.bytes
}

// Held returns the number of own records not written and of copies held.
func (b *Biller) Held() (own, copied int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open != nil {
		own = len(b.open.records)
	}
	for _, s := range b.full {
		own += len(s.records)
	}
	for _, s := range b.copies.segments {
		copied += len(s.records)
	}
	return own, copied
}

// parse decodes and checks a message.
func parse(op string, body []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, refuse(op, KindInvalid, err)
	}
	if m.Instance == "" || len(m.Instance) > maxName || m.Number == 0 {
		return m, refuse(op, KindInvalid, fmt.Errorf("instance %.20q, number %d", m.Instance, m.Number))
	}
	return m, nil
}
