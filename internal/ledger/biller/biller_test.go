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

// testFleet is a set of billers that share one store and one network.
type testFleet struct {
	*qt.C
	store   *store
	network *network
	billers map[string]*biller.Biller
}

func newTestFleet(t *testing.T, ids ...string) *testFleet {
	tf := &testFleet{
		C:       qt.New(t),
		store:   &store{objects: make(map[string]samphireturn.Object)},
		network: &network{handlers: make(map[string]map[string]samphireturn.Handler), offline: make(map[string]bool)},
		billers: make(map[string]*biller.Biller),
	}
	for _, id := range ids {
		tf.billers[id] = &biller.Biller{Store: tf.store, Peers: &peers{tf.network, id}, Instance: id + "-1", SegmentBytes: 500}
		tf.billers[id].RankBuddies = func(_ string, ids []string) []string { return ids }
		tf.billers[id].Register()
	}
	return tf
}

// record records usage with a context that is already cancelled, as when
// callers have hung up.
func (tf *testFleet) record(id string, numbers ...int) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range numbers {
		u := samphireturn.Usage{Request: fmt.Sprint("r", n), Team: "red", PromptTokens: n}
		tf.Assert(tf.billers[id].Record(gone, u), qt.IsNil)
	}
}

// checkStored checks the number of records and repeated records on the
// platform.
func (tf *testFleet) checkStored(records, repeats int) {
	tf.Helper()
	r, err := auditor.Read(context.Background(), tf.store)
	tf.Assert(err, qt.IsNil)
	tf.Assert(r.Records, qt.Equals, records)
	tf.Assert(r.Repeats, qt.Equals, repeats)
}

// checkUnwritten checks the numbers of unwritten own and copied records of a
// daemon.
func (tf *testFleet) checkUnwritten(id string, own, copied int) {
	tf.Helper()
	o, c := tf.billers[id].UnwrittenCounts()
	tf.Assert([]int{o, c}, qt.DeepEquals, []int{own, copied})
}

// TestOwnerWrites checks that a buddy holds copies until the owner has written
// them, and that a lost reply to a write neither loses nor repeats records. A
// closed biller refuses records.
func TestOwnerWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, "a", "b")
		tf.Assert(tf.billers["a"].Run(t.Context()), qt.IsNil)
		tf.record("a", 1, 2)
		tf.checkUnwritten("b", 0, 2)
		tf.checkStored(0, 0)
		time.Sleep(11 * time.Second)
		tf.checkUnwritten("b", 0, 0)
		tf.checkStored(2, 0)
		tf.record("a", 3)
		tf.store.loseReplies = 1
		tf.Assert(tf.billers["a"].Close(), qt.IsNil)
		tf.checkStored(3, 0)
		tf.Assert(tf.billers["a"].Record(t.Context(), samphireturn.Usage{Request: "r4"}), qt.ErrorMatches, ".*closed")
	})
}

// TestOwnerGone guards against lost or repeated records when buddies write the
// copies of an owner that was only paused and then goes on.
func TestOwnerGone(t *testing.T) {
	tf := newTestFleet(t, "a", "b", "c")
	tf.record("a", 1, 2)
	tf.network.offline["b"] = true
	tf.record("a", 3)
	tf.network.offline["b"] = false
	tf.billers["b"].WriteCopiesOf(t.Context(), "a-1")
	tf.checkStored(2, 0)
	tf.billers["c"].WriteCopiesOf(t.Context(), "a-1")
	tf.checkStored(3, 0)
	tf.checkUnwritten("b", 0, 0)
	// The owner was only paused: it writes the missing records under other names.
	tf.record("a", 4)
	tf.Assert(tf.billers["a"].Flush(t.Context()), qt.IsNil)
	tf.record("a", 5)
	tf.Assert(tf.billers["a"].Flush(t.Context()), qt.IsNil)
	tf.checkStored(5, 0)
	tf.checkUnwritten("a", 0, 0)
	tf.checkUnwritten("b", 0, 0)
	tf.Assert(tf.store.writes, qt.Equals, 7)
}

// TestOldCopy checks that a buddy writes copies older than MaxCopyAge and that
// the owner, which writes later, does not repeat them.
func TestOldCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tf := newTestFleet(t, "a", "b")
		tf.Assert(tf.billers["b"].Run(t.Context()), qt.IsNil)
		tf.record("a", 1)
		time.Sleep(59 * time.Second)
		tf.checkStored(0, 0)
		time.Sleep(12 * time.Second)
		tf.checkStored(1, 0)
		tf.Assert(tf.billers["a"].Flush(t.Context()), qt.IsNil)
		tf.checkStored(1, 0)
		tf.Assert(tf.billers["b"].Close(), qt.IsNil)
	})
}

// TestNoBuddy checks that without a buddy records are written at once, that
// they stay in memory while the platform is down, and that Close then reports
// them.
func TestNoBuddy(t *testing.T) {
	tf := newTestFleet(t, "a")
	tf.record("a", 1)
	tf.checkStored(1, 0)
	tf.store.down = true
	tf.record("a", 2, 3, 4)
	// Only the first call waits for the platform; the others return during the
	// backoff.
	tf.Assert(tf.store.writes, qt.Equals, 2)
	tf.checkUnwritten("a", 3, 0)
	tf.Assert(tf.billers["a"].Close(), qt.ErrorMatches, ".*unwritten.*")
	tf.store.down = false
	tf.Assert(tf.billers["a"].Flush(t.Context()), qt.IsNil)
	tf.checkStored(4, 0)
}

// TestBounds checks that MaxBytes bounds the records in memory and SegmentBytes
// a segment, and that a malformed copy is refused.
func TestBounds(t *testing.T) {
	tf := newTestFleet(t, "a", "b")
	tf.billers["a"].MaxBytes = 1000
	kept := 0
	for n := range 100 {
		if tf.billers["a"].Record(t.Context(), samphireturn.Usage{Request: fmt.Sprint("r", n)}) == nil {
			kept++
		}
	}
	tf.Assert(kept > 5 && kept < 50, qt.IsTrue)
	tf.Assert(tf.billers["a"].Flush(t.Context()), qt.IsNil)
	tf.checkStored(kept, 0)
	for _, o := range tf.store.objects {
		tf.Assert(len(o.Value) < 520, qt.IsTrue)
	}
	_, err := tf.network.handlers["b"][biller.TopicCopy](t.Context(), "x", []byte{0xa1, 0x61})
	tf.Assert(err, qt.ErrorMatches, ".*invalid.*")
}
