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
	// calls for services.
	Report struct {
		ID       string   `json:"id" cbor:"i"`
		Start    uint64   `json:"start" cbor:"s"`
		Versions []string `json:"versions" cbor:"v,omitempty"`
		Budget   int64    `json:"budget" cbor:"b"`
		Used     int64    `json:"used" cbor:"u"`
		Queued   int64    `json:"queued" cbor:"q,omitempty"`
		Speed    float64  `json:"speed" cbor:"p,omitempty"`
		Warm     bool     `json:"warm" cbor:"w"`
		Leaving  bool     `json:"leaving" cbor:"l,omitempty"`
		Fenced   bool     `json:"fenced" cbor:"f,omitempty"`
		// Failed says that the endpoint has not answered its home for a while.
		Failed bool `json:"-" cbor:"x,omitempty"`
	}

	// Batch tells a peer the reports that changed.
	Batch struct {
		Reports []Report `cbor:"r"`
	}

	// BatchAnswer names the instance that holds the reports.
	BatchAnswer struct {
		Instance uint64 `cbor:"n"`
	}
)

// readReports reads the reports of the endpoints that self is home of, shares
// what changed, and publishes.
func (d *Detector) readReports(ctx context.Context) {
	d.mu.Lock()
	members := d.homes()
	var homed []samphireturn.VM
	for _, vm := range d.list {
		if vm.Role == samphireturn.RoleEntry || vm.Centre != d.self.Centre {
			continue
		}
		if ranker.Home(vm.ID, members) == d.self.ID {
			homed = append(homed, vm)
		} else if r := d.records[vm.ID]; r != nil {
			r.own = false
		}
	}
	d.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, max(d.ReportTime, time.Second))
	group := d.pool.NewGroup()
	for _, vm := range homed {
		group.Submit(func() { d.readReport(limit, vm) })
	}
	_ = group.Wait()
	cancel()
	if ctx.Err() != nil {
		return
	}
	d.passReports(ctx)
	d.greet(ctx)
	d.mu.Lock()
	stale := d.dirty || d.config != d.Control.Snapshot().Config
	d.mu.Unlock()
	if stale {
		d.publish()
	}
}

// readReport reads one endpoint's report.
func (d *Detector) readReport(ctx context.Context, vm samphireturn.VM) {
	report, err := d.fetch(ctx, vm)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.record(report, true)
		return
	}
	reasons.Add("report", 1)
	r := d.records[vm.ID]
	if r == nil {
		return
	}
	r.fails++
	if r.fails == failLimit {
		report = r.Report
		report.Failed = true
		d.Log.Warn().Str("endpoint", vm.ID).Err(err).Msg("endpoint does not answer")
		d.record(report, true)
	}
}

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

// record keeps a report. A new start number gets a fresh gauge and is cold
// until a later report. The caller holds mu.
func (d *Detector) record(report Report, own bool) {
	r := d.records[report.ID]
	if r == nil {
		r = &record{}
		d.records[report.ID] = r
	}
	fresh := !r.known || r.started != report.Start
	same := !fresh && r.own == own && equal(r.Report, report) && !r.cold
	material := fresh || r.own != own || r.cold || differs(r.passed, report)
	r.cold = fresh && r.known
	if fresh {
		r.gauge = new(samphireturn.Quota)
	}
	r.Report = report
	r.started = report.Start
	r.known = true
	if !report.Failed {
		r.fails = 0
	}
	if same {
		return
	}
	r.own = own
	d.dirty = true
	if own && material {
		d.seq++
		r.seq = d.seq
		r.passed = report
	}
}

// differs reports whether a report must be passed on: what it says has changed,
// or the load by more than a part of the budget.
func differs(old, report Report) bool {
	if moved(old.Used, report.Used, report.Budget) || moved(old.Queued, report.Queued, report.Budget) ||
		moved(int64(old.Speed), int64(report.Speed), int64(2*old.Speed)) {
		return true
	}
	old.Used, old.Queued, old.Speed = report.Used, report.Queued, report.Speed
	return !equal(old, report)
}

// moved reports whether a load has moved by more than 1/loadSteps of a scale.
func moved(old, load, scale int64) bool { return max(old-load, load-old)*loadSteps > scale }

func equal(a, b Report) bool {
	if !slices.Equal(a.Versions, b.Versions) {
		return false
	}
	a.Versions, b.Versions = nil, nil
	return a.ID == b.ID && a.Start == b.Start && a.Budget == b.Budget && a.Used == b.Used &&
		a.Queued == b.Queued && a.Speed == b.Speed && a.Warm == b.Warm &&
		a.Leaving == b.Leaving && a.Fenced == b.Fenced && a.Failed == b.Failed
}

// passReports sends each daemon of the data centre the records that changed
// since its last acknowledgement.
func (d *Detector) passReports(ctx context.Context) {
	d.mu.Lock()
	to := d.others()
	for id := range d.peers {
		if !slices.Contains(to, id) {
			delete(d.peers, id)
		}
	}
	d.mu.Unlock()
	d.each(ctx, to, d.passTo)
}

func (d *Detector) passTo(ctx context.Context, id string) {
	d.mu.Lock()
	p := d.peers[id]
	if p == nil {
		p = &peer{}
		d.peers[id] = p
	}
	var batch Batch
	for _, r := range d.records {
		if r.own && r.seq > p.seq {
			batch.Reports = append(batch.Reports, r.Report)
		}
	}
	upTo := d.seq
	d.mu.Unlock()
	if len(batch.Reports) == 0 {
		return
	}
	slices.SortFunc(batch.Reports, func(a, b Report) int { return strings.Compare(a.ID, b.ID) })
	var answer BatchAnswer
	if err := d.Links.Call(ctx, id, TopicReports, batch, &answer); err != nil {
		reasons.Add("pass_reports", 1)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	restarted := p.instance != 0 && p.instance != answer.Instance
	p.instance = answer.Instance
	p.seq = upTo
	if restarted {
		p.seq = 0
	}
}

// takeBatch handles TopicReports.
func (d *Detector) takeBatch(_ context.Context, _ string, body []byte) (any, error) {
	var in Batch
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "take reports", Kind: samphireturn.KindInvalid, Err: err}
	}
	d.mu.Lock()
	for _, report := range in.Reports {
		d.record(report, false)
	}
	d.mu.Unlock()
	d.publish()
	return BatchAnswer{Instance: d.instance}, nil
}
