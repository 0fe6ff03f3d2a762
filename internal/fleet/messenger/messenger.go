// Package messenger carries messages between daemons over WebSocket links.
//
// A link carries frames only after both ends have proved that they know the fleet key.
// Of two daemons the one with the lower id dials, so that each pair has one link. The
// daemons of a data centre are fully meshed; data centres are connected by two relays
// each.
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
	// MaxHeaderBytes bounds the headers of a request to the peer listener.
	MaxHeaderBytes = 8 << 10
	// HeaderTimeout bounds the time to read such headers.
	HeaderTimeout = 5 * time.Second
	// MaxQueuedFrames bounds the frames queued for one link.
	MaxQueuedFrames = 256
	// MaxSilentPings is the number of ping intervals without a received frame after which
	// a link is closed.
	MaxSilentPings = 3
	// MinKeyBytes is the least size of a fleet key.
	MinKeyBytes = 16
)

// Kinds of errors.
const (
	// KindKey means that the fleet key is missing or too short.
	KindKey Kind = iota
	// KindListen means that the messenger cannot listen on the peer address.
	KindListen
	// KindProof means that the peer did not prove the fleet key.
	KindProof
	// KindWrongPeer means that the peer is another daemon than expected or uses another
	// protocol version.
	KindWrongPeer
	// KindInvalidMessage means that the peer sent a message that cannot be decoded.
	KindInvalidMessage
	// KindConnFailed means that the connection failed.
	KindConnFailed
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

	// Error is an error of a link or of the messenger's setup.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Messenger implements samphireturn.Peers. Set the exported fields before Run.
	Messenger struct {
		Log zerolog.Logger
		// Dial opens a connection to a peer address.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
		// Listener accepts peers; if nil, Run listens on the VM's peer address.
		Listener net.Listener
		// TLS, if not nil, is used both for accepted and for dialled connections.
		TLS *tls.Config
		Now func() time.Time
		// Rand returns a number in [0, 1) for the jitter of retries.
		Rand func() float64
		// AcceptedKeys are the fleet keys accepted from other daemons, in addition to
		// this daemon's own key.
		AcceptedKeys []string
		// Seeds are peer addresses that are dialled until the members include this
		// daemon.
		Seeds []string
		// Nonces is the source of handshake nonces.
		Nonces io.Reader
		// PingInterval is the time between two pings on a link.
		PingInterval time.Duration
		// HandshakeTimeout bounds a dial with its handshake, and the handshake of an
		// accepted link.
		HandshakeTimeout time.Duration
		// CallTimeout bounds each call, beside the deadline of its context.
		CallTimeout time.Duration
		// MinBackoff and MaxBackoff bound the wait before a peer is dialled again.
		MinBackoff, MaxBackoff time.Duration
		// MaxHandlers bounds the handlers that run at a time, and separately the relayed
		// calls in flight.
		MaxHandlers int
		// InlineTopics names the topics whose handlers never block and call no peer.
		// They run on the goroutine that reads the connection, in order of arrival.
		InlineTopics []string

		self       samphireturn.VM
		key        []byte
		handlers   map[string]samphireturn.Handler
		ctx        context.Context
		cancel     context.CancelFunc
		server     *http.Server
		callPool   pond.Pool
		relayPool  pond.Pool
		lastCallID atomic.Uint64
		wg         sync.WaitGroup
		streams    *streamListener

		mu      sync.Mutex
		closed  bool
		members []samphireturn.VM
		// listed is true while the members include this daemon.
		listed  bool
		links   map[string]*link
		dialers map[string]*dialer
	}
)

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	names := [...]string{"fleet key too short", "cannot listen", "fleet key not proved", "not the expected daemon", "invalid message", "connection failed"}
	text := e.Op + ": " + names[e.Kind]
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a messenger for the daemon self, which shares key with its fleet.
func New(self samphireturn.VM, key string, log zerolog.Logger) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		Log:              log,
		Dial:             dialTCP,
		Now:              time.Now,
		Rand:             mathrand.Float64,
		Nonces:           rand.Reader,
		PingInterval:     time.Second,
		HandshakeTimeout: 5 * time.Second,
		CallTimeout:      10 * time.Second,
		MinBackoff:       100 * time.Millisecond,
		MaxBackoff:       3 * time.Second,
		MaxHandlers:      64,
		self:             self,
		key:              []byte(key),
		handlers:         make(map[string]samphireturn.Handler),
		links:            make(map[string]*link),
		dialers:          make(map[string]*dialer),
		ctx:              ctx,
		cancel:           cancel,
		streams:          &streamListener{queue: make(chan net.Conn), done: make(chan struct{}), addr: peerName(self.Peer)},
	}
}

// Handle registers the handler of a topic. It must be called before Run.
func (m *Messenger) Handle(topic string, h samphireturn.Handler) { m.handlers[topic] = h }

// Run starts to accept and to dial peers.
func (m *Messenger) Run(context.Context) error {
	tooShort := func(key string) bool { return len(key) < MinKeyBytes }
	if len(m.key) < MinKeyBytes || slices.ContainsFunc(m.AcceptedKeys, tooShort) {
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
	m.callPool = pond.NewPool(m.MaxHandlers, pond.WithQueueSize(MaxQueuedFrames), pond.WithNonBlocking(true))
	m.relayPool = pond.NewPool(m.MaxHandlers, pond.WithQueueSize(MaxQueuedFrames), pond.WithNonBlocking(true))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", m.servePeer)
	mux.HandleFunc("GET "+streamPath, m.serveStream)
	m.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       HeaderTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
	m.wg.Go(m.serve)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateDialers()
	m.dialSeeds()
	return nil
}

// Close breaks every link and waits for handlers and goroutines to end. The pools need
// no stop: they keep no goroutine once their tasks are done.
func (m *Messenger) Close() error {
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	m.cancel()
	err := m.streams.Close()
	if m.server != nil {
		err = errors.Join(err, m.server.Close())
	}
	m.wg.Wait()
	return err
}

// SetMembers sets the daemons of the fleet and dials those that this daemon should be
// linked with. While the members do not include this daemon, it dials every daemon of
// its data centre, since the others may not know it yet and would not dial it.
func (m *Messenger) SetMembers(members []samphireturn.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = slices.Clone(members)
	m.listed = m.isMember(m.self.ID)
	if m.server != nil && !m.closed {
		m.updateDialers()
	}
}

// Connected returns the sorted ids of the daemons with a live link.
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

// startHandler adds a goroutine that Close waits for. It returns false once the
// messenger is closed.
func (m *Messenger) startHandler() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.wg.Add(1)
	return true
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
