package generator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
)

// orderKinds are the kinds of orders.
var orderKinds = []string{"load", "replace", "adapter", "role"}

func (g *Generator) report(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	g.settle()
	s := g.reported()
	rep := report{
		ID: g.ID, Start: g.Incarnation, Role: g.role,
		Versions: append([]string{}, g.Versions...), Adapters: append([]string{}, g.adapters...),
		Budget: g.Budget, Used: s.used, Queued: s.queued, Speed: g.Speed,
		Warm: g.warm(), Leaving: g.Injector.Faults().Leaving, Fenced: g.Fenced, Loading: g.loading,
	}
	g.mu.Unlock()
	write(w, http.StatusOK, rep)
}

func (g *Generator) events(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "bad_request", "since is no number")
		return
	}
	g.mu.Lock()
	next, events := g.cache.since(since, g.Now().Add(-g.EventLag))
	g.mu.Unlock()
	write(w, http.StatusOK, eventsReply{Next: next, Events: events})
}

func (g *Generator) order(w http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o)
	if err != nil || o.Name == "" || !slices.Contains(orderKinds, o.Kind) {
		fail(w, http.StatusBadRequest, "bad_request", "body is no order")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Fenced && o.Fence < g.fence {
		write(w, http.StatusConflict, fenceReply{Fence: g.fence})
		return
	}
	if g.RefuseOrder != nil && g.RefuseOrder(o.Kind, o.Name) {
		fail(w, http.StatusInternalServerError, "internal", "the order was not carried out")
		return
	}
	g.fence = max(g.fence, o.Fence)
	g.obey(o)
	write(w, http.StatusOK, fenceReply{Fence: g.fence})
}

// obey carries out an order. The caller holds mu.
func (g *Generator) obey(o order) {
	g.settle()
	switch {
	case o.Kind == "role":
		g.role = o.Name
	case o.Kind == "adapter" && !slices.Contains(g.adapters, o.Name):
		g.adapters = append(g.adapters, o.Name)
	case o.Kind == "load" && !slices.Contains(g.Versions, o.Name):
		g.load(o.Name)
	case o.Kind == "replace" && !slices.Equal(g.Versions, []string{o.Name}):
		g.Versions = nil
		g.load(o.Name)
	}
}

// load begins to load a version, in place of one that is being loaded. The
// caller holds mu.
func (g *Generator) load(name string) {
	g.loading, g.loaded = name, g.Now().Add(g.LoadTime)
	g.settle()
}

// settle ends a load whose time is over. The caller holds mu.
func (g *Generator) settle() {
	if g.loading == "" || g.Now().Before(g.loaded) {
		return
	}
	g.Versions = append(slices.Clone(g.Versions), g.loading)
	g.loading = ""
}
