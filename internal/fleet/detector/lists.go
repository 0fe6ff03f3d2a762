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
	// ListUpdate carries the VM list to a peer: its digest only, the changes
	// since another list, or the whole list.
	ListUpdate struct {
		Digest uint64 `cbor:"d"`
		// Base is the digest of the list that VMs and Removed change; zero if VMs
		// is the whole list.
		Base uint64 `cbor:"b,omitempty"`
		// VMs holds all daemons and the data centre's endpoints, or only the new
		// and changed ones. It is empty if only the digest is sent.
		VMs     []samphireturn.VM `cbor:"v,omitempty"`
		Removed []string          `cbor:"g,omitempty"`
	}

	// ListReply is the digest of the peer's list.
	ListReply struct {
		Digest uint64 `cbor:"d"`
	}
)

// readList reads the VM list and sends it to the other daemons, if self is one
// of the list's homes. Another daemon reads it only if it got none for
// fallbackDelay. The second home reads every other interval, as a standby that
// may see VMs which the first misses.
func (d *Detector) readList(ctx context.Context) {
	d.mu.Lock()
	home := d.isAmongHomes("vms/"+d.self.Centre, listReaders)
	standby := home && !d.isAmongHomes("vms/"+d.self.Centre, 1)
	overdue := d.listConfirmed.IsZero() || d.Now().Sub(d.listConfirmed) > d.fallbackDelay
	readRecently := !d.lastRead.IsZero() && d.Now().Sub(d.lastRead) < standbyHalfIntervals*d.ListInterval/2
	d.mu.Unlock()
	if !home && !overdue || standby && readRecently {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, 5*d.ListInterval)
	defer cancel()
	vms, err := d.Lister.VMs(readCtx)
	if err != nil {
		reasons.Add("list", 1)
		d.Log.Warn().Err(err).Msg("VM list not read, the last one stays")
		return
	}
	vms = d.normalize(vms)
	if len(vms) == 0 {
		reasons.Add("empty_list", 1)
		return
	}
	intervals := 1
	if standby {
		intervals = 2
	}
	d.applyList(d.retainLive(vms, intervals))
	d.mu.Lock()
	d.lastRead = d.Now()
	d.mu.Unlock()
	if home {
		d.shareList(ctx)
	}
}

// normalize removes other data centres' endpoints and duplicates, and sorts by
// id.
func (d *Detector) normalize(vms []samphireturn.VM) []samphireturn.VM {
	kept := make([]samphireturn.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.ID != "" && (vm.Role == samphireturn.RoleEntry || vm.Centre == d.self.Centre) {
			kept = append(kept, vm)
		}
	}
	slices.SortFunc(kept, func(a, b samphireturn.VM) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(kept, func(a, b samphireturn.VM) bool { return a.ID == b.ID })
}

// retainLive adds to a list from the platform the VMs that it lacks but that
// are still alive: a daemon while its link lives, and an endpoint while its
// report can be read, for up to maxMissingLists lists. intervals is the number
// of list intervals since the last read.
func (d *Detector) retainLive(vms []samphireturn.VM, intervals int) []samphireturn.VM {
	linked := d.Links.Connected()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, vm := range vms {
		delete(d.missingLists, vm.ID)
	}
	read := len(vms)
	for _, vm := range d.list {
		if _, ok := slices.BinarySearchFunc(vms[:read], vm.ID, compare); ok {
			continue
		}
		if d.seemsAlive(vm, linked, intervals) {
			vms = append(vms, vm)
		}
	}
	return d.normalize(vms)
}

// applyList replaces the list by a sorted one and publishes a change.
func (d *Detector) applyList(vms []samphireturn.VM) {
	d.mu.Lock()
	changed := d.setList(vms)
	d.mu.Unlock()
	if changed {
		d.publishMembers()
	}
}

// setList replaces the list by a sorted one and reports whether it differs. The
// caller holds mu and must call publishMembers after a change.
func (d *Detector) setList(vms []samphireturn.VM) bool {
	for _, vm := range d.list {
		if _, ok := slices.BinarySearchFunc(vms, vm.ID, compare); !ok {
			delete(d.missingLists, vm.ID)
			delete(d.records, vm.ID)
		}
	}
	d.listConfirmed = d.Now()
	changed := !slices.Equal(d.list, vms)
	if changed {
		d.previousList = d.list
	}
	wasUnlisted := len(d.list) > 0 && d.isUnlisted()
	d.list = vms
	d.reportUnlisted(wasUnlisted)
	return changed
}

// publishMembers passes the new list to the messenger and the control state.
func (d *Detector) publishMembers() {
	d.mu.Lock()
	members := d.members()
	d.mu.Unlock()
	d.Links.SetMembers(members)
	d.publish()
}

// compare orders a VM against an id.
func compare(vm samphireturn.VM, id string) int { return strings.Compare(vm.ID, id) }

// seemsAlive reports whether a VM that a list lacks shows signs of life. The
// caller holds mu.
func (d *Detector) seemsAlive(vm samphireturn.VM, linked []string, intervals int) bool {
	if vm.Role == samphireturn.RoleEntry {
		_, ok := slices.BinarySearch(linked, vm.ID)
		return ok || vm.ID == d.self.ID
	}
	d.missingLists[vm.ID] += intervals
	if d.missingLists[vm.ID] > maxMissingLists {
		return false
	}
	r := d.records[vm.ID]
	return r != nil && r.hasReport && r.failedReads == 0 && !r.Failed
}

// shareList sends the list to the data centre's other daemons: its digest
// first, then the changes to those that have the previous list, or the whole
// list to those that have another one.
func (d *Detector) shareList(ctx context.Context) {
	d.mu.Lock()
	list, previous := d.list, d.previousList
	ids := d.linkedOthers()
	d.mu.Unlock()
	full := ListUpdate{Digest: digest(list), VMs: list}
	changes := diff(previous, list)
	d.forEach(ctx, ids, func(ctx context.Context, id string) {
		var answer ListReply
		err := d.Links.Call(ctx, id, TopicVMs, ListUpdate{Digest: full.Digest}, &answer)
		if err == nil && answer.Digest != full.Digest && answer.Digest == changes.Base {
			err = d.Links.Call(ctx, id, TopicVMs, changes, &answer)
		}
		if err == nil && answer.Digest != full.Digest {
			err = d.Links.Call(ctx, id, TopicVMs, full, &answer)
		}
		if err != nil {
			reasons.Add("pass_list", 1)
		}
	})
}

// diff returns the changes that turn one sorted list into another.
func diff(from, to []samphireturn.VM) ListUpdate {
	out := ListUpdate{Digest: digest(to), Base: digest(from)}
	for _, vm := range to {
		i, ok := slices.BinarySearchFunc(from, vm.ID, compare)
		if !ok || from[i] != vm {
			out.VMs = append(out.VMs, vm)
		}
	}
	for _, vm := range from {
		if _, ok := slices.BinarySearchFunc(to, vm.ID, compare); !ok {
			out.Removed = append(out.Removed, vm.ID)
		}
	}
	return out
}

// applyDiff returns the VMs of a list with the changes applied, not sorted.
func applyDiff(list []samphireturn.VM, in ListUpdate) []samphireturn.VM {
	next := slices.Clone(in.VMs)
	for _, vm := range list {
		replaced := slices.ContainsFunc(in.VMs, func(v samphireturn.VM) bool { return v.ID == vm.ID })
		if !replaced && !slices.Contains(in.Removed, vm.ID) {
			next = append(next, vm)
		}
	}
	return next
}

// forEach calls f concurrently for every id and waits. The calls have 2 s in
// all.
func (d *Detector) forEach(ctx context.Context, ids []string, f func(context.Context, string)) {
	callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	group := d.pool.NewGroup()
	for _, id := range ids {
		group.Submit(func() { f(callCtx, id) })
	}
	_ = group.Wait()
}

// handleList handles TopicVMs.
func (d *Detector) handleList(_ context.Context, _ string, body []byte) (any, error) {
	var in ListUpdate
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "decode VM list", Kind: samphireturn.KindInvalid, Err: err}
	}
	if in.Base == 0 && len(in.VMs) > 0 {
		d.applyList(d.normalize(in.VMs))
		return ListReply{Digest: in.Digest}, nil
	}
	if in.Base != 0 {
		return d.handleListDiff(in)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastRead.IsZero() && d.Now().Sub(d.lastRead) < ownListTTLIntervals*d.ListInterval {
		return ListReply{Digest: in.Digest}, nil
	}
	have := digest(d.list)
	if have == in.Digest {
		d.listConfirmed = d.Now()
	}
	return ListReply{Digest: have}, nil
}

// handleListDiff applies changes if they are based on the list here and yield
// the list that the sender has.
func (d *Detector) handleListDiff(in ListUpdate) (any, error) {
	d.mu.Lock()
	list := d.list
	d.mu.Unlock()
	have := digest(list)
	if have != in.Base {
		return ListReply{Digest: have}, nil
	}
	next := d.normalize(applyDiff(list, in))
	if digest(next) != in.Digest {
		reasons.Add("list_changes", 1)
		return ListReply{Digest: have}, nil
	}
	d.applyList(next)
	return ListReply{Digest: in.Digest}, nil
}

// digest returns a hash of a sorted list.
func digest(list []samphireturn.VM) uint64 {
	data, err := encoder.Marshal(list)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
