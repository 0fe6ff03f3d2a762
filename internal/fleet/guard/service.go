package guard

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/traffic/dispatcher"
)

const (
	// Topic is the topic of pushed counts and holds.
	Topic = "guard"

	// pushInterval is the time between two pushes to peers. A failure causes a push at
	// once, but not earlier than minPushGap after the previous one.
	pushInterval = time.Second
	minPushGap   = 100 * time.Millisecond
	// storeInterval is the time between two synchronisations with the platform.
	storeInterval = 5 * time.Second
	callTimeout   = 2 * time.Second
	// foldDelay is how long an instance must be missing from the member list before its
	// counts are folded.
	foldDelay = 30 * time.Second
)

var (
	holds   = expvar.NewMap("guard_hold")
	retries = expvar.NewMap("guard_retry")
)

type (
	// Guard is the service that counts this daemon's answers, shares the counts with
	// peers and holds versions that the test finds faulty. Set the exported fields
	// before Run. It implements router.Observer.
	Guard struct {
		Control samphireturn.Control
		Peers   samphireturn.Peers
		Store   samphireturn.Store
		Counter *Counter
		// ReadsStore reports whether this daemon reads the platform's holds for its data
		// centre; nil means always.
		ReadsStore func() bool
		// Now is time.Now unless set.
		Now func() time.Time
		Log zerolog.Logger

		cancel  context.CancelFunc
		wg      sync.WaitGroup
		pushNow chan struct{}

		mu    sync.Mutex
		holds map[samphireturn.VersionRef]Hold
		// storedEpochs holds the newest epoch of each version that the platform is known
		// to have.
		storedEpochs map[samphireturn.VersionRef]uint64
		// states are the versions' states in the last applied configuration, which is
		// that of generation.
		states     map[samphireturn.VersionRef]string
		generation uint64
		// sent holds the counts that each peer has received, and pushing the peers to
		// which a push is in flight.
		sent    map[string]map[entryKey]Total
		pushing map[string]bool
		// unreached holds the peers that the last push did not reach.
		unreached map[string]bool
		// absentSince holds, by instance, since when it is on no member list.
		absentSince map[string]time.Time
	}

	// Hold says whether a version takes new sessions. Of two holds of a version, the one
	// with the higher epoch applies. The version is held in odd epochs: holding and
	// releasing it each begin a new epoch.
	Hold struct {
		Version samphireturn.VersionRef `cbor:"v" json:"version"`
		Epoch   uint64                  `cbor:"e" json:"epoch"`
		// Generation is the configuration in force when the version was held; a later
		// one that changes the version's state releases it.
		Generation uint64 `cbor:"g" json:"generation"`
	}

	// message is what daemons push to each other.
	message struct {
		Totals []Totals `cbor:"t,omitempty"`
		Holds  []Hold   `cbor:"h,omitempty"`
	}

	// entryKey identifies the counts of one instance in one epoch, or, without an
	// instance, a hold.
	entryKey struct {
		version  samphireturn.VersionRef
		epoch    uint64
		instance string
	}

	// heldVersions is the event that sets the held versions in the control state.
	heldVersions map[samphireturn.VersionRef]bool
)

// Held reports whether the version takes no new sessions.
func (h Hold) Held() bool { return h.Epoch%2 == 1 }

// Apply sets the snapshot's held versions.
func (h heldVersions) Apply(next *samphireturn.Snapshot) { next.HeldVersions = h }

// New returns a guard for one process of a daemon and registers the handler of its
// topic.
func New(control samphireturn.Control, peers samphireturn.Peers, store samphireturn.Store, instance string) *Guard {
	g := &Guard{
		Control:      control,
		Peers:        peers,
		Store:        store,
		Counter:      &Counter{Instance: instance},
		Now:          time.Now,
		Log:          zerolog.Nop(),
		pushNow:      make(chan struct{}, 1),
		holds:        make(map[samphireturn.VersionRef]Hold),
		storedEpochs: make(map[samphireturn.VersionRef]uint64),
		states:       make(map[samphireturn.VersionRef]string),
		sent:         make(map[string]map[entryKey]Total),
		pushing:      make(map[string]bool),
		unreached:    make(map[string]bool),
		absentSince:  make(map[string]time.Time),
	}
	peers.Handle(Topic, g.receive)
	return g
}

// Run starts the guard and returns at once.
func (g *Guard) Run(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	g.wg.Go(func() { g.pushLoop(ctx) })
	g.wg.Go(func() { g.storeLoop(ctx) })
	return nil
}

// Close stops the guard and waits until it has stopped.
func (g *Guard) Close() error {
	if g.cancel != nil {
		g.cancel()
	}
	g.wg.Wait()
	return nil
}

// ObserveAttempt counts the outcome of an attempt. A refusal without execution and a
// caller that left say nothing about the version and are not counted.
func (g *Guard) ObserveAttempt(_ *samphireturn.Endpoint, v samphireturn.VersionRef, _ time.Duration, err *dispatcher.Error) {
	if v.Model == "" || err != nil && !isVersionFailure(err) {
		return
	}
	g.Counter.RecordCall(v, err != nil)
	if err != nil {
		g.checkSuspicion(v)
	}
}

// isVersionFailure reports whether an error counts as a failure of the version.
func isVersionFailure(err *dispatcher.Error) bool {
	switch err.Kind {
	case dispatcher.KindConnLost, dispatcher.KindTimeout, dispatcher.KindMismatched:
		return true
	case dispatcher.KindStatus:
		return err.Answer != nil && err.Answer.Status >= 500
	}
	return false
}

// ObserveRating counts a rating below the configured minimum as a failure of a call that
// ObserveAttempt has counted as a success.
func (g *Guard) ObserveRating(v samphireturn.VersionRef, rating float64) {
	cfg := g.Control.Snapshot().Config
	if cfg == nil || rating >= cfg.Guard.MinRating {
		return
	}
	g.Counter.RecordLateFailure(v, g.Counter.Epoch(v))
	g.checkSuspicion(v)
}

// checkSuspicion holds the version on this daemon at once if the test suspects it, and
// requests a push.
func (g *Guard) checkSuspicion(v samphireturn.VersionRef) {
	if g.Counter.Suspicion(v) == SuspicionBad {
		g.hold(v)
	}
	g.requestPush()
}

// requestPush requests a push before the interval ends.
func (g *Guard) requestPush() {
	select {
	case g.pushNow <- struct{}{}:
	default:
	}
}

// hold begins a held epoch of the version if the test of the running epoch suspects it.
func (g *Guard) hold(v samphireturn.VersionRef) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.holds[v]
	if h.Held() || g.Counter.Epoch(v) != h.Epoch || g.Counter.Suspicion(v) != SuspicionBad {
		return
	}
	next := Hold{Version: v, Epoch: h.Epoch + 1}
	if cfg := g.Control.Snapshot().Config; cfg != nil {
		next.Generation = cfg.Generation
	}
	g.setHold(next)
	holds.Add(v.String(), 1)
	g.Log.Warn().Str("event", "version_held").Str("version", v.String()).Uint64("epoch", next.Epoch).Msg("version takes no new sessions")
}

// adopt applies a hold if its epoch is higher than the known one.
func (g *Guard) adopt(h Hold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.Epoch > g.holds[h.Version].Epoch {
		g.setHold(h)
	}
}

// setHold begins the epoch of h. The caller holds mu.
func (g *Guard) setHold(h Hold) {
	g.holds[h.Version] = h
	g.Counter.Restart(h.Version, h.Epoch)
	g.postHolds()
}

// postHolds posts the held versions to the control state. The caller holds mu, so that
// the events are queued in order.
func (g *Guard) postHolds() {
	e := make(heldVersions)
	for v, h := range g.holds {
		if h.Held() {
			e[v] = true
		}
	}
	g.Control.Post(e)
}

// receive applies a push of a peer.
func (g *Guard) receive(_ context.Context, from string, body []byte) (any, error) {
	var m message
	if err := encoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Totals {
		m.Totals[i].Instances = qualifyNames(m.Totals[i].Instances, from)
	}
	for _, h := range m.Holds {
		g.adopt(h)
	}
	g.Counter.Merge(m.Totals...)
	for _, t := range m.Totals {
		if g.Counter.Suspicion(t.Version) == SuspicionBad {
			g.hold(t.Version)
		}
	}
	return struct{}{}, nil
}
