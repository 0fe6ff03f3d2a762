// Package editor changes single values in configuration files and preserves the
// operators' comments and layout.
package editor

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/parser"
)

// Kinds of errors.
const (
	// KindMissing means that the configuration has no preset or data centre of
	// that name.
	KindMissing Kind = iota
	// KindLayout means that the files cannot be parsed, or that the way they are
	// written does not allow the edit: they cannot be parsed after it.
	KindLayout
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of the editor.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// edit sets a boolean key of a table.
	edit struct {
		table, key string
		value      bool
	}
)

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ActivatePreset returns files in which only the named preset is active. The error
// is an *Error, of KindMissing if there is no such preset.
func ActivatePreset(files map[string][]byte, preset string) (map[string][]byte, error) {
	op := "use preset " + preset
	cfg, _, err := parse(op, files)
	if err != nil {
		return nil, err
	}
	var edits []edit
	found := false
	for i, p := range cfg.Presets {
		found = found || p.Name == preset
		if p.Active != (p.Name == preset) {
			edits = append(edits, edit{fmt.Sprintf("preset[%d]", i), "force", p.Name == preset})
		}
	}
	if !found {
		return nil, &Error{Op: op, Kind: KindMissing, Err: errors.Errorf("no preset %q", preset)}
	}
	return apply(op, files, edits)
}

// SetOutOfService returns files in which the data centre is out of service or, if
// out is false, in service. The error is an *Error, of KindMissing if there is no
// such data centre.
func SetOutOfService(files map[string][]byte, centre string, out bool) (map[string][]byte, error) {
	op := "take out " + centre
	if !out {
		op = "take in " + centre
	}
	cfg, _, err := parse(op, files)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(cfg.Centres, func(c samphireturn.Centre) bool { return c.Name == centre })
	if i < 0 {
		return nil, &Error{Op: op, Kind: KindMissing, Err: errors.Errorf("no data centre %q", centre)}
	}
	if cfg.Centres[i].OutOfService == out {
		return files, nil
	}
	return apply(op, files, []edit{{fmt.Sprintf("centre[%d]", i), "out", out}})
}

// parse parses files in the order of their names.
func parse(op string, files map[string][]byte) (*samphireturn.Config, parser.Positions, error) {
	var list []parser.File
	for _, name := range slices.Sorted(maps.Keys(files)) {
		list = append(list, parser.File{Name: name, Data: files[name]})
	}
	cfg, positions, err := parser.ParseFiles(list)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindLayout, Err: err}
	}
	return cfg, positions, nil
}

// apply applies the edits one after the other to a copy of files. It parses the
// files again before each edit, since an edit moves the positions after it.
func apply(op string, files map[string][]byte, edits []edit) (map[string][]byte, error) {
	files = maps.Clone(files)
	for _, e := range edits {
		_, positions, err := parse(op, files)
		if err != nil {
			return nil, err
		}
		e.apply(files, positions)
	}
	if _, _, err := parse(op, files); err != nil {
		return nil, err
	}
	return files, nil
}

// apply replaces the value of the key, or inserts the key after the table's name.
func (e edit) apply(files map[string][]byte, positions parser.Positions) {
	value := strconv.FormatBool(e.value)
	if pos, ok := positions[e.table+"."+e.key]; ok {
		files[pos.File] = splice(files[pos.File], pos.Start, pos.End, value)
		return
	}
	pos := positions[e.table+".name"]
	data := files[pos.File]
	if pos.Inline {
		files[pos.File] = splice(data, pos.End, pos.End, ", "+e.key+" = "+value)
		return
	}
	text := string(data)
	begin := strings.LastIndexByte(text[:pos.Start], '\n') + 1
	line := text[begin:pos.Start]
	indent := line[:len(line)-len(strings.TrimLeft(line, " \t"))]
	end := len(text)
	if i := strings.IndexByte(text[pos.End:], '\n'); i >= 0 {
		end = pos.End + i
	}
	if end > pos.End && text[end-1] == '\r' {
		end--
		indent = "\r\n" + indent
	} else {
		indent = "\n" + indent
	}
	files[pos.File] = splice(data, end, end, indent+e.key+" = "+value)
}

// splice returns a copy of data with the bytes from start to end replaced by s.
func splice(data []byte, start, end int, s string) []byte {
	return slices.Concat(data[:start], []byte(s), data[end:])
}
