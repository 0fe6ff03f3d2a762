package messenger

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

const fleetKey = "a fleet key of tests"

type (
	// network joins pipe listeners by address.
	network struct {
		mu        sync.Mutex
		listeners map[string]*listener
		conns     []*gate
	}

	listener struct {
		addr  string
		conns chan net.Conn
		done  chan struct{}
		once  sync.Once
	}

	// gate is a connection that can be made silent: writes vanish.
	gate struct {
		net.Conn
		silent atomic.Bool
	}

	text struct {
		Text string `cbor:"t"`
	}
)

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (g *gate) Write(p []byte) (int, error) {
	if g.silent.Load() {
		return len(p), nil
	}
	return g.Conn.Write(p)
}

func (n *network) listen(addr string) net.Listener {
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	l := n.listeners[addr]
	if l == nil {
		return nil, errors.New("no listener")
	}
	near, far := net.Pipe()
	g := &gate{Conn: near}
	select {
	case l.conns <- far:
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, g)
	return g, nil
}

func (n *network) opened() []*gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns
}

// start runs one daemon for each VM; all are told of all.
func start(t *testing.T, n *network, keys []string, vms ...samphireturn.VM) []*Messenger {
	var all []*Messenger
	for i, vm := range vms {
		m := New(vm, keys[i%len(keys)], zerolog.Nop())
		m.Dial = n.dial
		m.Listener = n.listen(vm.Peer)
		m.Rand = func() float64 { return 0 }
		m.Handle("echo", func(_ context.Context, from string, body []byte) (any, error) {
			var in text
			if err := encoder.Unmarshal(body, &in); err != nil {
				return nil, err
			}
			if in.Text == "sleep" {
				time.Sleep(2 * time.Second)
			}
			return text{Text: vm.ID + " " + from + " " + in.Text}, nil
		})
		qt.Assert(t, m.Run(context.Background()), qt.IsNil)
		all = append(all, m)
	}
	for _, m := range all {
		m.SetMembers(vms)
	}
	time.Sleep(time.Second)
	synctest.Wait()
	return all
}

func stop(all []*Messenger) {
	for _, m := range all {
		_ = m.Close()
	}
}

func count(reason string) string {
	if v := reasons.Get(reason); v != nil {
		return v.String()
	}
	return "0"
}

func vm(id, centre string) samphireturn.VM {
	return samphireturn.VM{ID: id, Centre: centre, Peer: id + ":1", Role: samphireturn.RoleEntry}
}

func newNetwork() *network { return &network{listeners: make(map[string]*listener)} }

func TestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := start(t, newNetwork(), []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stop(all)
		c.Assert(all[0].Connected(), qt.DeepEquals, []string{"b"})
		c.Assert(all[1].Connected(), qt.DeepEquals, []string{"a"})
		var calls sync.WaitGroup
		for _, in := range []string{"sleep", "1", "2", "3"} {
			calls.Go(func() {
				var out text
				c.Check(all[1].Call(context.Background(), "a", "echo", text{in}, &out), qt.IsNil)
				c.Check(out.Text, qt.Equals, "a b "+in)
			})
		}
		calls.Wait()
		err := all[0].Call(context.Background(), "z", "echo", text{}, nil)
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnavailable)
		err = all[0].Call(context.Background(), "b", "none", text{}, nil)
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnavailable)
	})
}

func TestKeyRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		before := count("proof")
		all := start(t, newNetwork(), []string{fleetKey, "some other key of tests"}, vm("a", "x"), vm("b", "x"))
		defer stop(all)
		c.Assert(all[0].Connected(), qt.HasLen, 0)
		c.Assert(all[1].Connected(), qt.HasLen, 0)
		c.Assert(count("proof"), qt.Not(qt.Equals), before)
	})
}

// TestImpostor speaks the handshake without the key and ignores the
// acceptor's proof.
func TestImpostor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		all := start(t, n, []string{fleetKey}, vm("a", "x"))
		defer stop(all)
		fake := New(vm("b", "x"), "some other key of tests", zerolog.Nop())
		fake.Dial = n.dial
		conn := open(c, fake, "a")
		before := count("proof")
		h := hello{Version: encoder.Version, From: "b", To: "a", Nonce: make([]byte, nonceSize)}
		c.Assert(send(t.Context(), conn, &h), qt.IsNil)
		var ch challenge
		c.Assert(receive(t.Context(), conn, &ch), qt.IsNil)
		// The acceptor's own proof, sent back, must not serve either.
		c.Assert(send(t.Context(), conn, &answer{Proof: ch.Proof}), qt.IsNil)
		c.Assert(receive(t.Context(), conn, &welcome{}), qt.IsNotNil)
		c.Assert(all[0].Connected(), qt.HasLen, 0)
		c.Assert(count("proof"), qt.Not(qt.Equals), before)
		_ = conn.CloseNow()
	})
}

func open(c *qt.C, m *Messenger, to string) *websocket.Conn {
	conn, err := m.dialSocket(context.Background(), samphireturn.VM{Peer: to + ":1"})
	c.Assert(err, qt.IsNil)
	return conn
}

func TestTruncatedFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := start(t, newNetwork(), []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stop(all)
		before := count("frame")
		l := all[0].linked("b")
		f := &encoder.Frame{Version: encoder.Version, Kind: encoder.FrameCall, Topic: "echo"}
		data, err := encoder.Marshal(f)
		c.Assert(err, qt.IsNil)
		c.Assert(l.push(t.Context(), &item{frame: f, data: data[:len(data)-1]}), qt.IsTrue)
		synctest.Wait()
		c.Assert(count("frame"), qt.Not(qt.Equals), before)
		time.Sleep(2 * time.Second)
		c.Assert(all[0].Call(t.Context(), "b", "echo", text{"again"}, nil), qt.IsNil)
	})
}

func TestSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		all := start(t, n, []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stop(all)
		before := count("silent")
		n.opened()[0].silent.Store(true)
		start := time.Now()
		err := all[0].Call(t.Context(), "b", "echo", text{"lost"}, nil)
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnknown)
		c.Assert(time.Since(start) <= (SilentPings+1)*all[0].PingTime, qt.IsTrue)
		c.Assert(count("silent"), qt.Not(qt.Equals), before)
		time.Sleep(2 * time.Second)
		c.Assert(n.opened(), qt.HasLen, 2)
		c.Assert(all[0].Call(t.Context(), "b", "echo", text{"again"}, nil), qt.IsNil)
	})
}

func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		vms := []samphireturn.VM{
			vm("a", "x"), vm("b", "x"), vm("c", "x"), vm("d", "x"),
			vm("e", "y"), vm("f", "y"), vm("g", "y"), vm("h", "y"),
		}
		all := start(t, newNetwork(), []string{fleetKey}, vms...)
		defer stop(all)
		links := 0
		for _, m := range all {
			links += len(m.Connected())
			for _, to := range vms {
				if to.ID == m.self.ID {
					continue
				}
				var out text
				c.Assert(m.Call(t.Context(), to.ID, "echo", text{"hi"}, &out), qt.IsNil)
				c.Assert(out.Text, qt.Equals, to.ID+" "+m.self.ID+" hi")
			}
		}
		c.Assert(links, qt.Equals, 2*(6+6+relayCount*relayCount))
	})
}
