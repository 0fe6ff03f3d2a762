package messenger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"samphireturn"
)

const (
	// streamPath is the path of requests that turn their connection into a stream of bytes,
	// and streamProtocol the protocol that they name.
	streamPath     = "/stream"
	streamProtocol = "samphireturn-stream"
	// maxHeadBytes bounds the head of the answer to such a request, and to one that opens a
	// link: another process may answer at the address of a daemon that is gone.
	maxHeadBytes = 4 << 10
)

// streamListener accepts the streams that peers open.
type streamListener struct {
	queue chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

// peerName is the net.Addr of a daemon's peer address.
type peerName string

// Network implements net.Addr.
func (peerName) Network() string { return "tcp" }

// String implements net.Addr.
func (n peerName) String() string { return string(n) }

// Streams returns a listener of the connections that other daemons open with DialStream.
// They are closed at once after its Close.
func (m *Messenger) Streams() net.Listener { return m.streams }

// DialStream opens a connection of its own to a daemon, for bytes of any protocol. Each end
// proves the fleet key, as on a link. Errors are of type *Error.
func (m *Messenger) DialStream(ctx context.Context, to samphireturn.VM) (net.Conn, error) {
	conn, err := m.dialFunc(to.Peer)(ctx, "tcp", to.Peer)
	if err != nil {
		return nil, &Error{Op: "dial stream to " + to.ID, Kind: KindConnFailed, Err: err}
	}
	if err := m.openStream(ctx, conn, to); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// openStream runs the dialler's side of the opening of a stream.
func (m *Messenger) openStream(ctx context.Context, conn net.Conn, to samphireturn.VM) error {
	stream := byteStream{conn}
	if err := stream.setDeadline(ctx); err != nil {
		return &Error{Op: "open stream", Kind: KindConnFailed, Err: err}
	}
	request := "GET " + streamPath + " HTTP/1.1\r\nHost: " + to.Peer + "\r\nConnection: Upgrade\r\nUpgrade: " + streamProtocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return &Error{Op: "open stream", Kind: KindConnFailed, Err: err}
	}
	reader := bufio.NewReader(io.LimitReader(conn, maxHeadBytes))
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return &Error{Op: "open stream", Kind: KindConnFailed, Err: err}
	}
	if res.StatusCode != http.StatusSwitchingProtocols || reader.Buffered() > 0 {
		return &Error{Op: "open stream", Kind: KindWrongPeer, Err: errors.Errorf("status %d", res.StatusCode)}
	}
	if _, err := m.handshakeDial(ctx, stream, to.ID); err != nil {
		return err
	}
	return stream.setDeadline(context.Background())
}

// serveStream serves a request that opens a stream.
func (m *Messenger) serveStream(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != streamProtocol {
		http.Error(w, "unknown protocol", http.StatusBadRequest)
		return
	}
	if !m.startHandler() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	defer m.wg.Done()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		m.reportFailure(r.RemoteAddr, &Error{Op: "accept stream", Kind: KindConnFailed, Err: err})
		return
	}
	id, err := m.acceptStream(conn, buffered.Reader.Buffered())
	if err != nil {
		_ = conn.Close()
		m.reportFailure(id+" "+r.RemoteAddr, err)
		return
	}
	select {
	case m.streams.queue <- conn:
	case <-m.streams.done:
		_ = conn.Close()
	}
}

// acceptStream runs the acceptor's side of the opening of a stream, on a connection of which
// some bytes may have been read already. It returns the id that the peer proved.
func (m *Messenger) acceptStream(conn net.Conn, buffered int) (string, error) {
	ctx, cancel := context.WithTimeout(m.ctx, m.HandshakeTimeout)
	defer cancel()
	if buffered > 0 {
		return "", &Error{Op: "accept stream", Kind: KindInvalidMessage}
	}
	stream := byteStream{conn}
	if err := stream.setDeadline(ctx); err != nil {
		return "", &Error{Op: "accept stream", Kind: KindConnFailed, Err: err}
	}
	head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + streamProtocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return "", &Error{Op: "accept stream", Kind: KindConnFailed, Err: err}
	}
	id, err := m.handshakeAccept(ctx, stream)
	if err != nil {
		return id, err
	}
	if err := sendMessage(ctx, stream, &welcome{OK: true}); err != nil {
		return id, err
	}
	return id, stream.setDeadline(context.Background())
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return l.addr }
