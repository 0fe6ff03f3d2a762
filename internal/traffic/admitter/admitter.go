// Package admitter applies the limits of teams: concurrent requests and tokens
// a minute.
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
	// KindConcurrent says that the team has too many requests under way.
	KindConcurrent Kind = iota
	// KindTokens says that the team has used its tokens for now.
	KindTokens
)

const (
	// concurrentWait is the wait told to a team at its concurrent limit while the
	// length of its requests is not known.
	concurrentWait = time.Second
	// minWait is the shortest wait told to a team at its concurrent limit.
	minWait = 100 * time.Millisecond
	// lengthDecay is the part of the mean length that each request replaces.
	lengthDecay = 1.0 / 8
	minute      = 60.0 // seconds
)

var refusals = expvar.NewMap("admitter_refusal")

// Kind classifies an Error.
type Kind int

// String returns the kind as a counter's name.
func (k Kind) String() string {
	if k == KindConcurrent {
		return "concurrent"
	}
	return "tokens"
}

// Error is a refusal. The request has not run.
type Error struct {
	Op   string
	Kind Kind
	// RetryAfter is when the limit is expected to allow the request.
	RetryAfter time.Duration
}

// Error returns the operation and the limit that refused.
func (e *Error) Error() string {
	return e.Op + ": limit of " + e.Kind.String() + " reached"
}

// Admitter keeps the use of each team in this daemon. Set Now before the first
// call. The zero value is ready to use.
type Admitter struct {
	// Now replaces the clock; nil means time.Now.
	Now func() time.Time

	mu    sync.Mutex
	teams map[string]*use
}

// use is what one team has under way and may still spend.
type use struct {
	running []*Ticket
	// length is the decayed mean length of the team's requests; zero if unknown.
	length time.Duration
	tokens float64
	filled time.Time
}

// Ticket is an admitted request. Close it once the request is over.
type Ticket struct {
	a        *Admitter
	team     string
	estimate int
	began    time.Time
}

// Admit admits a request of about the given number of tokens. Scale multiplies
// the team's limits; zero means 1. Errors are of type *Error.
func (a *Admitter) Admit(team *samphireturn.Team, scale float64, tokens int) (*Ticket, error) {
	if scale == 0 {
		scale = 1
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.use(team.Name)
	limit := int(math.Ceil(float64(team.MaxConcurrent) * scale))
	if limit > 0 && len(u.running) >= limit {
		return nil, refuse(team, KindConcurrent, u.wait(a.now(), len(u.running)-limit+1))
	}
	rate := float64(team.TokensPerMinute) * scale
	if rate > 0 && tokens > 0 {
		a.fill(u, rate)
		if missing := math.Min(float64(tokens), rate) - u.tokens; missing > 0 {
			wait := time.Duration(missing / rate * minute * float64(time.Second))
			return nil, refuse(team, KindTokens, wait)
		}
		u.tokens -= float64(tokens)
	}
	t := &Ticket{a: a, team: team.Name, estimate: tokens, began: a.now()}
	u.running = append(u.running, t)
	return t, nil
}

// Close ends the request, which used the given number of tokens, and corrects
// the team's account.
func (t *Ticket) Close(used int) {
	t.a.mu.Lock()
	defer t.a.mu.Unlock()
	u := t.a.use(t.team)
	if i := slices.Index(u.running, t); i >= 0 {
		u.running = slices.Delete(u.running, i, i+1)
	}
	took := t.a.now().Sub(t.began)
	if u.length == 0 {
		u.length = took
	}
	u.length += time.Duration(lengthDecay * float64(took-u.length))
	u.tokens += float64(t.estimate - used)
}

// wait returns when so many of the running requests are expected to have ended.
// One that runs for longer than usual is expected to end after half the usual
// time.
func (u *use) wait(now time.Time, ends int) time.Duration {
	if u.length == 0 {
		return concurrentWait
	}
	left := make([]time.Duration, 0, len(u.running))
	for _, t := range u.running {
		rest := u.length - now.Sub(t.began)
		if rest <= 0 {
			rest = u.length / 2
		}
		left = append(left, rest)
	}
	slices.Sort(left)
	return max(left[ends-1], minWait)
}

// now tells the time.
func (a *Admitter) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

// use returns the record of a team, made when first asked for.
func (a *Admitter) use(team string) *use {
	if a.teams == nil {
		a.teams = make(map[string]*use)
	}
	u, ok := a.teams[team]
	if !ok {
		u = &use{tokens: math.Inf(1)}
		a.teams[team] = u
	}
	return u
}

// fill adds the tokens earned since the last call, up to one minute's worth.
func (a *Admitter) fill(u *use, rate float64) {
	now := a.now()
	if !u.filled.IsZero() {
		u.tokens += now.Sub(u.filled).Seconds() * rate / minute
	}
	u.filled = now
	u.tokens = math.Min(u.tokens, rate)
}

// refuse counts and returns a refusal.
func refuse(team *samphireturn.Team, kind Kind, wait time.Duration) *Error {
	refusals.Add(kind.String(), 1)
	return &Error{Op: "admit team " + team.Name, Kind: kind, RetryAfter: wait}
}
