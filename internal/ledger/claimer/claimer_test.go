package claimer_test

import (
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"samphireturn"
	"samphireturn/internal/ledger/claimer"
)

// TestMain fixes the seed of the property test, unless a flag sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	m.Run()
}

// testFleet is a set of claimers that share one store and one network.
type testFleet struct {
	*qt.C
	t       *testing.T
	store   *store
	network *network
}

// run calls f with fake time and an empty fleet.
func run(t *testing.T, f func(tf *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f(&testFleet{
			C:     qt.New(t),
			t:     t,
			store: &store{objects: make(map[string]samphireturn.Object)},
			network: &network{
				handlers:     make(map[string]map[string]samphireturn.Handler),
				disconnected: make(map[string]bool),
				replyLost:    make(map[string]bool),
			},
		})
	})
}

// addClaimer registers a claimer with one shard that takes the daemon home as
// the shard's home.
func (tf *testFleet) addClaimer(self, home string) *claimer.Claimer {
	c := &claimer.Claimer{Store: tf.store, Peers: &peers{tf.network, self}, SelfID: self, Shards: 1}
	c.HomeOf = func(string) string { return home }
	c.Register()
	return c
}

func (tf *testFleet) claim(c *claimer.Claimer, key string) (claimer.Claim, error) {
	return c.Claim(tf.t.Context(), "red", key, [32]byte{1}, time.Minute)
}

// mustClaim claims a key and checks whether the claim was granted.
func (tf *testFleet) mustClaim(c *claimer.Claimer, key string, want bool) claimer.Claim {
	tf.Helper()
	claim, err := tf.claim(c, key)
	tf.Assert(err, qt.IsNil)
	tf.Assert(claim.Granted, qt.Equals, want)
	return claim
}

// mustFail claims a key and checks the kind of the error.
func (tf *testFleet) mustFail(c *claimer.Claimer, key string, want claimer.Kind) {
	tf.Helper()
	_, err := tf.claim(c, key)
	tf.Assert(kind(err), qt.Equals, want, qt.Commentf("%v", err))
}

func kind(err error) claimer.Kind {
	var e *claimer.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return -1
}

// TestOnce guards against a second grant of a claimed key. A later attempt
// finds the state and outcome of the claim, the key of another request is a
// mismatch, teams do not share keys, and a closed home does not prevent claims.
func TestOnce(t *testing.T) {
	run(t, func(tf *testFleet) {
		a, b := tf.addClaimer("a", "a"), tf.addClaimer("b", "a")
		claim := tf.mustClaim(b, "x", true)
		tf.Assert(tf.mustClaim(a, "x", false).State, qt.Equals, claimer.StateUnknown)
		_, err := a.Claim(tf.t.Context(), "red", "x", [32]byte{2}, time.Minute)
		tf.Assert(kind(err), qt.Equals, claimer.KindMismatch)
		other, err := a.Claim(tf.t.Context(), "blue", "x", [32]byte{2}, time.Minute)
		tf.Assert(err, qt.IsNil)
		tf.Assert(other.Granted, qt.IsTrue)
		tf.Assert(b.Finish(tf.t.Context(), claim, claimer.Outcome{Status: 201, Summary: []byte("made")}), qt.IsNil)
		time.Sleep(2 * time.Second)
		again := tf.mustClaim(tf.addClaimer("c", "c"), "x", false)
		tf.Assert(again.State, qt.Equals, claimer.StateDone)
		tf.Assert(again.Outcome, qt.DeepEquals, claimer.Outcome{Status: 201, Summary: []byte("made")})
		tf.Assert(a.Close(), qt.IsNil)
		tf.mustFail(a, "y", claimer.KindClosed)
		// The home is closed, so b commits the claim itself.
		tf.mustClaim(b, "y", true)
	})
}

// TestBatch checks that concurrent claims share one write, that each key is
// granted once, and that a claim beyond MaxPending is refused.
func TestBatch(t *testing.T) {
	run(t, func(tf *testFleet) {
		a := tf.addClaimer("a", "a")
		a.MaxPending = 100
		granted, full := make(chan bool, 200), make(chan bool, 200)
		for n := range 101 {
			go func() {
				claim, err := tf.claim(a, fmt.Sprint(n%50))
				if kind(err) == claimer.KindFull {
					full <- true
				} else if claim.Granted {
					granted <- true
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		tf.Assert(len(granted), qt.Equals, 50)
		tf.Assert(len(full), qt.Equals, 1)
		tf.Assert(tf.store.writes, qt.Equals, 1)
		tf.Assert(tf.store.largestValue < 50*150, qt.IsTrue, qt.Commentf("%d bytes", tf.store.largestValue))
	})
}

// TestLostAnswer guards against a key that is granted twice, or never again,
// after a write whose reply is lost or that takes effect late.
func TestLostAnswer(t *testing.T) {
	run(t, func(tf *testFleet) {
		a, b := tf.addClaimer("a", "a"), tf.addClaimer("b", "b")
		tf.mustClaim(a, "w", true)
		tf.store.set(func(s *store) { s.loseReplies = 1 })
		tf.mustClaim(a, "x", true)
		tf.mustClaim(b, "x", false)
		// The reply is lost and reads fail. Once the failed attempt is released,
		// the key is granted again, but only once.
		tf.store.set(func(s *store) { s.loseReplies, s.failReadsAfterLoss = 1, true })
		tf.mustFail(a, "y", claimer.KindUnavailable)
		tf.store.set(func(s *store) { s.readsFail = false })
		time.Sleep(2 * time.Second)
		tf.mustClaim(a, "y", true)
		tf.mustClaim(b, "y", false)
		// The delayed write is applied after its retry has been written.
		tf.store.set(func(s *store) { s.delayNextWrite = true })
		tf.mustClaim(a, "z", true)
		tf.store.set(func(s *store) { s.applyDelayed() })
		tf.mustClaim(b, "z", false)
		tf.store.set(func(s *store) { s.down = true })
		tf.mustFail(a, "v", claimer.KindUnavailable)
		tf.store.set(func(s *store) { s.down = false })
		tf.mustClaim(b, "v", true)
	})
}

// TestHomeLost guards against claims that fail or are granted twice when the
// home or its reply is lost, and against invalid claims of peers.
func TestHomeLost(t *testing.T) {
	run(t, func(tf *testFleet) {
		tf.addClaimer("a", "a")
		b, c := tf.addClaimer("b", "a"), tf.addClaimer("c", "c")
		// The home commits the claim, but its reply is lost, so b commits it too and
		// finds its own nonce.
		tf.network.replyLost["a"] = true
		tf.mustClaim(b, "x", true)
		tf.mustClaim(c, "x", false)
		tf.network.disconnected["a"] = true
		calls := tf.network.calls
		tf.mustClaim(b, "y", true)
		tf.Assert(tf.network.calls, qt.Equals, calls)
		withOutcome, err := cbor.Marshal(map[string]any{"n": [16]byte{1}, "d": true})
		tf.Assert(err, qt.IsNil)
		expiresTooLate, err := cbor.Marshal(map[string]any{"n": [16]byte{1}, "e": time.Now().Add(48 * time.Hour).Unix()})
		tf.Assert(err, qt.IsNil)
		for _, body := range [][]byte{nil, {0xa1}, {0xa0}, withOutcome, expiresTooLate} {
			_, err := tf.network.handlers["c"][claimer.TopicClaim](tf.t.Context(), "x", body)
			tf.Assert(kind(err), qt.Equals, claimer.KindInvalid)
		}
	})
}

// TestExpiry guards against a key that becomes free earlier than MaxClockSkew
// after its expiry or stays taken after that, against an old outcome on a new
// claim, and against expired windows that are never removed.
func TestExpiry(t *testing.T) {
	run(t, func(tf *testFleet) {
		a, b := tf.addClaimer("a", "a"), tf.addClaimer("b", "b")
		for _, c := range []*claimer.Claimer{a, b} {
			c.WindowAge = 30 * time.Second
		}
		a.MaxClaims = 4
		old := tf.mustClaim(a, "x", true)
		tf.mustClaim(b, "y", true)
		time.Sleep(40 * time.Second)
		tf.mustClaim(a, "z", true)
		tf.mustClaim(b, "u", true)
		tf.mustFail(a, "v", claimer.KindFull)
		// Past the expiry, but within MaxClockSkew.
		time.Sleep(30 * time.Second)
		tf.mustClaim(a, "x", false)
		time.Sleep(60 * time.Second)
		tf.mustClaim(a, "x", true)
		tf.mustClaim(b, "x", false)
		// An outcome of the expired claim must not apply to the new one.
		tf.Assert(a.Finish(tf.t.Context(), old, claimer.Outcome{Status: 200}), qt.IsNil)
		time.Sleep(2 * time.Second)
		tf.Assert(tf.mustClaim(a, "x", false).State, qt.Equals, claimer.StateUnknown)
		tf.Assert(len(tf.store.objects), qt.Equals, 2)
		time.Sleep(time.Hour)
		// The key is free MaxClockSkew after the claim's expiry, not only after the
		// next trim.
		tf.mustClaim(a, "first", true)
		time.Sleep(30 * time.Second)
		tf.mustClaim(a, "q", true)
		time.Sleep(95 * time.Second)
		tf.mustClaim(a, "q", false)
		time.Sleep(30 * time.Second)
		tf.mustClaim(a, "q", true)
		for range 4 {
			time.Sleep(time.Minute)
			tf.mustClaim(a, fmt.Sprint(time.Now()), true)
			tf.Assert(len(tf.store.objects) <= 4, qt.IsTrue)
		}
	})
}

// TestWindowSize checks that a window is sealed at WindowBytes and that claims
// in sealed windows are still found.
func TestWindowSize(t *testing.T) {
	run(t, func(tf *testFleet) {
		a := tf.addClaimer("a", "a")
		a.WindowBytes = 1000
		for n := range 40 {
			tf.mustClaim(a, fmt.Sprint(n), true)
		}
		tf.Assert(tf.store.largestValue < 1200, qt.IsTrue)
		tf.mustClaim(tf.addClaimer("b", "b"), "0", false)
	})
}

// TestProperty claims a few keys at daemons of which two act as home, while
// replies are lost and writes are delayed, and releases some of the claims. No
// key may run twice, and at the end exactly the keys that did not run are granted.
func TestProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "lose replies", "fail reads", "delay write", "apply delayed", "down"}), 30, 30).Draw(r, "faults")
		keys := rapid.SliceOfN(rapid.IntRange(0, 8), 60, 60).Draw(r, "keys")
		releases := rapid.SliceOfN(rapid.Bool(), 60, 60).Draw(r, "releases")
		ranTwice, wrongAtEnd := -1, -1
		run(t, func(tf *testFleet) {
			daemons := []*claimer.Claimer{tf.addClaimer("a", "a"), tf.addClaimer("b", "b"), tf.addClaimer("c", "a")}
			for _, c := range daemons {
				c.WindowBytes = 500
			}
			runs := make(chan int, len(keys))
			var claims sync.WaitGroup
			for step, fault := range faults {
				tf.store.set(func(s *store) {
					s.down, s.readsFail = fault == "down", false
					s.delayNextWrite, s.failReadsAfterLoss = fault == "delay write", fault == "fail reads"
					s.loseReplies = map[string]int{"lose replies": 2, "fail reads": 1}[fault]
					if fault == "apply delayed" && s.applyDelayed != nil {
						s.applyDelayed()
					}
				})
				for i := range 2 {
					key := keys[2*step+i]
					c := daemons[(step+i)%3]
					release, other := releases[2*step+i], daemons[(step+i+1)%3]
					claims.Go(func() {
						claim, err := tf.claim(c, fmt.Sprint(key))
						if err != nil || !claim.Granted {
							return
						}
						if release {
							_ = other.Release(tf.t.Context(), claim)
							return
						}
						runs <- key
					})
				}
				time.Sleep(time.Second)
			}
			claims.Wait()
			close(runs)
			seen := make(map[int]bool)
			for key := range runs {
				if seen[key] {
					ranTwice = key
				}
				seen[key] = true
			}
			tf.store.set(func(s *store) { s.down, s.readsFail, s.delayNextWrite, s.loseReplies = false, false, false, 0 })
			time.Sleep(5 * time.Second)
			for key := range 9 {
				claim, err := tf.claim(daemons[0], fmt.Sprint(key))
				if err != nil || claim.Granted == seen[key] {
					wrongAtEnd = key
				}
			}
		})
		if ranTwice >= 0 || wrongAtEnd >= 0 {
			r.Fatalf("key %d ran twice, key %d wrongly granted or refused at the end (-1: none)", ranTwice, wrongAtEnd)
		}
	})
}
