// Package follower keeps a daemon's view of the source up to date: tables, endpoints,
// roll-outs, closures and members.
//
// One daemon of the fleet watches the source. The first daemon of each data centre polls
// it, and the other daemons poll the first one of their data centre. Each answer
// confirms a topic as of the time at which the call was sent; the confirmation is passed
// on with its age. The clock counts suspensions, so a daemon that was suspended sees its
// confirmations aged by that time. A daemon whose confirmations become too old watches
// the source itself.
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
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/core/timekeeper"
)

const (
	// MissingRetention is how long an endpoint is kept that is found missing after an
	// outage of the source, and how long after the outage's end this rule applies.
	// Live endpoints are listed again within about two seconds of the outage's end, and
	// an endpoint that left must get no more work two seconds after it disappeared.
	MissingRetention = 1700 * time.Millisecond
	// MinOutage is the time without a confirmation, beyond the topic's watch timeout,
	// that counts as an outage, in which entries may expire: endpoints write about once
	// a second, and their entries expire after three times that.
	MinOutage = 1700 * time.Millisecond
	// checkInterval is the time between two checks of whether a daemon must watch or
	// poll, and of whether missing endpoints must be removed.
	checkInterval = 100 * time.Millisecond

	// minBackoff and maxBaseBackoff bound the wait of the first daemon before its next
	// call after a failure, so that it notices the end of an outage within a quarter of
	// a second. For daemons behind it the wait is multiplied by the square of their
	// position: they learn from the daemons before them, so of a hundred daemons only a
	// few retry. Only one topic retries; each call costs money, also when it is refused.
	minBackoff     = 50 * time.Millisecond
	maxBaseBackoff = 250 * time.Millisecond
	// maxBackoff bounds the wait of every daemon; an outage lasts seconds.
	maxBackoff = 4 * time.Second
	// maxDoublings bounds the doublings of a wait before maxBaseBackoff caps it.
	maxDoublings = 8
	// startTime is how long a daemon that has read a topic looks for another daemon to
	// confirm it before it watches. Members are known and links are made within about 600
	// ms of a start, or a second if all daemons start at the same time.
	startTime = 1500 * time.Millisecond
	// memberListInterval is the time between two reads of the members meanwhile, as others
	// may be starting too.
	memberListInterval = 250 * time.Millisecond
	// minChangeInterval is the least time between two watches that return changes, for
	// minChangeBound. In a large fleet some entry changes at any moment, and each call
	// costs money.
	minChangeInterval = 350 * time.Millisecond
	// minChangeBound is the shortest ChangeBound, and maxBoundFactor how many times as long
	// intervals may become for a longer one: keys are refused by a table that was not
	// confirmed for over four seconds, whatever ChangeBound is.
	minChangeBound = 2 * time.Second
	maxBoundFactor = 1.6
	// earlyWatchers is the number of daemons of a data centre that watch the source
	// themselves as soon as their confirmations are too old. The others learn from these
	// within lateWatchDelay, or else watch too, so that hundreds of daemons do not call
	// at the same moment.
	earlyWatchers  = 2
	lateWatchDelay = 500 * time.Millisecond
	// hedgeDelay is how long after an answer, or the next part of a list, is due a second
	// call is made beside the first, whose connection may have gone silent. The source
	// answers in milliseconds, or in some hundred when it is slow.
	hedgeDelay = 400 * time.Millisecond
	// neverConfirmed is the age of a topic that was never confirmed.
	neverConfirmed = time.Duration(1<<63 - 1)
)

var (
	// watchTimeouts bound a watch without changes, and so the age of confirmations,
	// which reaches up to twice as much. Beyond maxAges a daemon that follows another
	// watches the source itself. Both are for minChangeBound, in which tables and leaving
	// endpoints must then be noticed, and grow with ChangeBound for these topics; closures
	// and roll-outs must be noticed within five seconds.
	watchTimeouts = [samphireturn.TopicCount]time.Duration{
		samphireturn.TopicTable:    800 * time.Millisecond,
		samphireturn.TopicHosts:    800 * time.Millisecond,
		samphireturn.TopicRollouts: 1500 * time.Millisecond,
		samphireturn.TopicClosures: 1500 * time.Millisecond,
		samphireturn.TopicMembers:  3 * time.Second,
	}
	maxAges = [samphireturn.TopicCount]time.Duration{
		samphireturn.TopicTable:    1800 * time.Millisecond,
		samphireturn.TopicHosts:    1800 * time.Millisecond,
		samphireturn.TopicRollouts: 4 * time.Second,
		samphireturn.TopicClosures: 4 * time.Second,
		samphireturn.TopicMembers:  8 * time.Second,
	}

	failures       = expvar.NewMap("follower_failure")
	invalidEntries = expvar.NewMap("follower_fault")
	changes        = expvar.NewMap("follower_change")
	eras           = expvar.NewMap("follower_era")
)

// Follower is a service that keeps the view in the control state up to date. Set the
// exported fields before Register and Run.
type Follower struct {
	Source  samphireturn.Source
	Control samphireturn.Control
	// Peers may be nil: then the daemon always watches the source itself.
	Peers samphireturn.Peers
	Self  samphireturn.VM
	Log   zerolog.Logger
	// Clock returns a time that counts suspensions too.
	Clock func() time.Duration
	// FirstStart is true if the whole fleet starts for the first time, before any traffic.
	// The follower then waits for others to confirm what it has read.
	FirstStart bool
	// ChangeBound is the time in which a change of the table or of the endpoints must be
	// followed, at least minChangeBound; zero means that.
	ChangeBound time.Duration
	// Rand returns a number in [0, 1) for the jitter of retries.
	Rand func() float64

	lastRanking atomic.Pointer[ranking]

	mu     sync.Mutex
	topics [samphireturn.TopicCount]topic
	// updated is closed and replaced when any topic changes, or when a topic is
	// confirmed that needs recent confirmations.
	updated chan struct{}
	// regained is closed and replaced when the table's topic reaches the source again.
	regained chan struct{}
	// era is the newest known era of the source, and eraBegan is closed and replaced when
	// it rises.
	era      uint64
	eraBegan chan struct{}
	kept     keptState
	// lags holds, by daemon, what the last poll of it found that it lacks.
	lags map[string]peerLag
	// isOpen is true once the table may be published although the source has eras.
	isOpen bool
	// startedAt is when Run was called.
	startedAt time.Duration
	// following is the daemon that this one follows, or empty.
	following string
	// avoidUntil holds, by daemon, the time until which it is not followed because a
	// poll of it failed.
	avoidUntil map[string]time.Duration
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// sourceCall is a kind of call to the source.
type sourceCall int

const (
	callNone sourceCall = iota
	callStaleList
	callList
	callWatch
)

// sourceAnswer is the result of a call to the source that was made at sent.
type sourceAnswer struct {
	batch samphireturn.Batch
	sent  time.Duration
	err   error
}

// New returns a follower.
func New(source samphireturn.Source, control samphireturn.Control, clock func() time.Duration, log zerolog.Logger) *Follower {
	f := &Follower{
		Source: source, Control: control, Clock: clock, Log: log,
		Rand:       rand.Float64,
		updated:    make(chan struct{}),
		regained:   make(chan struct{}),
		eraBegan:   make(chan struct{}),
		kept:       newKeptState(),
		lags:       make(map[string]peerLag),
		avoidUntil: make(map[string]time.Duration),
	}
	for i := range f.topics {
		t := &f.topics[i]
		t.name = samphireturn.Topic(i)
		t.entries = make(map[string]samphireturn.Entry)
		t.missingSince = make(map[string]time.Duration)
		t.removed, t.lost = make(map[string]samphireturn.Revision), make(map[string]bool)
		t.outageEnd = -MissingRetention
	}
	return f
}

// Run starts to watch and to poll.
func (f *Follower) Run(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	f.startedAt = f.Clock()
	for i := range f.topics {
		t := &f.topics[i]
		f.wg.Go(func() { f.watch(ctx, t) })
	}
	f.wg.Go(func() {
		for timekeeper.Sleep(ctx, checkInterval) {
			f.removeMissing(&f.topics[samphireturn.TopicHosts])
			f.removeMissing(&f.topics[samphireturn.TopicMembers])
			f.dropKept()
		}
	})
	if f.Peers != nil {
		f.wg.Go(func() { f.pollLoop(ctx) })
		f.wg.Go(func() { f.catchUpLoop(ctx) })
		f.wg.Go(func() { f.openLoop(ctx) })
	}
	return nil
}

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() error {
	f.cancel()
	f.wg.Wait()
	return nil
}

// age returns the time since the newest confirmation of a topic. The caller holds mu.
func (f *Follower) age(t *topic) time.Duration {
	if !t.confirmed {
		return neverConfirmed
	}
	return f.Clock() - t.confirmedAt
}

// watch lists and watches one topic at the source until ctx ends, as long as this daemon
// is to watch it.
func (f *Follower) watch(ctx context.Context, t *topic) {
	tries := 0
	for ctx.Err() == nil {
		call := f.nextCall(t)
		if call == callNone {
			f.awaitCheck(ctx)
			continue
		}
		pause, err := f.callSource(ctx, t, call)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			tries = 0
			f.sourceRecovered(t)
			timekeeper.Sleep(ctx, pause)
			continue
		}
		if samphireturn.KindOf(err) == samphireturn.KindExpired {
			f.requireList(t)
			continue
		}
		f.sourceFailed(t, err)
		if !timekeeper.Sleep(ctx, time.Duration((0.5+f.Rand()/2)*float64(f.backoff(tries)))) {
			return
		}
		tries++
	}
}

// awaitCheck waits for checkInterval, or until the table's topic reaches the source again.
func (f *Follower) awaitCheck(ctx context.Context) {
	f.mu.Lock()
	regained := f.regained
	f.mu.Unlock()
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-regained:
	}
}

// scale lengthens an interval that holds for minChangeBound to one for ChangeBound.
func (f *Follower) scale(d time.Duration) time.Duration {
	factor := min(max(float64(f.ChangeBound)/float64(minChangeBound), 1), maxBoundFactor)
	return time.Duration(factor * float64(d))
}

// watchTimeout returns the timeout of a watch of a topic without changes.
func (f *Follower) watchTimeout(t *topic) time.Duration {
	if t.needsRecent() {
		return f.scale(watchTimeouts[t.name])
	}
	return watchTimeouts[t.name]
}

// maxAge returns the age of a topic's newest confirmation beyond which this daemon
// watches the source itself.
func (f *Follower) maxAge(t *topic) time.Duration {
	if t.needsRecent() {
		return f.scale(maxAges[t.name])
	}
	return maxAges[t.name]
}

// backoff returns the wait after a number of failed tries.
func (f *Follower) backoff(tries int) time.Duration {
	wait := min(minBackoff<<min(tries, maxDoublings), maxBaseBackoff)
	position := time.Duration(1 + f.watchRank())
	return min(wait*position*position, maxBackoff)
}

// nextCall returns the call to the source that is due for a topic. A daemon that starts
// reads the topics as they were some time ago, which costs less, and looks for a daemon
// that confirms them and sends it what changed since. Only what it needs to serve its
// callers at once, where traffic has begun, does it read as it is now.
func (f *Follower) nextCall(t *topic) sourceCall {
	if f.waitsForTable(t) {
		return callNone
	}
	f.mu.Lock()
	listed, confirmed, historyGone := t.listed, t.confirmed, t.historyGone
	current := f.current(t)
	starting := f.Peers != nil && f.Clock()-f.startedAt < startTime
	f.mu.Unlock()
	switch {
	case starting && !listed && (historyGone || t.needsRecent() && !f.FirstStart):
		return callList
	case starting && !listed:
		return callStaleList
	case starting && !f.firstOfFleet():
		if t.name == samphireturn.TopicMembers && !confirmed {
			return callStaleList
		}
		return callNone
	case !f.watchesDirectly(t):
		return callNone
	case listed && current:
		return callWatch
	}
	return callList
}

// firstOfFleet reports whether this daemon is the member that watches for the fleet, if
// all are alive, and is linked with others: without links, the members that it has read
// may be just those that started before it.
func (f *Follower) firstOfFleet() bool {
	order := f.ranking().fleet
	return len(order) > 0 && order[0] == f.Self.ID && len(f.Peers.Connected()) > 0
}

// watchesDirectly reports whether this daemon is to watch a topic itself: because others
// follow it, or because its confirmations are too old.
func (f *Follower) watchesDirectly(t *topic) bool {
	if f.Peers == nil || f.watchesForOthers() {
		return true
	}
	f.mu.Lock()
	excess := f.age(t) - f.maxAge(t)
	f.mu.Unlock()
	return excess > lateWatchDelay || excess > 0 && f.rankInCentre() < earlyWatchers
}

// waitsForTable reports whether a topic makes no calls until the table's topic reaches
// the source again.
func (f *Follower) waitsForTable(t *topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.name != samphireturn.TopicTable && f.topics[samphireturn.TopicTable].failing
}

// callSource makes one call to the source and applies its answer. It returns the time to
// wait before the next call.
func (f *Follower) callSource(ctx context.Context, t *topic, call sourceCall) (time.Duration, error) {
	f.mu.Lock()
	since, wait := t.version, f.watchTimeout(t)
	if t.failing || f.age(t) > f.maxAge(t) {
		// The confirmation is overdue, so the call must not wait for a change.
		wait = time.Millisecond
	}
	f.mu.Unlock()
	answer := f.hedgedCall(ctx, t.name, call, since, wait)
	batch := answer.batch
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteEra(batch.Version.Era, "")
	if answer.err != nil {
		return 0, answer.err
	}
	if batch.Version.Era < f.era {
		return 0, &samphireturn.Error{Op: "read " + t.name.String(), Kind: samphireturn.KindUnavailable, Err: errOldEra}
	}
	if call == callStaleList {
		f.replace(t, batch)
		return memberListInterval, nil
	}
	f.noteOutage(t, answer.sent)
	if call == callWatch {
		f.update(t, batch)
	} else {
		t.historyGone = false
		f.replace(t, batch)
	}
	f.confirm(t, answer.sent)
	if call == callList || len(batch.Entries) > 0 {
		return f.scale(minChangeInterval), nil
	}
	return 0, nil
}

// hedgedCall lists a topic or watches it, and makes a second call if the first is not
// answered in time, or a list comes to a halt. It returns the first success, or the last
// error.
func (f *Follower) hedgedCall(ctx context.Context, name samphireturn.Topic, kind sourceCall, since samphireturn.Revision, wait time.Duration) sourceAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	progress := make(chan struct{}, 1)
	ctx = samphireturn.WithProgress(ctx, func() {
		select {
		case progress <- struct{}{}:
		default:
		}
	})
	answers := make(chan sourceAnswer, 2)
	call := func(wait time.Duration) {
		f.wg.Go(func() { answers <- f.singleCall(ctx, name, kind, since, wait) })
	}
	if kind != callWatch {
		wait = 0
	}
	call(wait)
	hedge := time.NewTimer(wait + hedgeDelay)
	defer hedge.Stop()
	hedged := false
	var eraBegan <-chan struct{}
	if kind == callWatch {
		eraBegan = f.untilEra()
	}
	for inFlight := 1; ; {
		select {
		case <-progress:
			if !hedged {
				hedge.Reset(hedgeDelay)
			}
		case answer := <-answers:
			inFlight--
			if answer.err == nil || inFlight == 0 {
				return answer
			}
		case <-eraBegan:
			return sourceAnswer{err: &samphireturn.Error{Op: "watch " + name.String(), Kind: samphireturn.KindExpired, Err: errOldEra}}
		case <-hedge.C:
			hedged = true
			inFlight++
			call(time.Millisecond)
		}
	}
}

// singleCall makes one call to the source.
func (f *Follower) singleCall(ctx context.Context, name samphireturn.Topic, kind sourceCall, since samphireturn.Revision, wait time.Duration) sourceAnswer {
	answer := sourceAnswer{sent: f.Clock()}
	if kind == callWatch {
		answer.batch, answer.err = f.Source.Watch(ctx, name, since, wait)
	} else {
		answer.batch, answer.err = f.Source.List(ctx, name, kind == callStaleList)
	}
	if ctx.Err() == nil {
		meter.ObserveSourceCall(name.String(), outcome(answer.err), f.Clock()-answer.sent)
	}
	return answer
}

// outcome returns the label of a call's result in the meters.
func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return samphireturn.KindOf(err).String()
}

// requireList makes the next call a list, since the source's history no longer reaches
// back to the topic's version.
func (f *Follower) requireList(t *topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.listed, t.historyGone = false, true
	f.Log.Info().Str("event", logger.EventHistoryGone).Stringer("topic", t.name).Uint64("era", t.version.Era).Uint64("version", t.version.Number).Send()
}

// sourceFailed records that a call to the source failed.
func (f *Follower) sourceFailed(t *topic, err error) {
	failures.Add(t.name.String(), 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.failing {
		t.failing = true
		f.Log.Warn().Str("event", logger.EventSourceLost).Stringer("topic", t.name).Err(err).Dur("age", f.age(t)).Send()
	}
}

// sourceRecovered records that the source answers again.
func (f *Follower) sourceRecovered(t *topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.failing {
		return
	}
	t.failing = false
	if t.name == samphireturn.TopicTable {
		close(f.regained)
		f.regained = make(chan struct{})
	}
	f.Log.Info().Str("event", logger.EventSourceRegained).Stringer("topic", t.name).Dur("age", f.age(t)).Send()
}
