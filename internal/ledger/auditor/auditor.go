// Package auditor reads the usage segments and adds them up, each request once.
package auditor

import (
	"context"

	"samphireturn"
	"samphireturn/internal/ledger/biller"
)

// Sum is what a group of requests used.
type Sum struct {
	Requests     int     `json:"requests"`
	PromptTokens int     `json:"prompt"`
	OutputTokens int     `json:"output"`
	Cost         float64 `json:"cost"`
}

// Report is the usage in all segments.
type Report struct {
	Segments int `json:"segments"`
	// Records is the number of different requests.
	Records int `json:"records"`
	// Repeats is the number of records dropped as repeated.
	Repeats int `json:"repeats"`
	// Unreadable lists segments that could not be decoded.
	Unreadable []string `json:"unreadable,omitempty"`
	Total      Sum      `json:"total"`
	// Teams, Versions and Services are sums by name; a version's name is
	// "model@version".
	Teams    map[string]Sum `json:"teams"`
	Versions map[string]Sum `json:"versions"`
	Services map[string]Sum `json:"services"`
}

// Read reads all segments. An error is that of the store; the report is then
// not whole.
func Read(ctx context.Context, store samphireturn.Store) (Report, error) {
	r := Report{
		Teams:    make(map[string]Sum),
		Versions: make(map[string]Sum),
		Services: make(map[string]Sum),
	}
	segments, err := store.List(ctx, biller.Prefix)
	if err != nil {
		return r, err
	}
	seen := make(map[string]bool)
	for _, s := range segments {
		object, err := store.Get(ctx, s.Name)
		if err != nil {
			return r, err
		}
		r.Segments++
		records, err := biller.Decode(object.Value)
		if err != nil {
			r.Unreadable = append(r.Unreadable, s.Name)
			continue
		}
		for _, u := range records {
			r.add(u, seen)
		}
	}
	return r, nil
}

// add adds u unless its request was seen.
func (r *Report) add(u samphireturn.Usage, seen map[string]bool) {
	if seen[u.Request] {
		r.Repeats++
		return
	}
	seen[u.Request] = true
	r.Records++
	r.Total = r.Total.plus(u)
	r.Teams[u.Team] = r.Teams[u.Team].plus(u)
	if u.Service != "" {
		r.Services[u.Service] = r.Services[u.Service].plus(u)
		return
	}
	name := u.Version.String()
	r.Versions[name] = r.Versions[name].plus(u)
}

func (s Sum) plus(u samphireturn.Usage) Sum {
	s.Requests++
	s.PromptTokens += u.PromptTokens
	s.OutputTokens += u.OutputTokens
	s.Cost += u.Cost
	return s
}
