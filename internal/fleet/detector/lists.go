package detector

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

type (
	// List tells a peer the VM list: only its digest, what has changed since
	// another list, or all of it.
	List struct {
		Digest uint64 `cbor:"d"`
		// Base is the digest of the list that VMs and Gone change; zero if VMs is
		// the whole list.
		Base uint64 `cbor:"b,omitempty"`
		// VMs holds all daemons and the data centre's endpoints, or the new and
		// changed ones; empty if the peer should have them.
		VMs  []samphireturn.VM `cbor:"v,omitempty"`
		Gone []string          `cbor:"g,omitempty"`
	}

	// ListAnswer says which list the peer has.
	ListAnswer struct {
		Digest uint64 `cbor:"d"`
	}
)

// readList reads the VM list if self is one of its homes, or if no home has
// sent it for a long time, and passes it on. The second home reads every other
// period: it stands by for the first and sees what the first may not.
func (d *Detector) readList(ctx context.Context) {
	d.mu.Lock()
	home := d.first("vms/"+d.self.Centre, listHomes)
	second := home && !d.first("vms/"+d.self.Centre, 1)
	late := d.listed.IsZero() || d.Now().Sub(d.listed) > d.slow
	recent := !d.read.IsZero() && d.Now().Sub(d.read) < secondTime*d.ListTime/2
	d.mu.Unlock()
	if !home && !late || second && recent {
		return
	}
	limit, cancel := context.WithTimeout(ctx, 5*d.ListTime)
	defer cancel()
	vms, err := d.Lister.VMs(limit)
	if err != nil {
		reasons.Add("list", 1)
		d.Log.Warn().Err(err).Msg("VM list not read, the last one stays")
		return
	}
	vms = d.relevant(vms)
	if len(vms) == 0 {
		reasons.Add("empty_list", 1)
		return
	}
	periods := 1
	if second {
		periods = 2
	}
	d.adopt(d.merge(vms, periods))
	d.mu.Lock()
	d.read = d.Now()
	d.mu.Unlock()
	if home {
		d.passList(ctx)
	}
}

// relevant drops other data centres' endpoints and sorts by id.
func (d *Detector) relevant(vms []samphireturn.VM) []samphireturn.VM {
	kept := make([]samphireturn.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.ID != "" && (vm.Role == samphireturn.RoleEntry || vm.Centre == d.self.Centre) {
			kept = append(kept, vm)
		}
	}
	slices.SortFunc(kept, func(a, b samphireturn.VM) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(kept, func(a, b samphireturn.VM) bool { return a.ID == b.ID })
}

// merge adds to a list that was read what it lacks but must not lose: a daemon
// while its link lives, an endpoint while its report answers for up to gapLimit
// lists. Periods is the number of list periods since the last read.
func (d *Detector) merge(vms []samphireturn.VM, periods int) []samphireturn.VM {
	linked := d.Links.Connected()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, vm := range vms {
		delete(d.missing, vm.ID)
	}
	listed := len(vms)
	for _, vm := range d.list {
		if _, ok := slices.BinarySearchFunc(vms[:listed], vm.ID, compare); ok {
			continue
		}
		if d.alive(vm, linked, periods) {
			vms = append(vms, vm)
		}
	}
	return d.relevant(vms)
}

// adopt puts a sorted list in force.
func (d *Detector) adopt(vms []samphireturn.VM) {
	d.mu.Lock()
	changed := d.put(vms)
	d.mu.Unlock()
	if changed {
		d.tellMembers()
	}
}

// put puts a sorted list in force and reports whether it differs. The caller
// holds mu and calls tellMembers then.
func (d *Detector) put(vms []samphireturn.VM) bool {
	for _, vm := range d.list {
		if _, ok := slices.BinarySearchFunc(vms, vm.ID, compare); !ok {
			delete(d.missing, vm.ID)
			delete(d.records, vm.ID)
		}
	}
	d.listed = d.Now()
	changed := !slices.Equal(d.list, vms)
	if changed {
		d.before = d.list
	}
	known := len(d.list) > 0 && d.unlisted()
	d.list = vms
	d.noteUnlisted(known)
	return changed
}

// tellMembers passes the list in force on within this daemon.
func (d *Detector) tellMembers() {
	d.mu.Lock()
	members := d.members()
	d.mu.Unlock()
	d.Links.SetMembers(members)
	d.publish()
}

func compare(vm samphireturn.VM, id string) int { return strings.Compare(vm.ID, id) }

// alive reports whether a VM that a list lacks shows signs of life. The caller
// holds mu.
func (d *Detector) alive(vm samphireturn.VM, linked []string, periods int) bool {
	if vm.Role == samphireturn.RoleEntry {
		_, ok := slices.BinarySearch(linked, vm.ID)
		return ok || vm.ID == d.self.ID
	}
	d.missing[vm.ID] += periods
	if d.missing[vm.ID] > gapLimit {
		return false
	}
	r := d.records[vm.ID]
	return r != nil && r.known && r.fails == 0 && !r.Failed
}

// passList tells the data centre's daemons the list: its digest first, then what
// has changed to those that have the one before, all of it to the others.
func (d *Detector) passList(ctx context.Context) {
	d.mu.Lock()
	list, before := d.list, d.before
	to := d.others()
	d.mu.Unlock()
	whole := List{Digest: sum(list), VMs: list}
	changes := difference(before, list)
	d.each(ctx, to, func(ctx context.Context, id string) {
		var answer ListAnswer
		err := d.Links.Call(ctx, id, TopicVMs, List{Digest: whole.Digest}, &answer)
		if err == nil && answer.Digest != whole.Digest && answer.Digest == changes.Base {
			err = d.Links.Call(ctx, id, TopicVMs, changes, &answer)
		}
		if err == nil && answer.Digest != whole.Digest {
			err = d.Links.Call(ctx, id, TopicVMs, whole, &answer)
		}
		if err != nil {
			reasons.Add("pass_list", 1)
		}
	})
}

// difference returns what turns one sorted list into another.
func difference(from, to []samphireturn.VM) List {
	out := List{Digest: sum(to), Base: sum(from)}
	for _, vm := range to {
		i, ok := slices.BinarySearchFunc(from, vm.ID, compare)
		if !ok || from[i] != vm {
			out.VMs = append(out.VMs, vm)
		}
	}
	for _, vm := range from {
		if _, ok := slices.BinarySearchFunc(to, vm.ID, compare); !ok {
			out.Gone = append(out.Gone, vm.ID)
		}
	}
	return out
}

// changed returns a sorted list with the changes of in.
func changed(list []samphireturn.VM, in List) []samphireturn.VM {
	next := slices.Clone(in.VMs)
	for _, vm := range list {
		replaced := slices.ContainsFunc(in.VMs, func(v samphireturn.VM) bool { return v.ID == vm.ID })
		if !replaced && !slices.Contains(in.Gone, vm.ID) {
			next = append(next, vm)
		}
	}
	return next
}

// each calls f for every id, all at once, and waits.
func (d *Detector) each(ctx context.Context, ids []string, f func(context.Context, string)) {
	limit, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	group := d.pool.NewGroup()
	for _, id := range ids {
		group.Submit(func() { f(limit, id) })
	}
	_ = group.Wait()
}

// takeList handles TopicVMs.
func (d *Detector) takeList(_ context.Context, _ string, body []byte) (any, error) {
	var in List
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "take list", Kind: samphireturn.KindInvalid, Err: err}
	}
	if in.Base == 0 && len(in.VMs) > 0 {
		d.adopt(d.relevant(in.VMs))
		return ListAnswer{Digest: in.Digest}, nil
	}
	if in.Base != 0 {
		return d.takeChanges(in)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.read.IsZero() && d.Now().Sub(d.read) < freshLists*d.ListTime {
		return ListAnswer{Digest: in.Digest}, nil
	}
	have := sum(d.list)
	if have == in.Digest {
		d.listed = d.Now()
	}
	return ListAnswer{Digest: have}, nil
}

// takeChanges puts changes in force if they are made to the list in force here
// and lead to the list that the sender has.
func (d *Detector) takeChanges(in List) (any, error) {
	d.mu.Lock()
	list := d.list
	d.mu.Unlock()
	have := sum(list)
	if have != in.Base {
		return ListAnswer{Digest: have}, nil
	}
	next := d.relevant(changed(list, in))
	if sum(next) != in.Digest {
		reasons.Add("list_changes", 1)
		return ListAnswer{Digest: have}, nil
	}
	d.adopt(next)
	return ListAnswer{Digest: in.Digest}, nil
}

// sum returns a digest of a sorted list.
func sum(list []samphireturn.VM) uint64 {
	data, err := encoder.Marshal(list)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
