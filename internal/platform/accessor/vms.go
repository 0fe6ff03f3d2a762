package accessor

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"samphireturn"
)

// lists caches the parts of the VM list with their tags, so that an unchanged
// part is not sent again.
type lists struct {
	mu    sync.Mutex
	parts map[string]part
}

// part is one filtered VM list as last read.
type part struct {
	tag string
	vms []samphireturn.VM
}

// VMs implements samphireturn.Lister. With Centre set it asks for that data
// centre's VMs and for the daemons of all others, and for nothing else.
func (a *Accessor) VMs(ctx context.Context) ([]samphireturn.VM, error) {
	if a.Centre == "" {
		return a.part(ctx, nil)
	}
	local, err := a.part(ctx, map[string]string{"centre": a.Centre})
	if err != nil {
		return nil, err
	}
	daemons, err := a.part(ctx, map[string]string{"role": samphireturn.RoleEntry})
	if err != nil {
		return nil, err
	}
	vms := slices.Concat(local, daemons)
	slices.SortFunc(vms, func(x, y samphireturn.VM) int { return strings.Compare(x.ID, y.ID) })
	return slices.CompactFunc(vms, func(x, y samphireturn.VM) bool { return x.ID == y.ID }), nil
}

// part reads the VMs that match the query, or returns the last ones if the
// platform says that they are unchanged.
func (a *Accessor) part(ctx context.Context, query map[string]string) ([]samphireturn.VM, error) {
	key := query["centre"] + "/" + query["role"]
	a.lists.mu.Lock()
	last := a.lists.parts[key]
	a.lists.mu.Unlock()
	c := call{op: "vms", method: http.MethodGet, path: "/v1/vms", query: query}
	if last.tag != "" {
		c.header = map[string]string{"If-None-Match": last.tag}
	}
	resp, err := a.send(ctx, &c)
	if samphireturn.KindOf(err) == samphireturn.KindTimeout && last.tag != "" {
		return last.vms, nil
	}
	if err != nil {
		return nil, err
	}
	var vms []samphireturn.VM
	if err := json.Unmarshal(resp.Body(), &vms); err != nil {
		return nil, c.fail(samphireturn.KindUnavailable, err)
	}
	a.lists.mu.Lock()
	defer a.lists.mu.Unlock()
	if a.lists.parts == nil {
		a.lists.parts = make(map[string]part)
	}
	a.lists.parts[key] = part{tag: resp.Header().Get("ETag"), vms: vms}
	return vms, nil
}
