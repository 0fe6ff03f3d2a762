package follower

import (
	"context"
	"slices"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
)

const (
	// openingTime bounds the time from the start in which a daemon waits for what others
	// keep, before it serves by what the source holds alone: a restarted daemon must serve
	// within a quarter of a second.
	openingTime = 200 * time.Millisecond
	// openingInterval is the time between two rounds of polls meanwhile.
	openingInterval = 25 * time.Millisecond
)

// opened reports whether the table is published: the source has no eras, or a daemon that
// serves has told what it keeps, or there is none. The caller holds mu.
func (f *Follower) opened() bool {
	return f.isOpen || f.Peers == nil || f.era == 0 && f.topics[samphireturn.TopicTable].listed
}

// openLoop polls others until one that serves has answered, at most for openingTime, and
// then publishes the table. A source that has no eras needs no answer.
func (f *Follower) openLoop(ctx context.Context) {
	polls, cancel := context.WithTimeout(ctx, openingTime)
	defer cancel()
	for !f.heard() && timekeeper.Sleep(polls, openingInterval) {
		if f.listedAll() {
			f.pollCandidates(polls)
		}
	}
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Log.Info().Str("event", logger.EventOpened).Bool("heard", f.isOpen).Dur("took", f.Clock()-f.startedAt).Send()
	f.isOpen = true
	if f.era > 0 && f.topics[samphireturn.TopicTable].listed {
		f.publish(&f.topics[samphireturn.TopicTable])
	}
}

// listedAll reports whether all topics were read from the source, so that the answers to
// polls are short.
func (f *Follower) listedAll() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.topics[:], func(t topic) bool { return !t.listed })
}

// heard reports whether the daemon need not wait any more.
func (f *Follower) heard() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened()
}
