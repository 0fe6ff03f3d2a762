package reader

import (
	"strings"

	"samphireturn"
)

// ParseRef parses model@version.
func ParseRef(s string) (samphireturn.VersionRef, bool) {
	model, version, ok := strings.Cut(s, "@")
	return samphireturn.VersionRef{Model: model, Version: version}, ok && model != "" && version != ""
}

// Run returns what the version made of the request, or nil if the trace holds
// no such run.
func (r *Request) Run(v samphireturn.VersionRef) *Run {
	for i := range r.Runs {
		ref, _ := ParseRef(r.Runs[i].Version)
		if ref == v {
			return &r.Runs[i]
		}
	}
	return nil
}
