package samphireturn

const (
	// VersionLive marks a version that takes new sessions.
	VersionLive = "live"
	// VersionCanary marks a version that takes a bounded share of new sessions.
	VersionCanary = "canary"
	// VersionWithdrawn marks a version that takes no new work at all.
	VersionWithdrawn = "withdrawn"
)

// Config is an accepted configuration. It is immutable once published.
type Config struct {
	// Generation numbers accepted configurations in order; the publisher sets it.
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

// Preset is a set of aliases and a scale of limits for one kind of day. Exactly
// one preset of a configuration has Active set.
type Preset struct {
	Name    string  `toml:"name" json:"name"`
	Active  bool    `toml:"force" json:"force"`
	Aliases []Alias `toml:"alias" json:"alias"`
	// Scale multiplies every team's limits; zero means 1.
	Scale float64 `toml:"scale" json:"scale"`
	// ExploreShare is the share of cascade requests, from 0 to 1, that try a step
	// whose estimate is stale.
	ExploreShare float64 `toml:"explore" json:"explore"`
}

// Alias is a name that callers use for a cascade of models. Steps lists the models,
// cheapest first.
type Alias struct {
	Name  string   `toml:"name" json:"name"`
	Steps []string `toml:"steps" json:"steps"`
	// MinQuality is the rating, from 0 to 1, from which a step's answer is released
	// to the caller.
	MinQuality float64 `toml:"quality" json:"quality"`
	// TargetShare is the share of answers, from 0 to 1, that must reach MinQuality.
	TargetShare float64 `toml:"target" json:"target"`
	// MaxDelayMs is the longest time in milliseconds that rating answers may add to
	// a request; zero means no bound.
	MaxDelayMs int64 `toml:"delay" json:"delay"`
}

// Centre is a data centre.
type Centre struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
	// OutOfService is true while operators keep the data centre out of service.
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
	// Share is the share of the model's new sessions that go to this version.
	Share float64 `toml:"share" json:"share"`
	// Successor names the version of the same model that inherits the sessions
	// of a withdrawn version.
	Successor string `toml:"successor" json:"successor"`
	// EnginesPerCentre is the number of engines in each data centre that should have
	// the version loaded. No engine is ordered to load it if the number is zero or
	// the version is withdrawn.
	EnginesPerCentre int `toml:"engines" json:"engines"`
	// InputPrice and OutputPrice are prices per million tokens.
	InputPrice  float64 `toml:"input" json:"input"`
	OutputPrice float64 `toml:"output" json:"output"`
}

// Service is a plain service, which is routed to like the models.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Idempotent lists "METHOD /path" patterns of requests that may be retried; a
	// path may end in "*". GET and HEAD are idempotent unless listed in
	// NotIdempotent.
	Idempotent []string `toml:"idempotent" json:"idempotent"`
	// NotIdempotent lists patterns of GET and HEAD requests that must not be retried.
	NotIdempotent []string `toml:"once" json:"once"`
}

// Team is a customer team: its keys, what it may use and its limits.
type Team struct {
	Name string `toml:"name" json:"name"`
	// Keys are the SHA-256 hashes, in hexadecimal, of the team's bearer keys.
	Keys []string `toml:"keys" json:"keys"`
	// Models lists the models that the team may use, as "model" or "model@version",
	// and Services the plain services.
	Models   []string `toml:"models" json:"models"`
	Services []string `toml:"services" json:"services"`
	// MaxConcurrent bounds the team's requests in flight in each daemon; zero means
	// no bound.
	MaxConcurrent int `toml:"concurrent" json:"concurrent"`
	// TokensPerMinute bounds the team's tokens per minute in each daemon; zero means
	// no bound.
	TokensPerMinute int `toml:"tokens" json:"tokens"`
	// Weight is the team's weight when capacity is scarce; zero means 1.
	Weight float64 `toml:"weight" json:"weight"`
	// MaxPriority is the highest priority that the team may request.
	MaxPriority int `toml:"priority" json:"priority"`
}

// TokenKey is a signing key for session tokens and request ids. The first key of
// a configuration signs; every key verifies.
type TokenKey struct {
	Name   string `toml:"name" json:"name"`
	Secret string `toml:"secret" json:"secret"`
}

// Guard configures the sequential test that detects faulty versions.
type Guard struct {
	// GoodRate and BadRate are the failure rates of a healthy and of a faulty
	// version.
	GoodRate float64 `toml:"good" json:"good"`
	BadRate  float64 `toml:"bad" json:"bad"`
	// FalseAlarmRate is the accepted probability of a false alarm, and MissRate that
	// of a missed fault.
	FalseAlarmRate float64 `toml:"alarm" json:"alarm"`
	MissRate       float64 `toml:"miss" json:"miss"`
	// MinRating is the rating, from 0 to 1, below which an answer counts as a
	// failure; zero means that ratings are ignored.
	MinRating float64 `toml:"floor" json:"floor"`
}

// Retry configures the retry budget.
type Retry struct {
	// Share is the number of retries allowed per request, from 0 to 1.
	Share float64 `toml:"share" json:"share"`
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int `toml:"attempts" json:"attempts"`
}

// VersionRef names one version of one model.
type VersionRef struct {
	Model   string `cbor:"m" json:"model"`
	Version string `cbor:"v" json:"version"`
}

// String returns "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// ServiceRef returns the VersionRef that stands for a plain service where versions
// are keys, as in Snapshot.RemoteCentres.
func ServiceRef(name string) VersionRef { return VersionRef{Version: name} }
