// Package sharer tells the daemons of a fleet of each other's work and of the
// answers that releases gave.
//
// Each daemon reports to the first one of its data centre in rank, its home, and
// gets the sum of all others back; homes exchange the sums of their data centres.
// A report is a call, so that an answer is dated by when it was asked for. Sums of
// counts that only grow are safe to hear twice or late.
package sharer

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/stager"
)

const (
	// Topic is the topic of reports.
	Topic = "share"
	// Period is the time between two reports: a few times shorter than the second
	// within which endpoints fill up.
	Period = 300 * time.Millisecond
	// periodDaemons is the number of daemons of a data centre up to which that
	// holds; beyond it the time grows with their number, so that the home's work
	// does not.
	periodDaemons = 8
	// failedTime is how long a daemon that did not answer is passed over as a home.
	failedTime = 2 * time.Second
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
	}

	// Message is a report of a daemon or of a data centre, or the answer to one.
	Message struct {
		Centre string `cbor:"1,keyasint"`
		Report Report `cbor:"2,keyasint"`
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

		mu sync.Mutex
		// near holds the reports of daemons of this data centre, far the sums of
		// others by data centre.
		near, far map[string]dated
		// total is what the home told.
		total  dated
		failed map[string]time.Duration
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
	s.near, s.far = make(map[string]dated), make(map[string]dated)
	s.failed, s.busy = make(map[string]time.Duration), make(map[string]bool)
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
	for {
		members := s.Control.Snapshot().Members
		near := ranker.InCentre(s.Self.Centre, members)
		if !timekeeper.Sleep(ctx, Period*time.Duration(max(1, len(near)/periodDaemons))) {
			return
		}
		if home := s.home(s.Self.Centre, members); home != s.Self.ID {
			s.exchange(ctx, home, Message{Centre: s.Self.Centre, Report: s.mine()})
		} else {
			s.shareAbroad(ctx, members)
		}
		s.merge()
	}
}

// home returns the daemon of a data centre that adds the others' reports up.
func (s *Sharer) home(centre string, members []samphireturn.VM) string {
	for _, id := range ranker.Rank("share/"+centre, ranker.InCentre(centre, members)) {
		if id == s.Self.ID || !s.failedLately(id) {
			return id
		}
	}
	return s.Self.ID
}

// shareAbroad exchanges sums with the homes of the other data centres.
func (s *Sharer) shareAbroad(ctx context.Context, members []samphireturn.VM) {
	told := map[string]bool{s.Self.Centre: true}
	for _, m := range members {
		if told[m.Centre] {
			continue
		}
		told[m.Centre] = true
		if home := s.home(m.Centre, members); home != s.Self.ID {
			s.exchange(ctx, home, Message{Centre: s.Self.Centre, Report: s.sum("", false)})
		}
	}
}

// failedLately reports whether a daemon did not answer.
func (s *Sharer) failedLately(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.failed[id]
	return ok && s.Clock()-at < failedTime
}

// exchange calls a peer unless the last call to it still waits.
func (s *Sharer) exchange(ctx context.Context, id string, m Message) {
	s.mu.Lock()
	busy := s.busy[id]
	s.busy[id] = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, CallTime)
		defer cancel()
		sent := s.Clock()
		var reply Message
		err := s.Peers.Call(ctx, id, Topic, m, &reply)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, id)
		if err != nil {
			exchanges.Add("failed", 1)
			s.failed[id] = s.Clock()
			s.Log.Debug().Str("event", logger.EventShareFailed).Str("peer", id).Err(err).Send()
			return
		}
		exchanges.Add("done", 1)
		got := dated{reply.Report, sent}
		if reply.Centre == s.Self.Centre {
			s.total = newer(s.total, got)
			return
		}
		s.far[reply.Centre] = newer(s.far[reply.Centre], got)
	})
}

// handle answers a report: a daemon of this data centre is told of all others, one
// of another is told this one's sum.
func (s *Sharer) handle(_ context.Context, from string, body []byte) (any, error) {
	var m Message
	if err := encoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	near := m.Centre == s.Self.Centre
	got := dated{m.Report, s.Clock()}
	s.mu.Lock()
	if near {
		s.near[from] = newer(s.near[from], got)
	} else {
		s.far[m.Centre] = newer(s.far[m.Centre], got)
	}
	s.mu.Unlock()
	return Message{Centre: s.Self.Centre, Report: s.sum(from, near)}, nil
}

// mine returns this daemon's own report.
func (s *Sharer) mine() Report {
	return Report{Loads: s.Balancer.LocalLoads(), Tallies: s.Stager.LocalTallies()}
}

// sum returns the sum of this data centre without one daemon, with the others'
// sums if abroad is true.
func (s *Sharer) sum(without string, abroad bool) Report {
	sum := s.mine()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	for id, r := range s.near {
		if id != without && now-r.at < FreshTime {
			sum.add(r.Report)
		}
	}
	if !abroad {
		return sum
	}
	for _, r := range s.far {
		if now-r.at < FreshTime {
			sum.add(r.Report)
		}
	}
	return sum
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
	if now-s.total.at < FreshTime {
		sum.add(s.total.Report)
	} else {
		for _, reports := range []map[string]dated{s.near, s.far} {
			for name, r := range reports {
				if now-r.at >= FreshTime {
					delete(reports, name)
					continue
				}
				sum.add(r.Report)
			}
		}
	}
	s.mu.Unlock()
	s.Balancer.SetRemoteLoads(sum.Loads)
	s.Stager.SetRemoteTallies(sum.Tallies)
}

// add adds another report.
func (r *Report) add(o Report) {
	if r.Loads == nil {
		r.Loads = make(map[string]balancer.Load, len(o.Loads))
	}
	for id, l := range o.Loads {
		sum := r.Loads[id]
		sum.Requests += l.Requests
		sum.Tokens += l.Tokens
		sum.Backlog += l.Backlog
		r.Loads[id] = sum
	}
	r.Tallies = stager.Sum(r.Tallies, o.Tallies)
}
