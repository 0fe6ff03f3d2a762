package claimer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/ledger/claimer"
)

// Results of an attempt to claim a key.
const (
	granted = "granted"
	unknown = "unknown"
	done    = "done"
	refused = "refused"
)

// claimResult claims the key x and returns the result in one word.
func (tf *testFleet) claimResult(c *claimer.Claimer) (string, claimer.Claim) {
	claim, err := tf.claim(c, "x")
	switch {
	case err != nil:
		return refused, claim
	case claim.Granted:
		return granted, claim
	case claim.State == claimer.StateDone:
		return done, claim
	}
	return unknown, claim
}

// TestFaultClaim injects each fault at each step of a claim. Daemon b claims a key
// through its home a. During the fault c, which takes itself for the home, claims
// the key too; after the fault b does.
func TestFaultClaim(t *testing.T) {
	replyLost := func(tf *testFleet) { tf.store.set(func(s *store) { s.loseReplies = 1 }) }
	lostAndUnreadable := func(tf *testFleet) { tf.store.set(func(s *store) { s.loseReplies, s.failReadsAfterLoss = 1, true }) }
	delayedWrite := func(tf *testFleet) { tf.store.set(func(s *store) { s.delayNextWrite = true }) }
	down := func(tf *testFleet) { tf.store.set(func(s *store) { s.down = true }) }
	homeCut := func(tf *testFleet) { tf.network.disconnected["a"] = true }
	homeReplyLost := func(tf *testFleet) { tf.network.replyLost["a"] = true }
	both := func(f, g func(*testFleet)) func(*testFleet) { return func(tf *testFleet) { f(tf); g(tf) } }
	none := func(*testFleet) {}
	clearFaults := func(tf *testFleet) {
		tf.store.set(func(s *store) {
			s.down, s.readsFail, s.failReadsAfterLoss, s.loseReplies = false, false, false, 0
			if s.applyDelayed != nil {
				s.applyDelayed()
			}
		})
		tf.network.disconnected, tf.network.replyLost = map[string]bool{}, map[string]bool{}
	}
	const (
		claim   = "claim"
		running = "run"
		finish  = "finish"
		release = "release"
	)
	tests := []struct {
		step, name               string
		fault                    func(*testFleet)
		first, during, afterward string
	}{
		{claim, "reply lost", replyLost, granted, unknown, unknown},
		{claim, "reply lost, reads fail", lostAndUnreadable, refused, refused, granted},
		{claim, "write delayed", delayedWrite, granted, unknown, unknown},
		{claim, "platform down", down, refused, refused, granted},
		{claim, "home disconnected", homeCut, granted, unknown, unknown},
		{claim, "home's reply lost", homeReplyLost, granted, unknown, unknown},
		{claim, "replies of home and platform lost", both(homeReplyLost, replyLost), granted, unknown, unknown},
		{claim, "replies of home and platform lost, reads fail", both(homeReplyLost, lostAndUnreadable), refused, refused, granted},
		{claim, "home disconnected, platform down", both(homeCut, down), refused, refused, granted},
		{running, "holder killed", none, granted, unknown, unknown},
		{running, "holder killed, home disconnected", homeCut, granted, unknown, unknown},
		{finish, "no fault", none, granted, done, done},
		{finish, "reply lost", replyLost, granted, done, done},
		{finish, "platform down", down, granted, refused, done},
		{finish, "home disconnected", homeCut, granted, done, done},
		{finish, "home disconnected, platform down", both(homeCut, down), granted, refused, done},
		{release, "no fault", none, granted, granted, unknown},
		{release, "reply lost", replyLost, granted, granted, unknown},
		{release, "platform down", down, granted, refused, granted},
		{release, "home disconnected", homeCut, granted, granted, unknown},
		{release, "home's reply lost", homeReplyLost, granted, granted, unknown},
		{release, "write delayed", delayedWrite, granted, granted, unknown},
		{release, "home disconnected, platform down", both(homeCut, down), granted, refused, granted},
	}
	for _, tt := range tests {
		t.Run(tt.step+"/"+tt.name, func(t *testing.T) {

			run(t, func(tf *testFleet) {
				_, b, c := tf.addClaimer("a", "a"), tf.addClaimer("b", "a"), tf.addClaimer("c", "c")
				if tt.step == claim {
					tt.fault(tf)
				}
				first, grantedClaim := tf.claimResult(b)
				tf.Check(first, qt.Equals, tt.first)
				if tt.step != claim {
					tt.fault(tf)
				}
				switch tt.step {
				case finish:
					tf.Check(b.Finish(tf.t.Context(), grantedClaim, claimer.Outcome{Status: 201}), qt.IsNil)
				case release:
					_ = b.Release(tf.t.Context(), grantedClaim)
				}
				time.Sleep(2 * time.Second)
				second, _ := tf.claimResult(c)
				tf.Check(second, qt.Equals, tt.during)
				clearFaults(tf)
				time.Sleep(5 * time.Second)
				third, _ := tf.claimResult(b)
				tf.Check(third, qt.Equals, tt.afterward)
				if third == granted {
					fourth, _ := tf.claimResult(c)
					tf.Check(fourth, qt.Equals, unknown)
				}
			})
		})
	}
}

// TestFaultRelease combines a release with repeated and late messages of the
// released attempt, and with a claim in the same batch.
func TestFaultRelease(t *testing.T) {
	run(t, func(tf *testFleet) {
		a, b, c := tf.addClaimer("a", "a"), tf.addClaimer("b", "a"), tf.addClaimer("c", "c")
		_, claim := tf.claimResult(b)
		oldAttempt := tf.network.lastClaim
		tf.Assert(b.Release(tf.t.Context(), claim), qt.IsNil)
		// The released attempt arrives again, at the home and at a daemon that reads the
		// log.
		for _, id := range []string{"a", "c"} {
			_, err := tf.network.handlers[id][claimer.TopicClaim](tf.t.Context(), "b", oldAttempt)
			tf.Assert(err, qt.IsNil)
		}
		again, claim := tf.claimResult(c)
		tf.Assert(again, qt.Equals, granted)
		// A release is sent twice.
		tf.Assert(b.Release(tf.t.Context(), claim), qt.IsNil)
		tf.Assert(b.Release(tf.t.Context(), claim), qt.IsNil)
		_, claim = tf.claimResult(b)
		released := make(chan error)
		go func() { released <- a.Release(tf.t.Context(), claim) }()
		same, claim := tf.claimResult(a)
		tf.Assert(same, qt.Equals, granted)
		tf.Assert(<-released, qt.IsNil)
		// A release after the outcome has no effect.
		tf.Assert(b.Finish(tf.t.Context(), claim, claimer.Outcome{Status: 201}), qt.IsNil)
		time.Sleep(2 * time.Second)
		tf.Assert(b.Release(tf.t.Context(), claim), qt.IsNil)
		last, _ := tf.claimResult(c)
		tf.Assert(last, qt.Equals, done)
	})
}
