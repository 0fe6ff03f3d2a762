// Package guard detects faulty versions by a sequential test over the failures that all
// daemons count, and holds them: a held version takes no new sessions.
package guard

import (
	"maps"
	"math"
	"sync"

	"samphireturn"
)

const (
	// defaultGoodRate and defaultBadRate are the failure rates of a healthy and of a
	// faulty version if the configuration sets none.
	defaultGoodRate = 0.01
	defaultBadRate  = 0.1
	// defaultFalseAlarmRate and defaultMissRate are the accepted error rates of the test
	// if the configuration sets none.
	defaultFalseAlarmRate = 0.01
	defaultMissRate       = 0.01
	// maxFolded bounds the folded instances whose counts are kept one by one.
	maxFolded = 1024
)

// Results of the test of a version.
const (
	// SuspicionNone means that the test has not found the version faulty.
	SuspicionNone Suspicion = iota
	// SuspicionBad means that the version fails as often as a faulty one.
	SuspicionBad
)

// Suspicion is the result of the test of a version.
type Suspicion int

// Total holds the numbers of calls and failures of one version in one epoch, of one
// daemon instance or summed over the daemons of one or more data centres. They only
// grow. Failures are errors, timeouts and answers rated below the minimum.
type Total struct {
	Calls    uint64 `cbor:"c"`
	Failures uint64 `cbor:"f,omitempty"`
	// Daemons is the number of instances in a sum; zero means one instance.
	Daemons uint64 `cbor:"d,omitempty"`
}

// Totals are the counts of one version in one epoch, by daemon instance for this data
// centre and by sums for the others (see sum.go). A new epoch begins when the version is
// held or released.
type Totals struct {
	Version   samphireturn.VersionRef `cbor:"v"`
	Epoch     uint64                  `cbor:"e,omitempty"`
	Instances map[string]Total        `cbor:"i"`
	// FoldedSum is the sum of the folded instances. It is sent only as part of the data
	// centre's sum.
	FoldedSum Total `cbor:"-"`
}

// Counter runs the sequential test. Set the exported fields before use. It is safe for
// concurrent use.
//
// Each test of a version is Wald's sequential probability ratio test: at the upper
// boundary the version becomes suspected, at the lower one the test starts again. The
// n-th test of an epoch spends FalseAlarmRate/(n(n+1)), so that all tests of an epoch
// together raise a false alarm with a probability of at most FalseAlarmRate. The
// boundaries on the likelihood ratio are the inverse of the spent rate and MissRate,
// slightly wider than Wald's, so that the bound is strict. Since each daemon counts its
// own calls before those of others, it runs a test of its own, and FalseAlarmRate is
// divided among the instances that count.
type Counter struct {
	// Instance names this daemon's process; it changes at each start.
	Instance string
	// Guard holds the rates; a rate that is not between 0 and 1 takes its default.
	Guard samphireturn.Guard

	mu       sync.Mutex
	versions map[samphireturn.VersionRef]*sequentialTest
}

// sequentialTest is the test of one version in one epoch.
type sequentialTest struct {
	epoch     uint64
	instances map[string]Total
	// folded holds the counts of instances that left the fleet; evicted is the sum of
	// those that were removed from folded when it was full.
	folded  map[string]Total
	evicted Total
	// logRatio is the logarithm of the likelihood ratio of a faulty to a healthy
	// version.
	logRatio float64
	// number is the number of the running test within the epoch, from 1.
	number    float64
	suspected bool
}

// RecordCall counts one call of this daemon.
func (c *Counter) RecordCall(v samphireturn.VersionRef, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.test(v)
	t := s.instances[c.Instance]
	t.Calls++
	if failed {
		t.Failures++
	}
	s.record(c.rates(), c.Instance, t)
}

// RecordLateFailure turns a call that RecordCall counted as a success into a failure,
// for instance when its rating arrives late. It does nothing if the epoch has changed
// since, or if there is no such call.
func (c *Counter) RecordLateFailure(v samphireturn.VersionRef, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.test(v)
	t := s.instances[c.Instance]
	if s.epoch != epoch {
		return
	}
	t.Failures++
	s.record(c.rates(), c.Instance, t)
}

// Merge merges the counts of other daemons. The greater count of each instance applies,
// so that duplicate and reordered messages change nothing. Counts of an older epoch are
// ignored, and a newer epoch replaces the running one.
func (c *Counter) Merge(totals ...Totals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range totals {
		s := c.test(t.Version)
		if t.Epoch > s.epoch {
			s.restart(t.Epoch)
		}
		if t.Epoch < s.epoch {
			continue
		}
		s.merge(c.rates(), t.Instances)
	}
}

// Totals returns a copy of all counts, in no order.
func (c *Counter) Totals() []Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Totals, 0, len(c.versions))
	for v, s := range c.versions {
		t := Totals{Version: v, Epoch: s.epoch, Instances: maps.Clone(s.instances), FoldedSum: s.evicted}
		for _, n := range s.folded {
			t.FoldedSum = t.FoldedSum.plus(n)
		}
		out = append(out, t)
	}
	return out
}

// Suspicion returns whether the version is suspected of being faulty. A suspicion
// lasts until the version's next epoch.
func (c *Counter) Suspicion(v samphireturn.VersionRef) Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.versions[v]; s != nil && s.suspected {
		return SuspicionBad
	}
	return SuspicionNone
}

// Epoch returns the version's epoch.
func (c *Counter) Epoch(v samphireturn.VersionRef) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.versions[v]; s != nil {
		return s.epoch
	}
	return 0
}

// Restart begins the given epoch of a version without counts. It does nothing if that
// epoch or a newer one is running.
func (c *Counter) Restart(v samphireturn.VersionRef, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.test(v); epoch > s.epoch {
		s.restart(epoch)
	}
}

// SetGuard replaces the rates.
func (c *Counter) SetGuard(g samphireturn.Guard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Guard = g
}

// Fold sets aside the counts of every instance for which keep returns false. They stay
// in the test and in FoldedSum, but are no longer among the Instances of Totals. If an
// instance returns, its counts continue from where they were.
func (c *Counter) Fold(keep func(instance string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.versions {
		for id, t := range s.instances {
			if isSum(id) || keep(id) {
				continue
			}
			delete(s.instances, id)
			if s.folded == nil || len(s.folded) >= maxFolded {
				for _, old := range s.folded {
					s.evicted = s.evicted.plus(old)
				}
				s.folded = make(map[string]Total)
			}
			s.folded[id] = t
		}
	}
}

// Retain removes every version for which keep returns false, such as versions that are
// no longer configured.
func (c *Counter) Retain(keep func(samphireturn.VersionRef) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for v := range c.versions {
		if !keep(v) {
			delete(c.versions, v)
		}
	}
}

// test returns the version's test, and starts one if there is none.
func (c *Counter) test(v samphireturn.VersionRef) *sequentialTest {
	s := c.versions[v]
	if s != nil {
		return s
	}
	if c.versions == nil {
		c.versions = make(map[samphireturn.VersionRef]*sequentialTest)
	}
	s = &sequentialTest{}
	s.restart(0)
	c.versions[v] = s
	return s
}

// rates returns the parameters of the test with defaults filled in.
func (c *Counter) rates() samphireturn.Guard {
	g := c.Guard
	fill := func(v *float64, d float64) {
		if *v <= 0 || *v >= 1 {
			*v = d
		}
	}
	fill(&g.GoodRate, defaultGoodRate)
	fill(&g.BadRate, defaultBadRate)
	fill(&g.FalseAlarmRate, defaultFalseAlarmRate)
	fill(&g.MissRate, defaultMissRate)
	return g
}

func (s *sequentialTest) restart(epoch uint64) {
	*s = sequentialTest{epoch: epoch, instances: make(map[string]Total), number: 1}
}

// merge raises the counts of each instance and then evaluates the test once, so that the
// order of the instances in a message does not matter.
func (s *sequentialTest) merge(g samphireturn.Guard, instances map[string]Total) {
	var growth Total
	for id, t := range instances {
		growth = growth.plus(s.raiseCounts(id, t))
	}
	s.evaluate(g, growth)
}

// record raises one instance's counts and evaluates the test.
func (s *sequentialTest) record(g samphireturn.Guard, id string, t Total) {
	s.evaluate(g, s.raiseCounts(id, t))
}

// raiseCounts raises an instance's counts to t and returns the growth.
func (s *sequentialTest) raiseCounts(id string, t Total) Total {
	t.Failures = min(t.Failures, t.Calls)
	if isSum(id) {
		return s.raiseSum(id, t)
	}
	old, ok := s.instances[id]
	if !ok {
		old = s.folded[id]
	}
	next := old.max(t)
	if next == old {
		return Total{}
	}
	s.instances[id] = next
	delete(s.folded, id)
	return next.minus(old)
}

// plus adds the calls, the failures and, for sums, the daemons.
func (t Total) plus(o Total) Total {
	return Total{Calls: t.Calls + o.Calls, Failures: t.Failures + o.Failures, Daemons: t.Daemons + o.Daemons}
}

// minus returns the growth from o to t.
func (t Total) minus(o Total) Total {
	return Total{Calls: t.Calls - o.Calls, Failures: t.Failures - o.Failures}
}

// max returns the greater of each count.
func (t Total) max(o Total) Total {
	return Total{Calls: max(t.Calls, o.Calls), Failures: max(t.Failures, o.Failures), Daemons: max(t.Daemons, o.Daemons)}
}

// evaluate moves the likelihood ratio by the growth and compares it with the boundaries.
// A call that became a failure late can make the failures exceed the calls of one step.
func (s *sequentialTest) evaluate(g samphireturn.Guard, growth Total) {
	if s.suspected || g.BadRate <= g.GoodRate || growth == (Total{}) {
		return
	}
	successes := float64(growth.Calls) - float64(growth.Failures)
	s.logRatio += float64(growth.Failures) * math.Log(g.BadRate/g.GoodRate)
	s.logRatio += successes * math.Log((1-g.BadRate)/(1-g.GoodRate))
	falseAlarmRate := g.FalseAlarmRate / (s.number * (s.number + 1)) / float64(max(s.instanceCount(), 1))
	if s.logRatio >= -math.Log(falseAlarmRate) {
		s.suspected = true
		return
	}
	if s.logRatio <= math.Log(g.MissRate) {
		s.logRatio = 0
		s.number++
	}
}
