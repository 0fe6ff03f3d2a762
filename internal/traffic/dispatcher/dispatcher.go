// Package dispatcher sends requests to endpoints and reads their answers.
//
// For each failure it reports whether the endpoint may have executed the request:
// a request is certainly not executed only if no byte was written to the
// connection or if the endpoint said so. An answer carries the id of its request;
// an answer with another id is discarded.
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
	"samphireturn/internal/core/rationer"
)

const (
	// HeaderID is the header with the request's id, in requests and in answers.
	HeaderID = "X-Request-Id"
	// HeaderPriority is the header with the request's priority.
	HeaderPriority = "X-Priority"
	// HeaderStarted is "no" on the answer to a request that was not started.
	HeaderStarted = "X-Started"

	defaultMaxAnswerBytes = 16 << 20
	defaultSilenceTimeout = 10 * time.Second
	cancelTimeout         = 2 * time.Second
)

var (
	failures = expvar.NewMap("dispatcher_failure")
	resumes  = expvar.NewMap("dispatcher_resume")
)

// Call is a request to an endpoint.
type Call struct {
	Endpoint *samphireturn.Endpoint
	ID       string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Priority int
	// ToEngine is true if the endpoint is a model engine. An engine's answer of
	// status 500 and above is a failure; a plain service's is passed on.
	ToEngine bool
	// GrantValid reports whether the endpoint's grant is still in force. It is called
	// just before the first byte is written; may be nil.
	GrantValid func() bool
	// NoRetry is true if the call must not be sent twice. Such a call gets its own
	// connection, since a pooled one may be dead without notice.
	NoRetry bool
}

// Answer is an endpoint's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Duration is the time from the send to the end of the answer.
	Duration time.Duration
}

// Dispatcher sends calls. Set the exported fields before the first call.
type Dispatcher struct {
	// Dial opens connections. New sets it; changing it later has no effect.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxAnswerBytes bounds an answer; New sets it to 16 MiB.
	MaxAnswerBytes int64
	// SilenceTimeout is the longest wait for the next bytes of an answer or a
	// stream; New sets it to 10 s. Before the answer begins, an endpoint that a probe
	// shows to be working on the request is waited for until the deadline.
	SilenceTimeout time.Duration
	// Answers bounds the memory of answers while they are read; nil means no bound.
	Answers *rationer.Rationer

	pooled, unpooled *http.Transport
	cancels          sync.WaitGroup
}

// New returns a dispatcher that connects with dial, or over TCP if dial is nil.
func New(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Dispatcher {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Dispatcher{
		Dial:           dial,
		MaxAnswerBytes: defaultMaxAnswerBytes,
		SilenceTimeout: defaultSilenceTimeout,
		pooled:         newTransport(dial, false),
		unpooled:       newTransport(dial, true),
	}
}

// Close waits for pending cancels and closes idle connections.
func (d *Dispatcher) Close() error {
	d.cancels.Wait()
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
	return nil
}

// Send sends a call and returns the complete answer. Errors are of type *Error.
// A call that failed after the engine may have started it is cancelled there.
func (d *Dispatcher) Send(ctx context.Context, c Call) (*Answer, error) {
	start := time.Now()
	answer, err := d.send(ctx, c)
	if err == nil {
		answer.Duration = time.Since(start)
	}
	if err == nil && c.ToEngine && answer.Status >= http.StatusInternalServerError {
		return nil, d.statusError(ctx, c, answer)
	}
	if err != nil && c.ToEngine && AsError(err).Executed != samphireturn.ExecutedNo {
		d.Cancel(c.Endpoint, c.ID)
	}
	return answer, err
}

// send sends a call and reads its answer.
func (d *Dispatcher) send(ctx context.Context, c Call) (*Answer, error) {
	a, err := d.roundTrip(ctx, c)
	if err != nil {
		return nil, err
	}
	defer a.cancel(nil)
	answer, err := d.readAnswer(ctx, c, a)
	if err != nil {
		return nil, err
	}
	if c.ToEngine && answer.Status == http.StatusOK && !hasID(answer.Body, c.ID) {
		a.tracker.close()
		return nil, d.newError(ctx, c, KindMismatched, samphireturn.ExecutedUnknown, errors.New("body of another request"))
	}
	return answer, nil
}

// hasID reports whether the JSON body of an engine's answer carries the id. The
// usual body, whose first field is the id, does not have to be decoded.
func hasID(body []byte, id string) bool {
	rest, ok := bytes.CutPrefix(body, []byte(`{"id":"`+id+`",`))
	if ok && !bytes.Contains(rest, []byte(`"id":`)) {
		return json.Valid(body)
	}
	var head struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(body, &head) == nil && head.ID == id
}

// readAnswer reads an answer to its end. It fails if the endpoint sends nothing
// for SilenceTimeout, or if the answer is over MaxAnswerBytes or has no room.
func (d *Dispatcher) readAnswer(ctx context.Context, c Call, a *attempt) (*Answer, error) {
	defer a.res.Body.Close()
	timer := time.AfterFunc(d.SilenceTimeout, func() { a.cancel(errSilenceTimeout) })
	defer timer.Stop()
	src := &silenceReader{Reader: a.res.Body, timer: timer, timeout: d.SilenceTimeout}
	share := rationer.Share{Rationer: d.Answers}
	defer share.Release()
	body, ended, err := share.ReadAll(src, int(d.MaxAnswerBytes)+1)
	if err != nil {
		return nil, d.newError(ctx, c, a.failureKind(), samphireturn.ExecutedUnknown, err)
	}
	if !ended {
		return nil, d.newError(ctx, c, KindTooLarge, samphireturn.ExecutedYes, nil)
	}
	return &Answer{Status: a.res.StatusCode, Header: a.res.Header, Body: body}, nil
}

// statusError returns the error for an endpoint's own error answer.
func (d *Dispatcher) statusError(ctx context.Context, c Call, a *Answer) *Error {
	err := d.newError(ctx, c, KindStatus, samphireturn.ExecutedUnknown, errors.Errorf("status %d", a.Status))
	err.Answer = a
	return err
}

// Cancel asks the endpoint to stop a request. It does not wait for the answer.
func (d *Dispatcher) Cancel(e *samphireturn.Endpoint, id string) {
	d.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(e, id), nil)
		if err != nil {
			return
		}
		res, err := d.unpooled.RoundTrip(req)
		if err == nil {
			_ = res.Body.Close()
		}
	})
}

// attempt is a sent call and the header of its answer.
type attempt struct {
	tracker *writeTracker
	res     *http.Response
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// failureKind returns the kind of a failure after bytes were written.
func (a *attempt) failureKind() Kind {
	if context.Cause(a.ctx) == errSilenceTimeout {
		return KindTimeout
	}
	return KindConnLost
}

// roundTrip sends a call and returns the attempt once the header of its answer
// has arrived. Unless roundTrip fails, the attempt's cancel must be called.
func (d *Dispatcher) roundTrip(ctx context.Context, c Call) (*attempt, error) {
	a := &attempt{tracker: &writeTracker{valid: c.GrantValid}}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	stop := d.watchSilence(a, c)
	err := d.exchange(ctx, c, a)
	stop()
	if err != nil {
		a.cancel(nil)
		return nil, err
	}
	return a, nil
}

// exchange sends a call, reads the header of the answer and checks its request id.
func (d *Dispatcher) exchange(ctx context.Context, c Call, a *attempt) error {
	w := a.tracker
	url := "http://" + c.Endpoint.Addr + c.Path
	req, err := http.NewRequestWithContext(w.withTrace(a.ctx), c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return d.newError(ctx, c, KindConnect, samphireturn.ExecutedNo, err)
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderID, c.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(c.Priority))
	t := d.pooled
	if c.NoRetry {
		t = d.unpooled
		req.GetBody = nil
	}
	a.res, err = t.RoundTrip(req)
	if err != nil && !w.wrote() {
		kind := KindConnect
		if errors.Is(err, errGrantExpired) {
			kind = KindGrantExpired
		}
		return d.newError(ctx, c, kind, samphireturn.ExecutedNo, err)
	}
	if err != nil {
		return d.newError(ctx, c, a.failureKind(), samphireturn.ExecutedUnknown, err)
	}
	if got := a.res.Header.Get(HeaderID); got != c.ID {
		_ = a.res.Body.Close()
		w.close()
		return d.newError(ctx, c, KindMismatched, samphireturn.ExecutedUnknown, errors.Errorf("answer to request %q", got))
	}
	if a.res.StatusCode == http.StatusServiceUnavailable && a.res.Header.Get(HeaderStarted) == samphireturn.ExecutedNo {
		defer a.res.Body.Close()
		return d.refusalError(c, a.res)
	}
	return nil
}

// refusalError converts an endpoint's refusal to an error.
func (d *Dispatcher) refusalError(c Call, res *http.Response) *Error {
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
		Executed:   samphireturn.ExecutedNo,
		Code:       body.Error.Code,
		RetryAfter: time.Duration(seconds) * time.Second,
		Err:        errors.New(body.Error.Message),
	}
}

// newError counts a failure and returns its error. If ctx has ended, the kind is
// KindCancelled whatever failed; executed stays as given.
func (d *Dispatcher) newError(ctx context.Context, c Call, kind Kind, executed string, err error) *Error {
	if ctx.Err() != nil {
		kind = KindCancelled
	}
	failures.Add(kind.String(), 1)
	return &Error{Op: "send to " + c.Endpoint.ID, Kind: kind, Executed: executed, Err: err}
}

// streamURL returns the URL of a running stream at its engine.
func streamURL(e *samphireturn.Endpoint, id string) string {
	return "http://" + e.Addr + "/v1/streams/" + id
}
