package watcher_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/watcher"
)

// TestWatcherAnyOrder draws sequences of changes, restores of old manifests,
// outages, restarts, and old or forged replies of peers. It checks that no daemon's
// generation decreases and that all daemons run the newest one after the faults
// end.
func TestWatcherAnyOrder(t *testing.T) {
	c := qt.New(t)
	files := exampleFiles(c, "drawn")
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.IntRange(0, 7), 1, 24).Draw(rt, "kinds")
		waits := rapid.SliceOfN(rapid.IntRange(0, 4000), len(kinds), len(kinds)).Draw(rt, "waits in milliseconds")
		picks := rapid.SliceOfN(rapid.IntRange(0, 99), len(kinds), len(kinds)).Draw(rt, "picks")
		failure := ""
		fail := func(format string, args ...any) {
			if failure == "" {
				failure = fmt.Sprintf(format, args...)
			}
		}
		synctest.Test(t, func(t *testing.T) {
			s, m := newStore(), &mesh{}
			publish := func(name string) {
				next := map[string][]byte{"config.toml": append([]byte("# "+name+"\n"), files["config.toml"]...)}
				p := publisher.Publisher{Store: s, Author: name}
				_, _ = p.Apply(ctx, next, publisher.AnyBase)
			}
			publish("first")
			var history [][]byte
			var bundles []watcher.Bundle
			daemons := []*watcher.Watcher{startDaemon(t, s, m, "n0", true), startDaemon(t, s, m, "n1", false), startDaemon(t, s, m, "n2", false)}
			seen := make([]uint64, len(daemons))
			checkGenerations := func() {
				synctest.Wait()
				for i, w := range daemons {
					got := w.Generation()
					if cfg := w.Control.Snapshot().Config; cfg != nil && cfg.Generation != got {
						fail("daemon %d reports generation %d but runs %d", i, got, cfg.Generation)
					}
					if got < seen[i] {
						fail("daemon %d went back from %d to %d", i, seen[i], got)
					}
					seen[i] = got
				}
			}
			recordManifest := func() {
				if o, err := s.Get(ctx, publisher.ManifestName); err == nil {
					history = append(history, o.Value)
					if found, err := publisher.Decode(o.Value); err == nil {
						p := publisher.Publisher{Store: s}
						if parts, err := p.Parts(ctx, found); err == nil {
							bundles = append(bundles, watcher.Bundle{Generation: found.Generation, Manifest: o.Value, Parts: parts})
						}
					}
				}
			}
			recordManifest()
			for i, kind := range kinds {
				switch kind {
				case 0, 1:
					publish(fmt.Sprint("change", i))
					recordManifest()
				case 2: // an older manifest is restored
					if now, err := s.Get(ctx, publisher.ManifestName); err == nil {
						_, _ = s.Update(ctx, publisher.ManifestName, history[picks[i]%len(history)], now.Version)
					}
				case 3:
					s.setDown(true)
				case 4:
					s.setDown(false)
				case 5: // a peer replies with an old bundle
					m.setReply("n1", bundles[picks[i]%len(bundles)], false)
				case 6: // a peer replies with a bundle without parts and with a high generation
					m.setReply("n1", bundles[picks[i]%len(bundles)], true)
				case 7: // a daemon is replaced
					_ = daemons[2].Close()
					daemons[2] = startDaemon(t, s, m, "n2", false)
					seen[2] = 0
				}
				time.Sleep(time.Duration(waits[i]) * time.Millisecond)
				checkGenerations()
			}
			m.setReply("n1", watcher.Bundle{}, false)
			s.setDown(false)
			highest := max(seen[0], seen[1], seen[2])
			for range 2 {
				publish("last")
			}
			for now, _ := s.Get(ctx, publisher.ManifestName); ; now, _ = s.Get(ctx, publisher.ManifestName) {
				if last, err := publisher.Decode(now.Value); err == nil && last.Generation > highest {
					highest = last.Generation
					break
				}
				publish("last") // the store holds no status from which to learn the daemons' generations
			}
			time.Sleep(10 * time.Second)
			checkGenerations()
			for i, w := range daemons {
				if w.Generation() != highest {
					fail("daemon %d runs %d, not %d", i, w.Generation(), highest)
				}
				_ = w.Close()
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
