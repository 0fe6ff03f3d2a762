package detector

import (
	"context"
	"slices"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

// ListAsk asks a peer for the daemons in its list.
type ListAsk struct {
	// Digest is that of the daemons in the list that the sender has.
	Digest uint64 `cbor:"d"`
}

// unlisted reports whether the list in force lacks this daemon. Others then may
// not count it: it is home of nothing, takes no part in grants and has no
// endpoints, but passes requests on. Without a list it has no endpoints either.
// The caller holds mu.
func (d *Detector) unlisted() bool {
	_, ok := slices.BinarySearchFunc(d.list, d.self.ID, compare)
	return !ok
}

// noteUnlisted counts and logs that the list has come to lack this daemon. The
// caller holds mu.
func (d *Detector) noteUnlisted(before bool) {
	if before || len(d.list) == 0 || !d.unlisted() {
		return
	}
	reasons.Add("unlisted", 1)
	d.Log.Warn().Str("event", "unlisted").Msg("VM list lacks this daemon, it serves nothing until it is listed")
}

// askList asks the linked peers for their list, one after the other, while this
// daemon is in none and has read none lately.
func (d *Detector) askList(ctx context.Context) {
	d.mu.Lock()
	have := sum(daemons(d.list))
	done := !d.unlisted() || !d.read.IsZero() && d.Now().Sub(d.read) < freshLists*d.ListTime
	d.mu.Unlock()
	if done {
		return
	}
	for _, id := range d.Links.Connected() {
		var answer List
		limit, cancel := context.WithTimeout(ctx, d.ListTime)
		err := d.Links.Call(limit, id, TopicAsk, ListAsk{Digest: have}, &answer)
		cancel()
		if err != nil {
			reasons.Add("ask_list", 1)
			continue
		}
		if answer.Digest != have && len(answer.VMs) > 0 {
			d.accept(answer.VMs)
		}
		if answer.Digest != 0 {
			return
		}
	}
}

// accept puts a peer's daemons in force beside the endpoints known already,
// unless a list holds this daemon by now.
func (d *Detector) accept(vms []samphireturn.VM) {
	vms = daemons(vms)
	d.mu.Lock()
	for _, vm := range d.list {
		if vm.Role != samphireturn.RoleEntry {
			vms = append(vms, vm)
		}
	}
	changed := d.unlisted() && d.put(d.relevant(vms))
	d.mu.Unlock()
	if changed {
		d.tellMembers()
	}
}

// takeAsk handles TopicAsk. A digest of zero says that there is no list here.
func (d *Detector) takeAsk(_ context.Context, _ string, body []byte) (any, error) {
	var in ListAsk
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "take ask", Kind: samphireturn.KindInvalid, Err: err}
	}
	d.mu.Lock()
	list := daemons(d.list)
	d.mu.Unlock()
	if len(list) == 0 {
		return List{}, nil
	}
	out := List{Digest: sum(list)}
	if out.Digest != in.Digest {
		out.VMs = list
	}
	return out, nil
}

// daemons returns the daemons in a list.
func daemons(list []samphireturn.VM) []samphireturn.VM {
	var found []samphireturn.VM
	for _, vm := range list {
		if vm.Role == samphireturn.RoleEntry {
			found = append(found, vm)
		}
	}
	return found
}
