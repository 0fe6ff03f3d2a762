package follower

import (
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

// topic is what is known of a topic. The follower's mu guards it.
type topic struct {
	name    samphireturn.Topic
	entries map[string]samphireturn.Entry
	// gone holds when entries were found missing after an outage.
	gone map[string]time.Duration
	// trouble is when the last outage of the source ended.
	trouble time.Duration
	// failing is true while this daemon's own calls fail.
	failing bool
	// version is the source's version up to which changes are known; changed is
	// that of the last change.
	version, changed uint64
	listed           bool
	// proof is the date of the newest proof.
	proof  time.Duration
	proved bool
}

// outage notes that an answer, sent for at a time, ends a long silence of the
// source. It must come before what the answer says is applied. The caller holds
// mu.
func (f *Follower) outage(t *topic, sent time.Duration) {
	if t.proved && sent-t.proof > OutageTime+waits[t.name] {
		t.trouble = f.Clock()
		f.Log.Info().Str("event", logger.EventOutageOver).Stringer("topic", t.name).Dur("away", sent-t.proof).Send()
	}
}

// prove dates the newest proof, if it is newer. The caller holds mu.
func (f *Follower) prove(t *topic, sent time.Duration) {
	if t.proved && sent <= t.proof {
		return
	}
	t.proof, t.proved = sent, true
	if t.urgent() {
		f.renew()
	}
}

// urgent reports whether the topic's proofs must be young.
func (t *topic) urgent() bool {
	return t.name == samphireturn.TopicTable || t.name == samphireturn.TopicHosts
}

// renew wakes the polls that wait. The caller holds mu.
func (f *Follower) renew() {
	close(f.renewed)
	f.renewed = make(chan struct{})
}

// replace applies a whole list. The caller holds mu.
func (f *Follower) replace(t *topic, batch samphireturn.Batch) {
	t.listed = true
	if batch.Version < t.version {
		return
	}
	seen := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		seen[e.Name] = true
		f.put(t, e)
	}
	for name := range t.entries {
		if !seen[name] {
			f.drop(t, name)
		}
	}
	t.version, t.changed = batch.Version, batch.Version
	f.publish(t)
	f.renew()
}

// update applies changes, unless newer ones are known already. The caller holds
// mu.
func (f *Follower) update(t *topic, batch samphireturn.Batch) {
	if batch.Version < t.version {
		return
	}
	t.version = batch.Version
	if len(batch.Entries) == 0 {
		return
	}
	for _, e := range batch.Entries {
		if e.Deleted {
			f.drop(t, e.Name)
			continue
		}
		f.put(t, e)
	}
	t.changed = batch.Version
	f.publish(t)
	f.renew()
}

// put takes an entry in, unless it can't be understood or is older than what is
// known. An endpoint whose entry can't be understood any more is not used.
func (f *Follower) put(t *topic, e samphireturn.Entry) {
	if e.Err != nil {
		faults.Add(t.name.String(), 1)
		f.Log.Warn().Str("event", logger.EventEntryIgnored).Stringer("topic", t.name).Str("entry", e.Name).Err(e.Err).Send()
		if t.name == samphireturn.TopicHosts {
			delete(t.entries, e.Name)
		}
		return
	}
	old, ok := t.entries[e.Name]
	if ok && e.Version != 0 && e.Version < old.Version {
		return
	}
	if ok && e.Table != nil && old.Table != nil && e.Table.Version < old.Table.Version {
		f.Log.Warn().Str("event", logger.EventTableIgnored).Int64("version", e.Table.Version).Int64("in_force", old.Table.Version).Send()
		return
	}
	delete(t.gone, e.Name)
	t.entries[e.Name] = e
}

// drop takes an entry out. Endpoints that went missing over an outage of the
// source are kept for a while, since entries lapse meanwhile. The table in force
// stays until a newer one comes.
func (f *Follower) drop(t *topic, name string) {
	now := f.Clock()
	if t.name == samphireturn.TopicHosts && now-t.trouble < LapseTime {
		if _, ok := t.gone[name]; !ok {
			t.gone[name] = now
		}
		return
	}
	if t.name != samphireturn.TopicTable {
		delete(t.entries, name)
	}
}

// expire drops the entries that did not come back in time.
func (f *Follower) expire(t *topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(t.gone) == 0 {
		return
	}
	now := f.Clock()
	dropped := false
	for name, at := range t.gone {
		if now-at >= LapseTime {
			delete(t.gone, name)
			delete(t.entries, name)
			dropped = true
		}
	}
	if dropped {
		f.publish(t)
	}
}
