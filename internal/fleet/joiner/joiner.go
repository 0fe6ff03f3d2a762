// Package joiner keeps this daemon's entry in the list of members and passes the list to
// the messenger. The entry is removed as soon as a shutdown begins, so that the other
// daemons follow others and report to others before this one ends.
package joiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
)

const (
	// retryDelay is the wait before the entry is written again after a failure.
	retryDelay = 500 * time.Millisecond
	// rewriteDelay is how long the entry may take to be read after it was written: reads
	// of a daemon that starts may be seconds old.
	rewriteDelay = 4 * time.Second
	// readTime is how long after the start the list of members is awaited, which may hold
	// the entry that an earlier process of the VM wrote.
	readTime = 600 * time.Millisecond
	// checkInterval is the time between two checks of the list of members for changes, and
	// firstCheckInterval the same until there is one: a started daemon asks others for what
	// they know before it serves.
	checkInterval      = 200 * time.Millisecond
	firstCheckInterval = 10 * time.Millisecond
	// rejoinSpread is the time over which daemons spread the writes of entries that the
	// source has lost: all may have lost theirs at once, and the others drop a member whose
	// entry is missing after 1.7 s.
	rejoinSpread = 700 * time.Millisecond
	// leaveTimeout bounds the removal of the entry; an entry that is left behind does
	// little harm.
	leaveTimeout = time.Second
)

// MemberSetter takes the list of members; the messenger implements it.
type MemberSetter interface {
	SetMembers(members []samphireturn.VM)
}

// Joiner is a service. Set the exported fields before Run.
type Joiner struct {
	Source    samphireturn.Source
	Control   samphireturn.Control
	Messenger MemberSetter
	Self      samphireturn.VM
	Log       zerolog.Logger
	// Rand returns a number in [0, 1) for the spread of writes.
	Rand func() float64

	joined bool
	// keep and stopKeeping bound the time in which the entry is kept.
	keep        context.Context
	stopKeeping context.CancelFunc
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// Run starts to keep the entry and to check the members.
func (j *Joiner) Run(ctx context.Context) error {
	ctx, j.cancel = context.WithCancel(ctx)
	j.keep, j.stopKeeping = context.WithCancel(ctx)
	j.wg.Go(j.keepEntry)
	j.wg.Go(func() { j.watchMembers(ctx) })
	return nil
}

// Leave implements kernel.Leaver: the entry is removed.
func (j *Joiner) Leave() { j.stopKeeping() }

// Close removes the entry, unless Leave did, stops the joiner and waits for its
// goroutines.
func (j *Joiner) Close() error {
	j.stopKeeping()
	j.cancel()
	j.wg.Wait()
	return nil
}

// keepEntry writes the entry whenever the members lack it, until the daemon leaves, and
// then removes it.
func (j *Joiner) keepEntry() {
	wait := checkInterval
	// lost is true if the entry was found missing at the last check.
	lost := false
	for start := time.Now(); timekeeper.Sleep(j.keep, wait); {
		wait = checkInterval
		view := j.Control.Snapshot().View
		read := view != nil && view.Members != nil
		switch {
		case read && slices.Contains(view.Members, j.Self) && !view.SelfLost:
			j.joined, lost = true, false
		case read && j.joined && !lost:
			lost = true
			wait = time.Duration(j.Rand() * float64(rejoinSpread))
		case read || time.Since(start) >= readTime:
			wait = j.write(j.keep)
		}
	}
	if j.joined {
		j.removeEntry()
	}
}

// removeEntry removes the entry. The context of the other calls may have ended.
func (j *Joiner) removeEntry() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := j.Source.Leave(ctx, j.Self.ID)
	j.Log.Info().Str("event", logger.EventLeft).Err(err).Send()
}

// write writes the entry and returns the time until the next check of the members.
func (j *Joiner) write(ctx context.Context) time.Duration {
	if err := j.Source.Join(ctx, j.Self); err != nil {
		j.Log.Warn().Str("event", logger.EventJoinFailed).Err(err).Send()
		return retryDelay
	}
	j.Log.Info().Str("event", logger.EventJoined).Bool("again", j.joined).Send()
	j.joined = true
	return rewriteDelay
}

// watchMembers passes changed members to the messenger.
func (j *Joiner) watchMembers(ctx context.Context) {
	var last []samphireturn.VM
	for interval := firstCheckInterval; timekeeper.Sleep(ctx, interval); {
		snapshot := j.Control.Snapshot()
		members := snapshot.Members
		if slices.Equal(members, last) {
			continue
		}
		if interval == firstCheckInterval && snapshot.View != nil && snapshot.View.Opening {
			members = j.withoutSelf(members)
		}
		interval = checkInterval
		last = members
		j.Messenger.SetMembers(members)
		j.Log.Info().Str("event", logger.EventMembers).Int("members", len(members)).Send()
	}
}

// withoutSelf returns the members without this daemon if others are in its data centre:
// the messenger then dials them all, without waiting for those that are to dial this one.
func (j *Joiner) withoutSelf(members []samphireturn.VM) []samphireturn.VM {
	others := slices.DeleteFunc(slices.Clone(members), func(vm samphireturn.VM) bool { return vm.ID == j.Self.ID })
	inCentre := func(vm samphireturn.VM) bool { return vm.Centre == j.Self.Centre }
	if slices.ContainsFunc(others, inCentre) {
		return others
	}
	return members
}
