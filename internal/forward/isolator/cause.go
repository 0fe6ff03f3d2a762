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
		// counted is the first time from which one of the observations counts.
		counted time.Duration
	}

	// suspicion is what speaks against a key.
	suspicion struct {
		key Key
		// succeeded is true if an answer with the key is known to have been complete.
		succeeded bool
		// incidents are the indexes of those that the key may have caused, by time.
		incidents []int
		// position is the last one that the key had in a crash.
		position int
	}
)

// update drops expired crashes and finds out which keys are isolated. The caller holds mu.
func (o *Isolator) update(now time.Duration) {
	o.decide()
	maps.DeleteFunc(o.crashes, func(_ uint64, c *crash) bool {
		return now-c.at >= CrashTTL || c.certainty != confirmed && now-c.at >= undecidedTTL
	})
	clear(o.suspects)
	for _, c := range o.crashes {
		if c.certainty == doubted {
			continue
		}
		for _, k := range c.Keys {
			o.suspects[k] = true
		}
	}
	maps.DeleteFunc(o.settled, func(k Key, _ bool) bool { return !o.suspects[k] })
	isolated := o.causes(now)
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

// decide confirms the crashes of endpoints of which a crash at that time is known: doubted ones if it came
// soon after, as a process that the daemon found alive may have ended later. The caller holds mu.
func (o *Isolator) decide() {
	known := make(map[string][]time.Duration)
	for _, c := range o.crashes {
		if c.certainty == confirmed {
			known[c.Endpoint] = append(known[c.Endpoint], c.at)
		}
	}
	for _, c := range o.crashes {
		span := crashSpan
		if c.certainty == doubted {
			span = candidateTime
		}
		if c.certainty != confirmed && slices.ContainsFunc(known[c.Endpoint], func(at time.Duration) bool { return (c.at - at).Abs() < span }) {
			o.confirm(c)
		}
	}
}

// mayCause reports whether a crash may be due to a key: since the crash, or shortly before, no answer
// with the key is known that went on for longer than the one that the crash ended. The caller
// holds mu.
func (o *Isolator) mayCause(c *crash, k Key) bool {
	s := o.success(k, c.clears())
	return !s.known || c.at >= s.at+SuccessMargin
}

// causes returns the keys that are isolated, with the end of the isolation. The key that
// explains most crashes is one of them; the others have to explain the rest. A key that never
// succeeded goes first: with one that crashes endpoints, no answer succeeds. Of keys that explain
// as many, a part goes before the request, since other requests have it too, and the part that comes
// later in the prompts is more specific.
func (o *Isolator) causes(now time.Duration) map[Key]time.Duration {
	causes := make(map[Key]time.Duration)
	incidents := o.incidents()
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
	if o.hasPeers() {
		exchange = exchangeTime
	}
	at := o.countedAt(s, MinCrashes, incidents)
	if !s.succeeded && !s.key.isRequest() {
		return at + exchange
	}
	if len(s.incidents) < sureCrashes {
		return at + settleTime
	}
	return min(at+settleTime, o.countedAt(s, sureCrashes, incidents)+exchange)
}

// countedAt returns the time from which the first n incidents of a suspicion count. A peer that
// isolates the key had the observations of the others.
func (o *Isolator) countedAt(s *suspicion, n int, incidents []incident) time.Duration {
	if o.settled[s.key] {
		return incidents[s.incidents[n-1]].at
	}
	var at time.Duration
	for _, i := range s.incidents[:n] {
		at = max(at, incidents[i].counted)
	}
	return at
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

// incidents returns the confirmed crashes, each with all observations of it, by time.
func (o *Isolator) incidents() []incident {
	all := slices.SortedFunc(maps.Values(o.crashes), func(a, b *crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID)) })
	all = slices.DeleteFunc(all, func(c *crash) bool { return c.certainty != confirmed })
	var incidents []incident
	latest := make(map[string]int)
	for _, c := range all {
		if i, ok := latest[c.Endpoint]; ok && c.at-incidents[i].at < crashSpan {
			incidents[i].all = append(incidents[i].all, c)
			incidents[i].counted = min(incidents[i].counted, c.counted)
			continue
		}
		latest[c.Endpoint] = len(incidents)
		incidents = append(incidents, incident{c.at, []*crash{c}, c.counted})
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
		for k, c := range in.likeliest() {
			if o.mayCause(c, k) {
				o.suspect(byKey, k, i, slices.Index(c.Keys, k))
			}
		}
	}
	group, size := together(incidents)
	for k, s := range byKey {
		if o.isolated[k] == 0 {
			s.dropMinorities(group, size)
		}
	}
	maps.DeleteFunc(byKey, func(_ Key, s *suspicion) bool { return len(s.incidents) < MinCrashes })
	return slices.Collect(maps.Values(byKey))
}

// likeliest returns for each key the observation of the answer with it that is likeliest to have
// crashed the endpoint: the last but one that began, or the only one. An endpoint that crashes by
// a request does so when it begins to answer, and one more may have come meanwhile.
func (in *incident) likeliest() map[Key]*crash {
	last, likeliest := make(map[Key]*crash), make(map[Key]*crash)
	for _, c := range in.all {
		for _, k := range c.Keys {
			switch {
			case last[k] == nil:
				last[k], likeliest[k] = c, c
			case c.Ran < last[k].Ran:
				last[k], likeliest[k] = c, last[k]
			case likeliest[k] == last[k] || c.Ran < likeliest[k].Ran:
				likeliest[k] = c
			}
		}
	}
	return likeliest
}

// together groups the incidents by their time, and returns the group of each and the number of
// incidents in each group.
func together(incidents []incident) (group []int, size map[int]int) {
	group, size = make([]int, len(incidents)), make(map[int]int)
	first := 0
	for i, in := range incidents {
		if in.at-incidents[first].at >= togetherSpan {
			first = i
		}
		group[i] = first
		size[first]++
	}
	return group, size
}

// dropMinorities drops the incidents of a group of minTogether or more of which the key may have
// caused no more than half: endpoints that crash together do so by another cause.
func (s *suspicion) dropMinorities(group []int, size map[int]int) {
	own := make(map[int]int)
	for _, i := range s.incidents {
		own[group[i]]++
	}
	s.incidents = slices.DeleteFunc(s.incidents, func(i int) bool { n := size[group[i]]; return n >= minTogether && 2*own[group[i]] <= n })
}

// logSpared logs the parts of candidates of a crash that are not isolated although MinCrashes or
// more endpoints crashed with them in flight. The caller holds mu.
func (o *Isolator) logSpared(candidates []candidate, now time.Duration) {
	all, counted := make(map[Key]int), make(map[Key]int)
	for _, in := range o.incidents() {
		for k, c := range in.likeliest() {
			all[k]++
			if o.mayCause(c, k) {
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
			if s := o.success(k, complete); s.known {
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
		s.succeeded = o.success(k, complete).known
		byKey[k] = s
	}
	if n := len(s.incidents); n == 0 || s.incidents[n-1] != incident {
		s.incidents = append(s.incidents, incident)
	}
	s.position = max(s.position, position)
}
