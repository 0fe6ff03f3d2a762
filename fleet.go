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

// InstanceName returns the name of one process of the daemon with the given id.
// Names are unique: start differs for each process.
func InstanceName(id, start string) string { return id + "." + start }

// InstanceVM returns the id of the daemon that the instance belongs to.
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
	// Peer is the host:port for connections between daemons; empty for endpoints.
	Peer string `json:"peer,omitempty"`
	// Service is the name of the plain service that the VM serves.
	Service string `json:"service,omitempty"`
	// Cores is the processor share of an entry VM, in cores; zero if unknown.
	Cores float64 `json:"cores,omitempty"`
}

// Endpoint is an engine or a plain service's VM in the chat interface's control
// state: an entry of the VM list with its last report. It is immutable except for
// Quota, which requests update. See Host for the endpoints of a routing table.
type Endpoint struct {
	// The fields that every routing decision reads come first, so that they share
	// a cache line.
	Quota *Quota
	// Home is the id of the daemon that reads the endpoint's reports and grants
	// shares of its budget to the others.
	Home string
	// Budget is the concurrent work, in tokens, that the endpoint can take once
	// warm; zero until its first report.
	Budget int64
	// InFlight is the work in flight at the endpoint, from all daemons, at its last
	// report, which lags.
	InFlight int64
	// Queued is the work queued at the endpoint at its last report, in tokens.
	Queued int64
	// Throughput is the endpoint's output in tokens per second; zero if unknown.
	Throughput float64
	// Warm is false while the endpoint is being ramped up.
	Warm bool
	// Fenced is true if the endpoint checks the fencing token of orders.
	Fenced bool
	VM
	// Incarnation changes when the endpoint's process restarts.
	Incarnation uint64
	// Versions lists the model versions that an engine has loaded.
	Versions []VersionRef
}

// Quota is this daemon's share of one endpoint's budget and its use of that
// share. The zero value allows no work. It is safe for concurrent use.
type Quota struct {
	// Outstanding is this daemon's work in flight, in tokens.
	Outstanding atomic.Int64
	// Requests is the number of this daemon's requests in flight.
	Requests atomic.Int64
	// Allowed is the work that this daemon may have in flight, in tokens.
	Allowed atomic.Int64
	// PeakDemand is the most work, in tokens, that this daemon would have had in
	// flight without a limit, and LargestRequest the largest single request, both
	// since the granter last read them.
	PeakDemand, LargestRequest atomic.Int64
	// Expires is when Allowed expires, in nanoseconds on the limiter's clock.
	Expires atomic.Int64
	// Throughput estimates the endpoint's throughput from its answers to this
	// daemon.
	Throughput ThroughputEstimator
}

// RecordDemand records that this daemon has a request of the given size, in
// tokens, for the endpoint, whether the grant has room for it or not.
func (q *Quota) RecordDemand(work int64) {
	raise(&q.PeakDemand, q.Outstanding.Load()+work)
	raise(&q.LargestRequest, work)
}

// raise sets v to at least n.
func raise(v *atomic.Int64, n int64) {
	for old := v.Load(); old < n; old = v.Load() {
		if v.CompareAndSwap(old, n) {
			return
		}
	}
}

// Snapshot is the control state as request handling reads it. It is immutable.
type Snapshot struct {
	Config *Config
	// Preset is the active preset.
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
	// RemoteCentres holds, for each version or ServiceRef, the other data centres
	// that serve it, without those taken out of service.
	RemoteCentres map[VersionRef][]string
	// HeldVersions holds the versions that were found faulty and take no new
	// sessions until they are released.
	HeldVersions map[VersionRef]bool
	// View is the state of a daemon that forwards by a routing table; nil in one
	// that serves the chat interface.
	View *View
}
