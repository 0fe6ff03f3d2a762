// Package detector discovers the daemons and endpoints of the fleet.
//
// Two daemons of each data centre, the homes of its VM list, read the list from
// the platform and send it to the other daemons there. The home of an endpoint
// reads the endpoint's load report and shares it within the data centre. From
// these, each daemon builds its endpoints and pools.
package detector

import (
	"context"
	"expvar"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

const (
	// TopicVMs is the topic of ListUpdate messages.
	TopicVMs = "vms"
	// TopicListRequest is the topic of ListRequest messages.
	TopicListRequest = "vms.get"
	// TopicReports is the topic of ReportBatch messages.
	TopicReports = "reports"
	// TopicServing is the topic of ServedVersions messages.
	TopicServing = "serving"

	// listReaders is the number of daemons of a data centre that read the VM
	// list.
	listReaders = 2
	// standbyHalfIntervals is the shortest time between two reads of the standby
	// reader in halves of a list interval, so that it reads every other interval.
	standbyHalfIntervals = 3
	// servedTTLIntervals is the number of serving intervals after which the served
	// versions of another data centre expire.
	servedTTLIntervals = 4
	// maxReportBytes is the maximum size of a report's body in bytes.
	maxReportBytes = 64 << 10
	// maxFailedReads is the number of failed reads in a row after which an
	// endpoint counts as failed.
	maxFailedReads = 4
	// maxMissingLists is the number of lists in a row that an endpoint may be
	// missing from while its report can be read.
	maxMissingLists = 2
	// loadSteps is the number of steps of a load: a smaller change is not shared
	// with the other daemons.
	loadSteps = 8
	// leavingTTL is how long an endpoint gets no requests after it refused one
	// because it is leaving.
	leavingTTL = 10 * time.Second
	// ownListTTLIntervals is the number of list intervals for which a daemon
	// prefers the list that it read itself to a list from a peer.
	ownListTTLIntervals = 3
)

// reasons counts failures and unusual events.
var reasons = expvar.NewMap("detector_reason")

type (
	// Links is the part of the messenger that the detector uses.
	Links interface {
		samphireturn.Peers
		SetMembers(members []samphireturn.VM)
	}

	// Detector reads and shares the VM list and the load reports. It is a service
	// of the kernel. Set the exported fields before Run.
	Detector struct {
		Log     zerolog.Logger
		Lister  samphireturn.Lister
		Links   Links
		Control samphireturn.Control
		// ExcludeLeaving returns the members that may be home of something, at
		// least one; nil means all members.
		ExcludeLeaving func(members []samphireturn.VM) []samphireturn.VM
		// Client reads the endpoints' reports.
		Client *http.Client
		Now    func() time.Time
		// Rand returns a number in [0, 1) for the jitter of fallbackDelay.
		Rand func() float64
		// ListInterval is the time between two reads of the VM list by its homes,
		// MaxFallbackDelay the longest time after which another daemon that got no
		// list from a home reads it itself.
		ListInterval, MaxFallbackDelay time.Duration
		// ReportInterval is the time between two reads of an endpoint's report, and
		// between two messages that share reports.
		ReportInterval time.Duration
		// ServingInterval is the time between two announcements of the versions that
		// this data centre serves. An announcement expires after
		// servedTTLIntervals intervals.
		ServingInterval time.Duration
		// Workers is the maximum number of reports read, and of messages sent, at
		// the same time.
		Workers int

		self     samphireturn.VM
		instance uint64
		http     *resty.Client
		pool     pond.Pool
		cancel   context.CancelFunc
		wait     sync.WaitGroup
		// fallbackDelay is MaxFallbackDelay less a jitter of up to half of it, drawn
		// once.
		fallbackDelay time.Duration

		mu   sync.Mutex
		list []samphireturn.VM
		// previousList is the list before list.
		previousList []samphireturn.VM
		// listConfirmed is when list was last set or confirmed, lastRead when this
		// daemon last read the list from the platform.
		listConfirmed time.Time
		lastRead      time.Time
		// missingLists is the number of lists in a row that an endpoint was missing
		// from, by id.
		missingLists map[string]int
		records      map[string]*record
		// seq is the sequence number of the latest shared change of a record.
		seq           uint64
		peers         map[string]*peer
		remoteCentres map[string]remoteCentre
		config        *samphireturn.Config
		// dirty is set if the state must be published.
		dirty bool
		// informed holds the linked daemons of other data centres, with true for
		// those that have received the versions that this data centre serves.
		informed map[string]bool
		// lastUpdate is the update posted last.
		lastUpdate atomic.Pointer[update]
	}

	// record is the state of one endpoint.
	record struct {
		Report
		// seq is the sequence number of the last change to share, if this daemon
		// reads the report itself.
		seq         uint64
		readHere    bool
		failedReads int
		incarnation uint64
		hasReport   bool
		// justRestarted makes a restarted endpoint count as cold until a later
		// report.
		justRestarted bool
		quota         *samphireturn.Quota
		// lastShared is the last report that was due to be sent to the other
		// daemons.
		lastShared Report
		// leavingSince is when the endpoint refused a request because it is
		// leaving.
		leavingSince time.Time
	}

	// peer is what another daemon has acknowledged.
	peer struct {
		instance uint64
		ackedSeq uint64
	}

	// remoteCentre holds the versions that another data centre serves.
	remoteCentre struct {
		versions   []samphireturn.VersionRef
		receivedAt time.Time
	}
)

// New returns a detector of the daemon self.
func New(self samphireturn.VM, log zerolog.Logger) *Detector {
	return &Detector{
		Log:              log,
		Client:           &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		Now:              time.Now,
		Rand:             mathrand.Float64,
		ListInterval:     time.Second,
		MaxFallbackDelay: 30 * time.Second,
		ReportInterval:   500 * time.Millisecond,
		ServingInterval:  5 * time.Second,
		Workers:          16,
		self:             self,
		missingLists:     make(map[string]int),
		records:          make(map[string]*record),
		peers:            make(map[string]*peer),
		remoteCentres:    make(map[string]remoteCentre),
	}
}

// Home returns the id of the daemon that is home of name.
func Home(name string, members []samphireturn.VM) string { return ranker.Home(name, members) }

// Rank returns the ids of members in their order as home of name, the first
// choice first.
func Rank(name string, members []samphireturn.VM) []string { return ranker.Rank(name, members) }

// Register sets the handlers of the detector's topics. It must be called before
// the messenger runs.
func (d *Detector) Register() {
	d.instance = uint64(d.Now().UnixNano())
	d.pool = pond.NewPool(d.Workers)
	d.Links.Handle(TopicVMs, d.handleList)
	d.Links.Handle(TopicListRequest, d.handleListRequest)
	d.Links.Handle(TopicReports, d.handleReports)
	d.Links.Handle(TopicServing, d.handleServed)
}

// Run starts reading and sharing lists and reports, and returns at once.
func (d *Detector) Run(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	d.http = resty.NewWithClient(d.Client).SetResponseBodyLimit(maxReportBytes)
	d.fallbackDelay = time.Duration((0.5 + d.Rand()/2) * float64(d.MaxFallbackDelay))
	d.wait.Go(func() { d.runEvery(ctx, d.ListInterval, d.readList) })
	d.wait.Go(func() { d.runEvery(ctx, d.ListInterval, d.requestList) })
	d.wait.Go(func() { d.runEvery(ctx, d.ReportInterval, d.readReports) })
	d.wait.Go(func() { d.runEvery(ctx, d.ServingInterval, d.announceServed) })
	return nil
}

// Close stops the detector and waits until its goroutines have ended.
func (d *Detector) Close() error {
	if d.cancel == nil {
		return nil
	}
	d.cancel()
	d.wait.Wait()
	d.Client.CloseIdleConnections()
	return nil
}

// runEvery calls f at once and then once each interval until ctx ends.
func (d *Detector) runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// members returns the daemons in the list, or self alone while there is no
// list. The caller holds mu.
func (d *Detector) members() []samphireturn.VM {
	var found []samphireturn.VM
	for _, vm := range d.list {
		if vm.Role == samphireturn.RoleEntry {
			found = append(found, vm)
		}
	}
	if len(d.list) == 0 {
		found = append(found, d.self)
	}
	return found
}

// linkedMembers returns the listed daemons of this data centre that have a live
// link, and self if it is listed; if there are none, self alone. The caller
// holds mu.
func (d *Detector) linkedMembers() []samphireturn.VM {
	linked := d.Links.Connected()
	var found []samphireturn.VM
	for _, vm := range ranker.InCentre(d.self.Centre, d.members()) {
		_, ok := slices.BinarySearch(linked, vm.ID)
		if ok || vm.ID == d.self.ID {
			found = append(found, vm)
		}
	}
	if len(found) == 0 {
		found = append(found, d.self)
	}
	return found
}

// homeCandidates returns the linked daemons that may be home of something. The
// caller holds mu.
func (d *Detector) homeCandidates() []samphireturn.VM {
	if d.ExcludeLeaving == nil {
		return d.linkedMembers()
	}
	return d.ExcludeLeaving(d.linkedMembers())
}

// linkedOthers returns the ids of the linked daemons without self. The caller
// holds mu.
func (d *Detector) linkedOthers() []string {
	var ids []string
	for _, vm := range d.linkedMembers() {
		if vm.ID != d.self.ID {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// isAmongHomes reports whether self is among the first n homes of name. The
// caller holds mu.
func (d *Detector) isAmongHomes(name string, n int) bool {
	ids := ranker.Rank(name, d.homeCandidates())
	return slices.Contains(ids[:min(n, len(ids))], d.self.ID)
}
