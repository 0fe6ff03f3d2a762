package follower

import (
	"time"

	"samphireturn"
)

type (
	// keptMessage carries what a daemon keeps to another one. It is merged with what that
	// one keeps, in any order, any number of times.
	keptMessage struct {
		Hosts    []hostMessage       `cbor:"1,keyasint,omitempty"`
		Closures []closureMessage    `cbor:"2,keyasint,omitempty"`
		Rollouts []rolloutMessage    `cbor:"3,keyasint,omitempty"`
		Table    *samphireturn.Table `cbor:"4,keyasint,omitempty"`
	}

	hostMessage struct {
		ID      string                `cbor:"1,keyasint"`
		Started int64                 `cbor:"2,keyasint,omitempty"`
		Since   samphireturn.Revision `cbor:"3,keyasint"`
		// Left is how much longer the endpoint is kept, in milliseconds.
		Left int64 `cbor:"4,keyasint"`
	}

	closureMessage struct {
		Name string `cbor:"1,keyasint"`
		// Left is how much longer the closure is kept, in milliseconds.
		Left int64 `cbor:"2,keyasint"`
	}

	rolloutMessage struct {
		Rollout samphireturn.Rollout  `cbor:"1,keyasint"`
		Since   samphireturn.Revision `cbor:"2,keyasint"`
		// Left is how much longer the roll-out is kept, in milliseconds.
		Left int64 `cbor:"3,keyasint"`
	}

	// peerLag is what a peer lacks of what this daemon keeps.
	peerLag struct{ kept, table bool }
)

// message returns what is kept, apart from the table.
func (k *keptState) message(now time.Duration) *keptMessage {
	m := new(keptMessage)
	left := func(until time.Duration) int64 { return (until - now).Milliseconds() }
	for id, h := range k.hosts {
		m.Hosts = append(m.Hosts, hostMessage{ID: id, Started: h.started, Since: h.since, Left: left(h.until)})
	}
	for name, until := range k.closures {
		m.Closures = append(m.Closures, closureMessage{Name: name, Left: left(until)})
	}
	for _, r := range k.rollouts {
		m.Rollouts = append(m.Rollouts, rolloutMessage{Rollout: r.Rollout, Since: r.since, Left: left(r.until)})
	}
	return m
}

// tableVersion returns the version of the newest table; zero if there is none. The caller
// holds mu.
func (f *Follower) tableVersion() int64 {
	if table := f.newestTable(); table != nil {
		return table.Version
	}
	return 0
}

// noteLag records what a peer lacks by its reply, which has been merged. The caller holds
// mu.
func (f *Follower) noteLag(id string, reply *pollReply) {
	lag := peerLag{
		kept:  reply.KeptHash != f.kept.hash(),
		table: reply.Topics[samphireturn.TopicTable].Age >= 0 && reply.TableVersion < f.tableVersion(),
	}
	if f.era == 0 || lag == (peerLag{}) {
		delete(f.lags, id)
		return
	}
	f.lags[id] = lag
}

// messageTo returns what a peer lacks by its last reply; nil if it lacks nothing. The
// caller holds mu.
func (f *Follower) messageTo(id string) *keptMessage {
	lag, ok := f.lags[id]
	if !ok {
		return nil
	}
	m := f.kept.message(f.Clock())
	if lag.table {
		m.Table = f.newestTable()
	}
	return m
}

// replyTo returns what a poller lacks of what is kept; nil if it lacks nothing. A table
// that is not just kept travels with its topic. The caller holds mu.
func (f *Follower) replyTo(request *pollRequest) *keptMessage {
	kept := request.KeptHash != f.kept.hash()
	table := f.kept.table != nil && f.kept.table.Version > request.TableVersion
	if !kept && !table {
		return nil
	}
	m := f.kept.message(f.Clock())
	if table {
		m.Table = f.kept.table
	}
	return m
}

// mergeKept adds what another daemon keeps, unless m is nil. The caller holds mu.
func (f *Follower) mergeKept(m *keptMessage) {
	if m == nil {
		return
	}
	if m.Table != nil && m.Table.Version > f.tableVersion() {
		f.kept.table = m.Table
		f.publish(&f.topics[samphireturn.TopicTable])
	}
	before := f.kept.hash()
	now := f.Clock()
	until := func(left int64) time.Duration {
		return now + min(time.Duration(left)*time.Millisecond, keptTime)
	}
	for _, h := range m.Hosts {
		if old, ok := f.kept.hosts[h.ID]; h.Left > 0 && (!ok || h.Started > old.started) {
			f.kept.hosts[h.ID] = keptHost{started: h.Started, since: h.Since, until: until(h.Left)}
		}
	}
	for _, c := range m.Closures {
		if c.Left > 0 {
			f.kept.closures[c.Name] = max(f.kept.closures[c.Name], until(c.Left))
		}
	}
	for _, r := range m.Rollouts {
		k := keptRollout{Rollout: r.Rollout, since: r.Since, until: until(r.Left)}
		old, ok := f.kept.rollouts[k.Pool]
		if (!ok || k.supersedes(&old)) && (r.Left > 0 || f.unwritten(&k.Rollout)) {
			f.kept.rollouts[k.Pool] = k
		}
	}
	if f.kept.hash() == before {
		return
	}
	for _, name := range [...]samphireturn.Topic{samphireturn.TopicHosts, samphireturn.TopicClosures, samphireturn.TopicRollouts} {
		f.publish(&f.topics[name])
	}
	f.wakePolls()
}
