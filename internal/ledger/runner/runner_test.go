package runner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/ledger/runner"
)

func id(serial string, expires time.Time) minter.ID {
	return minter.ID{Instance: "a-1", Serial: serial, Expires: expires.UnixMilli()}
}

func kind(err error) runner.Kind {
	var e *runner.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return -1
}

// TestOnce guards against a second run of an id whose work is still running or
// has ended. Later calls wait for the first outcome until their context ends.
func TestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &runner.Runner{Instance: "a-1"}
		runs := 0
		work := func(context.Context) (runner.Outcome, error) {
			runs++
			time.Sleep(time.Second)
			return runner.Outcome{Status: 200, Answer: []byte("ok")}, nil
		}
		v := id("x", time.Now().Add(time.Minute))
		go func() { _, _ = r.Do(t.Context(), v, work) }()
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := r.Do(short, v, work)
		c.Assert(kind(err), qt.Equals, runner.KindRunning)
		o, err := r.Do(t.Context(), v, work)
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.DeepEquals, runner.Outcome{State: runner.StateDone, Status: 200, Answer: []byte("ok"), Repeated: true})
		c.Assert(runs, qt.Equals, 1)
	})
}

// TestOutcomes guards against a second run of failed work: only work that
// reports StateNotRun may run again. An answer above MaxAnswerBytes is not
// stored.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		outcome runner.Outcome
		err     error
		runs    int
		state   runner.State
	}{
		{"fails", runner.Outcome{}, errors.New("broken"), 1, runner.StateUnknown},
		{"not started", runner.Outcome{State: runner.StateNotRun}, errors.New("refused"), 2, runner.StateNotRun},
		{"long answer", runner.Outcome{Answer: make([]byte, 11)}, nil, 1, runner.StateDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &runner.Runner{Instance: "a-1", MaxAnswerBytes: 10}
			runs := 0
			work := func(context.Context) (runner.Outcome, error) {
				runs++
				return test.outcome, test.err
			}
			v := id("x", time.Now().Add(time.Hour))
			_, _ = r.Do(t.Context(), v, work)
			o, _ := r.Do(t.Context(), v, work)
			c.Assert(runs, qt.Equals, test.runs)
			c.Assert(o.State, qt.Equals, test.state)
			if test.err == nil {
				c.Assert(o.Truncated, qt.IsTrue)
			}
		})
	}
}

// TestBounds checks that ids beyond MaxIDs and ids of other processes are
// refused, that expired ids make room, and that a forgotten id cannot run again
// after the clock has stepped back.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := &runner.Runner{Instance: "a-1", MaxIDs: 1, Now: func() time.Time { return now }}
	runs := 0
	work := func(context.Context) (runner.Outcome, error) {
		runs++
		return runner.Outcome{}, nil
	}
	v := id("x", now.Add(time.Minute))
	_, err := r.Do(t.Context(), v, work)
	c.Assert(err, qt.IsNil)
	_, err = r.Do(t.Context(), id("y", now.Add(time.Minute)), work)
	c.Assert(kind(err), qt.Equals, runner.KindFull)
	_, err = r.Do(t.Context(), minter.ID{Instance: "b-1", Expires: v.Expires}, work)
	c.Assert(kind(err), qt.Equals, runner.KindElsewhere)
	now = now.Add(2 * time.Minute)
	_, err = r.Do(t.Context(), id("z", now.Add(time.Minute)), work)
	c.Assert(err, qt.IsNil)
	// The clock steps back to a time at which the forgotten id was valid.
	now = now.Add(-2 * time.Minute)
	_, err = r.Do(t.Context(), v, work)
	c.Assert(kind(err), qt.Equals, runner.KindExpired)
	c.Assert(runs, qt.Equals, 2)
}
