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
	// Topic is the peers' topic of counts and holds.
	Topic = "guard"

	// period is the time between two pushes to peers; a failure pushes at once,
	// but no sooner than pause after the last push.
	period = time.Second
	pause  = 100 * time.Millisecond
	// storePeriod is the time between two looks at the platform.
	storePeriod = 5 * time.Second
	callTimeout = 2 * time.Second
	// foldAfter is the time after which an instance that is on no member list is
	// folded.
	foldAfter = 30 * time.Second
)

var (
	holds   = expvar.NewMap("guard_hold")
	retries = expvar.NewMap("guard_retry")
)

type (
	// Guard is the service that counts this daemon's answers, shares the counts
	// with peers and holds versions that the test finds bad. Set the exported
	// fields before Run. It is an observer of the router.
	Guard struct {
		Control samphireturn.Control
		Peers   samphireturn.Peers
		Store   samphireturn.Store
		Counter *Counter
		// Home reports whether this daemon reads the holds of the platform for
		// its data centre; nil stands for always.
		Home func() bool
		// Now is time.Now unless set.
		Now func() time.Time
		Log zerolog.Logger

		cancel context.CancelFunc
		wait   sync.WaitGroup
		urgent chan struct{}

		mu    sync.Mutex
		holds map[samphireturn.VersionRef]Hold
		// stored is the epoch that the platform is known to have.
		stored map[samphireturn.VersionRef]uint64
		// states are the versions' states in the configuration seen last.
		states     map[samphireturn.VersionRef]string
		generation uint64
		// sent are the counts that each peer has got; busy are the peers that a
		// push is under way to.
		sent map[string]map[entryKey]Total
		busy map[string]bool
		// lost are the peers that the last push did not reach.
		lost map[string]bool
		// absent is since when an instance is on no member list.
		absent map[string]time.Time
	}

	// Hold says whether a version takes new sessions. Of two, the one with the
	// higher epoch stands. The version is held in odd epochs: a hold and a
	// release each begin a new epoch.
	Hold struct {
		Version samphireturn.VersionRef `cbor:"v" json:"version"`
		Epoch   uint64                  `cbor:"e" json:"epoch"`
		// Generation is the configuration that was in force when the version was
		// held; a later one that changes the version's state releases it.
		Generation uint64 `cbor:"g" json:"generation"`
	}

	// message is what daemons push to each other.
	message struct {
		Totals []Totals `cbor:"t,omitempty"`
		Holds  []Hold   `cbor:"h,omitempty"`
	}

	// entryKey names one instance's counts of one epoch.
	entryKey struct {
		version  samphireturn.VersionRef
		epoch    uint64
		instance string
	}

	// held is the event that puts the holds into the control state.
	held map[samphireturn.VersionRef]bool
)

// Held reports whether the version takes no new sessions.
func (h Hold) Held() bool { return h.Epoch%2 == 1 }

// Apply replaces the holds of the snapshot.
func (h held) Apply(next *samphireturn.Snapshot) { next.HeldVersions = h }

// New returns a guard for a daemon's process and registers its topic.
func New(control samphireturn.Control, peers samphireturn.Peers, store samphireturn.Store, instance string) *Guard {
	g := &Guard{
		Control: control,
		Peers:   peers,
		Store:   store,
		Counter: &Counter{Instance: instance},
		Now:     time.Now,
		Log:     zerolog.Nop(),
		urgent:  make(chan struct{}, 1),
		holds:   make(map[samphireturn.VersionRef]Hold),
		stored:  make(map[samphireturn.VersionRef]uint64),
		states:  make(map[samphireturn.VersionRef]string),
		sent:    make(map[string]map[entryKey]Total),
		busy:    make(map[string]bool),
		lost:    make(map[string]bool),
		absent:  make(map[string]time.Time),
	}
	peers.Handle(Topic, g.receive)
	return g
}

// Run starts to share and returns at once.
func (g *Guard) Run(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	g.wait.Go(func() { g.pushLoop(ctx) })
	g.wait.Go(func() { g.storeLoop(ctx) })
	return nil
}

// Close stops the guard and waits until it has stopped.
func (g *Guard) Close() error {
	if g.cancel != nil {
		g.cancel()
	}
	g.wait.Wait()
	return nil
}

// Sent counts an answer or a failure of a version. A refusal that did not start
// and a caller that gave up say nothing about the version.
func (g *Guard) Sent(_ *samphireturn.Endpoint, v samphireturn.VersionRef, _ time.Duration, err *dispatcher.Error) {
	if v.Model == "" || err != nil && !blames(err) {
		return
	}
	g.Counter.RecordCall(v, err != nil)
	if err != nil {
		g.suspect(v)
	}
}

// blames reports whether an error speaks against the version.
func blames(err *dispatcher.Error) bool {
	switch err.Kind {
	case dispatcher.KindConnLost, dispatcher.KindTimeout, dispatcher.KindMismatched:
		return true
	case dispatcher.KindStatus:
		return err.Answer != nil && err.Answer.Status >= 500
	}
	return false
}

// Rated counts a rating below the configured floor as a failure of a call that
// Sent has counted before.
func (g *Guard) Rated(v samphireturn.VersionRef, rating float64) {
	cfg := g.Control.Snapshot().Config
	if cfg == nil || rating >= cfg.Guard.MinRating {
		return
	}
	g.Counter.RecordLateFailure(v, g.Counter.Epoch(v))
	g.suspect(v)
}

// suspect holds the version here at once if the test says so, and has the news
// pushed.
func (g *Guard) suspect(v samphireturn.VersionRef) {
	if g.Counter.Suspicion(v) == SuspicionBad {
		g.hold(v)
	}
	g.hurry()
}

// hurry asks for a push before the period ends.
func (g *Guard) hurry() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// hold begins a held epoch of the version if the test of the running one has
// found it bad.
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
	g.begin(next)
	holds.Add(v.String(), 1)
	g.Log.Warn().Str("event", "version_held").Str("version", v.String()).Uint64("epoch", next.Epoch).Msg("version takes no new sessions")
}

// adopt takes a hold in if its epoch is higher than the one known.
func (g *Guard) adopt(h Hold) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.Epoch > g.holds[h.Version].Epoch {
		g.begin(h)
	}
}

// begin begins the epoch of h. It is called with the lock held.
func (g *Guard) begin(h Hold) {
	g.holds[h.Version] = h
	g.Counter.Restart(h.Version, h.Epoch)
	g.post()
}

// post puts the holds into the control state. It is called with the lock held,
// so that events are queued in order.
func (g *Guard) post() {
	e := make(held)
	for v, h := range g.holds {
		if h.Held() {
			e[v] = true
		}
	}
	g.Control.Post(e)
}

// receive takes in what a peer pushed.
func (g *Guard) receive(_ context.Context, from string, body []byte) (any, error) {
	var m message
	if err := encoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Totals {
		m.Totals[i].Instances = named(m.Totals[i].Instances, from)
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
