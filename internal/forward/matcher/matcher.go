// Package matcher finds the route, the team and the pool of a request.
package matcher

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"samphireturn"
)

// Matcher looks up routes, teams and pools in one routing table. It is immutable.
type Matcher struct {
	Table *samphireturn.Table

	// routesByHost holds the routes of each host, those with the longest prefix first.
	routesByHost   map[string][]*samphireturn.Route
	teamsByKeyHash map[[sha256.Size]byte]*samphireturn.TeamCredentials
	poolsByName    map[string]*samphireturn.Pool
}

// New returns a Matcher for the table.
func New(t *samphireturn.Table) *Matcher {
	m := &Matcher{
		Table:          t,
		routesByHost:   make(map[string][]*samphireturn.Route),
		teamsByKeyHash: make(map[[sha256.Size]byte]*samphireturn.TeamCredentials),
		poolsByName:    make(map[string]*samphireturn.Pool),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		m.routesByHost[r.Host] = append(m.routesByHost[r.Host], r)
	}
	for _, routes := range m.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			m.teamsByKeyHash[sha256.Sum256([]byte(key))] = &t.Teams[i]
		}
	}
	for i := range t.Pools {
		m.poolsByName[t.Pools[i].Name] = &t.Pools[i]
	}
	return m
}

// Route returns the host's route with the longest matching path prefix, or nil. The
// port and the case of the host are ignored.
func (m *Matcher) Route(host, path string) *samphireturn.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range m.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that owns a key, or nil. Keys are looked up by their hashes,
// so that the time taken reveals nothing about them.
func (m *Matcher) Team(key string) *samphireturn.TeamCredentials {
	if key == "" {
		return nil
	}
	return m.teamsByKeyHash[sha256.Sum256([]byte(key))]
}

// HasTeams reports whether the table has any teams; without them, no keys are needed.
func (m *Matcher) HasTeams() bool { return len(m.Table.Teams) > 0 }

// PickPool chooses one of the route's targets by weight and returns its pool, or nil
// if there is none. Requests with one affinity key go to one pool.
func (m *Matcher) PickPool(r *samphireturn.Route, affinityKey string) *samphireturn.Pool {
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point := float64(xxhash.Sum64String(affinityKey)) / (1 << 64) * sum
	for _, t := range r.Targets {
		point -= t.Weight
		if point < 0 {
			return m.poolsByName[t.Pool]
		}
	}
	return nil
}
