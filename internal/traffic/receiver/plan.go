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

// models returns the models that the request may run on, cheapest first. A
// session that is on a model of the alias stays on it.
func (c *chatRequest) models() []string {
	if c.alias == nil {
		return []string{c.chat.Model}
	}
	for _, name := range c.alias.Steps {
		model, _, _ := strings.Cut(name, "@")
		if c.session.Model == model {
			return []string{name}
		}
	}
	return c.alias.Steps
}

// versions returns the versions that the request would run on. Models without
// a version that can be picked are left out.
func (c *chatRequest) versions(r *Receiver) []samphireturn.VersionRef {
	var refs []samphireturn.VersionRef
	for _, model := range c.models() {
		if v, err := r.Picker.Version(c.snapshot, c.modelRequest, model); err == nil {
			refs = append(refs, v)
		}
	}
	return refs
}

// plan chooses the steps of the cascade.
func (r *Receiver) plan(c *chatRequest) (cascader.Plan, error) {
	var (
		steps []cascader.Step
		last  error
	)
	for _, model := range c.models() {
		v, err := r.Picker.Version(c.snapshot, c.modelRequest, model)
		if err != nil {
			last = err
			continue
		}
		steps = append(steps, pricedStep(c.snapshot.Config, v))
	}
	if len(steps) == 0 {
		return cascader.Plan{}, pickRefusal(last)
	}
	if c.alias == nil {
		return cascader.Plan{Steps: steps}, nil
	}
	if len(steps) == 1 {
		c.pinned = true
		return r.Cascader.PlanPinned(c.modelRequest, c.alias, steps[0]), nil
	}
	return r.Cascader.Plan(c.modelRequest, c.alias, steps, r.Cascader.RatingAvailable(), c.snapshot.Preset.ExploreShare), nil
}

// findAlias returns the alias with the name in the active preset, or nil.
func findAlias(s *samphireturn.Snapshot, name string) *samphireturn.Alias {
	i := slices.IndexFunc(s.Preset.Aliases, func(a samphireturn.Alias) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &s.Preset.Aliases[i]
}

// pricedStep returns the step of a version with its configured prices.
func pricedStep(cfg *samphireturn.Config, v samphireturn.VersionRef) cascader.Step {
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

// pickRefusal converts an error of the picker to a refusal.
func pickRefusal(err error) *samphireturn.Refusal {
	var e *picker.Error
	if !errors.As(err, &e) {
		return notExecuted(samphireturn.ReasonNoEndpoint, err)
	}
	switch e.Kind {
	case picker.KindUnknown:
		return notExecuted(samphireturn.ReasonUnknownModel, err)
	case picker.KindForbidden:
		return notExecuted(samphireturn.ReasonForbidden, err)
	}
	return &samphireturn.Refusal{Reason: samphireturn.ReasonNoEndpoint, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: err}
}
