package watcher

import (
	"context"
	"fmt"
	"time"

	"samphireturn"
	"samphireturn/internal/config/publisher"
)

// follow reads the manifest at start, then watches it while home, or while a
// home does not reach the platform, and polls it otherwise.
func (w *Watcher) follow() {
	var last time.Duration
	for w.ctx.Err() == nil {
		home := w.Home == nil || w.Home()
		if home || w.standsIn() {
			last = 0
			if err := w.watch(); err != nil {
				retries.Add("watch", 1)
				w.pause(home)
			}
			continue
		}
		if last <= 0 || w.Generation() == 0 {
			last = w.Poll
			if err := w.poll(); err != nil {
				retries.Add("poll", 1)
			}
		}
		w.sleep(tick)
		last -= tick
	}
}

// pause waits after a failed watch. A home tells its peers first, so that one
// that reaches the platform watches in its place.
func (w *Watcher) pause(home bool) {
	if !home {
		w.sleep(standInPause)
		return
	}
	w.tell("", Ask{Generation: w.Generation(), Blind: true})
	w.sleep(tick)
}

// standsIn reports whether a home said lately that it does not reach the
// platform.
func (w *Watcher) standsIn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.blind.IsZero() && w.Now().Sub(w.blind) < blindTime
}

// watch waits for one change of the manifest and takes it over.
func (w *Watcher) watch() error {
	ctx, cancel := context.WithTimeout(w.ctx, watchTimeout)
	defer cancel()
	o, err := w.Store.Watch(ctx, publisher.ManifestName, w.version)
	if samphireturn.KindOf(err) == samphireturn.KindTimeout {
		return nil
	}
	if err != nil && ctx.Err() != nil && w.ctx.Err() == nil {
		// Silence has cost time enough: the next watch follows at once.
		retries.Add("silent", 1)
		return nil
	}
	if err != nil {
		return err
	}
	return w.take(o)
}

// poll reads the manifest and takes it over.
func (w *Watcher) poll() error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	o, err := w.Store.Get(ctx, publisher.ManifestName)
	if samphireturn.KindOf(err) == samphireturn.KindMissing {
		return nil
	}
	if err != nil {
		return err
	}
	return w.take(o)
}

// take reads the parts of a manifest and puts it in force. The object counts as
// seen only then, so that a missing part is asked for again.
func (w *Watcher) take(o samphireturn.Object) error {
	ctx, cancel := context.WithTimeout(w.ctx, takeTimeout)
	defer cancel()
	m, err := publisher.Decode(o.Value)
	if err == nil && m.Generation <= w.Generation() {
		w.compare(m.Generation)
		w.version = o.Version
		return nil
	}
	var parts map[string][]byte
	if err == nil {
		parts, err = w.pub.Parts(ctx, m)
	}
	if err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.refuse("platform", err)
	}
	fresh, err := w.adopt(Bundle{Manifest: o.Value, Parts: parts}, "platform")
	if err != nil {
		return err
	}
	w.version = o.Version
	if fresh {
		w.announce("")
	}
	return nil
}

// compare notes whether the platform holds an older generation than is in
// force.
func (w *Watcher) compare(generation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problem = ""
	if generation == w.generation.Load() {
		return
	}
	refusals.Add("old", 1)
	w.problem = fmt.Sprintf("the platform went back to generation %d", generation)
	w.Log.Error().Uint64("generation", w.generation.Load()).Uint64("platform", generation).Msg("older configuration refused")
}
