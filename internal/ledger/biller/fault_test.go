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

// TestMain fixes the seed of the property test, unless a flag sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	m.Run()
}

// storeView is one daemon's access to the store. Once gone is set, all creates
// fail. before and after are called around the next create.
type storeView struct {
	*store
	gone          bool
	before, after func()
}

func (v *storeView) Create(ctx context.Context, name string, value []byte) (uint64, error) {
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

// exposed returns the counter of exposed records: those that were only in one
// daemon's memory when Record returned.
func exposed() int64 {
	n, ok := expvar.Get("biller_records").(*expvar.Map).Get("exposed").(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}

// TestFaultUsage injects each fault at each step of recording and writing three
// records at daemon a. Then its buddies b and c write their copies, and a, if
// it was only paused, resumes and records a fourth. All records must be stored
// exactly once, except those that the case states as lost.
func TestFaultUsage(t *testing.T) {
	kill := func(tf *testFleet, v *storeView) { v.gone = true; tf.network.offline["a"] = true }
	const (
		record   = "record"
		create   = "before the write"
		written  = "after the write"
		notified = "after the notification"
	)
	tests := []struct {
		step, name string
		// setup prepares the case; fault is injected at the step. If wake is
		// set, a resumes in the end.
		setup func(tf *testFleet, v *storeView)
		fault func(tf *testFleet, v *storeView)
		wake  bool
		// lost is the number of records that are lost, exposed the number of
		// those counted as exposed.
		lost, exposed int
	}{
		{record, "killed", nil, kill, false, 0, 0},
		{record, "paused", nil, kill, true, 0, 0},
		{record, "killed, one buddy offline", func(tf *testFleet, _ *storeView) { tf.network.offline["b"] = true }, kill, false, 0, 0},
		{record, "killed, buddies offline", func(tf *testFleet, _ *storeView) { tf.network.offline["b"], tf.network.offline["c"] = true, true }, kill, false, 0, 0},
		{record, "killed, platform down", func(tf *testFleet, _ *storeView) { tf.store.down = true }, kill, false, 0, 0},
		{record, "paused, platform down", func(tf *testFleet, _ *storeView) { tf.store.down = true }, kill, true, 0, 0},
		{record, "killed, buddies offline, platform down", func(tf *testFleet, _ *storeView) {
			tf.network.offline["b"], tf.network.offline["c"], tf.store.down = true, true, true
		}, kill, false, 3, 3},
		{record, "paused, buddies offline, platform down", func(tf *testFleet, _ *storeView) {
			tf.network.offline["b"], tf.network.offline["c"], tf.store.down = true, true, true
		}, kill, true, 0, 3},
		{create, "killed", nil, kill, false, 0, 0},
		{create, "paused", nil, kill, true, 0, 0},
		{create, "taken over while paused", nil, func(tf *testFleet, _ *storeView) { tf.billers["b"].WriteCopiesOf(context.Background(), "a-1") }, true, 0, 0},
		{written, "killed", nil, kill, false, 0, 0},
		{written, "paused", nil, kill, true, 0, 0},
		{written, "reply lost", func(tf *testFleet, _ *storeView) { tf.store.loseReplies = 1 }, func(*testFleet, *storeView) {}, true, 0, 0},
		{written, "reply lost, killed", func(tf *testFleet, _ *storeView) { tf.store.loseReplies = 1 }, kill, false, 0, 0},
		{written, "buddies offline", nil, func(tf *testFleet, _ *storeView) { tf.network.offline["b"], tf.network.offline["c"] = true, true }, true, 0, 0},
		{notified, "killed", nil, kill, false, 0, 0},
		{notified, "paused", nil, kill, true, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.step+"/"+tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tf := newTestFleet(t, "a", "b", "c")
				v := &storeView{store: tf.store}
				tf.billers["a"].Store = v
				exposedBefore := exposed()
				if tt.setup != nil && tt.step == record {
					tt.setup(tf, v)
				}
				tf.record("a", 1, 2, 3)
				if tt.setup != nil && tt.step != record {
					tt.setup(tf, v)
				}
				switch tt.step {
				case record:
					tt.fault(tf, v)
				case create:
					v.before = func() { tt.fault(tf, v) }
				case written:
					v.after = func() { tt.fault(tf, v) }
				}
				if tt.step != record {
					_ = tf.billers["a"].Flush(t.Context())
				}
				if tt.step == notified {
					tt.fault(tf, v)
				}
				tf.store.down, tf.network.offline = false, map[string]bool{"a": tf.network.offline["a"]}
				tf.billers["b"].WriteCopiesOf(t.Context(), "a-1")
				tf.billers["c"].WriteCopiesOf(t.Context(), "a-1")
				want := 3 - tt.lost
				if tt.wake {
					v.gone, tf.network.offline = false, map[string]bool{}
					time.Sleep(2 * time.Second)
					tf.record("a", 4)
					tf.Check(tf.billers["a"].Flush(t.Context()), qt.IsNil)
					tf.checkUnwritten("a", 0, 0)
					want++
				}
				tf.checkStored(want, 0)
				tf.Check(exposed()-exposedBefore, qt.Equals, int64(tt.exposed))
			})
		})
	}
}

// TestFaultOwnerUnlisted guards against copies of an owner whose VM has left
// the list waiting until they are old: the buddy writes them at its next check.
func TestFaultOwnerUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, "a", "b")
		tf.billers["a"].Instance = "a.1"
		var unlisted atomic.Bool
		tf.billers["b"].IsListed = func(id string) bool { return id != "a" || !unlisted.Load() }
		tf.Assert(tf.billers["b"].Run(t.Context()), qt.IsNil)
		tf.record("a", 1)
		time.Sleep(15 * time.Second)
		tf.checkStored(0, 0)
		unlisted.Store(true)
		time.Sleep(10 * time.Second)
		tf.checkStored(1, 0)
		tf.Assert(tf.billers["b"].Close(), qt.IsNil)
	})
}

// TestCopyBatch checks that concurrent records share copies, also when the first
// buddy does not reply.
func TestCopyBatch(t *testing.T) {
	for _, tt := range []struct {
		delay, stuck time.Duration
		calls        int
	}{{10 * time.Millisecond, 0, 2}, {10 * time.Millisecond, time.Hour, 3}} {
		synctest.Test(t, func(t *testing.T) {
			tf := newTestFleet(t, "a", "b", "c")
			tf.billers["a"].SegmentBytes = 1 << 20
			tf.network.delay = map[string]time.Duration{"b": tt.delay + tt.stuck, "c": tt.delay}
			var all sync.WaitGroup
			for n := range 200 {
				all.Go(func() { tf.record("a", n) })
			}
			all.Wait()
			own, _ := tf.billers["a"].UnwrittenCounts()
			tf.Check(own, qt.Equals, 200)
			tf.Check(tf.network.calls, qt.Equals, tt.calls)
			tf.billers["b"].WriteCopiesOf(t.Context(), "a-1")
			tf.billers["c"].WriteCopiesOf(t.Context(), "a-1")
			tf.checkStored(200, 0)
		})
	}
}

// TestProperty records, writes and takes over in random order under random
// faults. After the faults have ended, each record must be stored and counted
// once; if the owner was killed, each record that was not counted as exposed.
func TestProperty(t *testing.T) {
	ops := []string{"record", "record", "record", "flush", "gone b", "gone c", "cut b", "cut c", "cut a", "reconnect", "down", "up", "lose reply", "wait"}
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom(ops), 40, 40).Draw(r, "steps")
		killed := rapid.Bool().Draw(r, "killed")
		missing := 0
		synctest.Test(t, func(t *testing.T) {
			tf := newTestFleet(t, "a", "b", "c")
			exposedBefore, recorded := exposed(), 0
			for _, step := range steps {
				switch step {
				case "record":
					recorded++
					tf.record("a", recorded)
				case "flush":
					_ = tf.billers["a"].Flush(t.Context())
				case "gone b", "gone c":
					tf.billers[step[5:]].WriteCopiesOf(t.Context(), "a-1")
				case "cut a", "cut b", "cut c":
					tf.network.offline[step[4:]] = true
				case "reconnect":
					tf.network.offline = map[string]bool{}
				case "down", "up":
					tf.store.down = step == "down"
				case "lose reply":
					tf.store.loseReplies = 1
				case "wait":
					time.Sleep(2 * time.Second)
				}
			}
			tf.store.down, tf.store.loseReplies, tf.network.offline = false, 0, map[string]bool{}
			want := recorded
			if killed {
				want -= int(exposed() - exposedBefore)
			} else {
				tf.Check(tf.billers["a"].Flush(t.Context()), qt.IsNil)
			}
			tf.billers["b"].WriteCopiesOf(t.Context(), "a-1")
			tf.billers["c"].WriteCopiesOf(t.Context(), "a-1")
			report, err := auditor.Read(t.Context(), tf.store)
			tf.Assert(err, qt.IsNil)
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

// FuzzDecode decodes arbitrary bytes as a segment and as a message of a peer.
func FuzzDecode(f *testing.F) {
	u := samphireturn.Usage{Request: "r", Team: "red", PromptTokens: 1}
	segment, _ := cbor.Marshal([]samphireturn.Usage{u})
	copied, _ := cbor.Marshal(map[string]any{"i": "a-1", "n": 1, "r": []samphireturn.Usage{u}})
	for _, seed := range [][]byte{segment, copied, copied[:9], {}, {0x80}, {0xff}, {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		tf := newTestFleet(t, "a", "b")
		for _, topic := range []string{biller.TopicCopy, biller.TopicDone} {
			_, _ = tf.network.handlers["b"][topic](t.Context(), "a", body)
		}
		// A segment that can't be decoded must not make other records lost.
		tf.store.objects[biller.Name("a-1", 1)] = samphireturn.Object{Version: 1, Value: body}
		known, _ := biller.Decode(body)
		tf.record("a", 7)
		if err := tf.billers["a"].Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(known) == 0 && len(tf.store.objects) < 2 {
			t.Fatalf("record lost behind %x", body)
		}
	})
}
