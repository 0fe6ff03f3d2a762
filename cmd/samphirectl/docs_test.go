package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/reporter"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/fleet/guard"
)

const (
	root       = "../.."
	editedFile = "edit/config.toml"
)

var (
	exitCodeNote = regexp.MustCompile(`\s*# exit (\d)$`)
	argument     = regexp.MustCompile(`"([^"]*)"|'([^']*)'|(\S+)`)
	backquoted   = regexp.MustCompile("`([^`]+)`")
)

// commandLines returns the samphirectl lines of a page's code blocks, which are
// fenced or indented.
func commandLines(page string) []string {
	var found []string
	fenced := false
	for _, text := range strings.Split(page, "\n") {
		if strings.HasPrefix(text, "```") {
			fenced = !fenced
			continue
		}
		if !fenced && !strings.HasPrefix(text, "    ") {
			continue
		}
		if text = strings.TrimSpace(text); strings.HasPrefix(text, "samphirectl ") {
			found = append(found, text)
		}
	}
	return found
}

// readPages returns the text of the operators' pages by path.
func readPages(c *qt.C) map[string]string {
	paths, err := filepath.Glob(root + "/docs/*.md")
	c.Assert(err, qt.IsNil)
	all := make(map[string]string)
	for _, path := range append(paths, root+"/README.md") {
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		all[path] = string(data)
	}
	return all
}

// reportingStore is a platform whose data centres report the configuration in force
// whenever their status is listed.
type reportingStore struct{ *memoryStore }

func (s reportingStore) List(ctx context.Context, prefix string) ([]samphireturn.Object, error) {
	if prefix == reporter.Prefix {
		s.report()
	}
	return s.memoryStore.List(ctx, prefix)
}

func (s reportingStore) report() {
	o, ok := s.objects[publisher.ManifestName]
	if !ok {
		return
	}
	m, err := publisher.Decode(o.Value)
	if err != nil {
		panic(err)
	}
	for _, name := range []string{"north", "south"} {
		status := reporter.Status{Centre: name, Time: time.Now(), Daemons: []reporter.Daemon{
			{ID: name + "1", Generation: m.Generation, Digest: publisher.Hash(o.Value), Ready: true},
		}}
		data, err := json.Marshal(status)
		if err != nil {
			panic(err)
		}
		s.version++
		s.objects[reporter.Prefix+name] = samphireturn.Object{Name: reporter.Prefix + name, Version: s.version, Value: data}
	}
}

// TestPagesCommands runs every samphirectl line of the pages. Each page starts with
// the example configuration in force and small@v2 held. A line must exit with code
// 0, or N if it ends with "# exit N".
func TestPagesCommands(t *testing.T) {
	c := qt.New(t)
	all := readPages(c)
	example, err := os.ReadFile(root + "/examples/config.toml")
	c.Assert(err, qt.IsNil)
	trace, err := os.ReadFile(root + "/testdata/counter.jsonl.gz")
	c.Assert(err, qt.IsNil)
	old := openStore
	defer func() { openStore = old }()
	t.Setenv("SAMPHIRE_PLATFORM", "http://10.0.0.1:7000")
	runs := 0
	for _, path := range slices.Sorted(maps.Keys(all)) {
		s := &memoryStore{objects: make(map[string]samphireturn.Object)}
		openStore = func(string) (samphireturn.Store, error) { return reportingStore{s}, nil }
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Chdir(t.TempDir())
			c := qt.New(t)
			c.Assert(os.WriteFile("config.toml", example, 0o600), qt.IsNil)
			c.Assert(os.WriteFile("trace.jsonl.gz", trace, 0o600), qt.IsNil)
			c.Assert(os.Mkdir("edit", 0o700), qt.IsNil)
			c.Assert(run(t.Context(), []string{"apply", "config.toml"}, &bytes.Buffer{}, &bytes.Buffer{}), qt.Equals, exitOK)
			_, err := guard.SaveHold(t.Context(), s, guard.Hold{Version: samphireturn.VersionRef{Model: "small", Version: "v2"}, Epoch: 1})
			c.Assert(err, qt.IsNil)
			for _, text := range commandLines(all[path]) {
				runs++
				want := exitOK
				if m := exitCodeNote.FindStringSubmatch(text); m != nil {
					want, _ = strconv.Atoi(m[1])
					text = strings.TrimSuffix(text, m[0])
				}
				var args []string
				for _, m := range argument.FindAllStringSubmatch(text, -1) {
					args = append(args, m[1]+m[2]+m[3])
				}
				if args[1] == "apply" && slices.Contains(args, editedFile) {
					editConfig(c, runs)
				}
				var out bytes.Buffer
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				code := run(ctx, args[1:], &out, &out)
				cancel()
				c.Check(code, qt.Equals, want, qt.Commentf("%s: %s", text, out.String()))
			}
		})
	}
	c.Check(runs > 20, qt.IsTrue, qt.Commentf("only %d commands were found", runs))
}

// editConfig changes the saved configuration, as an operator does before applying it.
func editConfig(c *qt.C, n int) {
	f, err := os.OpenFile(editedFile, os.O_APPEND|os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(f, "# change %d\n", n)
	c.Assert(err, qt.IsNil)
	c.Assert(f.Close(), qt.IsNil)
}

// names are the counters, log messages and string literals of the product's code.
type names struct{ counters, messages, literals map[string]bool }

// readNames parses the product's code, without tests and stand-ins.
func readNames(c *qt.C) names {
	n := names{make(map[string]bool), make(map[string]bool), make(map[string]bool)}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		skip := strings.Contains(path, "standin")
		if err != nil || d.IsDir() || skip || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			n.add(node)
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
	return n
}

// add adds the name that a call or a string literal contains.
func (n names) add(node ast.Node) {
	if l, ok := node.(*ast.BasicLit); ok && l.Kind == token.STRING {
		if text, err := strconv.Unquote(l.Value); err == nil {
			n.literals[text] = true
		}
	}
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	l, literal := call.Args[0].(*ast.BasicLit)
	if !ok || !literal {
		return
	}
	text, err := strconv.Unquote(l.Value)
	if err != nil {
		return
	}
	of, _ := f.X.(*ast.Ident)
	switch {
	case f.Sel.Name == "Msg":
		n.messages[text] = true
	case of != nil && of.Name == "expvar":
		n.counters[text] = true
	}
}

// tableNames returns the backquoted names in the first column of the table whose
// first heading is given.
func tableNames(page, heading string) map[string]bool {
	found := make(map[string]bool)
	_, rest, _ := strings.Cut(page, "| "+heading+" |")
	for i, row := range strings.Split(rest, "\n") {
		if i > 0 && !strings.HasPrefix(row, "|") {
			break
		}
		if cells := strings.Split(row, "|"); i > 1 && len(cells) > 1 {
			for _, m := range backquoted.FindAllStringSubmatch(cells[1], -1) {
				found[m[1]] = true
			}
		}
	}
	return found
}

// TestPagesNames checks that the counters and log events of the code and the tables
// of docs/OPERATIONS.md are the same, and that every name in docs/RUNBOOKS.md is in
// the code.
func TestPagesNames(t *testing.T) {
	c := qt.New(t)
	all := readPages(c)
	page := all[root+"/docs/OPERATIONS.md"]
	n := readNames(c)
	c.Check(len(n.counters) > 30 && len(n.messages) > 30, qt.IsTrue)
	c.Check(slices.Sorted(maps.Keys(tableNames(page, "Counter"))), qt.DeepEquals, slices.Sorted(maps.Keys(n.counters)))
	c.Check(slices.Sorted(maps.Keys(tableNames(page, "Message"))), qt.DeepEquals, slices.Sorted(maps.Keys(n.messages)))
	events := make(map[string]bool)
	for _, e := range logger.Events {
		events[e.Name] = true
		c.Check(page, qt.Contains, fmt.Sprintf("| `%s` | %s | %s |", e.Name, e.Fields, e.Text))
	}
	c.Check(slices.Sorted(maps.Keys(tableNames(page, "Event"))), qt.DeepEquals, slices.Sorted(maps.Keys(events)))
	counter := regexp.MustCompile(`^([a-z]+_[a-z_]+)(?:\.([a-z_ ]+))?$`)
	for _, m := range backquoted.FindAllStringSubmatch(all[root+"/docs/RUNBOOKS.md"], -1) {
		name := m[1]
		if text, ok := strings.CutPrefix(name, `"`); ok {
			c.Check(n.messages[strings.TrimSuffix(text, `"`)], qt.IsTrue, qt.Commentf("no log event %s", name))
			continue
		}
		if p := counter.FindStringSubmatch(name); p != nil {
			c.Check(n.counters[p[1]] || p[2] == "" && n.literals[p[1]], qt.IsTrue, qt.Commentf("no counter or code %s", name))
			for _, part := range strings.Fields(p[2]) {
				known := n.literals[p[2]] || n.literals[part]
				c.Check(known, qt.IsTrue, qt.Commentf("no reason of %s", name))
			}
		}
	}
}
