// Package joiner keeps the entry of a daemon in the list of members and tells the
// messenger of the others.
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
	// retryTime is the wait before the entry is written again after a failure.
	retryTime = 500 * time.Millisecond
	// lookTime is the period in which the members are compared.
	lookTime = 200 * time.Millisecond
	// leaveTime bounds the removal of the entry; a leftover does little harm.
	leaveTime = time.Second
)

// Linker is told of the members.
type Linker interface {
	SetMembers(members []samphireturn.VM)
}

// Joiner is a service. Set the exported fields before Run.
type Joiner struct {
	Source  samphireturn.Source
	Control samphireturn.Control
	Links   Linker
	Self    samphireturn.VM
	Log     zerolog.Logger

	joined bool
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// Run starts to join.
func (j *Joiner) Run(ctx context.Context) error {
	ctx, j.cancel = context.WithCancel(ctx)
	j.wait.Go(func() { j.join(ctx) })
	j.wait.Go(func() { j.look(ctx) })
	return nil
}

// Close stops, waits and removes the entry.
func (j *Joiner) Close() error {
	j.cancel()
	j.wait.Wait()
	if !j.joined {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	err := j.Source.Leave(ctx, j.Self.ID)
	j.Log.Info().Str("event", logger.EventLeft).Err(err).Send()
	return nil
}

// join writes the entry until that is known to have worked.
func (j *Joiner) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := j.Source.Join(ctx, j.Self)
		if err == nil {
			j.joined = true
			j.Log.Info().Str("event", logger.EventJoined).Send()
			return
		}
		j.Log.Warn().Str("event", logger.EventJoinFailed).Err(err).Send()
		timekeeper.Sleep(ctx, retryTime)
	}
}

// look tells the messenger of changes.
func (j *Joiner) look(ctx context.Context) {
	var last []samphireturn.VM
	for timekeeper.Sleep(ctx, lookTime) {
		members := j.Control.Snapshot().Members
		if slices.Equal(members, last) {
			continue
		}
		last = members
		j.Links.SetMembers(members)
		j.Log.Info().Str("event", logger.EventMembers).Int("members", len(members)).Send()
	}
}
