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

// reportLimit bounds the body of a report, in bytes.
const reportLimit = 64 << 10

var errLapsed = errors.New("the lease may lapse before the order's time-out")

type (
	// report is the part of an engine's report that orders depend on.
	report struct {
		ID       string   `json:"id"`
		Versions []string `json:"versions"`
		Used     int64    `json:"used"`
		Leaving  bool     `json:"leaving"`
		Fenced   bool     `json:"fenced"`
		Loading  string   `json:"loading"`
	}

	// command is the body of an order.
	command struct {
		Fence uint64 `json:"fence"`
		Kind  string `json:"kind"`
		Name  string `json:"name"`
	}

	// guarded is a body that is given out only while the lease outlives the
	// order's time-out, so that a holder that was paused on the way to the
	// connection sends nothing.
	guarded struct {
		io.Reader
		valid func() bool
	}
)

// Read implements io.Reader.
func (g guarded) Read(p []byte) (int, error) {
	if !g.valid() {
		return 0, errLapsed
	}
	return g.Reader.Read(p)
}

// listed returns the engines of this data centre as the snapshot has them,
// without those that leave or do not answer.
func (o *Orderer) listed(s *samphireturn.Snapshot) []engine {
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
		v := engine{id: id, addr: e.Addr, fenced: e.Fenced, used: e.InFlight, resting: o.now().Before(o.rest[id])}
		for _, ref := range e.Versions {
			v.versions = append(v.versions, ref.String())
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b engine) int { return strings.Compare(a.id, b.id) })
	return list
}

// ask reads the reports of the engines and returns those that answer and stay.
// Silent names one that does not answer.
func (o *Orderer) ask(ctx context.Context, engines []engine) (found []engine, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	var (
		mu   sync.Mutex
		wait sync.WaitGroup
	)
	slots := make(chan struct{}, readers)
	for _, e := range engines {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := o.report(ctx, e)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, e.id)
				return
			}
			if r.Leaving && r.Loading == "" {
				return
			}
			e.versions, e.loading, e.used, e.fenced = r.Versions, r.Loading, r.Used, r.Fenced
			e.resting = r.Leaving || o.now().Before(o.rest[e.id])
			found = append(found, e)
		})
	}
	wait.Wait()
	slices.SortFunc(found, func(a, b engine) int { return strings.Compare(a.id, b.id) })
	return found, silent
}

func (o *Orderer) report(ctx context.Context, e engine) (report, error) {
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
	if err := json.NewDecoder(io.LimitReader(res.Body, reportLimit)).Decode(&r); err != nil {
		return r, err
	}
	if r.ID != e.id {
		return r, errors.Errorf("report of %q", r.ID)
	}
	return r, nil
}

// send sends an order and returns the engine's status. With an error of
// KindUnknown the order may have been carried out.
func (o *Orderer) send(ctx context.Context, l leaser.Lease, next order) (int, error) {
	op := "order " + next.version + " at " + next.engine.id
	body, err := json.Marshal(command{Fence: l.Fence, Kind: "replace", Name: next.version})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	guard := guarded{Reader: bytes.NewReader(body), valid: func() bool { return l.Valid(orderTime) }}
	if !guard.valid() {
		return 0, &samphireturn.Error{Op: op, Kind: samphireturn.KindUnavailable, Err: errLapsed}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next.engine.addr+"/orders", guard)
	if err != nil {
		return 0, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	res, err := o.Client.Do(req)
	if errors.Is(err, errLapsed) {
		return 0, &samphireturn.Error{Op: op, Kind: samphireturn.KindUnavailable, Err: err}
	}
	if err != nil {
		return 0, &samphireturn.Error{Op: op, Kind: samphireturn.KindUnknown, Err: err}
	}
	_ = res.Body.Close()
	return res.StatusCode, nil
}
