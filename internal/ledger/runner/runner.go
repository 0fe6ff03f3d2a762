// Package runner runs the work of request ids issued by this process, each at
// most once.
//
// An id is remembered until it expires, and an expired id is refused, so no id
// can run twice. Expiry is checked against the latest time ever read: if the
// clock steps back, a forgotten id does not become valid again.
package runner

import (
	"cmp"
	"context"
	"expvar"
	"sync"
	"time"

	"samphireturn/internal/ledger/minter"

	"samphireturn"
)

// Defaults of the Runner's bounds.
const (
	DefaultMaxIDs         = 100_000
	DefaultMaxStoredBytes = 32 << 20
	DefaultMaxAnswerBytes = 64 << 10
	// sweepInterval is the minimum time between removals of expired ids.
	sweepInterval = time.Second
)

// States of an id.
const (
	// StateUnknown means that the work may or may not have run.
	StateUnknown State = iota
	// StateNotRun means that the work was not started and the id may be used
	// again.
	StateNotRun
	// StateRunning means that the work is still running.
	StateRunning
	// StateDone means that the work ran and its outcome is known.
	StateDone
)

// Kinds of errors.
const (
	// KindRunning means that the work was still running when the wait for it
	// ended.
	KindRunning Kind = iota
	// KindElsewhere means that only another process may run the id.
	KindElsewhere
	// KindExpired means that the id is past its expiry. Whether its work has
	// run is unknown.
	KindExpired
	// KindFull means that no more ids can be remembered. The work was not run.
	KindFull
	// KindRunFailed means that the work failed; the outcome's state says
	// whether it ran.
	KindRunFailed
)

var (
	refused = expvar.NewMap("runner_refused")
	repeats = expvar.NewInt("runner_repeats")
	kinds   = [...]string{"running", "elsewhere", "expired", "full", "run failed"}
)

// State is the state of an id's work.
type State int

// Kind classifies an Error.
type Kind int

// String returns the name of the kind.
func (k Kind) String() string { return samphireturn.KindText(kinds[:], int(k)) }

// Error is an error of the runner.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Outcome is the result of an id's work.
type Outcome struct {
	State State `cbor:"s"`
	// Status is the HTTP status of the answer.
	Status int `cbor:"c"`
	// ContentType is the content type of the answer.
	ContentType string `cbor:"t"`
	Answer      []byte `cbor:"a"`
	// Truncated is true if the answer exceeded a bound and was not stored;
	// Answer is then empty.
	Truncated bool `cbor:"x"`
	// Repeated is true if the work was run by an earlier call.
	Repeated bool `cbor:"r"`
}

// Runner runs work at most once for each id. The zero value with Instance set
// is ready for use.
type Runner struct {
	// Instance names this process; ids of other processes are refused.
	Instance string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// MaxIDs bounds the remembered ids, MaxStoredBytes all stored answers
	// together, and MaxAnswerBytes one stored answer; zero means the default.
	MaxIDs, MaxStoredBytes, MaxAnswerBytes int

	mu          sync.Mutex
	entries     map[string]*entry
	storedBytes int
	latest      time.Time
	lastSweep   time.Time
}

// entry is a remembered id; done is closed when its work has ended.
type entry struct {
	outcome Outcome
	expires time.Time
	done    chan struct{}
}

// Do runs f for the id unless it was run before, and returns its outcome. While
// an earlier call runs f, Do waits for it; if ctx ends first, the error is of
// KindRunning. If f fails, its outcome is stored with StateUnknown, unless f
// returns StateDone or StateNotRun. With StateNotRun the id is forgotten and
// can be run again. A panic of f counts as a failure. After an error of
// KindElsewhere, KindExpired or KindFull, f was not called.
func (r *Runner) Do(ctx context.Context, id minter.ID, f func(context.Context) (Outcome, error)) (Outcome, error) {
	e, mustRun, err := r.acquire(id)
	if err != nil {
		return Outcome{State: StateUnknown}, err
	}
	if mustRun {
		return r.execute(ctx, id.Serial, e, f)
	}
	repeats.Add(1)
	select {
	case <-e.done:
	case <-ctx.Done():
		return Outcome{State: StateRunning, Repeated: true}, &Error{Op: "run " + id.Serial, Kind: KindRunning, Err: ctx.Err()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := e.outcome
	o.Repeated = true
	return o, nil
}

// Lookup returns the outcome of the id's work without waiting. Its state is
// StateNotRun if the work was not run, and StateUnknown if the id is expired and
// forgotten or belongs to another process.
func (r *Runner) Lookup(id minter.ID) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id.Serial]
	if ok {
		return e.outcome
	}
	if id.Instance != r.Instance || r.isExpired(id) {
		return Outcome{State: StateUnknown}
	}
	return Outcome{State: StateNotRun}
}

// acquire returns the id's entry and whether the caller must run the work.
func (r *Runner) acquire(id minter.ID) (*entry, bool, error) {
	op := "run " + id.Serial
	if id.Instance != r.Instance {
		return nil, false, newError(op, KindElsewhere)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isExpired(id) {
		return nil, false, newError(op, KindExpired)
	}
	if e, ok := r.entries[id.Serial]; ok {
		return e, false, nil
	}
	r.sweep()
	if len(r.entries) >= cmp.Or(r.MaxIDs, DefaultMaxIDs) {
		return nil, false, newError(op, KindFull)
	}
	if r.entries == nil {
		r.entries = make(map[string]*entry)
	}
	e := &entry{
		outcome: Outcome{State: StateRunning},
		expires: time.UnixMilli(id.Expires),
		done:    make(chan struct{}),
	}
	r.entries[id.Serial] = e
	return e, true, nil
}

// execute calls f and stores its outcome, also if f panics.
func (r *Runner) execute(ctx context.Context, serial string, e *entry, f func(context.Context) (Outcome, error)) (o Outcome, err error) {
	stored := Outcome{State: StateUnknown}
	defer func() { r.complete(serial, e, stored) }()
	o, err = f(ctx)
	if err != nil {
		err = &Error{Op: "run " + serial, Kind: KindRunFailed, Err: err}
	}
	if err != nil && o.State != StateDone && o.State != StateNotRun {
		o.State = StateUnknown
	}
	if err == nil && o.State != StateNotRun {
		o.State = StateDone
	}
	stored = o
	return o, err
}

// complete stores the outcome, without the answer if that exceeds a bound, and
// wakes the waiting calls.
func (r *Runner) complete(serial string, e *entry, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := len(o.Answer)
	if size > cmp.Or(r.MaxAnswerBytes, DefaultMaxAnswerBytes) || r.storedBytes+size > cmp.Or(r.MaxStoredBytes, DefaultMaxStoredBytes) {
		o.Answer, o.Truncated, size = nil, true, 0
	}
	e.outcome = o
	close(e.done)
	if o.State == StateNotRun {
		delete(r.entries, serial)
		return
	}
	if r.entries[serial] == e {
		r.storedBytes += size
	}
}

// isExpired reports whether the id is past its expiry at the latest time read.
func (r *Runner) isExpired(id minter.ID) bool {
	return !r.latestTime().Before(time.UnixMilli(id.Expires))
}

// latestTime returns the latest time read from the clock.
func (r *Runner) latestTime() time.Time {
	now := time.Now
	if r.Now != nil {
		now = r.Now
	}
	if t := now(); t.After(r.latest) {
		r.latest = t
	}
	return r.latest
}

// sweep removes expired ids whose work has ended, at most once per
// sweepInterval.
func (r *Runner) sweep() {
	now := r.latestTime()
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for serial, e := range r.entries {
		if now.Before(e.expires) || e.outcome.State == StateRunning {
			continue
		}
		r.storedBytes -= len(e.outcome.Answer)
		delete(r.entries, serial)
	}
}

// newError counts the error by its kind and returns it.
func newError(op string, kind Kind) error {
	refused.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind}
}
