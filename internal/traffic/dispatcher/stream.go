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

// done is the data of the event that closes a whole stream.
var done = []byte("[DONE]")

// Stream is a running answer of status 200. It is used by one goroutine.
type Stream struct {
	Header http.Header
	// Took is the time spent waiting for the endpoint until now.
	Took time.Duration

	d       *Dispatcher
	ctx     context.Context
	call    Call
	body    io.ReadCloser
	reader  *streamer.Reader
	cancel  context.CancelFunc
	last    int
	resumed int
	whole   bool
}

// Open sends a call whose answer is a stream of events.
func (d *Dispatcher) Open(ctx context.Context, c Call) (*Stream, error) {
	start := time.Now()
	a, err := d.roundTrip(ctx, c)
	if err != nil {
		if c.Model && AsError(err).Run != samphireturn.ExecutedNo {
			d.Cancel(c.Endpoint, c.ID)
		}
		return nil, err
	}
	if a.res.StatusCode != http.StatusOK {
		defer a.cancel(nil)
		answer, err := d.read(ctx, c, a)
		if err != nil {
			return nil, err
		}
		return nil, d.status(ctx, c, answer)
	}
	s := &Stream{Header: a.res.Header, Took: time.Since(start), d: d, ctx: ctx, call: c, cancel: func() { a.cancel(nil) }}
	s.attach(a.res.Body)
	return s, nil
}

// Next returns the data of the next event, or io.EOF after the event that
// closes a whole stream. A stream that breaks is resumed at the engine; if that
// fails an *Error is returned and the stream is not whole.
func (s *Stream) Next() ([]byte, error) {
	start := time.Now()
	defer func() { s.Took += time.Since(start) }()
	for {
		ev, err := s.read()
		if err == nil && bytes.Equal(ev.Data, done) {
			s.whole = true
			return nil, io.EOF
		}
		if err == nil {
			err = s.check(ev)
		}
		if err == nil {
			return ev.Data, nil
		}
		if s.ctx.Err() != nil {
			return nil, s.d.fail(s.ctx, s.call, KindCancelled, samphireturn.ExecutedYes, s.ctx.Err())
		}
		if err := s.resume(err); err != nil {
			return nil, err
		}
	}
}

// Ready reports whether the next event has been read already.
func (s *Stream) Ready() bool { return s.reader.Ready() }

// Close ends the stream and cancels it at the engine unless it is whole.
func (s *Stream) Close() error {
	s.cancel()
	if !s.whole {
		s.d.Cancel(s.call.Endpoint, s.call.ID)
	}
	return s.body.Close()
}

// read returns the next event, or an error once the source has been silent for
// too long.
func (s *Stream) read() (streamer.Event, error) {
	timer := time.AfterFunc(s.d.Silence, s.cancel)
	defer timer.Stop()
	ev, err := s.reader.Next()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return ev, err
}

// check tests that an event belongs to this request and comes in order.
func (s *Stream) check(ev streamer.Event) error {
	if !belongs(ev.Data, s.call.ID) {
		failures.Add(KindMismatched.String(), 1)
		return errors.New("event of another request")
	}
	if ev.ID == "" {
		s.last++
		return nil
	}
	number, err := strconv.Atoi(ev.ID)
	if err != nil || number != s.last+1 {
		return errors.Errorf("event %q after event %d", ev.ID, s.last)
	}
	s.last = number
	return nil
}

// resume opens the stream again behind the last event read. Cause is what broke
// it.
func (s *Stream) resume(cause error) error {
	s.cancel()
	_ = s.body.Close()
	if s.resumed == maxResumes {
		resumes.Add("given_up", 1)
		return s.d.fail(s.ctx, s.call, KindConnLost, samphireturn.ExecutedYes, cause)
	}
	s.resumed++
	inner, cancel := context.WithCancel(s.ctx)
	s.cancel = cancel
	res, err := s.reopen(inner)
	if err != nil {
		resumes.Add("failed", 1)
		return s.d.fail(s.ctx, s.call, KindConnLost, samphireturn.ExecutedYes, errors.Wrap(cause, err.Error()))
	}
	resumes.Add("resumed", 1)
	s.attach(res.Body)
	return nil
}

// reopen asks the engine for the rest of the stream on a connection of its own.
func (s *Stream) reopen(ctx context.Context) (*http.Response, error) {
	url := streamURL(s.call.Endpoint, s.call.ID) + "?from=" + strconv.Itoa(s.last)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	timer := time.AfterFunc(s.d.Silence, s.cancel)
	defer timer.Stop()
	res, err := s.d.fresh.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Errorf("resume: status %d", res.StatusCode)
	}
	return res, nil
}

// attach reads events from body from now on.
func (s *Stream) attach(body io.ReadCloser) {
	s.body = body
	s.reader = streamer.NewReader(body)
}
