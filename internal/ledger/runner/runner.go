// Package runner runs the work of request ids minted by this process, each at
// most once.
//
// An id is remembered until it expires, and an expired id is refused, so no id
// can be run a second time. Time is taken as the latest that was ever seen: a
// clock that steps back can't make a forgotten id fresh again.
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

// Defaults of the bounds.
const (
	DefaultLimit  = 100_000
	DefaultBytes  = 32 << 20
	DefaultAnswer = 64 << 10
	sweepEvery    = time.Second
)

// States of an id.
const (
	// StateUnknown says that the work may or may not have run.
	StateUnknown State = iota
	// StateNotRun means that the work was not started and the id may be used again.
	StateNotRun
	// StateRunning says that the work is under way.
	StateRunning
	// StateDone says that the work ran and its outcome is known.
	StateDone
)

// Kinds of errors.
const (
	// KindRunning says that the work was still under way when the wait ended.
	KindRunning Kind = iota
	// KindElsewhere says that another process must run the id.
	KindElsewhere
	// KindExpired says that the id is past its expiry; what became of it is
	// unknown.
	KindExpired
	// KindFull says that no more ids can be remembered; nothing was run.
	KindFull
	// KindRun says that the work failed; the outcome tells whether it ran.
	KindRun
)

var (
	refused = expvar.NewMap("runner_refused")
	repeats = expvar.NewInt("runner_repeats")
	kinds   = [...]string{"running", "elsewhere", "expired", "full", "run failed"}
)

// State is what is known of an id's work.
type State int

// Kind classifies an Error.
type Kind int

// String returns the kind in words.
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
	// Type is the content type of the answer.
	Type   string `cbor:"t"`
	Answer []byte `cbor:"a"`
	// Truncated is true if the answer was too long to be stored.
	Truncated bool `cbor:"x"`
	// Repeat is true if the work was run by an earlier call.
	Repeat bool `cbor:"r"`
}

// Runner runs work at most once for each id. The zero value with Instance set
// is ready for use.
type Runner struct {
	// Instance is this process; ids of another are refused.
	Instance string
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Limit bounds the remembered ids, Bytes all kept answers, and Answer one
	// kept answer, in bytes; zero means the default.
	Limit, Bytes, Answer int

	mu      sync.Mutex
	entries map[string]*entry
	bytes   int
	latest  time.Time
	swept   time.Time
}

type entry struct {
	outcome Outcome
	expires time.Time
	done    chan struct{}
}

// Do runs f for the id unless it was run before, and returns its outcome. While
// an earlier call runs it, Do waits; if ctx ends first the error is of
// KindRunning. If f fails the id is remembered with StateUnknown, unless f's
// outcome is StateDone, or StateFree, which frees the id. A panic of f counts as
// a failure.
func (r *Runner) Do(ctx context.Context, id minter.ID, f func(context.Context) (Outcome, error)) (Outcome, error) {
	e, fresh, err := r.enter(id)
	if err != nil {
		return Outcome{State: StateUnknown}, err
	}
	if fresh {
		return r.run(ctx, id.Serial, e, f)
	}
	repeats.Add(1)
	select {
	case <-e.done:
	case <-ctx.Done():
		return Outcome{State: StateRunning, Repeat: true}, &Error{Op: "run " + id.Serial, Kind: KindRunning, Err: ctx.Err()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := e.outcome
	o.Repeat = true
	return o, nil
}

// Look returns what is known of the id's work without waiting; StateFree if it
// was not run.
func (r *Runner) Look(id minter.ID) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id.Serial]
	if ok {
		return e.outcome
	}
	if id.Instance != r.Instance || r.expired(id) {
		return Outcome{State: StateUnknown}
	}
	return Outcome{State: StateNotRun}
}

// enter returns the id's entry and whether the caller must run it.
func (r *Runner) enter(id minter.ID) (*entry, bool, error) {
	op := "run " + id.Serial
	if id.Instance != r.Instance {
		return nil, false, refuse(op, KindElsewhere)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expired(id) {
		return nil, false, refuse(op, KindExpired)
	}
	if e, ok := r.entries[id.Serial]; ok {
		return e, false, nil
	}
	r.sweep()
	if len(r.entries) >= cmp.Or(r.Limit, DefaultLimit) {
		return nil, false, refuse(op, KindFull)
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

// run calls f and keeps its outcome, also when f panics.
func (r *Runner) run(ctx context.Context, serial string, e *entry, f func(context.Context) (Outcome, error)) (o Outcome, err error) {
	kept := Outcome{State: StateUnknown}
	defer func() { r.keep(serial, e, kept) }()
	o, err = f(ctx)
	if err != nil {
		err = &Error{Op: "run " + serial, Kind: KindRun, Err: err}
	}
	if err != nil && o.State != StateDone && o.State != StateNotRun {
		o.State = StateUnknown
	}
	if err == nil && o.State != StateNotRun {
		o.State = StateDone
	}
	kept = o
	return o, err
}

// keep stores the outcome, without an answer that is too long, and wakes the
// waiting calls.
func (r *Runner) keep(serial string, e *entry, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := len(o.Answer)
	if size > cmp.Or(r.Answer, DefaultAnswer) || r.bytes+size > cmp.Or(r.Bytes, DefaultBytes) {
		o.Answer, o.Truncated, size = nil, true, 0
	}
	e.outcome = o
	close(e.done)
	if o.State == StateNotRun {
		delete(r.entries, serial)
		return
	}
	if r.entries[serial] == e {
		r.bytes += size
	}
}

// expired tells whether the id is past its expiry at the latest time seen.
func (r *Runner) expired(id minter.ID) bool {
	return !r.time().Before(time.UnixMilli(id.Expires))
}

// time returns the latest time seen.
func (r *Runner) time() time.Time {
	now := time.Now
	if r.Now != nil {
		now = r.Now
	}
	if t := now(); t.After(r.latest) {
		r.latest = t
	}
	return r.latest
}

// sweep forgets expired ids whose work has ended, at most once in sweepEvery.
func (r *Runner) sweep() {
	now := r.time()
	if now.Sub(r.swept) < sweepEvery {
		return
	}
	r.swept = now
	for serial, e := range r.entries {
		if now.Before(e.expires) || e.outcome.State == StateRunning {
			continue
		}
		r.bytes -= len(e.outcome.Answer)
		delete(r.entries, serial)
	}
}

func refuse(op string, kind Kind) error {
	refused.Add(kind.String(), 1)
	return &Error{Op: op, Kind: kind}
}
