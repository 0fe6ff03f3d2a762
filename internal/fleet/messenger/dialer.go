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

// dialer keeps a link to one peer.
type dialer struct {
	vm     samphireturn.VM
	cancel context.CancelFunc
}

// relaysOf returns the ids of a data centre's relays.
func relaysOf(centre string, members []samphireturn.VM) []string {
	ids := ranker.Rank("relay/"+centre, ranker.InCentre(centre, members))
	return ids[:min(len(ids), relayCount)]
}

// wanted returns the daemons that this one is to be linked with, by id. The
// caller holds mu.
func (m *Messenger) wanted() map[string]samphireturn.VM {
	all := m.members
	want := make(map[string]samphireturn.VM)
	relay := slices.Contains(relaysOf(m.self.Centre, all), m.self.ID)
	relays := make(map[string][]string)
	for _, vm := range all {
		if vm.ID == m.self.ID || vm.Peer == "" {
			continue
		}
		if vm.Centre == m.self.Centre {
			want[vm.ID] = vm
			continue
		}
		if !relay {
			continue
		}
		if _, ok := relays[vm.Centre]; !ok {
			relays[vm.Centre] = relaysOf(vm.Centre, all)
		}
		if slices.Contains(relays[vm.Centre], vm.ID) {
			want[vm.ID] = vm
		}
	}
	return want
}

// dialWanted starts and stops dialers to match the members. A link to a daemon
// that is missing from the members stays until it breaks. The caller holds mu.
func (m *Messenger) dialWanted() {
	want := m.wanted()
	for id, d := range m.dialers {
		if vm, ok := want[id]; ok && vm.Peer == d.vm.Peer {
			continue
		}
		d.cancel()
		delete(m.dialers, id)
		if l := m.links[id]; l != nil && m.holds(id) {
			l.end()
		}
	}
	for id, l := range m.links {
		if _, ok := want[id]; m.listed && l.seed != "" && !ok {
			l.end()
		}
	}
	for id, vm := range want {
		if m.dialers[id] != nil || m.listed && id < m.self.ID {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		d := &dialer{vm: vm, cancel: cancel}
		m.dialers[id] = d
		m.wait.Go(func() { m.keep(ctx, d.vm, always) })
	}
}

// holds reports whether a daemon is among the members. The caller holds mu.
func (m *Messenger) holds(id string) bool {
	return slices.ContainsFunc(m.members, func(vm samphireturn.VM) bool { return vm.ID == id })
}

// dialSeeds starts to dial the seeds until this daemon is listed. The caller
// holds mu.
func (m *Messenger) dialSeeds() {
	for i, addr := range m.Seeds {
		if addr == m.self.Peer || slices.Contains(m.Seeds[:i], addr) {
			continue
		}
		m.wait.Go(func() { m.keep(m.ctx, samphireturn.VM{Peer: addr}, m.unlisted) })
	}
}

// seeded reports whether the daemon at a seed's address is linked.
func (m *Messenger) seeded(addr string) bool {
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

// unlisted reports whether no list of members has held this daemon so far.
func (m *Messenger) unlisted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listed
}

func always() bool { return true }

// keep dials a peer until ctx ends or it is not wanted any more, and again after
// each break. The wait doubles with every failure up to RetryMax and is jittered
// by half.
func (m *Messenger) keep(ctx context.Context, vm samphireturn.VM, wanted func() bool) {
	wait := m.MinBackoff
	for ctx.Err() == nil && wanted() {
		start := m.Now()
		err := m.connect(ctx, vm)
		if m.Now().Sub(start) > m.MaxBackoff {
			wait = m.MinBackoff
		}
		if err != nil && ctx.Err() == nil {
			m.refuse(cmp.Or(vm.ID, vm.Peer), err)
		}
		pause := time.NewTimer(time.Duration((0.5 + m.Rand()/2) * float64(wait)))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
		wait = min(2*wait, m.MaxBackoff)
	}
}

// connect dials a peer and serves the link until it breaks. The peer's id may be
// empty: then whoever proves the fleet key at the address is the peer.
func (m *Messenger) connect(ctx context.Context, vm samphireturn.VM) error {
	seed := ""
	if vm.ID == "" {
		seed = vm.Peer
	}
	if m.linked(vm.ID) != nil || seed != "" && m.seeded(seed) {
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, m.HandshakeTimeout)
	defer cancel()
	c, err := m.dialSocket(limit, vm)
	if err != nil {
		return &Error{Op: "dial " + cmp.Or(vm.ID, vm.Peer), Kind: KindLink, Err: err}
	}
	id, err := m.introduce(limit, c, vm.ID)
	if err != nil {
		_ = c.CloseNow()
		return err
	}
	m.serveLink(id, seed, c, nil)
	return nil
}

// dialSocket opens a WebSocket to a peer, with no handshake of the fleet yet.
func (m *Messenger) dialSocket(ctx context.Context, vm samphireturn.VM) (*websocket.Conn, error) {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: m.dialPeer(vm.Peer)}
	c, _, err := websocket.Dial(ctx, "ws://"+vm.Peer+"/peer", &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport},
	})
	return c, err
}

// dialPeer returns a dial function that ignores the address it is given, so
// that the peer address is passed to Dial as it was listed.
func (m *Messenger) dialPeer(addr string) func(context.Context, string, string) (net.Conn, error) {
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

// accept serves GET /peer.
func (m *Messenger) accept(w http.ResponseWriter, r *http.Request) {
	if !m.enter() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	defer m.wait.Done()
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.refuse(r.RemoteAddr, &Error{Op: "accept", Kind: KindLink, Err: err})
		return
	}
	limit, cancel := context.WithTimeout(m.ctx, m.HandshakeTimeout)
	defer cancel()
	id, err := m.admit(limit, c)
	if err != nil {
		_ = c.CloseNow()
		m.refuse(id+" "+r.RemoteAddr, err)
		return
	}
	m.serveLink(id, "", c, func() error { return send(limit, c, &welcome{OK: true}) })
}

// refuse counts and logs a link that was not made.
func (m *Messenger) refuse(peer string, err error) {
	reason := "broken"
	var e *Error
	if errors.As(err, &e) {
		reason = [...]string{"key", "listen", "proof", "hello", "frame", "broken"}[e.Kind]
	}
	reasons.Add(reason, 1)
	m.Log.Warn().Str("peer", peer).Str("reason", reason).Err(err).Msg("peer link refused or failed")
}
