package guard

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"samphireturn"
)

var (
	v1    = samphireturn.VersionRef{Model: "m", Version: "v1"}
	rates = samphireturn.Guard{GoodRate: 0.02, BadRate: 0.2, FalseAlarmRate: 0.05, MissRate: 0.05}
)

// TestFalseAlarms checks that a healthy version is suspected in at most the accepted part
// of the runs, whether its failures are counted at once or by late ratings.
func TestFalseAlarms(t *testing.T) {
	const seeds, calls = 1000, 3000
	for _, late := range []int{0, 30} {
		t.Run(fmt.Sprint("late by ", late), func(t *testing.T) {
			alarms := 0
			for seed := range uint64(seeds) {
				r := rand.New(rand.NewPCG(seed, 1))
				g := &Counter{Instance: "a", Guard: rates}
				due := map[int]bool{}
				for i := range calls {
					failed := r.Float64() < rates.GoodRate
					due[i+late] = failed && late > 0
					g.RecordCall(v1, failed && late == 0)
					if due[i] {
						g.RecordLateFailure(v1, 0)
					}
				}
				alarms += int(g.Suspicion(v1))
			}
			t.Logf("%d false alarms in %d seeds of %d calls", alarms, seeds, calls)
			qt.Assert(t, alarms <= seeds*5/100, qt.IsTrue, qt.Commentf("%d", alarms))
		})
	}
}

// TestFalseAlarmsShared has eight daemons share the counts of a healthy version. A false
// alarm of any one of them would hold the version everywhere, so together they must stay
// within the accepted rate.
func TestFalseAlarmsShared(t *testing.T) {
	const seeds, calls, daemons, every = 1000, 1500, 8, 200
	alarms := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 4))
		all := make([]*Counter, daemons)
		for i := range all {
			all[i] = &Counter{Instance: fmt.Sprint(i), Guard: rates}
		}
		for n := range calls {
			all[r.IntN(daemons)].RecordCall(v1, r.Float64() < rates.GoodRate)
			if n%every != 0 {
				continue
			}
			for _, from := range all {
				totals := from.Totals()
				for _, to := range all {
					to.Merge(totals...)
				}
			}
		}
		for _, g := range all {
			if g.Suspicion(v1) == SuspicionBad {
				alarms++
				break
			}
		}
	}
	t.Logf("%d false alarms in %d seeds", alarms, seeds)
	qt.Assert(t, alarms <= seeds*5/100, qt.IsTrue, qt.Commentf("%d", alarms))
}

// TestBadVersionIsFound checks that a version that turns faulty after 2000 healthy calls
// is always suspected, on average within 100 further calls.
func TestBadVersionIsFound(t *testing.T) {
	c := qt.New(t)
	sum, worst, missed := 0, 0, 0
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 2))
		g := &Counter{Instance: "a", Guard: rates}
		for range 2000 {
			g.RecordCall(v1, r.Float64() < rates.GoodRate)
		}
		if g.Suspicion(v1) == SuspicionBad {
			continue
		}
		n := 0
		for ; n < 1000 && g.Suspicion(v1) == SuspicionNone; n++ {
			g.RecordCall(v1, r.Float64() < rates.BadRate)
		}
		if n == 1000 {
			missed++
		}
		sum += n
		worst = max(worst, n)
	}
	t.Logf("calls until found: mean %d, worst %d", sum/1000, worst)
	c.Assert(missed, qt.Equals, 0)
	c.Assert(sum/1000 < 100, qt.IsTrue)
}

func genTotals(t *rapid.T) []Totals {
	var out []Totals
	for range rapid.IntRange(1, 6).Draw(t, "messages") {
		m := Totals{Version: v1, Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"), Instances: map[string]Total{}}
		for range rapid.IntRange(1, 3).Draw(t, "instances") {
			calls := rapid.Uint64Range(0, 30).Draw(t, "calls")
			m.Instances[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")] = Total{Calls: calls, Failures: calls / 3}
		}
		out = append(out, m)
	}
	return out
}

// TestMergeProperties checks that the order of messages does not change the merged counts,
// and that merging the same counts again changes nothing.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := genTotals(t)
		one, two := &Counter{Guard: rates}, &Counter{Guard: rates}
		one.Merge(messages...)
		two.Merge(rapid.Permutation(messages).Draw(t, "order")...)
		before, state := one.Totals(), *one.versions[v1]
		if got := two.Totals(); !reflect.DeepEqual(got, before) {
			t.Fatalf("order matters: %v and %v", got, before)
		}
		one.Merge(messages...)
		one.Merge(before...)
		if !reflect.DeepEqual(*one.versions[v1], state) {
			t.Fatalf("a repeated merge changed %v to %v", state, *one.versions[v1])
		}
	})
}

// TestSharingAndEpochs checks that the failures of two daemons together make a version
// suspected, that counts of an older epoch are ignored, and that a late failure counts
// only if the running epoch has a counted success that it can replace.
func TestSharingAndEpochs(t *testing.T) {
	c := qt.New(t)
	a, b := &Counter{Instance: "a", Guard: rates}, &Counter{Instance: "b", Guard: rates}
	a.RecordCall(v1, true)
	b.RecordCall(v1, true)
	c.Assert(a.Suspicion(v1), qt.Equals, SuspicionNone)
	a.Merge(b.Totals()...)
	c.Assert(a.Suspicion(v1), qt.Equals, SuspicionBad, qt.Commentf("two failures in all"))
	old := a.Totals()
	a.Restart(v1, 1)
	c.Assert(a.Suspicion(v1), qt.Equals, SuspicionNone)
	a.Merge(old...)
	a.RecordLateFailure(v1, 1)
	c.Assert(a.Totals(), qt.DeepEquals, []Totals{{Version: v1, Epoch: 1, Instances: map[string]Total{}}}, qt.Commentf("no such call"))
	a.RecordCall(v1, false)
	a.RecordLateFailure(v1, 0)
	c.Assert(a.Totals(), qt.DeepEquals, []Totals{{Version: v1, Epoch: 1, Instances: map[string]Total{"a": {Calls: 1}}}}, qt.Commentf("call of an old epoch"))
	a.RecordLateFailure(v1, 1)
	a.RecordLateFailure(v1, 1)
	c.Assert(a.Totals(), qt.DeepEquals, []Totals{{Version: v1, Epoch: 1, Instances: map[string]Total{"a": {Calls: 1, Failures: 1}}}})
	b.Merge(a.Totals()...)
	c.Assert(b.Epoch(v1), qt.Equals, uint64(1))
	a.Retain(func(samphireturn.VersionRef) bool { return false })
	c.Assert(a.Totals(), qt.HasLen, 0)
}
