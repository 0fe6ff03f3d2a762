// Package sharer exchanges the daemons' loads and the outcomes of releases' answers
// across the fleet.
//
// In each data centre the first daemon in rank is the aggregator. The other daemons
// report to it and get the sum of all others back; aggregators exchange the sums of
// their data centres. A report is a call, so that its answer can be dated by when the
// call was sent. The counts of tallies only grow, so that receiving a sum twice or late
// does no harm.
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
	// ReportInterval is the time between two reports: several times shorter than the
	// second in which an endpoint can fill up.
	ReportInterval = 300 * time.Millisecond
	// daemonsPerInterval is the number of daemons of a data centre up to which
	// ReportInterval applies. Beyond it the interval grows with the number of daemons,
	// so that the aggregator's work does not.
	daemonsPerInterval = 8
	// failedAvoidTime is how long a daemon that did not answer is skipped as an
	// aggregator.
	failedAvoidTime = 2 * time.Second
	// CallTimeout bounds one exchange.
	CallTimeout = time.Second
	// ReportTTL is how long a report counts.
	ReportTTL = 2 * time.Second
)

var exchanges = expvar.NewMap("sharer_exchange")

type (
	// Report holds the loads and tallies of one daemon, or their sum over a data centre.
	Report struct {
		Loads   map[string]balancer.Load `cbor:"1,keyasint,omitempty"`
		Tallies []stager.Tally           `cbor:"2,keyasint,omitempty"`
	}

	// Message is a report of a daemon or of a data centre, or the answer to one.
	Message struct {
		Centre string `cbor:"1,keyasint"`
		Report Report `cbor:"2,keyasint"`
	}

	// Sharer is a service. Set the exported fields before Register and Run.
	Sharer struct {
		Peers    samphireturn.Peers
		Control  samphireturn.Control
		Balancer *balancer.Balancer
		Stager   *stager.Stager
		Self     samphireturn.VM
		Log      zerolog.Logger
		// Clock returns a time that counts suspensions too.
		Clock func() time.Duration

		mu sync.Mutex
		// daemonReports holds the reports of this data centre's daemons by id,
		// centreReports the sums of the other data centres by name.
		daemonReports, centreReports map[string]timedReport
		// remoteTotal is the sum of all other daemons, as the aggregator last sent it.
		remoteTotal timedReport
		// failedAt holds when a daemon last did not answer, and inFlight the daemons to
		// which a call is in flight.
		failedAt map[string]time.Duration
		inFlight map[string]bool
		cancel   context.CancelFunc
		wg       sync.WaitGroup
	}

	// timedReport is a report with the time as of which it is valid.
	timedReport struct {
		Report
		at time.Duration
	}
)

// Register registers the handler of reports. It must be called before the peers run.
func (s *Sharer) Register() {
	s.daemonReports, s.centreReports = make(map[string]timedReport), make(map[string]timedReport)
	s.failedAt, s.inFlight = make(map[string]time.Duration), make(map[string]bool)
	s.Peers.Handle(Topic, s.handle)
}

// Run starts to exchange reports.
func (s *Sharer) Run(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.wg.Go(func() { s.loop(ctx) })
	return nil
}

// Close stops the sharer and waits for its goroutines.
func (s *Sharer) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

func (s *Sharer) loop(ctx context.Context) {
	for {
		members := s.Control.Snapshot().Members
		local := ranker.InCentre(s.Self.Centre, members)
		if !timekeeper.Sleep(ctx, ReportInterval*time.Duration(max(1, len(local)/daemonsPerInterval))) {
			return
		}
		if aggregator := s.aggregator(s.Self.Centre, members); aggregator != s.Self.ID {
			s.exchange(ctx, aggregator, Message{Centre: s.Self.Centre, Report: s.localReport()})
		} else {
			s.exchangeSums(ctx, members)
		}
		s.applyRemote()
	}
}

// aggregator returns the daemon of a data centre that adds up the others' reports.
func (s *Sharer) aggregator(centre string, members []samphireturn.VM) string {
	for _, id := range ranker.Rank("share/"+centre, ranker.InCentre(centre, members)) {
		if id == s.Self.ID || !s.failedRecently(id) {
			return id
		}
	}
	return s.Self.ID
}

// exchangeSums exchanges sums with the aggregators of the other data centres.
func (s *Sharer) exchangeSums(ctx context.Context, members []samphireturn.VM) {
	visited := map[string]bool{s.Self.Centre: true}
	for _, m := range members {
		if visited[m.Centre] {
			continue
		}
		visited[m.Centre] = true
		if aggregator := s.aggregator(m.Centre, members); aggregator != s.Self.ID {
			s.exchange(ctx, aggregator, Message{Centre: s.Self.Centre, Report: s.sum("", false)})
		}
	}
}

// failedRecently reports whether a daemon did not answer within failedAvoidTime.
func (s *Sharer) failedRecently(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.failedAt[id]
	return ok && s.Clock()-at < failedAvoidTime
}

// exchange sends a report to a peer, unless the previous call to it is still in flight.
func (s *Sharer) exchange(ctx context.Context, id string, m Message) {
	s.mu.Lock()
	inFlight := s.inFlight[id]
	s.inFlight[id] = true
	s.mu.Unlock()
	if inFlight {
		return
	}
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		sent := s.Clock()
		var reply Message
		err := s.Peers.Call(ctx, id, Topic, m, &reply)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, id)
		if err != nil {
			exchanges.Add("failed", 1)
			s.failedAt[id] = s.Clock()
			s.Log.Debug().Str("event", logger.EventShareFailed).Str("peer", id).Err(err).Send()
			return
		}
		exchanges.Add("done", 1)
		got := timedReport{reply.Report, sent}
		if reply.Centre == s.Self.Centre {
			s.remoteTotal = newer(s.remoteTotal, got)
			return
		}
		s.centreReports[reply.Centre] = newer(s.centreReports[reply.Centre], got)
	})
}

// handle answers a report: a daemon of this data centre gets the sum of all other
// daemons, one of another data centre gets this data centre's sum.
func (s *Sharer) handle(_ context.Context, from string, body []byte) (any, error) {
	var m Message
	if err := encoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	sameCentre := m.Centre == s.Self.Centre
	got := timedReport{m.Report, s.Clock()}
	s.mu.Lock()
	if sameCentre {
		s.daemonReports[from] = newer(s.daemonReports[from], got)
	} else {
		s.centreReports[m.Centre] = newer(s.centreReports[m.Centre], got)
	}
	s.mu.Unlock()
	return Message{Centre: s.Self.Centre, Report: s.sum(from, sameCentre)}, nil
}

// localReport returns this daemon's own report.
func (s *Sharer) localReport() Report {
	return Report{Loads: s.Balancer.LocalLoads(), Tallies: s.Stager.LocalTallies()}
}

// sum returns the sum of this data centre without one daemon, and includes the other
// data centres' sums if includeRemote is true.
func (s *Sharer) sum(except string, includeRemote bool) Report {
	sum := s.localReport()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	for id, r := range s.daemonReports {
		if id != except && now-r.at < ReportTTL {
			sum.add(r.Report)
		}
	}
	if !includeRemote {
		return sum
	}
	for _, r := range s.centreReports {
		if now-r.at < ReportTTL {
			sum.add(r.Report)
		}
	}
	return sum
}

// newer returns the newer of two reports.
func newer(a, b timedReport) timedReport {
	if a.at > b.at {
		return a
	}
	return b
}

// applyRemote passes the sum of all other daemons to the balancer and the stager.
func (s *Sharer) applyRemote() {
	s.mu.Lock()
	now := s.Clock()
	sum := Report{Loads: make(map[string]balancer.Load)}
	if now-s.remoteTotal.at < ReportTTL {
		sum.add(s.remoteTotal.Report)
	} else {
		for _, reports := range []map[string]timedReport{s.daemonReports, s.centreReports} {
			for name, r := range reports {
				if now-r.at >= ReportTTL {
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

// add adds another report to r.
func (r *Report) add(o Report) {
	if r.Loads == nil {
		r.Loads = make(map[string]balancer.Load, len(o.Loads))
	}
	for id, l := range o.Loads {
		sum := r.Loads[id]
		sum.Requests += l.Requests
		sum.MemoryTokens += l.MemoryTokens
		sum.Backlog += l.Backlog
		r.Loads[id] = sum
	}
	r.Tallies = stager.Sum(r.Tallies, o.Tallies)
}
