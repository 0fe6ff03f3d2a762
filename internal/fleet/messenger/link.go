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
	// stateWithdrawn means that the frame will not be written.
	stateWithdrawn
)

type (
	// item is a frame on its way to the peer.
	item struct {
		frame *encoder.Frame
		data  []byte
		state atomic.Int32
	}

	// link is one proved connection.
	link struct {
		peer string
		// seed is the address that was dialled without knowing the peer's id.
		seed  string
		conn  *websocket.Conn
		queue chan *item
		// heard is when the last frame came, in nanoseconds since 1970.
		heard atomic.Int64
		done  chan struct{}
		once  sync.Once

		mu      sync.Mutex
		waiting map[uint64]chan *encoder.Frame
	}
)

// linked returns the live link to a peer, or nil.
func (m *Messenger) linked(id string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[id]
}

// serveLink registers a proved connection in place of an earlier one and
// serves it until it breaks. The function ready, if any, runs in between.
func (m *Messenger) serveLink(peer, seed string, c *websocket.Conn, ready func() error) {
	c.SetReadLimit(encoder.SizeLimit)
	l := &link{
		peer:    peer,
		seed:    seed,
		conn:    c,
		queue:   make(chan *item, QueueLimit),
		done:    make(chan struct{}),
		waiting: make(map[uint64]chan *encoder.Frame),
	}
	l.heard.Store(m.Now().UnixNano())
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
		old.end()
	}
	m.links[peer] = l
	m.mu.Unlock()
	m.Log.Info().Str("peer", peer).Msg("peer linked")
	var loops sync.WaitGroup
	loops.Go(func() { m.writeLoop(l) })
	loops.Go(func() { m.pingLoop(l) })
	m.readLoop(l)
	l.end()
	m.mu.Lock()
	if m.links[peer] == l {
		delete(m.links, peer)
	}
	m.mu.Unlock()
	loops.Wait()
	m.Log.Info().Str("peer", peer).Msg("peer link ended")
}

// end breaks the link. It may be called many times and does not wait.
func (l *link) end() {
	l.once.Do(func() {
		close(l.done)
		go func() { _ = l.conn.CloseNow() }()
	})
}

// push queues an item; false if the link broke or ctx ended first.
func (l *link) push(ctx context.Context, it *item) bool {
	select {
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	case l.queue <- it:
		return true
	}
}

func (m *Messenger) writeLoop(l *link) {
	defer l.end()
	for {
		var it *item
		select {
		case <-l.done:
			return
		case it = <-l.queue:
		}
		if !it.state.CompareAndSwap(stateQueued, stateWritten) {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, SilentPings*m.PingTime)
		err := l.conn.Write(ctx, websocket.MessageBinary, it.data)
		cancel()
		if err != nil {
			return
		}
		topic := m.label(it.frame)
		sentBytes.Add(topic, int64(len(it.data)))
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
		l.heard.Store(m.Now().UnixNano())
		topic := m.label(f)
		receivedBytes.Add(topic, int64(len(data)))
		receivedMessages.Add(topic, 1)
		m.dispatch(l, f)
	}
}

// dispatch acts on one frame without blocking the read loop.
func (m *Messenger) dispatch(l *link, f *encoder.Frame) {
	switch f.Kind {
	case encoder.FrameCall:
		m.take(l, f)
	case encoder.FrameReply, encoder.FrameError:
		l.settle(f)
	case encoder.FramePing:
		m.offer(l, &encoder.Frame{Version: encoder.Version, Kind: encoder.FramePong})
	}
}

// settle gives a reply to the call that waits for it. A reply that nobody
// waits for is thrown away and counted.
func (l *link) settle(f *encoder.Frame) {
	l.mu.Lock()
	reply := l.waiting[f.Call]
	delete(l.waiting, f.Call)
	l.mu.Unlock()
	if reply == nil {
		reasons.Add("unmatched", 1)
		return
	}
	reply <- f
}

// offer queues a frame unless the queue is full.
func (m *Messenger) offer(l *link, f *encoder.Frame) {
	data, err := encoder.Marshal(f)
	if err != nil {
		return
	}
	select {
	case l.queue <- &item{frame: f, data: data}:
	default:
		reasons.Add("full", 1)
	}
}

// pingLoop sends pings and ends the link once it has been silent too long.
func (m *Messenger) pingLoop(l *link) {
	tick := time.NewTicker(m.PingTime)
	defer tick.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-tick.C:
		}
		silent := time.Duration(m.Now().UnixNano() - l.heard.Load())
		if silent >= SilentPings*m.PingTime {
			reasons.Add("silent", 1)
			m.Log.Warn().Str("peer", l.peer).Dur("silent", silent).Msg("peer link silent")
			l.end()
			return
		}
		m.offer(l, &encoder.Frame{Version: encoder.Version, Kind: encoder.FramePing})
	}
}

// label returns the counters' key of a frame; topics that this daemon does not
// handle share one, so that a peer can't add keys.
func (m *Messenger) label(f *encoder.Frame) string {
	if f.Kind == encoder.FramePing || f.Kind == encoder.FramePong {
		return "ping"
	}
	if _, ok := m.handlers[f.Topic]; ok {
		return f.Topic
	}
	return "other"
}
