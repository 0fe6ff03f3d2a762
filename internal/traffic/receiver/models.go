package receiver

import (
	"context"
	"net/http"
	"slices"

	"samphireturn"
)

// modelList is the JSON of the list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one entry of the list of models.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists what the team may use: the aliases of the active preset, the
// models and their versions.
func (r *Receiver) models(_ context.Context, x *exchange) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	add := func(id string) {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model", OwnedBy: "samphireturn"})
	}
	for _, a := range x.snapshot.Preset.Aliases {
		if slices.ContainsFunc(a.Steps, func(step string) bool { return r.mayUse(x, step) }) {
			add(a.Name)
		}
	}
	for _, m := range x.snapshot.Config.Models {
		if r.mayUse(x, m.Name) {
			add(m.Name)
		}
		for _, v := range m.Versions {
			name := samphireturn.VersionRef{Model: m.Name, Version: v.Name}.String()
			if v.State != samphireturn.VersionWithdrawn && r.mayUse(x, name) {
				add(name)
			}
		}
	}
	return writeJSON(x, http.StatusOK, list)
}

// mayUse reports whether the team may use a model or version.
func (r *Receiver) mayUse(x *exchange, model string) bool {
	_, err := r.Picker.Version(x.snapshot, &samphireturn.Request{ID: x.id, Team: x.team.Name}, model)
	return err == nil
}
