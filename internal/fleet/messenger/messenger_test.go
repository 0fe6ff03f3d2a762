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
	// network connects listeners by address through in-memory pipes.
	network struct {
		mu        sync.Mutex
		listeners map[string]*listener
		conns     []*lossyConn
	}

	listener struct {
		addr  string
		conns chan net.Conn
		done  chan struct{}
		once  sync.Once
	}

	// lossyConn is a connection that can drop all that is written to it.
	lossyConn struct {
		net.Conn
		dropWrites atomic.Bool
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

func (g *lossyConn) Write(p []byte) (int, error) {
	if g.dropWrites.Load() {
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
	client, server := net.Pipe()
	g := &lossyConn{Conn: client}
	select {
	case l.conns <- server:
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

func (n *network) dialled() []*lossyConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns
}

// startAll runs one daemon for each VM and gives all of them the full member list.
func startAll(t *testing.T, n *network, keys []string, vms ...samphireturn.VM) []*Messenger {
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

func stopAll(all []*Messenger) {
	for _, m := range all {
		_ = m.Close()
	}
}

func reasonCount(reason string) string {
	if v := reasons.Get(reason); v != nil {
		return v.String()
	}
	return "0"
}

func vm(id, centre string) samphireturn.VM {
	return samphireturn.VM{ID: id, Centre: centre, Peer: id + ":1", Role: samphireturn.RoleEntry}
}

func newNetwork() *network { return &network{listeners: make(map[string]*listener)} }

// TestCall checks that each reply reaches its own call while several are in flight, and
// that calls to an unknown daemon or topic return KindUnavailable.
func TestCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := startAll(t, newNetwork(), []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stopAll(all)
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

// TestHandlerPanic guards against a message of a peer that ends the process: the call fails, and
// later ones are handled.
func TestHandlerPanic(t *testing.T) {
	tests := []struct {
		name   string
		inline []string
	}{
		{"worker", nil},
		{"goroutine of the connection", []string{"panic"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				all := startAll(t, newNetwork(), []string{fleetKey}, vm("a", "x"), vm("b", "x"))
				defer stopAll(all)
				all[0].InlineTopics = test.inline
				all[0].Handle("panic", func(context.Context, string, []byte) (any, error) { panic("malformed message") })
				for range 2 {
					err := all[1].Call(context.Background(), "a", "panic", text{}, nil)
					c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnknown)
				}
				var out text
				c.Assert(all[1].Call(context.Background(), "a", "echo", text{"1"}, &out), qt.IsNil)
				c.Check(out.Text, qt.Equals, "a b 1")
			})
		})
	}
}

// TestKeyRefused checks that daemons with different fleet keys make no link.
func TestKeyRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		before := reasonCount("proof")
		all := startAll(t, newNetwork(), []string{fleetKey, "some other key of tests"}, vm("a", "x"), vm("b", "x"))
		defer stopAll(all)
		c.Assert(all[0].Connected(), qt.HasLen, 0)
		c.Assert(all[1].Connected(), qt.HasLen, 0)
		c.Assert(reasonCount("proof"), qt.Not(qt.Equals), before)
	})
}

// TestImpostor runs the dialler's handshake without the fleet key and ignores the
// acceptor's proof. The acceptor must refuse it.
func TestImpostor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		all := startAll(t, n, []string{fleetKey}, vm("a", "x"))
		defer stopAll(all)
		fake := New(vm("b", "x"), "some other key of tests", zerolog.Nop())
		fake.Dial = n.dial
		conn := dialAt(c, fake, "a")
		before := reasonCount("proof")
		h := hello{Version: encoder.Version, From: "b", To: "a", Nonce: make([]byte, nonceSize)}
		c.Assert(sendMessage(t.Context(), webSocket{conn}, &h), qt.IsNil)
		var ch challenge
		c.Assert(receiveMessage(t.Context(), webSocket{conn}, &ch), qt.IsNil)
		// The acceptor's own proof, replayed to it, must be refused too.
		c.Assert(sendMessage(t.Context(), webSocket{conn}, &response{Proof: ch.Proof}), qt.IsNil)
		c.Assert(receiveMessage(t.Context(), webSocket{conn}, &welcome{}), qt.IsNotNil)
		c.Assert(all[0].Connected(), qt.HasLen, 0)
		c.Assert(reasonCount("proof"), qt.Not(qt.Equals), before)
		_ = conn.CloseNow()
	})
}

func dialAt(c *qt.C, m *Messenger, to string) *websocket.Conn {
	conn, err := m.dialWebSocket(context.Background(), samphireturn.VM{Peer: to + ":1"})
	c.Assert(err, qt.IsNil)
	return conn
}

// TestTruncatedFrame checks that a frame that cannot be decoded is counted, and that calls
// succeed again soon after.
func TestTruncatedFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := startAll(t, newNetwork(), []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stopAll(all)
		before := reasonCount("frame")
		l := all[0].linkTo("b")
		f := &encoder.Frame{Version: encoder.Version, Kind: encoder.FrameCall, Topic: "echo"}
		data, err := encoder.Marshal(f)
		c.Assert(err, qt.IsNil)
		c.Assert(l.enqueue(t.Context(), &queuedFrame{frame: f, data: data[:len(data)-1]}), qt.IsTrue)
		synctest.Wait()
		c.Assert(reasonCount("frame"), qt.Not(qt.Equals), before)
		time.Sleep(2 * time.Second)
		c.Assert(all[0].Call(t.Context(), "b", "echo", text{"again"}, nil), qt.IsNil)
	})
}

// TestSilentLink has a link drop what the dialling daemon writes. The link must be closed
// after MaxSilentPings intervals and a call on it return KindUnknown then, and a new link
// must be made.
func TestSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork()
		all := startAll(t, n, []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stopAll(all)
		before := reasonCount("silent")
		n.dialled()[0].dropWrites.Store(true)
		start := time.Now()
		err := all[0].Call(t.Context(), "b", "echo", text{"lost"}, nil)
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnknown)
		c.Assert(time.Since(start) <= (MaxSilentPings+1)*all[0].PingInterval, qt.IsTrue)
		c.Assert(reasonCount("silent"), qt.Not(qt.Equals), before)
		time.Sleep(2 * time.Second)
		c.Assert(n.dialled(), qt.HasLen, 2)
		c.Assert(all[0].Call(t.Context(), "b", "echo", text{"again"}, nil), qt.IsNil)
	})
}

// TestRelay checks that daemons of two data centres reach each other, although only the
// relays have links between the data centres.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		vms := []samphireturn.VM{
			vm("a", "x"), vm("b", "x"), vm("c", "x"), vm("d", "x"),
			vm("e", "y"), vm("f", "y"), vm("g", "y"), vm("h", "y"),
		}
		all := startAll(t, newNetwork(), []string{fleetKey}, vms...)
		defer stopAll(all)
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
