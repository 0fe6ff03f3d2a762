package judge

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphireturn/internal/standin/formatter"
)

const (
	success = http.StatusOK
	// maxGone, maxBudget and maxDenied are the numbers of requests with which the
	// promises on callers that leave, attempts and denials may not be kept; deniedShare
	// is added to maxDenied as a part of all requests.
	maxGone, maxBudget, maxDenied = 3, 3, 5
	// partCrashes and requestCrashes are the numbers of crashes by a part of prompts and by a
	// request after which maxCrashing more requests with it may reach endpoints.
	partCrashes, requestCrashes, maxCrashing = 5, 3, 3
	deniedShare                              = 1 / 500.0
	// minNeighbours is the number of sound requests beside such ones, and in calm, from which on
	// those must run at neighbourShare of the rate of these.
	minNeighbours  = 20
	neighbourShare = 0.5
	// goneTime is the time after a caller left in which its request may still reach an
	// endpoint.
	goneTime = 500 * time.Millisecond
	// lateAnswerTime is the time after its timeout in which a request must be answered;
	// it is broken by minLate requests that are more than lateShare of those that reached
	// their timeout.
	lateAnswerTime = 500 * time.Millisecond
	minLate        = 8
	lateShare      = 0.25
	// slowedFactor multiplies the time in which a disrupted daemon may go back.
	slowedFactor = 8
	// maxViolations bounds the violations of one check that are listed.
	maxViolations = 5
)

// violations collects the texts of violations by check.
type violations struct {
	texts  []string
	counts map[string]int
}

func (v *violations) add(check, format string, args ...any) {
	if v.counts == nil {
		v.counts = make(map[string]int)
	}
	v.counts[check]++
	if v.counts[check] <= maxViolations {
		v.texts = append(v.texts, check+": "+fmt.Sprintf(format, args...))
	}
}

// Violations checks all records and returns a text for each broken promise.
func (j *Judge) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var v violations
	runsByID := make(map[string][]*Run)
	for i := range j.runs {
		r := &j.runs[i]
		runsByID[r.ID] = append(runsByID[r.ID], r)
		j.checkRun(&v, r)
	}
	tooMany, denied, dropped := 0, 0, 0
	var gone []string
	for _, id := range j.order {
		r := j.requests[id]
		runs := runsByID[id]
		j.checkRuns(&v, r, runs)
		if late := j.arrivedGone(r, runs); late > 0 {
			gone = append(gone, fmt.Sprintf("%s of %s %v", r.ID, r.Daemon, late))
		}
		tooMany += j.countTooMany(r, runs)
		if r.EndedAt.IsZero() {
			continue
		}
		if isDenied(r) {
			denied++
		}
		checkAnswer(&v, r)
		j.checkRoute(&v, r)
		j.checkLost(&v, r, runs)
		dropped += j.countDropped(r, runs)
	}
	if len(gone) > maxGone {
		v.add("gone", "%d requests reached an endpoint over %v after their callers had left: %s", len(gone), goneTime, strings.Join(gone[:maxGone+1], ", "))
	}
	if tooMany > maxBudget {
		v.add("budget", "%d requests ran on more endpoints than their routes allow", tooMany)
	}
	if limit := maxDenied + deniedShare*float64(len(j.order)); float64(denied) > limit {
		v.add("denied", "%d requests were denied that every configuration allows", denied)
	}
	if dropped > maxDropped {
		v.add("lost", "%d requests of kept connections were passed on to sound endpoints and their connections closed without an answer", dropped)
	}
	j.checkChanges(&v, runsByID)
	j.checkRetries(&v)
	j.checkPauses(&v)
	j.checkDeadlines(&v, runsByID)
	j.checkCanaries(&v)
	j.checkCrashes(&v)
	j.checkNeighbours(&v, runsByID)
	j.checkLateAnswers(&v)
	j.checkBack(&v, runsByID)
	return v.texts
}

// checkRun checks what an endpoint received against what the caller sent, and when.
func (j *Judge) checkRun(v *violations, r *Run) {
	q := j.requests[r.ID]
	if q == nil {
		v.add("unasked", "%s ran %q, which no caller sent", r.Endpoint, r.ID)
		return
	}
	h := r.Header
	got := []string{r.Method, r.Target, r.Body, r.Team, r.Model, h.Get(formatter.PromptPrefix), h.Get(formatter.TokenCount), r.Key}
	want := []string{q.Method, q.Target, q.Body, q.Team, q.Model, q.PromptPrefix, q.TokenCount, ""}
	if q.Model == "*" && (r.Model == "small" || r.Model == "large") {
		got[4] = q.Model
	}
	for i := range got {
		if got[i] != want[i] {
			v.add("unasked", "%s ran %s with %q instead of %q", r.Endpoint, r.ID, got[i], want[i])
		}
	}
	for _, name := range []string{formatter.Hold, formatter.Pin, formatter.Backup, formatter.MemoryFrom} {
		if h.Get(name) != "" {
			v.add("unasked", "%s ran %s with the caller's header %s", r.Endpoint, r.ID, name)
		}
	}
	if r.NotExecuted && h.Get(formatter.ExpectInstance) != r.Endpoint {
		return
	}
	if !r.NotExecuted && r.Pool != q.Pool {
		v.add("route", "%s of pool %s ran %s, which is for %s", r.Endpoint, r.Pool, r.ID, q.Pool)
	}
	j.checkLeft(v, q, r)
	for _, s := range j.closed[r.Centre] {
		if !s.to.IsZero() && r.ReceivedAt.After(s.to) || j.heldUp(r) {
			continue
		}
		bound, ok := j.bound(j.Bounds.Evacuate, q.Daemon, s.from, q.SentAt, r.ReceivedAt)
		if late := r.ReceivedAt.Sub(s.from); ok && late > bound {
			v.add("evac", "%s of %s reached %s %v after the closure of %s", r.ID, q.Daemon, r.Endpoint, late, r.Centre)
		}
	}
}

// checkLeft checks that a request doesn't reach an endpoint that has left.
func (j *Judge) checkLeft(v *violations, q *Request, r *Run) {
	left, ok := j.left[r.Endpoint]
	if !ok || j.heldUp(r) || j.disrupted(Core, left.Add(-j.Bounds.StableWindow), left, nil) || !j.inTouch(q.Daemon, q.SentAt, r.ReceivedAt) {
		return
	}
	if late := r.ReceivedAt.Sub(left); late > j.Bounds.Drain {
		v.add("drain", "%s of %s reached %s %v after it left", r.ID, q.Daemon, r.Endpoint, late)
	}
}

// heldUp reports whether a run may have been late because its endpoint was disrupted.
func (j *Judge) heldUp(r *Run) bool {
	return j.disrupted(r.Slot, r.ReceivedAt.Add(-j.Bounds.StableWindow), r.ReceivedAt, nil)
}

// checkNeighbours checks that requests that share all but the part that crashes endpoints with
// requests that have it run as often as before, once these are known.
func (j *Judge) checkNeighbours(v *violations, runsByID map[string][]*Run) {
	type counts struct{ sent, ran int }
	for cause, s := range j.crashSpans() {
		var calm, beside counts
		for _, id := range j.order {
			q := j.requests[id]
			if !q.sharesRoute(s.route) || q.EndedAt.IsZero() || !j.inTouch(q.Daemon, q.SentAt, q.EndedAt) {
				continue
			}
			n := &beside
			if !j.anyDisrupted(q.SentAt.Add(-j.Bounds.StableWindow), q.EndedAt) {
				n = &calm
			} else if q.SentAt.Before(s.from) || q.SentAt.After(s.to) {
				continue
			}
			n.sent++
			if runs := runsByID[id]; len(runs) > 0 && !runs[0].NotExecuted {
				n.ran++
			}
		}
		if min(calm.sent, beside.sent) >= minNeighbours && float64(beside.ran*calm.sent) < neighbourShare*float64(calm.ran*beside.sent) {
			v.add("lost", "%d of %d sound requests ran at the first attempt beside requests with %s, and %d of %d in calm", beside.ran, beside.sent, cause, calm.ran, calm.sent)
		}
	}
}

// crashSpan is the time in which requests with a part that crashes endpoints come although that
// is known.
type crashSpan struct {
	span
	// route is the request that crashed an endpoint first.
	route *Request
}

// crashSpans returns the spans of the parts that crash endpoints.
func (j *Judge) crashSpans() map[string]crashSpan {
	spans := make(map[string]crashSpan)
	crashed := make(map[string]map[string]bool)
	for i := range j.runs {
		r := &j.runs[i]
		q := j.requests[r.ID]
		if q == nil || !q.CauseIsPart || r.NotExecuted || len(crashed[q.Cause]) == partCrashes {
			continue
		}
		if crashed[q.Cause] == nil {
			crashed[q.Cause] = make(map[string]bool)
		}
		crashed[q.Cause][r.Endpoint] = true
		s := spans[q.Cause]
		if s.route == nil {
			s.route = q
		}
		s.from = r.ReceivedAt.Add(2 * j.Bounds.StableWindow)
		spans[q.Cause] = s
	}
	for _, q := range j.requests {
		if s, ok := spans[q.Cause]; ok && q.SentAt.After(s.to) {
			s.to = q.SentAt
			spans[q.Cause] = s
		}
	}
	return spans
}

// sharesRoute reports whether a request that crashes no endpoint shares the route, the key and
// the model with another one.
func (r *Request) sharesRoute(other *Request) bool {
	return other != nil && r.Cause == "" && r.Key == other.Key && r.Model == other.Model && r.Stream == other.Stream && firstSegment(r.Target) == firstSegment(other.Target)
}

// firstSegment returns the first segment of the path of a target.
func firstSegment(target string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	return first
}

// checkCrashes checks that requests that crash endpoints are not sent for ever.
func (j *Judge) checkCrashes(v *violations) {
	byCause := make(map[string][]*Run)
	for i := range j.runs {
		r := &j.runs[i]
		if q := j.requests[r.ID]; q != nil && q.Cause != "" && !r.NotExecuted {
			byCause[q.Cause] = append(byCause[q.Cause], r)
		}
	}
	for cause, runs := range byCause {
		slices.SortFunc(runs, func(a, b *Run) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		allowed := requestCrashes
		if j.requests[runs[0].ID].CauseIsPart {
			allowed = partCrashes
		}
		crashed := make(map[string]bool)
		var last time.Time
		late := 0
		for _, r := range runs {
			q := j.requests[r.ID]
			if len(crashed) >= allowed && r.ReceivedAt.Sub(last) > j.Bounds.StableWindow && j.inTouch(q.Daemon, q.SentAt, r.ReceivedAt) {
				late++
			}
			if len(crashed) < allowed && !crashed[r.Endpoint] {
				crashed[r.Endpoint], last = true, r.ReceivedAt
			}
		}
		if late > maxCrashing {
			v.add("crashes", "%d requests reached endpoints after %d had crashed by %s", late, len(crashed), cause)
		}
	}
}

// checkRuns checks the runs of one request together.
func (j *Judge) checkRuns(v *violations, q *Request, runs []*Run) {
	executed := 0
	for _, r := range runs {
		if !r.NotExecuted {
			executed++
		}
	}
	if q.Once && executed > 1 {
		v.add("twice", "%s ran %d times", q.ID, executed)
	}
	if executed == 0 {
		return
	}
	if q.Forbidden {
		v.add("route", "%s of %s ran at %s, which no configuration allows", q.ID, q.Daemon, runs[0].Endpoint)
	}
	switch q.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if q.Once {
			v.add("refused", "%s was answered %d and ran at %s", q.ID, q.Status, runs[0].Endpoint)
		}
	}
	if next, ok := j.accepted[q.KeyVersion+1]; ok && q.KeyVersion > 0 {
		if late := q.SentAt.Sub(next); late > j.Bounds.Revoke {
			v.add("revoke", "%s of %s ran, sent %v after the removal of its key", q.ID, q.Daemon, late)
		}
	}
	if next, ok := j.accepted[q.RouteVersion+1]; ok && q.RouteVersion > 0 {
		bound, ok := j.bound(j.Bounds.Apply, q.Daemon, next, q.SentAt, q.EndedAt)
		if late := q.SentAt.Sub(next); ok && late > bound {
			v.add("config", "%s of %s ran, sent %v after the removal of its route", q.ID, q.Daemon, late)
		}
	}
}

// arrivedGone returns how long after its caller had left the request reached an endpoint, 0 if
// that is allowed.
func (j *Judge) arrivedGone(q *Request, runs []*Run) time.Duration {
	for _, r := range runs {
		if late := r.ReceivedAt.Sub(q.EndedAt); q.Left && late > goneTime && !j.heldUp(r) && j.inTouch(q.Daemon, q.SentAt, r.ReceivedAt) {
			return late
		}
	}
	return 0
}

// countTooMany returns 1 if the request ran on more endpoints than its route allows.
func (j *Judge) countTooMany(q *Request, runs []*Run) int {
	n := 0
	for _, r := range runs {
		if !r.NotExecuted && !j.disrupted(r.Slot, r.ReceivedAt, r.ReceivedAt.Add(q.Timeout), nil) {
			n++
		}
	}
	if n > q.MaxAttempts {
		return 1
	}
	return 0
}

// isDenied reports whether a request that every configuration allows was denied.
func isDenied(q *Request) bool {
	switch q.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
		return false
	}
	return q.Status >= 300 && q.Status < 500 && q.KeyVersion == 0 && q.RouteVersion == 0 && !q.Forbidden
}

// checkAnswer checks that an answer is the whole answer of one endpoint to this request.
func checkAnswer(v *violations, q *Request) {
	if q.Extra {
		v.add("mixed", "%s: bytes followed its answer", q.ID)
	}
	endpoint, sealed := strings.CutPrefix(q.Seal, "seal.")
	switch {
	case q.Status >= 200 && q.Status < 300:
		if !sealed || q.Encoding != "" {
			v.add("mixed", "%s: answer %d with seal %q and encoding %q", q.ID, q.Status, q.Seal, q.Encoding)
		}
		if q.Stream {
			checkEvents(v, q)
			return
		}
		if whole := "answer of " + endpoint + " to " + q.ID; q.Complete && q.Answer != whole || !strings.HasPrefix(whole, q.Answer) {
			v.add("mixed", "%s: answer %q instead of %q", q.ID, q.Answer, whole)
		}
	case sealed && q.Status != http.StatusInternalServerError && q.Status != http.StatusServiceUnavailable:
		v.add("mixed", "%s: sealed answer %d, which no endpoint gives", q.ID, q.Status)
	}
}

// checkEvents checks that the events of a stream are in order, each once, and that a
// stream that ends well is whole.
func checkEvents(v *violations, q *Request) {
	rest, next := q.Answer, q.LastEvent+1
	for {
		event, after, ok := strings.Cut(rest, "\n\n")
		if !ok {
			break
		}
		if want := Event(next, q.ID); event+"\n\n" != want {
			v.add("order", "%s: event %q instead of %q", q.ID, event, want)
			return
		}
		rest = after
		next++
	}
	if q.Complete && (rest != "" || next != q.Events+1) {
		v.add("order", "%s ended as complete before event %d of %d, with %q", q.ID, next, q.Events, rest)
	}
}

// Event returns the text of an event of the stream that answers a request.
func Event(n int, id string) string {
	return "id: " + strconv.Itoa(n) + "\ndata: piece " + strconv.Itoa(n) + " of " + id + "\n\n"
}

// checkRoute checks that a route is there once its configuration is in force.
func (j *Judge) checkRoute(v *violations, q *Request) {
	added, ok := j.accepted[q.RouteVersion]
	if !ok || q.Status != http.StatusNotFound {
		return
	}
	if next, ok := j.accepted[q.RouteVersion+1]; ok && !q.EndedAt.Before(next) {
		return
	}
	bound, ok := j.bound(j.Bounds.Apply, q.Daemon, added, q.SentAt, q.EndedAt)
	if late := q.SentAt.Sub(added); ok && late > bound {
		v.add("config", "%s of %s was answered 404, sent %v after its route was added", q.ID, q.Daemon, late)
	}
}

// checkLateAnswers checks that requests which reach their timeout are answered soon
// after.
func (j *Judge) checkLateAnswers(v *violations) {
	reached, late := 0, 0
	for _, q := range j.requests {
		took := q.EndedAt.Sub(q.SentAt)
		if q.Stream || q.Left || q.EndedAt.IsZero() || took < q.Timeout || !j.inTouch(q.Daemon, q.SentAt, q.EndedAt) {
			continue
		}
		reached++
		if took > q.Timeout+lateAnswerTime {
			late++
		}
	}
	if late >= minLate && float64(late) > lateShare*float64(reached) {
		v.add("timeout", "%d of %d requests had no answer %v after their timeout", late, reached, lateAnswerTime)
	}
}

// effect is the first run that shows a configuration in force at a process.
type effect struct {
	version int
	at      time.Time
}

// versionOf returns the only configuration that allows a request, or 0.
func versionOf(q *Request) int { return max(q.RouteVersion, q.KeyVersion) }

// checkBack checks that no process of a daemon goes back to an older configuration.
func (j *Judge) checkBack(v *violations, runsByID map[string][]*Run) {
	type process struct {
		daemon string
		number int
	}
	effects := make(map[process][]effect)
	for _, id := range j.order {
		q := j.requests[id]
		for _, r := range runsByID[id] {
			if p := (process{q.Daemon, q.Process}); versionOf(q) > 0 && !r.NotExecuted {
				effects[p] = append(effects[p], effect{versionOf(q), r.ReceivedAt})
			}
		}
	}
	for _, id := range j.order {
		q := j.requests[id]
		version, denied := versionOf(q), q.Status == http.StatusNotFound || q.Status == http.StatusUnauthorized
		if version == 0 || q.EndedAt.IsZero() || !denied && len(runsByID[id]) == 0 {
			continue
		}
		next, replaced := j.accepted[version+1]
		for _, e := range effects[process{q.Daemon, q.Process}] {
			bound := j.Bounds.Back
			if j.disrupted(q.Daemon, e.at.Add(-j.Bounds.StableWindow), q.EndedAt, nil) {
				bound *= slowedFactor
			}
			older := !denied && version < e.version
			lost := denied && version == e.version && (!replaced || q.EndedAt.Before(next))
			if late := q.SentAt.Sub(e.at); late > bound && (older || lost) {
				v.add("back", "%s of %s, sent %v after configuration %d took effect, was handled by an older one", q.ID, q.Daemon, late, e.version)
				break
			}
		}
	}
}

// checkCanaries checks the part of the requests that bad releases got.
func (j *Judge) checkCanaries(v *violations) {
	for _, c := range j.canaries {
		all, bad := 0, 0
		for i := range j.runs {
			r := &j.runs[i]
			if r.Pool != c.pool || r.ReceivedAt.Before(c.span.from) || !c.span.to.IsZero() && r.ReceivedAt.After(c.span.to) {
				continue
			}
			all++
			q := j.requests[r.ID]
			if r.Release == c.release && q != nil && j.inTouch(q.Daemon, q.SentAt, r.ReceivedAt) {
				bad++
			}
		}
		if float64(bad) > j.Bounds.CanaryShare*float64(all)+j.Bounds.CanaryExtra {
			v.add("exposure", "the bad release %s got %d of %d requests", c.release, bad, all)
		}
	}
}
