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

// TestMain sets the seed of the property test, unless one is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	m.Run()
}

type world struct {
	*qt.C
	t     *testing.T
	store *store
	fleet *fleet
}

// run calls f with fake time.
func run(t *testing.T, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		f(&world{
			C:     qt.New(t),
			t:     t,
			store: &store{objects: make(map[string]samphireturn.Object)},
			fleet: &fleet{
				handlers: make(map[string]map[string]samphireturn.Handler),
				cut:      make(map[string]bool),
				mute:     make(map[string]bool),
			},
		})
	})
}

// add returns a claimer of one shard that takes home for its home.
func (w *world) add(self, home string) *claimer.Claimer {
	c := &claimer.Claimer{Store: w.store, Peers: &peers{w.fleet, self}, Self: self, Shards: 1}
	c.Home = func(string) string { return home }
	c.Register()
	return c
}

func (w *world) claim(c *claimer.Claimer, key string) (claimer.Claim, error) {
	return c.Claim(w.t.Context(), "red", key, [32]byte{1}, time.Minute)
}

// granted claims a key and checks the answer.
func (w *world) granted(c *claimer.Claimer, key string, want bool) claimer.Claim {
	w.Helper()
	claim, err := w.claim(c, key)
	w.Assert(err, qt.IsNil)
	w.Assert(claim.Granted, qt.Equals, want)
	return claim
}

func (w *world) refused(c *claimer.Claimer, key string, want claimer.Kind) {
	w.Helper()
	_, err := w.claim(c, key)
	w.Assert(kind(err), qt.Equals, want, qt.Commentf("%v", err))
}

func kind(err error) claimer.Kind {
	var e *claimer.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return -1
}

func TestOnce(t *testing.T) {
	run(t, func(w *world) {
		a, b := w.add("a", "a"), w.add("b", "a")
		claim := w.granted(b, "x", true)
		w.Assert(w.granted(a, "x", false).State, qt.Equals, claimer.StateUnknown)
		_, err := a.Claim(w.t.Context(), "red", "x", [32]byte{2}, time.Minute)
		w.Assert(kind(err), qt.Equals, claimer.KindMismatch)
		other, err := a.Claim(w.t.Context(), "blue", "x", [32]byte{2}, time.Minute)
		w.Assert(err, qt.IsNil)
		w.Assert(other.Granted, qt.IsTrue)
		w.Assert(b.Finish(w.t.Context(), claim, claimer.Outcome{Status: 201, Summary: []byte("made")}), qt.IsNil)
		time.Sleep(2 * time.Second)
		again := w.granted(w.add("c", "c"), "x", false)
		w.Assert(again.State, qt.Equals, claimer.StateDone)
		w.Assert(again.Outcome, qt.DeepEquals, claimer.Outcome{Status: 201, Summary: []byte("made")})
		w.Assert(a.Close(), qt.IsNil)
		w.refused(a, "y", claimer.KindClosed)
		// The home is closing: the claim goes around it.
		w.granted(b, "y", true)
	})
}

func TestBatch(t *testing.T) {
	run(t, func(w *world) {
		a := w.add("a", "a")
		a.Batch = 100
		granted, full := make(chan bool, 200), make(chan bool, 200)
		for n := range 101 {
			go func() {
				claim, err := w.claim(a, fmt.Sprint(n%50))
				if kind(err) == claimer.KindFull {
					full <- true
				} else if claim.Granted {
					granted <- true
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		w.Assert(len(granted), qt.Equals, 50)
		w.Assert(len(full), qt.Equals, 1)
		w.Assert(w.store.writes, qt.Equals, 1)
		w.Assert(w.store.biggest < 50*150, qt.IsTrue, qt.Commentf("%d bytes", w.store.biggest))
	})
}

func TestLostAnswer(t *testing.T) {
	run(t, func(w *world) {
		a, b := w.add("a", "a"), w.add("b", "b")
		w.granted(a, "w", true)
		w.store.set(func(s *store) { s.lose = 1 })
		w.granted(a, "x", true)
		w.granted(b, "x", false)
		// Neither the answer nor the read back: the key is free again once the
		// refused attempt is released, for one attempt.
		w.store.set(func(s *store) { s.lose, s.deafens = 1, true })
		w.refused(a, "y", claimer.KindUnavailable)
		w.store.set(func(s *store) { s.deaf = false })
		time.Sleep(2 * time.Second)
		w.granted(a, "y", true)
		w.granted(b, "y", false)
		// The write lands late, when the second try was already written.
		w.store.set(func(s *store) { s.late = true })
		w.granted(a, "z", true)
		w.store.set(func(s *store) { s.held() })
		w.granted(b, "z", false)
		w.store.set(func(s *store) { s.down = true })
		w.refused(a, "v", claimer.KindUnavailable)
		w.store.set(func(s *store) { s.down = false })
		w.granted(b, "v", true)
	})
}

func TestHomeLost(t *testing.T) {
	run(t, func(w *world) {
		w.add("a", "a")
		b, c := w.add("b", "a"), w.add("c", "c")
		// The home commits, but its reply is lost: the claim goes around it.
		w.fleet.mute["a"] = true
		w.granted(b, "x", true)
		w.granted(c, "x", false)
		w.fleet.cut["a"] = true
		calls := w.fleet.calls
		w.granted(b, "y", true)
		w.Assert(w.fleet.calls, qt.Equals, calls)
		done, err := cbor.Marshal(map[string]any{"n": [16]byte{1}, "d": true})
		w.Assert(err, qt.IsNil)
		late, err := cbor.Marshal(map[string]any{"n": [16]byte{1}, "e": time.Now().Add(48 * time.Hour).Unix()})
		w.Assert(err, qt.IsNil)
		for _, body := range [][]byte{nil, {0xa1}, {0xa0}, done, late} {
			_, err := w.fleet.handlers["c"][claimer.TopicClaim](w.t.Context(), "x", body)
			w.Assert(kind(err), qt.Equals, claimer.KindInvalid)
		}
	})
}

func TestExpiry(t *testing.T) {
	run(t, func(w *world) {
		a, b := w.add("a", "a"), w.add("b", "b")
		for _, c := range []*claimer.Claimer{a, b} {
			c.WindowAge = 30 * time.Second
		}
		a.Limit = 4
		old := w.granted(a, "x", true)
		w.granted(b, "y", true)
		time.Sleep(40 * time.Second)
		w.granted(a, "z", true)
		w.granted(b, "u", true)
		w.refused(a, "v", claimer.KindFull)
		// Past the expiry, but within the slack.
		time.Sleep(30 * time.Second)
		w.granted(a, "x", false)
		time.Sleep(60 * time.Second)
		w.granted(a, "x", true)
		w.granted(b, "x", false)
		// An outcome of the expired claim is not that of the new one.
		w.Assert(a.Finish(w.t.Context(), old, claimer.Outcome{Status: 200}), qt.IsNil)
		time.Sleep(2 * time.Second)
		w.Assert(w.granted(a, "x", false).State, qt.Equals, claimer.StateUnknown)
		w.Assert(len(w.store.objects), qt.Equals, 2)
		time.Sleep(time.Hour)
		// Free again at the very time, not only when what is old is next removed.
		w.granted(a, "first", true)
		time.Sleep(30 * time.Second)
		w.granted(a, "q", true)
		time.Sleep(95 * time.Second)
		w.granted(a, "q", false)
		time.Sleep(30 * time.Second)
		w.granted(a, "q", true)
		for range 4 {
			time.Sleep(time.Minute)
			w.granted(a, fmt.Sprint(time.Now()), true)
			w.Assert(len(w.store.objects) <= 4, qt.IsTrue)
		}
	})
}

func TestWindowSize(t *testing.T) {
	run(t, func(w *world) {
		a := w.add("a", "a")
		a.WindowSize = 1000
		for n := range 40 {
			w.granted(a, fmt.Sprint(n), true)
		}
		w.Assert(w.store.biggest < 1200, qt.IsTrue)
		w.granted(w.add("b", "b"), "0", false)
	})
}

// TestProperty claims few keys at daemons that all think they are home, under
// lost and late writes, and releases some. No key is run twice, and one that was
// not run can be claimed in the end.
func TestProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "lose", "deaf", "late", "land", "down"}), 30, 30).Draw(r, "faults")
		keys := rapid.SliceOfN(rapid.IntRange(0, 8), 60, 60).Draw(r, "keys")
		frees := rapid.SliceOfN(rapid.Bool(), 60, 60).Draw(r, "frees")
		twice, stuck := -1, -1
		run(t, func(w *world) {
			daemons := []*claimer.Claimer{w.add("a", "a"), w.add("b", "b"), w.add("c", "a")}
			for _, c := range daemons {
				c.WindowSize = 500
			}
			runs := make(chan int, len(keys))
			var claims sync.WaitGroup
			for step, fault := range faults {
				w.store.set(func(s *store) {
					s.down, s.deaf = fault == "down", false
					s.late, s.deafens = fault == "late", fault == "deaf"
					s.lose = map[string]int{"lose": 2, "deaf": 1}[fault]
					if fault == "land" && s.held != nil {
						s.held()
					}
				})
				for i := range 2 {
					key := keys[2*step+i]
					c := daemons[(step+i)%3]
					free, other := frees[2*step+i], daemons[(step+i+1)%3]
					claims.Go(func() {
						claim, err := w.claim(c, fmt.Sprint(key))
						if err != nil || !claim.Granted {
							return
						}
						if free {
							_ = other.Release(w.t.Context(), claim)
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
					twice = key
				}
				seen[key] = true
			}
			w.store.set(func(s *store) { s.down, s.deaf, s.late, s.lose = false, false, false, 0 })
			time.Sleep(5 * time.Second)
			for key := range 9 {
				claim, err := w.claim(daemons[0], fmt.Sprint(key))
				if err != nil || claim.Granted == seen[key] {
					stuck = key
				}
			}
		})
		if twice >= 0 || stuck >= 0 {
			r.Fatalf("key %d run twice, key %d stuck", twice, stuck)
		}
	})
}
