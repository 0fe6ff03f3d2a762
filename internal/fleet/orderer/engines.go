package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/leaser"
)

// maxReportBytes is the maximum size of a report's body in bytes.
const maxReportBytes = 64 << 10

var errLeaseExpiring = errors.New("the lease may expire before the order's timeout")

type (
	// report is the part of an engine's report that orders depend on.
	report struct {
		ID       string   `json:"id"`
		Versions []string `json:"versions"`
		InFlight int64    `json:"used"`
		Leaving  bool     `json:"leaving"`
		Fenced   bool     `json:"fenced"`
		Loading  string   `json:"loading"`
	}

	// orderBody is the request body of an order.
	orderBody struct {
		Fence uint64 `json:"fence"`
		Kind  string `json:"kind"`
		Name  string `json:"name"`
	}

	// leaseGuardedReader is a request body that can be read only while the lease
	// lasts longer than the order's timeout, so that a holder that was paused
	// before the body was written sends nothing.
	leaseGuardedReader struct {
		io.Reader
		valid func() bool
	}
)

// Read implements io.Reader.
func (g leaseGuardedReader) Read(p []byte) (int, error) {
	if !g.valid() {
		return 0, errLeaseExpiring
	}
	return g.Reader.Read(p)
}

// enginesIn returns the engines of this data centre in the snapshot, without
// those that are leaving or do not answer.
func (o *Orderer) enginesIn(s *samphireturn.Snapshot) []engine {
	serving := make(map[string]bool)
	for _, pool := range s.Pools {
		for _, e := range pool {
			serving[e.ID] = true
		}
	}
	var list []engine
	for id, e := range s.Endpoints {
		if e.Role != samphireturn.RoleEngine || e.Centre != s.Self.Centre || e.Leaving || len(e.Versions) > 0 && !serving[id] {
			continue
		}
		v := engine{id: id, addr: e.Addr, fenced: e.Fenced, inFlight: e.InFlight, backingOff: o.now().Before(o.backoffUntil[id])}
		for _, ref := range e.Versions {
			v.versions = append(v.versions, ref.String())
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b engine) int { return strings.Compare(a.id, b.id) })
	return list
}

// readReports reads the reports of the engines and returns those that answer
// and are not leaving, or are still loading. unreachable holds the ids of those
// whose report could not be read.
func (o *Orderer) readReports(ctx context.Context, engines []engine) (found []engine, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	slots := make(chan struct{}, maxReportReads)
	for _, e := range engines {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := o.readReport(ctx, e)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, e.id)
				return
			}
			if r.Leaving && r.Loading == "" {
				return
			}
			e.versions, e.loading, e.inFlight, e.fenced = r.Versions, r.Loading, r.InFlight, r.Fenced
			e.backingOff = r.Leaving || o.now().Before(o.backoffUntil[e.id])
			found = append(found, e)
		})
	}
	wait.Wait()
	slices.SortFunc(found, func(a, b engine) int { return strings.Compare(a.id, b.id) })
	return found, unreachable
}

// readReport reads the report of one engine.
func (o *Orderer) readReport(ctx context.Context, e engine) (report, error) {
	var r report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.addr+"/report", nil)
	if err != nil {
		return r, err
	}
	res, err := o.Client.Do(req)
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return r, errors.New(res.Status)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&r); err != nil {
		return r, err
	}
	if r.ID != e.id {
		return r, errors.Errorf("report of %q", r.ID)
	}
	return r, nil
}

// post sends an order and returns the status code of the engine's response. If
// the error is of KindUnknown, the order may have been carried out.
func (o *Orderer) post(ctx context.Context, l leaser.Lease, next order) (int, error) {
	op := "order " + next.version + " at " + next.engine.id
	body, err := json.Marshal(orderBody{Fence: l.Fence, Kind: "replace", Name: next.version})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	guard := leaseGuardedReader{Reader: bytes.NewReader(body), valid: func() bool { return l.Valid(callTimeout) }}
	if !guard.valid() {
		return 0, &samphireturn.Error{Op: op, Kind: samphireturn.KindUnavailable, Err: errLeaseExpiring}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next.engine.addr+"/orders", guard)
	if err != nil {
		return 0, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	res, err := o.Client.Do(req)
	if errors.Is(err, errLeaseExpiring) {
		return 0, &samphireturn.Error{Op: op, Kind: samphireturn.KindUnavailable, Err: err}
	}
	if err != nil {
		return 0, &samphireturn.Error{Op: op, Kind: samphireturn.KindUnknown, Err: err}
	}
	_ = res.Body.Close()
	return res.StatusCode, nil
}
