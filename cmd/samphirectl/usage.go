package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"samphireturn/internal/ledger/auditor"
)

// usage prints the usage by team, version and service, with each request counted
// once.
func (c *client) usage(ctx context.Context) error {
	r, err := auditor.Read(ctx, c.store)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests in %d segments, %d repeated records dropped\n", r.Records, r.Segments, r.Repeats)
	for _, name := range r.Unreadable {
		fmt.Fprintf(&b, "unreadable: %s\n", name)
	}
	groups := []struct {
		title string
		sums  map[string]auditor.Sum
	}{{"team", r.Teams}, {"version", r.Versions}, {"service", r.Services}}
	for _, g := range groups {
		for _, name := range slices.Sorted(maps.Keys(g.sums)) {
			s := g.sums[name]
			fmt.Fprintf(&b, "%-8s %-20s %6d requests %8d prompt %8d output tokens, cost %.6f\n", g.title, name, s.Requests, s.PromptTokens, s.OutputTokens, s.Cost)
		}
	}
	return c.print(r, b.String())
}
