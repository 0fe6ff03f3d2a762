package detector

import (
	"context"
	"slices"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

// ListRequest asks a peer for the daemons in its list.
type ListRequest struct {
	// Digest is the digest of the daemons in the sender's list.
	Digest uint64 `cbor:"d"`
}

// isUnlisted reports whether the list lacks this daemon, or there is none. Other
// daemons may not count an unlisted daemon, so it is home of nothing, takes no
// part in grants and has no endpoints, but it forwards requests. The caller
// holds mu.
func (d *Detector) isUnlisted() bool {
	_, ok := slices.BinarySearchFunc(d.list, d.self.ID, compare)
	return !ok
}

// reportUnlisted counts and logs that the list has come to lack this daemon.
// The caller holds mu.
func (d *Detector) reportUnlisted(wasUnlisted bool) {
	if wasUnlisted || len(d.list) == 0 || !d.isUnlisted() {
		return
	}
	reasons.Add("unlisted", 1)
	d.Log.Warn().Str("event", "unlisted").Msg("VM list lacks this daemon, it serves nothing until it is listed")
}

// requestList asks the linked peers for their list, one after the other, while
// this daemon is unlisted and has not read the list itself for
// ownListTTLIntervals.
func (d *Detector) requestList(ctx context.Context) {
	d.mu.Lock()
	have := digest(daemonsIn(d.list))
	done := !d.isUnlisted() || !d.lastRead.IsZero() && d.Now().Sub(d.lastRead) < ownListTTLIntervals*d.ListInterval
	d.mu.Unlock()
	if done {
		return
	}
	for _, id := range d.Links.Connected() {
		var answer ListUpdate
		callCtx, cancel := context.WithTimeout(ctx, d.ListInterval)
		err := d.Links.Call(callCtx, id, TopicListRequest, ListRequest{Digest: have}, &answer)
		cancel()
		if err != nil {
			reasons.Add("ask_list", 1)
			continue
		}
		if answer.Digest != have && len(answer.VMs) > 0 {
			d.applyPeerDaemons(answer.VMs)
		}
		if answer.Digest != 0 {
			return
		}
	}
}

// applyPeerDaemons replaces the daemons in the list by those of a peer and
// keeps the endpoints, unless the list holds this daemon by now.
func (d *Detector) applyPeerDaemons(vms []samphireturn.VM) {
	vms = daemonsIn(vms)
	d.mu.Lock()
	for _, vm := range d.list {
		if vm.Role != samphireturn.RoleEntry {
			vms = append(vms, vm)
		}
	}
	changed := d.isUnlisted() && d.setList(d.normalize(vms))
	d.mu.Unlock()
	if changed {
		d.publishMembers()
	}
}

// handleListRequest handles TopicListRequest. A digest of zero in the reply
// means that there is no list here.
func (d *Detector) handleListRequest(_ context.Context, _ string, body []byte) (any, error) {
	var in ListRequest
	if err := encoder.Unmarshal(body, &in); err != nil {
		return nil, &samphireturn.Error{Op: "decode list request", Kind: samphireturn.KindInvalid, Err: err}
	}
	d.mu.Lock()
	list := daemonsIn(d.list)
	d.mu.Unlock()
	if len(list) == 0 {
		return ListUpdate{}, nil
	}
	out := ListUpdate{Digest: digest(list)}
	if out.Digest != in.Digest {
		out.VMs = list
	}
	return out, nil
}

// daemonsIn returns the daemons in a list.
func daemonsIn(list []samphireturn.VM) []samphireturn.VM {
	var found []samphireturn.VM
	for _, vm := range list {
		if vm.Role == samphireturn.RoleEntry {
			found = append(found, vm)
		}
	}
	return found
}
