// Package watcher keeps the configuration in force up to date.
//
// The home daemons of each data centre watch the manifest in the platform. Every
// daemon pulls newer generations from its peers and, as a backstop, polls the
// platform at a long interval. A generation comes into force only if it is higher
// than every generation that this daemon had in force before.
package watcher

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/config/publisher"
)

// Topics of messages between daemons.
const (
	// TopicGet requests the configuration in force if it is newer than the
	// sender's.
	TopicGet = "config.get"
	// TopicNew announces the sender's generation in force, or that the sender
	// cannot reach the platform.
	TopicNew = "config.new"
)

const (
	defaultPollInterval     = 30 * time.Second
	defaultExchangeInterval = 2 * time.Second
	// outageReportTTL is how long a home daemon's report that it cannot reach the
	// platform makes other daemons watch the platform too. The report is repeated
	// while the outage lasts.
	outageReportTTL = 10 * time.Second
	// standInRetryDelay is the wait after a failed watch by a daemon that is not
	// home.
	standInRetryDelay = 4 * time.Second
	// tickInterval is the time between two checks whether this daemon is home. It
	// is also the wait after a home daemon's failed watch and the longest time
	// between two pulls while no configuration is in force.
	tickInterval = time.Second
	// callTimeout bounds one call to a peer or one read of the manifest.
	callTimeout = 3 * time.Second
	// WatchHoldTime is how long the platform may hold a watch open without a change.
	// It is short, so that a connection that has gone silent delays a change
	// little.
	WatchHoldTime = 2 * time.Second
	// watchTimeout bounds one watch.
	watchTimeout = WatchHoldTime + time.Second
	// partsTimeout bounds the reading of a manifest's parts.
	partsTimeout = 10 * time.Second
)

var (
	adopted  = expvar.NewInt("watcher_adopted")
	refusals = expvar.NewMap("watcher_refusal")
	retries  = expvar.NewMap("watcher_retry")
)

type (
	// Error is an error of the watcher.
	Error struct {
		Op   string
		Kind samphireturn.Kind
		Err  error
	}

	// PeerState describes the sender of a message. It is the body of TopicGet and
	// TopicNew and the reply to TopicNew.
	PeerState struct {
		Generation uint64 `cbor:"g"`
		// PlatformUnreachable is set if the sender is home and cannot reach the
		// platform.
		PlatformUnreachable bool `cbor:"b,omitempty"`
		// KnownParts lists the hashes of the parts that the sender holds, which the
		// reply need not contain.
		KnownParts []string `cbor:"h,omitempty"`
	}

	// Bundle is the reply to TopicGet: a manifest and its parts by hash, without
	// the parts in the request's KnownParts. Manifest and Parts are empty if the
	// requester is up to date.
	Bundle struct {
		Generation uint64            `cbor:"g"`
		Manifest   []byte            `cbor:"m,omitempty"`
		Parts      map[string][]byte `cbor:"p,omitempty"`
	}

	// Watcher is a service that posts each accepted configuration to Control.
	// Set the exported fields before Run.
	Watcher struct {
		Control samphireturn.Control
		Store   samphireturn.Store
		// Peers may be nil.
		Peers samphireturn.Peers
		// IsHome reports whether this daemon watches the platform for its data
		// centre; nil means that it always does.
		IsHome func() bool
		// PollInterval is the time between two reads of the platform by a daemon
		// that is not home; ExchangeInterval is the time between two pulls from
		// peers.
		PollInterval, ExchangeInterval time.Duration
		// Now returns the current time; time.Now by default.
		Now func() time.Time
		// Rand returns a number from 0 to 1 for jitter.
		Rand func() float64
		Log  zerolog.Logger

		pub        publisher.Publisher
		generation atomic.Uint64
		// newerPeer holds the id of a peer that has a newer generation.
		newerPeer chan string
		ctx       context.Context
		cancel    context.CancelFunc
		wg        sync.WaitGroup

		mu      sync.Mutex
		bundle  Bundle
		problem string
		digest  string
		// version is the version of the manifest's object that was handled last;
		// the next watch starts from it. Only followPlatform's goroutine uses it,
		// without mu.
		version uint64
		// outageReported is when a home daemon last reported that it cannot reach
		// the platform.
		outageReported time.Time
	}

	// configEvent puts a configuration in force.
	configEvent struct{ config *samphireturn.Config }
)

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Kind.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a watcher and registers its topics with peers, which may be nil.
func New(control samphireturn.Control, store samphireturn.Store, peers samphireturn.Peers) *Watcher {
	w := &Watcher{
		Control:          control,
		Store:            store,
		Peers:            peers,
		PollInterval:     defaultPollInterval,
		ExchangeInterval: defaultExchangeInterval,
		Now:              time.Now,
		Rand:             rand.Float64,
		Log:              zerolog.Nop(),
		newerPeer:        make(chan string, 1),
	}
	if peers != nil {
		peers.Handle(TopicGet, w.handleGet)
		peers.Handle(TopicNew, w.handleNew)
	}
	return w
}

// Run starts to follow the platform and the peers and returns at once.
func (w *Watcher) Run(ctx context.Context) error {
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.pub.Store = w.Store
	w.wg.Go(w.followPlatform)
	if w.Peers != nil {
		w.wg.Go(w.pullLoop)
	}
	return nil
}

// Close stops the watcher and waits until it has stopped.
func (w *Watcher) Close() error {
	if w.cancel != nil {
		w.cancel()
	}
	w.wg.Wait()
	return nil
}

// Ready reports whether the control state holds a configuration.
func (w *Watcher) Ready() bool { return w.Control.Snapshot().Config != nil }

// Generation returns the highest generation put in force, or zero.
func (w *Watcher) Generation() uint64 { return w.generation.Load() }

// Digest returns the hash of the manifest in force, or "".
func (w *Watcher) Digest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digest
}

// Problem describes why a newer configuration is not in force. It is empty if no
// problem is known.
func (w *Watcher) Problem() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.problem
}

// Apply sets the configuration unless one at least as new is in force.
func (e configEvent) Apply(next *samphireturn.Snapshot) {
	if next.Config != nil && next.Config.Generation >= e.config.Generation {
		return
	}
	next.Config = e.config
	next.Preset = nil
	for i := range e.config.Presets {
		if e.config.Presets[i].Active {
			next.Preset = &e.config.Presets[i]
		}
	}
}

// adopt validates a bundle and puts it in force if its generation is newer. It
// reports whether it did.
func (w *Watcher) adopt(b Bundle, source string) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, err := publisher.Decode(b.Manifest)
	if err != nil {
		return false, w.recordRefusal(source, err)
	}
	if m.Generation <= w.generation.Load() {
		if m.Generation < w.generation.Load() {
			refusals.Add("old", 1)
		}
		return false, nil
	}
	cfg, err := publisher.Assemble(m, b.Parts)
	if err != nil {
		return false, w.recordRefusal(source, err)
	}
	b.Generation = m.Generation
	w.bundle = b
	w.problem = ""
	w.digest = publisher.Hash(b.Manifest)
	w.generation.Store(m.Generation)
	w.Control.Post(configEvent{cfg})
	adopted.Add(1)
	w.Log.Info().Uint64("generation", m.Generation).Str("author", m.Author).Str("source", source).Msg("configuration in force")
	return true, nil
}

// recordRefusal records why a configuration from the source is not put in force
// and returns the error. The caller holds mu.
func (w *Watcher) recordRefusal(source string, err error) error {
	kind := publisher.KindOf(err)
	refusals.Add(kind.String(), 1)
	if text := err.Error(); text != w.problem {
		w.problem = text
		w.Log.Error().Err(err).Str("source", source).Uint64("generation", w.generation.Load()).Msg("configuration refused; the last good one stays in force")
	}
	return &Error{Op: "adopt from " + source, Kind: kind, Err: err}
}

// sleep waits for d, shortened at random by up to a fifth for jitter. It reports
// false if the watcher was closed before.
func (w *Watcher) sleep(d time.Duration) bool {
	t := time.NewTimer(d - time.Duration(float64(d)*w.Rand()/5))
	defer t.Stop()
	select {
	case <-w.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// decodeMessage decodes the body of a message into v.
func decodeMessage(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return &Error{Op: "decode message", Kind: samphireturn.KindInvalid, Err: err}
	}
	return nil
}
