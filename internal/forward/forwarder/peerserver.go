package forwarder

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/traffic/finisher"
)

// maxPeerRequests bounds the requests of peers in flight at this daemon.
const maxPeerRequests = 256

// servePeer handles one attempt that another daemon asks for.
func (f *Forwarder) servePeer(w http.ResponseWriter, r *http.Request) finisher.End {
	c := f.newCall(w, r)
	defer f.activeRequests.Add(-1)
	f.peerAskedAt.Store(int64(f.Clock()))
	inFlight := f.peerRequests.Add(1)
	defer f.peerRequests.Add(-1)
	defer c.releaseMemory()
	c.forPeer = new(peerAttempt)
	err := decodeHeader(r.Header.Get(headerPeerAttempt), c.forPeer)
	r.Header.Del(headerPeerAttempt)
	var refused *samphireturn.Refusal
	switch {
	case f.peersClosing.Load():
		refused = refusal(samphireturn.ReasonClosing, busyRetryAfter, nil)
	case err != nil:
		refused = refusal(samphireturn.ReasonBadRequest, 0, err)
	case inFlight > maxPeerRequests:
		refused = refusal(samphireturn.ReasonBusy, busyRetryAfter, nil)
	default:
		refused = c.run(c.forwardForPeer)
	}
	if refused != nil {
		c.refusePeer(refused)
	}
	return c.end()
}

// applyPeerAttempt sets what the daemon that asks for the attempt determines.
func (c *proxyCall) applyPeerAttempt() *samphireturn.Refusal {
	ask := c.forPeer
	c.request.Timeout = time.Duration(ask.Timeout) * time.Millisecond
	c.request.LastEventID, c.release = ask.LastEventID, ask.Release
	if c.request.Timeout <= 0 {
		return refusal(samphireturn.ReasonBadRequest, 0, errors.New("no time left"))
	}
	return nil
}

// applyPeerModel sets the model and the endpoints that the daemon which asks for the attempt
// determines, once the route is known.
func (c *proxyCall) applyPeerModel() *samphireturn.Refusal {
	for _, id := range c.forPeer.Exclude {
		c.pickRequest.Exclude[id] = true
	}
	if len(c.route.Steps) == 0 {
		return nil
	}
	if c.step = slices.Index(c.route.Steps, c.forPeer.Model); c.step < 0 {
		return refusal(samphireturn.ReasonBadRequest, 0, errors.Errorf("model %q is not of the route", c.forPeer.Model))
	}
	return nil
}

// forwardForPeer makes one attempt and forwards the endpoint's answer as it comes. Whether
// there is another attempt is up to the daemon that asked for this one.
func (c *proxyCall) forwardForPeer() *samphireturn.Refusal {
	limits := c.answerLimits()
	if c.route.Work == samphireturn.WorkStream {
		limits = c.firstEventLimits()
	}
	a, refusal := c.send(limits)
	if refusal != nil {
		return refusal
	}
	defer a.close()
	if a.Status >= http.StatusInternalServerError {
		c.recordFailure(a)
	}
	if err := c.setPeerOutcome(peerOutcome{Endpoint: a.host.ID, Release: a.host.Release, Sends: c.sends, Misdirected: c.misdirected}); err != nil {
		c.executed = samphireturn.ExecutedUnknown
		return c.refusal(samphireturn.ReasonEndpointFailed, 0, err)
	}
	c.sends++
	c.executions++
	c.writeHead(a)
	_ = http.NewResponseController(c.w).Flush()
	if err := c.copyForPeer(a); err != nil {
		c.Log.Info().Str("event", logger.EventForPeerFailed).Str("id", c.request.ID).Str("endpoint", a.host.ID).Str("last", c.lastEventID).Err(err).Send()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyForPeer forwards the body of an answer and records how it ends.
func (c *proxyCall) copyForPeer(a *attempt) error {
	var err error
	if c.route.Work == samphireturn.WorkStream && a.Status == http.StatusOK {
		c.begun = true
		a.maxWait.Store(int64(c.maxEventWait()))
		a.streaming.Store(true)
		err = c.copyEvents(a)
	} else {
		_, err = io.Copy(flushedWriter{c.w}, a)
	}
	if err == nil {
		a.answer.Succeed()
		a.reservation.ObserveComplete()
		return nil
	}
	err = a.cause(err)
	a.lose(err)
	c.recordFailure(a)
	if c.begun {
		c.recordBrokenAnswer(a)
	}
	return err
}

// flushedWriter flushes each write.
type flushedWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (w flushedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(w.ResponseWriter).Flush()
	}
	return n, err
}

// refusePeer answers a peer that there is no answer of an endpoint.
func (c *proxyCall) refusePeer(refused *samphireturn.Refusal) {
	if c.left(refused) {
		panic(http.ErrAbortHandler)
	}
	c.Log.Info().Str("event", logger.EventForPeerRefused).Str("id", c.request.ID).Str("route", c.routeName()).Str("reason", refused.Reason).
		Str("run", refused.Executed).Int("sends", c.sends).Err(refused.Err).Send()
	err := c.setPeerOutcome(peerOutcome{
		Refused: refused.Reason, Executed: refused.Executed, RetryAfter: refused.RetryAfter.Milliseconds(), Sends: c.sends - c.executions,
		Misdirected: c.misdirected,
		Unreachable: refused.Reason == samphireturn.ReasonNoEndpoint && (c.LinkLost() || c.noneReachable()),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.writeRefusal(refused)
}

// setPeerOutcome adds an outcome to the header of the answer.
func (c *proxyCall) setPeerOutcome(o peerOutcome) error {
	value, err := encodeHeader(o)
	if err != nil {
		return err
	}
	c.w.Header().Set(headerPeerOutcome, value)
	return nil
}
