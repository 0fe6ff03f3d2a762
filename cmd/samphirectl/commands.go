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

	"samphireturn"
	"samphireturn/internal/config/parser"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/reporter"
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
	return c.publish(ctx, input, c.Apply.Base, c.Apply.Note, c.Apply.Wait)
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
		if err := c.print(m, fmt.Sprintf("nothing to change in generation %d", m.Generation)); err != nil || !cmd.Wait {
			return err
		}
		return c.wait(ctx, m.Generation)
	}
	if cmd.Note != "" {
		note = cmd.Note
	}
	return c.publish(ctx, next, m.Generation, note, cmd.Wait)
}

// publish puts files in force and waits for the fleet if asked to.
func (c *client) publish(ctx context.Context, f files, base uint64, note string, wait bool) error {
	p := publisher.Publisher{Store: c.store, Author: c.Author, Note: note, Now: c.now}
	m, err := p.Apply(ctx, f, base)
	if err != nil {
		return err
	}
	if wait {
		if err := c.wait(ctx, m.Generation); err != nil {
			return err
		}
	}
	return c.print(m, "accepted "+describe(m))
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
	return c.print(s, text)
}

// statuses reads the status of every data centre.
func (c *client) statuses(ctx context.Context) (map[string]reporter.Status, error) {
	list, err := c.store.List(ctx, reporter.Prefix)
	if err != nil {
		return nil, err
	}
	all := make(map[string]reporter.Status)
	for _, o := range list {
		o, err := c.store.Get(ctx, o.Name)
		if samphireturn.KindOf(err) == samphireturn.KindMissing {
			continue
		}
		if err != nil {
			return nil, err
		}
		var s reporter.Status
		if err := json.Unmarshal(o.Value, &s); err != nil {
			return nil, &Error{Op: "read " + o.Name, Code: exitFailed, Err: err}
		}
		all[s.Centre] = s
	}
	return all, nil
}

// status prints the status of every data centre.
func (c *client) status(ctx context.Context) error {
	all, err := c.statuses(ctx)
	if err != nil {
		return err
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		s := all[name]
		fmt.Fprintf(&b, "%s, %s old\n", name, c.now().Sub(s.Time).Round(time.Second))
		for _, d := range s.Daemons {
			fmt.Fprintf(&b, "  %s generation %d ready %t", d.ID, d.Generation, d.Ready)
			if len(d.Held) > 0 {
				fmt.Fprintf(&b, " held %s", strings.Join(d.Held, " "))
			}
			if d.Problem != "" {
				fmt.Fprintf(&b, " problem: %s", d.Problem)
			}
			b.WriteByte('\n')
		}
	}
	if len(all) == 0 {
		b.WriteString("no data centre has reported yet")
	}
	return c.print(all, b.String())
}

// wait returns once every daemon of each data centre in service reports the
// generation or a later one.
func (c *client) wait(ctx context.Context, generation uint64) error {
	p := publisher.Publisher{Store: c.store}
	last := "no status was read"
	for {
		late, err := c.late(ctx, &p, generation)
		if err == nil && len(late) == 0 {
			return nil
		}
		if err == nil {
			last = strings.Join(late, ", ")
		}
		select {
		case <-ctx.Done():
			return &Error{Op: fmt.Sprintf("generation %d was accepted but is not in force in time: %s", generation, last), Code: exitLate}
		case <-time.After(poll):
		}
	}
}

// late lists the daemons and data centres that do not report the generation.
func (c *client) late(ctx context.Context, p *publisher.Publisher, generation uint64) ([]string, error) {
	_, cfg, err := p.Fetch(ctx)
	if err != nil {
		return nil, err
	}
	all, err := c.statuses(ctx)
	if err != nil {
		return nil, err
	}
	var late []string
	for _, z := range cfg.Centres {
		s, ok := all[z.Name]
		if !ok && !z.Out {
			late = append(late, z.Name+" has not reported")
		}
		for _, d := range s.Daemons {
			if d.Generation < generation && !z.Out {
				late = append(late, d.ID+" of "+z.Name)
			}
		}
	}
	return late, nil
}
