// Package parser decodes configuration files and records the position of each key.
package parser

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindSyntax means that a file is not valid TOML.
	KindSyntax Kind = iota
	// KindContent means that a file has unknown keys, values of a wrong type or a
	// table that another file has too.
	KindContent
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of the parser. Its cause is of type Problems.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Problem is one fault of a file. Line is zero if the fault has no line.
	Problem struct {
		File    string `json:"file"`
		Line    int    `json:"line"`
		Key     string `json:"key"`
		Message string `json:"message"`
	}

	// Problems is an error that lists the faults found by one check.
	Problems []Problem

	// File is one file of a configuration.
	File struct {
		Name string
		Data []byte
	}
)

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// String returns "file:line: key: message".
func (p Problem) String() string {
	s := p.File
	if p.Line > 0 {
		s = fmt.Sprintf("%s:%d", s, p.Line)
	}
	if s != "" {
		s += ": "
	}
	if p.Key != "" {
		s += p.Key + ": "
	}
	return s + p.Message
}

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Parse parses one configuration file. Its errors are of type *Error.
func Parse(file string, data []byte) (*samphireturn.Config, error) {
	cfg, _, err := ParseFiles([]File{{Name: file, Data: data}})
	return cfg, err
}

// ParseFiles parses files and merges them in their order: lists are appended, and a
// table such as guard may be in one file only. The indexes in the positions are
// those of the merged lists.
func ParseFiles(files []File) (*samphireturn.Config, Positions, error) {
	cfg := &samphireturn.Config{}
	l := newLocator()
	var all Problems
	for _, f := range files {
		var part samphireturn.Config
		problems, err := l.decode(f, &part)
		if err != nil {
			return nil, l.positions, err
		}
		all = append(all, problems...)
		merge(cfg, &part)
	}
	if len(all) > 0 {
		return nil, l.positions, &Error{Op: "parse configuration", Kind: KindContent, Err: all}
	}
	return cfg, l.positions, nil
}

// Decode decodes one file into v, a pointer to a struct, in strict mode. An error of
// KindContent holds every unknown key and every value of a wrong type.
func Decode(f File, v any) (Positions, error) {
	l := newLocator()
	problems, err := l.decode(f, v)
	if err == nil && len(problems) > 0 {
		err = &Error{Op: "parse " + f.Name, Kind: KindContent, Err: problems}
	}
	return l.positions, err
}

// decode locates the keys of f, checks them against the type of v and, if there are
// no problems, decodes f into v.
func (l *locator) decode(f File, v any) (Problems, error) {
	var tree map[string]any
	if err := toml.Unmarshal(f.Data, &tree); err != nil {
		return nil, &Error{Op: "parse " + f.Name, Kind: KindSyntax, Err: Problems{toProblem(f.Name, err)}}
	}
	offsets := l.listLengths()
	problems := l.locate(f)
	c := checker{file: f.Name, offsets: offsets, positions: l.positions}
	c.check(tree, v)
	problems = append(problems, c.problems...)
	if len(problems) > 0 {
		return problems, nil
	}
	d := toml.NewDecoder(strings.NewReader(string(f.Data))).DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		problems = append(problems, toProblem(f.Name, err))
	}
	return problems, nil
}

// toProblem converts an error of the TOML library into a Problem.
func toProblem(file string, err error) Problem {
	p := Problem{File: file, Message: strings.TrimPrefix(err.Error(), "toml: ")}
	d, ok := err.(*toml.DecodeError)
	if !ok {
		return p
	}
	p.Line, _ = d.Position()
	p.Key = strings.Join(d.Key(), ".")
	return p
}

// merge appends the lists of part to cfg and sets the tables that part has.
func merge(cfg, part *samphireturn.Config) {
	cfg.Presets = append(cfg.Presets, part.Presets...)
	cfg.Centres = append(cfg.Centres, part.Centres...)
	cfg.Models = append(cfg.Models, part.Models...)
	cfg.Services = append(cfg.Services, part.Services...)
	cfg.Teams = append(cfg.Teams, part.Teams...)
	cfg.Keys = append(cfg.Keys, part.Keys...)
	if part.Guard != (samphireturn.Guard{}) {
		cfg.Guard = part.Guard
	}
	if part.Retry != (samphireturn.Retry{}) {
		cfg.Retry = part.Retry
	}
}
