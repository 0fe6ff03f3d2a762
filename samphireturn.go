// Package samphireturn holds the data and the interfaces that the parts of the
// router share. Implementations live below internal/.
package samphireturn

import (
	"context"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// VersionLive marks a version that takes new sessions.
	VersionLive = "live"
	// VersionCanary marks a version that takes a bounded share of new sessions.
	VersionCanary = "canary"
	// VersionWithdrawn marks a version that takes no new work at all.
	VersionWithdrawn = "withdrawn"
)

const (
	// RoleEntry is the role of a VM that runs samphireturnd.
	RoleEntry = "entry"
	// RoleEngine is the role of a VM that serves a model.
	RoleEngine = "engine"
	// RoleService is the role of a VM that serves a plain service.
	RoleService = "service"
)

// Config is one accepted configuration. It is never changed once published.
type Config struct {
	// Generation orders accepted configurations; the publisher sets it.
	Generation uint64     `toml:"-" json:"generation"`
	Presets    []Preset   `toml:"preset" json:"preset"`
	Centres    []Centre   `toml:"centre" json:"centre"`
	Models     []Model    `toml:"model" json:"model"`
	Services   []Backend  `toml:"service" json:"service"`
	Teams      []Team     `toml:"team" json:"team"`
	Keys       []TokenKey `toml:"key" json:"key"`
	Guard      Guard      `toml:"guard" json:"guard"`
	Retry      Retry      `toml:"retry" json:"retry"`
}

// Preset is a set of aliases and scales for one kind of day. Exactly one
// preset of a configuration has Force set.
type Preset struct {
	Name    string  `toml:"name" json:"name"`
	Force   bool    `toml:"force" json:"force"`
	Aliases []Alias `toml:"alias" json:"alias"`
	// Scale multiplies every team's limits; zero means 1.
	Scale float64 `toml:"scale" json:"scale"`
	// Explore is the share of cascade requests that try a step whose estimate is
	// old, from 0 to 1.
	Explore float64 `toml:"explore" json:"explore"`
}

// Alias is a name that callers use for a cascade of models, cheapest first.
type Alias struct {
	Name  string   `toml:"name" json:"name"`
	Steps []string `toml:"steps" json:"steps"`
	// Quality is the rating, from 0 to 1, that releases a step's answer.
	Quality float64 `toml:"quality" json:"quality"`
	// Target is the share of answers, from 0 to 1, that must reach Quality.
	Target float64 `toml:"target" json:"target"`
	// Delay is the longest time in milliseconds that judging may add; zero
	// means no bound.
	Delay int64 `toml:"delay" json:"delay"`
}

// Centre is a data centre.
type Centre struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
	// Out is true while operators have taken the data centre out of service.
	Out bool `toml:"out" json:"out"`
}

// Model is a model with its versions.
type Model struct {
	Name     string    `toml:"name" json:"name"`
	Versions []Version `toml:"version" json:"version"`
}

// Version is one version of a model.
type Version struct {
	Name string `toml:"name" json:"name"`
	// State is VersionLive, VersionCanary or VersionWithdrawn.
	State string `toml:"state" json:"state"`
	// Share is the part of the model's new sessions that go to this version.
	Share float64 `toml:"share" json:"share"`
	// Successor names the version of the same model that inherits the sessions
	// of a withdrawn version.
	Successor string `toml:"successor" json:"successor"`
	// Input and Output are the price of a million tokens.
	Input  float64 `toml:"input" json:"input"`
	Output float64 `toml:"output" json:"output"`
}

// Backend is a plain service that is routed to beside the models.
type Backend struct {
	Name string `toml:"name" json:"name"`
	// Idempotent lists "METHOD /path" patterns that may be repeated; a path may
	// end in "*". GET and HEAD are idempotent unless listed in Once.
	Idempotent []string `toml:"idempotent" json:"idempotent"`
	// Once lists patterns that must not be repeated although GET or HEAD.
	Once []string `toml:"once" json:"once"`
}

// Team is a customer team: its keys, what it may use and its limits.
type Team struct {
	Name string `toml:"name" json:"name"`
	// Keys are the SHA-256 hashes, in hexadecimal, of the team's bearer keys.
	Keys []string `toml:"keys" json:"keys"`
	// Models lists "model" or "model@version"; Services lists plain services.
	Models   []string `toml:"models" json:"models"`
	Services []string `toml:"services" json:"services"`
	// Concurrent bounds the requests under way in one daemon; zero means none.
	Concurrent int `toml:"concurrent" json:"concurrent"`
	// Tokens bounds the tokens a minute in one daemon; zero means none.
	Tokens int `toml:"tokens" json:"tokens"`
	// Weight is the team's part when capacity is short; zero means 1.
	Weight float64 `toml:"weight" json:"weight"`
	// Priority is the highest priority that the team may ask for.
	Priority int `toml:"priority" json:"priority"`
}

// TokenKey is a key for session tokens and request ids. The first key of a
// configuration signs; every key verifies.
type TokenKey struct {
	Name   string `toml:"name" json:"name"`
	Secret string `toml:"secret" json:"secret"`
}

// Guard sets the sequential test that watches versions for faults.
type Guard struct {
	// Good and Bad are the failure rates of a healthy and of a bad version.
	Good float64 `toml:"good" json:"good"`
	Bad  float64 `toml:"bad" json:"bad"`
	// Alarm is the accepted share of false alarms; Miss that of misses.
	Alarm float64 `toml:"alarm" json:"alarm"`
	Miss  float64 `toml:"miss" json:"miss"`
	// Floor is the rating, from 0 to 1, below which an answer counts as a
	// failure; zero means that ratings do not count.
	Floor float64 `toml:"floor" json:"floor"`
}

// Retry sets the retry budget.
type Retry struct {
	// Share is the number of retries allowed for each request, from 0 to 1.
	Share float64 `toml:"share" json:"share"`
	// Attempts bounds the sends of one request, the first included.
	Attempts int `toml:"attempts" json:"attempts"`
}

// VersionRef names one version of one model.
type VersionRef struct {
	Model   string `cbor:"m" json:"model"`
	Version string `cbor:"v" json:"version"`
}

// String returns "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// ServiceRef returns the reference under which a plain service stands beside
// versions, as in Snapshot.Remote.
func ServiceRef(name string) VersionRef { return VersionRef{Version: name} }

// Instance returns the name of one process of the daemon with the id. No two
// processes share a name.
func Instance(id, start string) string { return id + "." + start }

// InstanceVM returns the id of the daemon whose process has the name.
func InstanceVM(instance string) string {
	i := strings.LastIndexByte(instance, '.')
	if i < 0 {
		return instance
	}
	return instance[:i]
}

// VM is one entry of the platform's VM list.
type VM struct {
	ID     string `json:"id"`
	Role   string `json:"role"`
	Centre string `json:"centre"`
	// Addr is the host:port for callers' or endpoint traffic.
	Addr string `json:"addr"`
	// Peer is the host:port for links between daemons; empty for endpoints.
	Peer string `json:"peer,omitempty"`
	// Service is the name of the plain service that the VM serves.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Endpoint is an engine or a plain service's VM as this daemon sees it. The
// value is immutable; Gauge is shared with traffic.
type Endpoint struct {
	VM
	// Start changes when the endpoint's process starts anew.
	Start uint64
	// Versions lists what an engine has loaded.
	Versions []VersionRef
	// Budget is the concurrent work, in tokens, that the endpoint bears when
	// warm; zero until its first report.
	Budget int64
	// Used is the work under way at the endpoint, from all daemons, at its last
	// report, which lags.
	Used int64
	// Queued is the work waiting at the endpoint at its last report, in tokens.
	Queued int64
	// Speed is the tokens a second that the endpoint makes; zero if unknown.
	Speed float64
	// Warm is false while the endpoint is being ramped up.
	Warm bool
	// Fenced is true if the endpoint checks the fencing number of orders.
	Fenced bool
	// Home is the daemon that reads the endpoint's reports and grants budget.
	Home  string
	Gauge *Gauge
}

// Gauge counts one daemon's work at one endpoint. The zero value allows
// nothing. It is safe for concurrent use.
type Gauge struct {
	// Outstanding is the work under way from this daemon, in tokens.
	Outstanding atomic.Int64
	// Calls is the number of requests under way from this daemon.
	Calls atomic.Int64
	// Allowed is the work that this daemon may have under way, in tokens.
	Allowed atomic.Int64
	// Wanted is the most work that this daemon would have had under way since the
	// granter last looked, and Unit the largest request among it.
	Wanted, Unit atomic.Int64
	// Lapse is the time, in nanoseconds of the limiter's clock, when Allowed
	// ends.
	Lapse atomic.Int64
	// Pace is the speed that this daemon saw.
	Pace Pace
}

// Want notes that this daemon has work of the given size for the endpoint, in
// tokens, whether the grant has room for it or not.
func (g *Gauge) Want(work int64) {
	raise(&g.Wanted, g.Outstanding.Load()+work)
	raise(&g.Unit, work)
}

// raise sets v to at least n.
func raise(v *atomic.Int64, n int64) {
	for old := v.Load(); old < n; old = v.Load() {
		if v.CompareAndSwap(old, n) {
			return
		}
	}
}

// Snapshot is what traffic sees of the control state. It is immutable.
type Snapshot struct {
	Config *Config
	// Preset is the preset in force.
	Preset *Preset
	// Self is this daemon.
	Self VM
	// Members are the daemons of all data centres, this one included once it is
	// in the VM list.
	Members []VM
	// Endpoints are all known endpoints by id.
	Endpoints map[string]*Endpoint
	// Pools holds the endpoints of this data centre that serve a version.
	Pools map[VersionRef][]*Endpoint
	// Services holds this data centre's endpoints of each plain service.
	Services map[string][]*Endpoint
	// Remote holds, for each version, the data centres not taken out that serve
	// it, this one excluded.
	Remote map[VersionRef][]string
	// Held lists versions that take no new sessions until released.
	Held map[VersionRef]bool
}

// Request is one caller's request as the decision code sees it.
type Request struct {
	ID   string
	Team string
	// Class groups requests of a team that are alike; empty is a class too.
	Class string
	// Model is what the caller asked for: a model, a version or an alias.
	Model string
	// Session is the verified session; nil for the first request of one.
	Session *Session
	// Prompt and Output estimate the request's tokens.
	Prompt, Output int
	// Prefixes are hashes of the prompt's leading blocks, longest last.
	Prefixes []uint64
	Priority int
	Deadline time.Time
	Stream   bool
}

// Session is the content of a session token.
type Session struct {
	ID       string `cbor:"i"`
	Team     string `cbor:"t"`
	Model    string `cbor:"m"`
	Version  string `cbor:"v"`
	Endpoint string `cbor:"e"`
	// Issued is in seconds since 1970 UTC.
	Issued int64 `cbor:"a"`
}

// Usage is the record of one billed request.
type Usage struct {
	Request string     `cbor:"r" json:"request"`
	Team    string     `cbor:"t" json:"team"`
	Version VersionRef `cbor:"v" json:"version"`
	Service string     `cbor:"s,omitempty" json:"service,omitempty"`
	Prompt  int        `cbor:"p" json:"prompt"`
	Output  int        `cbor:"o" json:"output"`
	// Cost is in the currency unit of the configured prices.
	Cost float64 `cbor:"c" json:"cost"`
	// Time is in milliseconds since 1970 UTC.
	Time int64 `cbor:"a" json:"time"`
}

// Object is a value of the platform's object API.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Store is the platform's object API. Errors are of type *Error.
type Store interface {
	// Get returns the object, or an error of KindMissing.
	Get(ctx context.Context, name string) (Object, error)
	// Create stores a new object; KindConflict if the name is taken.
	Create(ctx context.Context, name string, value []byte) (uint64, error)
	// Update replaces version; KindConflict if another is current.
	Update(ctx context.Context, name string, value []byte, version uint64) (uint64, error)
	// Delete removes version; KindConflict if another is current.
	Delete(ctx context.Context, name string, version uint64) error
	// List returns the objects whose names begin with prefix, without values,
	// in order of name.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's version is above since and returns it. It
	// returns an error of KindTimeout when the platform ends a quiet watch.
	Watch(ctx context.Context, name string, since uint64) (Object, error)
}

// Lister is the platform's VM list, which lags.
type Lister interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Rater is the platform's rating service.
type Rater interface {
	// Rate returns the quality, from 0 to 1, of an answer to a prompt.
	Rate(ctx context.Context, version VersionRef, prompt, answer string) (float64, error)
}

// Peers carries messages between the daemons of the fleet. Bodies are encoded
// in CBOR.
type Peers interface {
	// Call sends body to the named daemon and decodes its reply into reply,
	// which may be nil.
	Call(ctx context.Context, to, topic string, body, reply any) error
	// Handle registers the handler of a topic. It must be called before Run.
	Handle(topic string, h Handler)
	// Connected returns the ids of the daemons with a live link, in order.
	Connected() []string
}

// Handler answers one message of a peer. Body is CBOR; decode it with
// encoder.Unmarshal. The returned value is encoded as the reply.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Event changes the control state. Apply runs on the control goroutine with a
// copy that it may change; maps and slices must be replaced, not changed.
type Event interface {
	Apply(next *Snapshot)
}

// Control is the kernel as its services see it.
type Control interface {
	// Post queues an event and returns at once.
	Post(e Event)
	// Snapshot returns the control state in force; never nil.
	Snapshot() *Snapshot
}
