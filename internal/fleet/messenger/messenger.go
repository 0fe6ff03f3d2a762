// Package messenger carries messages between daemons over WebSocket links.
//
// A link bears frames only after both ends have proved the fleet key. Of two
// daemons the one with the lower id dials, so that there is one link a pair.
// Daemons of a data centre are fully meshed; data centres are joined by two
// relays each.
package messenger

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"expvar"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"samphireturn"
)

const (
	// HeaderLimit bounds the headers of a request to the peer listener, in bytes.
	HeaderLimit = 8 << 10
	// HeaderTime bounds the reading of such headers.
	HeaderTime = 5 * time.Second
	// QueueLimit bounds the frames that wait for one link.
	QueueLimit = 256
	// SilentPings is the number of ping periods without any frame after which a
	// link counts as silent.
	SilentPings = 3
	// KeySize is the least size of a fleet key in bytes.
	KeySize = 16
)

// Kinds of errors.
const (
	// KindKey says that the fleet key is missing or too short.
	KindKey Kind = iota
	// KindListen says that the peer address can't be listened on.
	KindListen
	// KindProof says that the other end did not prove the fleet key.
	KindProof
	// KindHello says that the other end is not the daemon wanted.
	KindHello
	// KindFrame says that the other end sent no valid message.
	KindFrame
	// KindLink says that the connection failed.
	KindLink
)

var (
	reasons          = expvar.NewMap("messenger_reason")
	sentBytes        = expvar.NewMap("messenger_sent_bytes")
	sentMessages     = expvar.NewMap("messenger_sent_messages")
	receivedBytes    = expvar.NewMap("messenger_received_bytes")
	receivedMessages = expvar.NewMap("messenger_received_messages")
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of the messenger's links.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Messenger implements samphireturn.Peers. Set the exported fields before
	// Run.
	Messenger struct {
		Log zerolog.Logger
		// Dial opens a connection to a peer address.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
		// Listener accepts peers; if nil, Run listens on the VM's peer address.
		Listener net.Listener
		// TLS, if set, is used on both the accepting and the dialling side.
		TLS *tls.Config
		Now func() time.Time
		// Rand returns a number from 0 up to 1 for the jitter of retries.
		Rand func() float64
		// AcceptedKeys are accepted as fleet keys of other daemons, in addition to this
		// daemon's own.
		AcceptedKeys []string
		// Seeds are peer addresses that are dialled while the members do not hold
		// this daemon.
		Seeds []string
		// Nonces is the source of handshake nonces.
		Nonces io.Reader
		// PingTime is the period of pings.
		PingTime time.Duration
		// HandshakeTimeout bounds a dial and each handshake.
		HandshakeTimeout time.Duration
		// CallTime bounds a call whose context has no deadline.
		CallTime time.Duration
		// MinBackoff and MaxBackoff bound the wait before another dial.
		MinBackoff, MaxBackoff time.Duration
		// Workers bounds the handlers under way, and as many relayed calls.
		Workers int
		// InlineTopics names the topics whose handlers never block and call no peer. They
		// run on the goroutine that reads the connection, in order of arrival.
		InlineTopics []string

		self     samphireturn.VM
		key      []byte
		handlers map[string]samphireturn.Handler
		ctx      context.Context
		cancel   context.CancelFunc
		server   *http.Server
		work     pond.Pool
		relays   pond.Pool
		calls    atomic.Uint64
		wait     sync.WaitGroup

		mu      sync.Mutex
		closed  bool
		members []samphireturn.VM
		// listed is true once the members have held this daemon.
		listed  bool
		links   map[string]*link
		dialers map[string]*dialer
	}
)

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	names := [...]string{"fleet key too short", "can't listen", "fleet key not proved", "not the daemon wanted", "invalid message", "link broken"}
	text := e.Op + ": " + names[e.Kind]
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a messenger for the daemon self that shares key with its fleet.
func New(self samphireturn.VM, key string, log zerolog.Logger) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		Log:              log,
		Dial:             dialTCP,
		Now:              time.Now,
		Rand:             mathrand.Float64,
		Nonces:           rand.Reader,
		PingTime:         time.Second,
		HandshakeTimeout: 5 * time.Second,
		CallTime:         10 * time.Second,
		MinBackoff:       100 * time.Millisecond,
		MaxBackoff:       3 * time.Second,
		Workers:          64,
		self:             self,
		key:              []byte(key),
		handlers:         make(map[string]samphireturn.Handler),
		links:            make(map[string]*link),
		dialers:          make(map[string]*dialer),
		ctx:              ctx,
		cancel:           cancel,
	}
}

// Handle registers the handler of a topic. It must be called before Run.
func (m *Messenger) Handle(topic string, h samphireturn.Handler) { m.handlers[topic] = h }

// Run starts to accept and to dial peers.
func (m *Messenger) Run(context.Context) error {
	short := func(key string) bool { return len(key) < KeySize }
	if len(m.key) < KeySize || slices.ContainsFunc(m.AcceptedKeys, short) {
		return &Error{Op: "run", Kind: KindKey}
	}
	if m.Listener == nil {
		l, err := net.Listen("tcp", m.self.Peer)
		if err != nil {
			return &Error{Op: "listen on " + m.self.Peer, Kind: KindListen, Err: err}
		}
		m.Listener = l
	}
	if m.TLS != nil {
		m.Listener = tls.NewListener(m.Listener, m.TLS)
	}
	m.work = pond.NewPool(m.Workers, pond.WithQueueSize(QueueLimit), pond.WithNonBlocking(true))
	m.relays = pond.NewPool(m.Workers, pond.WithQueueSize(QueueLimit), pond.WithNonBlocking(true))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", m.accept)
	m.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: HeaderTime,
		IdleTimeout:       HeaderTime,
		MaxHeaderBytes:    HeaderLimit,
	}
	m.wait.Go(m.serve)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dialWanted()
	m.dialSeeds()
	return nil
}

// Close breaks every link and waits for handlers and goroutines to end. The
// pools need no stop: they hold no goroutine once their tasks are done.
func (m *Messenger) Close() error {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		l.end()
	}
	m.mu.Unlock()
	m.cancel()
	var err error
	if m.server != nil {
		err = m.server.Close()
	}
	m.wait.Wait()
	return err
}

// SetMembers tells the daemons of the fleet and dials those that this daemon is
// to be linked with. While they do not hold this daemon, which the others then
// may not know either, it dials all of its data centre.
func (m *Messenger) SetMembers(members []samphireturn.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = slices.Clone(members)
	m.listed = m.holds(m.self.ID)
	if m.server != nil && !m.closed {
		m.dialWanted()
	}
}

// Connected returns the ids of the daemons with a live link, in order.
func (m *Messenger) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]string, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Messenger) serve() {
	err := m.server.Serve(m.Listener)
	if !errors.Is(err, http.ErrServerClosed) {
		m.Log.Error().Err(err).Msg("peer listener failed")
	}
}

// enter counts a goroutine that Close must wait for; false once closed.
func (m *Messenger) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.wait.Add(1)
	return true
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
