// Package isolator finds the requests and the parts of prompts that crash endpoints, and
// isolates them: no such request is sent any more.
//
// Daemons exchange observations: crashes, each with the keys of a request that the endpoint may
// have been running, and the times at which answers with these keys succeeded. Which keys are
// isolated follows from the observations alone, so that all daemons that have the same ones
// isolate the same keys, and an observation that arrives twice or late does no harm.
package isolator

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
)

const (
	// MinCrashes is the number of crashes, without a success since, that isolate a key.
	MinCrashes = 3
	// CrashTTL is how long a crash counts. A key that is isolated is tried again when so
	// many of its crashes have expired that MinCrashes are not left.
	CrashTTL = 10 * time.Minute
	// settleTime is how long after MinCrashes a request, or a part that succeeded before, is
	// isolated, unless sureCrashes have come. Each request in flight at a crash may be the cause;
	// peers tell meanwhile which others were, and which keys succeed. exchangeTime is how long
	// their observations take, three reports one after the other and their way: with peers, no
	// key is isolated sooner.
	settleTime   = time.Second
	exchangeTime = time.Second
	sureCrashes  = 5
	// SuccessMargin is how long after a success, or while an answer had gone on for long enough, no
	// crash counts against a key: many endpoints may crash together by another cause.
	SuccessMargin = 2 * time.Second
	// survivedFactor times the time from the head of an answer to the crash of its endpoint is what
	// another answer must have gone on for to clear its keys of the crash. progressStep is the
	// least time between two records of an answer that goes on.
	survivedFactor = 2
	progressStep   = 250 * time.Millisecond
	// undecidedTTL is how long a crash is kept that no daemon confirms.
	undecidedTTL = 10 * time.Second
	// maxRan bounds the time after the head that a peer may tell.
	maxRan = time.Hour
	// maxCrashes bounds the crashes kept.
	maxCrashes = 512
	// maxSuccesses bounds the keys of which the last success is kept, successTTL is how long
	// it is for a part, and requestSuccessTTL for a request, of which most come once.
	maxSuccesses      = 4096
	successTTL        = time.Minute
	requestSuccessTTL = 2 * SuccessMargin
	// successStep is the least time between two successes of a key that are told to peers. It
	// is longer than a message takes, so that a success that peers tell each other in
	// circles gets no newer.
	successStep = time.Second
	// candidateTime is how long after the end of an answer a crash of its endpoint may be due
	// to it.
	candidateTime = 500 * time.Millisecond
	// crashSpan is the time in which observations of one endpoint are of one crash, and
	// togetherSpan that in which minTogether endpoints or more crash together.
	crashSpan    = 1500 * time.Millisecond
	togetherSpan = 100 * time.Millisecond
	minTogether  = 3
	// maxParts bounds the parts of one prompt, maxPartLength the length in bytes of a part's id
	// that is used as it is, and maxKeyLength that of a key.
	maxParts      = 16
	maxPartLength = 24
	maxKeyLength  = 32
	// partPrefix begins the keys of parts, requestPrefix those of requests, and hashSize is the
	// number of bytes of a hash behind it.
	partPrefix    = "part "
	requestPrefix = "request "
	hashSize      = 12
)

// levelTimes are the times of the levels of answers that go on. An answer that was complete has the
// level complete.
var levelTimes = [...]time.Duration{250 * time.Millisecond, time.Second, 4 * time.Second}

const complete = level(len(levelTimes))

const (
	// confirmed crashes count. Undecided ones, which can't be told from a cut of the network, are
	// told to peers, and doubted ones, after which this daemon found the process alive, are not; both
	// are confirmed by any crash of the endpoint at that time.
	confirmed certainty = iota
	undecided
	doubted
)

type (
	// Key identifies a part of a prompt or a request.
	Key string

	// Crash is the observation that an endpoint crashed while it may have been running a
	// request.
	Crash struct {
		// ID tells apart observations.
		ID       uint64 `cbor:"1,keyasint"`
		Endpoint string `cbor:"2,keyasint"`
		// Keys are that of the request and those of the prompt's parts, in order.
		Keys []Key `cbor:"3,keyasint"`
		// Age is the time since the crash in microseconds.
		Age int64 `cbor:"4,keyasint"`
		// Ran is the time from the head of the answer to the crash in microseconds, 0 if the
		// head had not come.
		Ran int64 `cbor:"5,keyasint,omitempty"`
	}

	// Success is the last known success of an answer to a request with a key.
	Success struct {
		Key Key `cbor:"1,keyasint"`
		// Age is the time since the success in microseconds.
		Age int64 `cbor:"2,keyasint"`
		// Survived is how long the answer had gone on after its head by then, in
		// microseconds; 0 means that it was complete.
		Survived int64 `cbor:"3,keyasint,omitempty"`
	}

	// Observations are what daemons tell each other.
	Observations struct {
		Crashes   []Crash   `cbor:"1,keyasint,omitempty"`
		Successes []Success `cbor:"2,keyasint,omitempty"`
		// Undecided are crashes that the observer can't tell from a cut of the network. They
		// count once any daemon confirms one of the same endpoint and time.
		Undecided []Crash `cbor:"3,keyasint,omitempty"`
		// Isolated are the keys that the daemon isolates.
		Isolated []Key `cbor:"4,keyasint,omitempty"`
	}

	// Isolator is safe for concurrent use.
	Isolator struct {
		// HasPeers reports whether other daemons may have observations that have not arrived
		// yet; nil means that there are none. It must be set before the first request.
		HasPeers func() bool

		clock func() time.Duration
		log   zerolog.Logger

		mu sync.Mutex
		// candidates holds the requests that their endpoints may have run and did not answer, and
		// checking the checks of endpoints for them, by endpoint id.
		candidates map[string][]candidate
		checking   map[string]*check
		crashes    map[uint64]*crash
		// suspects holds the keys of all crashes.
		suspects  map[Key]bool
		successes map[Key]*successes
		// isolated holds when the isolation of a key ends, and settled the keys of crashes that a
		// peer isolates.
		isolated map[Key]time.Duration
		settled  map[Key]bool
		// changes is the number of changes to the observations so far.
		changes uint64
	}

	// crash is a Crash with the time of the crash and the number of the change that added or
	// confirmed it.
	crash struct {
		Crash
		at     time.Duration
		change uint64
		// counted is the time from which it counts: that of the crash, or that at which a peer told of
		// it if that was so late that other observations may still be on their way, as after a start.
		counted   time.Duration
		certainty certainty
		// own is the request that was lost, if this daemon observed the crash.
		own *candidate
	}

	// certainty tells whether a crash is known to be one.
	certainty int

	// check is the search for the end of an endpoint's process.
	check struct {
		began time.Duration
		// lostAt is when the first answer was lost that the check has recorded, and undecided are
		// its crashes that are not confirmed yet.
		lostAt    time.Duration
		undecided []uint64
	}

	// level tells how long an answer went on: for levelTimes of it, or to its end.
	level int

	// successes are the last successes of a key by level. An answer that reached a level reached
	// those below too.
	successes [complete + 1]success

	// success is when an answer last succeeded, if known is true; toldAt and change are those of
	// the last one that peers are told.
	success struct {
		known      bool
		at, toldAt time.Duration
		change     uint64
	}

	// candidate is a request whose answer ended without success. It was lost, unless this
	// daemon gave it up.
	candidate struct {
		keys        []Key
		endedAt     time.Duration
		begun, lost bool
		// sentAt is when the request was sent, and ran the time from the head to the end; zero
		// without a head.
		sentAt, ran time.Duration
	}

	// Answer is the answer of an endpoint to a request.
	Answer struct {
		isolator *Isolator
		endpoint string
		keys     []Key
		// begun is true once the head of the answer has come, at begunAt. checkedAt is when
		// the progress of the answer was last checked.
		begun, done                bool
		sentAt, begunAt, checkedAt time.Duration
	}
)

// New returns an Isolator. Clock is a monotonic clock that also advances while the machine is
// suspended.
func New(clock func() time.Duration, log zerolog.Logger) *Isolator {
	return &Isolator{
		clock: clock, log: log, candidates: make(map[string][]candidate), checking: make(map[string]*check),
		crashes: make(map[uint64]*crash), suspects: make(map[Key]bool), successes: make(map[Key]*successes), isolated: make(map[Key]time.Duration),
		settled: make(map[Key]bool),
	}
}

// PartKeys returns the keys of the parts of a prompt that may be isolated: all but the last one,
// which belongs to the request alone.
func PartKeys(parts []samphireturn.PromptPart) []Key {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:len(parts)-1]
	parts = parts[max(len(parts)-maxParts, 0):]
	keys := make([]Key, len(parts))
	for i, p := range parts {
		id := p.ID
		if len(id) > maxPartLength {
			hash := sha256.Sum256([]byte(id))
			id = hex.EncodeToString(hash[:hashSize])
		}
		keys[i] = Key(partPrefix + id)
	}
	return keys
}

// RequestKey returns the key of the requests of a team with a target and a body.
func RequestKey(target, team string, body []byte) Key {
	h := sha256.New()
	for _, field := range []string{target, team} {
		_, _ = io.WriteString(h, strconv.Itoa(len(field))+" "+field)
	}
	_, _ = h.Write(body)
	return Key(requestPrefix + hex.EncodeToString(h.Sum(nil)[:hashSize]))
}

// isRequest reports whether a key is that of a request.
func (k Key) isRequest() bool { return strings.HasPrefix(string(k), requestPrefix) }

// Isolated returns the time until requests with one of the keys are sent again; zero if they
// are sent now.
func (o *Isolator) Isolated(keys []Key) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var left time.Duration
	now := o.clock()
	for _, k := range keys {
		left = max(left, o.isolated[k]-now)
	}
	return left
}

// Expect records that a request is sent to an endpoint, which may crash by its keys from now on:
// what it wrote before a crash need not arrive. The caller must call Succeed, Lose, Abandon or
// Cancel, of which the first call has an effect.
func (o *Isolator) Expect(h *samphireturn.Host, keys []Key) *Answer {
	return &Answer{isolator: o, endpoint: h.ID, keys: keys, sentAt: o.clock()}
}

// NoAnswer returns an Answer of which nothing is recorded.
func NoAnswer() *Answer { return &Answer{done: true} }

// Begin records that the head of the answer has come.
func (a *Answer) Begin() {
	if !a.done {
		now := a.isolator.clock()
		a.begun, a.begunAt, a.checkedAt = true, now, now
	}
}

// Progress records that more of the answer arrived. The endpoint may still crash by it: an answer
// that goes on clears its keys of crashes that came sooner after the head, and of no others.
func (a *Answer) Progress() {
	if a.done {
		return
	}
	o := a.isolator
	now := o.clock()
	if now-a.checkedAt < progressStep {
		return
	}
	a.checkedAt = now
	o.mu.Lock()
	defer o.mu.Unlock()
	o.succeed(a.keys, reached(now-a.begunAt), now)
}

// Cancel records that the endpoint did not run the request.
func (a *Answer) Cancel() { a.done = true }

// Succeed records that the answer arrived.
func (a *Answer) Succeed() {
	if a.done {
		return
	}
	a.done = true
	o := a.isolator
	o.mu.Lock()
	defer o.mu.Unlock()
	o.succeed(a.keys, complete, o.clock())
}

// succeed records that an answer with keys reached a level. The caller holds mu.
func (o *Isolator) succeed(keys []Key, l level, now time.Duration) {
	changed := false
	for _, k := range keys {
		changed = o.addSuccess(k, l, now) || changed
	}
	if changed {
		o.update(now)
	}
}

// Lose records that the endpoint did not complete the answer.
func (a *Answer) Lose() { a.end(true) }

// Abandon records that this daemon gave the answer up. The endpoint may still crash by the
// request.
func (a *Answer) Abandon() { a.end(false) }

func (a *Answer) end(lost bool) {
	if a.done {
		return
	}
	a.done = true
	o := a.isolator
	o.mu.Lock()
	defer o.mu.Unlock()
	c := candidate{keys: a.keys, sentAt: a.sentAt, endedAt: o.clock(), begun: a.begun, lost: lost}
	if a.begun {
		c.ran = c.endedAt - a.begunAt
	}
	o.candidates[a.endpoint] = append(o.candidates[a.endpoint], c)
}

// Sweep forgets what has expired.
func (o *Isolator) Sweep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	for id, all := range o.candidates {
		if _, ok := o.checking[id]; ok {
			continue
		}
		all = slices.DeleteFunc(all, func(c candidate) bool { return now-c.endedAt >= candidateTime })
		if o.candidates[id] = all; len(all) == 0 {
			delete(o.candidates, id)
		}
	}
	maps.DeleteFunc(o.successes, func(k Key, s *successes) bool {
		ttl := successTTL
		if k.isRequest() {
			ttl = requestSuccessTTL
		}
		return !o.suspects[k] && now-s[0].at >= ttl
	})
	if len(o.crashes) > 0 {
		o.update(now)
	}
}

// addCrash adds a crash. The caller holds mu.
func (o *Isolator) addCrash(c *crash) {
	o.crashes[c.ID] = c
	if c.certainty != doubted {
		o.changes++
		c.change = o.changes
		o.tellSuccesses(c.Keys)
	}
	if len(o.crashes) > maxCrashes {
		o.dropCrash()
	}
}

// tellSuccesses marks the keys as those of crashes, and their successes as ones to tell peers,
// which may not know of them. The caller holds mu.
func (o *Isolator) tellSuccesses(keys []Key) {
	for _, k := range keys {
		o.suspects[k] = true
		if s := o.successes[k]; s != nil {
			for l := range s {
				o.tell(s, level(l))
			}
		}
	}
}

// dropCrash drops the crash that matters least: one that is not confirmed or that all its keys
// succeeded after, rather than one without an isolated key, and of the same kind the oldest. The
// caller holds mu.
func (o *Isolator) dropCrash() {
	least := slices.MinFunc(slices.Collect(maps.Values(o.crashes)), func(a, b *crash) int {
		return cmp.Or(cmp.Compare(o.importance(a), o.importance(b)), cmp.Compare(a.at, b.at))
	})
	delete(o.crashes, least.ID)
}

// importance returns how much a crash matters to what is isolated. The caller holds mu.
func (o *Isolator) importance(c *crash) int {
	switch {
	case c.certainty != confirmed:
		return 0
	case slices.ContainsFunc(c.Keys, func(k Key) bool { return o.isolated[k] > 0 }):
		return 2
	case slices.ContainsFunc(c.Keys, func(k Key) bool { return o.mayCause(c, k) }):
		return 1
	}
	return 0
}

// addSuccess records that an answer reached a level, and reports whether it matters to what is
// isolated. The caller holds mu.
func (o *Isolator) addSuccess(k Key, l level, at time.Duration) (changed bool) {
	if l < 0 {
		return false
	}
	s := o.successes[k]
	if s == nil {
		if len(o.successes) >= maxSuccesses {
			for other := range o.successes {
				delete(o.successes, other)
				break
			}
		}
		s = new(successes)
		o.successes[k] = s
	}
	for i := range l + 1 {
		s[i].at = max(s[i].at, at)
		s[i].known = true
	}
	return o.suspects[k] && o.tell(s, l)
}

// tell marks the success of a level as one to tell peers, unless one that is hardly older is.
// The caller holds mu.
func (o *Isolator) tell(s *successes, l level) bool {
	if !s[l].known || s[l].change > 0 && s[l].at-s[l].toldAt < successStep {
		return false
	}
	o.changes++
	s[l].toldAt, s[l].change = s[l].at, o.changes
	return true
}

// success returns the last success of a key at a level. The caller holds mu.
func (o *Isolator) success(k Key, l level) success {
	if s := o.successes[k]; s != nil && l >= 0 {
		return s[l]
	}
	return success{}
}

// reached returns the level of an answer that goes on after a time since its head; negative for
// none.
func reached(ran time.Duration) level {
	l := level(-1)
	for int(l+1) < len(levelTimes) && ran >= levelTimes[l+1] {
		l++
	}
	return l
}

// clears returns the level that clears a key of a crash.
func (c *crash) clears() level {
	need := survivedFactor * time.Duration(c.Ran) * time.Microsecond
	for l, t := range levelTimes {
		if t >= need {
			return level(l)
		}
	}
	return complete
}
