// Package detector finds the daemons and endpoints of the fleet.
//
// Two daemons of a data centre, its homes, read the platform's VM list and
// pass it on. The home of an endpoint reads its load report and shares it with
// the data centre. Each daemon builds its endpoints and pools from that.
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
	// TopicVMs is the topic of List messages.
	TopicVMs = "vms"
	// TopicAsk is the topic of ListAsk messages.
	TopicAsk = "vms.get"
	// TopicReports is the topic of Batch messages.
	TopicReports = "reports"
	// TopicServing is the topic of Serving messages.
	TopicServing = "serving"

	// listHomes is the number of daemons of a data centre that read the VM list.
	listHomes = 2
	// secondTime is the least time between two reads of the second home, in
	// halves of a list period, so that it reads every other period.
	secondTime = 3
	// servingPeriods is the number of periods after which what another data centre
	// serves is forgotten.
	servingPeriods = 4
	// reportLimit bounds the body of a report, in bytes.
	reportLimit = 64 << 10
	// failLimit is the number of failed reads after which an endpoint counts as
	// not answering.
	failLimit = 4
	// gapLimit is the number of lists in a row that an endpoint may be missing
	// from while its report answers.
	gapLimit = 2
	// loadSteps is the number of steps of the load that are passed on.
	loadSteps = 8
	// leavingTime is how long an endpoint gets no work after a refusal that said
	// that it is leaving.
	leavingTime = 10 * time.Second
	// freshLists is the number of list periods for which a home prefers the list
	// that it read itself to another's.
	freshLists = 3
)

var reasons = expvar.NewMap("detector_reason")

type (
	// Links is what the detector needs of the messenger.
	Links interface {
		samphireturn.Peers
		SetMembers(members []samphireturn.VM)
	}

	// Detector is a service of the kernel. Set the exported fields before Run.
	Detector struct {
		Log     zerolog.Logger
		Lister  samphireturn.Lister
		Links   Links
		Control samphireturn.Control
		// ExcludeLeaving returns the members that may be home of something, at least
		// one; nil means all members.
		ExcludeLeaving func(members []samphireturn.VM) []samphireturn.VM
		// Client reads the endpoints' reports.
		Client *http.Client
		Now    func() time.Time
		// Rand returns a number from 0 up to 1 for the jitter of slow reads.
		Rand func() float64
		// ListTime is the period of the homes' reads of the VM list, SlowTime
		// that of the other daemons without news from a home.
		ListTime, SlowTime time.Duration
		// ReportTime is the period of reports and of their sharing.
		ReportTime time.Duration
		// ServingTime is the period in which data centres tell each other what
		// they serve; what is older than four periods is forgotten.
		ServingTime time.Duration
		// Workers bounds the reports that are read at once.
		Workers int

		self     samphireturn.VM
		instance uint64
		http     *resty.Client
		pool     pond.Pool
		cancel   context.CancelFunc
		wait     sync.WaitGroup
		// slow jitters SlowTime; drawn once.
		slow time.Duration

		mu   sync.Mutex
		list []samphireturn.VM
		// before is the list that was in force before list.
		before  []samphireturn.VM
		listed  time.Time
		read    time.Time
		missing map[string]int
		records map[string]*record
		seq     uint64
		peers   map[string]*peer
		serving map[string]remote
		config  *samphireturn.Config
		dirty   bool
		// greeted are the linked daemons of other data centres; true if they have
		// been told what this one serves.
		greeted map[string]bool
		// last is the state posted last.
		last atomic.Pointer[update]
	}

	// record is what is known of one endpoint.
	record struct {
		Report
		// seq orders the changes of records that this daemon read itself.
		seq     uint64
		own     bool
		fails   int
		started uint64
		known   bool
		// cold holds a restarted endpoint back until a later report.
		cold  bool
		gauge *samphireturn.Quota
		// passed is the report that was last meant for the other daemons.
		passed Report
		// refused is when the endpoint refused a request as it is leaving.
		refused time.Time
	}

	// peer is what another daemon has acknowledged.
	peer struct {
		instance uint64
		seq      uint64
	}

	// remote is what another data centre serves.
	remote struct {
		versions []samphireturn.VersionRef
		at       time.Time
	}
)

// New returns a detector of the daemon self.
func New(self samphireturn.VM, log zerolog.Logger) *Detector {
	return &Detector{
		Log:         log,
		Client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		Now:         time.Now,
		Rand:        mathrand.Float64,
		ListTime:    time.Second,
		SlowTime:    30 * time.Second,
		ReportTime:  500 * time.Millisecond,
		ServingTime: 5 * time.Second,
		Workers:     16,
		self:        self,
		missing:     make(map[string]int),
		records:     make(map[string]*record),
		peers:       make(map[string]*peer),
		serving:     make(map[string]remote),
	}
}

// Home returns the id of the daemon that is home of name.
func Home(name string, members []samphireturn.VM) string { return ranker.Home(name, members) }

// Rank returns the ids of members, the first choice as home of name first.
func Rank(name string, members []samphireturn.VM) []string { return ranker.Rank(name, members) }

// Register sets the handlers of the detector's topics. It must be called
// before the messenger runs.
func (d *Detector) Register() {
	d.instance = uint64(d.Now().UnixNano())
	d.pool = pond.NewPool(d.Workers)
	d.Links.Handle(TopicVMs, d.takeList)
	d.Links.Handle(TopicAsk, d.takeAsk)
	d.Links.Handle(TopicReports, d.takeBatch)
	d.Links.Handle(TopicServing, d.takeServing)
}

// Run starts the reading of lists and reports.
func (d *Detector) Run(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	d.http = resty.NewWithClient(d.Client).SetResponseBodyLimit(reportLimit)
	d.slow = time.Duration((0.5 + d.Rand()/2) * float64(d.SlowTime))
	d.wait.Go(func() { d.every(ctx, d.ListTime, d.readList) })
	d.wait.Go(func() { d.every(ctx, d.ListTime, d.askList) })
	d.wait.Go(func() { d.every(ctx, d.ReportTime, d.readReports) })
	d.wait.Go(func() { d.every(ctx, d.ServingTime, d.tellServing) })
	return nil
}

// Close stops the detector and waits for it.
func (d *Detector) Close() error {
	if d.cancel == nil {
		return nil
	}
	d.cancel()
	d.wait.Wait()
	d.Client.CloseIdleConnections()
	return nil
}

// every calls f now and then each period until ctx ends.
func (d *Detector) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	tick := time.NewTicker(period)
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

// members returns the daemons in the list; while there is none, self alone. The
// caller holds mu.
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

// reachable returns the daemons of this data centre that are linked, and self
// unless the list lacks it. If there are none, it is self. The caller holds mu.
func (d *Detector) reachable() []samphireturn.VM {
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

// homes returns the reachable daemons that may be home of something. The
// caller holds mu.
func (d *Detector) homes() []samphireturn.VM {
	if d.ExcludeLeaving == nil {
		return d.reachable()
	}
	return d.ExcludeLeaving(d.reachable())
}

// others returns the ids of reachable without self. The caller holds mu.
func (d *Detector) others() []string {
	var ids []string
	for _, vm := range d.reachable() {
		if vm.ID != d.self.ID {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// first reports whether self is among the first n for name. The caller holds
// mu.
func (d *Detector) first(name string, n int) bool {
	ids := ranker.Rank(name, d.homes())
	return slices.Contains(ids[:min(n, len(ids))], d.self.ID)
}
