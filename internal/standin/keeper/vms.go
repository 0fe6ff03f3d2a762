package keeper

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// vmChange is a change of the VM list that is not visible yet.
type vmChange struct {
	at      time.Time
	id      string
	vm      samphireturn.VM
	deleted bool
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	if err := s.Objects.Admit(r.Context(), OpVMs, ""); err != nil {
		writeError(w, err)
		return
	}
	vms := filterVMs(s.visibleVMs(), r.URL.Query())
	body, err := json.Marshal(vms)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// filterVMs returns the VMs of the query's data centre, or all VMs if it names
// none. With "daemons" set to "all" it includes the daemons of the other data
// centres.
func filterVMs(vms []samphireturn.VM, query url.Values) []samphireturn.VM {
	if !query.Has("centre") {
		return vms
	}
	kept := vms[:0]
	for _, vm := range vms {
		daemon := vm.Role == samphireturn.RoleEntry && query.Get("daemons") == "all"
		if daemon || vm.Centre == query.Get("centre") {
			kept = append(kept, vm)
		}
	}
	return kept
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm samphireturn.VM
	if !decode(w, r, &vm) {
		return
	}
	vm.ID = r.PathValue("id")
	s.addChange(vmChange{at: s.Now(), id: vm.ID, vm: vm})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) removeVM(w http.ResponseWriter, r *http.Request) {
	s.addChange(vmChange{at: s.Now(), id: r.PathValue("id"), deleted: true})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) addChange(c vmChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

// visibleVMs returns the VM list as it was Lag ago.
func (s *Server) visibleVMs() []samphireturn.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.Now().Add(-s.Lag)
	for len(s.pending) > 0 && !s.pending[0].at.After(limit) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.deleted {
			delete(s.vms, c.id)
		} else {
			s.vms[c.id] = c.vm
		}
	}
	vms := make([]samphireturn.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}
