// Package follower keeps the view of a daemon up to the source of tables,
// endpoints, roll-outs, closures and members.
//
// One daemon of the fleet watches the source; the first of each data centre follow
// it and the others follow these. Each answer is a proof of how recent a topic is, dated by when its call was sent and
// passed on with its age. The clock counts suspensions, so no proof outlives one.
// A daemon whose proofs grow old watches the source by itself.
package follower

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/core/timekeeper"
)

const (
	// LapseTime is how long entries that were gone after an outage of the source
	// are kept: endpoints that live are listed again within some two seconds of it,
	// and those that left take no more work two seconds after they were gone.
	LapseTime = 1700 * time.Millisecond
	// OutageTime is a silence, beside a watch, in which entries may lapse: endpoints
	// write about each second, and lapse after three times that.
	OutageTime = 1700 * time.Millisecond
	// parkTime is the period in which a daemon looks whether it must watch.
	parkTime = 100 * time.Millisecond

	// retryLeast and retryMost bound the wait before the first daemon's next call after
	// a failure, so that the end of an outage is seen within a quarter of a second.
	// Daemons behind it wait longer by the square of their place, for they hear from
	// those before them: of a hundred, few try.
	// Only one topic tries; each call is paid for, refused or not.
	retryLeast = 50 * time.Millisecond
	retryMost  = 250 * time.Millisecond
	// retryLast bounds the wait of all: an outage lasts seconds.
	retryLast = 4 * time.Second
	// maxDoublings bounds the doublings of a wait before it is cut.
	maxDoublings = 8
	// settleTime is how long a daemon that has listed a topic looks for another one to
	// follow before it watches: members are known and links are made within some 600 ms
	// of a start. With the wait of the watch after it, it stays below the least limit.
	settleTime = 700 * time.Millisecond
	// changeGap is the least time between two watches that answer with changes. Some
	// entry changes at any moment in a large fleet, and each call is paid for; those
	// that leave need be heeded within two seconds.
	changeGap = 250 * time.Millisecond
	// earlyCount is the number of daemons of a data centre that watch by themselves as
	// soon as what they hear is too old. The others hear from these within lateTime, or
	// else do so too: hundreds must not call at the same moment.
	earlyCount = 2
	lateTime   = 500 * time.Millisecond
	// never is the age of what was never proved.
	never = time.Duration(1<<63 - 1)
)

// Waits and limits of the topics. A wait bounds a quiet watch and with it the age
// of proofs, which is up to twice as long. Beyond the limit a daemon that follows
// another watches by itself: within the two seconds in which tables and leaving
// endpoints must be heeded, and the five of closures and roll-outs.
var (
	waits = [samphireturn.TopicCount]time.Duration{
		samphireturn.TopicTable:    800 * time.Millisecond,
		samphireturn.TopicHosts:    800 * time.Millisecond,
		samphireturn.TopicRollouts: 1500 * time.Millisecond,
		samphireturn.TopicClosures: 1500 * time.Millisecond,
		samphireturn.TopicMembers:  3 * time.Second,
	}
	limits = [samphireturn.TopicCount]time.Duration{
		samphireturn.TopicTable:    1800 * time.Millisecond,
		samphireturn.TopicHosts:    1800 * time.Millisecond,
		samphireturn.TopicRollouts: 4 * time.Second,
		samphireturn.TopicClosures: 4 * time.Second,
		samphireturn.TopicMembers:  8 * time.Second,
	}

	failures = expvar.NewMap("follower_failure")
	faults   = expvar.NewMap("follower_fault")
	changes  = expvar.NewMap("follower_change")
)

// Follower is a service. Set the exported fields before Register and Run.
type Follower struct {
	Source  samphireturn.Source
	Control samphireturn.Control
	// Peers may be nil: then the daemon watches by itself.
	Peers samphireturn.Peers
	Self  samphireturn.VM
	Log   zerolog.Logger
	// Clock counts suspensions too.
	Clock func() time.Duration
	// Rand returns a number from 0 up to 1 for the jitter of retries.
	Rand func() float64

	mu     sync.Mutex
	topics [samphireturn.TopicCount]topic
	// renewed is closed and replaced when any topic changes, or one is proved whose
	// proofs must be young.
	renewed chan struct{}
	// following is the daemon that is followed, while it answers.
	following string
	// failed holds until when daemons are not followed, since that failed.
	failed map[string]time.Duration
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// New returns a follower.
func New(source samphireturn.Source, control samphireturn.Control, clock func() time.Duration, log zerolog.Logger) *Follower {
	f := &Follower{
		Source: source, Control: control, Clock: clock, Log: log,
		Rand:    rand.Float64,
		renewed: make(chan struct{}),
		failed:  make(map[string]time.Duration),
	}
	for i := range f.topics {
		t := &f.topics[i]
		t.name = samphireturn.Topic(i)
		t.entries = make(map[string]samphireturn.Entry)
		t.gone = make(map[string]time.Duration)
		t.trouble = -LapseTime
	}
	return f
}

// Run starts to follow.
func (f *Follower) Run(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	for i := range f.topics {
		t := &f.topics[i]
		f.wait.Go(func() { f.watch(ctx, t) })
	}
	f.wait.Go(func() {
		for timekeeper.Sleep(ctx, parkTime) {
			f.expire(&f.topics[samphireturn.TopicHosts])
		}
	})
	if f.Peers != nil {
		f.wait.Go(func() { f.poll(ctx) })
	}
	return nil
}

// Close stops and waits.
func (f *Follower) Close() error {
	f.cancel()
	f.wait.Wait()
	return nil
}

// TopicAge returns how old the newest proof of a topic is.
func (f *Follower) TopicAge(name samphireturn.Topic) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(&f.topics[name])
}

// age is Age for callers that hold mu.
func (f *Follower) age(t *topic) time.Duration {
	if !t.proved {
		return never
	}
	return f.Clock() - t.proof
}

// watch lists and watches one topic at the source until ctx ends, whenever this
// daemon is to do so.
func (f *Follower) watch(ctx context.Context, t *topic) {
	tries := 0
	for ctx.Err() == nil {
		if !f.direct(t) || f.waits(t) {
			timekeeper.Sleep(ctx, parkTime)
			continue
		}
		gap, err := f.step(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			tries = 0
			f.regained(t)
			timekeeper.Sleep(ctx, gap)
			continue
		}
		if samphireturn.KindOf(err) == samphireturn.KindExpired {
			f.relist(t)
			continue
		}
		f.lost(t, err)
		if !timekeeper.Sleep(ctx, time.Duration((0.5+f.Rand()/2)*float64(f.backoff(tries)))) {
			return
		}
		tries++
	}
}

// backoff returns the wait after a number of tries that failed.
func (f *Follower) backoff(tries int) time.Duration {
	wait := min(retryLeast<<min(tries, maxDoublings), retryMost)
	place := time.Duration(1 + f.place())
	return min(wait*place*place, retryLast)
}

// direct reports whether this daemon is to watch a topic by itself: as the one
// that others follow, or while what it hears from another is too old.
func (f *Follower) direct(t *topic) bool {
	if f.Peers == nil || f.chosen() {
		return true
	}
	f.mu.Lock()
	over := f.age(t) - limits[t.name]
	f.mu.Unlock()
	return over > lateTime || over > 0 && f.ahead() < earlyCount
}

// waits reports whether a topic waits for the table's to see the source return.
func (f *Follower) waits(t *topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.name != samphireturn.TopicTable && f.topics[samphireturn.TopicTable].failing
}

// step makes one call to the source and applies its answer. It returns the time to
// wait before the next.
func (f *Follower) step(ctx context.Context, t *topic) (time.Duration, error) {
	f.mu.Lock()
	listed, since, wait := t.listed, t.version, waits[t.name]
	if t.failing || f.age(t) > limits[t.name] {
		// A proof that is wanted at once must not wait for a change.
		wait = time.Millisecond
	}
	f.mu.Unlock()
	sent := f.Clock()
	var (
		batch samphireturn.Batch
		err   error
	)
	if listed {
		batch, err = f.Source.Watch(ctx, t.name, since, wait)
	} else {
		batch, err = f.Source.List(ctx, t.name)
	}
	meter.ObserveSourceCall(t.name.String(), outcome(err), f.Clock()-sent)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage(t, sent)
	if listed {
		f.update(t, batch)
	} else {
		f.replace(t, batch)
	}
	f.prove(t, sent)
	switch {
	case !listed && t.name != samphireturn.TopicMembers:
		return settleTime, nil
	case !listed || len(batch.Entries) > 0:
		return changeGap, nil
	}
	return 0, nil
}

// outcome names how a call ended, for the meters.
func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return samphireturn.KindOf(err).String()
}

// relist makes the next call a list, since the history is gone.
func (f *Follower) relist(t *topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.listed = false
	f.Log.Info().Str("event", logger.EventHistoryGone).Stringer("topic", t.name).Uint64("version", t.version).Send()
}

// lost notes that the source failed.
func (f *Follower) lost(t *topic, err error) {
	failures.Add(t.name.String(), 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.failing {
		t.failing = true
		f.Log.Warn().Str("event", logger.EventSourceLost).Stringer("topic", t.name).Err(err).Dur("age", f.age(t)).Send()
	}
}

// regained notes that the source answers again.
func (f *Follower) regained(t *topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.failing {
		return
	}
	t.failing = false
	f.Log.Info().Str("event", logger.EventSourceRegained).Stringer("topic", t.name).Dur("age", f.age(t)).Send()
}
