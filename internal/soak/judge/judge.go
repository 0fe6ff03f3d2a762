// Package judge checks the promises of a fleet by what its callers and endpoints see.
package judge

import (
	"slices"
	"sync"
	"time"

	"samphireturn/internal/standin/worker"
)

// Everything is the machine of disruptions that concern all machines, and Core that of
// disruptions of the store.
const (
	Everything = "*"
	Core       = ""
)

type (
	// Bounds are the bounds of the promises.
	Bounds struct {
		// StableWindow is how long a machine must be without disruption to be bound by
		// promises with a time.
		StableWindow time.Duration
		// Drain, Revoke, Apply and Evacuate are how long after the store accepted a change
		// requests may still be handled as before it.
		Drain, Revoke, Apply, Evacuate time.Duration
		// MaxStretch is added to Apply and Evacuate while the store forgets its history.
		MaxStretch time.Duration
		// Grace is the time from SIGTERM to SIGKILL.
		Grace time.Duration
		// Back is the time after a configuration took effect at a daemon in which it may
		// still handle requests as before it; times eight if the daemon was disrupted.
		Back time.Duration
		// LossSlack is the time after a request was written in which its connection may
		// end without an answer during a shutdown.
		LossSlack time.Duration
		// CanaryShare and CanaryExtra bound the requests to a bad release.
		CanaryShare, CanaryExtra float64
		// RetryShare and RetryExtra bound the arrivals at a pool beyond the first of each
		// request in each RetryWindow: a share of the requests, plus a number.
		RetryShare, RetryExtra float64
		RetryWindow            time.Duration
	}

	// Request is one request as its caller saw it.
	Request struct {
		ID, Daemon string
		// Process is the number of the daemon's process.
		Process                         int
		Method, Target, Body, Key, Team string
		Model, PromptPrefix, TokenCount string
		// Pool is the only pool that may run the request.
		Pool string
		// Once is true for a request that may run once at most.
		Once bool
		// Stream is true for a request that is answered with Events events, after the
		// event LastEvent.
		Stream            bool
		LastEvent, Events int
		// Cause names why the request crashes the endpoints that run it, and CauseIsPart is
		// true if that is a part of its prompt; Cause is empty if it crashes none.
		Cause       string
		CauseIsPart bool
		// CrashFault is the fault by which the endpoints crash.
		CrashFault string
		// Forbidden is true for a request that no configuration allows.
		Forbidden bool
		// MaxAttempts bounds the endpoints that may run the request.
		MaxAttempts int
		// Timeout is the earlier of the route's timeout and the caller's deadline.
		Timeout time.Duration
		// RouteVersion and KeyVersion are the only configuration that has the route or the
		// key; zero means that all have it.
		RouteVersion, KeyVersion int
		SentAt, WrittenAt        time.Time
		// EndedAt is when the answer or the connection ended, or the caller left; it is
		// zero before.
		EndedAt time.Time
		// Kept is true if the connection carried requests before.
		Kept bool
		// Unheard is true if the connection reached no process.
		Unheard bool
		// Left is true if the caller closed the connection before the end.
		Left                   bool
		Status                 int
		Seal, Encoding, Answer string
		// Complete is true if the answer was framed and ended so. Extra is true if more
		// bytes followed.
		Complete, Extra bool
	}

	// Run is one request as an endpoint saw it.
	Run struct {
		worker.Run
		// Endpoint is the id of the endpoint and Slot the name of its machine.
		Endpoint, Slot, Pool, Centre, Release string
		// Daemon is the daemon that sent the request to the endpoint, "" if unknown.
		Daemon string
	}

	// Disruption is a disruption of a machine: a daemon, an endpoint, Core or Everything.
	Disruption struct {
		Machine string
		// From and To are its first and last moment; a zero To is open.
		From, To time.Time
		// Planned is true for a shutdown by SIGTERM.
		Planned bool
		// Forgets is true if the store only loses its history.
		Forgets bool
	}

	// span is a span of time; a zero to is open.
	span struct{ from, to time.Time }

	// canary is an ordered roll-out of a bad release.
	canary struct {
		pool, release string
		span          span
	}

	// reload is a SIGHUP of a daemon.
	reload struct {
		daemon string
		at     time.Time
	}

	// Judge collects records and checks them. Set Bounds before the first call.
	Judge struct {
		Bounds Bounds

		mu          sync.Mutex
		requests    map[string]*Request
		order       []string
		runs        []Run
		disruptions []*Disruption
		left        map[string]time.Time
		closed      map[string][]span
		accepted    map[int]time.Time
		canaries    []*canary
		reloads     []reload
	}
)

// AddRequest records a request before it is sent.
func (j *Judge) AddRequest(r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.requests == nil {
		j.requests = make(map[string]*Request)
	}
	j.requests[r.ID] = &r
	j.order = append(j.order, r.ID)
}

// EndRequest replaces the record of a request by its final one.
func (j *Judge) EndRequest(r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*j.requests[r.ID] = r
}

// AddRun records a run.
func (j *Judge) AddRun(r Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

// Disrupt records the beginning of a disruption and returns the function that records
// its end.
func (j *Judge) Disrupt(d Disruption) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d.From.IsZero() {
		d.From = time.Now()
	}
	j.disruptions = append(j.disruptions, &d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.To = time.Now()
	}
}

// Leave records that the store accepted the leaving of an endpoint.
func (j *Judge) Leave(endpoint string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.left == nil {
		j.left = make(map[string]time.Time)
	}
	if _, ok := j.left[endpoint]; !ok {
		j.left[endpoint] = time.Now()
	}
}

// CloseCentre records that the store accepted the closure of a data centre and returns
// the function that records its end.
func (j *Judge) CloseCentre(centre string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed == nil {
		j.closed = make(map[string][]span)
	}
	i := len(j.closed[centre])
	j.closed[centre] = append(j.closed[centre], span{from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.closed[centre][i].to = time.Now()
	}
}

// Accept records that the store accepted a configuration. Versions increase by one.
func (j *Judge) Accept(version int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.accepted == nil {
		j.accepted = make(map[int]time.Time)
	}
	j.accepted[version] = time.Now()
}

// Reload records a SIGHUP of a daemon that is about to be sent.
func (j *Judge) Reload(daemon string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reloads = append(j.reloads, reload{daemon, time.Now()})
}

// OrderBad records the order to roll out a bad release and returns the function that
// records the end of the roll-out.
func (j *Judge) OrderBad(pool, release string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := &canary{pool: pool, release: release, span: span{from: time.Now()}}
	j.canaries = append(j.canaries, c)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		c.span.to = time.Now()
	}
}

// Served returns the number of requests sent within a span that were answered with
// success and the number of those sent and ended.
func (j *Judge) Served(daemon string, from, to time.Time) (served, ended int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.Daemon != daemon && daemon != "" || r.RouteVersion != 0 || r.KeyVersion != 0 || r.Left ||
			r.EndedAt.IsZero() || r.SentAt.Before(from) || r.SentAt.After(to) {
			continue
		}
		ended++
		if r.Complete && r.Status == success {
			served++
		}
	}
	return served, ended
}

// Counts returns the number of requests and runs so far, and that of the requests which
// daemons in touch with a stable store handled.
func (j *Judge) Counts() (requests, runs, inTouch int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, q := range j.requests {
		if !q.EndedAt.IsZero() && j.inTouch(q.Daemon, q.SentAt, q.EndedAt) {
			inTouch++
		}
	}
	return len(j.order), len(j.runs), inTouch
}

// disrupted reports whether a machine, or everything, is disrupted at some moment of a
// span. Disruptions that skip returns true for don't count.
func (j *Judge) disrupted(machine string, from, to time.Time, skip func(*Disruption) bool) bool {
	for _, d := range j.disruptions {
		if d.Machine != machine && d.Machine != Everything || skip != nil && skip(d) {
			continue
		}
		if d.From.Before(to) && (d.To.IsZero() || d.To.After(from)) {
			return true
		}
	}
	return false
}

// anyDisrupted reports whether any machine is disrupted at some moment of a span.
func (j *Judge) anyDisrupted(from, to time.Time) bool {
	return slices.ContainsFunc(j.disruptions, func(d *Disruption) bool { return d.From.Before(to) && (d.To.IsZero() || d.To.After(from)) })
}

// inTouch reports whether a daemon and the store were without disruption from
// StableWindow before a span until its end.
func (j *Judge) inTouch(daemon string, from, to time.Time) bool {
	from = from.Add(-j.Bounds.StableWindow)
	return !j.disrupted(daemon, from, to, nil) && !j.disrupted(Core, from, to, nil)
}

// bound returns the bound that holds for a daemon's handling, in a span, of a change
// accepted at a moment, and whether one holds.
func (j *Judge) bound(bound time.Duration, daemon string, accepted, from, to time.Time) (time.Duration, bool) {
	from = from.Add(-j.Bounds.StableWindow)
	if j.disrupted(daemon, from, to, nil) {
		return 0, false
	}
	if !j.disrupted(Core, from, to, nil) {
		return bound, true
	}
	return bound + j.Bounds.MaxStretch, !j.disrupted(Core, accepted, to, func(d *Disruption) bool { return d.Forgets })
}
