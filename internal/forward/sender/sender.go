// Package sender sends HTTP/1.1 requests to endpoints over persistent connections,
// one request at a time on each, and reads the heads of their answers.
//
// Each error says whether the endpoint can have read any byte of the request. A
// connection is reused only if the request was written completely and the answer
// ended as its head announced, with no bytes after it.
package sender

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"samphireturn"
	"samphireturn/internal/core/rationer"
	"samphireturn/internal/core/scanner"
)

// Kinds of errors.
const (
	// KindDial means that no connection could be opened.
	KindDial Kind = iota
	// KindNotSent means that the connection failed before a byte was written.
	KindNotSent
	// KindConnLost means that the connection failed after bytes were written.
	KindConnLost
	// KindMismatched means that the answer belongs to another request.
	KindMismatched
	// KindCancelled means that the context ended.
	KindCancelled
)

const (
	// DialTimeout bounds the opening of a connection. A round trip within the region
	// takes a few milliseconds. TCP retransmits a lost SYN only after a second, so
	// another endpoint is tried earlier.
	DialTimeout = 400 * time.Millisecond
	// UnackedTimeout is how long written bytes and keep-alive probes may stay unacknowledged
	// before a connection fails. A sound endpoint may be silent for a second or so.
	UnackedTimeout = 2500 * time.Millisecond
	// idleReuseShare is the share of the endpoint's idle timeout in which a connection
	// is reused; the rest covers clock differences and network delay.
	idleReuseShare = 0.6
	// defaultIdleTimeout is assumed if the endpoint does not report its idle timeout.
	defaultIdleTimeout = 3 * time.Second
	// maxOnceIdle bounds the idle time of a connection that is reused for a request
	// that must not be retried.
	maxOnceIdle = 500 * time.Millisecond
	// maxInlineBody is the longest body in bytes that is written before the answer is
	// read: it fits in the send buffer of a socket.
	maxInlineBody = 32 << 10
	// maxCarried bounds the requests that a connection remembers.
	maxCarried = 16
	// maxStrayAnswers bounds the number of answers to other requests that are skipped
	// before the expected one.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 256 << 10
)

var (
	failures = expvar.NewMap("sender_failure")
	opened   = expvar.NewInt("sender_opened")
	reused   = expvar.NewInt("sender_reused")

	// keepAlive finds idle connections to a host that is lost. UnackedTimeout also decides when
	// its probes give up, whatever Count.
	keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is the type of all errors of Sender.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Call is one request to one endpoint.
	Call struct {
		Host   *samphireturn.Host
		ID     string
		Method string
		// Target is the request target (path and query) as the caller sent it.
		Target string
		// Authority is the value of the Host header.
		Authority string
		Header    http.Header
		Body      []byte
		// HasBody is true if the request has a body, which may be empty.
		HasBody bool
		// Once is true if the request must not be retried.
		Once bool
	}

	// Sender sends requests and pools idle connections. It is safe for concurrent
	// use. Set the exported fields before the first call.
	Sender struct {
		// EndpointProtocol decodes the heads of answers.
		EndpointProtocol samphireturn.EndpointProtocol
		// Dial opens connections; nil means TCP.
		Dial func(ctx context.Context, network, addr string) (net.Conn, error)
		// Clock is a monotonic clock that also advances while the machine is
		// suspended; nil means the monotonic clock of package time.
		Clock func() time.Duration
		// Answers bounds the memory of the heads of answers until their bodies are closed.
		Answers *rationer.Rationer
		// OnAnswer, if not nil, is called with the head of each answer that an endpoint
		// sends, before Send returns, also of one to another request.
		OnAnswer func(h *samphireturn.Host, meta samphireturn.ResponseMeta)

		mu sync.Mutex
		// idle holds the idle connections by connKey, the last used one at the end.
		idle   map[string][]*conn
		closed bool
		// wait counts the requests that are being written in the background.
		wait sync.WaitGroup
	}

	// conn is one connection to an endpoint.
	conn struct {
		net.Conn
		reader *bufio.Reader
		// readsHead is true while the head of an answer is read, which the scanner checks, and whose
		// memory the share holds.
		readsHead bool
		scanner   scanner.Scanner
		share     *rationer.Share
		// headErr is why the head can't be read on. Its parser may try to.
		headErr    error
		key        string
		idleSince  time.Duration
		reuseUntil time.Duration
		// carried holds the ids of the last requests that were sent.
		carried []string
	}
)

var errNoRoom = errors.New("no room for the head of the answer")

// Read implements io.Reader. It fails if the head of an answer is malformed, too long or without room.
func (c *conn) Read(p []byte) (int, error) {
	if c.readsHead && c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.Conn.Read(p)
	if !c.readsHead {
		return n, err
	}
	if err := c.scan(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// scan checks the next bytes of the head of an answer.
func (c *conn) scan(p []byte) error {
	c.headErr = c.scanner.Scan(p)
	if c.headErr == nil && !c.share.Hold(c.scanner.Cost()) {
		c.headErr = errNoRoom
	}
	return c.headErr
}

// readHead reads the head of an answer to a request with the method.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.readsHead, c.headErr = true, nil
	defer func() { c.readsHead = false }()
	c.scanner.Reset()
	// Some of it may have come with the answer before.
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.scan(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// carry notes that a request is sent on the connection.
func (c *conn) carry(id string) {
	if len(c.carried) == maxCarried {
		c.carried = c.carried[1:]
	}
	c.carried = append(c.carried, id)
}

// String returns the kind's name in logs and counters.
func (k Kind) String() string {
	names := [...]string{"dial", "unread", "broken", "crossed", "ended"}
	return samphireturn.KindText(names[:], int(k))
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotReceived reports whether the endpoint can't have read a byte of the request.
func (e *Error) NotReceived() bool { return e.Kind == KindDial || e.Kind == KindNotSent }

// Refused reports whether the endpoint's address refused the connection, so that no process
// of the endpoint is there.
func (e *Error) Refused() bool {
	return e.Kind == KindDial && (errors.Is(e.Err, syscall.ECONNREFUSED) || errors.Is(e.Err, syscall.ECONNRESET))
}

// Send writes the request and returns the head of its answer. The caller must close
// the body; closing it before its end closes the connection. Errors are of type
// *Error.
func (s *Sender) Send(ctx context.Context, c *Call) (*samphireturn.Response, error) {
	cn, err := s.acquire(ctx, c)
	if err != nil {
		return nil, err
	}
	x := &exchange{sender: s, conn: cn, call: c, share: rationer.Share{Rationer: s.Answers}}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = cn.Close() })
	response, err := x.roundTrip()
	if err != nil {
		x.stopCancel()
		_ = cn.Close()
		x.share.Release()
		kind := AsError(err).Kind
		if ctx.Err() != nil && kind != KindNotSent {
			err = &Error{Op: "send to " + c.Host.ID, Kind: KindCancelled, Err: context.Cause(ctx)}
		}
		failures.Add(AsError(err).Kind.String(), 1)
		return nil, err
	}
	return response, nil
}

// Close closes idle connections and waits for requests that are being written.
func (s *Sender) Close() error {
	s.mu.Lock()
	s.closed = true
	idle := s.idle
	s.idle = nil
	s.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	s.wait.Wait()
	return nil
}

// AsError returns err as an *Error.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Op: "send", Kind: KindConnLost, Err: err}
}

// connKey identifies the connections to one process of an endpoint.
func connKey(h *samphireturn.Host) string { return h.ID + " " + h.Addr }

func (s *Sender) now() time.Duration {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Since(processStart)
}

// processStart is the origin of the default clock.
var processStart = time.Now()

// acquire returns an idle connection that is still usable, or a new one.
func (s *Sender) acquire(ctx context.Context, c *Call) (*conn, error) {
	for {
		cn := s.popIdle(c)
		if cn == nil {
			break
		}
		if idleAndOpen(cn.Conn) && cn.reader.Buffered() == 0 {
			reused.Add(1)
			return cn, nil
		}
		_ = cn.Close()
	}
	return s.open(ctx, c.Host)
}

// open opens a connection.
func (s *Sender) open(ctx context.Context, h *samphireturn.Host) (*conn, error) {
	dial := s.Dial
	if dial == nil {
		dial = DialTCP
	}
	limit, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := dial(limit, "tcp", h.Addr)
	if err != nil {
		failures.Add(KindDial.String(), 1)
		return nil, &Error{Op: "dial " + h.ID, Kind: KindDial, Err: err}
	}
	opened.Add(1)
	cn := &conn{Conn: raw, key: connKey(h)}
	cn.reader = bufio.NewReader(cn)
	return cn, nil
}

// Probe opens a connection to an endpoint and adds it to the idle ones.
func (s *Sender) Probe(ctx context.Context, h *samphireturn.Host) error {
	cn, err := s.open(ctx, h)
	if err != nil {
		return err
	}
	s.putIdle(cn, 0)
	return nil
}

// popIdle returns the idle connection that was used last, or nil. Expired ones are
// closed on the way. One that has carried the request before is left: an endpoint that writes
// its earlier answer once more would be taken to answer the request of now.
func (s *Sender) popIdle(c *Call) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, now := connKey(c.Host), s.now()
	for i := len(s.idle[key]) - 1; i >= 0; i-- {
		cn := s.idle[key][i]
		expired := now >= cn.reuseUntil
		if c.Once && now-cn.idleSince > maxOnceIdle && !expired {
			return nil
		}
		if !expired && slices.Contains(cn.carried, c.ID) {
			continue
		}
		s.idle[key] = slices.Delete(s.idle[key], i, i+1)
		if !expired {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// putIdle adds a connection to the idle ones. idle is the endpoint's idle timeout, or
// 0 if not reported.
func (s *Sender) putIdle(cn *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	cn.idleSince = s.now()
	cn.reuseUntil = cn.idleSince + time.Duration(idleReuseShare*float64(idle))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = cn.Close()
		return
	}
	if s.idle == nil {
		s.idle = make(map[string][]*conn)
	}
	s.idle[cn.key] = append(s.idle[cn.key], cn)
}

// Sweep closes expired idle connections.
func (s *Sender) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for k, conns := range s.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now < c.reuseUntil {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(conns[len(kept):])
		s.idle[k] = kept
		if len(kept) == 0 {
			delete(s.idle, k)
		}
	}
}

// DialTCP opens a TCP connection that fails within seconds once the peer stops
// responding.
func DialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: SetUnackedTimeout}
	return d.DialContext(ctx, network, addr)
}

// SetUnackedTimeout is a Control function of a net.Dialer. It makes a connection fail
// whose written bytes stay unacknowledged for UnackedTimeout.
func SetUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optErr
}

// idleAndOpen reports whether a connection is open and has nothing to read.
func idleAndOpen(c net.Conn) bool {
	var (
		b       [1]byte
		peekErr error
	)
	sc, ok := c.(syscall.Conn)
	if !ok {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		_, peekErr = c.Read(b[:])
		return errors.Is(peekErr, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && (peekErr == unix.EAGAIN || peekErr == unix.EINTR)
}

// writeHeader writes the request line and the header.
func (c *Call) writeHeader(w *bufio.Writer) error {
	_, _ = w.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Authority + "\r\n")
	if c.HasBody || len(c.Body) > 0 {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	if err := c.Header.Write(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}
