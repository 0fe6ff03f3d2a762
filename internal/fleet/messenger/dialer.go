package messenger

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
)

// relayCount is the number of relays of a data centre.
const relayCount = 2

// dialer maintains the link to one peer.
type dialer struct {
	vm     samphireturn.VM
	cancel context.CancelFunc
}

// relaysOf returns the ids of a data centre's relays.
func relaysOf(centre string, members []samphireturn.VM) []string {
	ids := ranker.Rank("relay/"+centre, ranker.InCentre(centre, members))
	return ids[:min(len(ids), relayCount)]
}

// desiredPeers returns the daemons, by id, that this daemon should be linked with. The
// caller holds mu.
func (m *Messenger) desiredPeers() map[string]samphireturn.VM {
	all := m.members
	desired := make(map[string]samphireturn.VM)
	relay := slices.Contains(relaysOf(m.self.Centre, all), m.self.ID)
	relays := make(map[string][]string)
	for _, vm := range all {
		if vm.ID == m.self.ID || vm.Peer == "" {
			continue
		}
		if vm.Centre == m.self.Centre {
			desired[vm.ID] = vm
			continue
		}
		if !relay {
			continue
		}
		if _, ok := relays[vm.Centre]; !ok {
			relays[vm.Centre] = relaysOf(vm.Centre, all)
		}
		if slices.Contains(relays[vm.Centre], vm.ID) {
			desired[vm.ID] = vm
		}
	}
	return desired
}

// updateDialers starts and stops dialers to match the members. A link to a daemon that
// is missing from the members stays until it breaks. The caller holds mu.
func (m *Messenger) updateDialers() {
	desired := m.desiredPeers()
	for id, d := range m.dialers {
		if vm, ok := desired[id]; ok && vm.Peer == d.vm.Peer {
			continue
		}
		d.cancel()
		delete(m.dialers, id)
		if l := m.links[id]; l != nil && m.isMember(id) {
			l.close()
		}
	}
	for id, l := range m.links {
		if _, ok := desired[id]; m.listed && l.seed != "" && !ok {
			l.close()
		}
	}
	for id, vm := range desired {
		if m.dialers[id] != nil || m.listed && id < m.self.ID {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		d := &dialer{vm: vm, cancel: cancel}
		m.dialers[id] = d
		m.wg.Go(func() { m.maintainLink(ctx, d.vm, always) })
	}
}

// isMember reports whether the members include a daemon. The caller holds mu.
func (m *Messenger) isMember(id string) bool {
	return slices.ContainsFunc(m.members, func(vm samphireturn.VM) bool { return vm.ID == id })
}

// dialSeeds starts to dial the seeds, until the members include this daemon. The caller
// holds mu.
func (m *Messenger) dialSeeds() {
	for i, addr := range m.Seeds {
		if addr == m.self.Peer || slices.Contains(m.Seeds[:i], addr) {
			continue
		}
		m.wg.Go(func() { m.maintainLink(m.ctx, samphireturn.VM{Peer: addr}, m.unlisted) })
	}
}

// seedLinked reports whether there is a link to the daemon at a seed's address.
func (m *Messenger) seedLinked(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.links {
		at := slices.IndexFunc(m.members, func(vm samphireturn.VM) bool { return vm.ID == id })
		if l.seed == addr || at >= 0 && m.members[at].Peer == addr {
			return true
		}
	}
	return false
}

// unlisted reports whether the members do not include this daemon.
func (m *Messenger) unlisted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listed
}

func always() bool { return true }

// maintainLink dials a peer, and dials it again after each break, until ctx ends or
// needed returns false. The wait doubles with every try up to MaxBackoff and is
// jittered by half. It starts at MinBackoff again after a link that lasted longer than
// MaxBackoff.
func (m *Messenger) maintainLink(ctx context.Context, vm samphireturn.VM, needed func() bool) {
	backoff := m.MinBackoff
	for ctx.Err() == nil && needed() {
		start := m.Now()
		err := m.connect(ctx, vm)
		if m.Now().Sub(start) > m.MaxBackoff {
			backoff = m.MinBackoff
		}
		if err != nil && ctx.Err() == nil {
			m.reportFailure(cmp.Or(vm.ID, vm.Peer), err)
		}
		timer := time.NewTimer(time.Duration((0.5 + m.Rand()/2) * float64(backoff)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		backoff = min(2*backoff, m.MaxBackoff)
	}
}

// connect dials a peer and serves the link until it breaks. If vm has no id, the peer is
// any daemon that proves the fleet key at the address.
func (m *Messenger) connect(ctx context.Context, vm samphireturn.VM) error {
	seed := ""
	if vm.ID == "" {
		seed = vm.Peer
	}
	if m.linkTo(vm.ID) != nil || seed != "" && m.seedLinked(seed) {
		return nil
	}
	handshakeCtx, cancel := context.WithTimeout(ctx, m.HandshakeTimeout)
	defer cancel()
	c, err := m.dialWebSocket(handshakeCtx, vm)
	if err != nil {
		return &Error{Op: "dial " + cmp.Or(vm.ID, vm.Peer), Kind: KindConnFailed, Err: err}
	}
	id, err := m.handshakeDial(handshakeCtx, webSocket{c}, vm.ID)
	if err != nil {
		_ = c.CloseNow()
		return err
	}
	m.serveLink(id, seed, c, nil)
	return nil
}

// dialWebSocket opens a WebSocket to a peer, without the fleet's handshake.
func (m *Messenger) dialWebSocket(ctx context.Context, vm samphireturn.VM) (*websocket.Conn, error) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.dialFunc(vm.Peer), MaxResponseHeaderBytes: maxHeadBytes}
	c, _, err := websocket.Dial(ctx, "ws://"+vm.Peer+"/peer", &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	return c, err
}

// dialFunc returns a dial function that ignores its address argument, so that Dial
// receives the peer address exactly as it was listed.
func (m *Messenger) dialFunc(addr string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		c, err := m.Dial(ctx, addr)
		if err != nil || m.TLS == nil {
			return c, err
		}
		config := m.TLS.Clone()
		if config.ServerName == "" {
			config.ServerName, _, _ = net.SplitHostPort(addr)
		}
		return tls.Client(c, config), nil
	}
}

// servePeer serves GET /peer.
func (m *Messenger) servePeer(w http.ResponseWriter, r *http.Request) {
	if !m.startHandler() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	defer m.wg.Done()
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.reportFailure(r.RemoteAddr, &Error{Op: "accept", Kind: KindConnFailed, Err: err})
		return
	}
	handshakeCtx, cancel := context.WithTimeout(m.ctx, m.HandshakeTimeout)
	defer cancel()
	id, err := m.handshakeAccept(handshakeCtx, webSocket{c})
	if err != nil {
		_ = c.CloseNow()
		m.reportFailure(id+" "+r.RemoteAddr, err)
		return
	}
	m.serveLink(id, "", c, func() error { return sendMessage(handshakeCtx, webSocket{c}, &welcome{OK: true}) })
}

// reportFailure counts and logs a link that was not established.
func (m *Messenger) reportFailure(peer string, err error) {
	reason := "broken"
	var e *Error
	if errors.As(err, &e) {
		reason = [...]string{"key", "listen", "proof", "hello", "frame", "broken"}[e.Kind]
	}
	reasons.Add(reason, 1)
	m.Log.Warn().Str("peer", peer).Str("reason", reason).Err(err).Msg("peer link refused or failed")
}
