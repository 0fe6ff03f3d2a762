package accessor

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"samphireturn"
)

// vmList is the VM list as last read, with its ETag, so that the platform does
// not send an unchanged list again.
type vmList struct {
	mu   sync.Mutex
	etag string
	vms  []samphireturn.VM
}

// VMs implements samphireturn.Lister. If Centre is set, it requests only that
// data centre's VMs and the daemons of all data centres.
func (a *Accessor) VMs(ctx context.Context) ([]samphireturn.VM, error) {
	if a.Centre == "" {
		return a.vms(ctx, nil)
	}
	return a.vms(ctx, map[string]string{"centre": a.Centre, "daemons": "all"})
}

// vms reads the VMs that match the query. It returns the previous ones if the
// platform reports that they are unchanged.
func (a *Accessor) vms(ctx context.Context, query map[string]string) ([]samphireturn.VM, error) {
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	c := call{op: "vms", method: http.MethodGet, path: "/v1/vms", query: query}
	if a.list.etag != "" {
		c.header = map[string]string{"If-None-Match": a.list.etag}
	}
	resp, err := a.send(ctx, &c)
	if samphireturn.KindOf(err) == samphireturn.KindTimeout && a.list.etag != "" {
		return a.list.vms, nil
	}
	if err != nil {
		return nil, err
	}
	var vms []samphireturn.VM
	if err := json.Unmarshal(resp.Body(), &vms); err != nil {
		return nil, c.newError(samphireturn.KindUnavailable, err)
	}
	a.list.etag, a.list.vms = resp.Header().Get("ETag"), vms
	return vms, nil
}
