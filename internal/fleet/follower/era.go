package follower

import (
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

const (
	// tableDelay bounds the time for which the table of a new era is confirmed later because
	// the endpoints have not been read in it.
	tableDelay = 250 * time.Millisecond
	// hostsDelay is the same for a table that is confirmed much later than the endpoints, as
	// after an outage of the source.
	hostsDelay = 400 * time.Millisecond
)

var errOldEra = errors.New("a newer era of the source began")

// noteEra notes an era of the source that an answer or a peer told, the source itself if
// peer is empty. If it is newer than the known one, topics of older eras are listed anew
// by the daemons that watch, and the others get them by polls; until then they stay in
// use. The caller holds mu.
func (f *Follower) noteEra(era uint64, peer string) {
	if era <= f.era {
		return
	}
	f.Log.Info().Str("event", logger.EventEra).Uint64("era", era).Uint64("before", f.era).Str("peer", peer).Send()
	eras.Add("began", 1)
	f.era = era
	close(f.eraBegan)
	f.eraBegan = make(chan struct{})
	f.wakePolls()
}

// untilEra returns a channel that is closed when a newer era begins.
func (f *Follower) untilEra() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eraBegan
}

// current reports whether a topic was read in the newest known era. The caller holds mu.
func (f *Follower) current(t *topic) bool { return t.version.Era >= f.era }

// passesOn reports whether a topic is passed on to other daemons: not before it was read
// in the newest era, and the table not while its confirmation is much newer than that of
// the endpoints, since requests are refused then. The caller holds mu.
func (f *Follower) passesOn(t *topic) bool {
	hosts := &f.topics[samphireturn.TopicHosts]
	if !f.current(t) || t.name != samphireturn.TopicTable || !hosts.listed {
		return f.current(t)
	}
	return f.current(hosts) && t.confirmedAt-hosts.confirmedAt <= MinOutage
}

// holdConfirmation reports whether a confirmation of a topic takes effect later: that of
// the table waits for a moment for that of the endpoints, which are read at once, where it
// would be much newer than theirs or belongs to an era in which they were not read yet. The
// caller holds mu.
func (f *Follower) holdConfirmation(t *topic, sent time.Duration) bool {
	hosts := &f.topics[samphireturn.TopicHosts]
	switch {
	case t.name != samphireturn.TopicTable || !hosts.listed:
		return false
	case !f.current(hosts):
		return f.Clock()-t.begun.at < tableDelay
	case !hosts.confirmed || sent-hosts.confirmedAt <= MinOutage:
		t.heldSince = 0
		return false
	case t.heldSince == 0:
		t.heldSince = f.Clock()
	}
	return f.Clock()-t.heldSince < hostsDelay
}

// beginEra prepares a topic, which has been read in an older era, for the first list of a
// newer one. The copy from which the source came back may lack entries of live endpoints
// and daemons, as after an outage that all daemons had: they write theirs again. The
// caller holds mu.
func (f *Follower) beginEra(t *topic, batch samphireturn.Batch, begun eraStart) {
	now := f.Clock()
	t.outageEnd, t.gapStart, t.unbrokenSince = now, t.confirmedAt, now
	t.resumed, t.shared, t.copied = true, true, true
	kept := f.keep(t, batch, begun)
	eras.Add("listed", 1)
	eras.Add("kept", int64(kept))
	f.Log.Info().Str("event", logger.EventEraListed).Stringer("topic", t.name).Uint64("era", batch.Version.Era).
		Uint64("before", t.version.Era).Int("entries", len(batch.Entries)).Int("kept", kept).Send()
}

// keepsMissing reports whether an entry that is found missing stays for MissingRetention:
// that of an endpoint after an outage or in a new era, and that of a daemon in a new era.
// The caller holds mu.
func (f *Follower) keepsMissing(t *topic) bool {
	if f.Clock()-t.outageEnd >= MissingRetention {
		return false
	}
	return t.name == samphireturn.TopicHosts || t.name == samphireturn.TopicMembers && t.copied
}
