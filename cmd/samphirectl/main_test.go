package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/fleet/guard"
	"samphireturn/internal/fleet/orderer"
)

// memoryStore is an in-memory object API whose only fault is down: Get fails.
type memoryStore struct {
	samphireturn.Store
	objects map[string]samphireturn.Object
	version uint64
	down    bool
	// onManifest, if not nil, runs after each write of the manifest.
	onManifest func(s *memoryStore)
	// firstManifest is the manifest that a test restores.
	firstManifest []byte
}

func (s *memoryStore) Get(_ context.Context, name string) (samphireturn.Object, error) {
	if s.down {
		return samphireturn.Object{}, &samphireturn.Error{Op: "get", Kind: samphireturn.KindUnavailable}
	}
	o, ok := s.objects[name]
	if !ok {
		return o, &samphireturn.Error{Op: "get", Kind: samphireturn.KindMissing}
	}
	return o, nil
}

func (s *memoryStore) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return s.Update(ctx, name, value, 0)
}

func (s *memoryStore) Update(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	if s.objects[name].Version != version {
		return 0, &samphireturn.Error{Op: "put", Kind: samphireturn.KindConflict}
	}
	s.version++
	s.objects[name] = samphireturn.Object{Name: name, Version: s.version, Value: value}
	written := s.version
	if name == publisher.ManifestName && s.onManifest != nil {
		s.onManifest(s)
	}
	return written, nil
}

func (s *memoryStore) Delete(_ context.Context, name string, _ uint64) error {
	delete(s.objects, name)
	return nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	var list []samphireturn.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, o)
		}
	}
	return list, nil
}

// TestCommands runs a series of commands on one store and checks the output and the exit
// code of each; a change based on an older generation must be refused.
func TestCommands(t *testing.T) {
	c := qt.New(t)
	s := &memoryStore{objects: make(map[string]samphireturn.Object)}
	old := openStore
	openStore = func(string) (samphireturn.Store, error) { return s, nil }
	defer func() { openStore = old }()
	bad := filepath.Join(t.TempDir(), "bad.toml")
	c.Assert(os.WriteFile(bad, []byte("foo = 1\n"), 0o600), qt.IsNil)
	example, err := os.ReadFile("../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	good := filepath.Join(t.TempDir(), "config.toml")
	c.Assert(os.WriteFile(good, example, 0o600), qt.IsNil)
	colleague := filepath.Join(t.TempDir(), "config.toml")
	c.Assert(os.WriteFile(colleague, append(example, "# hers\n"...), 0o600), qt.IsNil)
	saved := t.TempDir()
	trace := filepath.Join(t.TempDir(), "trace.jsonl")
	c.Assert(os.WriteFile(trace, []byte(strings.Join([]string{
		`{"kind":"trace","trace":{"format":1,"name":"x","seed":1,"daemons":["d"]}}`,
		`{"kind":"request","request":{"id":"r","daemon":"d","centre":"north","team":"counter","model":"draft","prompt":1,"output":1,"runs":[` +
			`{"version":"small@v1","rating":0.1,"cost":1,"first":1,"whole":2,"late":0},{"version":"large@v1","rating":0.1,"cost":9,"first":1,"whole":2,"late":0}]}}`,
		`{"kind":"expect","expect":{"name":"quality target","measure":"share","min":1}}`,
	}, "\n")), 0o600), qt.IsNil)
	_, err = guard.SaveHold(t.Context(), s, guard.Hold{Version: samphireturn.VersionRef{Model: "small", Version: "v9"}, Epoch: 3})
	c.Assert(err, qt.IsNil)
	steps := []struct {
		args, want string
		code       int
	}{
		{"", "a command is needed", exitUsage},
		{"preset", "a command is needed", exitUsage},
		{"nothing", "invalid subcommand", exitUsage},
		{"apply --help", "-dry", exitOK},
		{"--version", "unknown argument", exitUsage},
		{"version", "samphirectl ", exitOK},
		{"show", "no configuration was applied yet", exitFailed},
		{"status", "no data centre has reported yet", exitOK},
		{"apply -dry " + bad, "bad.toml:1: foo: unknown key", exitUsage},
		{"apply " + bad, "bad.toml:1: foo: unknown key", exitUsage},
		{"apply missing.toml", "missing.toml", exitUsage},
		{"apply -note first " + good, "accepted generation 1 by ann", exitOK},
		{"apply " + good, "nothing to change in generation 1", exitOK},
		{"preset use peak", "accepted generation 2 by ann", exitOK},
		{"apply " + good, "made from generation 1, but 2 by ann is in force", exitConflict},
		{"apply " + colleague, "names no generation that it was made from, but 2 by ann is in force", exitConflict},
		{"show -save " + saved, "generation 2 by ann", exitOK},
		{"apply " + saved + "/config.toml", "nothing to change in generation 2", exitOK},
		{"apply -base 1 " + good, "This change came between; nothing of it or of your files is lost:\ngeneration 2 by ann", exitConflict},
		{"preset use peak", "nothing to change in generation 2", exitOK},
		{"preset use none", `no preset "none"`, exitUsage},
		{"out south", ": take out south\n  changed config.toml", exitOK},
		{"show", "region = \"coast\"", exitOK},
		{"in south", "accepted generation 4", exitOK},
		{"--json show", `"generation": 4`, exitOK},
		{"--timeout 1ms out -wait north", "south has not reported", exitNotInForce},
		{"apply -base 5 " + colleague, "accepted generation 6", exitOK},
		{"apply " + saved + "/config.toml", "made from generation 2, but 6 by ann is in force", exitConflict},
		{"replay -config " + good, "TRACE is required", exitUsage},
		{"replay -config " + good + " -trace " + bad, "bad.toml: read trace: line 1", exitUsage},
		{"replay -config " + bad + " -trace " + trace, "foo: unknown key", exitUsage},
		{"replay -config " + good + " -trace " + trace, "broken quality target: share is 0, at least 1", exitFailed},
		{"replay -config " + good + " -trace " + trace + " -plot " + trace + ".svg", "1 stated outcomes broken", exitFailed},
		{"--json replay -config " + good + " -trace " + trace, `"kept": false`, exitFailed},
		{"release small@v2", "it is not held", exitFailed},
		{"release small@v9", "small@v9 is released in epoch 4", exitOK},
		{"release small@v9", "it is not held", exitFailed},
		{"status", "north, never reported\nsouth, never reported\n", exitOK},
		{"out south", "accepted generation 7", exitOK},
		{"status", "south, never reported, out of service\n", exitOK},
		{"--json status", `"centre": "south"`, exitOK},
	}
	for _, step := range steps {
		var out bytes.Buffer
		args := strings.Fields(step.args)
		code := run(t.Context(), append([]string{"--platform", "x", "--author", "ann"}, args...), &out, &out)
		note := qt.Commentf("%s", fmt.Sprintf("%q: %s", step.args, out.String()))
		c.Assert(out.String(), qt.Contains, step.want, note)
		c.Assert(code, qt.Equals, step.code, note)
	}
	var out bytes.Buffer
	s.report("north")
	s.objects[orderer.Prefix+"north"] = samphireturn.Object{Name: orderer.Prefix + "north", Value: []byte(
		`{"centre":"north","versions":[{"name":"a@1","wanted":2,"loaded":1},{"name":"a@2","wanted":1,"loaded":1}],"problem":"none free"}`)}
	c.Check(run(t.Context(), []string{"--platform", "x", "status"}, &out, &out), qt.Equals, exitOK)
	c.Check(out.String(), qt.Contains, "  a@1 wanted 2 loaded 1 problem: none free\n  a@2 wanted 1 loaded 1\n")
	svg, err := os.ReadFile(trace + ".svg")
	c.Assert(err, qt.IsNil)
	c.Assert(string(svg), qt.Contains, "</svg>")
	s.down = true
	c.Assert(run(t.Context(), []string{"--platform", "x", "show"}, &bytes.Buffer{}, &bytes.Buffer{}), qt.Equals, exitPlatform)
}
