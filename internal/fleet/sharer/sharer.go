// Package sharer tells the daemons of a fleet of each other's work and of the
// answers that releases gave.
//
// Daemons of a data centre exchange their own reports; relays exchange the sums
// of their data centres and pass them on within. A report is sent as a call and
// answered by the other's report, so that an answer is dated by when it was
// asked for. Sums of counts that only grow are safe to hear twice or late.
package sharer

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/stager"
)

const (
	// Topic is the topic of reports.
	Topic = "share"
	// Period is the time between two reports to a peer: a few times shorter than
	// the second within which endpoints fill up.
	Period = 300 * time.Millisecond
	// CallTime bounds one exchange.
	CallTime = time.Second
	// FreshTime is how long a report counts.
	FreshTime = 2 * time.Second
)

var exchanges = expvar.NewMap("sharer_exchange")

type (
	// Report is the work and the evidence of one daemon, or their sum over a data
	// centre.
	Report struct {
		Loads   map[string]balancer.Load `cbor:"1,keyasint,omitempty"`
		Tallies []stager.Tally           `cbor:"2,keyasint,omitempty"`
		// Age is how old the report was when it was sent, in milliseconds.
		Age int64 `cbor:"3,keyasint,omitempty"`
	}

	// Message is what one daemon tells another.
	Message struct {
		Centre string `cbor:"1,keyasint"`
		// Own is the sender's own report, to daemons of its data centre, or the sum
		// of its data centre.
		Own Report `cbor:"2,keyasint"`
		// Far holds the sums of other data centres.
		Far map[string]Report `cbor:"3,keyasint,omitempty"`
	}

	// Sharer is a service. Set the exported fields before Run.
	Sharer struct {
		Peers    samphireturn.Peers
		Control  samphireturn.Control
		Balancer *balancer.Balancer
		Stager   *stager.Stager
		Self     samphireturn.VM
		Log      zerolog.Logger
		// Clock counts suspensions too.
		Clock func() time.Duration

		mu     sync.Mutex
		near   map[string]dated
		far    map[string]dated
		busy   map[string]bool
		cancel context.CancelFunc
		wait   sync.WaitGroup
	}

	// dated is a report with the time from which it is true.
	dated struct {
		Report
		at time.Duration
	}
)

// Register registers the handler of reports. It must be called before the peers
// run.
func (s *Sharer) Register() {
	s.near, s.far, s.busy = make(map[string]dated), make(map[string]dated), make(map[string]bool)
	s.Peers.Handle(Topic, s.handle)
}

// Run starts to share.
func (s *Sharer) Run(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.wait.Go(func() { s.loop(ctx) })
	return nil
}

// Close stops and waits.
func (s *Sharer) Close() error {
	s.cancel()
	s.wait.Wait()
	return nil
}

func (s *Sharer) loop(ctx context.Context) {
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, id := range s.Peers.Connected() {
			s.exchange(ctx, id)
		}
		s.merge()
	}
}

// exchange calls a peer unless the last call to it still waits.
func (s *Sharer) exchange(ctx context.Context, id string) {
	centre := s.centre(id)
	if centre == "" {
		return
	}
	s.mu.Lock()
	busy := s.busy[id]
	s.busy[id] = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.wait.Go(func() {
		defer func() {
			s.mu.Lock()
			delete(s.busy, id)
			s.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, CallTime)
		defer cancel()
		sent := s.Clock()
		var reply Message
		if err := s.Peers.Call(ctx, id, Topic, s.message(centre), &reply); err != nil {
			exchanges.Add("failed", 1)
			s.Log.Debug().Str("event", logger.EventShareFailed).Str("peer", id).Err(err).Send()
			return
		}
		exchanges.Add("done", 1)
		s.take(id, reply, sent)
	})
}

// handle answers a peer's report with our own.
func (s *Sharer) handle(_ context.Context, from string, body []byte) (any, error) {
	var m Message
	if err := encoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	s.take(from, m, s.Clock())
	return s.message(m.Centre), nil
}

// centre returns the data centre of a daemon, or "" if it is not known.
func (s *Sharer) centre(id string) string {
	for _, m := range s.Control.Snapshot().Members {
		if m.ID == id {
			return m.Centre
		}
	}
	return ""
}

// mine returns this daemon's own report.
func (s *Sharer) mine() Report {
	return Report{Loads: s.Balancer.Mine(), Tallies: s.Stager.Mine()}
}

// message returns what a daemon of a data centre is to be told.
func (s *Sharer) message(centre string) Message {
	m := Message{Centre: s.Self.Centre, Own: s.mine()}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	if centre != s.Self.Centre {
		for _, r := range s.near {
			if now-r.at < FreshTime {
				m.Own.add(r.Report)
			}
		}
		return m
	}
	m.Far = make(map[string]Report, len(s.far))
	for name, r := range s.far {
		if now-r.at < FreshTime {
			out := r.Report
			out.Age = (now - r.at).Milliseconds()
			m.Far[name] = out
		}
	}
	return m
}

// take keeps what a daemon told.
func (s *Sharer) take(from string, m Message, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Centre != s.Self.Centre {
		s.far[m.Centre] = newer(s.far[m.Centre], dated{m.Own, at})
		return
	}
	s.near[from] = newer(s.near[from], dated{m.Own, at})
	for name, r := range m.Far {
		if name != s.Self.Centre {
			s.far[name] = newer(s.far[name], dated{r, at - time.Duration(r.Age)*time.Millisecond})
		}
	}
}

// newer returns the newer of two reports.
func newer(a, b dated) dated {
	if a.at > b.at {
		return a
	}
	return b
}

// merge gives the sum of all other daemons to the balancer and the stager.
func (s *Sharer) merge() {
	s.mu.Lock()
	now := s.Clock()
	sum := Report{Loads: make(map[string]balancer.Load)}
	for _, reports := range []map[string]dated{s.near, s.far} {
		for name, r := range reports {
			if now-r.at >= FreshTime {
				delete(reports, name)
				continue
			}
			sum.add(r.Report)
		}
	}
	s.mu.Unlock()
	s.Balancer.SetOthers(sum.Loads)
	s.Stager.SetOthers(sum.Tallies)
}

// add adds another report.
func (r *Report) add(o Report) {
	if r.Loads == nil {
		r.Loads = make(map[string]balancer.Load, len(o.Loads))
	}
	for id, l := range o.Loads {
		sum := r.Loads[id]
		sum.Calls += l.Calls
		sum.Tokens += l.Tokens
		sum.Backlog += l.Backlog
		r.Loads[id] = sum
	}
	r.Tallies = stager.Sum(r.Tallies, o.Tallies)
}
