package messenger

import (
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
	ids := ranker.Rank("relay/"+centre, ranker.Within(centre, members))
	return ids[:min(len(ids), relayCount)]
}

// wanted returns the daemons that this one is to be linked with, by id. The
// caller holds mu.
func (m *Messenger) wanted() map[string]samphireturn.VM {
	all := m.members
	if !slices.ContainsFunc(all, func(vm samphireturn.VM) bool { return vm.ID == m.self.ID }) {
		all = append(slices.Clone(all), m.self)
	}
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
		listed := slices.ContainsFunc(m.members, func(vm samphireturn.VM) bool { return vm.ID == id })
		if l := m.links[id]; l != nil && listed {
			l.end()
		}
	}
	for id, vm := range want {
		if m.dialers[id] != nil || id < m.self.ID {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		d := &dialer{vm: vm, cancel: cancel}
		m.dialers[id] = d
		m.wait.Go(func() { m.keep(ctx, d.vm) })
	}
}

// keep dials a peer until ctx ends, and again after each break. The wait
// doubles with every failure up to RetryMax and is jittered by half.
func (m *Messenger) keep(ctx context.Context, vm samphireturn.VM) {
	wait := m.RetryMin
	for ctx.Err() == nil {
		start := m.Now()
		err := m.connect(ctx, vm)
		if m.Now().Sub(start) > m.RetryMax {
			wait = m.RetryMin
		}
		if err != nil && ctx.Err() == nil {
			m.refuse(vm.ID, err)
		}
		pause := time.NewTimer(time.Duration((0.5 + m.Rand()/2) * float64(wait)))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
		wait = min(2*wait, m.RetryMax)
	}
}

// connect dials a peer and serves the link until it breaks.
func (m *Messenger) connect(ctx context.Context, vm samphireturn.VM) error {
	if m.linked(vm.ID) != nil {
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, m.HandshakeTime)
	defer cancel()
	c, err := m.dialSocket(limit, vm)
	if err != nil {
		return &Error{Op: "dial " + vm.ID, Kind: KindLink, Err: err}
	}
	if err := m.introduce(limit, c, vm.ID); err != nil {
		_ = c.CloseNow()
		return err
	}
	m.serveLink(vm.ID, c, nil)
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
	limit, cancel := context.WithTimeout(m.ctx, m.HandshakeTime)
	defer cancel()
	id, err := m.admit(limit, c)
	if err != nil {
		_ = c.CloseNow()
		m.refuse(id+" "+r.RemoteAddr, err)
		return
	}
	m.serveLink(id, c, func() error { return send(limit, c, &welcome{OK: true}) })
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
