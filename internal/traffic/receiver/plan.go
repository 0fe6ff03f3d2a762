package receiver

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/picker"
)

// models returns what the request may run on, cheapest first. A session that is
// on a model of the alias stays with it.
func (t *turn) models() []string {
	if t.alias == nil {
		return []string{t.chat.Model}
	}
	for _, name := range t.alias.Steps {
		model, _, _ := strings.Cut(name, "@")
		if t.session.Model == model {
			return []string{name}
		}
	}
	return t.alias.Steps
}

// versions returns the versions that the request would run on; those that can't
// be chosen are left out.
func (t *turn) versions(r *Receiver) []samphireturn.VersionRef {
	var refs []samphireturn.VersionRef
	for _, model := range t.models() {
		if v, err := r.Picker.Version(t.snapshot, t.work, model); err == nil {
			refs = append(refs, v)
		}
	}
	return refs
}

// plan chooses the steps of the cascade.
func (r *Receiver) plan(t *turn) (cascader.Plan, error) {
	var (
		steps []cascader.Step
		last  error
	)
	for _, model := range t.models() {
		v, err := r.Picker.Version(t.snapshot, t.work, model)
		if err != nil {
			last = err
			continue
		}
		steps = append(steps, priced(t.snapshot.Config, v))
	}
	if len(steps) == 0 {
		return cascader.Plan{}, pickRefusal(last)
	}
	if t.alias == nil {
		return cascader.Plan{Steps: steps}, nil
	}
	if len(steps) == 1 {
		t.kept = true
		return r.Cascader.PlanPinned(t.work, t.alias, steps[0]), nil
	}
	return r.Cascader.Plan(t.work, t.alias, steps, r.Cascader.RatingAvailable(), t.snapshot.Preset.ExploreShare), nil
}

// findAlias returns the alias of the preset in force with the name, or nil.
func findAlias(s *samphireturn.Snapshot, name string) *samphireturn.Alias {
	i := slices.IndexFunc(s.Preset.Aliases, func(a samphireturn.Alias) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Preset.Aliases[i]
}

// priced returns the step of a version with its configured price.
func priced(cfg *samphireturn.Config, v samphireturn.VersionRef) cascader.Step {
	step := cascader.Step{Version: v}
	for _, m := range cfg.Models {
		if m.Name != v.Model {
			continue
		}
		for _, version := range m.Versions {
			if version.Name == v.Version {
				step.InputPrice, step.OutputPrice = version.InputPrice, version.OutputPrice
			}
		}
	}
	return step
}

// pickRefusal turns an error of the picker into a refusal.
func pickRefusal(err error) *samphireturn.Refusal {
	var e *picker.Error
	if !errors.As(err, &e) {
		return refusal(samphireturn.ReasonNoEndpoint, err)
	}
	switch e.Kind {
	case picker.KindUnknown:
		return refusal(samphireturn.ReasonUnknownModel, err)
	case picker.KindForbidden:
		return refusal(samphireturn.ReasonForbidden, err)
	}
	return &samphireturn.Refusal{Reason: samphireturn.ReasonNoEndpoint, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: err}
}
