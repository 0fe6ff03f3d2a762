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

// pollInterval is the time between two reads of the status while waiting.
const pollInterval = 500 * time.Millisecond

type (
	// files maps the names of configuration files to their content.
	files = map[string][]byte

	// Error is the error of a command, with its exit code.
	Error struct {
		Op   string
		Code int
		Err  error
	}

	// failureOutput is the JSON output of a failed command.
	failureOutput struct {
		Code     int                 `json:"code"`
		Error    string              `json:"error"`
		Problems []parser.Problem    `json:"problems,omitempty"`
		InForce  *publisher.Manifest `json:"between,omitempty"`
	}

	// showOutput is the JSON output of the command show.
	showOutput struct {
		Manifest publisher.Manifest `json:"manifest"`
		Files    map[string]string  `json:"files"`
	}
)

// Error returns the operation and the cause, if any.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usageError(text string) error { return &Error{Op: text, Code: exitUsage} }

// print writes v with --json, and text otherwise.
func (c *client) print(v any, text string) error {
	if !c.JSON {
		fmt.Fprintln(c.out, strings.TrimRight(text, "\n"))
		return nil
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// describe returns the author, time, note and changed files of a manifest, over
// several lines.
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

// apply checks the files of the command line and, without --dry, puts them in force.
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
			return usageError("apply: two files are named " + name)
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
	return c.applyFiles(ctx, input)
}

// applyFiles puts files in force, in place of the generation that they are based on.
func (c *client) applyFiles(ctx context.Context, input files) error {
	dir := filepath.Dir(c.Apply.Files[0])
	p := publisher.Publisher{Store: c.store}
	m, old, err := p.Files(ctx)
	if err == nil && maps.EqualFunc(old, input, slices.Equal) {
		c.recordBase(dir, m.Generation)
		return c.reportUnchanged(ctx, m, c.Apply.Wait)
	}
	base := c.Apply.Base
	if base == publisher.AnyBase {
		base = c.baseGeneration(dir)
	}
	return c.publish(ctx, input, base, c.Apply.Note, c.Apply.Wait, func(g uint64) { c.recordBase(dir, g) })
}

// reportUnchanged prints that the files in force are the same, after the wait if one
// is asked for.
func (c *client) reportUnchanged(ctx context.Context, m publisher.Manifest, wait bool) error {
	return c.printChange(ctx, m, fmt.Sprintf("nothing to change in generation %d", m.Generation), wait, true)
}

// edit applies change to the files in force and publishes the result, with the
// command's note or else the given one.
func (c *client) edit(ctx context.Context, cmd *namedCmd, note string, change func(files) (files, error)) error {
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
		return c.reportUnchanged(ctx, m, cmd.Wait)
	}
	if cmd.Note != "" {
		note = cmd.Note
	}
	return c.publish(ctx, next, m.Generation, note, cmd.Wait, nil)
}

// publish puts files in force and, with wait, waits until the fleet runs them. If
// onAccept is not nil, it is called with the new generation before the wait.
func (c *client) publish(ctx context.Context, f files, base uint64, note string, wait bool, onAccept func(uint64)) error {
	p := publisher.Publisher{Store: c.store, Author: c.Author, Note: note, Now: c.now}
	m, err := p.Apply(ctx, f, base)
	if err != nil {
		return err
	}
	if onAccept != nil {
		onAccept(m.Generation)
	}
	return c.printChange(ctx, m, "accepted "+describe(m), wait, false)
}

// show prints the configuration in force.
func (c *client) show(ctx context.Context) error {
	p := publisher.Publisher{Store: c.store}
	m, f, err := p.Files(ctx)
	if err != nil {
		return err
	}
	s := showOutput{Manifest: m, Files: make(map[string]string)}
	text := "# " + strings.ReplaceAll(strings.TrimSpace(describe(m)), "\n", "\n# ") + "\n"
	for _, part := range m.Parts {
		s.Files[part.Name] = string(f[part.Name])
		text += "\n# file " + part.Name + "\n" + string(f[part.Name])
	}
	if c.Show.Save != "" {
		if err := c.saveFiles(c.Show.Save, m, f); err != nil {
			return err
		}
	}
	return c.print(s, text)
}
