package claimer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphireturn"
)

const (
	// maxTries bounds the writes of one batch.
	maxTries = 8
	// trimEvery is the time between looks for expired windows.
	trimEvery = time.Minute
	// freedLife is the time that a released nonce is remembered, longer than an
	// attempt is under way.
	freedLife = 5 * time.Minute
)

// shard is the part of a claimer that commits one shard's claims. The
// claimer's mu guards all but log and trimmed, which belong to the goroutine
// that commits.
type shard struct {
	name     string
	attempts []*attempt
	// finished are the outcomes and releases that wait.
	finished []*ending
	// running is true while a goroutine commits batches.
	running bool
	// soon ends the wait for a batch when an attempt comes.
	soon chan struct{}
	// wait is true after a batch that failed.
	wait bool

	log     *log
	trimmed time.Time
	// begun is when the last batch was begun.
	begun time.Time
}

// attempt is one claim that waits for its batch.
type attempt struct {
	record record
	// found is the key's claim in force; err says why there is none.
	found record
	err   error
	// doubt is true after an err if the record may be in the log.
	doubt bool
	done  chan struct{}
}

// ending is an outcome or a release that waits for its batch.
type ending struct {
	record record
	// done is closed once the log has it.
	done chan struct{}
}

// commit puts r into the next batch of its shard and waits for it.
func (c *Claimer) commit(ctx context.Context, name string, r record) (found record, doubt bool, err error) {
	a := &attempt{record: r, done: make(chan struct{})}
	if err := c.enqueue(name, a, nil); err != nil {
		return record{}, false, err
	}
	select {
	case <-a.done:
		return a.found, a.doubt, a.err
	case <-ctx.Done():
		return record{}, true, refuse("claim in shard "+name, KindUnavailable, ctx.Err())
	}
}

// finish puts an outcome into a later batch of its shard, or a release into the
// next, for which it waits.
func (c *Claimer) finish(ctx context.Context, name string, r record) error {
	e := &ending{record: r, done: make(chan struct{})}
	if err := c.enqueue(name, nil, e); err != nil || !r.Freed {
		return err
	}
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return refuse("release in shard "+name, KindUnavailable, ctx.Err())
	}
}

// enqueue adds an attempt or an outcome to a shard and starts its goroutine.
func (c *Claimer) enqueue(name string, a *attempt, e *ending) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	op := "claim in shard " + name
	if c.closed {
		return refuse(op, KindClosed, nil)
	}
	if c.shards == nil {
		c.shards = make(map[string]*shard)
	}
	s, ok := c.shards[name]
	if !ok {
		s = &shard{name: name, soon: make(chan struct{}, 1)}
		c.shards[name] = s
	}
	limit := cmp.Or(c.Batch, DefaultBatch)
	if a != nil && len(s.attempts) >= limit || e != nil && len(s.finished) >= limit {
		return refuse(op, KindFull, nil)
	}
	if a != nil {
		s.attempts = append(s.attempts, a)
	} else {
		s.finished = append(s.finished, e)
	}
	if a != nil || e.record.Freed {
		select {
		case s.soon <- struct{}{}:
		default:
		}
	}
	if !s.running {
		s.running = true
		c.tasks.Go(func() { c.serve(s) })
	}
	return nil
}

// serve commits batches of a shard until nothing waits. Outcomes and releases
// that could not be committed are tried again, until they expire or the claimer
// closes.
func (c *Claimer) serve(s *shard) {
	for {
		c.gather(s)
		c.mu.Lock()
		attempts, finished := s.attempts, s.finished
		s.attempts, s.finished = nil, nil
		if len(attempts)+len(finished) == 0 {
			if c.home(s.name) != c.Self {
				s.log = nil
			}
			s.running = false
			c.mu.Unlock()
			return
		}
		s.begun = c.now()
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(c.Wait, DefaultWait))
		doubt, err := c.decide(ctx, s, attempts, finished)
		cancel()
		c.answer(s, attempts, doubt, err)
		if err == nil {
			for _, e := range finished {
				close(e.done)
			}
			continue
		}
		c.Log.Warn().Err(err).Str("shard", s.name).Int("claims", len(attempts)).Msg("claims not committed")
		c.postpone(s, finished)
	}
}

// answer wakes the attempts of a batch.
func (c *Claimer) answer(s *shard, attempts []*attempt, doubt bool, err error) {
	for _, a := range attempts {
		if err != nil || a.err == nil && a.found.Nonce == ([16]byte{}) {
			a.err = refuse("claim in shard "+s.name, KindUnavailable, err)
			a.doubt = doubt
		}
		close(a.done)
	}
}

// postpone puts outcomes and releases back before those that came since.
func (c *Claimer) postpone(s *shard, finished []*ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.forgotten()
	finished = slices.DeleteFunc(finished, func(e *ending) bool { return c.closed || e.record.Expires <= now })
	room := max(0, cmp.Or(c.Batch, DefaultBatch)-len(s.finished))
	if len(finished) > room {
		refused.Add(KindFull.String(), int64(len(finished)-room))
		finished = finished[:room]
	}
	s.finished = append(finished, s.finished...)
	s.wait = len(s.finished) > 0
}

// gather waits until a batch is worth its write: shortly for an attempt or a
// release, longer if only outcomes wait or the last batch failed. Batches of a
// busy shard keep their spacing, so that its writes have a bound.
func (c *Claimer) gather(s *shard) {
	c.mu.Lock()
	since := c.now().Sub(s.begun)
	hurry := len(s.attempts) > 0 || !s.wait && slices.ContainsFunc(s.finished, func(e *ending) bool { return e.record.Freed })
	idle := len(s.attempts)+len(s.finished) == 0
	s.wait = false
	c.mu.Unlock()
	if idle {
		return
	}
	if !hurry {
		timer := time.NewTimer(cmp.Or(c.Finishing, DefaultFinish))
		defer timer.Stop()
		select {
		case <-s.soon:
		case <-timer.C:
			return
		}
	}
	rest := cmp.Or(c.Spacing, DefaultSpacing) - max(since, 0)
	time.Sleep(max(cmp.Or(c.Gather, DefaultGather), rest))
	select {
	case <-s.soon:
	default:
	}
}

// decide settles every attempt by the shard's log, which it reads anew and
// writes until one conditional write has taken effect. After an error the log's
// state is not known, so it is dropped; doubt is true if a write may have taken
// effect.
func (c *Claimer) decide(ctx context.Context, s *shard, attempts []*attempt, finished []*ending) (doubt bool, err error) {
	if s.log != nil && c.doubtful(s.log, attempts, finished) && !s.log.current(ctx, c.Store) {
		s.log = nil
	}
	for range maxTries {
		if s.log == nil {
			s.log, err = read(ctx, c.Store, Prefix+s.name+"/")
			if err != nil {
				s.log = nil
				return doubt, err
			}
		}
		c.trim(ctx, s)
		records := c.settle(s.log, attempts, finished)
		if len(records) == 0 {
			return false, nil
		}
		err = s.log.append(ctx, c.Store, records, c.now(), cmp.Or(c.WindowSize, DefaultWindowSize), cmp.Or(c.WindowAge, DefaultWindowAge))
		if err == nil {
			c.settle(s.log, attempts, nil)
			return false, nil
		}
		s.log = nil
		kind := samphireturn.KindOf(err)
		doubt = doubt || kind == samphireturn.KindUnknown || kind == samphireturn.KindOther
		if kind != samphireturn.KindConflict && kind != samphireturn.KindUnknown && kind != samphireturn.KindMissing {
			return doubt, err
		}
		retries.Add(kind.String(), 1)
	}
	return doubt, err
}

// doubtful reports whether an answer may be out of date if another daemon has
// written since the log was read: a claim whose end is not known, or an outcome
// of a claim that the log lacks.
func (c *Claimer) doubtful(l *log, attempts []*attempt, finished []*ending) bool {
	now := c.forgotten()
	open := slices.ContainsFunc(attempts, func(a *attempt) bool {
		found, ok := l.find(a.record.Key, now)
		return ok && !found.Done
	})
	return open || slices.ContainsFunc(finished, func(e *ending) bool {
		_, known := l.ended(e.record, now)
		return !known
	})
}

// settle answers the attempts that the log decides and returns the records to
// append: outcomes and releases not yet there, and then the first attempt of
// each free key.
func (c *Claimer) settle(l *log, attempts []*attempt, finished []*ending) []record {
	now := c.forgotten()
	var records []record
	released := make(map[[16]byte]bool)
	for _, e := range finished {
		if ended, _ := l.ended(e.record, now); ended || released[e.record.Nonce] {
			continue
		}
		r := e.record
		if r.Freed {
			r.Expires = min(r.Expires, c.now().Add(freedLife).Unix())
		}
		records = append(records, r)
		released[r.Nonce] = r.Freed
	}
	count := len(l.claims) + len(l.freed)
	taken := make(map[[32]byte]bool)
	for _, a := range attempts {
		a.found, a.err = record{}, nil
		found, ok := l.find(a.record.Key, now)
		_, freed := l.freed[a.record.Nonce]
		switch {
		case freed || released[a.record.Nonce]:
			a.err = refuse("claim", KindUnavailable, nil)
		case ok && !released[found.Nonce]:
			a.found = found
		case taken[a.record.Key]:
		case count >= cmp.Or(c.Limit, DefaultLimit):
			a.err = refuse("claim", KindFull, nil)
		default:
			taken[a.record.Key] = true
			records = append(records, a.record)
			count++
		}
	}
	return records
}

// trim removes what has expired, now and then.
func (c *Claimer) trim(ctx context.Context, s *shard) {
	now := c.now()
	if now.Sub(s.trimmed) < trimEvery {
		return
	}
	s.trimmed = now
	s.log.trim(ctx, c.Store, c.forgotten())
}

// forgotten returns the expiry, in seconds since 1970 UTC, of claims that may
// now be forgotten.
func (c *Claimer) forgotten() int64 {
	return c.now().Add(-cmp.Or(c.Slack, DefaultSlack)).Unix()
}
