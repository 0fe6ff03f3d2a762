package claimer

import (
	"context"
	"time"

	"samphireturn"
)

const (
	// maxTries bounds the writes of one batch.
	maxTries = 8
	// trimEvery is the time between looks for expired windows.
	trimEvery = time.Minute
)

// shard is the part of a claimer that commits one shard's claims. The
// claimer's mu guards all but log and trimmed, which belong to the goroutine
// that commits.
type shard struct {
	name     string
	attempts []*attempt
	finished []record
	// running is true while a goroutine commits batches.
	running bool
	// soon ends the wait for a batch when an attempt comes.
	soon chan struct{}

	log     *log
	trimmed time.Time
}

// attempt is one claim that waits for its batch.
type attempt struct {
	record record
	// found is the key's claim in force; err says why there is none.
	found record
	err   error
	done  chan struct{}
}

// commit puts r into the next batch of its shard and waits for it.
func (c *Claimer) commit(ctx context.Context, name string, r record) (record, error) {
	a := &attempt{record: r, done: make(chan struct{})}
	if err := c.enqueue(name, a, nil); err != nil {
		return record{}, err
	}
	select {
	case <-a.done:
		return a.found, a.err
	case <-ctx.Done():
		return record{}, refuse("claim in shard "+name, KindUnavailable, ctx.Err())
	}
}

// finish puts an outcome into a later batch of its shard.
func (c *Claimer) finish(name string, r record) error {
	return c.enqueue(name, nil, &r)
}

// enqueue adds an attempt or an outcome to a shard and starts its goroutine.
func (c *Claimer) enqueue(name string, a *attempt, finished *record) error {
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
	limit := or(c.Batch, DefaultBatch)
	if a != nil && len(s.attempts) >= limit || finished != nil && len(s.finished) >= limit {
		return refuse(op, KindFull, nil)
	}
	if a != nil {
		s.attempts = append(s.attempts, a)
		select {
		case s.soon <- struct{}{}:
		default:
		}
	} else {
		s.finished = append(s.finished, *finished)
	}
	if !s.running {
		s.running = true
		c.tasks.Go(func() { c.serve(s) })
	}
	return nil
}

// serve commits batches of a shard until nothing waits.
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
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), orTime(c.Wait, DefaultWait))
		err := c.decide(ctx, s, attempts, finished)
		cancel()
		for _, a := range attempts {
			if err != nil || a.err == nil && a.found.Nonce == ([16]byte{}) {
				a.err = refuse("claim in shard "+s.name, KindUnavailable, err)
			}
			close(a.done)
		}
		if err != nil {
			c.Log.Warn().Err(err).Str("shard", s.name).Int("claims", len(attempts)).Msg("claims not committed")
		}
	}
}

// gather waits until a batch is worth its write: shortly for an attempt, longer
// if only outcomes wait.
func (c *Claimer) gather(s *shard) {
	c.mu.Lock()
	none := len(s.attempts) == 0
	idle := none && len(s.finished) == 0
	c.mu.Unlock()
	if idle {
		return
	}
	if none {
		timer := time.NewTimer(orTime(c.Finishing, DefaultFinish))
		defer timer.Stop()
		select {
		case <-s.soon:
		case <-timer.C:
			return
		}
	}
	time.Sleep(orTime(c.Gather, DefaultGather))
	select {
	case <-s.soon:
	default:
	}
}

// decide settles every attempt by the shard's log, which it reads anew and
// writes until one conditional write has taken effect. After an error the log's
// state is not known, so it is dropped.
func (c *Claimer) decide(ctx context.Context, s *shard, attempts []*attempt, finished []record) error {
	var err error
	for range maxTries {
		if s.log == nil {
			s.log, err = read(ctx, c.Store, Prefix+s.name+"/")
			if err != nil {
				s.log = nil
				return err
			}
		}
		c.trim(ctx, s)
		records := c.settle(s.log, attempts, finished)
		if len(records) == 0 {
			return nil
		}
		err = s.log.append(ctx, c.Store, records, c.now(), or(c.WindowSize, DefaultWindowSize), orTime(c.WindowAge, DefaultWindowAge))
		if err == nil {
			c.settle(s.log, attempts, nil)
			return nil
		}
		s.log = nil
		kind := samphireturn.KindOf(err)
		if kind != samphireturn.KindConflict && kind != samphireturn.KindUnknown && kind != samphireturn.KindMissing {
			return err
		}
		retries.Add(kind.String(), 1)
	}
	return err
}

// settle answers the attempts that the log decides and returns the records to
// append: the first attempt of each free key, and outcomes not yet there.
func (c *Claimer) settle(l *log, attempts []*attempt, finished []record) []record {
	now := c.forgotten()
	var records []record
	count := len(l.claims)
	taken := make(map[[32]byte]bool)
	for _, a := range attempts {
		a.found, a.err = record{}, nil
		found, ok := l.find(a.record.Key, now)
		switch {
		case ok:
			a.found = found
		case taken[a.record.Key]:
		case count >= or(c.Limit, DefaultLimit):
			a.err = refuse("claim", KindFull, nil)
		default:
			taken[a.record.Key] = true
			records = append(records, a.record)
			count++
		}
	}
	for _, r := range finished {
		if found, ok := l.find(r.Key, now); ok && found.Nonce == r.Nonce && !found.Done {
			records = append(records, r)
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
	return c.now().Add(-orTime(c.Slack, DefaultSlack)).Unix()
}
