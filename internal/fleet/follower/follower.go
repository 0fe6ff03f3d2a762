// Package follower keeps the view of a daemon up to the source of tables,
// endpoints, roll-outs, closures and members.
//
// Each topic is listed once and then watched by short watches, so that each
// answer is a proof of how recent the topic is. A proof is dated by when its
// call was sent. The clock counts suspensions, so none outlives one.
package follower

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
)

const (
	// TableWait is the longest wait of a watch of the table: a proof is at most
	// twice as old, well within the time in which a removed key must rest.
	TableWait = 1200 * time.Millisecond
	// TopicWait is that of other topics. It bounds how long a connection that went
	// silent holds a change back, together with the time-out of a call.
	TopicWait = 1500 * time.Millisecond
	// LapseTime is how long entries that were gone after an outage of the source
	// are kept: endpoints that live are listed again within some two seconds of it,
	// and those that left take no more work two seconds after they were gone.
	LapseTime = 1800 * time.Millisecond

	retryMin = 50 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// never is the age of what was never proved.
	never = time.Duration(1<<63 - 1)
)

var (
	failures = expvar.NewMap("follower_failure")
	faults   = expvar.NewMap("follower_fault")
	changes  = expvar.NewMap("follower_change")
)

// Follower is a service. Set the exported fields before Run.
type Follower struct {
	Source  samphireturn.Source
	Control samphireturn.Control
	Log     zerolog.Logger
	// Clock counts suspensions too.
	Clock func() time.Duration
	// Rand returns a number from 0 up to 1 for the jitter of retries.
	Rand func() float64

	topics [samphireturn.TopicCount]topic
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// topic is what one goroutine knows of a topic.
type topic struct {
	name    samphireturn.Topic
	entries map[string]samphireturn.Entry
	// gone holds when entries were found missing after an outage.
	gone map[string]time.Duration
	// trouble is when the source last failed.
	trouble time.Duration
	failing bool
	version uint64
	listed  bool
	// proof is the date of the newest proof, plus one so that zero means none.
	proof atomic.Int64
}

// New returns a follower.
func New(source samphireturn.Source, control samphireturn.Control, clock func() time.Duration, log zerolog.Logger) *Follower {
	f := &Follower{Source: source, Control: control, Clock: clock, Log: log, Rand: rand.Float64}
	for i := range f.topics {
		f.topics[i].name = samphireturn.Topic(i)
		f.topics[i].entries = make(map[string]samphireturn.Entry)
		f.topics[i].gone = make(map[string]time.Duration)
		f.topics[i].trouble = -LapseTime
	}
	return f
}

// Run starts to follow.
func (f *Follower) Run(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	for i := range f.topics {
		t := &f.topics[i]
		f.wait.Go(func() { f.follow(ctx, t) })
	}
	return nil
}

// Close stops and waits.
func (f *Follower) Close() error {
	f.cancel()
	f.wait.Wait()
	return nil
}

// Age returns how old the newest proof of a topic is.
func (f *Follower) Age(name samphireturn.Topic) time.Duration {
	at := f.topics[name].proof.Load()
	if at == 0 {
		return never
	}
	return f.Clock() - time.Duration(at-1)
}

// follow lists and watches one topic until ctx ends.
func (f *Follower) follow(ctx context.Context, t *topic) {
	wait := retryMin
	for ctx.Err() == nil {
		err := f.step(ctx, t)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			wait = retryMin
			f.regained(t)
			continue
		}
		if samphireturn.KindOf(err) == samphireturn.KindExpired {
			f.Log.Info().Str("event", "history_gone").Stringer("topic", t.name).Uint64("version", t.version).Send()
			t.listed = false
			continue
		}
		f.lost(t, err)
		if !f.rest(ctx, time.Duration((0.5+f.Rand()/2)*float64(wait))) {
			return
		}
		f.expire(t)
		wait = min(2*wait, retryMax)
	}
}

// step makes one call and applies its answer.
func (f *Follower) step(ctx context.Context, t *topic) error {
	sent := f.Clock()
	if !t.listed {
		batch, err := f.Source.List(ctx, t.name)
		if err != nil {
			return err
		}
		t.listed = true
		f.replace(t, batch)
		f.prove(t, sent)
		return nil
	}
	limit := TopicWait
	if t.name == samphireturn.TopicTable {
		limit = TableWait
	}
	batch, err := f.Source.Watch(ctx, t.name, t.version, limit)
	if err != nil {
		return err
	}
	f.update(t, batch)
	f.prove(t, sent)
	return nil
}

// prove dates the newest proof, if it is newer.
func (f *Follower) prove(t *topic, sent time.Duration) {
	if at := int64(sent) + 1; at > t.proof.Load() {
		t.proof.Store(at)
	}
}

// lost notes that the source failed.
func (f *Follower) lost(t *topic, err error) {
	failures.Add(t.name.String(), 1)
	t.trouble = f.Clock()
	if !t.failing {
		t.failing = true
		f.Log.Warn().Str("event", "source_lost").Stringer("topic", t.name).Err(err).Dur("age", f.Age(t.name)).Send()
	}
}

// regained notes that the source answers again. Entries may have lapsed while
// it was away, so that the topic is listed anew.
func (f *Follower) regained(t *topic) {
	if !t.failing {
		f.expire(t)
		return
	}
	t.failing = false
	f.Log.Info().Str("event", "source_regained").Stringer("topic", t.name).Dur("away", f.Clock()-t.trouble).Send()
}

// replace applies a whole list.
func (f *Follower) replace(t *topic, batch samphireturn.Batch) {
	seen := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		seen[e.Name] = true
		f.put(t, e)
	}
	for name := range t.entries {
		if !seen[name] {
			f.drop(t, name)
		}
	}
	t.version = max(t.version, batch.Version)
	f.publish(t)
}

// update applies changes.
func (f *Follower) update(t *topic, batch samphireturn.Batch) {
	t.version = max(t.version, batch.Version)
	if len(batch.Entries) == 0 {
		return
	}
	for _, e := range batch.Entries {
		if e.Gone {
			f.drop(t, e.Name)
			continue
		}
		f.put(t, e)
	}
	f.publish(t)
}

// put takes an entry in, unless it can't be understood or is older than what is
// known. An endpoint whose entry can't be understood any more is not used.
func (f *Follower) put(t *topic, e samphireturn.Entry) {
	if e.Fault != nil {
		faults.Add(t.name.String(), 1)
		f.Log.Warn().Str("event", "entry_ignored").Stringer("topic", t.name).Str("entry", e.Name).Err(e.Fault).Send()
		if t.name == samphireturn.TopicHosts {
			delete(t.entries, e.Name)
		}
		return
	}
	old, ok := t.entries[e.Name]
	if ok && e.Version != 0 && e.Version < old.Version {
		return
	}
	if ok && e.Table != nil && old.Table != nil && e.Table.Version < old.Table.Version {
		f.Log.Warn().Str("event", "table_ignored").Int64("version", e.Table.Version).Int64("in_force", old.Table.Version).Send()
		return
	}
	delete(t.gone, e.Name)
	t.entries[e.Name] = e
}

// drop takes an entry out. Endpoints that went missing over an outage of the
// source are kept for a while, since entries lapse meanwhile.
func (f *Follower) drop(t *topic, name string) {
	now := f.Clock()
	if t.name == samphireturn.TopicHosts && (t.failing || now-t.trouble < LapseTime) {
		if _, ok := t.gone[name]; !ok {
			t.gone[name] = now
		}
		return
	}
	if t.name == samphireturn.TopicTable {
		// The table in force stays until a newer one comes.
		return
	}
	delete(t.entries, name)
}

// expire drops the entries that did not come back in time.
func (f *Follower) expire(t *topic) {
	if len(t.gone) == 0 || t.failing {
		return
	}
	now := f.Clock()
	dropped := false
	for name, at := range t.gone {
		if now-at >= LapseTime {
			delete(t.gone, name)
			delete(t.entries, name)
			dropped = true
		}
	}
	if dropped {
		f.publish(t)
	}
}

// rest waits; false once ctx has ended.
func (f *Follower) rest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
