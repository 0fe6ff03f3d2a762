package judge

import (
	"fmt"
	"time"
)

const (
	// graceTail is the last part of the grace time, in which an endpoint still at work may
	// be cut off if its request was sent within lateTime of the shutdown.
	graceTail = 1 / 6.0
	lateTime  = 3 * time.Second
	// killTime is the time after the grace time in which a daemon ends.
	killTime = time.Second
	// maxDropped is the number of requests of kept connections that may be passed on to sound
	// endpoints and get no answer.
	maxDropped = 3
	// changeTime is the time after Apply in which a change of the configuration may cut
	// requests, and changeFactor how many times as often as otherwise they may be cut then.
	// A request that has used usedShare of its time may be cut.
	changeTime   = time.Second
	changeFactor = 3
	usedShare    = 0.7
)

// ended reports whether the connection of a request that was written whole to a process ended
// before the request's time, without a complete answer.
func ended(q *Request) bool {
	return !q.Left && !q.Unheard && !q.Complete && !q.WrittenAt.IsZero() && !q.EndedAt.IsZero() && q.EndedAt.Sub(q.SentAt) < q.Timeout
}

// checkLost checks that a shutdown or a SIGHUP cuts no request.
func (j *Judge) checkLost(v *violations, q *Request, runs []*Run) {
	if !ended(q) {
		return
	}
	term := j.shutdownOf(q)
	reloaded := j.reloadOf(q)
	from := q.SentAt.Add(-j.Bounds.StableWindow)
	unplanned := func(d *Disruption) bool { return d.Planned }
	if term.IsZero() && reloaded.IsZero() || j.disrupted(q.Daemon, from, q.EndedAt, unplanned) || q.Stream && j.disrupted(Core, from, q.EndedAt, nil) {
		return
	}
	if !j.sound(runs, from, q.EndedAt) {
		return
	}
	tail := term.Add(j.Bounds.Grace - time.Duration(graceTail*float64(j.Bounds.Grace)))
	if !term.IsZero() && len(runs) > 0 && q.EndedAt.After(tail) && q.SentAt.Sub(term) <= lateTime {
		return
	}
	if len(runs) == 0 && q.EndedAt.Sub(q.WrittenAt) <= j.Bounds.LossSlack {
		return
	}
	what, at := "SIGTERM", term
	if term.IsZero() {
		what, at = "SIGHUP", reloaded
	}
	v.add("lost", "%s of %s, sent %v after %s, ended %v later without an answer; runs: %d",
		q.ID, q.Daemon, q.SentAt.Sub(at), what, q.EndedAt.Sub(q.SentAt), len(runs))
}

// sound reports whether none of the runs met a fault or a disruption of its endpoint in a span.
func (j *Judge) sound(runs []*Run, from, to time.Time) bool {
	for _, r := range runs {
		if r.Fault != "" || j.disrupted(r.Slot, from, to, nil) {
			return false
		}
	}
	return true
}

// countDropped returns 1 if the request of a kept connection was passed on to a sound endpoint
// and the connection closed without an answer.
func (j *Judge) countDropped(q *Request, runs []*Run) int {
	if !ended(q) || !q.Kept || q.Status != 0 || len(runs) == 0 {
		return 0
	}
	from := q.SentAt.Add(-j.Bounds.StableWindow)
	if j.disrupted(q.Daemon, from, q.EndedAt, nil) || !j.sound(runs, from, q.EndedAt) {
		return 0
	}
	return 1
}

// checkChanges checks that a daemon cuts requests beside a change of the configuration no
// more often than otherwise.
func (j *Judge) checkChanges(v *violations, runsByID map[string][]*Run) {
	type counts struct {
		sent, cut [2]int
		// example is the last request that was cut beside a change.
		example string
	}
	byDaemon := make(map[string]*counts)
	for _, id := range j.order {
		q := j.requests[id]
		if q.EndedAt.IsZero() || !j.inTouch(q.Daemon, q.SentAt, q.EndedAt) {
			continue
		}
		if byDaemon[q.Daemon] == nil {
			byDaemon[q.Daemon] = new(counts)
		}
		n, beside := byDaemon[q.Daemon], 0
		if j.besideChange(q) {
			beside = 1
		}
		n.sent[beside]++
		used := q.EndedAt.Sub(q.SentAt).Seconds() / q.Timeout.Seconds()
		runs := runsByID[id]
		if ended(q) && used < usedShare && j.sound(runs, q.SentAt.Add(-j.Bounds.StableWindow), q.EndedAt) &&
			(len(runs) > 0 || q.EndedAt.Sub(q.WrittenAt) > j.Bounds.LossSlack) {
			n.cut[beside]++
			if beside == 1 {
				n.example = fmt.Sprintf("%s after %v, runs: %d", id, q.EndedAt.Sub(q.SentAt), len(runs))
			}
		}
	}
	for daemon, n := range byDaemon {
		if n.cut[1]*max(n.sent[0], 1) > changeFactor*n.cut[0]*n.sent[1] {
			v.add("lost", "%s cut %d of %d requests beside changes of the configuration, the last %s, and %d of %d others", daemon, n.cut[1], n.sent[1], n.example, n.cut[0], n.sent[0])
		}
	}
}

// besideChange reports whether a configuration was accepted shortly before or during a request.
func (j *Judge) besideChange(q *Request) bool {
	for _, at := range j.accepted {
		if at.Before(q.EndedAt) && q.SentAt.Before(at.Add(j.Bounds.Apply+changeTime)) {
			return true
		}
	}
	return false
}

// shutdownOf returns the time of the SIGTERM that a request met, or zero. A request that
// was sent when the process had ended met none.
func (j *Judge) shutdownOf(q *Request) (term time.Time) {
	for _, d := range j.disruptions {
		met := d.Planned && d.Machine == q.Daemon && d.From.Before(q.EndedAt) && q.EndedAt.Before(d.From.Add(j.Bounds.Grace+killTime))
		if met && (d.To.IsZero() || q.SentAt.Before(d.To)) {
			term = d.From
		}
	}
	return term
}

// reloadOf returns the time of the SIGHUP that a request met, or zero.
func (j *Judge) reloadOf(q *Request) (at time.Time) {
	for _, r := range j.reloads {
		if r.daemon == q.Daemon && r.at.Before(q.EndedAt) && q.SentAt.Before(r.at.Add(j.Bounds.Apply)) {
			at = r.at
		}
	}
	return at
}
