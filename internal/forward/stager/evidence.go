package stager

// maxReleases bounds the releases whose evidence is kept: those of all pools in roll-out
// and a few orders that this daemon has not read yet.
const maxReleases = 256

type (
	// Count counts answers. Failed and Slow are included in Answers.
	Count struct {
		_                     struct{} `cbor:",toarray"`
		Answers, Failed, Slow int
	}

	// InstanceCount is what one instance of a daemon has counted since it started. It
	// only grows.
	InstanceCount struct {
		_        struct{} `cbor:",toarray"`
		Instance uint64
		Count    Count
	}

	// Evidence holds the answers of a new release on one route, by the instance that
	// received them. The route is that of a Tally.
	Evidence struct {
		Pool    string          `cbor:"1,keyasint"`
		Release string          `cbor:"2,keyasint"`
		Route   string          `cbor:"3,keyasint"`
		Counts  []InstanceCount `cbor:"4,keyasint"`
	}

	// Verdict names a release that was found faulty.
	Verdict struct {
		Pool    string `cbor:"1,keyasint"`
		Release string `cbor:"2,keyasint"`
	}

	// releaseKey names a release of a pool.
	releaseKey struct{ pool, release string }

	// records holds the evidence on one release by route and instance. What an instance
	// counted is kept after its end, and a report that arrives twice, late or after
	// others adds nothing twice.
	records map[string]map[uint64]record

	// record is the greatest count that an instance reported.
	record struct {
		Count
		// change is the number of the change that set the count, by Stager.changes.
		change uint64
		// from is the instance that told the count.
		from uint64
	}
)

// add adds another count to c.
func (c *Count) add(o Count) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Slow += o.Slow
}

// beyond returns what c counts beyond an earlier count of the same instance; it has no
// answers if c is not the later one.
func (c Count) beyond(earlier Count) Count {
	if c.Answers <= earlier.Answers || c.Failed < earlier.Failed || c.Slow < earlier.Slow {
		return Count{}
	}
	return Count{Answers: c.Answers - earlier.Answers, Failed: c.Failed - earlier.Failed, Slow: c.Slow - earlier.Slow}
}

// byRoute returns the sums over all instances by the keys of testKeys.
func (r records) byRoute() map[string]Count {
	sums := make(map[string]Count)
	for route, instances := range r {
		var sum Count
		for _, known := range instances {
			sum.add(known.Count)
		}
		for _, key := range testKeys(route) {
			all := sums[key]
			all.add(sum)
			sums[key] = all
		}
	}
	return sums
}

// Evidence returns the evidence on the releases in roll-out that changed after the given
// change, apart from what the given instance told, and the number of the last change.
func (s *Stager) Evidence(since, except uint64) ([]Evidence, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Evidence
	for key, routes := range s.evidence {
		for route, instances := range routes {
			e := Evidence{Pool: key.pool, Release: key.release, Route: route}
			for instance, known := range instances {
				if known.change > since && known.from != except {
					e.Counts = append(e.Counts, InstanceCount{Instance: instance, Count: known.Count})
				}
			}
			if len(e.Counts) > 0 {
				all = append(all, e)
			}
		}
	}
	return all, s.changes
}

// AddEvidence merges the evidence that an instance told and reevaluates the roll-outs.
// Evidence on a release whose order this daemon has not read yet is kept until it has.
func (s *Stager) AddEvidence(from uint64, evidence []Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range evidence {
		ro := s.rollouts[e.Pool]
		if ro != nil && ro.release == e.Release && ended(ro.state) {
			continue
		}
		for _, c := range e.Counts {
			if c.Instance != s.Instance {
				s.merge(releaseKey{e.Pool, e.Release}, e.Route, c, from)
			}
		}
	}
	s.evaluate()
}

// merge records an instance's count and lets the roll-out's detector observe what is
// new. The caller holds mu.
func (s *Stager) merge(key releaseKey, route string, c InstanceCount, from uint64) {
	routes := s.evidence[key]
	if routes == nil {
		if len(s.evidence) >= maxReleases {
			return
		}
		routes = make(records)
		s.evidence[key] = routes
	}
	if routes[route] == nil {
		routes[route] = make(map[uint64]record)
	}
	added := c.Count.beyond(routes[route][c.Instance].Count)
	if added.Answers == 0 {
		return
	}
	s.changes++
	routes[route][c.Instance] = record{Count: c.Count, change: s.changes, from: from}
	if ro := s.rollouts[key.pool]; ro != nil && ro.release == key.release {
		ro.detector.observe(route, added)
	}
}

// countCanary adds an answer of the new release that this daemon received. The caller
// holds mu.
func (s *Stager) countCanary(key releaseKey, route string, answer Count) {
	sum := s.evidence[key][route][s.Instance].Count
	sum.add(answer)
	s.merge(key, route, InstanceCount{Instance: s.Instance, Count: sum}, s.Instance)
}

// observeKnown lets a new roll-out's detector observe the evidence that came before its
// order, and drops what is kept on other releases of the pool. The caller holds mu.
func (s *Stager) observeKnown(pool string, ro *rollout) {
	for key := range s.evidence {
		if key.pool == pool && key.release != ro.release {
			delete(s.evidence, key)
		}
	}
	for route, instances := range s.evidence[releaseKey{pool, ro.release}] {
		for _, known := range instances {
			ro.detector.observe(route, known.Count)
		}
	}
}
