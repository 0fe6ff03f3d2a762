package samphireturn

import (
	"strings"
	"sync/atomic"
)

const (
	// RoleEntry is the role of a VM that runs samphireturnd.
	RoleEntry = "entry"
	// RoleEngine is the role of a VM that serves a model.
	RoleEngine = "engine"
	// RoleService is the role of a VM that serves a plain service.
	RoleService = "service"
)

// InstanceName returns the name of one process of the daemon with the id. No two
// processes share a name.
func InstanceName(id, start string) string { return id + "." + start }

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
	ID      string `json:"id"`
	Leaving bool   `json:"leaving,omitempty"`
	Centre  string `json:"centre"`
	Role    string `json:"role"`
	// Addr is the host:port for callers' or endpoint traffic.
	Addr string `json:"addr"`
	// Peer is the host:port for links between daemons; empty for endpoints.
	Peer string `json:"peer,omitempty"`
	// Service is the name of the plain service that the VM serves.
	Service string `json:"service,omitempty"`
}

// Endpoint is an engine or a plain service's VM as this daemon sees it. The
// value is immutable; Gauge is shared with traffic.
type Endpoint struct {
	// The fields that each decision reads come first, so that they share a cache
	// line.
	Quota *Quota
	// Home is the daemon that reads the endpoint's reports and grants budget.
	Home string
	// Budget is the concurrent work, in tokens, that the endpoint bears when
	// warm; zero until its first report.
	Budget int64
	// InFlight is the work under way at the endpoint, from all daemons, at its last
	// report, which lags.
	InFlight int64
	// Queued is the work waiting at the endpoint at its last report, in tokens.
	Queued int64
	// Throughput is the tokens a second that the endpoint makes; zero if unknown.
	Throughput float64
	// Warm is false while the endpoint is being ramped up.
	Warm bool
	// Fenced is true if the endpoint checks the fencing number of orders.
	Fenced bool
	VM
	// Incarnation changes when the endpoint's process starts anew.
	Incarnation uint64
	// Versions lists what an engine has loaded.
	Versions []VersionRef
}

// Quota counts one daemon's work at one endpoint. The zero value allows
// nothing. It is safe for concurrent use.
type Quota struct {
	// Outstanding is the work under way from this daemon, in tokens.
	Outstanding atomic.Int64
	// Requests is the number of requests under way from this daemon.
	Requests atomic.Int64
	// Allowed is the work that this daemon may have under way, in tokens.
	Allowed atomic.Int64
	// PeakDemand is the most work that this daemon would have had under way since the
	// granter last looked, and LargestRequest the largest request among it.
	PeakDemand, LargestRequest atomic.Int64
	// Expires is the time, in nanoseconds of the limiter's clock, when Allowed
	// ends.
	Expires atomic.Int64
	// Throughput is the speed that this daemon saw.
	Throughput ThroughputEstimator
}

// RecordDemand notes that this daemon has work of the given size for the endpoint, in
// tokens, whether the grant has room for it or not.
func (g *Quota) RecordDemand(work int64) {
	raise(&g.PeakDemand, g.Outstanding.Load()+work)
	raise(&g.LargestRequest, work)
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
	// RemoteCentres holds, for each version, the data centres not taken out that serve
	// it, this one excluded.
	RemoteCentres map[VersionRef][]string
	// HeldVersions lists versions that take no new sessions until released.
	HeldVersions map[VersionRef]bool
	// View is what a daemon that forwards by a table of routes knows; nil in one
	// that serves the chat interface.
	View *View
}
