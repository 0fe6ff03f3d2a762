// Package dispatcher sends requests to endpoints and reads their answers.
//
// It knows for each failure whether the endpoint can have started the request:
// a request is "not run" only if no byte was written to the connection, or if
// the endpoint said so. Answers carry the id of their request; one with
// another id is thrown away.
package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

const (
	// HeaderID names the header that carries the request's id both ways.
	HeaderID = "X-Request-Id"
	// HeaderPriority names the header that carries the request's priority.
	HeaderPriority = "X-Priority"
	// HeaderStarted is "no" on an answer to a request that did not start.
	HeaderStarted = "X-Started"

	defaultLimit   = 16 << 20 // bytes of an answer
	defaultSilence = 10 * time.Second
	cancelTimeout  = 2 * time.Second
)

var (
	failures = expvar.NewMap("dispatcher_failure")
	resumes  = expvar.NewMap("dispatcher_resume")
)

// Call is one request to one endpoint.
type Call struct {
	Endpoint *samphireturn.Endpoint
	ID       string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Priority int
	// Model is true for calls of a model engine, whose answers of status 500 and
	// above are failures. Those of a plain service are passed on.
	Model bool
	// Once is true if the call must not be repeated; it gets a connection of
	// its own, since one that was idle may have gone silent.
	Once bool
}

// Answer is a whole answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Dispatcher sends calls. Set the exported fields before the first call.
type Dispatcher struct {
	// Dial opens connections; nil means a plain dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Limit bounds an answer in bytes; zero means 16 MiB.
	Limit int64
	// Silence is the longest wait for the next bytes of a stream; zero means
	// 10 s.
	Silence time.Duration

	kept, fresh *http.Transport
}

// New returns a dispatcher that dials with dial, or over TCP if dial is nil.
func New(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Dispatcher {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Dispatcher{
		Dial:    dial,
		Limit:   defaultLimit,
		Silence: defaultSilence,
		kept:    transport(dial, false),
		fresh:   transport(dial, true),
	}
}

// Close closes idle connections.
func (d *Dispatcher) Close() error {
	d.kept.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
	return nil
}

// Send sends a call and returns the whole answer. Errors are of type *Error.
func (d *Dispatcher) Send(ctx context.Context, c Call) (*Answer, error) {
	res, err := d.roundTrip(ctx, c)
	if err != nil {
		return nil, err
	}
	answer, err := d.read(ctx, c, res)
	if err != nil {
		return nil, err
	}
	if c.Model && answer.Status >= http.StatusInternalServerError {
		return nil, d.status(ctx, c, answer)
	}
	return answer, nil
}

// read reads an answer whole.
func (d *Dispatcher) read(ctx context.Context, c Call, res *http.Response) (*Answer, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, d.Limit+1))
	if err != nil {
		return nil, d.fail(ctx, c, KindBroken, samphireturn.RunUnknown, err)
	}
	if int64(len(body)) > d.Limit {
		return nil, d.fail(ctx, c, KindLarge, samphireturn.RunYes, nil)
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// status returns the error for an endpoint's own error answer.
func (d *Dispatcher) status(ctx context.Context, c Call, a *Answer) *Error {
	err := d.fail(ctx, c, KindStatus, samphireturn.RunUnknown, errors.Errorf("status %d", a.Status))
	err.Answer = a
	return err
}

// Cancel tells the endpoint to stop a request. It does not wait for it.
func (d *Dispatcher) Cancel(e *samphireturn.Endpoint, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(e, id), nil)
		if err != nil {
			return
		}
		res, err := d.kept.RoundTrip(req)
		if err == nil {
			_ = res.Body.Close()
		}
	}()
}

// roundTrip sends a call and returns an answer whose head belongs to it.
func (d *Dispatcher) roundTrip(ctx context.Context, c Call) (*http.Response, error) {
	w := new(watch)
	url := "http://" + c.Endpoint.Addr + c.Path
	req, err := http.NewRequestWithContext(w.trace(ctx), c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, d.fail(ctx, c, KindConnect, samphireturn.RunNo, err)
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderID, c.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Priority))
	t := d.kept
	if c.Once {
		t = d.fresh
		req.GetBody = nil
	}
	res, err := t.RoundTrip(req)
	if err != nil && !w.wrote() {
		return nil, d.fail(ctx, c, KindConnect, samphireturn.RunNo, err)
	}
	if err != nil {
		return nil, d.fail(ctx, c, KindBroken, samphireturn.RunUnknown, err)
	}
	if got := res.Header.Get(HeaderID); got != c.ID {
		_ = res.Body.Close()
		return nil, d.fail(ctx, c, KindCrossed, samphireturn.RunUnknown, errors.Errorf("answer to request %q", got))
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderStarted) == samphireturn.RunNo {
		defer res.Body.Close()
		return nil, d.refused(c, res)
	}
	return res, nil
}

// refused turns an endpoint's own refusal into an error.
func (d *Dispatcher) refused(c Call, res *http.Response) *Error {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(res.Body, maxHeaderBytes)).Decode(&body)
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	failures.Add(KindRefused.String(), 1)
	return &Error{
		Op:         "send to " + c.Endpoint.ID,
		Kind:       KindRefused,
		Run:        samphireturn.RunNo,
		Code:       body.Error.Code,
		RetryAfter: time.Duration(seconds) * time.Second,
		Err:        errors.New(body.Error.Message),
	}
}

// fail counts and returns an error. A context that has ended is the cause of
// whatever failed; what is known of the run stays.
func (d *Dispatcher) fail(ctx context.Context, c Call, kind Kind, run string, err error) *Error {
	if ctx.Err() != nil {
		kind = KindCancelled
	}
	failures.Add(kind.String(), 1)
	return &Error{Op: "send to " + c.Endpoint.ID, Kind: kind, Run: run, Err: err}
}

// streamURL returns the address of a running stream at its engine.
func streamURL(e *samphireturn.Endpoint, id string) string {
	return "http://" + e.Addr + "/v1/streams/" + id
}
