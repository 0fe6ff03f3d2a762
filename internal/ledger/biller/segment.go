package biller

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"samphireturn"
)

// maxWriteAttempts bounds the creates of one writeSegment, over all names it tries.
const maxWriteAttempts = 64

// name returns the segment's object name.
func (s *segment) name() string { return Name(s.instance, s.number) }

// Name returns the object name of a segment.
func Name(instance string, number uint64) string {
	return fmt.Sprintf("%s%s/%08d", Prefix, instance, number)
}

// Decode decodes the value of a segment's object.
func Decode(value []byte) ([]samphireturn.Usage, error) {
	var records []samphireturn.Usage
	if err := cbor.Unmarshal(value, &records); err != nil {
		return nil, &Error{Op: "decode segment", Kind: KindInvalid, Err: err}
	}
	return records, nil
}

// writeSegment creates the segment's object and returns the last number used.
// If the name is taken, the records that are not in that object go under the
// next number, and so on. If the reply to a write is lost, the retry finds the
// records that the first write stored.
func (b *Biller) writeSegment(ctx context.Context, s *segment) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(b.CallTimeout, DefaultCallTimeout))
	defer cancel()
	b.mu.Lock()
	records := slices.Clone(s.records)
	b.mu.Unlock()
	number := s.number
	for range maxWriteAttempts {
		value, err := cbor.Marshal(records)
		if err != nil {
			return 0, err
		}
		name := Name(s.instance, number)
		_, err = b.Store.Create(ctx, name, value)
		switch samphireturn.KindOf(err) {
		case samphireturn.KindConflict:
			records, err = b.missingRecords(ctx, name, records)
			if err != nil {
				return 0, err
			}
			if len(records) == 0 {
				return number, nil
			}
			counters.Add("carried", int64(len(records)))
			number++
		case samphireturn.KindUnknown:
			retries.Add("lost answer", 1)
		default:
			if err == nil {
				counters.Add("segments", 1)
			}
			return number, err
		}
	}
	return 0, &samphireturn.Error{Op: "create " + Name(s.instance, number), Kind: samphireturn.KindConflict}
}

// missingRecords returns the records that are not in the named object. An
// object that can't be decoded counts as empty.
func (b *Biller) missingRecords(ctx context.Context, name string, records []samphireturn.Usage) ([]samphireturn.Usage, error) {
	object, err := b.Store.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	stored, err := Decode(object.Value)
	if err != nil {
		counters.Add("unreadable", 1)
		b.Log.Warn().Err(err).Str("segment", name).Msg("usage segment can't be read")
	}
	isStored := make(map[string]bool, len(stored))
	for _, u := range stored {
		isStored[u.Request] = true
	}
	return slices.DeleteFunc(records, func(u samphireturn.Usage) bool { return isStored[u.Request] }), nil
}

// rankByRendezvous orders ids by the hash of instance and id, highest first.
func rankByRendezvous(instance string, ids []string) []string {
	ids = slices.Clone(ids)
	rank := func(id string) uint64 { return xxhash.Sum64String(instance + "\x00" + id) }
	slices.SortFunc(ids, func(x, y string) int {
		if a, b := rank(x), rank(y); a != b && a > b {
			return -1
		} else if a != b {
			return 1
		}
		return 0
	})
	return ids
}
