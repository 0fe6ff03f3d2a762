package follower

import (
	"context"
	"slices"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
)

const (
	// Topic is the topic of polls.
	Topic = "follow"
	// pollWait is the longest wait for news at a peer, and pollTime bounds a poll:
	// a daemon whose peer falls silent watches by itself within a second.
	pollWait = 350 * time.Millisecond
	pollTime = 800 * time.Millisecond
	// pollGap is the least time between two polls.
	pollGap = 20 * time.Millisecond
	// failedTime is how long a daemon that fell silent, or whose proofs grew old, is
	// not followed: an outage lasts seconds.
	failedTime = 3 * time.Second
	// unlinkedTime is the same for one to which there is no link, or whose link broke:
	// another is made within half a second.
	unlinkedTime = 500 * time.Millisecond
	// staleTime is how much older than the limit a followed daemon's proofs may be: it
	// may be about to watch by itself.
	staleTime = 300 * time.Millisecond
	// newerBy is how much younger a proof must be to be passed on at once.
	newerBy = 100 * time.Millisecond
)

type (
	// poll asks a peer for what is newer than the asker's versions.
	poll struct {
		Known [samphireturn.TopicCount]uint64 `cbor:"1,keyasint"`
		// Ages are how old the asker's proofs are, in milliseconds.
		Ages [samphireturn.TopicCount]int64 `cbor:"2,keyasint"`
	}

	// news answers a poll.
	news struct {
		Topics [samphireturn.TopicCount]state `cbor:"1,keyasint"`
	}

	// state is a topic as a peer knows it.
	state struct {
		Version uint64 `cbor:"1,keyasint"`
		// Age is how old the newest proof is, in milliseconds; negative for none.
		Age int64 `cbor:"2,keyasint"`
		// Whole is true if Entries holds all entries.
		Whole   bool                 `cbor:"3,keyasint,omitempty"`
		Entries []samphireturn.Entry `cbor:"4,keyasint,omitempty"`
	}
)

// Register registers the handler of polls. It must be called before the peers
// run.
func (f *Follower) Register() { f.Peers.Handle(Topic, f.handle) }

// chosen reports whether this daemon watches the source for others.
func (f *Follower) chosen() bool { return f.leader() == "" }

// leader returns the daemon to follow, or "" if this one is to watch by itself.
// The daemons of a data centre follow its first one; the first ones follow that of
// the first data centre in rank. Those that failed lately are passed over.
func (f *Follower) leader() string {
	members := f.Control.Snapshot().Members
	if near := f.near(members); len(near) > 0 && near[0] != f.Self.ID && slices.Contains(near, f.Self.ID) {
		return near[0]
	}
	for _, id := range order(members) {
		if id == f.Self.ID {
			return f.lender()
		}
		if !f.failedLately(id) {
			return id
		}
	}
	return ""
}

// lender returns a daemon that may prove what the source does not answer to this
// one, or "" while it does.
func (f *Follower) lender() string {
	f.mu.Lock()
	failing := f.topics[samphireturn.TopicTable].failing
	f.mu.Unlock()
	if linked := f.Peers.Connected(); failing && len(linked) > 0 {
		return linked[int(f.Rand()*float64(len(linked)))]
	}
	return ""
}

// near returns the daemons of this data centre that are linked and did not fail
// lately, this one included, those that watch first.
func (f *Follower) near(members []samphireturn.VM) []string {
	linked := f.Peers.Connected()
	var near []samphireturn.VM
	for _, m := range ranker.InCentre(f.Self.Centre, members) {
		if m.ID == f.Self.ID || slices.Contains(linked, m.ID) && !f.failedLately(m.ID) {
			near = append(near, m)
		}
	}
	return ranker.Rank("follow/"+f.Self.Centre, near)
}

// place returns how many daemons watch before this one: those of its data centre that
// are linked, and one of each data centre before it.
func (f *Follower) place() int {
	if f.Peers == nil {
		return 0
	}
	members := f.Control.Snapshot().Members
	return f.ahead() + max(slices.Index(ranker.Rank("follow", centres(members)), f.Self.Centre), 0)
}

// ahead returns how many linked daemons of this data centre watch before this one.
func (f *Follower) ahead() int {
	linked := f.Peers.Connected()
	members := f.Control.Snapshot().Members
	before := 0
	for _, id := range ranker.Rank("follow/"+f.Self.Centre, ranker.InCentre(f.Self.Centre, members)) {
		if id == f.Self.ID {
			break
		}
		if slices.Contains(linked, id) {
			before++
		}
	}
	return before
}

// order returns the daemons in the order in which they watch for others.
func order(members []samphireturn.VM) []string {
	var ids []string
	for _, centre := range ranker.Rank("follow", centres(members)) {
		ids = append(ids, ranker.Rank("follow/"+centre, ranker.InCentre(centre, members))...)
	}
	return ids
}

// centres returns one member for each data centre, with its name as the id.
func centres(members []samphireturn.VM) []samphireturn.VM {
	var found []samphireturn.VM
	for _, m := range members {
		if !slices.ContainsFunc(found, func(c samphireturn.VM) bool { return c.ID == m.Centre }) {
			found = append(found, samphireturn.VM{ID: m.Centre})
		}
	}
	return found
}

// failedLately reports whether a daemon could not be followed.
func (f *Follower) failedLately(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Clock() < f.failed[id]
}

// poll follows another daemon until ctx ends.
func (f *Follower) poll(ctx context.Context) {
	for ctx.Err() == nil {
		id := f.leader()
		if id == "" {
			f.follow("")
			timekeeper.Sleep(ctx, parkTime)
			continue
		}
		began := f.Clock()
		if err := f.ask(ctx, id); err != nil && ctx.Err() == nil {
			f.passOver(id, f.Clock()-began, err)
			f.follow("")
			timekeeper.Sleep(ctx, pollGap)
			continue
		}
		f.follow(id)
		timekeeper.Sleep(ctx, pollGap)
	}
}

// passOver notes that a poll failed after a time: the daemon is not followed for long
// if it was silent or its proofs were old, and for a moment if there was no link.
func (f *Follower) passOver(id string, took time.Duration, err error) {
	f.Log.Info().Str("event", logger.EventFollowFailed).Str("peer", id).Err(err).Send()
	rest := unlinkedTime
	if samphireturn.KindOf(err) == samphireturn.KindExpired || took >= pollTime {
		rest = failedTime
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed[id] = f.Clock() + rest
}

// follow notes which daemon is followed.
func (f *Follower) follow(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following != id {
		f.following = id
		f.Log.Info().Str("event", logger.EventFollowing).Str("peer", id).Send()
	}
}

// ask makes one poll and applies its answer.
func (f *Follower) ask(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	var (
		ask   poll
		reply news
	)
	f.mu.Lock()
	for i := range f.topics {
		if f.topics[i].listed {
			ask.Known[i] = f.topics[i].version
		}
		ask.Ages[i] = f.age(&f.topics[i]).Milliseconds()
	}
	f.mu.Unlock()
	sent := f.Clock()
	if err := f.Peers.Call(ctx, id, Topic, ask, &reply); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.topics {
		f.hear(&f.topics[i], &reply.Topics[i], sent)
	}
	for i := range f.topics {
		t := &f.topics[i]
		if t.urgent() && time.Duration(reply.Topics[i].Age)*time.Millisecond > limits[t.name]+staleTime {
			return &samphireturn.Error{Op: "follow " + id, Kind: samphireturn.KindExpired}
		}
	}
	return nil
}

// hear applies what a peer knows of a topic. Its proof counts only together with
// all that was known when it was made.
func (f *Follower) hear(t *topic, s *state, sent time.Duration) {
	if s.Age < 0 || !s.Whole && (!t.listed || s.Version < t.version) {
		return
	}
	if s.Whole && s.Version < t.version {
		return
	}
	at := sent - time.Duration(s.Age)*time.Millisecond
	f.outage(t, at)
	if s.Whole {
		f.replace(t, samphireturn.Batch{Entries: s.Entries, Version: s.Version})
	} else {
		t.version = s.Version
	}
	f.prove(t, at)
}

// listedEntries returns the entries that the source holds; those that are kept
// over an outage are not passed on.
func (t *topic) listedEntries() []samphireturn.Entry {
	entries := make([]samphireturn.Entry, 0, len(t.entries))
	for name, e := range t.entries {
		if _, gone := t.gone[name]; !gone {
			entries = append(entries, e)
		}
	}
	return entries
}

// handle answers a poll once there is news or a newer proof, or the wait is over.
func (f *Follower) handle(ctx context.Context, _ string, body []byte) (any, error) {
	var ask poll
	if err := encoder.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	f.mu.Lock()
	renewed := f.renewed
	fresh := f.changedSince(&ask)
	f.mu.Unlock()
	if fresh {
		return f.news(&ask), nil
	}
	timer := time.NewTimer(pollWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	case <-renewed:
	}
	return f.news(&ask), nil
}

// changedSince reports whether any topic changed after what the asker knows, or
// was proved after. The caller holds mu.
func (f *Follower) changedSince(ask *poll) bool {
	for i := range f.topics {
		t := &f.topics[i]
		if t.changed > ask.Known[i] {
			return true
		}
		if t.urgent() && f.age(t) < time.Duration(ask.Ages[i])*time.Millisecond-newerBy {
			return true
		}
	}
	return false
}

// news returns what is newer than the asker's versions, and all proofs.
func (f *Follower) news(ask *poll) news {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reply news
	for i := range f.topics {
		t := &f.topics[i]
		s := state{Version: t.version, Age: -1}
		if t.proved && t.listed {
			s.Age = f.age(t).Milliseconds() + 1
		}
		if t.changed > ask.Known[i] || ask.Known[i] == 0 {
			s.Whole = true
			s.Entries = t.listedEntries()
		}
		reply.Topics[i] = s
	}
	return reply
}
