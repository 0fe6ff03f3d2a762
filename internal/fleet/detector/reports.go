package detector

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
)

type (
	// Report is an endpoint's load report. Work is in tokens for engines and in
	// requests for services.
	Report struct {
		ID          string   `json:"id" cbor:"i"`
		Incarnation uint64   `json:"start" cbor:"s"`
		Versions    []string `json:"versions" cbor:"v,omitempty"`
		Budget      int64    `json:"budget" cbor:"b"`
		InFlight    int64    `json:"used" cbor:"u"`
		Queued      int64    `json:"queued" cbor:"q,omitempty"`
		Throughput  float64  `json:"speed" cbor:"p,omitempty"`
		Warm        bool     `json:"warm" cbor:"w"`
		Leaving     bool     `json:"leaving" cbor:"l,omitempty"`
		Fenced      bool     `json:"fenced" cbor:"f,omitempty"`
		// Failed means that the endpoint's home could not read the report several
		// times in a row.
		Failed bool `json:"-" cbor:"x,omitempty"`
	}

	// ReportBatch carries changed reports to a peer.
	ReportBatch struct {
		Reports []Report `cbor:"r"`
	}

	// ReportBatchReply identifies the process that received the reports.
	ReportBatchReply struct {
		Instance uint64 `cbor:"n"`
	}
)

// readReports reads the reports of the endpoints that self is home of, shares
// the changed ones, and publishes changes.
func (d *Detector) readReports(ctx context.Context) {
	d.mu.Lock()
	members := d.homeCandidates()
	var own []samphireturn.VM
	for _, vm := range d.list {
		if vm.Role == samphireturn.RoleEntry || vm.Centre != d.self.Centre {
			continue
		}
		if ranker.Home(vm.ID, members) == d.self.ID {
			own = append(own, vm)
		} else if r := d.records[vm.ID]; r != nil {
			r.readHere = false
		}
	}
	d.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, max(d.ReportInterval, time.Second))
	group := d.pool.NewGroup()
	for _, vm := range own {
		group.Submit(func() { d.readReport(readCtx, vm) })
	}
	_ = group.Wait()
	cancel()
	if ctx.Err() != nil {
		return
	}
	d.shareReports(ctx)
	d.announceToNewLinks(ctx)
	d.mu.Lock()
	stale := d.dirty || d.config != d.Control.Snapshot().Config
	d.mu.Unlock()
	if stale {
		d.publish()
	}
}

// readReport reads the report of one endpoint. After maxFailedReads failures in
// a row the endpoint counts as failed.
func (d *Detector) readReport(ctx context.Context, vm samphireturn.VM) {
	report, err := d.fetch(ctx, vm)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.storeReport(report, true)
		return
	}
	reasons.Add("report", 1)
	r := d.records[vm.ID]
	if r == nil {
		return
	}
	r.failedReads++
	if r.failedReads == maxFailedReads {
		report = r.Report
		report.Failed = true
		d.Log.Warn().Str("endpoint", vm.ID).Err(err).Msg("endpoint does not answer")
		d.storeReport(report, true)
	}
}

// fetch requests and checks the report of one endpoint.
func (d *Detector) fetch(ctx context.Context, vm samphireturn.VM) (Report, error) {
	var report Report
	answer, err := d.http.R().SetContext(ctx).Get("http://" + vm.Addr + "/report")
	if err != nil {
		return report, &samphireturn.Error{Op: "report of " + vm.ID, Kind: samphireturn.KindUnavailable, Err: err}
	}
	if answer.StatusCode() != http.StatusOK {
		return report, &samphireturn.Error{Op: "report of " + vm.ID, Kind: samphireturn.KindUnavailable, Err: errors.New(answer.Status())}
	}
	err = json.Unmarshal(answer.Body(), &report)
	if err == nil && (report.ID != vm.ID || report.Budget < 0) {
		err = errors.New("report of another endpoint or with a negative budget")
	}
	if err != nil {
		return report, &samphireturn.Error{Op: "report of " + vm.ID, Kind: samphireturn.KindInvalid, Err: err}
	}
	return report, nil
}

// storeReport stores a report. An endpoint with a new incarnation gets a new
// quota and, unless it was unknown before, counts as cold until a later report.
// The caller holds mu.
func (d *Detector) storeReport(report Report, readHere bool) {
	r := d.records[report.ID]
	if r == nil {
		r = &record{}
		d.records[report.ID] = r
	}
	newProcess := !r.hasReport || r.incarnation != report.Incarnation
	unchanged := !newProcess && r.readHere == readHere && sameReport(r.Report, report) && !r.justRestarted
	toShare := newProcess || r.readHere != readHere || r.justRestarted || needsSharing(r.lastShared, report)
	r.justRestarted = newProcess && r.hasReport
	if newProcess {
		r.quota = new(samphireturn.Quota)
	}
	r.Report = report
	r.incarnation = report.Incarnation
	r.hasReport = true
	if !report.Failed {
		r.failedReads = 0
	}
	if unchanged {
		return
	}
	r.readHere = readHere
	d.dirty = true
	if readHere && toShare {
		d.seq++
		r.seq = d.seq
		r.lastShared = report
	}
}

// needsSharing reports whether a report must be sent to the other daemons: its
// load has moved by more than 1/loadSteps of the budget, its throughput by more
// than 2/loadSteps of the old one, or anything else has changed.
func needsSharing(old, report Report) bool {
	if loadMoved(old.InFlight, report.InFlight, report.Budget) || loadMoved(old.Queued, report.Queued, report.Budget) ||
		loadMoved(int64(old.Throughput), int64(report.Throughput), int64(2*old.Throughput)) {
		return true
	}
	old.InFlight, old.Queued, old.Throughput = report.InFlight, report.Queued, report.Throughput
	return !sameReport(old, report)
}

// loadMoved reports whether a load has moved by more than 1/loadSteps of scale.
func loadMoved(old, load, scale int64) bool { return max(old-load, load-old)*loadSteps > scale }

// sameReport reports whether two reports are equal.
func sameReport(a, b Report) bool {
	if !slices.Equal(a.Versions, b.Versions) {
		return false
	}
	a.Versions, b.Versions = nil, nil
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Budget == b.Budget && a.InFlight == b.InFlight &&
		a.Queued == b.Queued && a.Throughput == b.Throughput && a.Warm == b.Warm &&
		a.Leaving == b.Leaving && a.Fenced == b.Fenced && a.Failed == b.Failed
}

// shareReports sends each other daemon of the data centre the records that
// changed since its last acknowledgement.
func (d *Detector) shareReports(ctx context.Context) {
	d.mu.Lock()
	ids := d.linkedOthers()
	for id := range d.peers {
		if !slices.Contains(ids, id) {
			delete(d.peers, id)
		}
	}
	d.mu.Unlock()
	d.forEach(ctx, ids, d.shareReportsWith)
}

// shareReportsWith sends the changed records to one daemon. If that daemon has
// restarted since, it gets all records the next time.
func (d *Detector) shareReportsWith(ctx context.Context, id string) {
	d.mu.Lock()
	p := d.peers[id]
	if p == nil {
		p = &peer{}
		d.peers[id] = p
	}
	var batch ReportBatch
	for _, r := range d.records {
		if r.readHere && r.seq > p.ackedSeq {
			batch.Reports = append(batch.Reports, r.Report)
		}
	}
	upTo := d.seq
	d.mu.Unlock()
	if len(batch.Reports) == 0 {
		return
	}
	slices.SortFunc(batch.Reports, func(a, b Report) int { return strings.Compare(a.ID, b.ID) })
	var answer ReportBatchReply
	if err := d.Links.Call(ctx, id, TopicReports, batch, &answer); err != nil {
		reasons.Add("pass_reports", 1)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	restarted := p.instance != 0 && p.instance != answer.Instance
	p.instance = answer.Instance
	p.ackedSeq = upTo
	if restarted {
		p.ackedSeq = 0
	}
}

// handleReports handles TopicReports.
func (d *Detector) handleReports(_ context.Context, _ string, body []byte) (any, error) {
	var in ReportBatch
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "decode reports", Kind: samphireturn.KindInvalid, Err: err}
	}
	d.mu.Lock()
	for _, report := range in.Reports {
		d.storeReport(report, false)
	}
	d.mu.Unlock()
	d.publish()
	return ReportBatchReply{Instance: d.instance}, nil
}
