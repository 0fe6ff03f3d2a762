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
	pingTimeout = time.Second
	// patience is the part of the time left that one silent send of a call that
	// may be repeated can take.
	patience = 3
	// beyond is a number above that of any event of a stream.
	beyond = "1000000000"
)

// errSilent is the cause of a context that ended since nothing came.
var errSilent = errors.New("endpoint is silent")

// progress postpones a timer with each read that brings bytes.
type progress struct {
	io.Reader
	timer   *time.Timer
	silence time.Duration
}

// Read reads and postpones the timer.
func (p *progress) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.timer.Reset(p.silence)
	}
	return n, err
}

// guard ends the attempt once its endpoint stays silent and does not show that
// it works on the request. An answer that is on its way gets one more ping time.
// The returned function stops the watch.
func (d *Dispatcher) guard(a *attempt, c Call) func() {
	wait := d.Silence
	if deadline, ok := a.ctx.Deadline(); ok && !c.Once {
		wait = min(wait, max(time.Until(deadline)/patience, pingTimeout))
	}
	done := make(chan struct{})
	timer := time.AfterFunc(wait, func() { d.attend(a, c, wait, done) })
	return func() {
		timer.Stop()
		close(done)
	}
}

// attend waits while the endpoint works on the request, and ends the attempt
// once it does not.
func (d *Dispatcher) attend(a *attempt, c Call, wait time.Duration, done <-chan struct{}) {
	for d.working(a.ctx, c) {
		if !pause(done, wait) {
			return
		}
	}
	if asked := c.Model || c.Once; asked && !pause(done, pingTimeout) {
		return
	}
	a.cancel(errSilent)
}

// pause waits and reports whether done stayed open.
func pause(done <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}

// load is the part of a plain service's report that tells of its calls.
type load struct {
	Start uint64 `json:"start"`
	// Used is the number of calls under way; nil if the service does not say.
	Used *int64 `json:"used"`
}

// working asks the endpoint, on connections of their own, whether it lives and
// still works on the request. An answer that is ready there but has not come
// shows that the call's connection is silent. A plain service can't say whether
// it works on a request: a call that may be repeated is given up on, and one that
// may not is waited for unless the service has started anew or has no call at all
// under way.
func (d *Dispatcher) working(ctx context.Context, c Call) bool {
	if !c.Model && !c.Once {
		return false
	}
	url := "http://" + c.Endpoint.Addr + "/report"
	if c.Model {
		return d.ping(ctx, url, false) && d.ping(ctx, streamURL(c.Endpoint, c.ID)+"?from="+beyond, true)
	}
	l, ok := d.load(ctx, url)
	if !ok || l.Start != 0 && c.Endpoint.Incarnation != 0 && l.Start != c.Endpoint.Incarnation {
		return false
	}
	return l.Used == nil || *l.Used > 0
}

// load reads a plain service's report on a connection of its own.
func (d *Dispatcher) load(ctx context.Context, url string) (l load, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, false
	}
	res, err := d.fresh.RoundTrip(req)
	if err != nil {
		return l, false
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, maxHeaderBytes)).Decode(&l)
	return l, err == nil && res.StatusCode == http.StatusOK
}

// ping asks for url on a connection of its own. Without quiet only an answer of
// status 200 is good. With quiet no answer is the good one: the engine holds it
// back while the stream is being made.
func (d *Dispatcher) ping(ctx context.Context, url string, quiet bool) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := d.fresh.RoundTrip(req)
	if err != nil {
		return quiet
	}
	defer res.Body.Close()
	if quiet && res.StatusCode == http.StatusOK {
		_, err := io.ReadFull(res.Body, make([]byte, 1))
		return err != nil && ctx.Err() != nil
	}
	return !quiet && res.StatusCode == http.StatusOK
}

// RoundTrip sends a request to another daemon. Once demands a connection of its
// own. Wrote reports whether any byte of the request may have been written.
func (d *Dispatcher) RoundTrip(req *http.Request, once bool) (res *http.Response, wrote bool, err error) {
	w := new(watch)
	t := d.kept
	if once {
		t = d.fresh
	}
	res, err = t.RoundTrip(req.WithContext(w.trace(req.Context())))
	return res, w.wrote(), err
}
