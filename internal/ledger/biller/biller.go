// Package biller keeps usage records until the platform has stored them.
//
// A record is added to the open segment of the process that served the request.
// Before Record returns, it is also copied to a buddy: the connected daemon
// that ranks first by rendezvous hashing. Records that arrive while a copy is
// in flight are sent together in the next one. Segments are written as
// usage/<instance>/<number> by conditional create. The owner writes them at a
// fixed interval and when they are full; a buddy writes its copies when the
// owner is gone or when a copy grows old.
//
// The object name serves as the fence between writers. A writer that finds a
// name taken reads the object, drops the records that are in it, and tries the
// rest under the next number. No name is written twice, so no record is
// overwritten. A record is written twice only if two writers, each unaware of
// the other's write, carry it to different names; readers drop repeated request
// ids. A write whose reply was lost is retried and then finds its own records.
package biller

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"samphireturn"
)

const (
	// Prefix is the common prefix of the names of all segments.
	Prefix = "usage/"
	// TopicCopy is the topic of calls that send records to a buddy.
	TopicCopy = "usage.copy"
	// TopicDone is the topic of calls that report to a buddy that a segment is
	// written.
	TopicDone = "usage.done"

	// DefaultFlushInterval is the time between writes of the open segment.
	DefaultFlushInterval = 10 * time.Second
	// DefaultMaxCopyAge is the age at which a buddy writes a copy itself.
	DefaultMaxCopyAge = time.Minute
	// DefaultCallTimeout bounds one peer call and the write of one segment.
	DefaultCallTimeout = 2 * time.Second
	// DefaultSegmentBytes bounds the records of a segment.
	DefaultSegmentBytes = 256 << 10
	// DefaultMaxBytes bounds the memory for own records, and likewise for
	// copies.
	DefaultMaxBytes = 16 << 20

	// maxRecordBytes bounds one encoded record.
	maxRecordBytes = 4 << 10
	// maxBuddies bounds the daemons that are tried for one copy.
	maxBuddies = 2
	// flushBackoff is how long Record does not try the platform after a failed
	// write.
	flushBackoff = time.Second
)

// Biller is the service that records usage. Set the exported fields before
// calling Register and Run.
type Biller struct {
	Store samphireturn.Store
	Peers samphireturn.Peers
	// Instance names this process; no two processes share a name.
	Instance string
	Log      zerolog.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// RankBuddies orders the connected daemons by preference as buddies of an
	// instance; nil means rendezvous hashing.
	RankBuddies func(instance string, ids []string) []string
	// IsListed reports whether a daemon is in the platform's VM list. Copies of
	// a daemon that is not listed are written at the next interval; nil means
	// that every daemon is listed.
	IsListed func(id string) bool
	// Zero in any of the following fields means the default of the same name.
	FlushInterval, MaxCopyAge, CallTimeout time.Duration
	SegmentBytes, MaxBytes                 int

	// writeMu serializes the writes of own segments.
	writeMu sync.Mutex
	// lastFailure is when the last write failed; zero if it succeeded. It is
	// guarded by writeMu.
	lastFailure time.Time

	mu     sync.Mutex
	closed bool
	open   *segment
	// sealed are the closed segments that are not yet written, oldest first.
	sealed []*segment
	number uint64
	bytes  int
	copies copySet
	// nextBatch collects records for the next copy.
	nextBatch *copyBatch
	// failedBuddies maps each buddy that did not take a copy to the time of
	// that failure.
	failedBuddies map[string]time.Time

	// sendSlot holds one value while a copy is in flight; mu guards its
	// creation.
	sendSlot chan struct{}

	wake   chan struct{}
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// segment holds the records that are written under one name.
type segment struct {
	instance string
	number   uint64
	records  []samphireturn.Usage
	bytes    int
	// buddies are the daemons that may hold copies of some of the records.
	buddies map[string]bool
	created time.Time
}

// Register registers the handlers of the biller's topics. It must be called
// before the peers run.
func (b *Biller) Register() {
	b.Peers.Handle(TopicCopy, b.handleCopy)
	b.Peers.Handle(TopicDone, b.handleDone)
}

// Run starts the periodic writes.
func (b *Biller) Run(ctx context.Context) error {
	if b.Instance == "" || b.Store == nil || b.Peers == nil {
		return &Error{Op: "run biller", Kind: KindInvalid}
	}
	ctx, b.cancel = context.WithCancel(ctx)
	b.mu.Lock()
	b.wake = make(chan struct{}, 1)
	b.mu.Unlock()
	b.tasks.Go(func() { b.loop(ctx) })
	return nil
}

// Close rejects further records, writes the remaining ones and waits. An error
// of KindUnwritten means that records stay unwritten; the buddies that have
// copies write them.
func (b *Biller) Close() error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	if b.cancel != nil {
		b.cancel()
	}
	b.tasks.Wait()
	return b.Flush(context.Background())
}

// Record adds u to the open segment and returns once a buddy has a copy or the
// platform has the segment. If neither can be reached, the record stays in
// memory for the next write and is counted as exposed. The error is nil in that
// case, because the caller gets its answer either way. An error means that the
// record was not accepted: it is of KindInvalid if u has no request id or its
// encoding is longer than maxRecordBytes, of KindFull or of KindClosed.
func (b *Biller) Record(ctx context.Context, u samphireturn.Usage) error {
	op := "record " + u.Request
	// The usage counts even if the caller has hung up.
	ctx = context.WithoutCancel(ctx)
	body, err := cbor.Marshal(u)
	if err != nil || u.Request == "" || len(body) > maxRecordBytes {
		return newError(op, KindInvalid, err)
	}
	s, err := b.appendRecord(op, u, len(body))
	if err != nil {
		return err
	}
	if b.replicate(ctx, s, u) {
		return nil
	}
	retries.Add("no buddy", 1)
	if b.ensureWritten(ctx, s) {
		return nil
	}
	counters.Add("exposed", 1)
	b.Log.Warn().Str("request", u.Request).Msg("usage record is in memory only")
	return nil
}

// appendRecord adds u, of the given encoded size, to the open segment and
// returns that segment.
func (b *Biller) appendRecord(op string, u samphireturn.Usage, size int) (*segment, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, newError(op, KindClosed, nil)
	}
	if b.bytes+size > cmp.Or(b.MaxBytes, DefaultMaxBytes) {
		return nil, newError(op, KindFull, nil)
	}
	if b.open != nil && b.open.bytes+size > cmp.Or(b.SegmentBytes, DefaultSegmentBytes) {
		b.sealOpen()
		b.wakeLoop()
	}
	if b.open == nil {
		b.number++
		b.open = &segment{instance: b.Instance, number: b.number, buddies: make(map[string]bool), created: b.now()}
	}
	b.open.records = append(b.open.records, u)
	b.open.bytes += size
	b.bytes += size
	counters.Add("recorded", 1)
	return b.open, nil
}

// sealOpen moves the open segment to the sealed ones. The caller holds mu.
func (b *Biller) sealOpen() {
	if b.open != nil {
		b.sealed = append(b.sealed, b.open)
		b.open = nil
	}
}

// loop writes own segments and orphaned copies until ctx ends.
func (b *Biller) loop(ctx context.Context) {
	tick := time.NewTicker(cmp.Or(b.FlushInterval, DefaultFlushInterval))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-tick.C:
		}
		if err := b.Flush(ctx); err != nil {
			retries.Add("flush failed", 1)
			b.Log.Warn().Err(err).Msg("usage segment not written")
		}
		b.writeCopies(ctx, b.orphanedCopies())
	}
}

// wakeLoop makes loop write without waiting for the next tick. The caller holds
// mu.
func (b *Biller) wakeLoop() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Biller) now() time.Time {
	if b.Now == nil {
		return time.Now()
	}
	return b.Now()
}
