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

func (d *simDaemon) Post(samphireturn.Event) {}

// Snapshot returns the daemon's view, with its late member list and delayed
// load reports.
func (d *simDaemon) Snapshot() *samphireturn.Snapshot {
	d.waitUnpaused()
	sim := d.fleet
	sim.mu.Lock()
	defer sim.mu.Unlock()
	list := sim.list
	if d.list != nil {
		list = d.list
	}
	if d.endpointsByID != nil {
		return &samphireturn.Snapshot{Self: d.self, Members: list, Endpoints: d.endpointsByID}
	}
	return &samphireturn.Snapshot{Self: d.self, Members: list, Endpoints: map[string]*samphireturn.Endpoint{"e": d.endpoint()}}
}

// endpoint returns the endpoint with a load report that is 800 ms old.
func (d *simDaemon) endpoint() *samphireturn.Endpoint {
	sim := d.fleet
	e := &samphireturn.Endpoint{VM: samphireturn.VM{ID: "e", Centre: "x", Role: samphireturn.RoleEngine}, Incarnation: sim.incarnation, Budget: budget, Warm: sim.warm, Quota: d.quota}
	if len(sim.loadHistory) > 8 {
		e.InFlight = sim.loadHistory[len(sim.loadHistory)-8]
	}
	return e
}

func (d *simDaemon) Handle(_ string, h samphireturn.Handler) { d.handler = h }

func (d *simDaemon) Connected() []string {
	sim := d.fleet
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var ids []string
	for i, other := range sim.daemons {
		if i != d.index && other != nil && !other.dead && !sim.cut[[2]int{d.index, i}] {
			ids = append(ids, sim.list[i].ID)
		}
	}
	return ids
}

// Call delivers a message and its reply, each with a delay, unless the link is
// cut on the way.
func (d *simDaemon) Call(ctx context.Context, to, _ string, body, reply any) error {
	data, _ := encoder.Marshal(body)
	other := d.deliver(ctx, to)
	if other == nil {
		return errors.New("cut")
	}
	other.waitUnpaused()
	answer, err := other.handler(ctx, d.self.ID, data)
	if err != nil {
		return err
	}
	other.waitUnpaused()
	back, _ := encoder.Marshal(answer)
	d.fleet.mu.Lock()
	d.fleet.messageBytes += int64(len(data) + len(back))
	d.fleet.calls++
	d.fleet.mu.Unlock()
	if d.deliver(ctx, to) == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	d.waitUnpaused()
	return encoder.Unmarshal(back, reply)
}

// deliver waits for a random delay and returns the daemon to, or nil if it
// cannot be reached then.
func (d *simDaemon) deliver(ctx context.Context, to string) *simDaemon {
	sim := d.fleet
	sim.mu.Lock()
	delay := time.Duration(1+d.rand.IntN(60)) * time.Millisecond
	sim.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i, vm := range sim.list {
		if vm.ID == to && sim.daemons[i] != nil && !sim.daemons[i].dead && !sim.cut[[2]int{d.index, i}] {
			return sim.daemons[i]
		}
	}
	return nil
}

// waitUnpaused returns once the daemon is not paused.
func (d *simDaemon) waitUnpaused() {
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
func (d *simDaemon) traffic() {
	for d.ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		d.waitUnpaused()
		for d.trySend() {
		}
	}
}

// trySend starts one request and reports whether another may follow at once.
func (d *simDaemon) trySend() bool {
	sim := d.fleet
	sim.mu.Lock()
	work := 1 + d.rand.Int64N(maxRequest)
	duration := time.Duration(1 + d.rand.Int64N(int64(sim.maxDuration)))
	stall := d.rand.IntN(10) == 0
	atLoad := float64(d.quota.Outstanding.Load()) >= d.load*budget || d.ctx.Err() != nil
	e := d.endpoint()
	sim.mu.Unlock()
	if atLoad {
		return false
	}
	e.Quota.RecordDemand(work)
	if !d.limit.Acquire(e, work) {
		return false
	}
	if stall {
		time.Sleep(time.Millisecond)
		d.waitUnpaused()
	}
	if !d.limit.Valid(e) {
		d.limit.Release(e, work)
		return false
	}
	sim.wait.Go(func() { d.request(e, work, duration) })
	return true
}

// request runs one request at the endpoint.
func (d *simDaemon) request(e *samphireturn.Endpoint, work int64, duration time.Duration) {
	sim := d.fleet
	sim.mu.Lock()
	if d.ctx.Err() != nil || e.Incarnation != sim.incarnation {
		sim.mu.Unlock()
		d.limit.Release(e, work)
		return
	}
	total := work
	for _, used := range sim.inFlight {
		total += used
	}
	if total > sim.capacity() {
		sim.refusals++
		if sim.overload == "" {
			sim.overload = fmt.Sprintf("%s sends %d, so that %d of %d are in flight", d.self.ID, work, total, sim.capacity())
		}
		sim.mu.Unlock()
		d.limit.Release(e, work)
		d.ObserveAttempt(e, samphireturn.VersionRef{}, 0, &dispatcher.Error{Kind: dispatcher.KindRefused, Code: codeOverloaded})
		return
	}
	sim.inFlight[d] += work
	sim.mu.Unlock()
	select {
	case <-time.After(duration):
	case <-d.ctx.Done():
		return
	}
	sim.mu.Lock()
	if e.Incarnation == sim.incarnation {
		sim.inFlight[d] -= work
	}
	sim.mu.Unlock()
	d.waitUnpaused()
	d.limit.Release(e, work)
	d.ObserveAttempt(e, samphireturn.VersionRef{}, 0, nil)
}
