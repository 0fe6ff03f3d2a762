package biller_test

import (
	"context"
	"expvar"
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"samphireturn"
	"samphireturn/internal/ledger/auditor"
	"samphireturn/internal/ledger/biller"
)

// TestMain sets the seed of the property test, unless one is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	m.Run()
}

// view is one daemon's way to the store. A daemon that is gone does nothing
// more; before and after run around its next create.
type view struct {
	*store
	gone          bool
	before, after func()
}

func (v *view) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	before, after := v.before, v.after
	v.before, v.after = nil, nil
	if before != nil {
		before()
	}
	if v.gone {
		return 0, fail(samphireturn.KindUnavailable)
	}
	n, err := v.store.Create(ctx, name, value)
	if after != nil {
		after()
	}
	if v.gone {
		return 0, fail(samphireturn.KindUnknown)
	}
	return n, err
}

// exposed returns the records that were in one memory alone when their callers
// were answered.
func exposed() int64 {
	n, ok := expvar.Get("biller_records").(*expvar.Map).Get("exposed").(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}

// TestFaultUsage meets each step of three records at a with each fault, then
// lets the buddies b and c take over, and a wake if it was only paused and
// record a fourth. What answered callers owe is there, once.
func TestFaultUsage(t *testing.T) {
	kill := func(w *world, v *view) { v.gone = true; w.fleet.cut["a"] = true }
	const (
		record = "record"
		create = "before the write"
		wrote  = "after the write"
		told   = "after all"
	)
	tests := []struct {
		step, name string
		// ready is done first, fault at the step; wake lets a go on in the end.
		ready func(w *world, v *view)
		fault func(w *world, v *view)
		wake  bool
		// lost and exposed are the records that are, and those counted as exposed.
		lost, exposed int
	}{
		{record, "killed", nil, kill, false, 0, 0},
		{record, "paused", nil, kill, true, 0, 0},
		{record, "killed, one buddy cut", func(w *world, _ *view) { w.fleet.cut["b"] = true }, kill, false, 0, 0},
		{record, "killed, buddies cut", func(w *world, _ *view) { w.fleet.cut["b"], w.fleet.cut["c"] = true, true }, kill, false, 0, 0},
		{record, "killed, platform down", func(w *world, _ *view) { w.store.down = true }, kill, false, 0, 0},
		{record, "paused, platform down", func(w *world, _ *view) { w.store.down = true }, kill, true, 0, 0},
		{record, "killed, buddies cut, platform down", func(w *world, _ *view) {
			w.fleet.cut["b"], w.fleet.cut["c"], w.store.down = true, true, true
		}, kill, false, 3, 3},
		{record, "paused, buddies cut, platform down", func(w *world, _ *view) {
			w.fleet.cut["b"], w.fleet.cut["c"], w.store.down = true, true, true
		}, kill, true, 0, 3},
		{create, "killed", nil, kill, false, 0, 0},
		{create, "paused", nil, kill, true, 0, 0},
		{create, "taken over while paused", nil, func(w *world, _ *view) { w.b["b"].Gone(context.Background(), "a-1") }, true, 0, 0},
		{wrote, "killed", nil, kill, false, 0, 0},
		{wrote, "paused", nil, kill, true, 0, 0},
		{wrote, "answer lost", func(w *world, _ *view) { w.store.lose = 1 }, func(*world, *view) {}, true, 0, 0},
		{wrote, "answer lost, killed", func(w *world, _ *view) { w.store.lose = 1 }, kill, false, 0, 0},
		{wrote, "buddies cut", nil, func(w *world, _ *view) { w.fleet.cut["b"], w.fleet.cut["c"] = true, true }, true, 0, 0},
		{told, "killed", nil, kill, false, 0, 0},
		{told, "paused", nil, kill, true, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.step+"/"+tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := build(t, "a", "b", "c")
				v := &view{store: w.store}
				w.b["a"].Store = v
				counted := exposed()
				if tt.ready != nil && tt.step == record {
					tt.ready(w, v)
				}
				w.record("a", 1, 2, 3)
				if tt.ready != nil && tt.step != record {
					tt.ready(w, v)
				}
				switch tt.step {
				case record:
					tt.fault(w, v)
				case create:
					v.before = func() { tt.fault(w, v) }
				case wrote:
					v.after = func() { tt.fault(w, v) }
				}
				if tt.step != record {
					_ = w.b["a"].Flush(t.Context())
				}
				if tt.step == told {
					tt.fault(w, v)
				}
				w.store.down, w.fleet.cut = false, map[string]bool{"a": w.fleet.cut["a"]}
				w.b["b"].Gone(t.Context(), "a-1")
				w.b["c"].Gone(t.Context(), "a-1")
				want := 3 - tt.lost
				if tt.wake {
					v.gone, w.fleet.cut = false, map[string]bool{}
					time.Sleep(2 * time.Second)
					w.record("a", 4)
					w.Check(w.b["a"].Flush(t.Context()), qt.IsNil)
					w.held("a", 0, 0)
					want++
				}
				w.check(want, 0)
				w.Check(exposed()-counted, qt.Equals, int64(tt.exposed))
			})
		})
	}
}

// TestFaultOwnerUnlisted lets the owner's VM leave the list: its buddies write
// its copies at their next look, not only when they are old.
func TestFaultOwnerUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := build(t, "a", "b")
		w.b["a"].Instance = "a.1"
		var unlisted atomic.Bool
		w.b["b"].Listed = func(id string) bool { return id != "a" || !unlisted.Load() }
		w.Assert(w.b["b"].Run(t.Context()), qt.IsNil)
		w.record("a", 1)
		time.Sleep(15 * time.Second)
		w.check(0, 0)
		unlisted.Store(true)
		time.Sleep(10 * time.Second)
		w.check(1, 0)
		w.Assert(w.b["b"].Close(), qt.IsNil)
	})
}

// TestGroup records many at once: they share copies, also when the first buddy
// does not answer.
func TestGroup(t *testing.T) {
	for _, tt := range []struct {
		delay, stuck time.Duration
		calls        int
	}{{10 * time.Millisecond, 0, 2}, {10 * time.Millisecond, time.Hour, 3}} {
		synctest.Test(t, func(t *testing.T) {
			w := build(t, "a", "b", "c")
			w.b["a"].Size = 1 << 20
			w.fleet.delay = map[string]time.Duration{"b": tt.delay + tt.stuck, "c": tt.delay}
			var all sync.WaitGroup
			for n := range 200 {
				all.Go(func() { w.record("a", n) })
			}
			all.Wait()
			own, _ := w.b["a"].Held()
			w.Check(own, qt.Equals, 200)
			w.Check(w.fleet.calls, qt.Equals, tt.calls)
			w.b["b"].Gone(t.Context(), "a-1")
			w.b["c"].Gone(t.Context(), "a-1")
			w.check(200, 0)
		})
	}
}

// TestProperty records, writes and takes over in any order under any faults.
// When they are over each record is there, counted once; without the owner each
// that was not counted as exposed is.
func TestProperty(t *testing.T) {
	ops := []string{"record", "record", "record", "flush", "gone b", "gone c", "cut b", "cut c", "cut a", "heal", "down", "up", "lose", "wait"}
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom(ops), 40, 40).Draw(r, "steps")
		killed := rapid.Bool().Draw(r, "killed")
		missing := 0
		synctest.Test(t, func(t *testing.T) {
			w := build(t, "a", "b", "c")
			before, recorded := exposed(), 0
			for _, step := range steps {
				switch step {
				case "record":
					recorded++
					w.record("a", recorded)
				case "flush":
					_ = w.b["a"].Flush(t.Context())
				case "gone b", "gone c":
					w.b[step[5:]].Gone(t.Context(), "a-1")
				case "cut a", "cut b", "cut c":
					w.fleet.cut[step[4:]] = true
				case "heal":
					w.fleet.cut = map[string]bool{}
				case "down", "up":
					w.store.down = step == "down"
				case "lose":
					w.store.lose = 1
				case "wait":
					time.Sleep(2 * time.Second)
				}
			}
			w.store.down, w.store.lose, w.fleet.cut = false, 0, map[string]bool{}
			want := recorded
			if killed {
				want -= int(exposed() - before)
			} else {
				w.Check(w.b["a"].Flush(t.Context()), qt.IsNil)
			}
			w.b["b"].Gone(t.Context(), "a-1")
			w.b["c"].Gone(t.Context(), "a-1")
			report, err := auditor.Read(t.Context(), w.store)
			w.Assert(err, qt.IsNil)
			missing = want - report.Records
			if report.Records > recorded {
				missing = recorded - report.Records
			}
		})
		if missing > 0 {
			r.Fatalf("%d records missing", missing)
		}
		if missing < 0 && !killed {
			r.Fatalf("%d records too many", -missing)
		}
	})
}

// FuzzDecode reads any bytes as a segment and as a message of a peer.
func FuzzDecode(f *testing.F) {
	u := samphireturn.Usage{Request: "r", Team: "red", PromptTokens: 1}
	segment, _ := cbor.Marshal([]samphireturn.Usage{u})
	copied, _ := cbor.Marshal(map[string]any{"i": "a-1", "n": 1, "r": []samphireturn.Usage{u}})
	for _, seed := range [][]byte{segment, copied, copied[:9], {}, {0x80}, {0xff}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		w := build(t, "a", "b")
		for _, topic := range []string{biller.TopicCopy, biller.TopicDone} {
			_, _ = w.fleet.handlers["b"][topic](t.Context(), "a", body)
		}
		// A segment that can't be read takes nothing with it.
		w.store.objects[biller.Name("a-1", 1)] = samphireturn.Object{Version: 1, Value: body}
		known, _ := biller.Decode(body)
		w.record("a", 7)
		if err := w.b["a"].Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(known) == 0 && len(w.store.objects) < 2 {
			t.Fatalf("record lost behind %x", body)
		}
	})
}
