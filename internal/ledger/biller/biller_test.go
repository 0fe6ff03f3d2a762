package biller_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/ledger/auditor"
	"samphireturn/internal/ledger/biller"
)

type world struct {
	*qt.C
	store *store
	fleet *fleet
	b     map[string]*biller.Biller
}

func build(t *testing.T, ids ...string) *world {
	w := &world{
		C:     qt.New(t),
		store: &store{objects: make(map[string]samphireturn.Object)},
		fleet: &fleet{handlers: make(map[string]map[string]samphireturn.Handler), cut: make(map[string]bool)},
		b:     make(map[string]*biller.Biller),
	}
	for _, id := range ids {
		w.b[id] = &biller.Biller{Store: w.store, Peers: &peers{w.fleet, id}, Instance: id + "-1", Size: 500}
		w.b[id].Rank = func(_ string, ids []string) []string { return ids }
		w.b[id].Register()
	}
	return w
}

// record records usage for callers that have hung up.
func (w *world) record(id string, numbers ...int) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range numbers {
		u := samphireturn.Usage{Request: fmt.Sprint("r", n), Team: "red", PromptTokens: n}
		w.Assert(w.b[id].Record(gone, u), qt.IsNil)
	}
}

// check reads what the platform holds.
func (w *world) check(records, repeats int) {
	w.Helper()
	r, err := auditor.Read(context.Background(), w.store)
	w.Assert(err, qt.IsNil)
	w.Assert(r.Records, qt.Equals, records)
	w.Assert(r.Repeats, qt.Equals, repeats)
}

func (w *world) held(id string, own, copied int) {
	w.Helper()
	o, c := w.b[id].Held()
	w.Assert([]int{o, c}, qt.DeepEquals, []int{own, copied})
}

func TestOwnerWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(t, "a", "b")
		w.Assert(w.b["a"].Run(t.Context()), qt.IsNil)
		w.record("a", 1, 2)
		w.held("b", 0, 2)
		w.check(0, 0)
		time.Sleep(11 * time.Second)
		w.held("b", 0, 0)
		w.check(2, 0)
		w.record("a", 3)
		w.store.lose = 1
		w.Assert(w.b["a"].Close(), qt.IsNil)
		w.check(3, 0)
		w.Assert(w.b["a"].Record(t.Context(), samphireturn.Usage{Request: "r4"}), qt.ErrorMatches, ".*closed")
	})
}

func TestOwnerGone(t *testing.T) {
	w := build(t, "a", "b", "c")
	w.record("a", 1, 2)
	w.fleet.cut["b"] = true
	w.record("a", 3)
	w.fleet.cut["b"] = false
	w.b["b"].Gone(t.Context(), "a-1")
	w.check(2, 0)
	w.b["c"].Gone(t.Context(), "a-1")
	w.check(3, 0)
	w.held("b", 0, 0)
	// The owner was only paused: it carries what is missing.
	w.record("a", 4)
	w.Assert(w.b["a"].Flush(t.Context()), qt.IsNil)
	w.record("a", 5)
	w.Assert(w.b["a"].Flush(t.Context()), qt.IsNil)
	w.check(5, 0)
	w.held("a", 0, 0)
	w.held("b", 0, 0)
	w.Assert(w.store.writes, qt.Equals, 7)
}

func TestOldCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(t, "a", "b")
		w.Assert(w.b["b"].Run(t.Context()), qt.IsNil)
		w.record("a", 1)
		time.Sleep(59 * time.Second)
		w.check(0, 0)
		time.Sleep(12 * time.Second)
		w.check(1, 0)
		w.Assert(w.b["a"].Flush(t.Context()), qt.IsNil)
		w.check(1, 0)
		w.Assert(w.b["b"].Close(), qt.IsNil)
	})
}

func TestNoBuddy(t *testing.T) {
	w := build(t, "a")
	w.record("a", 1)
	w.check(1, 0)
	w.store.down = true
	w.record("a", 2, 3, 4)
	// Only the first waits for the platform; the others keep to the backoff.
	w.Assert(w.store.writes, qt.Equals, 2)
	w.held("a", 3, 0)
	w.Assert(w.b["a"].Close(), qt.ErrorMatches, ".*unwritten.*")
	w.store.down = false
	w.Assert(w.b["a"].Flush(t.Context()), qt.IsNil)
	w.check(4, 0)
}

func TestBounds(t *testing.T) {
	w := build(t, "a", "b")
	w.b["a"].Limit = 1000
	kept := 0
	for n := range 100 {
		if w.b["a"].Record(t.Context(), samphireturn.Usage{Request: fmt.Sprint("r", n)}) == nil {
			kept++
		}
	}
	w.Assert(kept > 5 && kept < 50, qt.IsTrue)
	w.Assert(w.b["a"].Flush(t.Context()), qt.IsNil)
	w.check(kept, 0)
	for _, o := range w.store.objects {
		w.Assert(len(o.Value) < 520, qt.IsTrue)
	}
	_, err := w.fleet.handlers["b"][biller.TopicCopy](t.Context(), "x", []byte{0xa1, 0x61})
	w.Assert(err, qt.ErrorMatches, ".*invalid.*")
}
