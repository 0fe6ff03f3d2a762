package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
)

const (
	// Topic is the topic of polls between daemons.
	Topic = "changes"
	// pollWaitTime is how long a polled daemon waits for changes before it answers, and
	// pollTimeout bounds a poll, so that a daemon watches the source itself within a
	// second after its peer stopped answering.
	pollWaitTime = 350 * time.Millisecond
	pollTimeout  = 800 * time.Millisecond
	// slowPollTime is the time without an answer after which another daemon is followed.
	// The slow poll goes on beside, so that unanswered polls do not add up.
	slowPollTime = 500 * time.Millisecond
	// maxFollowers is the number of daemons of a data centre that one daemon is polled by:
	// each follower costs it about three polls a second.
	maxFollowers = 12
	// catchUpPeers is the number of daemons that are polled at the same time while
	// confirmations are overdue, and maxCatchUpPause the longest time between two such
	// rounds, which all daemons make in an outage of the source.
	catchUpPeers    = 3
	maxCatchUpPause = time.Second
	// pollPause is the least time between two polls.
	pollPause = 20 * time.Millisecond
	// failedAvoidTime is how long a daemon is not followed after it did not answer or
	// its confirmations were too old: an outage lasts seconds.
	failedAvoidTime = 3 * time.Second
	// unlinkedAvoidTime is the same for a daemon without a link or whose link broke: a
	// new link is made within half a second.
	unlinkedAvoidTime = 500 * time.Millisecond
	// staleTolerance is how much older than maxAges the confirmations of a followed
	// daemon may be: it may be about to watch the source itself.
	staleTolerance = 300 * time.Millisecond
	// minAgeGain is how much younger than the poller's a confirmation must be to answer
	// a poll at once.
	minAgeGain = 100 * time.Millisecond
)

type (
	// pollRequest asks a peer for what is newer than the sender's versions.
	pollRequest struct {
		Versions [samphireturn.TopicCount]samphireturn.Revision `cbor:"1,keyasint"`
		// Ages are the ages of the sender's confirmations, in milliseconds.
		Ages [samphireturn.TopicCount]int64 `cbor:"2,keyasint"`
		// Hosts tells of the sender's confirmations of the endpoints.
		Hosts continuity `cbor:"3,keyasint"`
		// Era is the newest era of the source that the sender knows.
		Era uint64 `cbor:"4,keyasint,omitempty"`
		// KeptHash is the hash of what the sender keeps from older eras, and TableVersion
		// the version of its newest table. Kept is what the receiver lacks of these.
		KeptHash     uint64       `cbor:"5,keyasint,omitempty"`
		TableVersion int64        `cbor:"6,keyasint,omitempty"`
		Kept         *keptMessage `cbor:"7,keyasint,omitempty"`
		// Opening is true if the sender waits for the answer before it serves.
		Opening bool `cbor:"8,keyasint,omitempty"`
	}

	// continuity tells how long confirmations of a topic have come without an outage.
	continuity struct {
		// Unbroken is the time from the first to the newest of them, in milliseconds.
		Unbroken int64 `cbor:"1,keyasint,omitempty"`
		// Resumed is true if the first of them followed an outage, and not the start.
		Resumed bool `cbor:"2,keyasint,omitempty"`
	}

	// pollReply answers a poll.
	pollReply struct {
		Topics [samphireturn.TopicCount]topicState `cbor:"1,keyasint"`
		// Era is the newest era of the source that the sender knows.
		Era uint64 `cbor:"2,keyasint,omitempty"`
		// Open is true if the sender serves.
		Open bool `cbor:"6,keyasint,omitempty"`
		// KeptHash, TableVersion and Kept are as in a pollRequest.
		KeptHash     uint64       `cbor:"3,keyasint,omitempty"`
		TableVersion int64        `cbor:"4,keyasint,omitempty"`
		Kept         *keptMessage `cbor:"5,keyasint,omitempty"`
	}

	// topicState is a topic as the replying daemon has it.
	topicState struct {
		Version samphireturn.Revision `cbor:"1,keyasint"`
		// Age is the age of the newest confirmation, in milliseconds; negative if there
		// is none.
		Age        int64      `cbor:"2,keyasint"`
		Continuity continuity `cbor:"5,keyasint"`
		// First is the number of the first list of the topic in the era of Version, and
		// EraAge the time since then, in milliseconds.
		First  uint64 `cbor:"7,keyasint,omitempty"`
		EraAge int64  `cbor:"8,keyasint,omitempty"`
		// Packed holds what the polling daemon lacks, as pack returns it; empty if it has
		// all up to Version.
		Packed []byte `cbor:"6,keyasint,omitempty"`
	}
)

// Register registers the handler of polls. It must be called before the peers run.
func (f *Follower) Register() { f.Peers.Handle(Topic, f.handle) }

// watchesForOthers reports whether this daemon watches the source for others.
func (f *Follower) watchesForOthers() bool { return f.leader() == "" }

// leader returns the daemon to follow, or "" if this one is to watch the source itself.
// The daemons of a data centre form a tree by their rank, in which each has up to
// maxFollowers followers; the roots follow that of the data centre that ranks first.
// Daemons whose polls failed recently are skipped. A daemon follows only daemons that rank
// before it, so that none follow each other in a circle.
func (f *Follower) leader() string {
	linked := f.linkedInCentre()
	if rank := slices.Index(linked, f.Self.ID); rank > 0 {
		return linked[(rank-1)/maxFollowers]
	}
	for _, id := range f.ranking().fleet {
		if id == f.Self.ID {
			return f.fallbackLeader()
		}
		if !f.isAvoided(id) {
			return id
		}
	}
	return ""
}

// fallbackLeader returns, while the source does not answer this daemon, a random linked
// daemon that may have newer confirmations, and "" otherwise.
func (f *Follower) fallbackLeader() string {
	f.mu.Lock()
	failing := f.topics[samphireturn.TopicTable].failing
	f.mu.Unlock()
	if linked := f.Peers.Connected(); failing && len(linked) > 0 {
		return linked[int(f.Rand()*float64(len(linked)))]
	}
	return ""
}

// linkedInCentre returns the ids of this daemon and of the daemons of its data centre
// that are linked and not avoided, in the order in which they watch.
func (f *Follower) linkedInCentre() []string {
	linked := f.Peers.Connected()
	var ids []string
	for _, id := range f.ranking().centre {
		if id == f.Self.ID || slices.Contains(linked, id) && !f.isAvoided(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// watchRank returns how many daemons watch before this one: the linked ones of its data
// centre that rank before it, and one for each data centre that ranks before its own.
func (f *Follower) watchRank() int {
	if f.Peers == nil {
		return 0
	}
	return f.rankInCentre() + f.ranking().centreRank
}

// rankInCentre returns how many linked daemons of this data centre watch before this
// one.
func (f *Follower) rankInCentre() int {
	linked := f.Peers.Connected()
	before := 0
	for _, id := range f.ranking().centre {
		if id == f.Self.ID {
			break
		}
		if slices.Contains(linked, id) {
			before++
		}
	}
	return before
}

// watchOrder returns the daemons in the order in which they watch for others.
func watchOrder(members []samphireturn.VM) []string {
	var ids []string
	for _, centre := range ranker.Rank("follow", centresOf(members)) {
		ids = append(ids, ranker.Rank("follow/"+centre, ranker.InCentre(centre, members))...)
	}
	return ids
}

// centresOf returns one member for each data centre, with the data centre's name as its
// id.
func centresOf(members []samphireturn.VM) []samphireturn.VM {
	var found []samphireturn.VM
	for _, m := range members {
		if !slices.ContainsFunc(found, func(c samphireturn.VM) bool { return c.ID == m.Centre }) {
			found = append(found, samphireturn.VM{ID: m.Centre})
		}
	}
	return found
}

// isAvoided reports whether a daemon is not followed because a poll of it failed.
func (f *Follower) isAvoided(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock() < f.avoidUntil[id]
}

// pollLoop polls the leader until ctx ends.
func (f *Follower) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		id := f.leader()
		if id == "" {
			f.setFollowing("")
			timekeeper.Sleep(ctx, checkInterval)
			continue
		}
		if f.follow(ctx, id) {
			f.setFollowing(id)
		} else {
			f.setFollowing("")
		}
		timekeeper.Sleep(ctx, pollPause)
	}
}

// follow polls a daemon and reports whether it answered in slowPollTime with recent
// confirmations. If it did not, it is avoided.
func (f *Follower) follow(ctx context.Context, id string) bool {
	start := f.Clock()
	answered := make(chan error, 1)
	f.wg.Go(func() { answered <- f.pollPeer(ctx, id) })
	slow := time.NewTimer(slowPollTime)
	defer slow.Stop()
	var err error
	select {
	case err = <-answered:
	case <-slow.C:
		err = &samphireturn.Error{Op: "follow " + id, Kind: samphireturn.KindUnavailable}
	}
	if err != nil && ctx.Err() == nil {
		f.avoid(id, f.Clock()-start, err)
	}
	return err == nil
}

// catchUpLoop polls several daemons at the same time whenever the confirmations of a
// topic that needs recent ones are overdue, at growing intervals, and after an outage as
// long as it is undecided whether others had it too, until ctx ends.
func (f *Follower) catchUpLoop(ctx context.Context) {
	var next, pause time.Duration
	for timekeeper.Sleep(ctx, checkInterval) {
		overdue, undecided := f.overdue(), f.outageUndecided()
		if !overdue {
			next, pause = 0, checkInterval
		}
		if !undecided && (!overdue || f.Clock() < next) {
			continue
		}
		f.pollCandidates(ctx)
		pause = min(2*pause, maxCatchUpPause)
		next = f.Clock() + pause
	}
}

// pollCandidates polls the daemons that catchUpCandidates returns at the same time.
func (f *Follower) pollCandidates(ctx context.Context) {
	var polls sync.WaitGroup
	for _, id := range f.catchUpCandidates() {
		polls.Go(func() {
			if err := f.pollPeer(ctx, id); err != nil && ctx.Err() == nil {
				f.Log.Debug().Str("event", logger.EventFollowFailed).Str("peer", id).Err(err).Send()
			}
		})
	}
	polls.Wait()
}

// overdue reports whether the confirmations of a topic that needs recent ones are older
// than maxAge.
func (f *Follower) overdue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.topics {
		t := &f.topics[i]
		if t.needsRecent() && t.confirmed && f.age(t) > f.maxAge(t) {
			return true
		}
	}
	return false
}

// outageUndecided reports whether an outage has just ended for this daemon and no other
// has told whether it had it too.
func (f *Follower) outageUndecided() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &f.topics[samphireturn.TopicHosts]
	return t.resumed && !t.shared && f.Clock()-t.outageEnd < MissingRetention
}

// catchUpCandidates returns the daemons to poll while confirmations are overdue: a linked
// one of this data centre that watches the source early, any other linked one, and one
// of another data centre that watches for the fleet.
func (f *Follower) catchUpCandidates() []string {
	linked := f.Peers.Connected()
	var candidates []string
	add := func(ids []string) {
		ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == f.Self.ID || slices.Contains(candidates, id) })
		if len(ids) > 0 && len(candidates) < catchUpPeers {
			candidates = append(candidates, ids[int(f.Rand()*float64(len(ids)))])
		}
	}
	own := f.linkedInCentre()
	add(own[:min(len(own), 1+earlyWatchers)])
	add(linked)
	remote := slices.DeleteFunc(slices.Clone(f.ranking().fleet), func(id string) bool { return slices.Contains(own, id) })
	add(remote[:min(len(remote), 1+earlyWatchers)])
	return candidates
}

// avoid keeps a daemon from being followed after a poll that failed, or was not answered
// in time, after the given time: for failedAvoidTime if the daemon did not answer or its
// confirmations were too old, else for unlinkedAvoidTime.
func (f *Follower) avoid(id string, elapsed time.Duration, err error) {
	f.Log.Info().Str("event", logger.EventFollowFailed).Str("peer", id).Err(err).Send()
	duration := unlinkedAvoidTime
	if samphireturn.KindOf(err) == samphireturn.KindExpired || elapsed >= slowPollTime {
		duration = failedAvoidTime
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidUntil[id] = f.Clock() + duration
}

// setFollowing sets and logs the daemon that is followed.
func (f *Follower) setFollowing(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following != id {
		f.following = id
		f.Log.Info().Str("event", logger.EventFollowing).Str("peer", id).Send()
	}
}

// pollPeer makes one poll and applies its answer.
func (f *Follower) pollPeer(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var (
		request pollRequest
		reply   pollReply
	)
	f.mu.Lock()
	for i := range f.topics {
		if f.topics[i].listed {
			request.Versions[i] = f.topics[i].version
		}
		request.Ages[i] = f.age(&f.topics[i]).Milliseconds()
	}
	request.Hosts, request.Era = f.topics[samphireturn.TopicHosts].continuity(), f.era
	request.Opening = !f.opened()
	request.KeptHash, request.TableVersion, request.Kept = f.kept.hash(), f.tableVersion(), f.messageTo(id)
	f.mu.Unlock()
	sent := f.Clock()
	if err := f.Peers.Call(ctx, id, Topic, request, &reply); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteEra(reply.Era, id)
	for i := range f.topics {
		if err := f.applyState(&f.topics[i], &reply.Topics[i], request.Versions[i], sent); err != nil {
			return err
		}
	}
	f.mergeKept(reply.Kept)
	f.isOpen = f.isOpen || reply.Open
	f.noteLag(id, &reply)
	for i := range f.topics {
		t := &f.topics[i]
		if t.needsRecent() && time.Duration(reply.Topics[i].Age)*time.Millisecond > f.maxAge(t)+staleTolerance {
			return &samphireturn.Error{Op: "follow " + id, Kind: samphireturn.KindExpired}
		}
	}
	return nil
}

// applyState applies a peer's state of a topic. A confirmation counts only together with
// all changes that were known when it was made. since is this daemon's version when it
// polled; the caller holds mu.
func (f *Follower) applyState(t *topic, s *topicState, since samphireturn.Revision, sent time.Duration) error {
	if s.Age < 0 || s.Version.Era < f.era || t.version.Newer(s.Version) || len(s.Packed) == 0 && !t.listed {
		return nil
	}
	var changes changeSet
	if len(s.Packed) > 0 {
		var err error
		if changes, err = unpack(s.Packed); err != nil {
			return err
		}
	}
	at := sent - time.Duration(s.Age)*time.Millisecond
	unbrokenSince := at - time.Duration(s.Continuity.Unbroken)*time.Millisecond
	if !t.confirmed || unbrokenSince > t.confirmedAt {
		f.noteOutage(t, at)
	}
	switch {
	case changes.Complete:
		begun := eraStart{first: samphireturn.Revision{Era: s.Version.Era, Number: s.First}, at: f.Clock() - time.Duration(s.EraAge)*time.Millisecond}
		f.replaceSince(t, samphireturn.Batch{Entries: changes.Entries, Version: s.Version}, begun)
	case t.listed && !since.Newer(t.version) && s.Version.Era == t.version.Era:
		f.update(t, samphireturn.Batch{Entries: changes.all(), Version: s.Version})
	default:
		return nil
	}
	f.confirm(t, at)
	f.compareOutage(t, s.Continuity, at)
	return nil
}

// handle answers a poll as soon as there are changes or a newer confirmation, at the
// latest after pollWaitTime.
func (f *Follower) handle(ctx context.Context, from string, body []byte) (any, error) {
	var request pollRequest
	if err := encoder.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.noteEra(request.Era, from)
	f.mergeKept(request.Kept)
	hosts := &f.topics[samphireturn.TopicHosts]
	f.compareOutage(hosts, request.Hosts, f.Clock()-time.Duration(request.Ages[hosts.name])*time.Millisecond)
	updated := f.updated
	changed := f.changedSince(&request)
	f.mu.Unlock()
	if changed {
		return f.buildReply(&request)
	}
	timer := time.NewTimer(pollWaitTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	case <-updated:
	}
	return f.buildReply(&request)
}

// changedSince reports whether any topic has changed since the poller's version, or has
// a confirmation that is younger than the poller's by minAgeGain, or whether the poller
// does not know the newest era or waits for the answer. The caller holds mu.
func (f *Follower) changedSince(request *pollRequest) bool {
	if request.Era < f.era || request.Opening {
		return true
	}
	for i := range f.topics {
		t := &f.topics[i]
		if !f.passesOn(t) {
			continue
		}
		if t.changedVersion.Newer(request.Versions[i]) {
			return true
		}
		if t.needsRecent() && f.age(t) < time.Duration(request.Ages[i])*time.Millisecond-minAgeGain {
			return true
		}
	}
	return false
}

// buildReply returns the topics with what the poller lacks and the ages of all
// confirmations. Topics of older eras are left out.
func (f *Follower) buildReply(request *pollRequest) (pollReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := pollReply{Era: f.era, Open: f.isOpen, KeptHash: f.kept.hash(), TableVersion: f.tableVersion(), Kept: f.replyTo(request)}
	for i := range f.topics {
		t := &f.topics[i]
		s := topicState{Version: t.version, Age: -1}
		if !f.passesOn(t) {
			reply.Topics[i] = s
			continue
		}
		if t.confirmed && t.listed {
			s.Age = f.age(t).Milliseconds() + 1
			s.Continuity = t.continuity()
			s.First, s.EraAge = t.begun.first.Number, (f.Clock() - t.begun.at).Milliseconds()
		}
		if t.listed && (t.changedVersion.Newer(request.Versions[i]) || request.Versions[i] == samphireturn.Revision{}) {
			packed, err := t.packChanges(request.Versions[i])
			if err != nil {
				return reply, err
			}
			s.Packed = packed
		}
		reply.Topics[i] = s
	}
	return reply, nil
}
