package forwarder

import (
	"context"
	"encoding/base64"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
	"samphireturn/internal/core/rationer"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/isolator"
	"samphireturn/internal/forward/sender"
)

const (
	// headerPeerAttempt and headerPeerOutcome carry a peerAttempt and a peerOutcome, encoded
	// as CBOR and base64.
	headerPeerAttempt = "Samphireturn-Attempt"
	headerPeerOutcome = "Samphireturn-Outcome"
	// maxPeersAsked bounds the peers that one request is sent to by turns.
	maxPeersAsked = 8
	// maxExcluded bounds the endpoints that a peer is told not to use.
	maxExcluded = 16
)

type (
	// peerAttempt asks a peer for one attempt of a request: the daemon that received it
	// reaches no endpoint. The caller's request comes with it as it is.
	peerAttempt struct {
		// Timeout is the time left, in milliseconds.
		Timeout int64 `cbor:"1,keyasint"`
		// Model is the model to ask, if the route has several.
		Model string `cbor:"2,keyasint,omitempty"`
		// LastEventID is the id of the last event that the caller received, and Release the
		// release of the endpoint that sent it. Both are empty before the first.
		LastEventID string `cbor:"3,keyasint,omitempty"`
		Release     string `cbor:"4,keyasint,omitempty"`
		// Exclude holds the ids of endpoints that failed the request.
		Exclude []string `cbor:"5,keyasint,omitempty"`
		// Resumes is true if the caller has received a part of the answer.
		Resumes bool `cbor:"6,keyasint,omitempty"`
		// MayRetry is true if the request can go on elsewhere if the attempt fails.
		MayRetry bool `cbor:"7,keyasint,omitempty"`
	}

	// peerOutcome comes with the answer to a peerAttempt: the endpoint's own if Refused is
	// empty.
	peerOutcome struct {
		// Endpoint and Release are those of the endpoint that answered.
		Endpoint string `cbor:"1,keyasint,omitempty"`
		Release  string `cbor:"2,keyasint,omitempty"`
		// Sends is the number of requests that endpoints turned away.
		Sends int `cbor:"3,keyasint,omitempty"`
		// Refused is the reason why there is no answer, Executed whether an endpoint may have
		// executed the request, and RetryAfter the time in milliseconds until it may succeed.
		Refused    string `cbor:"4,keyasint,omitempty"`
		Executed   string `cbor:"5,keyasint,omitempty"`
		RetryAfter int64  `cbor:"6,keyasint,omitempty"`
		// Unreachable is true if the peer reaches no endpoint of the pool either.
		Unreachable bool `cbor:"7,keyasint,omitempty"`
		// Misdirected is the number of the Sends that other instances than the addressed ones
		// answered.
		Misdirected int `cbor:"8,keyasint,omitempty"`
	}

	// peerRefusal is the error of an attempt that a peer did not make or complete.
	peerRefusal struct{ peerOutcome }

	// peerProtocol decodes the endpoints' answers that peers pass on. What they tell of the
	// endpoints themselves is for the peer.
	peerProtocol struct{ samphireturn.EndpointProtocol }
)

// Error returns the reason.
func (r *peerRefusal) Error() string { return "peer refused: " + r.Refused }

// DecodeResponse implements samphireturn.EndpointProtocol.
func (p peerProtocol) DecodeResponse(res *http.Response) samphireturn.ResponseMeta {
	meta := p.EndpointProtocol.DecodeResponse(res)
	return samphireturn.ResponseMeta{ID: meta.ID, HasSeal: meta.HasSeal, Encoded: meta.Encoded, Confidence: meta.Confidence}
}

// encodeHeader returns the value of a header that carries v.
func encodeHeader(v any) (string, error) {
	data, err := encoder.Marshal(v)
	return base64.StdEncoding.EncodeToString(data), err
}

// decodeHeader decodes the value of a header into v.
func decodeHeader(value string, v any) error {
	data, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return err
	}
	return encoder.Unmarshal(data, v)
}

// pickPeer reserves a daemon that is asked for an attempt, or returns nil if there is none.
// A request that came from a peer is never passed on.
func (c *proxyCall) pickPeer() *balancer.Reservation {
	if c.forPeer != nil || len(c.excludedPeers) >= maxPeersAsked {
		return nil
	}
	members, left := c.peers.candidates(c.pool.Name, c.Clock())
	request := balancer.Request{Pool: &samphireturn.Pool{}, Hosts: members, Exclude: c.excludedPeers, Objective: c.route.Objective}
	if reservation := c.peers.balancer.Pick(&request); reservation != nil {
		return reservation
	}
	request.Hosts = left
	return c.peers.balancer.Pick(&request)
}

// noneReachable reports whether all endpoints that the request may go to can't be dialled.
func (c *proxyCall) noneReachable() bool {
	if len(c.pickRequest.Hosts) == 0 {
		return false
	}
	return !slices.ContainsFunc(c.pickRequest.Hosts, func(h *samphireturn.Host) bool { return !c.undialled[h.ID] && c.Balancer.Reaches(h) })
}

// anyPeer reports whether a daemon may be asked for an attempt to a pool and accepts a
// connection.
func (f *Forwarder) anyPeer(ctx context.Context, pool string) bool {
	members, left := f.peers.candidates(pool, f.Clock())
	reservation := f.peers.balancer.Pick(&balancer.Request{Pool: &samphireturn.Pool{}, Hosts: slices.Concat(members, left)})
	if reservation == nil {
		return false
	}
	defer reservation.Done()
	return f.peers.sender.Probe(ctx, reservation.Host) == nil
}

// tryPeer asks a peer for one attempt and reads the head of the endpoint's answer.
func (c *proxyCall) tryPeer(reservation *balancer.Reservation) (*attempt, error) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	peer := reservation.Host
	a := &attempt{
		call: c, ctx: ctx, host: peer, endpoint: peer.ID, byPeer: true, balancer: c.peers.balancer, reservation: reservation, cancel: cancel,
		resumes: c.begun, answer: isolator.NoAnswer(), share: rationer.Share{Rationer: c.Answers},
	}
	a.startWatchdog(waitLimits{})
	header, err := c.peerHeader()
	if err != nil {
		a.finish()
		return nil, err
	}
	c.Log.Info().Str("event", logger.EventSentToPeer).Str("id", c.request.ID).Str("route", c.route.Name).Str("peer", peer.ID).Str("centre", peer.Centre).
		Int("attempt", c.sends+1).Dur("left", c.remaining()).Send()
	call := c.senderCall(peer)
	call.Header = header
	response, err := c.peers.sender.Send(ctx, call)
	if err != nil {
		a.finish()
		return nil, err
	}
	a.Response = response
	var outcome peerOutcome
	if err := decodeHeader(response.Header.Get(headerPeerOutcome), &outcome); err != nil {
		a.close()
		return nil, errors.Wrap(err, "outcome of peer")
	}
	response.Header.Del(headerPeerOutcome)
	if outcome.Refused != "" {
		a.close()
		return nil, &peerRefusal{outcome}
	}
	reservation.ObserveHead(response.Meta)
	c.peers.record(true, c.Clock())
	meter.CountPeerAttempt(meter.PeerServed)
	c.addSends(outcome)
	a.endpoint, a.release = outcome.Endpoint, outcome.Release
	return a, nil
}

// peerHeader returns the header of a request to a peer: the caller's without what concerns
// its connection, and the peerAttempt.
func (c *proxyCall) peerHeader() (http.Header, error) {
	h := c.r.Header.Clone()
	for line := range strings.SplitSeq(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(line))
	}
	for name := range h {
		if !c.CallerProtocol.ForwardHeader(name) {
			delete(h, name)
		}
	}
	h.Del("Content-Length")
	h.Del("Expect")
	ask := peerAttempt{
		Timeout: max(c.remaining().Milliseconds(), 1), LastEventID: c.lastEventID, Release: c.release, Resumes: c.begun, MayRetry: c.mayRetryAfterThis(),
	}
	if len(c.route.Steps) > 0 {
		ask.Model = c.route.Steps[c.step]
	}
	for id := range c.pickRequest.Exclude {
		if len(ask.Exclude) < maxExcluded && !c.undialled[id] {
			ask.Exclude = append(ask.Exclude, id)
		}
	}
	value, err := encodeHeader(ask)
	h.Set(headerPeerAttempt, value)
	return h, err
}

// peerFailed acts on an attempt that a peer did not make or complete. It returns a refusal if
// no further attempt is due.
func (c *proxyCall) peerFailed(peer *samphireturn.Host, err error) *samphireturn.Refusal {
	c.lastErr = err
	c.excludedPeers[peer.ID] = true
	var refused *peerRefusal
	if errors.As(err, &refused) {
		return c.peerRefused(peer, refused)
	}
	if c.r.Context().Err() == nil {
		c.peers.record(false, c.Clock())
	}
	meter.CountPeerAttempt(meter.PeerLost)
	c.Log.Info().Str("event", logger.EventPeerFailed).Str("id", c.request.ID).Str("peer", peer.ID).Err(err).Send()
	e := sender.AsError(err)
	if e.NotReceived() {
		c.peers.balancer.RecordFailure(peer, e.Kind == sender.KindDial)
		c.retryPaid.Store(c.sends > 0)
		return nil
	}
	if c.ctx.Err() == nil {
		c.peers.balancer.RecordFailure(peer, false)
	}
	c.sends++
	return c.mayHaveRun(err)
}

// addSends counts the requests that endpoints turned away as a peer offered them.
func (c *proxyCall) addSends(o peerOutcome) {
	c.sends += max(o.Sends, 0)
	c.misdirected += min(max(o.Misdirected, 0), max(o.Sends, 0))
}

// peerRefused acts on a peer's refusal of an attempt. Endpoints that ask the peer for a pause or
// a limit, or that a request crashes, are the same by way of another peer.
func (c *proxyCall) peerRefused(peer *samphireturn.Host, r *peerRefusal) *samphireturn.Refusal {
	meter.CountPeerAttempt(meter.PeerRefused)
	c.Log.Info().Str("event", logger.EventPeerFailed).Str("id", c.request.ID).Str("peer", peer.ID).Str("reason", r.Refused).Str("run", r.Executed).
		Bool("unreachable", r.Unreachable).Send()
	c.addSends(r.peerOutcome)
	if r.Executed != samphireturn.ExecutedNo {
		c.sends++
		return c.mayHaveRun(r)
	}
	if r.Sends == 0 {
		c.retryPaid.Store(c.sends > 0)
	}
	switch r.Refused {
	case samphireturn.ForwardPaused, samphireturn.ForwardLimited, samphireturn.ForwardIsolated:
		c.peers.record(true, c.Clock())
		return c.refusal(r.Refused, time.Duration(r.RetryAfter)*time.Millisecond, r)
	case samphireturn.ForwardNoRoom:
		// The peer has room for smaller requests.
		c.peers.record(true, c.Clock())
		return nil
	case samphireturn.ReasonNoEndpoint:
		if !r.Unreachable {
			c.peers.record(true, c.Clock())
			return c.refusal(r.Refused, busyRetryAfter, r)
		}
	}
	c.peers.record(false, c.Clock())
	c.peers.avoid(peer.ID, c.pool.Name, c.Clock())
	return nil
}
