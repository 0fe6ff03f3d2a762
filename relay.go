package samphireturn

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"
)

// Kinds of work. The kind decides whether a request may be retried.
const (
	// WorkOnce runs at most once per request.
	WorkOnce WorkKind = iota
	// WorkRepeatable is idempotent and may run any number of times.
	WorkRepeatable
	// WorkStream is answered by a series of numbered events.
	WorkStream
)

// Topics of a Source.
const (
	TopicTable Topic = iota
	TopicHosts
	TopicRollouts
	TopicClosures
	TopicMembers
	// TopicCount is the number of topics.
	TopicCount
)

// States of a roll-out.
const (
	RolloutOrdered    = ""
	RolloutRunning    = "running"
	RolloutDone       = "done"
	RolloutRolledBack = "rolled_back"
)

type (
	// WorkKind is the kind of work that a route carries.
	WorkKind int

	// Topic is a kind of entry that a Source holds.
	Topic int

	// Table is an accepted routing table. It is immutable once published.
	Table struct {
		// Version grows with each accepted table, not always by one.
		Version int64
		Routes  []Route
		Pools   []Pool
		Limits  Limits
		Teams   []TeamCredentials `cbor:"Holders"`
	}

	// Route maps the requests of an HTTP host and a path prefix to pools.
	Route struct {
		Name, Host, Prefix string
		Work               WorkKind
		// Resumable is true if a stream may be resumed at another endpoint.
		Resumable bool
		// Timeout bounds the time until a caller is answered; zero means no bound.
		Timeout time.Duration
		// Objective is the latency objective of a whole answer or, for a stream, of
		// its first event.
		Objective time.Duration
		// MaxEventGap is the longest time between two events of a stream that still
		// counts as on time.
		MaxEventGap time.Duration `cbor:"Pause"`
		// Priority is the priority of the route's requests; zero is the most urgent.
		Priority int
		// MaxAttempts bounds the number of endpoints that one request is sent to.
		MaxAttempts int `cbor:"Attempts"`
		// Public is true for a route that requires no key.
		Public bool `cbor:"Open"`
		// Steps are the models of a cascade, smallest first; empty for none.
		Steps   []string
		Targets []Target
	}

	// Target is a pool that receives a weighted share of a route's requests.
	Target struct {
		Pool   string
		Weight float64
	}

	// Pool configures the endpoints of one service.
	Pool struct {
		Name string
		// HealthPath is the path of health checks.
		HealthPath string `cbor:"Health"`
		// MaxConns bounds the connections to one endpoint, from all callers.
		MaxConns int `cbor:"Conns"`
		// WarmUp is how long an endpoint warms up after its start, and WarmUpRate the
		// requests per second that it can take during that time.
		WarmUp     time.Duration `cbor:"Cold"`
		WarmUpRate float64       `cbor:"ColdRate"`
		// Slots bounds the concurrent requests of a model engine, and MemoryTokens
		// their tokens; both are zero for a plain service.
		Slots        int
		MemoryTokens int `cbor:"Memory"`
		// Prices holds the price of each model.
		Prices map[string]float64 `cbor:"Costs"`
	}

	// Limits bounds what a caller may send; zero means no bound.
	Limits struct {
		HeaderBytes   int           `cbor:"Header"`
		BodyBytes     int           `cbor:"Body"`
		HeaderTimeout time.Duration `cbor:"HeaderTime"`
		IdleTimeout   time.Duration `cbor:"IdleTime"`
	}

	// TeamCredentials holds a team's bearer keys in plain text, and its priority.
	TeamCredentials struct {
		Name     string
		Keys     []string
		Priority int
		// HasPriority is true if Priority is set; it then overrides the route's.
		HasPriority bool `cbor:"Ranked"`
	}

	// Host is an endpoint as a Source lists it, for a daemon that forwards by a
	// routing table. It is pure data and travels between daemons; an Endpoint, in
	// contrast, serves the chat interface, comes from the platform's VM list and
	// carries this daemon's live counters.
	Host struct {
		ID, Pool, Addr, Centre string
		// Release is the version of the software that the endpoint runs.
		Release string
		Slots   int
		Leaving bool
		// WarmUpLeft is how much of the endpoint's warm-up remained when it was listed.
		WarmUpLeft time.Duration `cbor:"Cold"`
		// Started is when the endpoint's process started, in Unix milliseconds; zero if
		// unknown. It tells apart the instances that have the same ID one after another.
		Started int64 `cbor:",omitempty"`
	}

	// Rollout is an order to move the traffic of a pool to one release.
	Rollout struct {
		Pool, Release string
		// Duration is the time from the order to its deadline.
		Duration time.Duration `cbor:"Length"`
		// State is RolloutOrdered, or the state that a daemon last wrote for this
		// release.
		State string
		// Started is when the first daemon saw the order; zero if no daemon has
		// written it.
		Started time.Time
		// PreviousRelease is the release that served the pool before the order; empty
		// if no daemon has written it.
		PreviousRelease string `cbor:"Before"`
		// ProvenAt is the elapsed share of the roll-out at which the release was found good;
		// zero if no daemon has written it.
		ProvenAt float64 `cbor:",omitempty"`
		// Unwritten is true if the source lost State in a new era, in which it came back
		// from an older copy.
		Unwritten bool `cbor:",omitempty"`
		// Version is the entry's version, for conditional writes; zero if the source lost
		// the entry too.
		Version Revision
	}

	// Entry is one entry of a topic. The pointer that belongs to the topic is set;
	// all are nil if the entry was deleted or cannot be decoded.
	Entry struct {
		Name    string
		Version Revision
		Deleted bool `cbor:"Gone"`
		// Err is why the entry cannot be decoded; nil if it can.
		Err     error `cbor:"-"`
		Table   *Table
		Host    *Host
		Rollout *Rollout
		Member  *VM
	}

	// Batch is the result of a list or a watch, current as of Version.
	Batch struct {
		Entries []Entry
		Version Revision
	}

	// Source is the store that daemons read routing tables, hosts, roll-outs, closed
	// data centres and members from, and to which they write their own membership
	// and the states of roll-outs. Errors are of type *Error. With an error, a batch's
	// version has the era of the answer if it is newer than those of earlier answers.
	Source interface {
		// List returns all entries of a topic. If stale is true, they may be seconds old,
		// which costs less, and the batch's version is one up to which they hold all
		// changes. It calls ReportProgress after each part of the list but the last.
		List(ctx context.Context, topic Topic, stale bool) (Batch, error)
		// Watch returns the changes after version since. It waits up to wait for one
		// and returns an empty batch if there is none. It returns an error of
		// KindExpired if the history after since is no longer kept or a newer era began.
		Watch(ctx context.Context, topic Topic, since Revision, wait time.Duration) (Batch, error)
		// UpdateRollout writes r's State, Started, PreviousRelease and ProvenAt if the entry
		// still has r.Version, and returns an error of KindConflict otherwise. It is of
		// KindUnknown if a newer era began meanwhile.
		UpdateRollout(ctx context.Context, r Rollout) error
		// Join writes the member entry of a daemon; Leave removes it.
		Join(ctx context.Context, vm VM) error
		Leave(ctx context.Context, id string) error
	}

	// CallerRequest is what a CallerProtocol decodes from a caller's request. Request
	// is its counterpart for the chat interface.
	CallerRequest struct {
		ID, Key, Session string
		// Timeout is how long the caller is willing to wait; zero if not specified.
		Timeout time.Duration
		// PromptTokens is the number of prompt tokens, and MaxOutputTokens bounds the
		// output tokens.
		PromptTokens, MaxOutputTokens int
		// Parts are the shareable parts of the prompt, in order.
		Parts []PromptPart
		// LastEventID is the id of the last event that the caller received; empty for
		// none.
		LastEventID string
	}

	// PromptPart is a part of a prompt that several requests may have in common.
	PromptPart struct {
		ID     string
		Tokens int
	}

	// CallerProtocol decodes callers' requests and encodes the answers that the
	// router gives itself.
	CallerProtocol interface {
		// Decode reads the request's header.
		Decode(r *http.Request) CallerRequest
		// WriteError answers a request with a refusal.
		WriteError(w http.ResponseWriter, req CallerRequest, refusal *Refusal)
		// ForwardHeader reports whether the named header of an endpoint's answer is
		// passed on to the caller.
		ForwardHeader(name string) bool
	}

	// Attempt is one attempt to run a caller's request at an endpoint.
	Attempt struct {
		Request *CallerRequest
		// Remaining is the time left until the caller's deadline.
		Remaining time.Duration
		// Host is the endpoint that the request is sent to.
		Host *Host
		// Team is the team that owns the caller's key.
		Team string
		// Model, if not empty, replaces the model that the caller named.
		Model string
		// Priority is from 0, the most urgent, to 9; negative if the endpoint is no
		// model engine, and none is sent.
		Priority int
		// LastEventID is the id of the last event that the caller received.
		LastEventID string
	}

	// ResponseMeta is what an EndpointProtocol decodes from the status and header of
	// an endpoint's answer.
	ResponseMeta struct {
		// ID is the id of the answered request; empty if the answer names none.
		ID string
		// NotExecuted is true if the endpoint declared that it did not run the request.
		NotExecuted bool
		// Misdirected is true if another endpoint now has the address.
		Misdirected bool
		// HasSeal is true if the answer carries the endpoint's seal, the proof that it
		// came from an endpoint.
		HasSeal bool
		// Encoded is true if the body has a content encoding, and so is not the
		// endpoint's own.
		Encoded bool
		// Confidence is the model's confidence in its answer, from 0 to 100; negative
		// if not reported.
		Confidence int
		// Running, Waiting and Slots are the endpoint's load; Slots is zero if not
		// reported.
		Running, Waiting, Slots int
		// Pace is how long work takes at the endpoint at this moment: 1 as usual, 2 twice as
		// long; zero if not reported. MalformedLoad is what it sent instead of a load and a
		// pace, if anything.
		Pace          float64
		MalformedLoad string
		// IdleTimeout is how long the endpoint keeps an idle connection; zero if not
		// reported.
		IdleTimeout time.Duration
		// WarmUpLeft is how much of the endpoint's warm-up remains.
		WarmUpLeft time.Duration
		// Leaving is true if the endpoint announced that it leaves. If Misdirected is
		// true, that is said by another endpoint than the one asked for.
		Leaving bool
		// Pause is how long the endpoint asks this daemon for no requests; zero if it does
		// not. MalformedPause is what it sent instead of a time, if anything.
		Pause          time.Duration
		MalformedPause string
		// Limit is the rate in requests per second that the endpoint takes from all daemons
		// together, if HasLimit is true. MalformedLimit is what it sent instead of a rate,
		// if anything.
		Limit          float64
		HasLimit       bool
		MalformedLimit string
		// Rejections is the number of requests per second that the endpoint can turn away
		// for want of room, from all daemons together, if IsBrittle is true; with more it ends.
		// MalformedBrittle is what it sent instead of a number, if anything.
		Rejections       float64
		IsBrittle        bool
		MalformedBrittle string
	}

	// EndpointProtocol encodes requests to endpoints and decodes their answers.
	EndpointProtocol interface {
		// Header returns the header to send to the endpoint, given the caller's.
		Header(caller http.Header, a Attempt) http.Header
		// DecodeResponse decodes the status and header of an answer.
		DecodeResponse(res *http.Response) ResponseMeta
		// NextEvent returns the length in bytes of the first complete event at the start
		// of data, and its id, which is empty if the event has none. The length is zero
		// if there is no complete event.
		NextEvent(data []byte) (size int, id string)
	}

	// View is the state of all topics of a Source as this daemon has read them. It
	// is immutable apart from Departures.
	View struct {
		Table *Table
		// Hosts holds the endpoints of each pool.
		Hosts map[string][]*Host
		// Rollouts holds the roll-outs by pool.
		Rollouts map[string]*Rollout
		// ClosedCentres holds the data centres that operators took out of service.
		ClosedCentres map[string]bool
		// Departures holds the endpoints that announced in an answer, to this daemon or to
		// another, that they leave. All views share it.
		Departures *Departures
		// Members are the daemons of the fleet; nil if they were not read.
		Members []VM
		// SelfLost is true if the source lost this daemon's entry in a new era, although
		// Members still has it.
		SelfLost bool
		// Opening is true if Table waits, at the start, for other daemons to tell what they
		// keep from older eras.
		Opening bool
		// Synced is true once every topic has been read.
		Synced bool
		// Confirmed holds, for each topic, the time as of which the source confirmed that
		// this view has all changes, by a clock that counts suspensions; zero if it never
		// did.
		Confirmed [TopicCount]time.Duration
	}
)

// Departures holds the instances of endpoints that announced that they leave. Unlike other
// control state it changes in place, so that an announcement counts for the next request.
// It is safe for concurrent use.
type Departures struct {
	// started holds Host.Started of the last instance that leaves, by endpoint id.
	started atomic.Pointer[map[string]int64]
}

// Has reports whether an endpoint announced that it leaves, or a later instance with its
// id did. A nil Departures has none.
func (d *Departures) Has(h *Host) bool {
	if d == nil {
		return false
	}
	all := d.started.Load()
	if all == nil {
		return false
	}
	started, ok := (*all)[h.ID]
	return ok && h.Started <= started
}

// Replace replaces all departures by Host.Started of each, by endpoint id. The map must not
// be changed afterwards.
func (d *Departures) Replace(started map[string]int64) { d.started.Store(&started) }

// Leaving reports whether an endpoint leaves, as its entry or its own answer says.
func (v *View) Leaving(h *Host) bool { return h.Leaving || v.Departures.Has(h) }

// InService reports whether requests may be sent to an endpoint: it is not leaving and its
// data centre is in service.
func (v *View) InService(h *Host) bool { return !v.Leaving(h) && !v.ClosedCentres[h.Centre] }

// Age returns the time since the source confirmed a topic of the view, or the greatest
// duration if it never did. A nil view was never confirmed.
func (v *View) Age(t Topic, now time.Duration) time.Duration {
	if v == nil || v.Confirmed[t] == 0 {
		return math.MaxInt64
	}
	return now - v.Confirmed[t]
}

// String returns the topic's name in logs and counters.
func (t Topic) String() string {
	names := [...]string{"table", "hosts", "rollouts", "closures", "members"}
	return KindText(names[:], int(t))
}

// String returns the work's name in logs and counters.
func (w WorkKind) String() string {
	names := [...]string{"once", "repeatable", "stream"}
	return KindText(names[:], int(w))
}

// Repeatable reports whether a request of the route may be retried although an
// earlier attempt may have run.
func (r *Route) Repeatable() bool {
	return r.Work == WorkRepeatable || r.Work == WorkStream && r.Resumable
}

// Response is an endpoint's answer whose status and header have been read.
type Response struct {
	Status int
	Header http.Header
	Meta   ResponseMeta
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Framed is true if the body has a length or chunks; the end of the connection ends it
	// otherwise.
	Framed bool
	Body   io.ReadCloser
}
