package granter

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/traffic/dispatcher"
)

func (d *node) Post(samphireturn.Event) {}

// Snapshot returns the daemon's view: late lists and reports a lag old.
func (d *node) Snapshot() *samphireturn.Snapshot {
	d.awake()
	w := d.fleet
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.list
	if d.list != nil {
		list = d.list
	}
	if d.ends != nil {
		return &samphireturn.Snapshot{Self: d.self, Members: list, Endpoints: d.ends}
	}
	return &samphireturn.Snapshot{Self: d.self, Members: list, Endpoints: map[string]*samphireturn.Endpoint{"e": d.endpoint()}}
}

func (d *node) endpoint() *samphireturn.Endpoint {
	w := d.fleet
	e := &samphireturn.Endpoint{VM: samphireturn.VM{ID: "e", Centre: "x", Role: samphireturn.RoleEngine}, Incarnation: w.start, Budget: budget, Warm: w.warm, Quota: d.gauge}
	if len(w.past) > 8 {
		e.InFlight = w.past[len(w.past)-8]
	}
	return e
}

func (d *node) Handle(_ string, h samphireturn.Handler) { d.handler = h }

func (d *node) Connected() []string {
	w := d.fleet
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for i, other := range w.nodes {
		if i != d.index && other != nil && !other.dead && !w.cut[[2]int{d.index, i}] {
			ids = append(ids, w.list[i].ID)
		}
	}
	return ids
}

// Call carries a message with a latency, unless a link is cut on its way.
func (d *node) Call(ctx context.Context, to, _ string, body, reply any) error {
	data, _ := encoder.Marshal(body)
	other := d.hop(ctx, to)
	if other == nil {
		return errors.New("cut")
	}
	other.awake()
	answer, err := other.handler(ctx, d.self.ID, data)
	if err != nil {
		return err
	}
	other.awake()
	back, _ := encoder.Marshal(answer)
	d.fleet.mu.Lock()
	d.fleet.bytes += int64(len(data) + len(back))
	d.fleet.calls++
	d.fleet.mu.Unlock()
	if d.hop(ctx, to) == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	d.awake()
	return encoder.Unmarshal(back, reply)
}

func (d *node) hop(ctx context.Context, to string) *node {
	w := d.fleet
	w.mu.Lock()
	delay := time.Duration(1+d.rand.IntN(60)) * time.Millisecond
	w.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, vm := range w.list {
		if vm.ID == to && w.nodes[i] != nil && !w.nodes[i].dead && !w.cut[[2]int{d.index, i}] {
			return w.nodes[i]
		}
	}
	return nil
}

// awake returns once the daemon is not paused.
func (d *node) awake() {
	for {
		d.fleet.mu.Lock()
		paused := d.paused
		d.fleet.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// traffic sends requests as a router does, up to the daemon's load.
func (d *node) traffic() {
	for d.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		d.awake()
		for d.try() {
		}
	}
}

func (d *node) try() bool {
	w := d.fleet
	w.mu.Lock()
	work := 1 + d.rand.Int64N(unit)
	life := time.Duration(1 + d.rand.Int64N(int64(w.life)))
	stall := d.rand.IntN(10) == 0
	full := float64(d.gauge.Outstanding.Load()) >= d.load*budget || d.ctx.Err() != nil
	e := d.endpoint()
	w.mu.Unlock()
	if full {
		return false
	}
	e.Quota.RecordDemand(work)
	if !d.limit.Acquire(e, work) {
		return false
	}
	if stall {
		time.Sleep(time.Millisecond)
		d.awake()
	}
	if !d.limit.Valid(e) {
		d.limit.Release(e, work)
		return false
	}
	w.wait.Go(func() { d.request(e, work, life) })
	return true
}

// request runs one request at the endpoint.
func (d *node) request(e *samphireturn.Endpoint, work int64, life time.Duration) {
	w := d.fleet
	w.mu.Lock()
	if d.ctx.Err() != nil || e.Incarnation != w.start {
		w.mu.Unlock()
		d.limit.Release(e, work)
		return
	}
	total := work
	for _, used := range w.used {
		total += used
	}
	if total > w.bears() {
		w.refuse++
		if w.over == "" {
			w.over = fmt.Sprintf("%s sends %d, so that %d are under way of %d", d.self.ID, work, total, w.bears())
		}
		w.mu.Unlock()
		d.limit.Release(e, work)
		d.Sent(e, samphireturn.VersionRef{}, 0, &dispatcher.Error{Kind: dispatcher.KindRefused, Code: codeOverloaded})
		return
	}
	w.used[d] += work
	w.mu.Unlock()
	select {
	case <-time.After(life):
	case <-d.ctx.Done():
		return
	}
	w.mu.Lock()
	if e.Incarnation == w.start {
		w.used[d] -= work
	}
	w.mu.Unlock()
	d.awake()
	d.limit.Release(e, work)
	d.Sent(e, samphireturn.VersionRef{}, 0, nil)
}
