package judge

import (
	"slices"
	"strconv"
	"time"

	"samphireturn/internal/standin/formatter"
)

const (
	// maxPaused is the number of requests that may reach an endpoint from a daemon which it
	// asked for a pause, from pauseSlack after that until the end of the pause.
	maxPaused  = 2
	pauseSlack = 500 * time.Millisecond
	// maxStale is the number of requests that may be passed on with too much time, and
	// staleShare the part of them and of the late retries that may. staleSlack is the time by
	// which one must differ to count, and after which a retry is late.
	maxStale   = 20
	staleShare = 0.2
	staleSlack = 500 * time.Millisecond
)

// poolTimes holds the times of the requests for a pool, and of the arrivals at its endpoints
// beyond the first of each request, both in ascending order.
type poolTimes struct{ requests, retries []time.Time }

// timesByPool returns the times of all pools.
func (j *Judge) timesByPool() map[string]*poolTimes {
	pools := make(map[string]*poolTimes)
	of := func(pool string) *poolTimes {
		if pools[pool] == nil {
			pools[pool] = new(poolTimes)
		}
		return pools[pool]
	}
	for _, q := range j.requests {
		p := of(q.Pool)
		p.requests = append(p.requests, q.SentAt)
	}
	first := make(map[string]time.Time)
	for i := range j.runs {
		r := &j.runs[i]
		at, seen := first[r.ID]
		if !seen || r.ReceivedAt.Before(at) {
			first[r.ID] = r.ReceivedAt
		}
		if q := j.requests[r.ID]; seen && q != nil {
			p := of(q.Pool)
			p.retries = append(p.retries, maxTime(at, r.ReceivedAt))
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.requests, time.Time.Compare)
		slices.SortFunc(p.retries, time.Time.Compare)
	}
	return pools
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// count returns the number of times within a span.
func count(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return last - first
}

// retryUse is the use of the retry bound of a pool in one window.
type retryUse struct {
	retries, requests int
	limit             float64
	from              time.Time
}

func (u retryUse) share() float64 { return float64(u.retries) / u.limit }

// retryUse returns the use of the bound in the window that begins at a moment. Of the requests
// in it, in the window before and in the one half a window before, the most count.
func (j *Judge) retryUse(p *poolTimes, from time.Time) retryUse {
	length := j.Bounds.RetryWindow
	u := retryUse{retries: count(p.retries, from, from.Add(length)), from: from}
	for _, back := range []time.Duration{0, length / 2, length} {
		u.requests = max(u.requests, count(p.requests, from.Add(-back), from.Add(length-back)))
	}
	u.limit = j.Bounds.RetryShare*float64(u.requests) + j.Bounds.RetryExtra
	return u
}

// peakUse returns the window in which most of the bound of a pool is used. Each window with
// retries may be moved until it begins or ends with one.
func (j *Judge) peakUse(p *poolTimes) (peak retryUse) {
	for _, at := range p.retries {
		for _, from := range []time.Time{at, at.Add(1 - j.Bounds.RetryWindow)} {
			if u := j.retryUse(p, from); peak.limit == 0 || u.share() > peak.share() {
				peak = u
			}
		}
	}
	return peak
}

// RetryPeak returns the greatest part of the retry bound that was used at any pool in any
// window; 0 if there were no retries.
func (j *Judge) RetryPeak() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	peak := 0.0
	for _, p := range j.timesByPool() {
		if len(p.retries) > 0 {
			peak = max(peak, j.peakUse(p).share())
		}
	}
	return peak
}

// checkRetries checks the retries of each window.
func (j *Judge) checkRetries(v *violations) {
	for pool, p := range j.timesByPool() {
		if len(p.retries) == 0 {
			continue
		}
		if u := j.peakUse(p); float64(u.retries) > u.limit {
			v.add("retries", "%d retries to %s in %v from %s on, %d requests; %.0f allowed",
				u.retries, pool, j.Bounds.RetryWindow, u.from.Format("15:04:05.000"), u.requests, u.limit)
		}
	}
}

// checkPauses checks that a daemon which was asked for a pause keeps it. A daemon that was
// disrupted since then may not know of it.
func (j *Judge) checkPauses(v *violations) {
	type pair struct{ endpoint, daemon string }
	byPair := make(map[pair][]*Run)
	for i := range j.runs {
		r := &j.runs[i]
		if r.Daemon == "" {
			continue
		}
		byPair[pair{r.Endpoint, r.Daemon}] = append(byPair[pair{r.Endpoint, r.Daemon}], r)
	}
	for p, runs := range byPair {
		for _, asking := range runs {
			seconds, err := strconv.ParseFloat(asking.Pause, 64)
			if err != nil {
				continue
			}
			from := asking.ReceivedAt
			end := from.Add(time.Duration(seconds * float64(time.Second)))
			sent := 0
			for _, r := range runs {
				if r.ReceivedAt.After(from.Add(pauseSlack)) && r.ReceivedAt.Before(end) && !j.disrupted(p.daemon, from, r.ReceivedAt, nil) &&
					!j.disrupted(r.Slot, from, r.ReceivedAt, nil) {
					sent++
				}
			}
			if sent > maxPaused {
				v.add("pause", "%s sent %d requests to %s in the %s s of a pause from %s on", p.daemon, sent, p.endpoint, asking.Pause, from.Format("15:04:05.000"))
				break
			}
		}
	}
}

// checkDeadlines checks that endpoints are not given more time than the caller has left.
func (j *Judge) checkDeadlines(v *violations, runsByID map[string][]*Run) {
	stale, counted := 0, 0
	example := ""
	for _, id := range j.order {
		q := j.requests[id]
		if q.Stream {
			continue
		}
		runs := slices.SortedFunc(slices.Values(runsByID[id]), func(a, b *Run) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		for _, r := range runs {
			if !j.inTouch(q.Daemon, q.SentAt, r.ReceivedAt) || j.heldUp(r) {
				continue
			}
			late := r.ReceivedAt.Sub(runs[0].ReceivedAt) > staleSlack
			isStale := tooLong(q, runs[0], r, late)
			if isStale {
				stale++
				example = id + " with " + strconv.Quote(r.Header.Get(formatter.Deadline)) + " ms"
			}
			if isStale || late {
				counted++
			}
		}
	}
	if stale > maxStale && float64(stale) > staleShare*float64(counted) {
		v.add("deadline", "%d of %d requests were passed on with too much time, the last %s", stale, counted, example)
	}
}

// tooLong reports whether a run was given more time than its caller has left: more than the
// caller's deadline, or, at a late retry, until after the end of the first and of the caller's
// time.
func tooLong(q *Request, first, r *Run, late bool) bool {
	left, ok := deadlineOf(r)
	if !ok || left > q.Timeout+staleSlack {
		return true
	}
	firstLeft, _ := deadlineOf(first)
	end := r.ReceivedAt.Add(left - staleSlack)
	return late && end.After(first.ReceivedAt.Add(firstLeft)) && end.After(q.SentAt.Add(q.Timeout))
}

// deadlineOf returns the time that a run was given.
func deadlineOf(r *Run) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(r.Header.Get(formatter.Deadline), 64)
	return time.Duration(ms * float64(time.Millisecond)), err == nil
}
