package player

import (
	"slices"
	"time"
)

// minGroupRequests is the number of requests from which a group counts for
// MinGroupShare.
const minGroupRequests = 200

type (
	// group identifies the requests of one team and class.
	group struct{ team, class string }

	// requestResult is the result of one replayed request.
	requestResult struct {
		team, class  string
		cost, rating float64
		// meetsQuality is true if the answer's rating reaches the alias's
		// MinQuality.
		meetsQuality, failed bool
		// firstToken is the time from the request to the first token.
		firstToken time.Duration
		// ranBadVersion is true if any run was on a version marked as faulty.
		ranBadVersion bool
	}

	// requestStats collects the results of the requests of a replay.
	requestStats struct {
		results          []requestResult
		skipped, refused int
	}

	// Result sums up a policy's replay of a trace.
	Result struct {
		Policy   string `json:"policy"`
		Requests int    `json:"requests"`
		// Cost is in the currency unit of the recorded runs.
		Cost float64 `json:"cost"`
		// MeanRating is the mean rating of the requests' final runs, from 0 to 1.
		MeanRating float64 `json:"quality"`
		// QualityShare is the share of requests whose answer reaches the alias's
		// MinQuality.
		QualityShare float64 `json:"share"`
		// MinGroupShare is the lowest QualityShare of any team and class with at
		// least minGroupRequests requests, or 1 if there is none.
		MinGroupShare float64 `json:"lowest"`
		// P50, P95 and P99 are percentiles of the time to the first token in
		// milliseconds.
		P50 int64 `json:"p50"`
		P95 int64 `json:"p95"`
		P99 int64 `json:"p99"`
		// BadVersionRequests counts the requests that ran on a version marked as
		// faulty.
		BadVersionRequests int `json:"bad"`
		// Failed counts requests without an answer, Refused those without an
		// available version, and Skipped those whose model is not an alias.
		Failed  int `json:"failed"`
		Refused int `json:"refused"`
		Skipped int `json:"skipped"`
		// HoldingDaemons counts, for each version, the daemons that hold it at the
		// end.
		HoldingDaemons map[string]int `json:"held,omitempty"`

		// FirstTokenTimes are the times to the first token in ascending order.
		FirstTokenTimes []time.Duration `json:"-"`
	}
)

func (s *requestStats) add(e requestResult) { s.results = append(s.results, e) }

// summarize returns the totals, with the versions that the daemons hold.
func (s *requestStats) summarize(daemons []*daemon) *Result {
	r := &Result{Requests: len(s.results), Refused: s.refused, Skipped: s.skipped, HoldingDaemons: make(map[string]int)}
	goodByGroup, countByGroup, good := map[group]int{}, map[group]int{}, 0
	for _, e := range s.results {
		r.Cost += e.cost
		r.MeanRating += e.rating
		r.FirstTokenTimes = append(r.FirstTokenTimes, e.firstToken)
		countByGroup[group{e.team, e.class}]++
		if e.meetsQuality {
			goodByGroup[group{e.team, e.class}]++
			good++
		}
		if e.ranBadVersion {
			r.BadVersionRequests++
		}
		if e.failed {
			r.Failed++
		}
	}
	n := float64(max(len(s.results), 1))
	r.MeanRating /= n
	r.QualityShare = float64(good) / n
	r.MinGroupShare = 1
	for g, n := range countByGroup {
		if n >= minGroupRequests {
			r.MinGroupShare = min(r.MinGroupShare, float64(goodByGroup[g])/float64(n))
		}
	}
	slices.Sort(r.FirstTokenTimes)
	r.P50, r.P95, r.P99 = r.percentile(0.50), r.percentile(0.95), r.percentile(0.99)
	for _, d := range daemons {
		for v := range d.heldVersions {
			r.HoldingDaemons[v.String()]++
		}
	}
	return r
}

// percentile returns the given quantile of the time to the first token in
// milliseconds.
func (r *Result) percentile(q float64) int64 {
	if len(r.FirstTokenTimes) == 0 {
		return 0
	}
	return r.FirstTokenTimes[min(int(q*float64(len(r.FirstTokenTimes))), len(r.FirstTokenTimes)-1)].Milliseconds()
}
