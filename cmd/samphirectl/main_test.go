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
)

// memory is an object API without faults but for down.
type memory struct {
	samphireturn.Store
	objects map[string]samphireturn.Object
	clock   uint64
	down    bool
	// accepted runs after each write of the manifest.
	accepted func(s *memory)
	// first is the manifest to go back to.
	first []byte
}

func (s *memory) Get(_ context.Context, name string) (samphireturn.Object, error) {
	if s.down {
		return samphireturn.Object{}, &samphireturn.Error{Op: "get", Kind: samphireturn.KindUnavailable}
	}
	o, ok := s.objects[name]
	if !ok {
		return o, &samphireturn.Error{Op: "get", Kind: samphireturn.KindMissing}
	}
	return o, nil
}

func (s *memory) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return s.Update(ctx, name, value, 0)
}

func (s *memory) Update(_ context.Context, name string, value []byte, version uint64) (uint64, error) {
	if s.objects[name].Version != version {
		return 0, &samphireturn.Error{Op: "put", Kind: samphireturn.KindConflict}
	}
	s.clock++
	s.objects[name] = samphireturn.Object{Name: name, Version: s.clock, Value: value}
	written := s.clock
	if name == publisher.ManifestName && s.accepted != nil {
		s.accepted(s)
	}
	return written, nil
}

func (s *memory) Delete(_ context.Context, name string, _ uint64) error {
	delete(s.objects, name)
	return nil
}

func (s *memory) List(_ context.Context, prefix string) ([]samphireturn.Object, error) {
	var list []samphireturn.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, o)
		}
	}
	return list, nil
}

func TestCommands(t *testing.T) {
	c := qt.New(t)
	s := &memory{objects: make(map[string]samphireturn.Object)}
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
		{"--timeout 1ms out -wait north", "south has not reported", exitLate},
		{"apply -base 5 " + colleague, "accepted generation 6", exitOK},
		{"apply " + saved + "/config.toml", "made from generation 2, but 6 by ann is in force", exitConflict},
		{"status", "no data centre has reported yet", exitOK},
	}
	for _, step := range steps {
		var out bytes.Buffer
		args := strings.Fields(step.args)
		code := run(t.Context(), append([]string{"--platform", "x", "--author", "ann"}, args...), &out, &out)
		note := qt.Commentf("%s", fmt.Sprintf("%q: %s", step.args, out.String()))
		c.Assert(out.String(), qt.Contains, step.want, note)
		c.Assert(code, qt.Equals, step.code, note)
	}
	s.down = true
	c.Assert(run(t.Context(), []string{"--platform", "x", "show"}, &bytes.Buffer{}, &bytes.Buffer{}), qt.Equals, exitPlatform)
}
