package claimer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphireturn"
)

const (
	// maxBatchWrites bounds the attempts to write one batch.
	maxBatchWrites = 8
	// trimInterval is the time between checks for expired windows.
	trimInterval = time.Minute
	// releasedNonceTTL is how long a released nonce is remembered. It is
	// longer than any attempt can be in flight.
	releasedNonceTTL = 5 * time.Minute
)

// shard holds the waiting claims and updates of one shard and its log.
// Claimer.mu guards all fields but log and lastTrim, which only the committing
// goroutine uses.
type shard struct {
	name   string
	claims []*pendingClaim
	// updates are the outcomes and releases that wait.
	updates []*pendingUpdate
	// running is true while a goroutine commits batches.
	running bool
	// wake ends the wait for a batch when a claim or a release arrives.
	wake chan struct{}
	// backoff is true after a failed batch: a waiting release then does not
	// shorten the delay.
	backoff bool

	log      *log
	lastTrim time.Time
	// lastBatch is when the last batch was started.
	lastBatch time.Time
}

// pendingClaim is an attempt to claim a key that waits for its batch.
type pendingClaim struct {
	record record
	// found is the claim in force for the key; if there is none, err is set.
	found record
	err   error
	// mayBeLogged is true if err is set but the record may be in the log.
	mayBeLogged bool
	done        chan struct{}
}

// pendingUpdate is an outcome or a release that waits for its batch.
type pendingUpdate struct {
	record record
	// done is closed once the record is in the log.
	done chan struct{}
}

// commitClaim adds r to the next batch of its shard and waits until that batch
// is decided. It returns the claim in force for the key. After an error,
// mayBeLogged is true if r may be in the log.
func (c *Claimer) commitClaim(ctx context.Context, name string, r record) (found record, mayBeLogged bool, err error) {
	p := &pendingClaim{record: r, done: make(chan struct{})}
	if err := c.enqueue(name, p, nil); err != nil {
		return record{}, false, err
	}
	select {
	case <-p.done:
		return p.found, p.mayBeLogged, p.err
	case <-ctx.Done():
		return record{}, true, newError("claim in shard "+name, KindUnavailable, ctx.Err())
	}
}

// commitUpdate adds an outcome or a release to a later batch of its shard. It
// waits for the commit of a release, but not for that of an outcome.
func (c *Claimer) commitUpdate(ctx context.Context, name string, r record) error {
	u := &pendingUpdate{record: r, done: make(chan struct{})}
	if err := c.enqueue(name, nil, u); err != nil || !r.Released {
		return err
	}
	select {
	case <-u.done:
		return nil
	case <-ctx.Done():
		return newError("release in shard "+name, KindUnavailable, ctx.Err())
	}
}

// enqueue adds either a claim or an update to the shard's queue and starts the
// committing goroutine if it is not running.
func (c *Claimer) enqueue(name string, p *pendingClaim, u *pendingUpdate) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	op := "claim in shard " + name
	if c.closed {
		return newError(op, KindClosed, nil)
	}
	if c.shards == nil {
		c.shards = make(map[string]*shard)
	}
	s, ok := c.shards[name]
	if !ok {
		s = &shard{name: name, wake: make(chan struct{}, 1)}
		c.shards[name] = s
	}
	limit := cmp.Or(c.MaxPending, DefaultMaxPending)
	if p != nil && len(s.claims) >= limit || u != nil && len(s.updates) >= limit {
		return newError(op, KindFull, nil)
	}
	if p != nil {
		s.claims = append(s.claims, p)
	} else {
		s.updates = append(s.updates, u)
	}
	if p != nil || u.record.Released {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	if !s.running {
		s.running = true
		c.tasks.Go(func() { c.commitBatches(s) })
	}
	return nil
}

// commitBatches commits batches of a shard until nothing waits. Updates that
// could not be committed are retried until they expire or the claimer is
// closed.
func (c *Claimer) commitBatches(s *shard) {
	for {
		c.waitForBatch(s)
		c.mu.Lock()
		claims, updates := s.claims, s.updates
		s.claims, s.updates = nil, nil
		if len(claims)+len(updates) == 0 {
			if c.home(s.name) != c.SelfID {
				s.log = nil
			}
			s.running = false
			c.mu.Unlock()
			return
		}
		s.lastBatch = c.now()
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(c.CommitTimeout, DefaultCommitTimeout))
		mayBeLogged, err := c.commitBatch(ctx, s, claims, updates)
		cancel()
		c.completeClaims(s, claims, mayBeLogged, err)
		if err == nil {
			for _, u := range updates {
				close(u.done)
			}
			continue
		}
		c.Log.Warn().Err(err).Str("shard", s.name).Int("claims", len(claims)).Msg("claims not committed")
		c.requeue(s, updates)
	}
}

// completeClaims sets the error of each claim that the batch did not decide and
// wakes all waiting callers.
func (c *Claimer) completeClaims(s *shard, claims []*pendingClaim, mayBeLogged bool, err error) {
	for _, p := range claims {
		if err != nil || p.err == nil && p.found.Nonce == ([16]byte{}) {
			p.err = newError("claim in shard "+s.name, KindUnavailable, err)
			p.mayBeLogged = mayBeLogged
		}
		close(p.done)
	}
}

// requeue puts updates back in front of those that arrived since. It drops
// expired updates and those that exceed the queue's bound.
func (c *Claimer) requeue(s *shard, updates []*pendingUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cutoff := c.expiryCutoff()
	updates = slices.DeleteFunc(updates, func(u *pendingUpdate) bool { return c.closed || u.record.Expires <= cutoff })
	room := max(0, cmp.Or(c.MaxPending, DefaultMaxPending)-len(s.updates))
	if len(updates) > room {
		refused.Add(KindFull.String(), int64(len(updates)-room))
		updates = updates[:room]
	}
	s.updates = append(updates, s.updates...)
	s.backoff = len(s.updates) > 0
}

// waitForBatch waits until a batch is worth a write: BatchDelay if a claim
// waits, or a release unless the last batch failed, and otherwise up to
// OutcomeDelay, which a new claim or release ends early. It also keeps batches
// of a busy shard BatchInterval apart, which bounds the rate of its writes.
func (c *Claimer) waitForBatch(s *shard) {
	c.mu.Lock()
	sinceLast := c.now().Sub(s.lastBatch)
	urgent := len(s.claims) > 0 || !s.backoff && slices.ContainsFunc(s.updates, func(u *pendingUpdate) bool { return u.record.Released })
	idle := len(s.claims)+len(s.updates) == 0
	s.backoff = false
	c.mu.Unlock()
	if idle {
		return
	}
	if !urgent {
		timer := time.NewTimer(cmp.Or(c.OutcomeDelay, DefaultOutcomeDelay))
		defer timer.Stop()
		select {
		case <-s.wake:
		case <-timer.C:
			return
		}
	}
	untilNext := cmp.Or(c.BatchInterval, DefaultBatchInterval) - max(sinceLast, 0)
	time.Sleep(max(cmp.Or(c.BatchDelay, DefaultBatchDelay), untilNext))
	select {
	case <-s.wake:
	default:
	}
}

// commitBatch decides every claim of a batch from the shard's log and appends
// the records that the log needs. It reads the log again and retries until one
// conditional write has taken effect. After an error the state of the log is
// unknown, so the cached log is dropped; mayBeLogged is true if a write may
// have taken effect.
func (c *Claimer) commitBatch(ctx context.Context, s *shard, claims []*pendingClaim, updates []*pendingUpdate) (mayBeLogged bool, err error) {
	if s.log != nil && c.mayBeStale(s.log, claims, updates) && !s.log.isCurrent(ctx, c.Store) {
		s.log = nil
	}
	for range maxBatchWrites {
		if s.log == nil {
			s.log, err = readLog(ctx, c.Store, Prefix+s.name+"/")
			if err != nil {
				s.log = nil
				return mayBeLogged, err
			}
		}
		c.trim(ctx, s)
		records := c.resolve(s.log, claims, updates)
		if len(records) == 0 {
			return false, nil
		}
		err = s.log.append(ctx, c.Store, records, c.now(), cmp.Or(c.WindowBytes, DefaultWindowBytes), cmp.Or(c.WindowAge, DefaultWindowAge))
		if err == nil {
			c.resolve(s.log, claims, nil)
			return false, nil
		}
		s.log = nil
		kind := samphireturn.KindOf(err)
		mayBeLogged = mayBeLogged || kind == samphireturn.KindUnknown || kind == samphireturn.KindOther
		if kind != samphireturn.KindConflict && kind != samphireturn.KindUnknown && kind != samphireturn.KindMissing {
			return mayBeLogged, err
		}
		retries.Add(kind.String(), 1)
	}
	return mayBeLogged, err
}

// mayBeStale reports whether the cached log could give a wrong result if
// another daemon has written since it was read. This holds if a key has an
// earlier claim without an outcome, or if an update belongs to a claim that the
// log lacks.
func (c *Claimer) mayBeStale(l *log, claims []*pendingClaim, updates []*pendingUpdate) bool {
	cutoff := c.expiryCutoff()
	hasOpenClaim := slices.ContainsFunc(claims, func(p *pendingClaim) bool {
		found, ok := l.find(p.record.Key, cutoff)
		return ok && !found.Done
	})
	return hasOpenClaim || slices.ContainsFunc(updates, func(u *pendingUpdate) bool {
		_, known := l.isResolved(u.record, cutoff)
		return !known
	})
}

// resolve sets the result of the claims that the log already decides and
// returns the records to append: first the outcomes and releases that the log
// lacks, then the first attempt for each free key.
func (c *Claimer) resolve(l *log, claims []*pendingClaim, updates []*pendingUpdate) []record {
	cutoff := c.expiryCutoff()
	var records []record
	releasing := make(map[[16]byte]bool)
	for _, u := range updates {
		if resolved, _ := l.isResolved(u.record, cutoff); resolved || releasing[u.record.Nonce] {
			continue
		}
		r := u.record
		if r.Released {
			r.Expires = min(r.Expires, c.now().Add(releasedNonceTTL).Unix())
		}
		records = append(records, r)
		releasing[r.Nonce] = r.Released
	}
	count := len(l.claims) + len(l.releasedNonces)
	claimed := make(map[[32]byte]bool)
	for _, p := range claims {
		p.found, p.err = record{}, nil
		found, ok := l.find(p.record.Key, cutoff)
		_, released := l.releasedNonces[p.record.Nonce]
		switch {
		case released || releasing[p.record.Nonce]:
			p.err = newError("claim", KindUnavailable, nil)
		case ok && !releasing[found.Nonce]:
			p.found = found
		case claimed[p.record.Key]:
		case count >= cmp.Or(c.MaxClaims, DefaultMaxClaims):
			p.err = newError("claim", KindFull, nil)
		default:
			claimed[p.record.Key] = true
			records = append(records, p.record)
			count++
		}
	}
	return records
}

// trim removes expired windows and claims, at most once in trimInterval.
func (c *Claimer) trim(ctx context.Context, s *shard) {
	now := c.now()
	if now.Sub(s.lastTrim) < trimInterval {
		return
	}
	s.lastTrim = now
	s.log.trim(ctx, c.Store, c.expiryCutoff())
}

// expiryCutoff returns the time, in seconds since 1970 UTC, such that claims
// with an expiry at or before it can be forgotten.
func (c *Claimer) expiryCutoff() int64 {
	return c.now().Add(-cmp.Or(c.MaxClockSkew, DefaultMaxClockSkew)).Unix()
}
