package claimer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/ledger/claimer"
)

// answers of a claim.
const (
	granted = "granted"
	unknown = "unknown"
	done    = "done"
	refused = "refused"
)

func (w *world) answer(c *claimer.Claimer) (string, claimer.Claim) {
	claim, err := w.claim(c, "x")
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

// TestFaultClaim meets each step of a claim with each fault. Daemon b claims by
// its home a; then c, which thinks itself home, and b claim the key again, and
// once more when the fault is over.
func TestFaultClaim(t *testing.T) {
	lost := func(w *world) { w.store.set(func(s *store) { s.lose = 1 }) }
	deaf := func(w *world) { w.store.set(func(s *store) { s.lose, s.deafens = 1, true }) }
	late := func(w *world) { w.store.set(func(s *store) { s.late = true }) }
	down := func(w *world) { w.store.set(func(s *store) { s.down = true }) }
	cut := func(w *world) { w.fleet.cut["a"] = true }
	mute := func(w *world) { w.fleet.mute["a"] = true }
	both := func(f, g func(*world)) func(*world) { return func(w *world) { f(w); g(w) } }
	none := func(*world) {}
	heal := func(w *world) {
		w.store.set(func(s *store) {
			s.down, s.deaf, s.deafens, s.lose = false, false, false, 0
			if s.held != nil {
				s.held()
			}
		})
		w.fleet.cut, w.fleet.mute = map[string]bool{}, map[string]bool{}
	}
	const (
		claim   = "claim"
		running = "run"
		finish  = "finish"
		release = "release"
	)
	tests := []struct {
		step, name               string
		fault                    func(*world)
		first, during, afterward string
	}{
		{claim, "answer lost", lost, granted, unknown, unknown},
		{claim, "answer and read back lost", deaf, refused, refused, granted},
		{claim, "write lands late", late, granted, unknown, unknown},
		{claim, "platform down", down, refused, refused, granted},
		{claim, "home cut", cut, granted, unknown, unknown},
		{claim, "home's reply lost", mute, granted, unknown, unknown},
		{claim, "home's reply and platform's answer lost", both(mute, lost), granted, unknown, unknown},
		{claim, "home's reply and read back lost", both(mute, deaf), refused, refused, granted},
		{claim, "home cut, platform down", both(cut, down), refused, refused, granted},
		{running, "holder killed", none, granted, unknown, unknown},
		{running, "holder killed, home cut", cut, granted, unknown, unknown},
		{finish, "none", none, granted, done, done},
		{finish, "answer lost", lost, granted, done, done},
		{finish, "platform down", down, granted, refused, done},
		{finish, "home cut", cut, granted, done, done},
		{finish, "home cut, platform down", both(cut, down), granted, refused, done},
		{release, "none", none, granted, granted, unknown},
		{release, "answer lost", lost, granted, granted, unknown},
		{release, "platform down", down, granted, refused, granted},
		{release, "home cut", cut, granted, granted, unknown},
		{release, "home's reply lost", mute, granted, granted, unknown},
		{release, "write lands late", late, granted, granted, unknown},
		{release, "home cut, platform down", both(cut, down), granted, refused, granted},
	}
	for _, tt := range tests {
		t.Run(tt.step+"/"+tt.name, func(t *testing.T) {

			run(t, func(w *world) {
				_, b, c := w.add("a", "a"), w.add("b", "a"), w.add("c", "c")
				if tt.step == claim {
					tt.fault(w)
				}
				first, held := w.answer(b)
				w.Check(first, qt.Equals, tt.first)
				if tt.step != claim {
					tt.fault(w)
				}
				switch tt.step {
				case finish:
					w.Check(b.Finish(w.t.Context(), held, claimer.Outcome{Status: 201}), qt.IsNil)
				case release:
					_ = b.Release(w.t.Context(), held)
				}
				time.Sleep(2 * time.Second)
				second, _ := w.answer(c)
				w.Check(second, qt.Equals, tt.during)
				heal(w)
				time.Sleep(5 * time.Second)
				third, _ := w.answer(b)
				w.Check(third, qt.Equals, tt.afterward)
				if third == granted {
					fourth, _ := w.answer(c)
					w.Check(fourth, qt.Equals, unknown)
				}
			})
		})
	}
}

// TestFaultRelease meets a release with claims that come late, again, or in the
// same batch.
func TestFaultRelease(t *testing.T) {
	run(t, func(w *world) {
		a, b, c := w.add("a", "a"), w.add("b", "a"), w.add("c", "c")
		_, held := w.answer(b)
		late := w.fleet.attempt
		w.Assert(b.Release(w.t.Context(), held), qt.IsNil)
		// The released attempt comes again, at the home and at one that reads the log.
		for _, id := range []string{"a", "c"} {
			_, err := w.fleet.handlers[id][claimer.TopicClaim](w.t.Context(), "b", late)
			w.Assert(err, qt.IsNil)
		}
		again, held := w.answer(c)
		w.Assert(again, qt.Equals, granted)
		// The old release comes again.
		w.Assert(b.Release(w.t.Context(), held), qt.IsNil)
		w.Assert(b.Release(w.t.Context(), held), qt.IsNil)
		_, held = w.answer(b)
		released := make(chan error)
		go func() { released <- a.Release(w.t.Context(), held) }()
		same, held := w.answer(a)
		w.Assert(same, qt.Equals, granted)
		w.Assert(<-released, qt.IsNil)
		// A release can't undo a run.
		w.Assert(b.Finish(w.t.Context(), held, claimer.Outcome{Status: 201}), qt.IsNil)
		time.Sleep(2 * time.Second)
		w.Assert(b.Release(w.t.Context(), held), qt.IsNil)
		last, _ := w.answer(c)
		w.Assert(last, qt.Equals, done)
	})
}
