package watcher_test

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/config/editor"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/reporter"
	"samphireturn/internal/config/watcher"
)

var ctx = context.Background()

// exampleFiles returns the example's files with a comment that distinguishes them.
func exampleFiles(c *qt.C, comment string) map[string][]byte {
	data, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	return map[string][]byte{"config.toml": []byte("# " + comment + "\n" + string(data))}
}

func applyExample(c *qt.C, s *store, comment string) publisher.Manifest {
	p := publisher.Publisher{Store: s, Author: comment}
	m, err := p.Apply(ctx, exampleFiles(c, comment), 0)
	c.Assert(err, qt.IsNil)
	return m
}

// TestApplyConflict guards against a change made from an older generation
// replacing a newer one, and against invalid files being accepted.
func TestApplyConflict(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	applyExample(c, s, "a")
	applyExample(c, s, "b")
	p := publisher.Publisher{Store: s, Author: "c"}
	_, err := p.Apply(ctx, exampleFiles(c, "c"), 1)
	c.Assert(publisher.KindOf(err), qt.Equals, samphireturn.KindConflict)
	inForce := err.(*publisher.Error).InForce
	c.Assert(inForce.Author, qt.Equals, "b")
	c.Assert(inForce.Changes(), qt.DeepEquals, []string{"changed config.toml"})
	m, cfg, err := p.Fetch(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Author, qt.Equals, "b")
	c.Assert(cfg.Generation, qt.Equals, uint64(2))
	_, err = p.Apply(ctx, map[string][]byte{"x": []byte("foo = 1")}, 0)
	c.Assert(publisher.KindOf(err), qt.Equals, samphireturn.KindInvalid)
	c.Assert(err, qt.ErrorMatches, `.*x:1: foo: unknown key`)
}

// TestApplyLostAnswer checks how Apply decides whether a change was accepted
// when the reply to its write is lost, with and without later changes.
func TestApplyLostAnswer(t *testing.T) {
	laterChanges := func(c *qt.C, s *store, n int) func() {
		return func() {
			for range n {
				applyExample(c, s, "other")
			}
		}
	}
	tests := []struct {
		name    string
		drops   int
		changes int
		want    samphireturn.Kind
		ok      bool
		final   uint64
	}{
		{"outcome found by reading back", 1, 0, 0, true, 2},
		{"one later change", 1, 1, 0, true, 3},
		{"two later changes", 1, 2, samphireturn.KindUnknown, false, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStore()
			applyExample(c, s, "a")
			s.dropReplies, s.afterDrop = test.drops, laterChanges(c, s, test.changes)
			p := publisher.Publisher{Store: s, Author: "b"}
			_, err := p.Apply(ctx, exampleFiles(c, "b"), 1)
			c.Assert(err == nil, qt.Equals, test.ok)
			if err != nil {
				c.Assert(publisher.KindOf(err), qt.Equals, test.want)
			}
			m, _, err := p.Fetch(ctx)
			c.Assert(err, qt.IsNil)
			c.Assert(m.Generation, qt.Equals, test.final)
		})
	}
}

// TestApplyRemovesOldParts checks that only the parts of the manifest in force
// and of its predecessor remain.
func TestApplyRemovesOldParts(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	for _, name := range []string{"a", "b", "c"} {
		applyExample(c, s, name)
	}
	list, _ := s.List(ctx, publisher.PartPrefix)
	c.Assert(list, qt.HasLen, 2)
}

// TestEditorKeepsLayout checks that an edit changes only the edited keys, in
// tables and in inline tables.
func TestEditorKeepsLayout(t *testing.T) {
	c := qt.New(t)
	old := exampleFiles(c, "x")
	next, err := editor.ActivatePreset(old, "peak")
	c.Assert(err, qt.IsNil)
	want := strings.Replace(string(old["config.toml"]), "force = true", "force = false", 1)
	want = strings.Replace(want, "name = \"peak\"\n", "name = \"peak\"\nforce = true\n", 1)
	c.Assert(string(next["config.toml"]), qt.Equals, want)
	next, err = editor.SetOutOfService(map[string][]byte{"f": []byte("centre = [{name = 'n', region = 'r'}] # c\n")}, "n", true)
	c.Assert(err, qt.IsNil)
	c.Assert(string(next["f"]), qt.Equals, "centre = [{name = 'n', out = true, region = 'r'}] # c\n")
	_, err = editor.ActivatePreset(old, "none")
	c.Assert(err, qt.ErrorMatches, `.*no preset "none"`)
}

// startDaemon starts a watcher and connects its peer.
func startDaemon(t *testing.T, s *store, m *mesh, id string, home bool) *watcher.Watcher {
	p := m.addPeer(id)
	w := watcher.New(&control{}, s, p)
	w.IsHome = func() bool { return home }
	w.Rand = func() float64 { return 0 }
	qt.Assert(t, w.Run(t.Context()), qt.IsNil)
	p.connect()
	return w
}

// TestWatcherNeverReverts guards against a daemon going back to an older
// manifest that was restored on the platform.
func TestWatcherNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStore()
		applyExample(c, s, "a")
		old, _ := s.Get(ctx, publisher.ManifestName)
		w := startDaemon(t, s, &mesh{}, "n1", true)
		defer w.Close()
		time.Sleep(time.Second)
		c.Assert(w.Generation(), qt.Equals, uint64(1))
		applyExample(c, s, "b")
		time.Sleep(time.Second)
		c.Assert(w.Generation(), qt.Equals, uint64(2))
		now, _ := s.Get(ctx, publisher.ManifestName)
		_, err := s.Update(ctx, now.Name, old.Value, now.Version)
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		c.Assert(w.Control.Snapshot().Config.Generation, qt.Equals, uint64(2))
		c.Assert(w.Control.Snapshot().Preset.Name, qt.Equals, "ordinary")
	})
}

// TestChangedPartsOnly checks that a change of a small part does not resend the
// other parts to peers.
func TestChangedPartsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, m := newStore(), new(mesh)
		files := exampleFiles(c, strings.Repeat("a long remark ", 1000))
		files["small.toml"] = []byte("# one\n")
		p := publisher.Publisher{Store: s, Author: "a"}
		_, err := p.Apply(ctx, files, 0)
		c.Assert(err, qt.IsNil)
		home := startDaemon(t, s, m, "n1", true)
		defer home.Close()
		time.Sleep(5 * time.Second)
		other := startDaemon(t, s, m, "n2", false)
		defer other.Close()
		time.Sleep(5 * time.Second)
		c.Assert(other.Generation(), qt.Equals, uint64(1))
		m.mu.Lock()
		m.largestReply = 0
		m.mu.Unlock()
		files["small.toml"] = []byte("# two\n")
		_, err = p.Apply(ctx, files, 1)
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		c.Assert(other.Generation(), qt.Equals, uint64(2))
		m.mu.Lock()
		defer m.mu.Unlock()
		c.Check(m.largestReply < 2000, qt.IsTrue, qt.Commentf("%d bytes", m.largestReply))
	})
}

// TestWatcherKeepsLastGood guards against a daemon that drops its
// configuration, or never adopts the new one, because a part of the new one is
// missing for a while.
func TestWatcherKeepsLastGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStore()
		applyExample(c, s, "a")
		w := startDaemon(t, s, &mesh{}, "n1", true)
		defer w.Close()
		time.Sleep(time.Second)
		name := publisher.PartPrefix + publisher.Hash(exampleFiles(c, "b")["config.toml"])
		m := applyExample(c, s, "b")
		s.mu.Lock()
		part := s.objects[name]
		delete(s.objects, name)
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		c.Assert(w.Generation(), qt.Equals, uint64(1))
		c.Assert(w.Problem(), qt.Contains, "config.toml")
		s.mu.Lock()
		s.objects[name] = part
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		c.Assert(w.Generation(), qt.Equals, m.Generation)
		c.Assert(w.Problem(), qt.Equals, "")
	})
}

// TestStartWithPlatformDown guards against a daemon that stays without a
// configuration because the platform is down when it starts: it pulls one from
// a peer.
func TestStartWithPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, m := newStore(), &mesh{}
		applyExample(c, s, "a")
		first := startDaemon(t, s, m, "n1", true)
		defer first.Close()
		time.Sleep(time.Second)
		s.setDown(true)
		second := startDaemon(t, s, m, "n2", false)
		defer second.Close()
		c.Assert(second.Ready(), qt.IsFalse)
		// The first daemon's next pull is due only a second later.
		time.Sleep(500 * time.Millisecond)
		c.Assert(second.Ready(), qt.IsTrue)
		c.Assert(second.Generation(), qt.Equals, uint64(1))
		s.setDown(false)
		applyExample(c, s, "b")
		time.Sleep(3 * time.Second)
		c.Assert(second.Generation(), qt.Equals, uint64(2))
	})
}

// TestReporter checks that an unchanged status is written once per ten seconds,
// by the home only, and that a daemon that does not answer is in it.
func TestReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, m := newStore(), &mesh{}
		applyExample(c, s, "a")
		manifest, err := s.Get(ctx, publisher.ManifestName)
		c.Assert(err, qt.IsNil)
		digest := publisher.Hash(manifest.Value)
		members := []samphireturn.VM{{ID: "n1", Centre: "north"}, {ID: "n2", Centre: "north"}, {ID: "s1", Centre: "south"}, {ID: "gone", Centre: "north"}}
		for _, vm := range members[:2] {
			p := m.addPeer(vm.ID)
			w := watcher.New(&control{snap: samphireturn.Snapshot{Self: vm, Members: members}}, s, p)
			r := reporter.New(w.Control, s, p, w)
			r.IsHome = func() bool { return vm.ID == "n1" }
			c.Assert(w.Run(t.Context()), qt.IsNil)
			defer w.Close()
			c.Assert(r.Run(t.Context()), qt.IsNil)
			p.connect()
			defer r.Close()
		}
		time.Sleep(15 * time.Second)
		before := s.writeCount()
		time.Sleep(100 * time.Second)
		c.Assert(s.writeCount()-before, qt.Equals, 10)
		var got reporter.Status
		o, err := s.Get(ctx, reporter.Prefix+"north")
		c.Assert(err, qt.IsNil)
		c.Assert(json.Unmarshal(o.Value, &got), qt.IsNil)
		c.Assert(got.Daemons, qt.DeepEquals, []reporter.Daemon{
			{ID: "gone", Problem: "no answer"},
			{ID: "n1", Generation: 1, Digest: digest, Ready: true},
			{ID: "n2", Generation: 1, Digest: digest, Ready: true},
		})
	})
}
