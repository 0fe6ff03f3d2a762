package samphireturn

const (
	// VersionLive marks a version that takes new sessions.
	VersionLive = "live"
	// VersionCanary marks a version that takes a bounded share of new sessions.
	VersionCanary = "canary"
	// VersionWithdrawn marks a version that takes no new work at all.
	VersionWithdrawn = "withdrawn"
)

// Config is one accepted configuration. It is never changed once published.
type Config struct {
	// Generation orders accepted configurations; the publisher sets it.
	Generation uint64     `toml:"-" json:"generation"`
	Presets    []Preset   `toml:"preset" json:"preset"`
	Centres    []Centre   `toml:"centre" json:"centre"`
	Models     []Model    `toml:"model" json:"model"`
	Services   []Service  `toml:"service" json:"service"`
	Teams      []Team     `toml:"team" json:"team"`
	Keys       []TokenKey `toml:"key" json:"key"`
	Guard      Guard      `toml:"guard" json:"guard"`
	Retry      Retry      `toml:"retry" json:"retry"`
}

// Preset is a set of aliases and scales for one kind of day. Exactly one
// preset of a configuration has Force set.
type Preset struct {
	Name    string  `toml:"name" json:"name"`
	Active  bool    `toml:"force" json:"force"`
	Aliases []Alias `toml:"alias" json:"alias"`
	// Scale multiplies every team's limits; zero means 1.
	Scale float64 `toml:"scale" json:"scale"`
	// ExploreShare is the share of cascade requests that try a step whose estimate is
	// old, from 0 to 1.
	ExploreShare float64 `toml:"explore" json:"explore"`
}

// Alias is a name that callers use for a cascade of models, cheapest first.
type Alias struct {
	Name  string   `toml:"name" json:"name"`
	Steps []string `toml:"steps" json:"steps"`
	// MinQuality is the rating, from 0 to 1, that releases a step's answer.
	MinQuality float64 `toml:"quality" json:"quality"`
	// TargetShare is the share of answers, from 0 to 1, that must reach Quality.
	TargetShare float64 `toml:"target" json:"target"`
	// MaxDelayMs is the longest time in milliseconds that judging may add; zero
	// means no bound.
	MaxDelayMs int64 `toml:"delay" json:"delay"`
}

// Centre is a data centre.
type Centre struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
	// OutOfService is true while operators have taken the data centre out of service.
	OutOfService bool `toml:"out" json:"out"`
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
	// EnginesPerCentre is the number of engines of each data centre that should have the
	// version loaded; zero, or a withdrawn
	// version, means that none is ordered to load it.
	EnginesPerCentre int `toml:"engines" json:"engines"`
	// InputPrice and Output are the price of a million tokens.
	InputPrice  float64 `toml:"input" json:"input"`
	OutputPrice float64 `toml:"output" json:"output"`
}

// Service is a plain service that is routed to beside the models.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Idempotent lists "METHOD /path" patterns that may be repeated; a path may
	// end in "*". GET and HEAD are idempotent unless listed in Once.
	Idempotent []string `toml:"idempotent" json:"idempotent"`
	// NotIdempotent lists patterns that must not be repeated although GET or HEAD.
	NotIdempotent []string `toml:"once" json:"once"`
}

// Team is a customer team: its keys, what it may use and its limits.
type Team struct {
	Name string `toml:"name" json:"name"`
	// Keys are the SHA-256 hashes, in hexadecimal, of the team's bearer keys.
	Keys []string `toml:"keys" json:"keys"`
	// Models lists "model" or "model@version"; Services lists plain services.
	Models   []string `toml:"models" json:"models"`
	Services []string `toml:"services" json:"services"`
	// MaxConcurrent bounds the requests under way in one daemon; zero means none.
	MaxConcurrent int `toml:"concurrent" json:"concurrent"`
	// TokensPerMinute bounds the tokens a minute in one daemon; zero means none.
	TokensPerMinute int `toml:"tokens" json:"tokens"`
	// Weight is the team's part when capacity is short; zero means 1.
	Weight float64 `toml:"weight" json:"weight"`
	// MaxPriority is the highest priority that the team may ask for.
	MaxPriority int `toml:"priority" json:"priority"`
}

// TokenKey is a key for session tokens and request ids. The first key of a
// configuration signs; every key verifies.
type TokenKey struct {
	Name   string `toml:"name" json:"name"`
	Secret string `toml:"secret" json:"secret"`
}

// Guard sets the sequential test that watches versions for faults.
type Guard struct {
	// GoodRate and Bad are the failure rates of a healthy and of a bad version.
	GoodRate float64 `toml:"good" json:"good"`
	BadRate  float64 `toml:"bad" json:"bad"`
	// FalseAlarmRate is the accepted share of false alarms; Miss that of misses.
	FalseAlarmRate float64 `toml:"alarm" json:"alarm"`
	MissRate       float64 `toml:"miss" json:"miss"`
	// MinRating is the rating, from 0 to 1, below which an answer counts as a
	// failure; zero means that ratings do not count.
	MinRating float64 `toml:"floor" json:"floor"`
}

// Retry sets the retry budget.
type Retry struct {
	// Share is the number of retries allowed for each request, from 0 to 1.
	Share float64 `toml:"share" json:"share"`
	// MaxAttempts bounds the sends of one request, the first included.
	MaxAttempts int `toml:"attempts" json:"attempts"`
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
