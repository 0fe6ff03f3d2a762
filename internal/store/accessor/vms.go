package accessor

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"samphireturn"
)

// list is the VM list as last read, with its tag, so that an unchanged list is
// not sent again.
type list struct {
	mu  sync.Mutex
	tag string
	vms []samphireturn.VM
}

// VMs implements samphireturn.Lister. With Centre set it asks for that data
// centre's VMs and for the daemons of all others, and for nothing else.
func (a *Accessor) VMs(ctx context.Context) ([]samphireturn.VM, error) {
	if a.Centre == "" {
		return a.vms(ctx, nil)
	}
	return a.vms(ctx, map[string]string{"centre": a.Centre, "daemons": "all"})
}

// vms reads the VMs that match the query, or returns the last ones if the
// platform says that they are unchanged.
func (a *Accessor) vms(ctx context.Context, query map[string]string) ([]samphireturn.VM, error) {
	a.list.mu.Lock()
	defer a.list.mu.Unlock()
	c := call{op: "vms", method: http.MethodGet, path: "/v1/vms", query: query}
	if a.list.tag != "" {
		c.header = map[string]string{"If-None-Match": a.list.tag}
	}
	resp, err := a.send(ctx, &c)
	if samphireturn.KindOf(err) == samphireturn.KindTimeout && a.list.tag != "" {
		return a.list.vms, nil
	}
	if err != nil {
		return nil, err
	}
	var vms []samphireturn.VM
	if err := json.Unmarshal(resp.Body(), &vms); err != nil {
		return nil, c.fail(samphireturn.KindUnavailable, err)
	}
	a.list.tag, a.list.vms = resp.Header().Get("ETag"), vms
	return vms, nil
}
