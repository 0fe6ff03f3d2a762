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
	LineTrace       = "trace"
	LineRequest     = "request"
	LineState       = "state"
	LineBad         = "bad"
	LineLoad        = "load"
	LineExpectation = "expect"
)

// Format is the version of the trace format that this package reads.
const Format = 1

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Kinds of errors.
const (
	// KindFormat means that a line does not follow the documented format.
	KindFormat Kind = iota
	// KindRead means that reading or decompressing the trace failed.
	KindRead
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of reading a trace.
	Error struct {
		Op   string
		Kind Kind
		// Line is the number of the faulty line, from 1; zero if unknown.
		Line int
		Err  error
	}

	// Line is one line of a trace. Its Kind says which of the pointers is set.
	Line struct {
		Kind string `json:"kind"`
		// TimeMs is in milliseconds since the start of the trace.
		TimeMs int64 `json:"t,omitempty"`

		Trace       *Header       `json:"trace,omitempty"`
		Request     *Request      `json:"request,omitempty"`
		State       *VersionState `json:"state,omitempty"`
		BadVersion  *BadVersion   `json:"bad,omitempty"`
		Load        *LoadReport   `json:"load,omitempty"`
		Expectation *Expectation  `json:"expect,omitempty"`
	}

	// Header is the content of the first line of a trace.
	Header struct {
		Format int    `json:"format"`
		Name   string `json:"name"`
		Seed   uint64 `json:"seed"`
		// Daemons are the entry daemons that requests refer to.
		Daemons []string `json:"daemons"`
	}

	// Request is one recorded request.
	Request struct {
		ID     string `json:"id"`
		Daemon string `json:"daemon"`
		Centre string `json:"centre"`
		Team   string `json:"team"`
		Class  string `json:"class,omitempty"`
		// Model is the model, version or alias that the caller named.
		Model   string `json:"model"`
		Session string `json:"session,omitempty"`
		// PromptTokens and OutputTokens are the token counts estimated when the
		// request arrived.
		PromptTokens int `json:"prompt"`
		OutputTokens int `json:"output"`
		// Prefixes are hashes of the prompt's leading blocks of 256, 512, 1024 and
		// so on bytes.
		Prefixes []uint64 `json:"prefixes,omitempty"`
		Runs     []Run    `json:"runs"`
	}

	// Run is the recorded run of a request on one version.
	Run struct {
		Version string `json:"version"`
		// Rating is from 0 to 1, Cost in the currency unit of the prices.
		Rating float64 `json:"rating"`
		Cost   float64 `json:"cost"`
		// FirstTokenMs and LastTokenMs are the times in milliseconds from the start
		// of the run to its first and its last token.
		FirstTokenMs int64 `json:"first"`
		LastTokenMs  int64 `json:"whole"`
		// RatingDelayMs is the time in milliseconds from the last token to the
		// rating. It is negative if no rating arrives.
		RatingDelayMs int64 `json:"late"`
		// Error is the reason why the run gave no answer; empty if it gave one.
		Error string `json:"error,omitempty"`
	}

	// VersionState is an operator's change of a version in the configuration.
	VersionState struct {
		Version   string  `json:"version"`
		State     string  `json:"state"`
		Share     float64 `json:"share"`
		Successor string  `json:"successor,omitempty"`
	}

	// BadVersion marks a version as faulty from the line's time on. Only the
	// evaluation uses it, never the decision code.
	BadVersion struct {
		Version string `json:"version"`
	}

	// LoadReport is the load of an endpoint at the line's time. Daemons learn it
	// LagMs milliseconds later.
	LoadReport struct {
		Endpoint string   `json:"endpoint"`
		Centre   string   `json:"centre"`
		Versions []string `json:"versions"`
		LagMs    int64    `json:"lag"`
		// BudgetTokens is the concurrent work that the endpoint can take and
		// QueuedTokens the work in its queue. Throughput is in tokens per second.
		BudgetTokens int64   `json:"budget"`
		QueuedTokens int64   `json:"queued"`
		Throughput   float64 `json:"speed"`
	}

	// Expectation states that a measure of the configured policy lies between Min
	// and Max, both included. A nil bound does not apply.
	Expectation struct {
		Name    string   `json:"name"`
		Measure string   `json:"measure"`
		Min     *float64 `json:"min,omitempty"`
		Max     *float64 `json:"max,omitempty"`
	}

	// Trace is a decoded trace.
	Trace struct {
		Header Header
		// Lines are in order of time, without the header and the expectations.
		Lines        []Line
		Expectations []Expectation
	}
)

// Error returns the operation, the line if known, and the cause.
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
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		p.lineNumber++
		if err := p.addLine(s.Bytes()); err != nil {
			return nil, &Error{Op: "read trace", Kind: KindFormat, Line: p.lineNumber, Err: err}
		}
	}
	if err := s.Err(); err != nil {
		return nil, &Error{Op: "read trace", Kind: KindRead, Line: p.lineNumber + 1, Err: err}
	}
	if p.lineNumber == 0 {
		return nil, &Error{Op: "read trace", Kind: KindFormat, Line: 1, Err: errors.New("the trace is empty")}
	}
	return &p.trace, nil
}

// parser holds the state of one Read.
type parser struct {
	trace      Trace
	lineNumber int
	lastTimeMs int64
}

// addLine decodes one line, validates it and adds it to the trace.
func (p *parser) addLine(data []byte) error {
	var l Line
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return err
	}
	if (p.lineNumber == 1) != (l.Kind == LineTrace) {
		return errors.New("the first line, and no other, is of kind trace")
	}
	if l.TimeMs < p.lastTimeMs {
		return errors.Errorf("time %d is before the time %d of an earlier line", l.TimeMs, p.lastTimeMs)
	}
	p.lastTimeMs = l.TimeMs
	if err := p.validateLine(&l); err != nil {
		return err
	}
	switch l.Kind {
	case LineTrace:
		p.trace.Header = *l.Trace
	case LineExpectation:
		p.trace.Expectations = append(p.trace.Expectations, *l.Expectation)
	default:
		p.trace.Lines = append(p.trace.Lines, l)
	}
	return nil
}

// validateLine returns an error if the line's kind is unknown or its content is
// missing or invalid.
func (p *parser) validateLine(l *Line) error {
	switch {
	case l.Kind == LineTrace && l.Trace != nil:
		if l.Trace.Format != Format || len(l.Trace.Daemons) == 0 {
			return errors.Errorf("need format %d and at least one daemon", Format)
		}
	case l.Kind == LineRequest && l.Request != nil:
		return p.validateRequest(l.Request)
	case l.Kind == LineState && l.State != nil:
		return validateState(l.State)
	case l.Kind == LineBad && l.BadVersion != nil:
		return validateVersionRef(l.BadVersion.Version)
	case l.Kind == LineLoad && l.Load != nil:
		if l.Load.Endpoint == "" || l.Load.LagMs < 0 || l.Load.QueuedTokens < 0 || l.Load.Throughput <= 0 {
			return errors.New("a load report needs an endpoint, a lag, a queue and a speed")
		}
	case l.Kind == LineExpectation && l.Expectation != nil:
		if l.Expectation.Name == "" || l.Expectation.Measure == "" || l.Expectation.Min == nil && l.Expectation.Max == nil {
			return errors.New("an outcome needs a name, a measure and a bound")
		}
	default:
		return errors.Errorf("kind %q is unknown or its content is missing", l.Kind)
	}
	return nil
}

// validateRequest returns an error if a required field of the request is missing,
// its daemon is not in the header, or a run is invalid.
func (p *parser) validateRequest(r *Request) error {
	if r.ID == "" || r.Team == "" || r.Model == "" || len(r.Runs) == 0 || r.PromptTokens < 0 || r.OutputTokens < 0 {
		return errors.New("a request needs an id, a team, a model, token counts of 0 or more and at least one run")
	}
	known := false
	for _, d := range p.trace.Header.Daemons {
		known = known || d == r.Daemon
	}
	if !known {
		return errors.Errorf("daemon %q is not in the first line", r.Daemon)
	}
	for _, run := range r.Runs {
		if err := validateVersionRef(run.Version); err != nil {
			return err
		}
		if run.Rating < 0 || run.Rating > 1 || run.Cost < 0 || run.FirstTokenMs < 0 || run.LastTokenMs < run.FirstTokenMs {
			return errors.Errorf("run of %s: rating, cost or times out of range", run.Version)
		}
	}
	return nil
}

// validateState returns an error if the state is unknown, the share is not between 0
// and 1 or the version is malformed.
func validateState(s *VersionState) error {
	switch s.State {
	case samphireturn.VersionLive, samphireturn.VersionCanary, samphireturn.VersionWithdrawn:
	default:
		return errors.Errorf("state %q is unknown", s.State)
	}
	if s.Share < 0 || s.Share > 1 {
		return errors.Errorf("share %g is not between 0 and 1", s.Share)
	}
	return validateVersionRef(s.Version)
}

// validateVersionRef returns an error unless s has the form model@version.
func validateVersionRef(s string) error {
	if _, ok := ParseVersionRef(s); !ok {
		return errors.Errorf("version %q is not of the form model@version", s)
	}
	return nil
}
