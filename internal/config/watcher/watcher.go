// Package watcher keeps the configuration in force up to date.
//
// A home of its data centre watches the manifest in the platform. Every daemon
// learns new generations from its peers, and polls the platform slowly as a
// backstop. A generation is put in force only if it is higher than any that
// was in force before.
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
	// TopicGet asks for the configuration in force.
	TopicGet = "config.get"
	// TopicNew says that a generation was put in force.
	TopicNew = "config.new"
)

const (
	defaultPoll     = 30 * time.Second
	defaultExchange = 2 * time.Second
	// blindTime is how long a home's word that it does not reach the platform
	// makes others watch too; it is repeated while it holds.
	blindTime = 10 * time.Second
	// standInPause is the time after a failed watch of a daemon that is no home.
	standInPause = 4 * time.Second
	// tick is how often a daemon looks whether it is home.
	tick = time.Second
	// callTimeout bounds one call to a peer or one read from the platform.
	callTimeout = 3 * time.Second
	// WatchTime is how long the platform is asked to hold a quiet watch. It is
	// short, so that a connection that went silent delays a change little.
	WatchTime = 2 * time.Second
	// watchTimeout bounds one watch.
	watchTimeout = WatchTime + time.Second
	// takeTimeout bounds the reading of a manifest's parts.
	takeTimeout = 10 * time.Second
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

	// Ask asks for the configuration if its generation is above Generation.
	Ask struct {
		Generation uint64 `cbor:"g"`
		// Blind says that the sender is home and does not reach the platform.
		Blind bool `cbor:"b,omitempty"`
		// Have are the hashes of the parts that the sender has.
		Have []string `cbor:"h,omitempty"`
	}

	// Bundle is a manifest with its parts by hash, but for those that the asker
	// has; it is empty if there is nothing newer.
	Bundle struct {
		Generation uint64            `cbor:"g"`
		Manifest   []byte            `cbor:"m,omitempty"`
		Parts      map[string][]byte `cbor:"p,omitempty"`
	}

	// Watcher is a service that posts accepted configurations to the kernel.
	// Set the exported fields before Run.
	Watcher struct {
		Control samphireturn.Control
		Store   samphireturn.Store
		// Peers may be nil.
		Peers samphireturn.Peers
		// Home reports whether this daemon watches the platform for its data
		// centre; nil stands for always.
		Home func() bool
		// Poll is the time between two reads of the platform by a daemon that
		// is not home; Exchange that between two questions to a peer.
		Poll, Exchange time.Duration
		// Now is time.Now unless set.
		Now func() time.Time
		// Rand draws a number from 0 to 1 for jitter.
		Rand func() float64
		Log  zerolog.Logger

		pub        publisher.Publisher
		generation atomic.Uint64
		kick       chan string
		ctx        context.Context
		cancel     context.CancelFunc
		wait       sync.WaitGroup

		mu      sync.Mutex
		bundle  Bundle
		problem string
		digest  string
		// version is the highest version of the manifest's object seen.
		version uint64
		// blind is when a home last said that it does not reach the platform.
		blind time.Time
	}

	// event puts a configuration in force.
	event struct{ config *samphireturn.Config }
)

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Kind.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a watcher and registers its topics with peers, which may be nil.
func New(control samphireturn.Control, store samphireturn.Store, peers samphireturn.Peers) *Watcher {
	w := &Watcher{
		Control:  control,
		Store:    store,
		Peers:    peers,
		Poll:     defaultPoll,
		Exchange: defaultExchange,
		Now:      time.Now,
		Rand:     rand.Float64,
		Log:      zerolog.Nop(),
		kick:     make(chan string, 1),
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
	w.wait.Go(w.follow)
	if w.Peers != nil {
		w.wait.Go(w.exchange)
	}
	return nil
}

// Close stops the watcher and waits until it has stopped.
func (w *Watcher) Close() error {
	if w.cancel != nil {
		w.cancel()
	}
	w.wait.Wait()
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

// Problem says why a newer configuration is not in force; empty if none is
// known.
func (w *Watcher) Problem() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.problem
}

// Apply sets the configuration unless one at least as new is in force.
func (e event) Apply(next *samphireturn.Snapshot) {
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

// adopt checks a bundle and puts it in force if it is newer. It reports whether
// it did.
func (w *Watcher) adopt(b Bundle, source string) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, err := publisher.Decode(b.Manifest)
	if err != nil {
		return false, w.refuse(source, err)
	}
	if m.Generation <= w.generation.Load() {
		if m.Generation < w.generation.Load() {
			refusals.Add("old", 1)
		}
		return false, nil
	}
	cfg, err := publisher.Assemble(m, b.Parts)
	if err != nil {
		return false, w.refuse(source, err)
	}
	b.Generation = m.Generation
	w.bundle = b
	w.problem = ""
	w.digest = publisher.Hash(b.Manifest)
	w.generation.Store(m.Generation)
	w.Control.Post(event{cfg})
	adopted.Add(1)
	w.Log.Info().Uint64("generation", m.Generation).Str("author", m.Author).Str("source", source).Msg("configuration in force")
	return true, nil
}

// refuse records why a configuration from the source is not put in force. The
// caller holds mu.
func (w *Watcher) refuse(source string, err error) error {
	kind := publisher.KindOf(err)
	refusals.Add(kind.String(), 1)
	if text := err.Error(); text != w.problem {
		w.problem = text
		w.Log.Error().Err(err).Str("source", source).Uint64("generation", w.generation.Load()).Msg("configuration refused; the last good one stays in force")
	}
	return &Error{Op: "adopt from " + source, Kind: kind, Err: err}
}

// sleep waits for d, less up to a fifth of it, or until ctx ends.
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

// decode reads a message's body.
func decode(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return &Error{Op: "decode message", Kind: samphireturn.KindInvalid, Err: err}
	}
	return nil
}
