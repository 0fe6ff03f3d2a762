package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"samphireturn/internal/config/parser"
	"samphireturn/internal/config/publisher"
)

// poll is the time between two looks at the status while waiting.
const poll = 500 * time.Millisecond

type (
	// files are configuration files by name.
	files = map[string][]byte

	// Error is an error of the command line, with its exit code.
	Error struct {
		Op   string
		Code int
		Err  error
	}

	// failure is a failed command in JSON.
	failure struct {
		Code     int                 `json:"code"`
		Error    string              `json:"error"`
		Problems []parser.Problem    `json:"problems,omitempty"`
		Between  *publisher.Manifest `json:"between,omitempty"`
	}

	// shown is the output of show in JSON.
	shown struct {
		Manifest publisher.Manifest `json:"manifest"`
		Files    map[string]string  `json:"files"`
	}
)

// Error returns the operation and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usage(text string) error { return &Error{Op: text, Code: exitUsage} }

// print writes v as JSON or, without the option, the text.
func (c *client) print(v any, text string) error {
	if !c.JSON {
		fmt.Fprintln(c.out, strings.TrimRight(text, "\n"))
		return nil
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// describe says in lines who made a change, when and what it changed.
func describe(m publisher.Manifest) string {
	var b strings.Builder
	fmt.Fprintf(&b, "generation %d by %s at %s", m.Generation, m.Author, m.Time.Format(time.RFC3339))
	if m.Note != "" {
		fmt.Fprintf(&b, ": %s", m.Note)
	}
	b.WriteByte('\n')
	for _, line := range m.Changes() {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	return b.String()
}

// apply checks files and puts them in force.
func (c *client) apply(ctx context.Context) error {
	input := make(files)
	var list []parser.File
	for _, path := range c.Apply.Files {
		data, err := os.ReadFile(path)
		if err != nil {
			return &Error{Op: "apply", Code: exitUsage, Err: err}
		}
		name := filepath.Base(path)
		if _, ok := input[name]; ok {
			return usage("apply: two files are named " + name)
		}
		input[name] = data
		list = append(list, parser.File{Name: name, Data: data})
	}
	if c.Apply.Dry {
		slices.SortFunc(list, func(a, b parser.File) int { return strings.Compare(a.Name, b.Name) })
		if _, err := publisher.Check(list); err != nil {
			return &Error{Op: "apply", Code: exitUsage, Err: err}
		}
		return c.print(map[string]bool{"valid": true}, "valid; nothing was changed")
	}
	return c.replace(ctx, input)
}

// replace puts files in force in place of those that they were made from.
func (c *client) replace(ctx context.Context, input files) error {
	dir := filepath.Dir(c.Apply.Files[0])
	p := publisher.Publisher{Store: c.store}
	m, old, err := p.Files(ctx)
	if err == nil && maps.EqualFunc(old, input, slices.Equal) {
		c.keep(dir, m.Generation)
		return c.unchanged(ctx, m, c.Apply.Wait)
	}
	base := c.Apply.Base
	if base == publisher.AnyBase {
		base = c.seen(dir)
	}
	return c.publish(ctx, input, base, c.Apply.Note, c.Apply.Wait, func(g uint64) { c.keep(dir, g) })
}

// unchanged says that there is nothing to change.
func (c *client) unchanged(ctx context.Context, m publisher.Manifest, wait bool) error {
	return c.done(ctx, m, fmt.Sprintf("nothing to change in generation %d", m.Generation), wait, true)
}

// edit changes the files in force and puts them in force again.
func (c *client) edit(ctx context.Context, cmd *nameCmd, note string, change func(files) (files, error)) error {
	p := publisher.Publisher{Store: c.store}
	m, old, err := p.Files(ctx)
	if err != nil {
		return err
	}
	next, err := change(old)
	if err != nil {
		return err
	}
	if maps.EqualFunc(old, next, slices.Equal) {
		return c.unchanged(ctx, m, cmd.Wait)
	}
	if cmd.Note != "" {
		note = cmd.Note
	}
	return c.publish(ctx, next, m.Generation, note, cmd.Wait, nil)
}

// publish puts files in force and waits for the fleet if asked to. The function
// accepted, if any, is told the generation before the wait.
func (c *client) publish(ctx context.Context, f files, base uint64, note string, wait bool, accepted func(uint64)) error {
	p := publisher.Publisher{Store: c.store, Author: c.Author, Note: note, Now: c.now}
	m, err := p.Apply(ctx, f, base)
	if err != nil {
		return err
	}
	if accepted != nil {
		accepted(m.Generation)
	}
	return c.done(ctx, m, "accepted "+describe(m), wait, false)
}

// show prints the configuration in force.
func (c *client) show(ctx context.Context) error {
	p := publisher.Publisher{Store: c.store}
	m, f, err := p.Files(ctx)
	if err != nil {
		return err
	}
	s := shown{Manifest: m, Files: make(map[string]string)}
	text := "# " + strings.ReplaceAll(strings.TrimSpace(describe(m)), "\n", "\n# ") + "\n"
	for _, part := range m.Parts {
		s.Files[part.Name] = string(f[part.Name])
		text += "\n# file " + part.Name + "\n" + string(f[part.Name])
	}
	if c.Show.Save != "" {
		if err := c.save(c.Show.Save, m, f); err != nil {
			return err
		}
	}
	return c.print(s, text)
}
