package isolator

import (
	"slices"
	"time"

	"samphireturn/internal/core/meter"
)

// Since returns the observations that are newer than a change, and the number of the last
// change.
func (o *Isolator) Since(change uint64) (Observations, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var told Observations
	if change == o.changes {
		return told, change
	}
	now := o.clock()
	for _, c := range o.crashes {
		if c.change > change {
			c.Age = (now - c.at).Microseconds()
			if c.certainty == undecided {
				told.Undecided = append(told.Undecided, c.Crash)
			} else {
				told.Crashes = append(told.Crashes, c.Crash)
			}
		}
	}
	for k := range o.isolated {
		told.Isolated = append(told.Isolated, k)
	}
	for k := range o.suspects {
		told.Successes = append(told.Successes, o.successes[k].since(k, change, now)...)
	}
	return told, o.changes
}

// Add adds the observations that a peer told.
func (o *Isolator) Add(told Observations) {
	if len(told.Crashes) == 0 && len(told.Successes) == 0 && len(told.Undecided) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	for _, c := range told.Crashes {
		o.addTold(c, now, confirmed)
	}
	for _, c := range told.Undecided {
		o.addTold(c, now, undecided)
	}
	for _, k := range told.Isolated {
		if o.suspects[k] {
			o.settled[k] = true
		}
	}
	for _, s := range told.Successes {
		if s.Age < 0 || s.Survived < 0 || len(s.Key) > maxKeyLength {
			continue
		}
		at, l := now-time.Duration(s.Age)*time.Microsecond, complete
		if s.Survived > 0 {
			l = reached(time.Duration(s.Survived) * time.Microsecond)
		}
		if known := o.success(s.Key, l); l >= 0 && (!known.known || at-known.at >= successStep) {
			o.addSuccess(s.Key, l, at)
		}
	}
	o.update(now)
}

// addTold adds a crash that a peer told, or confirms it. The caller holds mu.
func (o *Isolator) addTold(c Crash, now time.Duration, how certainty) {
	if known := o.crashes[c.ID]; known != nil {
		if how == confirmed {
			o.confirm(known)
		}
		return
	}
	age := time.Duration(c.Age) * time.Microsecond
	if !valid(c) || how == undecided && age >= undecidedTTL {
		return
	}
	added := &crash{Crash: c, at: now - age, counted: now - age, certainty: how}
	if age > exchangeTime && o.hasPeers() {
		added.counted = now
	}
	o.addCrash(added)
	if how == confirmed {
		meter.CountCrash(true)
	}
}

// hasPeers reports whether other daemons may have observations that have not arrived yet.
func (o *Isolator) hasPeers() bool { return o.HasPeers != nil && o.HasPeers() }

// valid reports whether a crash that a peer told is within the bounds.
func valid(c Crash) bool {
	if c.Age < 0 || c.Age >= CrashTTL.Microseconds() || c.Ran < 0 || c.Ran > maxRan.Microseconds() || len(c.Keys) > maxParts+1 {
		return false
	}
	return !slices.ContainsFunc(c.Keys, func(k Key) bool { return len(k) > maxKeyLength })
}

// since returns the successes of a key that peers are told and that are newer than a change, but
// for those that one of a higher level implies.
func (s *successes) since(k Key, change uint64, now time.Duration) (told []Success) {
	if s == nil {
		return nil
	}
	newest := time.Duration(-1)
	for l := complete; l >= 0; l-- {
		if s[l].change <= change || newest >= 0 && s[l].toldAt <= newest {
			continue
		}
		newest = s[l].toldAt
		t := Success{Key: k, Age: (now - s[l].toldAt).Microseconds()}
		if l < complete {
			t.Survived = levelTimes[l].Microseconds()
		}
		told = append(told, t)
	}
	return told
}
