package isolator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
)

// StartCheck reports whether the caller should find out if an endpoint has crashed: an answer
// of it ended without success lately. The caller must call FinishCheck then.
func (o *Isolator) StartCheck(h *samphireturn.Host) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if _, ok := o.checking[h.ID]; ok || !slices.ContainsFunc(o.candidates[h.ID], func(c candidate) bool { return now-c.endedAt < candidateTime }) {
		return false
	}
	o.checking[h.ID] = &check{began: now, lostAt: math.MaxInt64}
	return true
}

// Undecided records that an endpoint under check may have crashed, which can't be told yet from a
// cut of the network. The check goes on.
func (o *Isolator) Undecided(h *samphireturn.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record(h, undecided)
	o.update(o.clock())
}

// FinishCheck ends the check of an endpoint and records whether its process had ended when the
// check began. If it had not, as far as this daemon can tell, the answers that were lost had another
// cause; they are kept as doubted, since another daemon may know better.
func (o *Isolator) FinishCheck(h *samphireturn.Host, crashed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer delete(o.checking, h.ID)
	if !crashed {
		o.doubt(h)
		return
	}
	for _, id := range o.checking[h.ID].undecided {
		if c := o.crashes[id]; c != nil {
			o.confirm(c)
		}
	}
	candidates := o.record(h, confirmed)
	now := o.clock()
	o.update(now)
	o.logSpared(candidates, now)
}

// doubt records the lost answers of an endpoint under check as doubted crashes. Those that this daemon
// gave up stay candidates: the endpoint may still crash by them. The caller holds mu.
func (o *Isolator) doubt(h *samphireturn.Host) {
	var lost, abandoned []candidate
	for _, c := range o.candidates[h.ID] {
		if c.lost {
			lost = append(lost, c)
		} else {
			abandoned = append(abandoned, c)
		}
	}
	o.candidates[h.ID] = lost
	o.record(h, doubted)
	if len(abandoned) > 0 {
		o.candidates[h.ID] = abandoned
	}
	o.update(o.clock())
}

// record adds the crashes of the candidates of an endpoint under check and returns them. The
// caller holds mu.
func (o *Isolator) record(h *samphireturn.Host, how certainty) []candidate {
	ch := o.checking[h.ID]
	candidates := slices.DeleteFunc(o.candidates[h.ID], func(c candidate) bool { return ch.began-c.endedAt >= candidateTime })
	delete(o.candidates, h.ID)
	ch.lostAt = min(ch.lostAt, firstLoss(candidates))
	for _, c := range candidates {
		if c.sentAt > ch.lostAt {
			// It found the process gone.
			continue
		}
		id := rand.Uint64()
		added := &crash{
			Crash: Crash{ID: id, Endpoint: h.ID, Keys: c.keys, Ran: c.ran.Microseconds()}, at: c.endedAt, counted: c.endedAt, certainty: how, own: &c,
		}
		o.addCrash(added)
		if how == undecided {
			ch.undecided = append(ch.undecided, id)
		}
		o.logCrash(added)
	}
	return candidates
}

// logCrash logs and counts an observation of this daemon.
func (o *Isolator) logCrash(c *crash) {
	line := o.log.Warn()
	switch c.certainty {
	case doubted:
		// The check has logged that it is not confirmed.
		return
	case undecided:
		line = line.Str("event", logger.EventCrashUndecided)
	default:
		line = line.Str("event", logger.EventEndpointCrashed)
		meter.CountCrash(false)
	}
	line.Str("endpoint", c.Endpoint).Bool("begun", c.own.begun).Bool("lost", c.own.lost).Any("keys", c.Keys).Send()
}

// confirm marks a crash as one that is known not to be a cut. The caller holds mu.
func (o *Isolator) confirm(c *crash) {
	if c.certainty == confirmed {
		return
	}
	o.changes++
	c.certainty, c.change = confirmed, o.changes
	o.tellSuccesses(c.Keys)
	if c.own != nil {
		o.logCrash(c)
	}
}

// firstLoss returns when the first of some answers was lost, or the latest time if none was.
func firstLoss(candidates []candidate) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		if c.lost {
			first = min(first, c.endedAt)
		}
	}
	return first
}
