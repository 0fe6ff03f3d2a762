package messenger

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
)

// hopLimit bounds the links that a relayed call crosses after its first.
const hopLimit = 2

// Call sends body to the named daemon and decodes its reply into reply, which
// may be nil. KindUnavailable says that the call was surely not delivered (or
// that the handler says so), KindUnknown that it may have been.
func (m *Messenger) Call(ctx context.Context, to, topic string, body, reply any) error {
	op := "call " + topic + " at " + to
	data, err := encoder.Marshal(body)
	if err != nil {
		return &samphireturn.Error{Op: op, Kind: samphireturn.KindInvalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, m.CallTime)
	defer cancel()
	f := &encoder.Frame{Topic: topic, Body: data, From: m.self.ID, To: to, Hops: hopLimit}
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

// route sends a call over the first link that takes it, and on to the next
// only while the call was surely not delivered.
func (m *Messenger) route(ctx context.Context, f *encoder.Frame) (*encoder.Frame, error) {
	var last error
	for _, l := range m.hops(f) {
		answer, err := m.exchange(ctx, l, f)
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

// hops returns the links that may carry a call, best first: the direct one,
// else those to the relays of the daemon's data centre, else those to our own.
func (m *Messenger) hops(f *encoder.Frame) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[f.To]; l != nil {
		return []*link{l}
	}
	i := slices.IndexFunc(m.members, func(vm samphireturn.VM) bool { return vm.ID == f.To })
	if i < 0 || m.members[i].Centre == m.self.Centre || f.Hops <= 0 {
		return nil
	}
	centre := m.members[i].Centre
	ids := ranker.Rank("relay/"+centre, ranker.InCentre(centre, m.members))
	if f.Hops == hopLimit {
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

// exchange sends a call over one link and waits for its reply.
func (m *Messenger) exchange(ctx context.Context, l *link, f *encoder.Frame) (*encoder.Frame, error) {
	out := *f
	out.Version = encoder.Version
	out.Kind = encoder.FrameCall
	out.Call = m.calls.Add(1)
	out.Hops = f.Hops
	if l.peer == f.To && f.From == m.self.ID {
		out.From, out.To, out.Hops = "", "", 0
	} else {
		out.Hops--
	}
	if deadline, ok := ctx.Deadline(); ok {
		out.Wait = max(1, deadline.Sub(m.Now()).Milliseconds())
	}
	data, err := encoder.Marshal(&out)
	if err != nil {
		return nil, &samphireturn.Error{Op: "encode call", Kind: samphireturn.KindInvalid, Err: err}
	}
	reply := make(chan *encoder.Frame, 1)
	l.mu.Lock()
	l.waiting[out.Call] = reply
	l.mu.Unlock()
	defer l.forget(out.Call)
	it := &item{frame: &out, data: data}
	if !l.push(ctx, it) {
		return nil, &samphireturn.Error{Op: "send to " + l.peer, Kind: samphireturn.KindUnavailable, Err: ctx.Err()}
	}
	select {
	case answer := <-reply:
		return m.open(l, answer)
	case <-ctx.Done():
	case <-l.done:
	}
	select {
	case answer := <-reply:
		return m.open(l, answer)
	default:
	}
	kind := samphireturn.KindUnknown
	if it.state.CompareAndSwap(stateQueued, stateWithdrawn) {
		kind = samphireturn.KindUnavailable
	}
	return nil, &samphireturn.Error{Op: "reply of " + l.peer, Kind: kind, Err: ctx.Err()}
}

func (l *link) forget(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, call)
}

// open turns a FrameError into an error.
func (m *Messenger) open(l *link, f *encoder.Frame) (*encoder.Frame, error) {
	if f.Kind == encoder.FrameReply {
		return f, nil
	}
	err := &samphireturn.Error{Op: "reply of " + l.peer, Kind: samphireturn.Kind(f.Failure)}
	if f.Text != "" {
		err.Err = errors.New(f.Text)
	}
	return nil, err
}

// take runs a call that a peer sent, on a worker unless its topic is inline.
func (m *Messenger) take(l *link, f *encoder.Frame) {
	relayed := f.To != "" && f.To != m.self.ID
	if !relayed && slices.Contains(m.InlineTopics, f.Topic) {
		m.handle(m.ctx, l, f)
		return
	}
	pool := m.work
	if relayed {
		pool = m.relays
	}
	m.wait.Add(1)
	err := pool.Go(func() {
		defer m.wait.Done()
		ctx, cancel := context.WithTimeout(m.ctx, m.patience(f))
		defer cancel()
		if relayed {
			m.relay(ctx, l, f)
			return
		}
		m.handle(ctx, l, f)
	})
	if err != nil {
		m.wait.Done()
		reasons.Add("overload", 1)
		m.fail(l, f, &samphireturn.Error{Op: "take " + f.Topic, Kind: samphireturn.KindUnavailable, Err: err})
	}
}

// patience returns how long the caller of f waits, at most CallTime.
func (m *Messenger) patience(f *encoder.Frame) time.Duration {
	if f.Wait <= 0 || f.Wait > m.CallTime.Milliseconds() {
		return m.CallTime
	}
	return time.Duration(f.Wait) * time.Millisecond
}

// handle runs the topic's handler and sends its reply.
func (m *Messenger) handle(ctx context.Context, l *link, f *encoder.Frame) {
	h, ok := m.handlers[f.Topic]
	if !ok {
		reasons.Add("topic", 1)
		m.fail(l, f, &samphireturn.Error{Op: "handle " + f.Topic, Kind: samphireturn.KindUnavailable})
		return
	}
	from := l.peer
	if f.From != "" {
		from = f.From
	}
	value, err := h(ctx, from, f.Body)
	if err != nil {
		m.fail(l, f, err)
		return
	}
	body, err := encoder.Marshal(value)
	if err != nil {
		m.fail(l, f, err)
		return
	}
	m.respond(l, &encoder.Frame{Kind: encoder.FrameReply, Call: f.Call, Topic: f.Topic, Body: body})
}

// relay passes a call on and its reply back.
func (m *Messenger) relay(ctx context.Context, l *link, f *encoder.Frame) {
	answer, err := m.route(ctx, f)
	if err != nil {
		m.fail(l, f, err)
		return
	}
	m.respond(l, &encoder.Frame{Kind: encoder.FrameReply, Call: f.Call, Topic: f.Topic, Body: answer.Body})
}

func (m *Messenger) fail(l *link, f *encoder.Frame, err error) {
	kind := int(samphireturn.KindOf(err))
	m.respond(l, &encoder.Frame{Kind: encoder.FrameError, Call: f.Call, Topic: f.Topic, Failure: kind, Text: err.Error()})
}

// respond queues a reply; a link that can't take it is ended, so that the
// caller does not wait in vain.
func (m *Messenger) respond(l *link, f *encoder.Frame) {
	f.Version = encoder.Version
	data, err := encoder.Marshal(f)
	if err != nil {
		m.Log.Error().Err(err).Str("topic", f.Topic).Msg("reply not encodable")
		l.end()
		return
	}
	select {
	case l.queue <- &item{frame: f, data: data}:
	default:
		reasons.Add("full", 1)
		l.end()
	}
}
