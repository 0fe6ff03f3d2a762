// Package orderer orders the engines of a data centre to load the versions that
// the configuration wants.
//
// Orders are given under a lease of the data centre. The holder reads the
// reports of all engines before each order and decides from these alone, so that
// the next holder goes on where the last one stopped. One load is under way at a
// time. Before an order the holder draws the weights at the weight store, whose
// refusals bound the rate of all data centres together, renews the lease and
// writes its intent into the progress object by conditional update.
//
// An order carries the lease's fencing number. Since not all engines check it,
// an order is sent only while the lease outlives the order's time-out, and a new
// holder sends none before that time has passed. A holder that was paused finds
// its lease lapsed, at the latest when the request's body is written.
package orderer

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/leaser"
)

const (
	// DefaultPeriod is the time between two looks.
	DefaultPeriod = 2 * time.Second

	// orderTime bounds an order, the reading of reports and each call to the
	// platform.
	orderTime = 2 * time.Second
	// loadTime is the longest time that a silent engine counts as loading.
	loadTime = 10 * time.Minute
	// restTime is how long an engine gets no order after one that it refused or
	// did not carry out.
	restTime = time.Minute
	// weightTime is the wait after a refusal of the weight store that names none.
	weightTime = time.Second
	// readers bounds the reports that are read at once.
	readers = 16
)

var (
	orders  = expvar.NewMap("orderer_orders")
	reasons = expvar.NewMap("orderer_reason")
)

type (
	// Weights is the weight store. It returns an error of KindLimited above its
	// rate.
	Weights interface {
		Weights(ctx context.Context, name string) error
	}

	// Orderer is a service of the kernel. Set the exported fields before Run.
	Orderer struct {
		Control samphireturn.Control
		Store   samphireturn.Store
		Weights Weights
		Leaser  *leaser.Leaser
		// Client sends the orders and reads the reports.
		Client *http.Client
		// Home reports whether this daemon should hold the lease; nil means always.
		Home func() bool
		// Now is time.Now unless set.
		Now func() time.Time
		// Period is the time between two looks; zero means DefaultPeriod.
		Period time.Duration
		Log    zerolog.Logger

		cancel context.CancelFunc
		wait   sync.WaitGroup

		// What follows belongs to the goroutine.
		lease leaser.Lease
		// quiet is the time before which no order is sent.
		quiet time.Time
		// drawn is the version whose weights were drawn and not yet used, and
		// refused the time until which the weight store refuses.
		drawn   string
		refused time.Time
		rest    map[string]time.Time
		// given is the order given last by this process, and since the time when
		// the intent in last was written or found.
		given order
		since time.Time
		// last is the progress object as read or written last; version is zero if
		// that is not known.
		last    Progress
		version uint64
		read    bool
	}
)

// Run starts to give orders and returns at once.
func (o *Orderer) Run(ctx context.Context) error {
	o.rest = make(map[string]time.Time)
	ctx, o.cancel = context.WithCancel(ctx)
	o.wait.Go(func() { o.loop(ctx) })
	return nil
}

// Close stops the orderer, waits for it and gives up the lease.
func (o *Orderer) Close() error {
	if o.cancel == nil {
		return nil
	}
	o.cancel()
	o.wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	o.release(ctx)
	return nil
}

func (o *Orderer) loop(ctx context.Context) {
	period := o.Period
	if period == 0 {
		period = DefaultPeriod
	}
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		o.look(ctx)
	}
}

// look does the next step towards what is wanted.
func (o *Orderer) look(ctx context.Context) {
	s := o.Control.Snapshot()
	if s.Config == nil || out(s) || o.Home != nil && !o.Home() {
		o.read = false
		o.release(ctx)
		return
	}
	engines := o.listed(s)
	f := newFleet(s.Config, engines)
	if !o.needed(ctx, s, f) {
		o.release(ctx)
		return
	}
	if !o.hold(ctx, s.Self.Centre) || !o.reread(ctx, s.Self.Centre) {
		return
	}
	next, ok, problem := f.next()
	if ok {
		f, next, ok, problem = o.confirm(ctx, s, engines)
	}
	p := Progress{Centre: s.Self.Centre, Versions: f.progress(), Problem: problem}
	if f.missing() {
		p.Engine, p.Loading = o.last.Engine, o.last.Loading
	}
	if ok && !o.now().Before(o.quiet) {
		o.give(ctx, next, p)
		return
	}
	o.write(ctx, p)
}

// out reports whether operators have taken this data centre out of service.
func out(s *samphireturn.Snapshot) bool {
	return slices.ContainsFunc(s.Config.Centres, func(c samphireturn.Centre) bool { return c.OutOfService && c.Name == s.Self.Centre })
}

// confirm decides again from the engines' own reports. While the engine ordered
// last is loading, only its report is read.
func (o *Orderer) confirm(ctx context.Context, s *samphireturn.Snapshot, engines []engine) (f *fleet, next order, ok bool, problem string) {
	if i := slices.IndexFunc(engines, func(e engine) bool { return e.id == o.last.Engine }); i >= 0 {
		found, _ := o.ask(ctx, engines[i:i+1])
		if len(found) > 0 && found[0].loading != "" {
			return newFleet(s.Config, engines), order{}, false, ""
		}
	}
	engines, silent := o.ask(ctx, engines)
	f = newFleet(s.Config, engines)
	o.check(f)
	next, ok, problem = f.next()
	switch {
	case problem == problemLoading:
		problem = ""
	case ok && o.busy(silent):
		ok, problem = false, o.last.Engine+" does not answer and may be loading"
	}
	return f, next, ok, problem
}

// needed reports whether anything is missing or the progress object is out of
// date.
func (o *Orderer) needed(ctx context.Context, s *samphireturn.Snapshot, f *fleet) bool {
	if f.missing() {
		return true
	}
	if !o.reread(ctx, s.Self.Centre) {
		return false
	}
	p := Progress{Centre: s.Self.Centre, Versions: f.progress()}
	return !p.same(o.last) && (len(f.names) > 0 || o.version > 0)
}

// hold acquires or renews the lease.
func (o *Orderer) hold(ctx context.Context, centre string) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	if o.lease.Valid(0) {
		return o.renew(ctx)
	}
	o.lease = leaser.Lease{}
	l, err := o.Leaser.Acquire(ctx, Prefix+centre)
	if err != nil {
		reasons.Add("lease", 1)
		return false
	}
	// The last holder's order may be under way until its time-out.
	o.lease, o.quiet, o.read = l, o.now().Add(orderTime), false
	return true
}

// renew renews the lease once half of its life is over. It reports whether the
// lease is held.
func (o *Orderer) renew(ctx context.Context) bool {
	if o.lease.Valid(leaser.DefaultTTL / 2) {
		return true
	}
	l, err := o.Leaser.Renew(ctx, o.lease)
	var failed *leaser.Error
	if errors.As(err, &failed) && failed.Kind == leaser.KindLost {
		l = leaser.Lease{}
	}
	if err != nil {
		reasons.Add("renew", 1)
	}
	o.lease = l
	return o.lease.Valid(0)
}

// release gives up the lease, if this daemon holds it and has no order under
// way.
func (o *Orderer) release(ctx context.Context) {
	if o.lease.Valid(0) && !o.now().Before(o.quiet) {
		ctx, cancel := context.WithTimeout(ctx, orderTime)
		defer cancel()
		_ = o.Leaser.Release(ctx, o.lease)
		o.lease = leaser.Lease{}
	}
}

// reread reads the progress object unless it is known.
func (o *Orderer) reread(ctx context.Context, centre string) bool {
	if o.read {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	p, version, err := load(ctx, o.Store, centre)
	if err != nil {
		reasons.Add("progress", 1)
		return false
	}
	if p.Engine != o.last.Engine || p.Loading != o.last.Loading {
		o.since = o.now()
	}
	o.last, o.version, o.read = p, version, true
	return true
}

// write stores the progress if it has changed, and reports whether the platform
// has it.
func (o *Orderer) write(ctx context.Context, p Progress) bool {
	if p.same(o.last) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	p.Time, p.Fence = o.now().UTC(), o.lease.Fence
	version, err := save(ctx, o.Store, p, o.version)
	if err != nil {
		reasons.Add("progress", 1)
		o.read = false
		return false
	}
	o.last, o.version = p, version
	return true
}

// busy reports whether the engine ordered last is among those that do not
// answer, and may be loading.
func (o *Orderer) busy(silent []string) bool {
	return slices.Contains(silent, o.last.Engine) && o.now().Sub(o.since) < loadTime
}

// check lets the engine that this process ordered last rest if it neither has
// the version nor is loading it.
func (o *Orderer) check(f *fleet) {
	if o.given.version == "" || o.now().Before(o.quiet) {
		return
	}
	for i := range f.engines {
		e := &f.engines[i]
		if e.id != o.given.engine.id || e.loading != "" {
			continue
		}
		if !slices.Contains(e.versions, o.given.version) {
			reasons.Add("not loaded", 1)
			o.rest[e.id] = o.now().Add(restTime)
			e.resting = true
		}
		o.given = order{}
	}
}

// give draws the weights, writes the intent and sends the order.
func (o *Orderer) give(ctx context.Context, next order, p Progress) {
	if !o.draw(ctx, next.version) {
		p.Problem = "weight store: " + next.version + " refused or not reached"
		o.write(ctx, p)
		return
	}
	p.Engine, p.Loading = next.engine.id, next.version
	held, cancel := context.WithTimeout(ctx, orderTime)
	ok := o.renew(held)
	cancel()
	if !ok || !o.write(ctx, p) {
		return
	}
	// Until the answer is known, the order may be carried out at any time.
	o.quiet, o.since, o.given = o.now().Add(orderTime), o.now(), next
	status, err := o.send(ctx, o.lease, next)
	switch {
	case samphireturn.KindOf(err) == samphireturn.KindUnavailable:
		orders.Add("not sent", 1)
		o.given = order{}
	case err != nil:
		orders.Add("unknown", 1)
		o.drawn = ""
		o.Log.Warn().Err(err).Msg("order in doubt")
	case status == http.StatusOK:
		orders.Add("accepted", 1)
		o.drawn = ""
		o.Log.Info().Str("engine", next.engine.id).Str("version", next.version).Msg("ordered to load")
	default:
		orders.Add("refused", 1)
		o.given, o.rest[next.engine.id] = order{}, o.now().Add(restTime)
		if status == http.StatusConflict {
			// The engine has an order of a later holder.
			o.lease = leaser.Lease{}
		}
		o.Log.Warn().Str("engine", next.engine.id).Int("status", status).Msg("order refused")
	}
}

// draw takes a version's weights at the weight store, once for each load.
func (o *Orderer) draw(ctx context.Context, version string) bool {
	if o.drawn == version {
		return true
	}
	if o.now().Before(o.refused) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	err := o.Weights.Weights(ctx, version)
	if err != nil {
		reasons.Add("weights "+samphireturn.KindOf(err).String(), 1)
		o.refused = o.now().Add(max(samphireturn.RetryAfter(err), weightTime))
		return false
	}
	o.drawn = version
	return true
}

func (o *Orderer) now() time.Time {
	if o.Now == nil {
		return time.Now()
	}
	return o.Now()
}
