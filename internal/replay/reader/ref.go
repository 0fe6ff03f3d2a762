package reader

import (
	"strings"

	"samphireturn"
)

// ParseVersionRef parses a reference of the form model@version. It returns false if
// either part is missing.
func ParseVersionRef(s string) (samphireturn.VersionRef, bool) {
	model, version, ok := strings.Cut(s, "@")
	return samphireturn.VersionRef{Model: model, Version: version}, ok && model != "" && version != ""
}

// FindRun returns the request's run on the version, or nil if there is none.
func (r *Request) FindRun(v samphireturn.VersionRef) *Run {
	for i := range r.Runs {
		ref, _ := ParseVersionRef(r.Runs[i].Version)
		if ref == v {
			return &r.Runs[i]
		}
	}
	return nil
}
