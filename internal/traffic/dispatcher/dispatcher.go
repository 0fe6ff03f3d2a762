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
	"sync"
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
	// Valid reports whether the endpoint's grant is still in force. It is asked
	// just before the first byte is written; may be nil.
	Valid func() bool
	// Once is true if the call must not be repeated; it gets a connection of
	// its own, since one that was idle may have gone silent.
	Once bool
}

// Answer is a whole answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Took is the time from the send to the end of the answer.
	Took time.Duration
}

// Dispatcher sends calls. Set the exported fields before the first call.
type Dispatcher struct {
	// Dial opens connections; nil means a plain dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Limit bounds an answer in bytes; zero means 16 MiB.
	Limit int64
	// Silence is the longest wait for the next bytes of an answer or a stream;
	// zero means 10 s. An endpoint that shows in another way that it still works
	// on the request is waited for until the deadline.
	Silence time.Duration

	kept, fresh *http.Transport
	wait        sync.WaitGroup
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

// Close waits for cancels under way and closes idle connections.
func (d *Dispatcher) Close() error {
	d.wait.Wait()
	d.kept.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
	return nil
}

// Send sends a call and returns the whole answer. Errors are of type *Error. A
// run that is given up on is cancelled at its engine.
func (d *Dispatcher) Send(ctx context.Context, c Call) (*Answer, error) {
	start := time.Now()
	answer, err := d.send(ctx, c)
	if err == nil {
		answer.Took = time.Since(start)
	}
	if err == nil && c.Model && answer.Status >= http.StatusInternalServerError {
		return nil, d.status(ctx, c, answer)
	}
	if err != nil && c.Model && AsError(err).Run != samphireturn.ExecutedNo {
		d.Cancel(c.Endpoint, c.ID)
	}
	return answer, err
}

// send sends a call and reads the answer to it.
func (d *Dispatcher) send(ctx context.Context, c Call) (*Answer, error) {
	a, err := d.roundTrip(ctx, c)
	if err != nil {
		return nil, err
	}
	defer a.cancel(nil)
	answer, err := d.read(ctx, c, a)
	if err != nil {
		return nil, err
	}
	if c.Model && answer.Status == http.StatusOK && !belongs(answer.Body, c.ID) {
		a.watch.close()
		return nil, d.fail(ctx, c, KindMismatched, samphireturn.ExecutedUnknown, errors.New("body of another request"))
	}
	return answer, nil
}

// belongs reports whether the JSON body of an engine's answer names the id. The
// usual body, whose first field is the id, need not be decoded for that.
func belongs(body []byte, id string) bool {
	rest, ok := bytes.CutPrefix(body, []byte(`{"id":"`+id+`",`))
	if ok && !bytes.Contains(rest, []byte(`"id":`)) {
		return json.Valid(body)
	}
	var head struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(body, &head) == nil && head.ID == id
}

// read reads an answer whole, unless the endpoint falls silent within it.
func (d *Dispatcher) read(ctx context.Context, c Call, a *attempt) (*Answer, error) {
	defer a.res.Body.Close()
	timer := time.AfterFunc(d.Silence, func() { a.cancel(errSilent) })
	defer timer.Stop()
	src := &progress{Reader: io.LimitReader(a.res.Body, d.Limit+1), timer: timer, silence: d.Silence}
	body, err := io.ReadAll(src)
	if err != nil {
		return nil, d.fail(ctx, c, a.kind(), samphireturn.ExecutedUnknown, err)
	}
	if int64(len(body)) > d.Limit {
		return nil, d.fail(ctx, c, KindLarge, samphireturn.ExecutedYes, nil)
	}
	return &Answer{Status: a.res.StatusCode, Header: a.res.Header, Body: body}, nil
}

// status returns the error for an endpoint's own error answer.
func (d *Dispatcher) status(ctx context.Context, c Call, a *Answer) *Error {
	err := d.fail(ctx, c, KindStatus, samphireturn.ExecutedUnknown, errors.Errorf("status %d", a.Status))
	err.Answer = a
	return err
}

// Cancel tells the endpoint to stop a request. It does not wait for it.
func (d *Dispatcher) Cancel(e *samphireturn.Endpoint, id string) {
	d.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(e, id), nil)
		if err != nil {
			return
		}
		res, err := d.fresh.RoundTrip(req)
		if err == nil {
			_ = res.Body.Close()
		}
	})
}

// attempt is one send with the head of its answer.
type attempt struct {
	watch  *watch
	res    *http.Response
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// kind returns the kind of a failure after bytes were written.
func (a *attempt) kind() Kind {
	if context.Cause(a.ctx) == errSilent {
		return KindTimeout
	}
	return KindConnLost
}

// roundTrip sends a call and returns an answer whose head belongs to it. After
// an error the attempt is over; otherwise its cancel must be called.
func (d *Dispatcher) roundTrip(ctx context.Context, c Call) (*attempt, error) {
	a := &attempt{watch: &watch{valid: c.Valid}}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	stop := d.guard(a, c)
	err := d.exchange(ctx, c, a)
	stop()
	if err != nil {
		a.cancel(nil)
		return nil, err
	}
	return a, nil
}

// exchange sends a call and reads the head of the answer.
func (d *Dispatcher) exchange(ctx context.Context, c Call, a *attempt) error {
	w := a.watch
	url := "http://" + c.Endpoint.Addr + c.Path
	req, err := http.NewRequestWithContext(w.trace(a.ctx), c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return d.fail(ctx, c, KindConnect, samphireturn.ExecutedNo, err)
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
	a.res, err = t.RoundTrip(req)
	if err != nil && !w.wrote() {
		kind := KindConnect
		if errors.Is(err, errLapsed) {
			kind = KindLapsed
		}
		return d.fail(ctx, c, kind, samphireturn.ExecutedNo, err)
	}
	if err != nil {
		return d.fail(ctx, c, a.kind(), samphireturn.ExecutedUnknown, err)
	}
	if got := a.res.Header.Get(HeaderID); got != c.ID {
		_ = a.res.Body.Close()
		w.close()
		return d.fail(ctx, c, KindMismatched, samphireturn.ExecutedUnknown, errors.Errorf("answer to request %q", got))
	}
	if a.res.StatusCode == http.StatusServiceUnavailable && a.res.Header.Get(HeaderStarted) == samphireturn.ExecutedNo {
		defer a.res.Body.Close()
		return d.refused(c, a.res)
	}
	return nil
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
		Run:        samphireturn.ExecutedNo,
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
