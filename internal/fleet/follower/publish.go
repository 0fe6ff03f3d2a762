package follower

import (
	"slices"
	"strings"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

// viewUpdate replaces the part of the view that one topic provides.
type viewUpdate func(v *samphireturn.View)

// Apply implements samphireturn.Event.
func (u viewUpdate) Apply(next *samphireturn.Snapshot) {
	view := samphireturn.View{}
	if next.View != nil {
		view = *next.View
	}
	u(&view)
	view.Synced = view.Table != nil && view.Hosts != nil && view.Rollouts != nil && view.ClosedCentres != nil
	next.View = &view
	next.Members = view.Members
}

// confirmation dates a topic of the view. It is posted after the changes that were known
// when it was made, so that no view is dated later than what it holds.
type confirmation struct {
	topic samphireturn.Topic
	at    time.Duration
}

// Apply implements samphireturn.Event.
func (c confirmation) Apply(next *samphireturn.Snapshot) {
	view := samphireturn.View{}
	if next.View != nil {
		view = *next.View
	}
	view.Confirmed[c.topic] = c.at
	next.View = &view
}

// place is where the endpoints of a pool run one after the other.
type place struct{ pool, addr string }

// publish posts the topic's part of the view.
func (f *Follower) publish(t *topic) {
	if t.name == samphireturn.TopicTable && !f.opened() {
		return
	}
	changes.Add(t.name.String(), 1)
	f.Control.Post(f.buildUpdate(t))
}

// buildUpdate builds the update of the view from the topic's entries. It runs on the
// caller's goroutine, so that Apply only assigns.
func (f *Follower) buildUpdate(t *topic) viewUpdate {
	switch t.name {
	case samphireturn.TopicTable:
		return f.table(t)
	case samphireturn.TopicHosts:
		return f.hosts(t)
	case samphireturn.TopicRollouts:
		return f.rollouts(t)
	case samphireturn.TopicClosures:
		return f.closures(t)
	}
	return f.members(t)
}

func (f *Follower) table(t *topic) viewUpdate {
	newest := f.newestTable()
	if newest != nil {
		f.Log.Info().Str("event", logger.EventTable).Int64("version", newest.Version).Int("routes", len(newest.Routes)).
			Uint64("era", t.version.Era).Uint64("source_version", t.version.Number).Send()
	}
	return func(v *samphireturn.View) { v.Table = newest }
}

func (f *Follower) hosts(t *topic) viewUpdate {
	pools := make(map[string][]*samphireturn.Host)
	leaving := 0
	expired := t.expiredPools()
	latest := t.latestStarts()
	for name, e := range t.entries {
		if e.Host == nil {
			continue
		}
		if e.Host.Started != 0 && e.Host.Started < latest[place{e.Host.Pool, e.Host.Addr}] {
			continue
		}
		if _, missing := t.missingSince[name]; missing && !expired[e.Host.Pool] {
			continue
		}
		h := e.Host
		if f.isLeaving(&e) {
			leaving++
			copied := *h
			copied.Leaving = true
			h = &copied
		}
		pools[h.Pool] = append(pools[h.Pool], h)
	}
	for _, hosts := range pools {
		slices.SortFunc(hosts, func(a, b *samphireturn.Host) int { return strings.Compare(a.ID, b.ID) })
	}
	f.Log.Info().Str("event", logger.EventHosts).Int("hosts", len(t.entries)).Int("leaving", leaving).Int("lapsed", len(t.missingSince)).
		Uint64("era", t.version.Era).Uint64("source_version", t.version.Number).Send()
	return func(v *samphireturn.View) { v.Hosts = pools }
}

// latestStarts returns when the latest endpoint of each place started. Entries of earlier ones stay
// for seconds after a crash, but whatever is sent there reaches the latest. Those of other pools
// don't count: any writer may name the address of an endpoint for a pool that does not exist.
func (t *topic) latestStarts() map[place]int64 {
	latest := make(map[place]int64)
	for _, e := range t.entries {
		if h := e.Host; h != nil {
			at := place{h.Pool, h.Addr}
			latest[at] = max(latest[at], h.Started)
		}
	}
	return latest
}

// expiredPools returns the pools whose endpoints that are missing after an outage stay in
// use: all if other daemons had the outage too, as entries expire in it. Otherwise the
// pools of which most endpoints are missing: in others the missing ones are likely to have
// left unseen, and the rest can do their work until they are listed again.
func (t *topic) expiredPools() map[string]bool {
	missing, all := make(map[string]int), make(map[string]int)
	for name, e := range t.entries {
		if e.Host == nil {
			continue
		}
		all[e.Host.Pool]++
		if _, ok := t.missingSince[name]; ok {
			missing[e.Host.Pool]++
		}
	}
	expired := make(map[string]bool)
	for pool, n := range missing {
		expired[pool] = t.shared || 2*n > all[pool]
	}
	return expired
}

func (f *Follower) rollouts(t *topic) viewUpdate {
	rollouts := f.knownRollouts(t)
	for _, r := range rollouts {
		f.Log.Info().Str("event", logger.EventRollout).Str("pool", r.Pool).Str("release", r.Release).Str("state", r.State).
			Bool("unwritten", r.Unwritten).Uint64("era", t.version.Era).Uint64("source_version", t.version.Number).Send()
	}
	return func(v *samphireturn.View) { v.Rollouts = rollouts }
}

func (f *Follower) closures(t *topic) viewUpdate {
	closed := f.closedCentres(t)
	for name := range closed {
		f.Log.Info().Str("event", logger.EventCentreClosed).Str("centre", name).Uint64("era", t.version.Era).Uint64("source_version", t.version.Number).Send()
	}
	return func(v *samphireturn.View) { v.ClosedCentres = closed }
}

func (f *Follower) members(t *topic) viewUpdate {
	// Not nil, which means that the members were not read.
	members := make([]samphireturn.VM, 0, len(t.entries))
	for _, e := range t.entries {
		if e.Member != nil {
			members = append(members, *e.Member)
		}
	}
	slices.SortFunc(members, func(a, b samphireturn.VM) int { return strings.Compare(a.ID, b.ID) })
	_, lost := t.missingSince[f.Self.ID]
	opening := f.era > 0 && !f.opened()
	return func(v *samphireturn.View) { v.Members, v.SelfLost, v.Opening = members, lost, opening }
}
