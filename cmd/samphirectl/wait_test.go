package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/reporter"
)

// report writes the status object of a data centre, one minute old.
func (s *memoryStore) report(centre string, daemons ...reporter.Daemon) {
	data, _ := json.Marshal(reporter.Status{Centre: centre, Time: time.Now().Add(-time.Minute), Daemons: daemons})
	s.version++
	s.objects[reporter.Prefix+centre] = samphireturn.Object{Name: reporter.Prefix + centre, Version: s.version, Value: data}
}

// TestFaultConfigWait guards against a wait that ends although a daemon in service does
// not run the change: one on an old generation, without an answer, with other content
// or known only by a stale status. It also checks which data centres are not waited
// for.
func TestFaultConfigWait(t *testing.T) {
	// runs returns a daemon that runs the manifest in force.
	runs := func(s *memoryStore, id string) reporter.Daemon {
		return reporter.Daemon{ID: id, Generation: 2, Digest: publisher.Hash(s.objects[publisher.ManifestName].Value)}
	}
	both := func(s *memoryStore) {
		s.report("north", runs(s, "n1"), runs(s, "n2"))
		s.report("south", runs(s, "s1"))
	}
	tests := []struct {
		name, args    string
		before, after func(s *memoryStore)
		want          []string
		code          int
	}{
		{"all", "apply -wait FILE", nil, both, []string{"accepted generation 2"}, exitOK},
		{"a later generation", "apply -wait FILE", nil, func(s *memoryStore) {
			both(s)
			s.report("south", reporter.Daemon{ID: "s1", Generation: 3})
		}, []string{"accepted generation 2"}, exitOK},
		{"daemon on the old generation", "apply -wait FILE", nil, func(s *memoryStore) {
			both(s)
			s.report("north", runs(s, "n1"), reporter.Daemon{ID: "n2", Generation: 1, Problem: "part missing"})
		}, []string{"n2 of north runs generation 1: part missing"}, exitNotInForce},
		{"daemon without an answer", "apply -wait FILE", nil, func(s *memoryStore) {
			both(s)
			s.report("north", runs(s, "n1"), reporter.Daemon{ID: "n2", Problem: "no answer"})
		}, []string{"n2 of north gives no report: no answer"}, exitNotInForce},
		{"same generation, other content", "apply -wait FILE", nil, func(s *memoryStore) {
			both(s)
			s.report("south", reporter.Daemon{ID: "s1", Generation: 2, Digest: "other"})
		}, []string{"s1 of south runs generation 2"}, exitNotInForce},
		{"never reported", "apply -wait FILE", nil, func(s *memoryStore) { s.report("north", runs(s, "n1")) }, []string{"south has not reported"}, exitNotInForce},
		{"stale status", "apply -wait FILE", func(s *memoryStore) {
			s.report("south", reporter.Daemon{ID: "s1", Generation: 2})
		}, func(s *memoryStore) { s.report("north", runs(s, "n1")) }, []string{"south has not reported since; its last report is 1m0s old"}, exitNotInForce},
		{"stale status, nothing to change", "preset use -wait ordinary", func(s *memoryStore) {
			both(s)
		}, nil, []string{"north has not reported since", "south has not reported since"}, exitNotInForce},
		{"data centre out", "out -wait south", nil, func(s *memoryStore) {
			s.report("north", runs(s, "n1"))
			s.report("south", reporter.Daemon{ID: "s1", Generation: 1})
		}, []string{"accepted generation 2", "not waited for: data centre south is out", "not waited for: s1 of south runs generation 1"}, exitOK},
		{"data centre out that never reported", "out -wait south", nil, func(s *memoryStore) { s.report("north", runs(s, "n1")) },
			[]string{"accepted generation 2", "not waited for: south has not reported"}, exitOK},
		{"data centre not in the configuration", "apply -wait FILE", nil, func(s *memoryStore) {
			both(s)
			s.report("east", reporter.Daemon{ID: "e1", Generation: 1})
		}, []string{"not waited for: data centre east is not in the configuration", "e1 of east runs generation 1"}, exitOK},
		{"older manifest restored", "apply -wait FILE", func(s *memoryStore) {
			s.onManifest = func(s *memoryStore) {
				both(s)
				s.objects[publisher.ManifestName] = samphireturn.Object{Name: publisher.ManifestName, Version: s.version + 1, Value: s.firstManifest}
			}
		}, nil, []string{"not known to be in force everywhere", "the platform went back to generation 1"}, exitNotInForce},
	}
	example, err := os.ReadFile("../../examples/config.toml")
	qt.Assert(t, err, qt.IsNil)
	old := openStore
	defer func() { openStore = old }()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := &memoryStore{objects: make(map[string]samphireturn.Object)}
			openStore = func(string) (samphireturn.Store, error) { return s, nil }
			file := filepath.Join(t.TempDir(), "config.toml")
			c.Assert(os.WriteFile(file, example, 0o600), qt.IsNil)
			call := func(args string) (int, string) {
				var out bytes.Buffer
				list := strings.Fields("--platform x --author ann --timeout 1ms " + strings.ReplaceAll(args, "FILE", file))
				return run(t.Context(), list, &out, &out), out.String()
			}
			code, text := call("apply FILE")
			c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", text))
			s.firstManifest = s.objects[publisher.ManifestName].Value
			if strings.Contains(tt.args, "FILE") {
				c.Assert(os.WriteFile(file, append([]byte("# b\n"), example...), 0o600), qt.IsNil)
			}
			if tt.after != nil {
				s.onManifest = tt.after
			}
			if tt.before != nil {
				tt.before(s)
			}
			code, text = call(tt.args)
			for _, want := range tt.want {
				c.Check(text, qt.Contains, want)
			}
			c.Check(code, qt.Equals, tt.code, qt.Commentf("%s", text))
		})
	}
}
