package generator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
)

// orderKinds are the valid kinds of an order.
var orderKinds = []string{"load", "replace", "adapter", "role"}

func (g *Generator) report(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	g.finishLoad()
	s := g.laggedLoad()
	rep := report{
		ID: g.ID, Incarnation: g.Incarnation, Role: g.role,
		Versions: append([]string{}, g.Versions...), Adapters: append([]string{}, g.adapters...),
		Budget: g.Budget, InFlight: s.inFlight, Queued: s.queued, Throughput: g.Throughput,
		WarmedUp: g.warmedUp(), Leaving: g.Injector.Faults().Draining, Fenced: g.Fenced, Loading: g.loading,
	}
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, rep)
}

func (g *Generator) events(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "since is no number")
		return
	}
	g.mu.Lock()
	next, events := g.cache.since(since, g.Now().Add(-g.EventLag))
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, eventsReply{Next: next, Events: events})
}

func (g *Generator) order(w http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o)
	if err != nil || o.Name == "" || !slices.Contains(orderKinds, o.Kind) {
		writeError(w, http.StatusBadRequest, "bad_request", "body is no order")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Fenced && o.Fence < g.fence {
		writeJSON(w, http.StatusConflict, fenceReply{Fence: g.fence})
		return
	}
	if g.RefuseOrder != nil && g.RefuseOrder(o.Kind, o.Name) {
		writeError(w, http.StatusInternalServerError, "internal", "the order was not carried out")
		return
	}
	g.fence = max(g.fence, o.Fence)
	g.execute(o)
	writeJSON(w, http.StatusOK, fenceReply{Fence: g.fence})
}

// execute carries out an order that was accepted. The caller holds mu.
func (g *Generator) execute(o order) {
	g.finishLoad()
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

// load starts loading a version and abandons a load in progress. The caller holds
// mu.
func (g *Generator) load(name string) {
	g.loading, g.loadEnd = name, g.Now().Add(g.LoadTime)
	g.finishLoad()
}

// finishLoad completes a load once LoadTime has passed. The caller holds mu.
func (g *Generator) finishLoad() {
	if g.loading == "" || g.Now().Before(g.loadEnd) {
		return
	}
	g.Versions = append(slices.Clone(g.Versions), g.loading)
	g.loading = ""
}
