// Package auditor reads the usage segments and sums them up, counting each
// request once.
package auditor

import (
	"context"

	"samphireturn"
	"samphireturn/internal/ledger/biller"
)

// Sum is the total usage of a group of requests.
type Sum struct {
	Requests     int     `json:"requests"`
	PromptTokens int     `json:"prompt"`
	OutputTokens int     `json:"output"`
	Cost         float64 `json:"cost"`
}

// Report is the usage stored in all segments.
type Report struct {
	Segments int `json:"segments"`
	// Records is the number of distinct requests.
	Records int `json:"records"`
	// Repeats is the number of records dropped because their request was
	// counted already.
	Repeats int `json:"repeats"`
	// Unreadable lists segments that could not be decoded.
	Unreadable []string `json:"unreadable,omitempty"`
	Total      Sum      `json:"total"`
	// Teams, Versions and Services hold the sums by name; a version's name is
	// "model@version".
	Teams    map[string]Sum `json:"teams"`
	Versions map[string]Sum `json:"versions"`
	Services map[string]Sum `json:"services"`
}

// Read reads all segments. If the store returns an error, Read returns it with
// a partial report.
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
			r.addRecord(u, seen)
		}
	}
	return r, nil
}

// addRecord adds u to the report unless its request was seen before.
func (r *Report) addRecord(u samphireturn.Usage, seen map[string]bool) {
	if seen[u.Request] {
		r.Repeats++
		return
	}
	seen[u.Request] = true
	r.Records++
	r.Total = r.Total.add(u)
	r.Teams[u.Team] = r.Teams[u.Team].add(u)
	if u.Service != "" {
		r.Services[u.Service] = r.Services[u.Service].add(u)
		return
	}
	name := u.Version.String()
	r.Versions[name] = r.Versions[name].add(u)
}

// add returns the sum of s and u.
func (s Sum) add(u samphireturn.Usage) Sum {
	s.Requests++
	s.PromptTokens += u.PromptTokens
	s.OutputTokens += u.OutputTokens
	s.Cost += u.Cost
	return s
}
