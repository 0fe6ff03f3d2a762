package messenger

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
)

// maxRelayHops bounds the links that a relayed call crosses after the first one.
const maxRelayHops = 2

// Call sends body to the named daemon and decodes its reply into reply, which may be
// nil. KindUnavailable means that the call was not delivered, or that the handler
// returned that kind; KindUnknown means that it may have been delivered.
func (m *Messenger) Call(ctx context.Context, to, topic string, body, reply any) error {
	op := "call " + topic + " at " + to
	data, err := encoder.Marshal(body)
	if err != nil {
		return &samphireturn.Error{Op: op, Kind: samphireturn.KindInvalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, m.CallTimeout)
	defer cancel()
	f := &encoder.Frame{Topic: topic, Body: data, From: m.self.ID, To: to, HopsLeft: maxRelayHops}
	answer, err := m.route(ctx, f)
	if err != nil {
		return &samphireturn.Error{Op: op, Kind: samphireturn.KindOf(err), Err: err}
	}
	if reply == nil {
		return nil
	}
	if err := encoder.Unmarshal(answer.Body, reply); err != nil {
		return &samphireturn.Error{Op: op, Kind: samphireturn.KindUnknown, Err: err}
	}
	return nil
}

// route sends a call over the first link that accepts it. It tries the next link only if
// the call was certainly not delivered.
func (m *Messenger) route(ctx context.Context, f *encoder.Frame) (*encoder.Frame, error) {
	var last error
	for _, l := range m.candidateLinks(f) {
		answer, err := m.roundTrip(ctx, l, f)
		if err == nil {
			return answer, nil
		}
		last = err
		if samphireturn.KindOf(err) != samphireturn.KindUnavailable || ctx.Err() != nil {
			return nil, err
		}
	}
	if last != nil {
		return nil, last
	}
	reasons.Add("route", 1)
	return nil, &samphireturn.Error{Op: "route to " + f.To, Kind: samphireturn.KindUnavailable}
}

// candidateLinks returns the links that may carry a call, in order of preference: the
// direct link, else the links to the daemons of the target's data centre, relays first,
// and for a call that starts here those to the relays of this data centre.
func (m *Messenger) candidateLinks(f *encoder.Frame) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[f.To]; l != nil {
		return []*link{l}
	}
	i := slices.IndexFunc(m.members, func(vm samphireturn.VM) bool { return vm.ID == f.To })
	if i < 0 || m.members[i].Centre == m.self.Centre || f.HopsLeft <= 0 {
		return nil
	}
	centre := m.members[i].Centre
	ids := ranker.Rank("relay/"+centre, ranker.InCentre(centre, m.members))
	if f.HopsLeft == maxRelayHops {
		own := ranker.InCentre(m.self.Centre, m.members)
		ids = append(ids, relaysOf(m.self.Centre, own)...)
	}
	var found []*link
	for _, id := range ids {
		if l := m.links[id]; l != nil && id != f.From {
			found = append(found, l)
		}
	}
	return found
}

// roundTrip sends a call over one link and waits for its reply.
func (m *Messenger) roundTrip(ctx context.Context, l *link, f *encoder.Frame) (*encoder.Frame, error) {
	out := *f
	out.Version = encoder.Version
	out.Kind = encoder.FrameCall
	out.Call = m.lastCallID.Add(1)
	out.HopsLeft = f.HopsLeft
	if l.peer == f.To && f.From == m.self.ID {
		out.From, out.To, out.HopsLeft = "", "", 0
	} else {
		out.HopsLeft--
	}
	if deadline, ok := ctx.Deadline(); ok {
		out.TimeoutMs = max(1, deadline.Sub(m.Now()).Milliseconds())
	}
	data, err := encoder.Marshal(&out)
	if err != nil {
		return nil, &samphireturn.Error{Op: "encode call", Kind: samphireturn.KindInvalid, Err: err}
	}
	reply := make(chan *encoder.Frame, 1)
	l.mu.Lock()
	l.pending[out.Call] = reply
	l.mu.Unlock()
	defer l.removePending(out.Call)
	queued := &queuedFrame{frame: &out, data: data}
	if !l.enqueue(ctx, queued) {
		return nil, &samphireturn.Error{Op: "send to " + l.peer, Kind: samphireturn.KindUnavailable, Err: ctx.Err()}
	}
	select {
	case answer := <-reply:
		return m.checkReply(l, answer)
	case <-ctx.Done():
	case <-l.done:
	}
	select {
	case answer := <-reply:
		return m.checkReply(l, answer)
	default:
	}
	kind := samphireturn.KindUnknown
	if queued.state.CompareAndSwap(stateQueued, stateCancelled) {
		kind = samphireturn.KindUnavailable
	}
	return nil, &samphireturn.Error{Op: "reply of " + l.peer, Kind: kind, Err: ctx.Err()}
}

func (l *link) removePending(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, call)
}

// checkReply returns the reply, or the error that a FrameError carries.
func (m *Messenger) checkReply(l *link, f *encoder.Frame) (*encoder.Frame, error) {
	if f.Kind == encoder.FrameReply {
		return f, nil
	}
	err := &samphireturn.Error{Op: "reply of " + l.peer, Kind: samphireturn.Kind(f.ErrorKind)}
	if f.ErrorText != "" {
		err.Err = errors.New(f.ErrorText)
	}
	return nil, err
}

// acceptCall runs a call from a peer: on the read goroutine if its topic is in
// InlineTopics, otherwise on a worker pool.
func (m *Messenger) acceptCall(l *link, f *encoder.Frame) {
	relayed := f.To != "" && f.To != m.self.ID
	if !relayed && slices.Contains(m.InlineTopics, f.Topic) {
		m.handle(m.ctx, l, f)
		return
	}
	pool := m.callPool
	if relayed {
		pool = m.relayPool
	}
	m.wg.Add(1)
	err := pool.Go(func() {
		defer m.wg.Done()
		ctx, cancel := context.WithTimeout(m.ctx, m.callTimeout(f))
		defer cancel()
		if relayed {
			m.relay(ctx, l, f)
			return
		}
		m.handle(ctx, l, f)
	})
	if err != nil {
		m.wg.Done()
		reasons.Add("overload", 1)
		m.sendError(l, f, &samphireturn.Error{Op: "accept " + f.Topic, Kind: samphireturn.KindUnavailable, Err: err})
	}
}

// callTimeout returns the time that the caller of f waits, at most CallTimeout.
func (m *Messenger) callTimeout(f *encoder.Frame) time.Duration {
	if f.TimeoutMs <= 0 || f.TimeoutMs > m.CallTimeout.Milliseconds() {
		return m.CallTimeout
	}
	return time.Duration(f.TimeoutMs) * time.Millisecond
}

// handle runs the topic's handler and sends its reply.
func (m *Messenger) handle(ctx context.Context, l *link, f *encoder.Frame) {
	h, ok := m.handlers[f.Topic]
	if !ok {
		reasons.Add("topic", 1)
		m.sendError(l, f, &samphireturn.Error{Op: "handle " + f.Topic, Kind: samphireturn.KindUnavailable})
		return
	}
	from := l.peer
	if f.From != "" {
		from = f.From
	}
	value, err := m.callHandler(ctx, h, from, f)
	if err != nil {
		m.sendError(l, f, err)
		return
	}
	body, err := encoder.Marshal(value)
	if err != nil {
		m.sendError(l, f, err)
		return
	}
	m.sendReply(l, &encoder.Frame{Kind: encoder.FrameReply, Call: f.Call, Topic: f.Topic, Body: body})
}

// callHandler calls a handler. A panic of it is an error of this call alone: what one peer
// sends must not end the process.
func (m *Messenger) callHandler(ctx context.Context, h samphireturn.Handler, from string, f *encoder.Frame) (value any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			reasons.Add("panic", 1)
			m.Log.Error().Str("peer", from).Str("topic", f.Topic).Any("cause", cause).Bytes("stack", debug.Stack()).Msg("handler panicked")
			err = &samphireturn.Error{Op: "handle " + f.Topic, Kind: samphireturn.KindUnknown}
		}
	}()
	return h(ctx, from, f.Body)
}

// relay forwards a call and sends its reply back.
func (m *Messenger) relay(ctx context.Context, l *link, f *encoder.Frame) {
	answer, err := m.route(ctx, f)
	if err != nil {
		m.sendError(l, f, err)
		return
	}
	m.sendReply(l, &encoder.Frame{Kind: encoder.FrameReply, Call: f.Call, Topic: f.Topic, Body: answer.Body})
}

func (m *Messenger) sendError(l *link, f *encoder.Frame, err error) {
	kind := int(samphireturn.KindOf(err))
	m.sendReply(l, &encoder.Frame{Kind: encoder.FrameError, Call: f.Call, Topic: f.Topic, ErrorKind: kind, ErrorText: err.Error()})
}

// sendReply queues a reply. It closes a link whose queue is full, so that the caller
// gets an error at once instead of a timeout.
func (m *Messenger) sendReply(l *link, f *encoder.Frame) {
	f.Version = encoder.Version
	data, err := encoder.Marshal(f)
	if err != nil {
		m.Log.Error().Err(err).Str("topic", f.Topic).Msg("reply not encodable")
		l.close()
		return
	}
	select {
	case l.queue <- &queuedFrame{frame: f, data: data}:
	default:
		reasons.Add("full", 1)
		l.close()
	}
}
