package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
)

type (
	// incident is one crash of one endpoint with all observations of it.
	incident struct {
		at  time.Duration
		all []*crash
	}

	// suspicion is what speaks against a key.
	suspicion struct {
		key Key
		// succeeded is true if an answer with the key is known to have succeeded.
		succeeded bool
		// incidents are the indexes of those that the key may have caused, by time.
		incidents []int
		// position is the last one that the key had in a crash.
		position int
	}
)

// update drops expired crashes and finds out which keys are isolated. The caller holds mu.
func (o *Isolator) update(now time.Duration) {
	maps.DeleteFunc(o.crashes, func(_ uint64, c *crash) bool { return now-c.at >= CrashTTL })
	incidents := o.incidents()
	o.setSuspects(incidents)
	isolated := o.causes(incidents, now)
	for k := range o.isolated {
		if _, ok := isolated[k]; !ok {
			meter.CountIsolation(meter.IsolationEnded)
			o.log.Info().Str("event", logger.EventIsolationOver).Str("key", string(k)).Send()
		}
	}
	for k, until := range isolated {
		if _, ok := o.isolated[k]; !ok {
			meter.CountIsolation(meter.IsolationBegun)
			o.log.Warn().Str("event", logger.EventIsolated).Str("key", string(k)).Dur("left", until-now).Send()
		}
	}
	o.isolated = isolated
}

// setSuspects records the keys of all crashes. The request that crashed an endpoint is likelier to
// be the one that it answered last. The caller holds mu.
func (o *Isolator) setSuspects(incidents []incident) {
	clear(o.suspects)
	for _, in := range incidents {
		shortest := make(map[Key]time.Duration)
		for _, c := range in.all {
			ran := time.Duration(c.Ran) * time.Microsecond
			for _, k := range c.Keys {
				if least, ok := shortest[k]; !ok || ran < least {
					shortest[k] = ran
				}
			}
		}
		for k, ran := range shortest {
			o.suspects[k] = max(o.suspects[k], survivedTime+survivedFactor*ran)
		}
	}
}

// mayCause reports whether a crash may be due to a key: no success is known since, or shortly
// before. The caller holds mu.
func (o *Isolator) mayCause(c *crash, k Key) bool {
	s, ok := o.successes[k]
	return !ok || c.at >= s.at+SuccessMargin
}

// causes returns the keys that are isolated, with the end of the isolation. The key that
// explains most crashes is one of them; the others have to explain the rest. A key that never
// succeeded goes first: with one that crashes endpoints, no answer succeeds. Of keys that explain
// as many, a part goes before the request, since other requests have it too, and the part that comes
// later in the prompts is more specific.
func (o *Isolator) causes(incidents []incident, now time.Duration) map[Key]time.Duration {
	causes := make(map[Key]time.Duration)
	explained := make([]bool, len(incidents))
	for {
		suspicions := o.suspicions(incidents, explained)
		if len(suspicions) == 0 {
			return causes
		}
		worst := slices.MaxFunc(suspicions, (*suspicion).compare)
		n := len(worst.incidents)
		if now >= o.settledAt(worst, incidents) {
			causes[worst.key] = incidents[worst.incidents[n-MinCrashes]].at + CrashTTL
		}
		for _, i := range worst.incidents {
			explained[i] = true
		}
	}
}

// settledAt returns the time at which the key of a suspicion is isolated.
func (o *Isolator) settledAt(s *suspicion, incidents []incident) time.Duration {
	exchange := time.Duration(0)
	if o.HasPeers != nil && o.HasPeers() {
		exchange = exchangeTime
	}
	at := incidents[s.incidents[MinCrashes-1]].at
	if !s.succeeded && !s.key.isRequest() {
		return at + exchange
	}
	if len(s.incidents) < sureCrashes {
		return at + settleTime
	}
	return min(at+settleTime, incidents[s.incidents[sureCrashes-1]].at+exchange)
}

// compare returns a positive number if s is likelier to be a cause than another one, and a
// negative one if it is less likely.
func (s *suspicion) compare(other *suspicion) int {
	if s.succeeded != other.succeeded {
		if s.succeeded {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(len(s.incidents), len(other.incidents)),
		cmp.Compare(s.position, other.position),
		cmp.Compare(s.key, other.key),
	)
}

// incidents returns the crashes, each with all observations of it, by time.
func (o *Isolator) incidents() []incident {
	all := slices.SortedFunc(maps.Values(o.crashes), func(a, b *crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID)) })
	var incidents []incident
	latest := make(map[string]int)
	for _, c := range all {
		if i, ok := latest[c.Endpoint]; ok && c.at-incidents[i].at < crashSpan {
			incidents[i].all = append(incidents[i].all, c)
			continue
		}
		latest[c.Endpoint] = len(incidents)
		incidents = append(incidents, incident{c.at, []*crash{c}})
	}
	return incidents
}

// suspicions returns what speaks against each key that may have caused MinCrashes or more of
// the incidents that are not explained.
func (o *Isolator) suspicions(incidents []incident, explained []bool) []*suspicion {
	byKey := make(map[Key]*suspicion)
	for i, in := range incidents {
		if explained[i] {
			continue
		}
		for _, c := range in.all {
			for position, k := range c.Keys {
				if o.mayCause(c, k) {
					o.suspect(byKey, k, i, position)
				}
			}
		}
	}
	maps.DeleteFunc(byKey, func(_ Key, s *suspicion) bool { return len(s.incidents) < MinCrashes })
	return slices.Collect(maps.Values(byKey))
}

// logSpared logs the parts of candidates of a crash that are not isolated although MinCrashes or
// more endpoints crashed with them in flight. The caller holds mu.
func (o *Isolator) logSpared(candidates []candidate, now time.Duration) {
	all, counted := make(map[Key]int), make(map[Key]int)
	for _, in := range o.incidents() {
		seen, mayCause := make(map[Key]bool), make(map[Key]bool)
		for _, c := range in.all {
			for _, k := range c.Keys {
				seen[k], mayCause[k] = true, mayCause[k] || o.mayCause(c, k)
			}
		}
		for k := range seen {
			all[k]++
			if mayCause[k] {
				counted[k]++
			}
		}
	}
	logged := make(map[Key]bool)
	for _, c := range candidates {
		for _, k := range c.keys {
			if k.isRequest() || all[k] < MinCrashes || o.isolated[k] > 0 || logged[k] {
				continue
			}
			logged[k] = true
			succeeded := time.Duration(-1)
			if s, ok := o.successes[k]; ok {
				succeeded = now - s.at
			}
			o.log.Info().Str("event", logger.EventSpared).Str("key", string(k)).Int("crashes", all[k]).Int("counted", counted[k]).Dur("succeeded", succeeded).Send()
		}
	}
}

// suspect adds to the suspicions that a key had a position in a crash of an incident.
func (o *Isolator) suspect(byKey map[Key]*suspicion, k Key, incident, position int) {
	s := byKey[k]
	if s == nil {
		s = &suspicion{key: k}
		_, s.succeeded = o.successes[k]
		byKey[k] = s
	}
	if n := len(s.incidents); n == 0 || s.incidents[n-1] != incident {
		s.incidents = append(s.incidents, incident)
	}
	s.position = max(s.position, position)
}
