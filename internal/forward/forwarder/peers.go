package forwarder

import (
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/sender"
)

const (
	// avoidTime is how long a daemon that did not make an attempt is not asked for others to
	// the same pool.
	avoidTime = time.Second
	// slotsPerCore is the number of requests in flight at a peer, for each of its cores, at
	// which it counts as full, and defaultCores its cores if unknown.
	slotsPerCore = 32.0
	defaultCores = 0.5
	// formerPeerTime is how long a daemon that left the members may serve.
	formerPeerTime = 10 * time.Second
	// peerDoubtTime is how long attempts by way of peers may fail before this daemon takes
	// itself for unable to serve.
	peerDoubtTime = time.Second
)

type (
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
)

// initPeers prepares attempts by way of peers.
func (f *Forwarder) initPeers() {
	f.peers.balancer = balancer.New(f.Self.ID, f.Self.Centre, f.Clock)
	f.peers.sender = &sender.Sender{EndpointProtocol: peerProtocol{f.EndpointProtocol}, Dial: f.dialPeer, Clock: f.Clock, Answers: f.Answers}
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
