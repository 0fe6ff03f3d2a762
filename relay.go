package samphireturn

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Kinds of work, which say what may be repeated.
const (
	// WorkOnce may run at most once for each request.
	WorkOnce WorkKind = iota
	// WorkRepeatable may run any number of times.
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

	// Topic is a kind of entries that a Source holds.
	Topic int

	// Table is one accepted table of routes. It is never changed once published.
	Table struct {
		// Version grows with each accepted table, not always by one.
		Version int64
		Routes  []Route
		Pools   []Pool
		Limits  Limits
		Teams   []TeamCredentials `cbor:"Holders"`
	}

	// Route says where requests of a host and a path prefix go.
	Route struct {
		Name, Host, Prefix string
		Work               WorkKind
		// Resumable is true if a stream may be resumed at another endpoint.
		Resumable bool
		// Timeout is the longest time that a caller is kept waiting; zero is none.
		Timeout time.Duration
		// Objective is the time within which an answer, or its first event, is due.
		Objective time.Duration
		// MaxEventGap is the longest pause between events of an answer that is on time.
		MaxEventGap time.Duration `cbor:"Pause"`
		// Priority is the route's rank; zero is the most urgent.
		Priority int
		// MaxAttempts bounds the endpoints that one request is sent to.
		MaxAttempts int `cbor:"Attempts"`
		// Public is true for a route that asks for no key.
		Public bool `cbor:"Open"`
		// Steps are the models of a cascade, smallest first; empty for none.
		Steps   []string
		Targets []Target
	}

	// Target is a pool that takes a part of a route's requests.
	Target struct {
		Pool   string
		Weight float64
	}

	// Pool is the endpoints of one service as configured.
	Pool struct {
		Name string
		// HealthPath is the path of health checks.
		HealthPath string `cbor:"Health"`
		// MaxConns bounds the connections to one endpoint, from all callers.
		MaxConns int `cbor:"Conns"`
		// WarmUp and ColdRate are how long an endpoint stays cold after its start and
		// the requests a second that it bears meanwhile.
		WarmUp     time.Duration `cbor:"Cold"`
		WarmUpRate float64       `cbor:"ColdRate"`
		// Slots and MemoryTokens, in tokens, bound the requests that a model engine runs
		// at once; zero for a plain service.
		Slots        int
		MemoryTokens int `cbor:"Memory"`
		// Prices holds the price of each model.
		Prices map[string]float64 `cbor:"Costs"`
	}

	// Limits bound what a caller may send; zero means no bound.
	Limits struct {
		HeaderBytes   int           `cbor:"Header"`
		BodyBytes     int           `cbor:"Body"`
		HeaderTimeout time.Duration `cbor:"HeaderTime"`
		IdleTimeout   time.Duration `cbor:"IdleTime"`
	}

	// TeamCredentials is a team with its keys in the clear.
	TeamCredentials struct {
		Name     string
		Keys     []string
		Priority int
		// HasPriority is true if Priority is set; it then goes before the route's.
		HasPriority bool `cbor:"Ranked"`
	}

	// Host is an endpoint as the list of endpoints shows it.
	Host struct {
		ID, Pool, Addr, Centre string
		// Release is the version of the endpoint's software.
		Release string
		Slots   int
		Leaving bool
		// WarmUpLeft is how much longer the endpoint was cold when it was listed.
		WarmUpLeft time.Duration `cbor:"Cold"`
	}

	// Rollout asks that the traffic of a pool moves to one release.
	Rollout struct {
		Pool, Release string
		// Duration is the time from the order to its deadline.
		Duration time.Duration `cbor:"Length"`
		// State is RolloutOrdered or what a daemon wrote last for this release.
		State string
		// Started is when the first daemon saw the order; zero if none wrote it.
		Started time.Time
		// PreviousRelease is the release that took the requests before, if a daemon wrote it.
		PreviousRelease string `cbor:"Before"`
		// Version is the entry's version for conditional writes.
		Version uint64
	}

	// Entry is one entry of a topic. Of the pointers the one of the topic is set;
	// all are nil if the entry is gone or can't be understood.
	Entry struct {
		Name    string
		Version uint64
		Deleted bool `cbor:"Gone"`
		// Err says why an entry can't be understood.
		Err     error `cbor:"-"`
		Table   *Table
		Host    *Host
		Rollout *Rollout
		Member  *VM
	}

	// Batch is the answer to a list or a watch, true as of Version.
	Batch struct {
		Entries []Entry
		Version uint64
	}

	// Source holds what routers must know, and the verdicts that they reach.
	// Errors are of type *Error.
	Source interface {
		// List returns all entries of a topic.
		List(ctx context.Context, topic Topic) (Batch, error)
		// Watch returns the changes after a version, none if there were none for so
		// long. It returns an error of KindExpired if that history is gone.
		Watch(ctx context.Context, topic Topic, since uint64, wait time.Duration) (Batch, error)
		// UpdateRollout writes the state of a roll-out on condition that the entry still
		// has the version; KindConflict if not.
		UpdateRollout(ctx context.Context, r Rollout) error
		// Join writes the entry of a daemon; Leave removes it.
		Join(ctx context.Context, vm VM) error
		Leave(ctx context.Context, id string) error
	}

	// CallerRequest is a caller's request as decoded by a Front.
	CallerRequest struct {
		ID, Key, Session string
		// Timeout is how long the caller waits; zero if it did not say.
		Timeout time.Duration
		// Prompt and Output are the numbers of tokens read and made at most.
		Prompt, Output int
		// Parts are the shared parts of the prompt in order.
		Parts []PromptPart
		// LastEventID is the number of the last event that the caller has; empty for none.
		LastEventID string
	}

	// PromptPart is a part of a prompt that requests may share.
	PromptPart struct {
		ID     string
		Tokens int
	}

	// CallerProtocol reads callers' requests and words the router's own answers.
	CallerProtocol interface {
		Decode(r *http.Request) CallerRequest
		// WriteError answers that the request failed.
		WriteError(w http.ResponseWriter, ask CallerRequest, refusal *Refusal)
		// ForwardHeader reports whether a header of an endpoint's answer is for the
		// caller.
		ForwardHeader(name string) bool
	}

	// Attempt is what a router tells an endpoint about a request.
	Attempt struct {
		Request *CallerRequest
		// Remaining is how long the caller still waits.
		Remaining time.Duration
		// Host is the endpoint that the request is for.
		Host *Host
		// Team is the holder of the caller's key.
		Team string
		// Model replaces the caller's if not empty.
		Model string
		// Priority is from 0, the most urgent, to 9.
		Priority int
		// LastEventID is the last event that the caller has.
		LastEventID string
	}

	// ResponseMeta is what the head of an endpoint's answer tells.
	ResponseMeta struct {
		// ID is the id of the request that is answered; empty if the answer has none.
		ID string
		// NotExecuted is true if the endpoint says that it did not run the request.
		NotExecuted bool
		// Misdirected is true if another endpoint has the address.
		Misdirected bool
		// HasSeal is true if the answer bears the endpoint's proof.
		HasSeal bool
		// Encoded is true if the body is not the endpoint's own.
		Encoded bool
		// Confidence is the model's own, from 0 to 100; negative if not told.
		Confidence int
		// Running, Waiting and Slots are the endpoint's load; Slots is zero if not
		// told.
		Running, Waiting, Slots int
		// IdleTimeout is how long the endpoint keeps an idle connection; zero if not told.
		IdleTimeout time.Duration
		// WarmUpLeft is how much longer the endpoint is cold.
		WarmUpLeft time.Duration
	}

	// EndpointProtocol is the protocol of endpoints.
	EndpointProtocol interface {
		// Header returns the header of a request to an endpoint.
		Header(caller http.Header, s Attempt) http.Header
		// DecodeResponse decodes the head of an answer.
		DecodeResponse(res *http.Response) ResponseMeta
		// NextEvent returns the length of the first whole event at the head of data and
		// its number, or zero if there is none.
		NextEvent(data []byte) (size int, number string)
	}

	// View is what is known of the fleet and its work. It is immutable.
	View struct {
		Table *Table
		// Hosts holds the endpoints of each pool.
		Hosts map[string][]*Host
		// Rollouts holds the roll-outs by pool.
		Rollouts map[string]*Rollout
		// ClosedCentres holds the data centres that operators took out of use.
		ClosedCentres map[string]bool
		Members       []VM
		// Synced is true once all topics have been read.
		Synced bool
	}
)

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

// Repeatable reports whether a request of the route may be sent again after it
// may have run.
func (r *Route) Repeatable() bool {
	return r.Work == WorkRepeatable || r.Work == WorkStream && r.Resumable
}

// Response is the answer of an endpoint whose head has been read.
type Response struct {
	Status int
	Header http.Header
	Meta   ResponseMeta
	// Length is the length of the body, or -1.
	Length int64
	Body   io.ReadCloser
}
