package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/traffic/streamer"
)

const maxResumes = 3

// doneData is the data of the event that closes a complete stream.
var doneData = []byte("[DONE]")

// Stream is an answer of status 200 that is read event by event. It must be used
// by one goroutine only.
type Stream struct {
	Header http.Header
	// WaitTime is the time spent so far waiting for the endpoint.
	WaitTime time.Duration

	d           *Dispatcher
	ctx         context.Context
	call        Call
	body        io.ReadCloser
	reader      *streamer.Reader
	cancel      context.CancelFunc
	lastEvent   int
	resumeCount int
	complete    bool
}

// Open sends a call whose answer is a stream of events.
func (d *Dispatcher) Open(ctx context.Context, c Call) (*Stream, error) {
	start := time.Now()
	a, err := d.roundTrip(ctx, c)
	if err != nil {
		if c.ToEngine && AsError(err).Executed != samphireturn.ExecutedNo {
			d.Cancel(c.Endpoint, c.ID)
		}
		return nil, err
	}
	if a.res.StatusCode != http.StatusOK {
		defer a.cancel(nil)
		answer, err := d.readAnswer(ctx, c, a)
		if err != nil {
			return nil, err
		}
		return nil, d.statusError(ctx, c, answer)
	}
	s := &Stream{Header: a.res.Header, WaitTime: time.Since(start), d: d, ctx: ctx, call: c, cancel: func() { a.cancel(nil) }}
	s.attach(a.res.Body)
	return s, nil
}

// Next returns the data of the next event, or io.EOF after the event that closes
// a complete stream. A broken stream is resumed at the engine; if that fails, Next
// returns an *Error and the stream is incomplete.
func (s *Stream) Next() ([]byte, error) {
	start := time.Now()
	defer func() { s.WaitTime += time.Since(start) }()
	for {
		ev, err := s.read()
		if err == nil && bytes.Equal(ev.Data, doneData) {
			s.complete = true
			return nil, io.EOF
		}
		if err == nil {
			err = s.checkEvent(ev)
		}
		if err == nil {
			return ev.Data, nil
		}
		if s.ctx.Err() != nil {
			return nil, s.d.newError(s.ctx, s.call, KindCancelled, samphireturn.ExecutedYes, s.ctx.Err())
		}
		if err := s.resume(err); err != nil {
			return nil, err
		}
	}
}

// Ready reports whether the next event has been received already.
func (s *Stream) Ready() bool { return s.reader.Ready() }

// Close ends the stream and cancels it at the engine unless it is complete.
func (s *Stream) Close() error {
	s.cancel()
	if !s.complete {
		s.d.Cancel(s.call.Endpoint, s.call.ID)
	}
	return s.body.Close()
}

// read returns the next event. It fails if none arrives within SilenceTimeout.
func (s *Stream) read() (streamer.Event, error) {
	timer := time.AfterFunc(s.d.SilenceTimeout, s.cancel)
	defer timer.Stop()
	ev, err := s.reader.Next()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return ev, err
}

// checkEvent checks that an event belongs to this request and is the next in order.
func (s *Stream) checkEvent(ev streamer.Event) error {
	if !hasID(ev.Data, s.call.ID) {
		failures.Add(KindMismatched.String(), 1)
		return errors.New("event of another request")
	}
	if ev.ID == "" {
		s.lastEvent++
		return nil
	}
	number, err := strconv.Atoi(ev.ID)
	if err != nil || number != s.lastEvent+1 {
		return errors.Errorf("event %q after event %d", ev.ID, s.lastEvent)
	}
	s.lastEvent = number
	return nil
}

// resume reopens the stream after the last event received. Cause is the error that
// broke it.
func (s *Stream) resume(cause error) error {
	s.cancel()
	_ = s.body.Close()
	if s.resumeCount == maxResumes {
		resumes.Add("given_up", 1)
		return s.d.newError(s.ctx, s.call, KindConnLost, samphireturn.ExecutedYes, cause)
	}
	s.resumeCount++
	inner, cancel := context.WithCancel(s.ctx)
	s.cancel = cancel
	res, err := s.reopen(inner)
	if err != nil {
		resumes.Add("failed", 1)
		return s.d.newError(s.ctx, s.call, KindConnLost, samphireturn.ExecutedYes, errors.Wrap(cause, err.Error()))
	}
	resumes.Add("resumed", 1)
	s.attach(res.Body)
	return nil
}

// reopen requests the rest of the stream on a separate connection.
func (s *Stream) reopen(ctx context.Context) (*http.Response, error) {
	url := streamURL(s.call.Endpoint, s.call.ID) + "?from=" + strconv.Itoa(s.lastEvent)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	timer := time.AfterFunc(s.d.SilenceTimeout, s.cancel)
	defer timer.Stop()
	res, err := s.d.unpooled.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Errorf("resume: status %d", res.StatusCode)
	}
	return res, nil
}

// attach makes body the source of events.
func (s *Stream) attach(body io.ReadCloser) {
	s.body = body
	s.reader = streamer.NewReader(body)
}
