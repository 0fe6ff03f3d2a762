package dispatcher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	probeTimeout = time.Second
	// silenceDivisor limits the wait for the header of an answer, until the endpoint
	// is probed or given up, to 1/3 of the time left, but not below probeTimeout. It
	// applies to calls that may be retried: the rest of the time is for the retries.
	silenceDivisor = 3
	// beyondAnyEvent is greater than the number of any event of a stream.
	beyondAnyEvent = "1000000000"
)

// errSilenceTimeout is the cause of a context that was cancelled because the
// endpoint sent nothing for too long.
var errSilenceTimeout = errors.New("endpoint is silent")

// silenceReader resets a timer with each read that returns bytes.
type silenceReader struct {
	io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read reads from the underlying reader and resets the timer.
func (r *silenceReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.timer.Reset(r.timeout)
	}
	return n, err
}

// watchSilence cancels the attempt if no header of an answer arrives in time and
// the endpoint does not show that it works on the request. The returned function
// stops the watch.
func (d *Dispatcher) watchSilence(a *attempt, c Call) func() {
	wait := d.SilenceTimeout
	if deadline, ok := a.ctx.Deadline(); ok && !c.NoRetry {
		wait = min(wait, max(time.Until(deadline)/silenceDivisor, probeTimeout))
	}
	done := make(chan struct{})
	timer := time.AfterFunc(wait, func() { d.waitWhileWorking(a, c, wait, done) })
	return func() {
		timer.Stop()
		close(done)
	}
}

// waitWhileWorking waits while the endpoint works on the request and cancels the
// attempt once it does not. After a probe, an answer that is in transit gets
// probeTimeout more to arrive.
func (d *Dispatcher) waitWhileWorking(a *attempt, c Call, wait time.Duration, done <-chan struct{}) {
	for d.isWorking(a.ctx, c) {
		if !waitUnlessDone(done, wait) {
			return
		}
	}
	if probed := c.ToEngine || c.NoRetry; probed && !waitUnlessDone(done, probeTimeout) {
		return
	}
	a.cancel(errSilenceTimeout)
}

// waitUnlessDone waits for the duration. It returns false at once if done is
// closed before that.
func waitUnlessDone(done <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}

// serviceLoad is the part of a plain service's report about its load.
type serviceLoad struct {
	Incarnation uint64 `json:"start"`
	// InFlight is the number of calls in flight; nil if the service does not report it.
	InFlight *int64 `json:"used"`
}

// isWorking asks the endpoint, on separate connections, whether it is alive and
// still works on the request. If the answer is complete at the engine but has not
// arrived, the call's connection is dead, and isWorking returns false. A plain
// service cannot say whether it works on a given request: a call that may be
// retried is given up, and any other is waited for unless the service does not
// answer, has restarted or has no call in flight.
func (d *Dispatcher) isWorking(ctx context.Context, c Call) bool {
	if !c.ToEngine && !c.NoRetry {
		return false
	}
	url := "http://" + c.Endpoint.Addr + "/report"
	if c.ToEngine {
		return d.probe(ctx, url, false) && d.probe(ctx, streamURL(c.Endpoint, c.ID)+"?from="+beyondAnyEvent, true)
	}
	l, ok := d.fetchLoad(ctx, url)
	if !ok || l.Incarnation != 0 && c.Endpoint.Incarnation != 0 && l.Incarnation != c.Endpoint.Incarnation {
		return false
	}
	return l.InFlight == nil || *l.InFlight > 0
}

// fetchLoad reads a plain service's report on a separate connection.
func (d *Dispatcher) fetchLoad(ctx context.Context, url string) (l serviceLoad, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, false
	}
	res, err := d.unpooled.RoundTrip(req)
	if err != nil {
		return l, false
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, maxHeaderBytes)).Decode(&l)
	return l, err == nil && res.StatusCode == http.StatusOK
}

// probe sends a GET on a separate connection. Without expectHeld it reports
// whether the endpoint answered with status 200. With expectHeld it reports
// whether the engine held the answer back, as it does while it produces the
// stream.
func (d *Dispatcher) probe(ctx context.Context, url string, expectHeld bool) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := d.unpooled.RoundTrip(req)
	if err != nil {
		return expectHeld
	}
	defer res.Body.Close()
	if expectHeld && res.StatusCode == http.StatusOK {
		_, err := io.ReadFull(res.Body, make([]byte, 1))
		return err != nil && ctx.Err() != nil
	}
	return !expectHeld && res.StatusCode == http.StatusOK
}

// RoundTrip sends a request to another daemon. With noRetry the request gets its
// own connection. Wrote reports whether any byte of it may have been written.
func (d *Dispatcher) RoundTrip(req *http.Request, noRetry bool) (res *http.Response, wrote bool, err error) {
	w := new(writeTracker)
	t := d.pooled
	if noRetry {
		t = d.unpooled
	}
	res, err = t.RoundTrip(req.WithContext(w.withTrace(req.Context())))
	return res, w.wrote(), err
}
