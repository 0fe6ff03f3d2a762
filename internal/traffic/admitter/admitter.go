// Package admitter applies the limits of teams: concurrent requests and tokens per
// minute.
package admitter

import (
	"expvar"
	"math"
	"slices"
	"sync"
	"time"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindConcurrent means that the team has too many requests in flight.
	KindConcurrent Kind = iota
	// KindTokens means that the team's token budget is used up for now.
	KindTokens
)

const (
	// defaultConcurrentWait is the wait returned to a team at its concurrency limit
	// while the duration of its requests is unknown.
	defaultConcurrentWait = time.Second
	// minConcurrentWait is the shortest wait returned to a team at that limit.
	minConcurrentWait = 100 * time.Millisecond
	// durationWeight is the weight of each new request in the mean duration.
	durationWeight   = 1.0 / 8
	secondsPerMinute = 60.0 // seconds
)

var refusals = expvar.NewMap("admitter_refusal")

// Kind classifies an Error.
type Kind int

// String returns the name of the kind's counter.
func (k Kind) String() string {
	if k == KindConcurrent {
		return "concurrent"
	}
	return "tokens"
}

// Error is a refusal. The request has not been executed.
type Error struct {
	Op   string
	Kind Kind
	// RetryAfter is the time until the limit is expected to allow the request.
	RetryAfter time.Duration
}

// Error returns the operation and the limit that refused.
func (e *Error) Error() string {
	return e.Op + ": limit of " + e.Kind.String() + " reached"
}

// Admitter tracks the usage of each team in this daemon. Set Now before the first
// call. The zero value is ready to use.
type Admitter struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time

	mu    sync.Mutex
	teams map[string]*usage
}

// usage holds one team's requests in flight and its token bucket.
type usage struct {
	inFlight []*Admission
	// meanDuration is the decayed mean duration of the team's requests; zero if
	// unknown.
	meanDuration time.Duration
	tokens       float64
	refilledAt   time.Time
}

// Admission is an admitted request. The caller must close it once the request is over.
type Admission struct {
	a               *Admitter
	team            string
	estimatedTokens int
	startedAt       time.Time
}

// Admit admits a request of about the given number of tokens. Scale multiplies the
// team's limits; zero means 1. Errors are of type *Error.
func (a *Admitter) Admit(team *samphireturn.Team, scale float64, tokens int) (*Admission, error) {
	if scale == 0 {
		scale = 1
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.usage(team.Name)
	limit := int(math.Ceil(float64(team.MaxConcurrent) * scale))
	if limit > 0 && len(u.inFlight) >= limit {
		return nil, refuse(team, KindConcurrent, u.retryAfter(a.now(), len(u.inFlight)-limit+1))
	}
	rate := float64(team.TokensPerMinute) * scale
	if rate > 0 && tokens > 0 {
		a.refill(u, rate)
		if missing := math.Min(float64(tokens), rate) - u.tokens; missing > 0 {
			wait := time.Duration(missing / rate * secondsPerMinute * float64(time.Second))
			return nil, refuse(team, KindTokens, wait)
		}
		u.tokens -= float64(tokens)
	}
	ad := &Admission{a: a, team: team.Name, estimatedTokens: tokens, startedAt: a.now()}
	u.inFlight = append(u.inFlight, ad)
	return ad, nil
}

// Close ends the request, which used the given number of tokens, and corrects the
// team's token bucket by the difference from the estimate.
func (ad *Admission) Close(used int) {
	ad.a.mu.Lock()
	defer ad.a.mu.Unlock()
	u := ad.a.usage(ad.team)
	if i := slices.Index(u.inFlight, ad); i >= 0 {
		u.inFlight = slices.Delete(u.inFlight, i, i+1)
	}
	took := ad.a.now().Sub(ad.startedAt)
	if u.meanDuration == 0 {
		u.meanDuration = took
	}
	u.meanDuration += time.Duration(durationWeight * float64(took-u.meanDuration))
	u.tokens += float64(ad.estimatedTokens - used)
}

// retryAfter returns the time until n of the requests in flight are expected to have
// ended. A request that already exceeds the mean duration is expected to end after
// another half of it.
func (u *usage) retryAfter(now time.Time, n int) time.Duration {
	if u.meanDuration == 0 {
		return defaultConcurrentWait
	}
	remaining := make([]time.Duration, 0, len(u.inFlight))
	for _, ad := range u.inFlight {
		rest := u.meanDuration - now.Sub(ad.startedAt)
		if rest <= 0 {
			rest = u.meanDuration / 2
		}
		remaining = append(remaining, rest)
	}
	slices.Sort(remaining)
	return max(remaining[n-1], minConcurrentWait)
}

// now returns the time on the Admitter's clock.
func (a *Admitter) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

// usage returns the usage of a team, creating it if it is missing.
func (a *Admitter) usage(team string) *usage {
	if a.teams == nil {
		a.teams = make(map[string]*usage)
	}
	u, ok := a.teams[team]
	if !ok {
		u = &usage{tokens: math.Inf(1)}
		a.teams[team] = u
	}
	return u
}

// refill adds the tokens earned since the last call, up to one minute's worth.
func (a *Admitter) refill(u *usage, rate float64) {
	now := a.now()
	if !u.refilledAt.IsZero() {
		u.tokens += now.Sub(u.refilledAt).Seconds() * rate / secondsPerMinute
	}
	u.refilledAt = now
	u.tokens = math.Min(u.tokens, rate)
}

// refuse counts and returns a refusal.
func refuse(team *samphireturn.Team, kind Kind, wait time.Duration) *Error {
	refusals.Add(kind.String(), 1)
	return &Error{Op: "admit team " + team.Name, Kind: kind, RetryAfter: wait}
}
