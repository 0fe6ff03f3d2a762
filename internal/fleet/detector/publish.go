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
	// ServedVersions announces the versions and services that a data centre
	// serves.
	ServedVersions struct {
		Centre   string                    `cbor:"c"`
		Versions []samphireturn.VersionRef `cbor:"v"`
		// Local marks a message that is forwarded within the receiving data centre.
		Local bool `cbor:"l,omitempty"`
	}

	// update is the event that replaces the members and endpoints of the
	// snapshot.
	update struct {
		members   []samphireturn.VM
		endpoints map[string]*samphireturn.Endpoint
		// excluded holds the endpoints that get no new work, remote the versions
		// served by other data centres.
		excluded map[string]bool
		remote   map[string][]samphireturn.VersionRef
	}
)

// Apply sets the members and endpoints and builds the pools.
func (u *update) Apply(next *samphireturn.Snapshot) {
	next.Members = u.members
	next.Endpoints = u.endpoints
	u.buildPools(next)
}

// Derive rebuilds the pools when the configuration has changed, so that a data
// centre that is taken out of service leaves the pools in the same snapshot. It
// runs on the control goroutine.
func (d *Detector) Derive(old, next *samphireturn.Snapshot) {
	if u := d.lastUpdate.Load(); u != nil && old.Config != next.Config {
		u.buildPools(next)
	}
}

// buildPools builds the pools of the snapshot under its configuration.
func (u *update) buildPools(next *samphireturn.Snapshot) {
	next.Pools = make(map[samphireturn.VersionRef][]*samphireturn.Endpoint)
	next.Services = make(map[string][]*samphireturn.Endpoint)
	next.RemoteCentres = make(map[samphireturn.VersionRef][]string)
	outOfService := make(map[string]bool)
	if next.Config != nil {
		for _, c := range next.Config.Centres {
			outOfService[c.Name] = c.OutOfService
		}
	}
	for _, id := range sortedKeys(u.endpoints) {
		e := u.endpoints[id]
		if u.excluded[id] || outOfService[e.Centre] {
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
	for _, centre := range sortedKeys(u.remote) {
		if outOfService[centre] || centre == next.Self.Centre {
			continue
		}
		for _, v := range u.remote[centre] {
			next.RemoteCentres[v] = append(next.RemoteCentres[v], centre)
		}
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// publish posts the current state as one event. mu is held during the post, so
// that events are posted in the order of their states.
func (d *Detector) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dirty = false
	d.config = d.Control.Snapshot().Config
	u := &update{
		members:   d.members(),
		endpoints: make(map[string]*samphireturn.Endpoint),
		excluded:  make(map[string]bool),
		remote:    make(map[string][]samphireturn.VersionRef),
	}
	candidates := d.homeCandidates()
	for _, vm := range d.list {
		r := d.records[vm.ID]
		if vm.Role == samphireturn.RoleEntry || r == nil || d.isUnlisted() {
			continue
		}
		u.endpoints[vm.ID] = newEndpoint(vm, r, ranker.Home(vm.ID, candidates))
		leaving := d.Now().Sub(r.leavingSince) < leavingTTL
		u.endpoints[vm.ID].Leaving = u.endpoints[vm.ID].Leaving || leaving
		u.excluded[vm.ID] = vm.Leaving || r.Leaving || r.Failed || leaving
	}
	for centre, s := range d.remoteCentres {
		if d.isCurrent(s) {
			u.remote[centre] = s.versions
		}
	}
	d.lastUpdate.Store(u)
	d.Control.Post(u)
}

// newEndpoint returns the endpoint of a record. Plain services report no
// warm-up and count as warm. A restarted endpoint counts as cold until its next
// report.
func newEndpoint(vm samphireturn.VM, r *record, home string) *samphireturn.Endpoint {
	e := &samphireturn.Endpoint{
		VM:          vm,
		Incarnation: r.Incarnation,
		Budget:      r.Budget,
		InFlight:    r.InFlight,
		Queued:      r.Queued,
		Throughput:  r.Throughput,
		Warm:        (r.Warm || vm.Role == samphireturn.RoleService) && !r.justRestarted,
		Fenced:      r.Fenced,
		Home:        home,
		Quota:       r.quota,
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

// announceServed sends the versions that this data centre serves to the first
// listReaders daemons, by rank, of every other data centre.
func (d *Detector) announceServed(ctx context.Context) {
	d.mu.Lock()
	home := d.isAmongHomes("serving/"+d.self.Centre, 1)
	byCentre := make(map[string][]samphireturn.VM)
	for _, vm := range d.members() {
		if vm.Centre != d.self.Centre {
			byCentre[vm.Centre] = append(byCentre[vm.Centre], vm)
		}
	}
	d.dirty = true
	d.mu.Unlock()
	if !home {
		return
	}
	var ids []string
	for centre, members := range byCentre {
		ids = append(ids, ranker.Rank("serving/"+centre, members)[:min(listReaders, len(members))]...)
	}
	d.sendServed(ctx, ids, d.servedVersions())
}

// servedVersions returns the versions and services that this data centre
// serves.
func (d *Detector) servedVersions() ServedVersions {
	message := ServedVersions{Centre: d.self.Centre}
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

// announceToNewLinks sends the versions that this data centre serves to newly
// linked daemons of other data centres until they have received them, so that
// after a partition heals they need not wait for the next serving interval.
func (d *Detector) announceToNewLinks(ctx context.Context) {
	linked := d.Links.Connected()
	d.mu.Lock()
	var ids []string
	informed := make(map[string]bool)
	for _, vm := range d.members() {
		if _, ok := slices.BinarySearch(linked, vm.ID); !ok || vm.Centre == d.self.Centre {
			continue
		}
		informed[vm.ID] = d.informed[vm.ID]
		if !informed[vm.ID] {
			ids = append(ids, vm.ID)
		}
	}
	d.informed = informed
	d.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	message := d.servedVersions()
	d.forEach(ctx, ids, func(ctx context.Context, id string) {
		if d.Links.Call(ctx, id, TopicServing, message, nil) != nil {
			reasons.Add("pass_serving", 1)
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.informed[id] = true
	})
}

// sendServed sends a message to all ids.
func (d *Detector) sendServed(ctx context.Context, ids []string, message ServedVersions) {
	d.forEach(ctx, ids, func(ctx context.Context, id string) {
		if d.Links.Call(ctx, id, TopicServing, message, nil) != nil {
			reasons.Add("pass_serving", 1)
		}
	})
}

// isCurrent reports whether the announcement of another data centre has not
// expired.
func (d *Detector) isCurrent(r remoteCentre) bool {
	return d.Now().Sub(r.receivedAt) < servedTTLIntervals*d.ServingInterval
}

// handleServed handles TopicServing and forwards the message within the data
// centre.
func (d *Detector) handleServed(ctx context.Context, _ string, body []byte) (any, error) {
	var in ServedVersions
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "decode served versions", Kind: samphireturn.KindInvalid, Err: err}
	}
	d.mu.Lock()
	old := d.remoteCentres[in.Centre]
	expired := !d.isCurrent(old)
	d.remoteCentres[in.Centre] = remoteCentre{versions: in.Versions, receivedAt: d.Now()}
	ids := d.linkedOthers()
	d.mu.Unlock()
	if expired || !slices.Equal(old.versions, in.Versions) {
		d.publish()
	}
	if !in.Local {
		in.Local = true
		d.sendServed(ctx, ids, in)
	}
	return nil, nil
}
