// Package orderer orders the engines of a data centre to load the versions that
// the configuration wants.
//
// The daemon that holds the data centre's lease sends the orders. Before each
// order it reads the reports of all engines and decides from these alone, so
// that the next holder can continue where the last one stopped. Only one engine
// loads at a time. Before an order the holder requests the version's weights
// from the weight store, whose refusals limit the rate of all data centres
// together, renews the lease, and writes the intended order into the progress
// object by a conditional update.
//
// An order carries the lease's fencing number. Since not all engines check it,
// an order is sent only while the lease lasts longer than the order's timeout,
// and a new holder sends none until that timeout has passed. A holder that was
// paused finds that its lease has expired, at the latest when the request's
// body is written.
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
	// DefaultInterval is the default of Orderer.Interval.
	DefaultInterval = 2 * time.Second

	// callTimeout is the timeout of an order, of reading the reports and of each
	// call to the platform.
	callTimeout = 2 * time.Second
	// maxLoadTime is how long an engine whose report cannot be read counts as
	// loading.
	maxLoadTime = 10 * time.Minute
	// engineBackoff is how long an engine gets no order after it refused one or
	// did not carry it out.
	engineBackoff = time.Minute
	// weightsBackoff is the wait after a refusal of the weight store that names
	// none.
	weightsBackoff = time.Second
	// maxReportReads is the maximum number of reports that are read at the same
	// time.
	maxReportReads = 16
)

var (
	// orders counts orders by their outcome, reasons failures by their cause.
	orders  = expvar.NewMap("orderer_orders")
	reasons = expvar.NewMap("orderer_reason")
)

type (
	// Weights is the weight store. It returns an error of KindLimited above its
	// rate limit.
	Weights interface {
		FetchWeights(ctx context.Context, name string) error
	}

	// Orderer holds the lease of its data centre and sends the orders. It is a
	// service of the kernel. Set the exported fields before Run.
	Orderer struct {
		Control samphireturn.Control
		Store   samphireturn.Store
		Weights Weights
		Leaser  *leaser.Leaser
		// Client sends the orders and reads the reports.
		Client *http.Client
		// IsHome reports whether this daemon should hold the lease; nil means always.
		IsHome func() bool
		// Now is time.Now unless set.
		Now func() time.Time
		// Interval is the time between two reconciliations; zero means
		// DefaultInterval.
		Interval time.Duration
		Log      zerolog.Logger

		cancel context.CancelFunc
		wait   sync.WaitGroup

		// The fields below are used by the goroutine of Run only.
		lease leaser.Lease
		// noOrderBefore is the time before which no order is sent.
		noOrderBefore time.Time
		// weightsGranted is the version whose weights the store granted and that no
		// order has used yet; weightsRetryAt is when to request weights again after
		// a refusal.
		weightsGranted string
		weightsRetryAt time.Time
		// backoffUntil is the time until which an engine gets no orders, by id.
		backoffUntil map[string]time.Time
		// lastOrder is the last order that this process sent; intentSince is when
		// the intended order in stored was written or found.
		lastOrder   order
		intentSince time.Time
		// stored is the progress object as last read or written and storedVersion
		// its version, zero if there is none. storedKnown is false if the object
		// must be read again.
		stored        Progress
		storedVersion uint64
		storedKnown   bool
	}
)

// Run starts to reconcile periodically and returns at once.
func (o *Orderer) Run(ctx context.Context) error {
	o.backoffUntil = make(map[string]time.Time)
	ctx, o.cancel = context.WithCancel(ctx)
	o.wait.Go(func() { o.loop(ctx) })
	return nil
}

// Close stops the orderer, waits until its goroutine has ended and releases the
// lease.
func (o *Orderer) Close() error {
	if o.cancel == nil {
		return nil
	}
	o.cancel()
	o.wait.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o.release(ctx)
	return nil
}

func (o *Orderer) loop(ctx context.Context) {
	interval := o.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		o.reconcile(ctx)
	}
}

// reconcile takes the next step from the versions loaded to those desired.
func (o *Orderer) reconcile(ctx context.Context) {
	s := o.Control.Snapshot()
	if s.Config == nil || outOfService(s) || o.IsHome != nil && !o.IsHome() {
		o.storedKnown = false
		o.release(ctx)
		return
	}
	engines := o.enginesIn(s)
	f := newFleet(s.Config, engines)
	if !o.needed(ctx, s, f) {
		o.release(ctx)
		return
	}
	if !o.ensureLease(ctx, s.Self.Centre) || !o.ensureProgress(ctx, s.Self.Centre) {
		return
	}
	next, ok, problem := f.next()
	if ok {
		f, next, ok, problem = o.confirmNext(ctx, s, engines)
	}
	p := Progress{Centre: s.Self.Centre, Versions: f.progress(), Problem: problem}
	if f.incomplete() {
		p.Engine, p.Loading = o.stored.Engine, o.stored.Loading
	}
	if ok && !o.now().Before(o.noOrderBefore) {
		o.execute(ctx, next, p)
		return
	}
	o.storeProgress(ctx, p)
}

// outOfService reports whether operators have taken this data centre out of
// service.
func outOfService(s *samphireturn.Snapshot) bool {
	return slices.ContainsFunc(s.Config.Centres, func(c samphireturn.Centre) bool { return c.OutOfService && c.Name == s.Self.Centre })
}

// confirmNext decides on the next order from the engines' own reports. While
// the engine ordered last is loading, only its report is read.
func (o *Orderer) confirmNext(ctx context.Context, s *samphireturn.Snapshot, engines []engine) (f *fleet, next order, ok bool, problem string) {
	if i := slices.IndexFunc(engines, func(e engine) bool { return e.id == o.stored.Engine }); i >= 0 {
		found, _ := o.readReports(ctx, engines[i:i+1])
		if len(found) > 0 && found[0].loading != "" {
			return newFleet(s.Config, engines), order{}, false, ""
		}
	}
	engines, unreachable := o.readReports(ctx, engines)
	f = newFleet(s.Config, engines)
	o.checkLastOrder(f)
	next, ok, problem = f.next()
	switch {
	case problem == problemLoading:
		problem = ""
	case ok && o.mayBeLoading(unreachable):
		ok, problem = false, o.stored.Engine+" does not answer and may be loading"
	}
	return f, next, ok, problem
}

// needed reports whether an engine is missing or the progress object is out of
// date.
func (o *Orderer) needed(ctx context.Context, s *samphireturn.Snapshot, f *fleet) bool {
	if f.incomplete() {
		return true
	}
	if !o.ensureProgress(ctx, s.Self.Centre) {
		return false
	}
	p := Progress{Centre: s.Self.Centre, Versions: f.progress()}
	return !p.sameContent(o.stored) && (len(f.names) > 0 || o.storedVersion > 0)
}

// ensureLease acquires or renews the lease and reports whether it is held.
func (o *Orderer) ensureLease(ctx context.Context, centre string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	// An order of the last holder may be in flight until its timeout.
	o.lease, o.noOrderBefore, o.storedKnown = l, o.now().Add(callTimeout), false
	return true
}

// renew renews the lease once half of its lifetime has passed. It reports
// whether the lease is held.
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

// release releases the lease if this daemon holds it and has no order in
// flight.
func (o *Orderer) release(ctx context.Context) {
	if o.lease.Valid(0) && !o.now().Before(o.noOrderBefore) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = o.Leaser.Release(ctx, o.lease)
		o.lease = leaser.Lease{}
	}
}

// ensureProgress reads the progress object unless it is known, and reports
// whether it is known now.
func (o *Orderer) ensureProgress(ctx context.Context, centre string) bool {
	if o.storedKnown {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, version, err := load(ctx, o.Store, centre)
	if err != nil {
		reasons.Add("progress", 1)
		return false
	}
	if p.Engine != o.stored.Engine || p.Loading != o.stored.Loading {
		o.intentSince = o.now()
	}
	o.stored, o.storedVersion, o.storedKnown = p, version, true
	return true
}

// storeProgress writes the progress if it has changed, and reports whether the
// platform has it.
func (o *Orderer) storeProgress(ctx context.Context, p Progress) bool {
	if p.sameContent(o.stored) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.Time, p.Fence = o.now().UTC(), o.lease.Fence
	version, err := save(ctx, o.Store, p, o.storedVersion)
	if err != nil {
		reasons.Add("progress", 1)
		o.storedKnown = false
		return false
	}
	o.stored, o.storedVersion = p, version
	return true
}

// mayBeLoading reports whether the engine ordered last is unreachable and may
// still be loading.
func (o *Orderer) mayBeLoading(unreachable []string) bool {
	return slices.Contains(unreachable, o.stored.Engine) && o.now().Sub(o.intentSince) < maxLoadTime
}

// checkLastOrder backs off from the engine that this process ordered last if it
// neither has the version nor is loading it.
func (o *Orderer) checkLastOrder(f *fleet) {
	if o.lastOrder.version == "" || o.now().Before(o.noOrderBefore) {
		return
	}
	for i := range f.engines {
		e := &f.engines[i]
		if e.id != o.lastOrder.engine.id || e.loading != "" {
			continue
		}
		if !slices.Contains(e.versions, o.lastOrder.version) {
			reasons.Add("not loaded", 1)
			o.backoffUntil[e.id] = o.now().Add(engineBackoff)
			e.backingOff = true
		}
		o.lastOrder = order{}
	}
}

// execute requests the weights, writes the intended order and sends it.
func (o *Orderer) execute(ctx context.Context, next order, p Progress) {
	if !o.requestWeights(ctx, next.version) {
		p.Problem = "weight store: " + next.version + " refused or not reached"
		o.storeProgress(ctx, p)
		return
	}
	p.Engine, p.Loading = next.engine.id, next.version
	renewCtx, cancel := context.WithTimeout(ctx, callTimeout)
	ok := o.renew(renewCtx)
	cancel()
	if !ok || !o.storeProgress(ctx, p) {
		return
	}
	// Until the response is known, the order may be carried out at any time.
	o.noOrderBefore, o.intentSince, o.lastOrder = o.now().Add(callTimeout), o.now(), next
	status, err := o.post(ctx, o.lease, next)
	switch {
	case samphireturn.KindOf(err) == samphireturn.KindUnavailable:
		orders.Add("not sent", 1)
		o.lastOrder = order{}
	case err != nil:
		orders.Add("unknown", 1)
		o.weightsGranted = ""
		o.Log.Warn().Err(err).Msg("order outcome unknown")
	case status == http.StatusOK:
		orders.Add("accepted", 1)
		o.weightsGranted = ""
		o.Log.Info().Str("engine", next.engine.id).Str("version", next.version).Msg("ordered to load")
	default:
		orders.Add("refused", 1)
		o.lastOrder, o.backoffUntil[next.engine.id] = order{}, o.now().Add(engineBackoff)
		if status == http.StatusConflict {
			// The engine has an order of a later holder.
			o.lease = leaser.Lease{}
		}
		o.Log.Warn().Str("engine", next.engine.id).Int("status", status).Msg("order refused")
	}
}

// requestWeights requests a version's weights from the weight store, once for
// each load, and reports whether the store has granted them.
func (o *Orderer) requestWeights(ctx context.Context, version string) bool {
	if o.weightsGranted == version {
		return true
	}
	if o.now().Before(o.weightsRetryAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := o.Weights.FetchWeights(ctx, version)
	if err != nil {
		reasons.Add("weights "+samphireturn.KindOf(err).String(), 1)
		o.weightsRetryAt = o.now().Add(max(samphireturn.RetryAfter(err), weightsBackoff))
		return false
	}
	o.weightsGranted = version
	return true
}

func (o *Orderer) now() time.Time {
	if o.Now == nil {
		return time.Now()
	}
	return o.Now()
}
