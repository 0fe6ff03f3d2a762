package leaser_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/leaser"
)

func newPair() (*store, *leaser.Leaser, *leaser.Leaser) {
	s := &store{objects: make(map[string]samphireturn.Object)}
	// The second daemon's clock is a day ahead.
	ahead := func() time.Time { return time.Now().Add(24 * time.Hour) }
	return s, &leaser.Leaser{Store: s, Holder: "a-1"}, &leaser.Leaser{Store: s, Holder: "b-1", Now: ahead}
}

func kind(err error) leaser.Kind {
	var e *leaser.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return -1
}

// TestTakeOver guards against two holders at the same time: another daemon gets the lease
// only after it has seen it unchanged for the TTL and the slack, although its clock is a
// day ahead. The fencing number grows with each change of holder, also after the object
// was deleted.
func TestTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, a, b := newPair()
		ctx := t.Context()
		first, err := a.Acquire(ctx, "x")
		c.Assert(err, qt.IsNil)
		c.Assert(first.Valid(9*time.Second), qt.IsTrue)
		c.Assert(first.Valid(10*time.Second), qt.IsFalse)
		_, err = b.Acquire(ctx, "x")
		c.Assert(kind(err), qt.Equals, leaser.KindHeld)
		time.Sleep(9 * time.Second)
		first, err = a.Renew(ctx, first)
		c.Assert(err, qt.IsNil)
		time.Sleep(9 * time.Second)
		_, err = b.Acquire(ctx, "x")
		c.Assert(kind(err), qt.Equals, leaser.KindHeld)
		time.Sleep(10 * time.Second)
		c.Assert(first.Valid(0), qt.IsFalse)
		_, err = b.Acquire(ctx, "x")
		c.Assert(kind(err), qt.Equals, leaser.KindHeld)
		time.Sleep(time.Second)
		second, err := b.Acquire(ctx, "x")
		c.Assert(err, qt.IsNil)
		c.Assert(second.Fence > first.Fence, qt.IsTrue)
		_, err = a.Renew(ctx, first)
		c.Assert(kind(err), qt.Equals, leaser.KindLost)
		c.Assert(kind(a.Release(ctx, first)), qt.Equals, leaser.KindLost)
		c.Assert(b.Release(ctx, second), qt.IsNil)
		third, err := a.Acquire(ctx, "x")
		c.Assert(err, qt.IsNil)
		c.Assert(third.Fence > second.Fence, qt.IsTrue)
		delete(s.objects, "leases/x")
		fourth, err := b.Acquire(ctx, "x")
		c.Assert(err, qt.IsNil)
		c.Assert(fourth.Fence > third.Fence, qt.IsTrue)
	})
}

// TestLostAnswers checks that a write whose answer is lost is confirmed by reading the
// object back, and that the call returns KindUnavailable if the read fails too.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, a, b := newPair()
		ctx := t.Context()
		s.dropReplies = 1
		l, err := a.Acquire(ctx, "x")
		c.Assert(err, qt.IsNil)
		fence := l.Fence
		s.dropReplies = 1
		s.replyDelay = 4 * time.Second
		l, err = a.Renew(ctx, l)
		c.Assert(err, qt.IsNil)
		// The TTL counts from the send, not from the answer.
		c.Assert(l.Valid(6*time.Second), qt.IsFalse)
		s.replyDelay = 0
		// Neither the answer nor the read-back arrives: the lease stays as it was.
		s.dropReplies, s.readsFail = 1, true
		time.Sleep(time.Second)
		kept, err := a.Renew(ctx, l)
		c.Assert(kind(err), qt.Equals, leaser.KindUnavailable)
		c.Assert(kept.Expires, qt.Equals, l.Expires)
		s.readsFail = false
		l, err = a.Renew(ctx, kept)
		c.Assert(err, qt.IsNil)
		c.Assert(l.Fence, qt.Equals, fence)
		s.dropReplies, s.readsFail = 1, true
		_, err = b.Acquire(ctx, "y")
		c.Assert(kind(err), qt.Equals, leaser.KindUnavailable)
	})
}
