package follower

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// keptTime is how long after the begin of an era what the copy contradicts is kept: by
// then endpoints and operators have written again what the copy lacks, and the entries of
// endpoints that are silent have expired.
const keptTime = 6 * time.Second

type (
	// keptState is what this daemon knows from older eras and the source does not hold
	// any more. It stays in force beside the source's entries: the newest table always, a
	// state of a roll-out until it is written again, the others for keptTime.
	keptState struct {
		hosts    map[string]keptHost
		closures map[string]time.Duration
		rollouts map[string]keptRollout
		table    *samphireturn.Table
	}

	// keptHost is an endpoint that was leaving or had left.
	keptHost struct {
		// started is Host.Started of the instance, zero if not known.
		started int64
		// since is the first revision of the era. Later ones are the endpoint's own again.
		since samphireturn.Revision
		until time.Duration
	}

	// keptRollout is a roll-out as it was known. An entry up to since that orders another
	// release is older than it.
	keptRollout struct {
		samphireturn.Rollout
		since samphireturn.Revision
		until time.Duration
	}

	// eraStart is when a topic was first listed in an era, by any daemon, and the revision
	// of that list.
	eraStart struct {
		first samphireturn.Revision
		at    time.Duration
	}
)

func newKeptState() keptState {
	return keptState{
		hosts:    make(map[string]keptHost),
		closures: make(map[string]time.Duration),
		rollouts: make(map[string]keptRollout),
	}
}

// keep remembers what is known of a topic before the first list of a newer era is applied,
// and returns the number of entries that the list contradicts. The caller holds mu.
func (f *Follower) keep(t *topic, batch samphireturn.Batch, begun eraStart) int {
	if t.name == samphireturn.TopicTable {
		if newest := f.newestTable(); newest != nil {
			f.kept.table = newest
		}
	}
	until := begun.at + keptTime
	if f.Clock() >= until {
		return 0
	}
	switch t.name {
	case samphireturn.TopicHosts:
		return f.keepHosts(t, batch, begun.first, until)
	case samphireturn.TopicRollouts:
		known := f.knownRollouts(t)
		for pool, r := range known {
			k := keptRollout{Rollout: *r, since: begun.first, until: until}
			if r.Version == (samphireturn.Revision{}) {
				// It is kept from the era before.
				k.Rollout = f.kept.rollouts[pool].Rollout
			}
			f.kept.rollouts[pool] = k
		}
		return len(known)
	case samphireturn.TopicClosures:
		closed := f.closedCentres(t)
		for _, e := range batch.Entries {
			delete(closed, e.Name)
		}
		for name := range closed {
			f.kept.closures[name] = until
		}
		return len(closed)
	}
	return 0
}

// keepHosts keeps the endpoints that a list has as ready and that were known to be leaving
// or to have left.
func (f *Follower) keepHosts(t *topic, batch samphireturn.Batch, first samphireturn.Revision, until time.Duration) int {
	n := 0
	for _, e := range batch.Entries {
		if e.Host == nil || e.Host.Leaving {
			continue
		}
		old, known := t.entries[e.Name]
		_, left := t.removed[e.Name]
		left = left && !t.lost[e.Name]
		k := keptHost{since: first, until: until}
		switch {
		case known && old.Host != nil && f.isLeaving(&old):
			k.started = old.Host.Started
		case known || !left:
			continue
		}
		f.kept.hosts[e.Name] = k
		n++
	}
	return n
}

// isLeaving reports whether an endpoint is leaving by its entry or by what is kept. The
// caller holds mu.
func (f *Follower) isLeaving(e *samphireturn.Entry) bool {
	if e.Host.Leaving {
		return true
	}
	k, ok := f.kept.hosts[e.Name]
	switch {
	case !ok:
		return false
	case k.started != 0 && e.Host.Started != 0:
		return k.started == e.Host.Started
	}
	return !e.Version.Newer(k.since) && f.Clock() < k.until
}

// closedCentres returns the data centres that are closed by entries or by what is kept.
// The caller holds mu.
func (f *Follower) closedCentres(t *topic) map[string]bool {
	closed := make(map[string]bool)
	for name := range t.entries {
		closed[name] = true
	}
	for name, until := range f.kept.closures {
		if f.Clock() < until {
			closed[name] = true
		}
	}
	return closed
}

// newestTable returns the newest table of the entries and of what is kept; nil if there is
// none. The caller holds mu.
func (f *Follower) newestTable() *samphireturn.Table {
	newest := f.kept.table
	for _, e := range f.topics[samphireturn.TopicTable].entries {
		if e.Table != nil && (newest == nil || e.Table.Version > newest.Version) {
			newest = e.Table
		}
	}
	return newest
}

// knownRollouts returns the roll-outs by pool as entries and what is kept say together.
// The caller holds mu.
func (f *Follower) knownRollouts(t *topic) map[string]*samphireturn.Rollout {
	rollouts := make(map[string]*samphireturn.Rollout)
	for _, e := range t.entries {
		if e.Rollout != nil {
			rollouts[e.Rollout.Pool] = f.mergeRollout(e.Rollout)
		}
	}
	for pool, k := range f.kept.rollouts {
		if rollouts[pool] == nil && f.Clock() < k.until {
			rollouts[pool] = k.unlisted()
		}
	}
	return rollouts
}

// mergeRollout returns a roll-out with what is kept of it: the state that is further, the
// earlier start, the previous release and its proof. The caller holds mu.
func (f *Follower) mergeRollout(r *samphireturn.Rollout) *samphireturn.Rollout {
	k, ok := f.kept.rollouts[r.Pool]
	if !ok {
		return r
	}
	if k.Release != r.Release {
		if f.Clock() < k.until && !r.Version.Newer(k.since) {
			return k.unlisted()
		}
		return r
	}
	merged := *r
	if progress(k.State) > progress(r.State) {
		merged.State, merged.Unwritten = k.State, true
	}
	if r.Started.IsZero() || !k.Started.IsZero() && k.Started.Before(r.Started) {
		merged.Started = k.Started
	}
	if r.PreviousRelease == "" {
		merged.PreviousRelease = k.PreviousRelease
	}
	if r.ProvenAt == 0 {
		merged.ProvenAt = k.ProvenAt
	}
	return &merged
}

// supersedes reports whether a kept roll-out is to replace another one of its pool: with a
// later order, or with a state that is further of the same.
func (k *keptRollout) supersedes(old *keptRollout) bool {
	if k.Release != old.Release {
		return k.Version.Newer(old.Version)
	}
	return progress(k.State) > progress(old.State)
}

// unlisted returns a roll-out that the source does not hold.
func (k *keptRollout) unlisted() *samphireturn.Rollout {
	r := k.Rollout
	r.Version, r.Unwritten = samphireturn.Revision{}, true
	return &r
}

// progress returns how far a state of a roll-out is.
func progress(state string) int {
	switch state {
	case samphireturn.RolloutDone, samphireturn.RolloutRolledBack:
		return 2
	case samphireturn.RolloutRunning:
		return 1
	}
	return 0
}

// dropKept drops what need not be kept any more.
func (f *Follower) dropKept() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	hosts, closures, rollouts := len(f.kept.hosts), len(f.kept.closures), len(f.kept.rollouts)
	maps.DeleteFunc(f.kept.hosts, func(name string, k keptHost) bool {
		e, listed := f.topics[samphireturn.TopicHosts].entries[name]
		same := listed && e.Host != nil && !e.Host.Leaving && k.started != 0 && e.Host.Started == k.started
		return now >= k.until && !same
	})
	maps.DeleteFunc(f.kept.closures, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(f.kept.rollouts, func(_ string, k keptRollout) bool {
		return now >= k.until && !f.unwritten(&k.Rollout)
	})
	for name, changed := range map[samphireturn.Topic]bool{
		samphireturn.TopicHosts:    len(f.kept.hosts) != hosts,
		samphireturn.TopicClosures: len(f.kept.closures) != closures,
		samphireturn.TopicRollouts: len(f.kept.rollouts) != rollouts,
	} {
		if changed {
			f.publish(&f.topics[name])
		}
	}
}

// unwritten reports whether the source's entry has the same order as a roll-out and a
// state that is less far. The caller holds mu.
func (f *Follower) unwritten(r *samphireturn.Rollout) bool {
	for _, e := range f.topics[samphireturn.TopicRollouts].entries {
		if e.Rollout != nil && e.Rollout.Pool == r.Pool && e.Rollout.Release == r.Release {
			return progress(r.State) > progress(e.Rollout.State)
		}
	}
	return false
}

// hash returns a hash of what is kept, apart from the table, that does not depend on the
// order; zero if nothing is.
func (k *keptState) hash() uint64 {
	sum := uint64(0)
	for name, h := range k.hosts {
		sum += xxhash.Sum64String("host\x00" + name + "\x00" + strconv.FormatInt(h.started, 10))
	}
	for name := range k.closures {
		sum += xxhash.Sum64String("closure\x00" + name)
	}
	for pool, r := range k.rollouts {
		sum += xxhash.Sum64String("rollout\x00" + pool + "\x00" + r.Release + "\x00" + r.State)
	}
	return sum
}
