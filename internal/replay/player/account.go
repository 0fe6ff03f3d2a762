package player

import (
	"slices"
	"time"
)

// leastGroup is the number of requests from which a group counts for Lowest.
const leastGroup = 200

type (
	// group is the requests of one class of a team.
	group struct{ team, class string }

	// entry is the account of one request.
	entry struct {
		team, class  string
		cost, rating float64
		good, failed bool
		first        time.Duration
		exposed      bool
	}

	// account sums what a policy did.
	account struct {
		entries          []entry
		skipped, refused int
	}

	// Result is what a policy gave over a trace.
	Result struct {
		Policy   string  `json:"policy"`
		Requests int     `json:"requests"`
		Cost     float64 `json:"cost"`
		// Quality is the mean rating, Share the part of the answers that reach
		// the bar, and Lowest that of the team and class that fares worst.
		Quality float64 `json:"quality"`
		Share   float64 `json:"share"`
		Lowest  float64 `json:"lowest"`
		// P50, P95 and P99 are percentiles of the time to the first token in
		// milliseconds.
		P50 int64 `json:"p50"`
		P95 int64 `json:"p95"`
		P99 int64 `json:"p99"`
		// Bad counts the requests that ran on a bad version.
		Bad int `json:"bad"`
		// Failed counts requests without an answer; Refused those that no
		// version could take; Skipped those that ask for no alias.
		Failed  int `json:"failed"`
		Refused int `json:"refused"`
		Skipped int `json:"skipped"`
		// Held counts, for each version, the daemons that hold it at the end.
		Held map[string]int `json:"held,omitempty"`

		// Firsts are the times to the first token in rising order.
		Firsts []time.Duration `json:"-"`
	}
)

func (a *account) add(e entry) { a.entries = append(a.entries, e) }

// result sums the account up.
func (a *account) result(daemons []*daemon) *Result {
	r := &Result{Requests: len(a.entries), Refused: a.refused, Skipped: a.skipped, Held: make(map[string]int)}
	good, all, total := map[group]int{}, map[group]int{}, 0
	for _, e := range a.entries {
		r.Cost += e.cost
		r.Quality += e.rating
		r.Firsts = append(r.Firsts, e.first)
		all[group{e.team, e.class}]++
		if e.good {
			good[group{e.team, e.class}]++
			total++
		}
		if e.exposed {
			r.Bad++
		}
		if e.failed {
			r.Failed++
		}
	}
	n := float64(max(len(a.entries), 1))
	r.Quality /= n
	r.Share = float64(total) / n
	r.Lowest = 1
	for g, n := range all {
		if n >= leastGroup {
			r.Lowest = min(r.Lowest, float64(good[g])/float64(n))
		}
	}
	slices.Sort(r.Firsts)
	r.P50, r.P95, r.P99 = r.percentile(0.50), r.percentile(0.95), r.percentile(0.99)
	for _, d := range daemons {
		for v := range d.held {
			r.Held[v.String()]++
		}
	}
	return r
}

// percentile returns a percentile of the time to the first token in
// milliseconds.
func (r *Result) percentile(q float64) int64 {
	if len(r.Firsts) == 0 {
		return 0
	}
	return r.Firsts[min(int(q*float64(len(r.Firsts))), len(r.Firsts)-1)].Milliseconds()
}
