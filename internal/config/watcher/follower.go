package watcher

import (
	"context"
	"fmt"
	"time"

	"samphireturn"
	"samphireturn/internal/config/publisher"
)

// followPlatform watches the manifest while this daemon is home or a home daemon
// has reported that it cannot reach the platform. Otherwise it polls the manifest:
// at the start, then at every PollInterval, and at every tick while no
// configuration is in force.
func (w *Watcher) followPlatform() {
	var untilPoll time.Duration
	for w.ctx.Err() == nil {
		home := w.IsHome == nil || w.IsHome()
		if home || w.homeReportedOutage() {
			untilPoll = 0
			if err := w.watchOnce(); err != nil {
				retries.Add("watch", 1)
				w.waitAfterFailure(home)
			}
			continue
		}
		if untilPoll <= 0 || w.Generation() == 0 {
			untilPoll = w.PollInterval
			if err := w.pollOnce(); err != nil {
				retries.Add("poll", 1)
			}
		}
		w.sleep(tickInterval)
		untilPoll -= tickInterval
	}
}

// waitAfterFailure waits after a failed watch. A home daemon first reports the
// failure to its peers, so that one that can reach the platform watches in its
// place.
func (w *Watcher) waitAfterFailure(home bool) {
	if !home {
		w.sleep(standInRetryDelay)
		return
	}
	w.broadcast("", PeerState{Generation: w.Generation(), PlatformUnreachable: true})
	w.sleep(tickInterval)
}

// homeReportedOutage reports whether a home daemon has reported within
// outageReportTTL that it cannot reach the platform.
func (w *Watcher) homeReportedOutage() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.outageReported.IsZero() && w.Now().Sub(w.outageReported) < outageReportTTL
}

// watchOnce waits for one change of the manifest and adopts it. A watch that ends
// without a change is not an error.
func (w *Watcher) watchOnce() error {
	ctx, cancel := context.WithTimeout(w.ctx, watchTimeout)
	defer cancel()
	o, err := w.Store.Watch(ctx, publisher.ManifestName, w.version)
	if samphireturn.KindOf(err) == samphireturn.KindTimeout {
		return nil
	}
	if err != nil && ctx.Err() != nil && w.ctx.Err() == nil {
		// The connection stayed silent until the timeout. The next watch starts at
		// once, since enough time is lost already.
		retries.Add("silent", 1)
		return nil
	}
	if err != nil {
		return err
	}
	return w.adoptObject(o)
}

// pollOnce reads the manifest and adopts it. A missing manifest is not an error.
func (w *Watcher) pollOnce() error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	o, err := w.Store.Get(ctx, publisher.ManifestName)
	if samphireturn.KindOf(err) == samphireturn.KindMissing {
		return nil
	}
	if err != nil {
		return err
	}
	return w.adoptObject(o)
}

// adoptObject loads the parts of the manifest in o and puts it in force if it is
// newer. After an error w.version is unchanged, so that a missing part is requested
// again.
func (w *Watcher) adoptObject(o samphireturn.Object) error {
	ctx, cancel := context.WithTimeout(w.ctx, partsTimeout)
	defer cancel()
	m, err := publisher.Decode(o.Value)
	if err == nil && m.Generation <= w.Generation() {
		w.detectRollback(m.Generation)
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
		return w.recordRefusal("platform", err)
	}
	changed, err := w.adopt(Bundle{Manifest: o.Value, Parts: parts}, "platform")
	if err != nil {
		return err
	}
	w.version = o.Version
	if changed {
		w.announce("")
	}
	return nil
}

// detectRollback clears the problem, or records one if the platform holds an older
// generation than the one in force.
func (w *Watcher) detectRollback(generation uint64) {
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
