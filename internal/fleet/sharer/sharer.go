// Package sharer exchanges the daemons' loads, the outcomes of releases' answers, the limits
// that endpoints named, the pools with brittle endpoints, the endpoints that announced that they
// leave and the daemons that reach no endpoint across the fleet.
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
	"samphireturn/internal/fleet/recorder"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/isolator"
	"samphireturn/internal/forward/stager"
)

const (
	// Topic is the topic of reports.
	Topic = "share"
	// VerdictTopic is the topic of verdicts on releases.
	VerdictTopic = "verdict"
	// ReportInterval is the time between two reports: several times shorter than the
	// second in which an endpoint can fill up.
	ReportInterval = 300 * time.Millisecond
	// daemonsPerInterval is the number of daemons of a data centre up to which
	// ReportInterval applies. Beyond it the interval grows with the number of daemons,
	// so that the aggregator's work does not.
	daemonsPerInterval = 24
	// daemonsPerEvidence is the same for messages with nothing but evidence, which are
	// short: a faulty release has to be found within two seconds.
	daemonsPerEvidence = 30
	// failedAvoidTime is how long a daemon that did not answer is skipped as an
	// aggregator.
	failedAvoidTime = 2 * time.Second
	// CallTimeout bounds one exchange.
	CallTimeout = time.Second
	// ReportTTL is how long a report counts.
	ReportTTL = 2 * time.Second
	// PaceInterval is the least time between two reports of paces to one daemon, and between
	// two sums of them. They change over 10 s, and are as long as loads.
	PaceInterval = 8 * ReportInterval
)

var exchanges = expvar.NewMap("sharer_exchange")

type (
	// Report holds the loads, tallies and endpoints' limits of one daemon, or their sum over a
	// data centre.
	Report struct {
		Loads   balancer.Loads  `cbor:"3,keyasint,omitempty"`
		Tallies []stager.Tally  `cbor:"2,keyasint,omitempty"`
		Limits  balancer.Limits `cbor:"4,keyasint,omitempty"`
		// Unlinked holds the ids of daemons that reach no endpoint.
		Unlinked []string `cbor:"5,keyasint,omitempty"`
		// Paces holds the recent reports of endpoints' paces. Most reports have none.
		Paces balancer.Paces `cbor:"6,keyasint,omitempty"`
		// Brittle holds the pools of which an endpoint said lately that it is brittle.
		Brittle balancer.BrittlePools `cbor:"7,keyasint,omitempty"`
	}

	// Links tells whether this daemon reaches endpoints, and takes the ids of those that do
	// not. Its methods must not block.
	Links interface {
		LinkLost() bool
		SetUnlinked(ids []string)
	}

	// Message is a report of a daemon or of a data centre, or the answer to one.
	Message struct {
		Centre string `cbor:"1,keyasint"`
		Report Report `cbor:"2,keyasint"`
		// Evidence is what the receiver lacks of the sender's evidence, up to Change.
		Evidence []stager.Evidence `cbor:"3,keyasint,omitempty"`
		Change   position          `cbor:"4,keyasint"`
		// Departures is what the receiver lacks of the sender's departures, up to
		// Change.Departures.
		Departures []recorder.Departure `cbor:"7,keyasint,omitempty"`
		// Observations is what the receiver lacks of the sender's observations of crashes, up
		// to Change.Observations.
		Observations isolator.Observations `cbor:"8,keyasint,omitzero"`
		// EvidenceOnly is true if the message has no report.
		EvidenceOnly bool `cbor:"6,keyasint,omitempty"`
		// Known is up to where the sender has the receiver's evidence.
		Known position `cbor:"5,keyasint"`
	}

	// position holds the numbers of changes to the evidence, to the departures and to the
	// observations of crashes of one instance of a daemon.
	position struct {
		Instance     uint64 `cbor:"1,keyasint,omitempty"`
		Change       uint64 `cbor:"2,keyasint,omitempty"`
		Departures   uint64 `cbor:"3,keyasint,omitempty"`
		Observations uint64 `cbor:"4,keyasint,omitempty"`
	}

	// progress is how far the exchange of evidence and departures with a peer has come: the
	// peer's last changes that this daemon has, and this daemon's that the peer has.
	progress struct {
		received position
		// sent holds the changes as counted by this daemon, for the peer's Instance.
		sent position
	}

	// Sharer is a service. Set the exported fields before Register and Run.
	Sharer struct {
		Peers    samphireturn.Peers
		Control  samphireturn.Control
		Balancer *balancer.Balancer
		Stager   *stager.Stager
		Recorder *recorder.Recorder
		Isolator *isolator.Isolator
		Links    Links
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
		// exchanged holds the progress with each peer that this daemon reports to.
		exchanged map[string]progress
		// announced holds the verdicts that the linked daemons were told.
		announced map[stager.Verdict]bool
		// pacesSent holds when paces were last sent, by the kind of message and the receiver.
		pacesSent map[receiver]time.Duration
		ctx       context.Context
		cancel    context.CancelFunc
		wg        sync.WaitGroup
	}

	// receiver is a daemon that gets reports, or, if reply is true, replies to its own. The id
	// is empty for the aggregators of all other data centres, and Self's for its balancer.
	receiver struct {
		id    string
		reply bool
	}

	// timedReport is a report with the time as of which it is valid. Its paces may be of an
	// earlier report, as of pacesAt.
	timedReport struct {
		Report
		at, pacesAt time.Duration
	}
)

// Register registers the handler of reports. It must be called before the peers run.
func (s *Sharer) Register() {
	s.daemonReports, s.centreReports = make(map[string]timedReport), make(map[string]timedReport)
	s.failedAt, s.inFlight = make(map[string]time.Duration), make(map[string]bool)
	s.pacesSent = make(map[receiver]time.Duration)
	s.exchanged, s.announced = make(map[string]progress), make(map[stager.Verdict]bool)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.Peers.Handle(Topic, s.handle)
	s.Peers.Handle(VerdictTopic, s.handleVerdict)
}

// Run starts to exchange reports.
func (s *Sharer) Run(context.Context) error {
	s.wg.Go(func() { s.loop(s.ctx) })
	return nil
}

// Close stops the sharer and waits for its goroutines.
func (s *Sharer) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

func (s *Sharer) loop(ctx context.Context) {
	for interval := 1; timekeeper.Sleep(ctx, ReportInterval); interval++ {
		snapshot := s.Control.Snapshot()
		daemons := len(ranker.InCentre(s.Self.Centre, snapshot.Members))
		switch {
		case due(interval, daemons, daemonsPerInterval):
			s.report(ctx, snapshot.Members, false)
			s.applyRemote()
		case rollingOut(snapshot.View) && due(interval, daemons, daemonsPerEvidence):
			s.report(ctx, snapshot.Members, true)
		}
		s.announceVerdicts("")
	}
}

// due reports whether a message is sent in an interval by its number, if one is sent in each up
// to some number of daemons and proportionally fewer beyond it.
func due(interval, daemons, perInterval int) bool {
	daemons = max(daemons, perInterval)
	return interval*perInterval/daemons > (interval-1)*perInterval/daemons
}

// rollingOut reports whether any roll-out has not ended.
func rollingOut(v *samphireturn.View) bool {
	if v == nil {
		return false
	}
	for _, r := range v.Rollouts {
		if r.State == samphireturn.RolloutOrdered || r.State == samphireturn.RolloutRunning {
			return true
		}
	}
	return false
}

// report exchanges reports, or only evidence, with the aggregator of this data centre or,
// if this daemon is it, with those of the others.
func (s *Sharer) report(ctx context.Context, members []samphireturn.VM, evidenceOnly bool) {
	m := Message{Centre: s.Self.Centre, EvidenceOnly: evidenceOnly}
	if aggregator := s.aggregator(s.Self.Centre, members); aggregator != s.Self.ID {
		if !evidenceOnly {
			m.Report = s.localReport(s.pacesDue(receiver{id: aggregator}))
		}
		s.exchange(ctx, aggregator, m)
		return
	}
	if !evidenceOnly {
		m.Report = s.sum("", false, s.pacesDue(receiver{}))
	}
	s.exchangeSums(ctx, members, m)
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

// exchangeSums sends the sum of this data centre to the aggregators of the others.
func (s *Sharer) exchangeSums(ctx context.Context, members []samphireturn.VM, sum Message) {
	visited := map[string]bool{s.Self.Centre: true}
	for _, m := range members {
		if visited[m.Centre] {
			continue
		}
		visited[m.Centre] = true
		if aggregator := s.aggregator(m.Centre, members); aggregator != s.Self.ID {
			s.exchange(ctx, aggregator, sum)
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
	before := s.exchanged[id]
	s.mu.Unlock()
	if inFlight {
		return
	}
	s.addChanges(&m, before.sent)
	m.Known = before.received
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
		s.Stager.AddEvidence(reply.Change.Instance, reply.Evidence)
		s.Recorder.Add(reply.Departures)
		s.Isolator.Add(reply.Observations)
		s.exchanged[id] = before.next(reply.Change, m.Change)
		if reply.EvidenceOnly {
			return
		}
		got := timedReport{reply.Report, sent, sent}
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
	s.Stager.AddEvidence(m.Change.Instance, m.Evidence)
	s.Recorder.Add(m.Departures)
	s.Isolator.Add(m.Observations)
	s.announceVerdicts("")
	reply := Message{Centre: s.Self.Centre, EvidenceOnly: m.EvidenceOnly}
	if !m.EvidenceOnly {
		sameCentre := m.Centre == s.Self.Centre
		s.keepReport(from, m)
		reply.Report = s.sum(from, sameCentre, s.pacesDue(receiver{from, true}))
	}
	has := position{Instance: m.Change.Instance}
	if m.Known.Instance == s.Stager.Instance {
		has.Change, has.Departures, has.Observations = m.Known.Change, m.Known.Departures, m.Known.Observations
	}
	s.addChanges(&reply, has)
	return reply, nil
}

// keepReport records the report of a daemon of this data centre or the sum of another.
func (s *Sharer) keepReport(from string, m Message) {
	now := s.Clock()
	got := timedReport{m.Report, now, now}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Centre == s.Self.Centre {
		s.daemonReports[from] = newer(s.daemonReports[from], got)
		return
	}
	s.centreReports[m.Centre] = newer(s.centreReports[m.Centre], got)
}

// announceVerdicts tells the linked daemons, except those of one data centre, the
// releases that were found faulty since the last call. Their own exchanges tell it too,
// so a message that is lost is not repeated.
func (s *Sharer) announceVerdicts(exceptCentre string) {
	verdicts := s.newVerdicts()
	if len(verdicts) == 0 {
		return
	}
	centres := make(map[string]string)
	for _, m := range s.Control.Snapshot().Members {
		centres[m.ID] = m.Centre
	}
	for _, id := range s.Peers.Connected() {
		if exceptCentre != "" && centres[id] == exceptCentre {
			continue
		}
		for _, v := range verdicts {
			s.announce(id, v)
		}
	}
}

// newVerdicts returns the verdicts that were not announced yet, and counts them as
// announced. Those on roll-outs that ended are forgotten.
func (s *Sharer) newVerdicts() []stager.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []stager.Verdict
	announced := make(map[stager.Verdict]bool)
	for _, v := range s.Stager.Verdicts() {
		announced[v] = true
		if !s.announced[v] {
			added = append(added, v)
		}
	}
	s.announced = announced
	return added
}

// announce tells one daemon a verdict.
func (s *Sharer) announce(id string, v stager.Verdict) {
	if s.ctx.Err() != nil {
		return
	}
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, CallTimeout)
		defer cancel()
		if err := s.Peers.Call(ctx, id, VerdictTopic, v, nil); err != nil {
			exchanges.Add("verdict_failed", 1)
			s.Log.Debug().Str("event", logger.EventShareFailed).Str("peer", id).Err(err).Send()
		}
	})
}

// handleVerdict takes a verdict from a peer and passes it on to the linked daemons of
// other data centres than the peer's, whose daemons the peer has told itself.
func (s *Sharer) handleVerdict(_ context.Context, from string, body []byte) (any, error) {
	var v stager.Verdict
	if err := encoder.Unmarshal(body, &v); err != nil {
		return nil, err
	}
	s.Stager.AddVerdict(v)
	for _, m := range s.Control.Snapshot().Members {
		if m.ID == from {
			s.announceVerdicts(m.Centre)
		}
	}
	return nil, nil
}

// addChanges adds to a message what its receiver lacks: the receiver's instance has this
// daemon's changes up to those of has, and what it told itself.
func (s *Sharer) addChanges(m *Message, has position) {
	m.Change.Instance = s.Stager.Instance
	m.Evidence, m.Change.Change = s.Stager.Evidence(has.Change, has.Instance)
	m.Departures, m.Change.Departures = s.Recorder.Since(has.Departures)
	m.Observations, m.Change.Observations = s.Isolator.Since(has.Observations)
}

// next returns the progress after an exchange in which this daemon sent its changes up to
// sent, and received the peer's up to received. If the peer is another
// instance than before, it lacks all that was sent to the earlier one.
func (p progress) next(received, sent position) progress {
	next := progress{received: received, sent: position{Instance: received.Instance}}
	if received.Instance == p.sent.Instance {
		next.sent.Change, next.sent.Departures, next.sent.Observations = sent.Change, sent.Departures, sent.Observations
	}
	return next
}

// pacesDue reports whether the next message to a receiver is to have paces, and counts them as
// sent. Those of a message that is lost are in the next one that is due.
func (s *Sharer) pacesDue(to receiver) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	if at, ok := s.pacesSent[to]; ok && now-at < PaceInterval {
		return false
	}
	s.pacesSent[to] = now
	return true
}

// localReport returns this daemon's own report, with paces if asked for.
func (s *Sharer) localReport(paces bool) Report {
	r := Report{Loads: s.Balancer.LocalLoads(), Tallies: s.Stager.LocalTallies(), Limits: s.Balancer.LocalLimits(), Brittle: s.Balancer.LocalBrittle()}
	if paces {
		r.Paces = s.Balancer.LocalPaces()
	}
	if s.Links.LinkLost() {
		r.Unlinked = []string{s.Self.ID}
	}
	return r
}

// sum returns the sum of this data centre without one daemon, and includes the other
// data centres' sums if includeRemote is true. It has paces if asked for.
func (s *Sharer) sum(except string, includeRemote, paces bool) Report {
	sum := s.localReport(paces)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	for id, r := range s.daemonReports {
		if id != except && now-r.at < ReportTTL {
			sum.add(r, now, paces)
		}
	}
	if !includeRemote {
		return sum
	}
	for _, r := range s.centreReports {
		if now-r.at < ReportTTL {
			sum.add(r, now, paces)
		}
	}
	return sum
}

// newer returns the newer of the last report and another. If the newer one has no paces it gets
// those of the last.
func newer(last, got timedReport) timedReport {
	if last.at > got.at {
		return last
	}
	if len(got.Paces) == 0 {
		got.Paces, got.pacesAt = last.Paces, last.pacesAt
	}
	return got
}

// applyRemote passes the sum of all other daemons to the balancer and the stager.
func (s *Sharer) applyRemote() {
	paces := s.pacesDue(receiver{id: s.Self.ID})
	s.mu.Lock()
	now := s.Clock()
	sum := Report{Loads: make(balancer.Loads)}
	if now-s.remoteTotal.at < ReportTTL {
		sum.add(s.remoteTotal, now, paces)
	} else {
		for _, reports := range []map[string]timedReport{s.daemonReports, s.centreReports} {
			for name, r := range reports {
				if now-r.at >= ReportTTL {
					delete(reports, name)
					continue
				}
				sum.add(r, now, paces)
			}
		}
	}
	s.mu.Unlock()
	s.Balancer.SetRemoteLoads(sum.Loads)
	s.Balancer.SetRemotePaces(sum.Paces)
	s.Stager.SetRemoteTallies(sum.Tallies)
	s.Links.SetUnlinked(sum.Unlinked)
	s.applyLimits(sum.Limits)
	s.Balancer.SetRemoteBrittle(sum.Brittle)
}

// applyLimits passes what other daemons told of endpoints' limits to the balancer.
func (s *Sharer) applyLimits(limits balancer.Limits) {
	for _, c := range s.Balancer.SetRemoteLimits(limits) {
		event := logger.EventLimitOver
		if c.Limited {
			event = logger.EventLimited
		}
		s.Log.Info().Str("event", event).Str("endpoint", c.ID).Float64("rate", c.Rate).Float64("before", c.Before).Bool("heard", true).Send()
	}
}

// add adds another report to r, with its paces if asked for.
func (r *Report) add(o timedReport, now time.Duration, paces bool) {
	if r.Loads == nil {
		r.Loads = make(balancer.Loads, len(o.Loads))
	}
	r.Loads.Add(o.Loads)
	r.Tallies = stager.Sum(r.Tallies, o.Tallies)
	if r.Limits == nil && len(o.Limits) > 0 {
		r.Limits = make(balancer.Limits, len(o.Limits))
	}
	r.Limits.Add(o.Limits, now-o.at)
	if r.Brittle == nil && len(o.Brittle) > 0 {
		r.Brittle = make(balancer.BrittlePools, len(o.Brittle))
	}
	r.Brittle.Add(o.Brittle, now-o.at)
	r.Unlinked = append(r.Unlinked, o.Unlinked...)
	if !paces || len(o.Paces) == 0 {
		return
	}
	if r.Paces == nil {
		r.Paces = make(balancer.Paces, len(o.Paces))
	}
	r.Paces.Add(o.Paces, now-o.pacesAt)
}
