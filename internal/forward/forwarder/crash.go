package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/forward/sender"
)

const (
	// probeTopic is the topic of calls that ask whether an endpoint accepts connections.
	probeTopic = "probe"
	// probeCallTimeout bounds such a call: the dials at the peer, and the way.
	probeCallTimeout = sender.DialTimeout*2 + 200*time.Millisecond
	// witnessRetryTime is the time until peers are asked again if none answered.
	witnessRetryTime = 100 * time.Millisecond
	// reprobeTime is the time until an endpoint that lost an answer and takes a connection is dialled
	// again: connections of a process that ends may break before its address is closed.
	reprobeTime = 150 * time.Millisecond
	// undecidedTime is how long a check goes on while nobody can tell a crash from a cut, as no daemon
	// reaches any endpoint, and maxUndecidedWait bounds the time until peers are asked again; it
	// doubles from witnessRetryTime.
	undecidedTime    = 6 * time.Second
	maxUndecidedWait = time.Second
	// maxWitnesses is the number of peers of the endpoint's data centre, and of the others,
	// that are asked about one endpoint.
	maxWitnesses = 2
)

// What daemons know of an endpoint that refused a connection. What is greater outweighs the
// rest.
const (
	// processNotAsked means that no peer was asked, processUnanswered that none answered.
	processNotAsked processState = iota - 2
	processUnanswered
	// processUnknown means that the daemon can't tell.
	processUnknown
	// processEnded means that it refuses connections while other endpoints accept them.
	processEnded
	// processAlive means that it accepts connections.
	processAlive
)

type (
	// processState is what a daemon knows of the process of an endpoint.
	processState int

	// probeRequest names an instance of an endpoint.
	probeRequest struct {
		ID      string `cbor:"1,keyasint"`
		Started int64  `cbor:"2,keyasint,omitempty"`
	}

	// probeReply is the answer to a probeRequest.
	probeReply struct {
		State processState `cbor:"1,keyasint,omitempty"`
	}
)

// String returns the state as it is logged.
func (s processState) String() string {
	return map[processState]string{
		processNotAsked: "none", processUnanswered: "unanswered", processUnknown: "unknown", processEnded: "ended", processAlive: "alive",
	}[s]
}

// Register registers the handler of peers' questions. It must be called once the exported
// fields are set, before the peers run.
func (f *Forwarder) Register() {
	f.initPeers()
	f.Peers.Handle(probeTopic, f.handleProbe)
}

// handleProbe answers whether an endpoint accepts connections from this daemon.
func (f *Forwarder) handleProbe(ctx context.Context, _ string, body []byte) (any, error) {
	var asked probeRequest
	if err := encoder.Unmarshal(body, &asked); err != nil {
		return nil, err
	}
	v := f.Control.Snapshot().View
	if v == nil {
		return probeReply{}, nil
	}
	for _, hosts := range v.Hosts {
		i := slices.IndexFunc(hosts, func(h *samphireturn.Host) bool { return h.ID == asked.ID })
		if i < 0 || hosts[i].Started != asked.Started || !f.mayProbe(v, hosts[i]) {
			continue
		}
		return probeReply{State: f.probeProcess(ctx, hosts[i])}, nil
	}
	return probeReply{}, nil
}

// probeProcess finds out whether an endpoint accepts connections from this daemon.
func (f *Forwarder) probeProcess(ctx context.Context, h *samphireturn.Host) processState {
	err := f.Sender.Probe(ctx, h)
	switch {
	case err == nil:
		return processAlive
	case !sender.AsError(err).Refused():
		return processUnknown
	}
	if f.reachesOther(ctx, h) {
		return processEnded
	}
	return processUnknown
}

// checkCrash finds out in the background whether an endpoint that did not complete an answer,
// or refused a connection, has crashed. Its address refuses connections of a daemon that is
// partitioned from it too, so peers decide.
func (f *Forwarder) checkCrash(h *samphireturn.Host, refused bool) {
	if !f.Isolator.StartCheck(h) {
		return
	}
	f.background(func() {
		if !refused {
			refused = f.refuses(h) || timekeeper.Sleep(f.ctx, reprobeTime) && f.refuses(h)
		}
		near, far := processNotAsked, processNotAsked
		crashed := refused
		if refused {
			near, far, crashed = f.decideCrash(h)
		}
		if !crashed {
			f.Log.Info().Str("event", logger.EventCrashUnconfirmed).Str("endpoint", h.ID).Bool("refused", refused).Stringer("near", near).Stringer("far", far).Send()
		}
		f.Isolator.FinishCheck(h, crashed)
	})
}

// refuses reports whether an endpoint refuses a connection.
func (f *Forwarder) refuses(h *samphireturn.Host) bool {
	err := f.Sender.Probe(f.ctx, h)
	refused := err != nil && sender.AsError(err).Refused()
	if refused {
		f.Balancer.RecordFailure(h, true)
	}
	return refused
}

// decideCrash is processEnded, repeated while nobody can tell: all endpoints may have crashed
// together, and the first that is back shows that it was no cut.
func (f *Forwarder) decideCrash(h *samphireturn.Host) (seenNear, seenFar processState, crashed bool) {
	wait := witnessRetryTime
	for end := f.Clock() + undecidedTime; ; wait = min(2*wait, maxUndecidedWait) {
		near, far, crashed := f.processEnded(h)
		if !crashed && f.replaced(h) {
			return near, far, true
		}
		if crashed || near == processAlive || far == processAlive || f.Clock() >= end {
			return near, far, crashed
		}
		f.Isolator.Undecided(h)
		if !timekeeper.Sleep(f.ctx, wait) {
			return near, far, false
		}
	}
}

// replaced reports whether a later process is listed at the address of an endpoint.
func (f *Forwarder) replaced(h *samphireturn.Host) bool {
	v := f.currentView()
	return v != nil && slices.ContainsFunc(v.Hosts[h.Pool], func(other *samphireturn.Host) bool {
		return other.Addr == h.Addr && other.Started > h.Started
	})
}

// processEnded reports whether the process of an endpoint has ended, as peers of its data centre
// and others see it or, if there are none, this daemon itself. Peers may not be linked yet after
// a start.
func (f *Forwarder) processEnded(h *samphireturn.Host) (seenNear, seenFar processState, crashed bool) {
	ctx, cancel := context.WithTimeout(f.ctx, probeCallTimeout)
	defer cancel()
	for {
		near, far := f.drawWitnesses(h.Centre)
		seenNear, seenFar = f.askWitnesses(ctx, near, far, h)
		switch {
		case len(near)+len(far) == 0:
			return processNotAsked, processNotAsked, f.reachesOther(ctx, h)
		case seenNear != processUnanswered || seenFar != processUnanswered:
			return seenNear, seenFar, ended(seenNear, seenFar, h.Centre == f.Self.Centre || len(near) == 0)
		case !timekeeper.Sleep(ctx, witnessRetryTime):
			return seenNear, seenFar, h.Centre == f.Self.Centre && f.reachesOther(f.ctx, h)
		}
	}
}

// ended reports whether the process of an endpoint has ended as daemons of its data centre and
// others saw it. Those of its data centre have to see it unless this daemon is one or there are
// none: the others may be partitioned from the data centre.
func ended(seenNear, seenFar processState, seenHere bool) bool {
	if seenNear == processAlive || seenFar == processAlive {
		return false
	}
	return seenNear == processEnded || seenHere && seenFar == processEnded
}

// askWitnesses asks daemons of an endpoint's data centre and others about it.
func (f *Forwarder) askWitnesses(ctx context.Context, near, far []string, h *samphireturn.Host) (seenNear, seenFar processState) {
	var asking sync.WaitGroup
	asking.Go(func() { seenNear = f.askPeers(ctx, near, h) })
	asking.Go(func() { seenFar = f.askPeers(ctx, far, h) })
	asking.Wait()
	return seenNear, seenFar
}

// askPeers asks daemons about an endpoint. One that reaches it outweighs the others.
func (f *Forwarder) askPeers(ctx context.Context, ids []string, h *samphireturn.Host) processState {
	states := make(chan processState, len(ids))
	for _, id := range ids {
		f.wait.Go(func() {
			var reply probeReply
			if err := f.Peers.Call(ctx, id, probeTopic, probeRequest{h.ID, h.Started}, &reply); err != nil {
				f.Log.Debug().Str("event", logger.EventProbeFailed).Str("endpoint", h.ID).Str("peer", id).Err(err).Send()
				reply.State = processUnanswered
			}
			if reply.State > processAlive {
				reply.State = processUnknown
			}
			states <- reply.State
		})
	}
	seen := processUnanswered
	for range ids {
		seen = max(seen, <-states)
	}
	return seen
}

// drawWitnesses returns the ids of daemons to ask about an endpoint, drawn at random: some of
// the endpoint's data centre and some of others.
func (f *Forwarder) drawWitnesses(centre string) (near, far []string) {
	members := f.Control.Snapshot().Members
	for _, i := range rand.Perm(len(members)) {
		switch vm := members[i]; {
		case vm.ID == f.Self.ID:
		case vm.Centre == centre && len(near) < maxWitnesses:
			near = append(near, vm.ID)
		case vm.Centre != centre && len(far) < maxWitnesses:
			far = append(far, vm.ID)
		}
	}
	return near, far
}
