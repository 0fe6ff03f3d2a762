// Package reader reads recorded traces. docs/TRACES.md describes the format.
package reader

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"samphireturn"
)

// Kinds of lines.
const (
	LineTrace   = "trace"
	LineRequest = "request"
	LineState   = "state"
	LineBad     = "bad"
	LineLoad    = "load"
	LineExpect  = "expect"
)

// Format is the number of the format that this package reads.
const Format = 1

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Kinds of errors.
const (
	// KindFormat says that a line is not as documented.
	KindFormat Kind = iota
	// KindRead says that the trace could not be read.
	KindRead
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of a trace, with its line from 1.
	Error struct {
		Op   string
		Kind Kind
		Line int
		Err  error
	}

	// Line is one line of a trace.
	Line struct {
		Kind string `json:"kind"`
		// Time is in milliseconds since the trace began.
		Time int64 `json:"t,omitempty"`

		Trace   *Head    `json:"trace,omitempty"`
		Request *Request `json:"request,omitempty"`
		State   *State   `json:"state,omitempty"`
		Bad     *Bad     `json:"bad,omitempty"`
		Load    *Load    `json:"load,omitempty"`
		Expect  *Expect  `json:"expect,omitempty"`
	}

	// Head opens a trace.
	Head struct {
		Format int    `json:"format"`
		Name   string `json:"name"`
		Seed   uint64 `json:"seed"`
		// Daemons are the entry daemons that requests name.
		Daemons []string `json:"daemons"`
	}

	// Request is one recorded request.
	Request struct {
		ID      string `json:"id"`
		Daemon  string `json:"daemon"`
		Centre  string `json:"centre"`
		Team    string `json:"team"`
		Class   string `json:"class,omitempty"`
		Model   string `json:"model"`
		Session string `json:"session,omitempty"`
		// Prompt and Output are the tokens estimated when the request came.
		Prompt int `json:"prompt"`
		Output int `json:"output"`
		// Prefixes are hashes of the prompt's leading blocks of 256, 512, 1024
		// and so on bytes.
		Prefixes []uint64 `json:"prefixes,omitempty"`
		Runs     []Run    `json:"runs"`
	}

	// Run is what a version made of a request.
	Run struct {
		Version string  `json:"version"`
		Rating  float64 `json:"rating"`
		Cost    float64 `json:"cost"`
		// First and Whole are the milliseconds to the first token and the last.
		First int64 `json:"first"`
		Whole int64 `json:"whole"`
		// Late is the milliseconds that the rating takes; below zero it never
		// comes.
		Late int64 `json:"late"`
		// Error is why the run gave no answer; empty if it did.
		Error string `json:"error,omitempty"`
	}

	// State changes a version of the configuration, as an operator does.
	State struct {
		Version   string  `json:"version"`
		State     string  `json:"state"`
		Share     float64 `json:"share"`
		Successor string  `json:"successor,omitempty"`
	}

	// Bad marks a version as bad from its time on. Only the account sees it.
	Bad struct {
		Version string `json:"version"`
	}

	// Load is the load of an endpoint at its time, which daemons learn Lag
	// milliseconds later.
	Load struct {
		Endpoint string   `json:"endpoint"`
		Centre   string   `json:"centre"`
		Versions []string `json:"versions"`
		Lag      int64    `json:"lag"`
		// Budget and Queued are in tokens, Speed in tokens a second.
		Budget int64   `json:"budget"`
		Queued int64   `json:"queued"`
		Speed  float64 `json:"speed"`
	}

	// Expect states an outcome: the measure lies between Min and Max.
	Expect struct {
		Name    string   `json:"name"`
		Measure string   `json:"measure"`
		Min     *float64 `json:"min,omitempty"`
		Max     *float64 `json:"max,omitempty"`
	}

	// Trace is a whole trace in order of time.
	Trace struct {
		Head    Head
		Lines   []Line
		Expects []Expect
	}
)

// Error returns the line and the cause.
func (e *Error) Error() string {
	if e.Line == 0 {
		return e.Op + ": " + e.Err.Error()
	}
	return fmt.Sprintf("%s: line %d: %s", e.Op, e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Read reads a trace, plain or compressed by gzip. Errors are of type *Error.
func Read(r io.Reader) (*Trace, error) {
	b := bufio.NewReader(r)
	if magic, err := b.Peek(2); err == nil && bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		z, err := gzip.NewReader(b)
		if err != nil {
			return nil, &Error{Op: "read trace", Kind: KindRead, Err: err}
		}
		b = bufio.NewReader(z)
	}
	p := parser{}
	s := bufio.NewScanner(b)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		p.line++
		if err := p.add(s.Bytes()); err != nil {
			return nil, &Error{Op: "read trace", Kind: KindFormat, Line: p.line, Err: err}
		}
	}
	if err := s.Err(); err != nil {
		return nil, &Error{Op: "read trace", Kind: KindRead, Line: p.line + 1, Err: err}
	}
	if p.line == 0 {
		return nil, &Error{Op: "read trace", Kind: KindFormat, Line: 1, Err: errors.New("the trace is empty")}
	}
	return &p.trace, nil
}

// parser is the state of one reading.
type parser struct {
	trace Trace
	line  int
	last  int64
}

// add takes in one line.
func (p *parser) add(data []byte) error {
	var l Line
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return err
	}
	if (p.line == 1) != (l.Kind == LineTrace) {
		return errors.New("the first line, and no other, is of kind trace")
	}
	if l.Time < p.last {
		return errors.Errorf("time %d is before the time of an earlier line, %d", l.Time, p.last)
	}
	p.last = l.Time
	if err := p.check(&l); err != nil {
		return err
	}
	switch l.Kind {
	case LineTrace:
		p.trace.Head = *l.Trace
	case LineExpect:
		p.trace.Expects = append(p.trace.Expects, *l.Expect)
	default:
		p.trace.Lines = append(p.trace.Lines, l)
	}
	return nil
}

// check reports what is wrong with a line's content.
func (p *parser) check(l *Line) error {
	switch {
	case l.Kind == LineTrace && l.Trace != nil:
		if l.Trace.Format != Format || len(l.Trace.Daemons) == 0 {
			return errors.Errorf("need format %d and at least one daemon", Format)
		}
	case l.Kind == LineRequest && l.Request != nil:
		return p.checkRequest(l.Request)
	case l.Kind == LineState && l.State != nil:
		return checkState(l.State)
	case l.Kind == LineBad && l.Bad != nil:
		return checkVersion(l.Bad.Version)
	case l.Kind == LineLoad && l.Load != nil:
		if l.Load.Endpoint == "" || l.Load.Lag < 0 || l.Load.Queued < 0 || l.Load.Speed <= 0 {
			return errors.New("a load report needs an endpoint, a lag, a queue and a speed")
		}
	case l.Kind == LineExpect && l.Expect != nil:
		if l.Expect.Name == "" || l.Expect.Measure == "" || l.Expect.Min == nil && l.Expect.Max == nil {
			return errors.New("an outcome needs a name, a measure and a bound")
		}
	default:
		return errors.Errorf("kind %q is unknown or its content is missing", l.Kind)
	}
	return nil
}

// checkRequest reports what is wrong with a request.
func (p *parser) checkRequest(r *Request) error {
	if r.ID == "" || r.Team == "" || r.Model == "" || len(r.Runs) == 0 || r.Prompt < 0 || r.Output < 0 {
		return errors.New("a request needs an id, a team, a model, tokens and at least one run")
	}
	known := false
	for _, d := range p.trace.Head.Daemons {
		known = known || d == r.Daemon
	}
	if !known {
		return errors.Errorf("daemon %q is not in the first line", r.Daemon)
	}
	for _, run := range r.Runs {
		if err := checkVersion(run.Version); err != nil {
			return err
		}
		if run.Rating < 0 || run.Rating > 1 || run.Cost < 0 || run.First < 0 || run.Whole < run.First {
			return errors.Errorf("run of %s: rating, cost or times out of range", run.Version)
		}
	}
	return nil
}

// checkState reports what is wrong with a change of state.
func checkState(s *State) error {
	switch s.State {
	case samphireturn.VersionLive, samphireturn.VersionCanary, samphireturn.VersionWithdrawn:
	default:
		return errors.Errorf("state %q is unknown", s.State)
	}
	if s.Share < 0 || s.Share > 1 {
		return errors.Errorf("share %g is not between 0 and 1", s.Share)
	}
	return checkVersion(s.Version)
}

// checkVersion reports a version that is not model@version.
func checkVersion(s string) error {
	if _, ok := ParseRef(s); !ok {
		return errors.Errorf("version %q is not model@version", s)
	}
	return nil
}
