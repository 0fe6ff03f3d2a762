package detector

import (
	"context"
	"slices"
	"strings"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
)

type (
	// Serving tells other data centres which versions one serves.
	Serving struct {
		Centre   string                    `cbor:"c"`
		Versions []samphireturn.VersionRef `cbor:"v"`
		// Local marks a message passed on within the data centre.
		Local bool `cbor:"l,omitempty"`
	}

	// update is the event that puts members and endpoints in force.
	update struct {
		members   []samphireturn.VM
		endpoints map[string]*samphireturn.Endpoint
		left      map[string]bool
		remote    map[string][]samphireturn.VersionRef
	}
)

// Apply puts the members and endpoints in force and builds the pools.
func (u *update) Apply(next *samphireturn.Snapshot) {
	next.Members = u.members
	next.Endpoints = u.endpoints
	u.build(next)
}

// Derive builds the pools anew when the configuration has changed, so that a
// data centre that was taken out leaves them in the same snapshot. It runs on
// the control goroutine.
func (d *Detector) Derive(old, next *samphireturn.Snapshot) {
	if u := d.last.Load(); u != nil && old.Config != next.Config {
		u.build(next)
	}
}

// build makes the pools with the configuration in force.
func (u *update) build(next *samphireturn.Snapshot) {
	next.Pools = make(map[samphireturn.VersionRef][]*samphireturn.Endpoint)
	next.Services = make(map[string][]*samphireturn.Endpoint)
	next.RemoteCentres = make(map[samphireturn.VersionRef][]string)
	out := make(map[string]bool)
	if next.Config != nil {
		for _, c := range next.Config.Centres {
			out[c.Name] = c.OutOfService
		}
	}
	for _, id := range sorted(u.endpoints) {
		e := u.endpoints[id]
		if u.left[id] || out[e.Centre] {
			continue
		}
		if e.Role == samphireturn.RoleService {
			next.Services[e.Service] = append(next.Services[e.Service], e)
			continue
		}
		for _, v := range e.Versions {
			next.Pools[v] = append(next.Pools[v], e)
		}
	}
	for _, centre := range sorted(u.remote) {
		if out[centre] || centre == next.Self.Centre {
			continue
		}
		for _, v := range u.remote[centre] {
			next.RemoteCentres[v] = append(next.RemoteCentres[v], centre)
		}
	}
}

func sorted[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// publish posts the state as one event. Posts keep the order of the states, as
// mu is held.
func (d *Detector) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dirty = false
	d.config = d.Control.Snapshot().Config
	u := &update{
		members:   d.members(),
		endpoints: make(map[string]*samphireturn.Endpoint),
		left:      make(map[string]bool),
		remote:    make(map[string][]samphireturn.VersionRef),
	}
	near := d.homes()
	for _, vm := range d.list {
		r := d.records[vm.ID]
		if vm.Role == samphireturn.RoleEntry || r == nil || d.unlisted() {
			continue
		}
		u.endpoints[vm.ID] = endpoint(vm, r, ranker.Home(vm.ID, near))
		leaving := d.Now().Sub(r.refused) < leavingTime
		u.endpoints[vm.ID].Leaving = u.endpoints[vm.ID].Leaving || leaving
		u.left[vm.ID] = vm.Leaving || r.Leaving || r.Failed || leaving
	}
	for centre, s := range d.serving {
		if d.current(s) {
			u.remote[centre] = s.versions
		}
	}
	d.last.Store(u)
	d.Control.Post(u)
}

// endpoint returns the endpoint of a record. Plain services report no warm-up;
// one that has just restarted is cold until its next report.
func endpoint(vm samphireturn.VM, r *record, home string) *samphireturn.Endpoint {
	e := &samphireturn.Endpoint{
		VM:          vm,
		Incarnation: r.Start,
		Budget:      r.Budget,
		InFlight:    r.Used,
		Queued:      r.Queued,
		Throughput:  r.Speed,
		Warm:        (r.Warm || vm.Role == samphireturn.RoleService) && !r.cold,
		Fenced:      r.Fenced,
		Home:        home,
		Quota:       r.gauge,
	}
	e.Leaving = vm.Leaving || r.Leaving
	for _, name := range r.Versions {
		model, version, ok := strings.Cut(name, "@")
		if ok {
			e.Versions = append(e.Versions, samphireturn.VersionRef{Model: model, Version: version})
		}
	}
	return e
}

// tellServing sends what this data centre serves to the homes of the others.
func (d *Detector) tellServing(ctx context.Context) {
	d.mu.Lock()
	home := d.first("serving/"+d.self.Centre, 1)
	to := make(map[string][]samphireturn.VM)
	for _, vm := range d.members() {
		if vm.Centre != d.self.Centre {
			to[vm.Centre] = append(to[vm.Centre], vm)
		}
	}
	d.dirty = true
	d.mu.Unlock()
	if !home {
		return
	}
	var ids []string
	for centre, members := range to {
		ids = append(ids, ranker.Rank("serving/"+centre, members)[:min(listHomes, len(members))]...)
	}
	d.tell(ctx, ids, d.served())
}

// served returns what this data centre serves.
func (d *Detector) served() Serving {
	message := Serving{Centre: d.self.Centre}
	for v, pool := range d.Control.Snapshot().Pools {
		if len(pool) > 0 {
			message.Versions = append(message.Versions, v)
		}
	}
	for name, pool := range d.Control.Snapshot().Services {
		if len(pool) > 0 {
			message.Versions = append(message.Versions, samphireturn.ServiceRef(name))
		}
	}
	slices.SortFunc(message.Versions, func(a, b samphireturn.VersionRef) int {
		return strings.Compare(a.String(), b.String())
	})
	return message
}

// greet sends what this data centre serves to daemons of others that have just
// been linked, until they have it, so that a healed cut does not last until the
// next period.
func (d *Detector) greet(ctx context.Context) {
	linked := d.Links.Connected()
	d.mu.Lock()
	var ids []string
	greeted := make(map[string]bool)
	for _, vm := range d.members() {
		if _, ok := slices.BinarySearch(linked, vm.ID); !ok || vm.Centre == d.self.Centre {
			continue
		}
		greeted[vm.ID] = d.greeted[vm.ID]
		if !greeted[vm.ID] {
			ids = append(ids, vm.ID)
		}
	}
	d.greeted = greeted
	d.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	message := d.served()
	d.each(ctx, ids, func(ctx context.Context, id string) {
		if d.Links.Call(ctx, id, TopicServing, message, nil) != nil {
			reasons.Add("pass_serving", 1)
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.greeted[id] = true
	})
}

func (d *Detector) tell(ctx context.Context, ids []string, message Serving) {
	d.each(ctx, ids, func(ctx context.Context, id string) {
		if d.Links.Call(ctx, id, TopicServing, message, nil) != nil {
			reasons.Add("pass_serving", 1)
		}
	})
}

// current reports whether what another data centre serves still counts.
func (d *Detector) current(r remote) bool {
	return d.Now().Sub(r.at) < servingPeriods*d.ServingTime
}

// takeServing handles TopicServing and passes the message on within the data
// centre.
func (d *Detector) takeServing(ctx context.Context, _ string, body []byte) (any, error) {
	var in Serving
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "take serving", Kind: samphireturn.KindInvalid, Err: err}
	}
	d.mu.Lock()
	old := d.serving[in.Centre]
	forgotten := !d.current(old)
	d.serving[in.Centre] = remote{versions: in.Versions, at: d.Now()}
	to := d.others()
	d.mu.Unlock()
	if forgotten || !slices.Equal(old.versions, in.Versions) {
		d.publish()
	}
	if !in.Local {
		in.Local = true
		d.tell(ctx, to, in)
	}
	return nil, nil
}
