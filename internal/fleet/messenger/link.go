package messenger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"samphireturn/internal/fleet/encoder"
)

// States of a queued frame.
const (
	stateQueued int32 = iota
	// stateWritten means that the peer may have received the frame.
	stateWritten
	// stateCancelled means that the frame will not be written.
	stateCancelled
)

type (
	// queuedFrame is an encoded frame that is queued for a link.
	queuedFrame struct {
		frame *encoder.Frame
		data  []byte
		state atomic.Int32
	}

	// link is an authenticated connection to a peer.
	link struct {
		peer string
		// seed is the address that was dialled without the peer's id, or empty.
		seed  string
		conn  *websocket.Conn
		queue chan *queuedFrame
		// lastReceived is the time of the last received frame, in nanoseconds since
		// 1970.
		lastReceived atomic.Int64
		done         chan struct{}
		closeOnce    sync.Once

		mu sync.Mutex
		// pending holds the channel for the reply to each call, by call id.
		pending map[uint64]chan *encoder.Frame
	}
)

// linkTo returns the live link to a peer, or nil.
func (m *Messenger) linkTo(id string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[id]
}

// serveLink registers an authenticated connection, which replaces an earlier one to the
// peer, and serves it until it breaks. It first calls ready, if that is not nil.
func (m *Messenger) serveLink(peer, seed string, c *websocket.Conn, ready func() error) {
	c.SetReadLimit(encoder.MaxMessageBytes)
	l := &link{
		peer:    peer,
		seed:    seed,
		conn:    c,
		queue:   make(chan *queuedFrame, MaxQueuedFrames),
		done:    make(chan struct{}),
		pending: make(map[uint64]chan *encoder.Frame),
	}
	l.lastReceived.Store(m.Now().UnixNano())
	if ready != nil && ready() != nil {
		_ = c.CloseNow()
		return
	}
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		_ = c.CloseNow()
		return
	}
	if old := m.links[peer]; old != nil {
		reasons.Add("replaced", 1)
		old.close()
	}
	m.links[peer] = l
	m.mu.Unlock()
	m.Log.Info().Str("peer", peer).Msg("peer linked")
	var loops sync.WaitGroup
	loops.Go(func() { m.writeLoop(l) })
	loops.Go(func() { m.pingLoop(l) })
	m.readLoop(l)
	l.close()
	m.mu.Lock()
	if m.links[peer] == l {
		delete(m.links, peer)
	}
	m.mu.Unlock()
	loops.Wait()
	m.Log.Info().Str("peer", peer).Msg("peer link ended")
}

// close breaks the link. It may be called repeatedly and does not wait.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		go func() { _ = l.conn.CloseNow() }()
	})
}

// enqueue queues a frame. It returns false if the link broke or ctx ended first.
func (l *link) enqueue(ctx context.Context, queued *queuedFrame) bool {
	select {
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	case l.queue <- queued:
		return true
	}
}

func (m *Messenger) writeLoop(l *link) {
	defer l.close()
	for {
		var queued *queuedFrame
		select {
		case <-l.done:
			return
		case queued = <-l.queue:
		}
		if !queued.state.CompareAndSwap(stateQueued, stateWritten) {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, MaxSilentPings*m.PingInterval)
		err := l.conn.Write(ctx, websocket.MessageBinary, queued.data)
		cancel()
		if err != nil {
			return
		}
		topic := m.counterKey(queued.frame)
		sentBytes.Add(topic, int64(len(queued.data)))
		sentMessages.Add(topic, 1)
	}
}

func (m *Messenger) readLoop(l *link) {
	for {
		kind, data, err := l.conn.Read(m.ctx)
		if err != nil {
			return
		}
		f, err := encoder.UnmarshalFrame(data)
		if err != nil || kind != websocket.MessageBinary {
			reasons.Add("frame", 1)
			m.Log.Warn().Str("peer", l.peer).Err(err).Msg("invalid frame, link closed")
			return
		}
		l.lastReceived.Store(m.Now().UnixNano())
		topic := m.counterKey(f)
		receivedBytes.Add(topic, int64(len(data)))
		receivedMessages.Add(topic, 1)
		m.handleFrame(l, f)
	}
}

// handleFrame acts on one frame without blocking the read loop.
func (m *Messenger) handleFrame(l *link, f *encoder.Frame) {
	switch f.Kind {
	case encoder.FrameCall:
		m.acceptCall(l, f)
	case encoder.FrameReply, encoder.FrameError:
		l.deliverReply(f)
	case encoder.FramePing:
		m.tryEnqueue(l, &encoder.Frame{Version: encoder.Version, Kind: encoder.FramePong})
	}
}

// deliverReply passes a reply to the call that waits for it. A reply without a waiting
// call is dropped and counted.
func (l *link) deliverReply(f *encoder.Frame) {
	l.mu.Lock()
	reply := l.pending[f.Call]
	delete(l.pending, f.Call)
	l.mu.Unlock()
	if reply == nil {
		reasons.Add("unmatched", 1)
		return
	}
	reply <- f
}

// tryEnqueue queues a frame unless the queue is full.
func (m *Messenger) tryEnqueue(l *link, f *encoder.Frame) {
	data, err := encoder.Marshal(f)
	if err != nil {
		return
	}
	select {
	case l.queue <- &queuedFrame{frame: f, data: data}:
	default:
		reasons.Add("full", 1)
	}
}

// pingLoop sends pings and closes a link on which no frame has arrived for
// MaxSilentPings intervals.
func (m *Messenger) pingLoop(l *link) {
	tick := time.NewTicker(m.PingInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-tick.C:
		}
		idle := time.Duration(m.Now().UnixNano() - l.lastReceived.Load())
		if idle >= MaxSilentPings*m.PingInterval {
			reasons.Add("silent", 1)
			m.Log.Warn().Str("peer", l.peer).Dur("silent", idle).Msg("peer link silent")
			l.close()
			return
		}
		m.tryEnqueue(l, &encoder.Frame{Version: encoder.Version, Kind: encoder.FramePing})
	}
}

// counterKey returns the expvar key of a frame. Topics that this daemon does not handle
// share one key, so that a peer cannot add keys.
func (m *Messenger) counterKey(f *encoder.Frame) string {
	if f.Kind == encoder.FramePing || f.Kind == encoder.FramePong {
		return "ping"
	}
	if _, ok := m.handlers[f.Topic]; ok {
		return f.Topic
	}
	return "other"
}
