// Package joiner keeps this daemon's entry in the list of members and passes the list to
// the messenger.
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
	// checkInterval is the time between two checks of the list of members for changes.
	checkInterval = 200 * time.Millisecond
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

	joined bool
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Run starts to write the entry and to check the members.
func (j *Joiner) Run(ctx context.Context) error {
	ctx, j.cancel = context.WithCancel(ctx)
	j.wg.Go(func() { j.join(ctx) })
	j.wg.Go(func() { j.watchMembers(ctx) })
	return nil
}

// Close stops the joiner, waits for its goroutines and removes the entry.
func (j *Joiner) Close() error {
	j.cancel()
	j.wg.Wait()
	if !j.joined {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := j.Source.Leave(ctx, j.Self.ID)
	j.Log.Info().Str("event", logger.EventLeft).Err(err).Send()
	return nil
}

// join writes the entry until a write succeeds.
func (j *Joiner) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := j.Source.Join(ctx, j.Self)
		if err == nil {
			j.joined = true
			j.Log.Info().Str("event", logger.EventJoined).Send()
			return
		}
		j.Log.Warn().Str("event", logger.EventJoinFailed).Err(err).Send()
		timekeeper.Sleep(ctx, retryDelay)
	}
}

// watchMembers passes changed members to the messenger.
func (j *Joiner) watchMembers(ctx context.Context) {
	var last []samphireturn.VM
	for timekeeper.Sleep(ctx, checkInterval) {
		members := j.Control.Snapshot().Members
		if slices.Equal(members, last) {
			continue
		}
		last = members
		j.Messenger.SetMembers(members)
		j.Log.Info().Str("event", logger.EventMembers).Int("members", len(members)).Send()
	}
}
