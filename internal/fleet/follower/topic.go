package follower

import (
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

// topic holds the entries, versions and confirmations of a topic. The follower's mu
// guards it.
type topic struct {
	name    samphireturn.Topic
	entries map[string]samphireturn.Entry
	// missingSince holds, by name, when entries were first missing after an outage or in a
	// new era.
	missingSince map[string]time.Duration
	// outageEnd is when the last outage of the source ended, and gapStart the last
	// confirmation before it. unbrokenSince is the first confirmation of those that have
	// come without an outage between them until now.
	outageEnd, gapStart, unbrokenSince time.Duration
	// resumed is true if unbrokenSince follows an outage and not the start, and shared if
	// another daemon had an outage at the same time as the last one of this daemon. copied
	// is true if the source came back from an older copy in the last outage.
	resumed, shared, copied bool
	// failing is true while this daemon's own calls to the source fail.
	failing bool
	// version is the source's version up to which changes are known; changedVersion is
	// that of the last change.
	version, changedVersion samphireturn.Revision
	// begun is when the era of version began for this topic.
	begun eraStart
	// removed holds the versions at which entries were removed, by name. With it, changes
	// since completeFrom are known completely.
	removed      map[string]samphireturn.Revision
	completeFrom samphireturn.Revision
	// lost holds the names in removed of endpoints that a copy of the source lacked, and
	// that nobody said to leave.
	lost map[string]bool
	// packed holds the changes that were packed last.
	packed []packedChanges
	// historyGone is true if the topic must be listed as it is now, since the source no
	// longer has the changes since version.
	historyGone bool
	// listed is true if the entries are complete, as read from the source or a peer;
	// only then can the topic be watched.
	listed bool
	// confirmedAt is the time of the newest confirmation, if confirmed is true, and
	// pendingAt that of one that takes effect later; zero for none.
	confirmedAt, pendingAt time.Duration
	// heldSince is since when confirmations of the table have been much newer than those
	// of the endpoints; zero if they are not.
	heldSince time.Duration
	confirmed bool
}

// noteOutage records that an answer, to a call made at sent, ends an outage of the
// source. It must be called before the answer is applied. The caller holds mu.
func (f *Follower) noteOutage(t *topic, sent time.Duration) {
	if t.confirmed && sent-t.confirmedAt > MinOutage+f.watchTimeout(t) {
		t.outageEnd = f.Clock()
		t.gapStart, t.unbrokenSince = t.confirmedAt, sent
		t.resumed, t.shared, t.copied = true, false, false
		f.Log.Info().Str("event", logger.EventOutageOver).Stringer("topic", t.name).Dur("away", sent-t.confirmedAt).Send()
	}
}

// confirm sets the time of the newest confirmation, if sent is later. In a new era that of
// the table takes effect with that of the endpoints. The caller holds mu.
func (f *Follower) confirm(t *topic, sent time.Duration) {
	if f.holdConfirmation(t, sent) {
		t.pendingAt = max(t.pendingAt, sent)
		return
	}
	f.applyConfirmation(t, sent)
	if table := &f.topics[samphireturn.TopicTable]; t.name == samphireturn.TopicHosts && table.pendingAt > 0 && f.current(table) {
		f.applyConfirmation(table, table.pendingAt)
		table.pendingAt, table.heldSince = 0, 0
	}
}

// applyConfirmation sets the time of the newest confirmation, if sent is later. The caller
// holds mu.
func (f *Follower) applyConfirmation(t *topic, sent time.Duration) {
	if t.confirmed && sent <= t.confirmedAt {
		return
	}
	if !t.confirmed {
		t.unbrokenSince = sent
	}
	t.confirmedAt, t.confirmed = sent, true
	f.Control.Post(confirmation{topic: t.name, at: sent})
	if t.needsRecent() {
		f.wakePolls()
	}
}

// compareOutage compares this daemon's last outage with what another daemon says of its
// confirmations, after the outage and as long as missing entries are kept for it. If those
// span this daemon's gap, the source was not down: entries that are missing have left and
// did not expire. If they have a gap too, it was. The caller holds mu.
func (f *Follower) compareOutage(t *topic, c continuity, confirmedAt time.Duration) {
	if !t.resumed || t.copied || f.Clock()-t.outageEnd >= MissingRetention {
		return
	}
	unbrokenSince := confirmedAt - time.Duration(c.Unbroken)*time.Millisecond
	spans := unbrokenSince <= t.gapStart && confirmedAt > t.gapStart+MinOutage
	switch {
	case spans:
		t.outageEnd = -MissingRetention
		t.unbrokenSince, t.resumed = unbrokenSince, false
		for name := range t.missingSince {
			delete(t.entries, name)
		}
		clear(t.missingSince)
	case c.Resumed && !t.shared && confirmedAt > t.gapStart+MinOutage:
		t.shared = true
	default:
		return
	}
	f.publish(t)
}

// continuity returns what this daemon says of its confirmations of the topic.
func (t *topic) continuity() continuity {
	if !t.confirmed {
		return continuity{}
	}
	return continuity{Unbroken: max(0, (t.confirmedAt - t.unbrokenSince).Milliseconds()), Resumed: t.resumed}
}

// needsRecent reports whether the topic needs recent confirmations.
func (t *topic) needsRecent() bool {
	return t.name == samphireturn.TopicTable || t.name == samphireturn.TopicHosts
}

// wakePolls wakes the handlers of polls that wait for changes. The caller holds mu.
func (f *Follower) wakePolls() {
	close(f.updated)
	f.updated = make(chan struct{})
}

// replace applies a complete list of the source. The caller holds mu.
func (f *Follower) replace(t *topic, batch samphireturn.Batch) {
	f.replaceSince(t, batch, eraStart{first: batch.Version, at: f.Clock()})
}

// replaceSince applies a complete list, of an era that began at begun unless the topic was
// read in it before. The caller holds mu.
func (f *Follower) replaceSince(t *topic, batch samphireturn.Batch, begun eraStart) {
	t.listed = true
	if t.version.Newer(batch.Version) {
		return
	}
	newEra := batch.Version.Era > t.version.Era && t.version != (samphireturn.Revision{})
	if newEra {
		f.beginEra(t, batch, begun)
	}
	if batch.Version.Era != t.begun.first.Era || t.begun.at == 0 {
		t.begun = begun
	}
	seen := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		seen[e.Name] = true
		f.put(t, e, batch.Version)
	}
	for name, e := range t.entries {
		if seen[name] {
			continue
		}
		f.remove(t, name, batch.Version)
		if newEra && e.Host != nil && !f.isLeaving(&e) {
			t.lost[name] = true
		}
	}
	// Entries may have come and gone since the version before without being known here.
	t.completeFrom = batch.Version
	t.version, t.changedVersion = batch.Version, batch.Version
	f.publish(t)
	f.wakePolls()
}

// update applies changes, unless newer ones are known already. The caller holds mu.
func (f *Follower) update(t *topic, batch samphireturn.Batch) {
	if t.version.Newer(batch.Version) {
		return
	}
	t.version = batch.Version
	if len(batch.Entries) == 0 {
		return
	}
	for _, e := range batch.Entries {
		if e.Deleted {
			f.remove(t, e.Name, batch.Version)
			continue
		}
		f.put(t, e, batch.Version)
	}
	t.changedVersion = batch.Version
	f.publish(t)
	f.wakePolls()
}

// put adds an entry as of a version, unless it cannot be decoded or is older than the
// known one. An endpoint whose entry can no longer be decoded is removed.
func (f *Follower) put(t *topic, e samphireturn.Entry, version samphireturn.Revision) {
	if e.Err != nil {
		invalidEntries.Add(t.name.String(), 1)
		f.Log.Warn().Str("event", logger.EventEntryIgnored).Stringer("topic", t.name).Str("entry", e.Name).Err(e.Err).Send()
		if _, known := t.entries[e.Name]; known && t.name == samphireturn.TopicHosts {
			delete(t.entries, e.Name)
			t.noteRemoved(e.Name, version)
		}
		return
	}
	old, ok := t.entries[e.Name]
	if ok && e.Version.Number != 0 && old.Version.Newer(e.Version) {
		return
	}
	if ok && e.Table != nil && old.Table != nil && e.Table.Version < old.Table.Version {
		f.Log.Warn().Str("event", logger.EventTableIgnored).Int64("version", e.Table.Version).Int64("in_force", old.Table.Version).Send()
		return
	}
	if ok && e.Host != nil && old.Host != nil && e.Host.Started != 0 && e.Host.Started < old.Host.Started {
		// The copy has an earlier instance, the address of which may be another's now.
		e.Host = old.Host
	}
	if t.name == samphireturn.TopicClosures {
		delete(f.kept.closures, e.Name)
	}
	delete(t.missingSince, e.Name)
	delete(t.removed, e.Name)
	delete(t.lost, e.Name)
	t.entries[e.Name] = e
}

// remove removes an entry as of a version. Endpoints that are missing after an outage of the source are
// kept for MissingRetention, since entries expire during an outage. The table in force
// stays until a newer one arrives.
func (f *Follower) remove(t *topic, name string, version samphireturn.Revision) {
	// Daemons that poll this one may have an entry that this one never had.
	t.noteRemoved(name, version)
	if _, known := t.entries[name]; !known {
		return
	}
	if f.keepsMissing(t) {
		if _, ok := t.missingSince[name]; !ok {
			t.missingSince[name] = f.Clock()
		}
		return
	}
	if t.name != samphireturn.TopicTable {
		delete(t.entries, name)
	}
}

// removeMissing removes the entries that were not listed again within MissingRetention.
func (f *Follower) removeMissing(t *topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(t.missingSince) == 0 {
		return
	}
	now := f.Clock()
	removed := false
	for name, at := range t.missingSince {
		if now-at >= MissingRetention {
			delete(t.missingSince, name)
			delete(t.entries, name)
			removed = true
		}
	}
	if removed {
		f.publish(t)
	}
}
