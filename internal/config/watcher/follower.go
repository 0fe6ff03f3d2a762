package watcher

import (
	"context"
	"time"

	"samphireturn"
	"samphireturn/internal/config/publisher"
)

// follow reads the manifest at start, then watches it while home and polls it
// otherwise.
func (w *Watcher) follow() {
	var last time.Duration
	for w.ctx.Err() == nil {
		if w.Home == nil || w.Home() {
			last = 0
			if err := w.watch(); err != nil {
				retries.Add("watch", 1)
				w.sleep(tick)
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

// watch waits for one change of the manifest and takes it over.
func (w *Watcher) watch() error {
	ctx, cancel := context.WithTimeout(w.ctx, watchTimeout)
	defer cancel()
	o, err := w.Store.Watch(ctx, publisher.ManifestName, w.version)
	if samphireturn.KindOf(err) == samphireturn.KindTimeout {
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
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	m, err := publisher.Decode(o.Value)
	if err == nil && m.Generation <= w.Generation() {
		if m.Generation < w.Generation() {
			refusals.Add("old", 1)
		}
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
