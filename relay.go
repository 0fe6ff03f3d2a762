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
	WorkOnce Work = iota
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
	// Work is the kind of work that a route carries.
	Work int

	// Topic is a kind of entries that a Source holds.
	Topic int

	// Table is one accepted table of routes. It is never changed once published.
	Table struct {
		// Version grows with each accepted table, not always by one.
		Version int64
		Routes  []Route
		Pools   []Pool
		Limits  Limits
		Holders []Holder
	}

	// Route says where requests of a host and a path prefix go.
	Route struct {
		Name, Host, Prefix string
		Work               Work
		// Resumable is true if a stream may be resumed at another endpoint.
		Resumable bool
		// Timeout is the longest time that a caller is kept waiting; zero is none.
		Timeout time.Duration
		// Objective is the time within which an answer, or its first event, is due.
		Objective time.Duration
		// Pause is the longest pause between events of an answer that is on time.
		Pause time.Duration
		// Priority is the route's rank; zero is the most urgent.
		Priority int
		// Attempts bounds the endpoints that one request is sent to.
		Attempts int
		// Open is true for a route that asks for no key.
		Open bool
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
		// Health is the path of health checks.
		Health string
		// Conns bounds the connections to one endpoint, from all callers.
		Conns int
		// Cold and ColdRate are how long an endpoint stays cold after its start and
		// the requests a second that it bears meanwhile.
		Cold     time.Duration
		ColdRate float64
		// Slots and Memory, in tokens, bound the requests that a model engine runs
		// at once; zero for a plain service.
		Slots, Memory int
		// Costs holds the price of each model.
		Costs map[string]float64
	}

	// Limits bound what a caller may send; zero means no bound.
	Limits struct {
		Header, Body         int
		HeaderTime, IdleTime time.Duration
	}

	// Holder is a team with its keys in the clear.
	Holder struct {
		Name     string
		Keys     []string
		Priority int
		// Ranked is true if Priority is set; it then goes before the route's.
		Ranked bool
	}

	// Host is an endpoint as the list of endpoints shows it.
	Host struct {
		ID, Pool, Addr, Centre string
		// Release is the version of the endpoint's software.
		Release string
		Slots   int
		Leaving bool
		// Cold is how much longer the endpoint was cold when it was listed.
		Cold time.Duration
	}

	// Rollout asks that the traffic of a pool moves to one release.
	Rollout struct {
		Pool, Release string
		// Length is the time from the order to its deadline.
		Length time.Duration
		// State is RolloutOrdered or what a daemon wrote last for this release.
		State string
		// Started is when the first daemon saw the order; zero if none wrote it.
		Started time.Time
		// Before is the release that took the requests before, if a daemon wrote it.
		Before string
		// Version is the entry's version for conditional writes.
		Version uint64
	}

	// Entry is one entry of a topic. Of the pointers the one of the topic is set;
	// all are nil if the entry is gone or can't be understood.
	Entry struct {
		Name    string
		Version uint64
		Gone    bool
		// Fault says why an entry can't be understood.
		Fault   error `cbor:"-"`
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
		// Conclude writes the state of a roll-out on condition that the entry still
		// has the version; KindConflict if not.
		Conclude(ctx context.Context, r Rollout) error
		// Join writes the entry of a daemon; Leave removes it.
		Join(ctx context.Context, vm VM) error
		Leave(ctx context.Context, id string) error
	}

	// Ask is a caller's request as decoded by a Front.
	Ask struct {
		ID, Key, Session string
		// Wait is how long the caller waits; zero if it did not say.
		Wait time.Duration
		// Prompt and Output are the numbers of tokens read and made at most.
		Prompt, Output int
		// Parts are the shared parts of the prompt in order.
		Parts []Part
		// Last is the number of the last event that the caller has; empty for none.
		Last string
	}

	// Part is a part of a prompt that requests may share.
	Part struct {
		ID     string
		Tokens int
	}

	// Front reads callers' requests and words the router's own answers.
	Front interface {
		Read(r *http.Request) Ask
		// Refuse answers that the request failed.
		Refuse(w http.ResponseWriter, ask Ask, refusal *Refusal)
		// Forwarded reports whether a header of an endpoint's answer is for the
		// caller.
		Forwarded(name string) bool
	}

	// Send is what a router tells an endpoint about a request.
	Send struct {
		Ask *Ask
		// Left is how long the caller still waits.
		Left time.Duration
		// Host is the endpoint that the request is for.
		Host *Host
		// Team is the holder of the caller's key.
		Team string
		// Model replaces the caller's if not empty.
		Model string
		// Priority is from 0, the most urgent, to 9.
		Priority int
		// Last is the last event that the caller has.
		Last string
	}

	// Sign is what the head of an endpoint's answer tells.
	Sign struct {
		// ID is the id of the request that is answered; empty if the answer has none.
		ID string
		// NotRun is true if the endpoint says that it did not run the request.
		NotRun bool
		// Moved is true if another endpoint has the address.
		Moved bool
		// Sealed is true if the answer bears the endpoint's proof.
		Sealed bool
		// Encoded is true if the body is not the endpoint's own.
		Encoded bool
		// Confidence is the model's own, from 0 to 100; negative if not told.
		Confidence int
		// Running, Waiting and Slots are the endpoint's load; Slots is zero if not
		// told.
		Running, Waiting, Slots int
		// Idle is how long the endpoint keeps an idle connection; zero if not told.
		Idle time.Duration
		// Cold is how much longer the endpoint is cold.
		Cold time.Duration
	}

	// Wire is the protocol of endpoints.
	Wire interface {
		// Header returns the header of a request to an endpoint.
		Header(caller http.Header, s Send) http.Header
		// Sign decodes the head of an answer.
		Sign(res *http.Response) Sign
		// Event returns the length of the first whole event at the head of data and
		// its number, or zero if there is none.
		Event(data []byte) (size int, number string)
	}

	// View is what is known of the fleet and its work. It is immutable.
	View struct {
		Table *Table
		// Hosts holds the endpoints of each pool.
		Hosts map[string][]*Host
		// Rollouts holds the roll-outs by pool.
		Rollouts map[string]*Rollout
		// Closed holds the data centres that operators took out of use.
		Closed  map[string]bool
		Members []VM
		// Whole is true once all topics have been read.
		Whole bool
	}
)

// String returns the topic's name in logs and counters.
func (t Topic) String() string {
	names := [...]string{"table", "hosts", "rollouts", "closures", "members"}
	return KindText(names[:], int(t))
}

// String returns the work's name in logs and counters.
func (w Work) String() string {
	names := [...]string{"once", "repeatable", "stream"}
	return KindText(names[:], int(w))
}

// Repeatable reports whether a request of the route may be sent again after it
// may have run.
func (r *Route) Repeatable() bool {
	return r.Work == WorkRepeatable || r.Work == WorkStream && r.Resumable
}

// Reply is the answer of an endpoint whose head has been read.
type Reply struct {
	Status int
	Header http.Header
	Sign   Sign
	// Length is the length of the body, or -1.
	Length int64
	Body   io.ReadCloser
}
