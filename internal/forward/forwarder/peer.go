package forwarder

import (
	"context"
	"encoding/base64"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
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
	// avoidTime is how long a daemon that did not make an attempt is not asked for others to
	// the same pool.
	avoidTime = time.Second
	// maxPeersAsked bounds the peers that one request is sent to by turns.
	maxPeersAsked = 8
	// slotsPerCore is the number of requests in flight at a peer, for each of its cores, at
	// which it counts as full, and defaultCores its cores if unknown.
	slotsPerCore = 32.0
	defaultCores = 0.5
	// maxExcluded bounds the endpoints that a peer is told not to use.
	maxExcluded = 16
	// formerPeerTime is how long a daemon that left the members may serve.
	formerPeerTime = 10 * time.Second
	// peerDoubtTime is how long attempts by way of peers may fail before this daemon takes
	// itself for unable to serve.
	peerDoubtTime = time.Second
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
	}

	// peerRefusal is the error of an attempt that a peer did not make or complete.
	peerRefusal struct{ peerOutcome }

	// peers are the other daemons as targets of attempts.
	peers struct {
		balancer *balancer.Balancer
		sender   *sender.Sender

		mu sync.Mutex
		// members are the daemons of which hosts was made, in the same order.
		members []samphireturn.VM
		hosts   []*samphireturn.Host
		// left holds the daemons that are no longer members but may still serve, by id.
		left map[string]formerPeer
		// unlinked holds the ids of daemons that say that they reach no endpoint.
		unlinked map[string]bool
		// avoidUntil holds until when a peer is not asked for attempts to a pool.
		avoidUntil map[peerPool]time.Duration
		// servedAt and failedAt are when a peer last answered for an endpoint and when it did
		// not; zero if never.
		servedAt, failedAt time.Duration
	}

	// formerPeer is a daemon that left the members. It counts until a time.
	formerPeer struct {
		vm    samphireturn.VM
		host  *samphireturn.Host
		until time.Duration
	}

	// peerPool names a peer and a pool.
	peerPool struct{ peer, pool string }

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

// initPeers prepares attempts by way of peers.
func (f *Forwarder) initPeers() {
	f.peers.balancer = balancer.New(f.Self.ID, f.Self.Centre, f.Clock)
	f.peers.sender = &sender.Sender{EndpointProtocol: peerProtocol{f.EndpointProtocol}, Dial: f.dialPeer, Clock: f.Clock}
	f.peers.avoidUntil = make(map[peerPool]time.Duration)
	f.peers.left = make(map[string]formerPeer)
}

// dialPeer opens a connection to the daemon with an id.
func (f *Forwarder) dialPeer(ctx context.Context, _, id string) (net.Conn, error) {
	vm, ok := f.peers.vm(id)
	if !ok {
		return nil, errors.Errorf("daemon %s is not known", id)
	}
	return f.DialPeer(ctx, vm)
}

// vm returns the daemon with an id.
func (p *peers) vm(id string) (samphireturn.VM, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, h := range p.hosts {
		if h.ID == id {
			return p.members[i], true
		}
	}
	former, ok := p.left[id]
	return former.vm, ok
}

// update takes the members of the fleet other than the daemon self. Those that are missing
// now may serve until they have ended.
func (p *peers) update(self string, members []samphireturn.VM, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, hosts := p.members, p.hosts
	p.members, p.hosts = nil, nil
	listed := make(map[string]bool)
	for _, vm := range members {
		if vm.ID != self && vm.Peer != "" {
			p.members, p.hosts = append(p.members, vm), append(p.hosts, peerHost(vm))
			listed[vm.ID] = true
			delete(p.left, vm.ID)
		}
	}
	for i, vm := range before {
		if !listed[vm.ID] {
			p.left[vm.ID] = formerPeer{vm, hosts[i], now + formerPeerTime}
		}
	}
}

// peerHost returns a daemon as a target of attempts. Its address is its id.
func peerHost(vm samphireturn.VM) *samphireturn.Host {
	cores := vm.Cores
	if cores <= 0 {
		cores = defaultCores
	}
	return &samphireturn.Host{ID: vm.ID, Addr: vm.ID, Centre: vm.Centre, Slots: int(math.Ceil(slotsPerCore * cores))}
}

// candidates returns the daemons that may be asked for attempts to a pool: members, and
// others that may still serve.
func (p *peers) candidates(pool string, now time.Duration) (members, left []*samphireturn.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		if now >= p.avoidUntil[peerPool{h.ID, pool}] && !p.unlinked[h.ID] {
			members = append(members, h)
		}
	}
	for id, former := range p.left {
		if now < former.until && now >= p.avoidUntil[peerPool{id, pool}] {
			left = append(left, former.host)
		}
	}
	return members, left
}

// SetUnlinked takes the ids of the daemons that reach no endpoint, as these say.
func (f *Forwarder) SetUnlinked(ids []string) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	f.peers.unlinked = make(map[string]bool, len(ids))
	for _, id := range ids {
		f.peers.unlinked[id] = true
	}
}

// avoid keeps attempts to a pool from a peer for avoidTime.
func (p *peers) avoid(peer, pool string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil[peerPool{peer, pool}] = now + avoidTime
}

// record records whether an attempt by way of a peer was answered.
func (p *peers) record(served bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if served {
		p.servedAt = now
	} else {
		p.failedAt = now
	}
}

// serve reports whether attempts by way of peers are answered, as far as is known.
func (p *peers) serve(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedAt == 0 || p.servedAt > 0 && p.failedAt-p.servedAt < peerDoubtTime || now-p.failedAt > 2*peerDoubtTime
}

// sweepPeers forgets daemons that left, and finds out whether lost ones are back.
func (f *Forwarder) sweepPeers(ctx context.Context) {
	p := &f.peers
	p.sender.Sweep()
	now := f.Clock()
	members, left := p.candidates("", now)
	pools := map[string][]*samphireturn.Host{"": slices.Concat(members, left)}
	p.balancer.Retain(pools)
	p.mu.Lock()
	maps.DeleteFunc(p.avoidUntil, func(_ peerPool, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(p.left, func(_ string, former formerPeer) bool { return now >= former.until })
	p.mu.Unlock()
	for _, h := range p.balancer.Unreachable(pools) {
		f.wait.Go(func() {
			if p.sender.Probe(ctx, h) == nil {
				p.balancer.MarkReachable(h)
			}
		})
	}
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

// anyPeer reports whether a daemon may be asked for an attempt and accepts a connection.
func (c *proxyCall) anyPeer(ctx context.Context) bool {
	reservation := c.pickPeer()
	if reservation == nil {
		return false
	}
	defer reservation.Done()
	return c.peers.sender.Probe(ctx, reservation.Host) == nil
}

// tryPeer asks a peer for one attempt and reads the head of the endpoint's answer.
func (c *proxyCall) tryPeer(reservation *balancer.Reservation) (*attempt, error) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	peer := reservation.Host
	a := &attempt{
		call: c, ctx: ctx, host: peer, endpoint: peer.ID, byPeer: true, balancer: c.peers.balancer, reservation: reservation, cancel: cancel,
		resumes: c.begun, answer: isolator.NoAnswer(),
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
	c.sends += max(outcome.Sends, 0)
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

// peerRefused acts on a peer's refusal of an attempt. Endpoints that ask the peer for a pause or
// a limit, or that a request crashes, are the same by way of another peer.
func (c *proxyCall) peerRefused(peer *samphireturn.Host, r *peerRefusal) *samphireturn.Refusal {
	meter.CountPeerAttempt(meter.PeerRefused)
	c.Log.Info().Str("event", logger.EventPeerFailed).Str("id", c.request.ID).Str("peer", peer.ID).Str("reason", r.Refused).Str("run", r.Executed).
		Bool("unreachable", r.Unreachable).Send()
	c.sends += max(r.Sends, 0)
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
