// Package biller keeps usage records until the platform has them.
//
// A record goes into the open segment of the process that served the request
// and, before Record returns, to a buddy: the connected daemon that ranks first
// by rendezvous hashing. Records that come while a copy is under way go together
// with the next. Segments are written as usage/<instance>/<number> by
// conditional create, by the owner every so often or when full, and by the buddy
// when the owner is gone or a copy grows old.
//
// The name is the fence. Whoever finds a name taken reads what is there, drops
// the records that it holds, and tries the rest under the next number. A name is
// never written twice, so nothing is lost, and a record is written again only if
// two writers carry it past each other; readers drop a repeated request id. A
// write with a lost answer is tried again: it then finds its own records.
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
	// Prefix begins the names of the segments.
	Prefix = "usage/"
	// TopicCopy carries records to a buddy.
	TopicCopy = "usage.copy"
	// TopicDone tells a buddy that a segment is written.
	TopicDone = "usage.done"

	// DefaultEvery is the time between writes of the open segment.
	DefaultEvery = 10 * time.Second
	// DefaultAge is the age at which a buddy writes a copy itself.
	DefaultAge = time.Minute
	// DefaultWait bounds one peer call or platform write.
	DefaultWait = 2 * time.Second
	// DefaultSize bounds a segment, in bytes.
	DefaultSize = 256 << 10
	// DefaultLimit bounds the bytes of own and of copied records, each.
	DefaultLimit = 16 << 20

	maxRecord  = 4 << 10
	maxBuddies = 2
	backoff    = time.Second
)

// Biller is the service that records usage. Set the exported fields before Run.
type Biller struct {
	Store samphireturn.Store
	Peers samphireturn.Peers
	// Instance names this process; no two processes share a name.
	Instance string
	Log      zerolog.Logger
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Rank orders the connected daemons as buddies of an instance; nil means by
	// rendezvous hashing.
	Rank func(instance string, ids []string) []string
	// Listed reports whether a daemon is in the list of VMs; the copies of one
	// that is not are written. Nil means that all are.
	Listed func(id string) bool
	// Every, Age and Wait are times, Size and Limit are bytes; zero means the
	// default.
	Every, Age, Wait time.Duration
	Size, Limit      int

	// writing lets one goroutine write own segments, in order.
	writing sync.Mutex
	// failed is when the last write failed, zero if it did not; writing guards it.
	failed time.Time

	mu     sync.Mutex
	closed bool
	open   *segment
	// full are closed segments not yet written, in order.
	full   []*segment
	number uint64
	bytes  int
	copies copies
	// next gathers records for the next copy.
	next *group
	// failing holds the buddies that did not take a copy, with the time.
	failing map[string]time.Time

	// sending holds one value while a copy is under way; mu guards its creation.
	sending chan struct{}

	wake   chan struct{}
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// segment is the records of one name.
type segment struct {
	instance string
	number   uint64
	records  []samphireturn.Usage
	bytes    int
	// buddies hold copies of some of the records.
	buddies map[string]bool
	since   time.Time
}

// Register registers the handlers of the biller's topics. It must be called
// before the peers run.
func (b *Biller) Register() {
	b.Peers.Handle(TopicCopy, b.takeCopy)
	b.Peers.Handle(TopicDone, b.takeDone)
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

// Close stops taking records, writes what is left and waits. An error of
// KindUnwritten says how much stays behind; buddies write it if they have it.
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

// Record keeps u in the open segment and returns once a buddy holds a copy or
// the platform the segment. If neither can be reached the record stays in memory
// for the next write, is counted as exposed, and the error is nil: the caller
// has its answer either way. An error says that the record was not kept.
func (b *Biller) Record(ctx context.Context, u samphireturn.Usage) error {
	op := "record " + u.Request
	// A caller that hangs up still owes what was answered.
	ctx = context.WithoutCancel(ctx)
	body, err := cbor.Marshal(u)
	if err != nil || u.Request == "" || len(body) > maxRecord {
		return refuse(op, KindInvalid, err)
	}
	s, err := b.add(op, u, len(body))
	if err != nil {
		return err
	}
	if b.copy(ctx, s, u) {
		return nil
	}
	retries.Add("no buddy", 1)
	if b.settle(ctx, s) {
		return nil
	}
	counters.Add("exposed", 1)
	b.Log.Warn().Str("request", u.Request).Msg("usage record is in memory only")
	return nil
}

// add puts u into the open segment.
func (b *Biller) add(op string, u samphireturn.Usage, size int) (*segment, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, refuse(op, KindClosed, nil)
	}
	if b.bytes+size > cmp.Or(b.Limit, DefaultLimit) {
		return nil, refuse(op, KindFull, nil)
	}
	if b.open != nil && b.open.bytes+size > cmp.Or(b.Size, DefaultSize) {
		b.seal()
		b.nudge()
	}
	if b.open == nil {
		b.number++
		b.open = &segment{instance: b.Instance, number: b.number, buddies: make(map[string]bool), since: b.now()}
	}
	b.open.records = append(b.open.records, u)
	b.open.bytes += size
	b.bytes += size
	counters.Add("recorded", 1)
	return b.open, nil
}

// seal closes the open segment. The caller holds mu.
func (b *Biller) seal() {
	if b.open != nil {
		b.full = append(b.full, b.open)
		b.open = nil
	}
}

// loop writes own segments and old copies until ctx ends.
func (b *Biller) loop(ctx context.Context) {
	tick := time.NewTicker(cmp.Or(b.Every, DefaultEvery))
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
		b.writeCopies(ctx, b.orphans())
	}
}

// nudge wakes the loop. The caller holds mu.
func (b *Biller) nudge() {
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
