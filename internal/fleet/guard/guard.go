// Package guard watches versions for faults by a sequential test over the
// failures that all daemons count.
package guard

import (
	"maps"
	"math"
	"sync"

	"samphireturn"
)

const (
	// defaultGood and defaultBad are the failure rates tested if the
	// configuration sets none.
	defaultGood = 0.01
	defaultBad  = 0.1
	// defaultAlarm and defaultMiss are the accepted error rates of the test.
	defaultAlarm = 0.01
	defaultMiss  = 0.01
	// maxFolded bounds the instances that are gone but remembered.
	maxFolded = 1024
)

// Verdicts on a version.
const (
	// SuspicionNone says that the test has not found the version bad.
	SuspicionNone Suspicion = iota
	// SuspicionBad says that the version fails as often as a bad one.
	SuspicionBad
)

// Suspicion is the verdict of the test.
type Suspicion int

// Total counts the calls that one daemon instance ran on one version in one
// epoch, or the daemons of a data centre together. All counts only grow. Failures
// are errors, timeouts and answers rated bad.
type Total struct {
	Calls    uint64 `cbor:"c"`
	Failures uint64 `cbor:"f,omitempty"`
	// Daemons is the number of instances in a sum; zero stands for one instance.
	Daemons uint64 `cbor:"d,omitempty"`
}

// Totals are the counts of one version in one epoch by daemon instance of this data
// centre and by sums of others (see sum.go). An epoch begins when the version is
// held or released.
type Totals struct {
	Version   samphireturn.VersionRef `cbor:"v"`
	Epoch     uint64                  `cbor:"e,omitempty"`
	Instances map[string]Total        `cbor:"i"`
	// Gone is the sum of the instances that were folded. It is not told by itself.
	Gone Total `cbor:"-"`
}

// Counter runs the sequential test. Set the exported fields before use. It is
// safe for concurrent use.
//
// Each test of a version is Wald's: it ends in a verdict at the upper boundary
// and begins anew at the lower one. The n-th test of an epoch spends
// Alarm/(n(n+1)), so that all tests of an epoch together raise a false alarm
// with a probability of at most Alarm. The boundaries are 1/alarm and Miss, a
// little wider than Wald's, so that the bound is strict. Since each daemon sees
// its own calls before those of others, it runs a test of its own, and Alarm is
// divided among the instances that count.
type Counter struct {
	// Instance names this daemon's process; it changes at each start.
	Instance string
	// Guard holds the rates; zero fields take defaults.
	Guard samphireturn.Guard

	mu       sync.Mutex
	versions map[samphireturn.VersionRef]*state
}

// state is the test of one version in one epoch.
type state struct {
	epoch     uint64
	instances map[string]Total
	// folded holds the counts of instances that are gone, and gone those that it had
	// no more room for.
	folded map[string]Total
	gone   Total
	// ratio is the logarithm of the likelihood ratio of bad to good.
	ratio float64
	// test numbers the running test of the epoch, from 1.
	test float64
	bad  bool
}

// RecordCall counts one call of this daemon.
func (c *Counter) RecordCall(v samphireturn.VersionRef, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(v)
	t := s.instances[c.Instance]
	t.Calls++
	if failed {
		t.Failures++
	}
	s.take(c.rates(), c.Instance, t)
}

// RecordLateFailure turns a call that RecordCall counted as a success into a failure,
// such as when its rating arrives late. It does nothing if the epoch has changed
// since, or if there is no such call.
func (c *Counter) RecordLateFailure(v samphireturn.VersionRef, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(v)
	t := s.instances[c.Instance]
	if s.epoch != epoch {
		return
	}
	t.Failures++
	s.take(c.rates(), c.Instance, t)
}

// Merge takes in counts of other daemons. The greater count of each instance
// stands, so that repeated and reordered messages do no harm. Counts of an
// older epoch are ignored and a newer epoch replaces the running one.
func (c *Counter) Merge(totals ...Totals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range totals {
		s := c.state(t.Version)
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
		t := Totals{Version: v, Epoch: s.epoch, Instances: maps.Clone(s.instances), Gone: s.gone}
		for _, n := range s.folded {
			t.Gone = t.Gone.plus(n)
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
	if s := c.versions[v]; s != nil && s.bad {
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

// Restart begins the given epoch of a version with no counts. It does nothing
// if that epoch or a newer one runs.
func (c *Counter) Restart(v samphireturn.VersionRef, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.state(v); epoch > s.epoch {
		s.restart(epoch)
	}
}

// SetGuard replaces the rates.
func (c *Counter) SetGuard(g samphireturn.Guard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Guard = g
}

// Fold sets the counts of every instance that keep does not accept aside. They
// stay in the test and are no longer in Totals. If the instance turns up again
// its counts go on from where they stood.
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
					s.gone = s.gone.plus(old)
				}
				s.folded = make(map[string]Total)
			}
			s.folded[id] = t
		}
	}
}

// Retain forgets every version that keep does not accept, such as those no
// longer configured.
func (c *Counter) Retain(keep func(samphireturn.VersionRef) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for v := range c.versions {
		if !keep(v) {
			delete(c.versions, v)
		}
	}
}

// state returns the version's state, made if there is none.
func (c *Counter) state(v samphireturn.VersionRef) *state {
	s := c.versions[v]
	if s != nil {
		return s
	}
	if c.versions == nil {
		c.versions = make(map[samphireturn.VersionRef]*state)
	}
	s = &state{}
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
	fill(&g.GoodRate, defaultGood)
	fill(&g.BadRate, defaultBad)
	fill(&g.FalseAlarmRate, defaultAlarm)
	fill(&g.MissRate, defaultMiss)
	return g
}

func (s *state) restart(epoch uint64) {
	*s = state{epoch: epoch, instances: make(map[string]Total), test: 1}
}

// merge takes the greater counts of each instance and then judges once, so
// that the order of instances in a message does not matter.
func (s *state) merge(g samphireturn.Guard, instances map[string]Total) {
	var grown Total
	for id, t := range instances {
		grown = grown.plus(s.raise(id, t))
	}
	s.judge(g, grown)
}

// take sets one instance's counts and judges.
func (s *state) take(g samphireturn.Guard, id string, t Total) {
	s.judge(g, s.raise(id, t))
}

// raise lifts an instance's counts to t and returns the growth.
func (s *state) raise(id string, t Total) Total {
	t.Failures = min(t.Failures, t.Calls)
	if isSum(id) {
		return s.raiseSum(id, t)
	}
	old, ok := s.instances[id]
	if !ok {
		old = s.folded[id]
	}
	next := old.most(t)
	if next == old {
		return Total{}
	}
	s.instances[id] = next
	delete(s.folded, id)
	return next.minus(old)
}

// plus adds the calls and failures, and the daemons of sums.
func (t Total) plus(o Total) Total {
	return Total{Calls: t.Calls + o.Calls, Failures: t.Failures + o.Failures, Daemons: t.Daemons + o.Daemons}
}

// minus returns the growth from o to t.
func (t Total) minus(o Total) Total {
	return Total{Calls: t.Calls - o.Calls, Failures: t.Failures - o.Failures}
}

// most returns the greater of each count.
func (t Total) most(o Total) Total {
	return Total{Calls: max(t.Calls, o.Calls), Failures: max(t.Failures, o.Failures), Daemons: max(t.Daemons, o.Daemons)}
}

// judge moves the likelihood ratio by the growth and compares it with the
// boundaries. A call that turned into a failure late may make failures exceed
// calls in one step.
func (s *state) judge(g samphireturn.Guard, grown Total) {
	if s.bad || g.BadRate <= g.GoodRate || grown == (Total{}) {
		return
	}
	successes := float64(grown.Calls) - float64(grown.Failures)
	s.ratio += float64(grown.Failures) * math.Log(g.BadRate/g.GoodRate)
	s.ratio += successes * math.Log((1-g.BadRate)/(1-g.GoodRate))
	alarm := g.FalseAlarmRate / (s.test * (s.test + 1)) / float64(max(s.daemons(), 1))
	if s.ratio >= -math.Log(alarm) {
		s.bad = true
		return
	}
	if s.ratio <= math.Log(g.MissRate) {
		s.ratio = 0
		s.test++
	}
}
