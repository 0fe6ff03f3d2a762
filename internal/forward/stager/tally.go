package stager

import (
	"math"
	"slices"
	"time"
)

const (
	// slowOver is how many times as long as usual a slow answer takes.
	// Endpoints that have read no prompts yet are up to four times as slow.
	slowOver = 5
	// slowLeast is the least time of a slow answer: below it a few times as long
	// as usual harms no caller.
	slowLeast = 300 * time.Millisecond
	// usualDecay is the part of the usual time that each answer replaces.
	usualDecay = 0.05
	// failedGap is how much more of its answers fail at a bad release, slowGap how
	// many more are slow, and mostBad the largest part that is tested for.
	failedGap = 0.25
	slowGap   = 0.4
	mostBad   = 0.95
	// coldSlow is the part of the answers that may be slow at a good release: the
	// prompts of sessions that have just moved are read anew, for about one in eight.
	coldSlow = 0.12
	// badScore is the logarithm of how much likelier the answers of late are from a
	// bad release than from a good one.
	badScore = 12.0
	// priorAsked and priorBad stand for what is known of endpoints before any
	// answer: two in a hundred fail.
	priorAsked, priorBad = 50, 1
)

// Tally counts the answers that one release gave on one route. Counts only grow.
type Tally struct {
	Pool    string `cbor:"1,keyasint"`
	Release string `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	// New is true for the release that is being rolled out.
	New   bool `cbor:"4,keyasint,omitempty"`
	Asked int  `cbor:"5,keyasint"`
	// Failed and Slow are parts of Asked.
	Failed int `cbor:"6,keyasint,omitempty"`
	Slow   int `cbor:"8,keyasint,omitempty"`
	// Peak is the largest share of sessions that any daemon gave the new release; it
	// only grows too.
	Peak float64 `cbor:"7,keyasint,omitempty"`
	// Judged is true once any daemon found the new release bad.
	Judged bool `cbor:"9,keyasint,omitempty"`
}

// same reports whether two tallies count the same thing.
func (t *Tally) same(o *Tally) bool {
	return t.Pool == o.Pool && t.Release == o.Release && t.Route == o.Route && t.New == o.New
}

// Sum returns the sum of two lists of tallies. It may change neither.
func Sum(a, b []Tally) []Tally {
	sum := slices.Clone(a)
	for i := range b {
		at := slices.IndexFunc(sum, func(t Tally) bool { return t.same(&b[i]) })
		if at < 0 {
			sum = append(sum, b[i])
			continue
		}
		sum[at].Asked += b[i].Asked
		sum[at].Failed += b[i].Failed
		sum[at].Slow += b[i].Slow
		sum[at].Peak = max(sum[at].Peak, b[i].Peak)
		sum[at].Judged = sum[at].Judged || b[i].Judged
	}
	return sum
}

// usual learns how long answers of a route take.
type usual struct {
	mean time.Duration
	seen int
}

// learn takes an answer of the old release in.
func (u *usual) learn(took time.Duration) {
	u.seen++
	share := max(usualDecay, 1/float64(u.seen))
	// A slow answer moves the usual time by no more than one usual answer would.
	took = min(took, time.Duration(2*float64(max(u.mean, slowLeast))))
	u.mean += time.Duration(share * float64(took-u.mean))
}

// slow reports whether an answer took far longer than usual.
func (u *usual) slow(took time.Duration) bool {
	return u.seen >= 10 && took > slowLeast && took > time.Duration(slowOver*float64(u.mean))
}

// rates are cumulative-sum tests of the answers that a release under trial gave
// against those of the others, over all routes and on each.
type rates struct {
	seen   map[string]Tally
	failed map[string]float64
	slow   map[string]float64
}

func newRates() rates {
	return rates{seen: make(map[string]Tally), failed: make(map[string]float64), slow: make(map[string]float64)}
}

// judge takes in what was counted since the last time and reports whether the
// release fails, or is slow, clearly more often than the others.
func (r *rates) judge(tallies []Tally, release string) bool {
	base, trial := byRoute(tallies, release)
	bad := false
	for route, now := range trial {
		before := r.seen[route]
		asked, failed, slow := now.Asked-before.Asked, now.Failed-before.Failed, now.Slow-before.Slow
		if asked <= 0 || failed < 0 || slow < 0 || failed+slow > asked {
			// A daemon's report is missing this time.
			continue
		}
		r.seen[route] = now
		usual := base[route]
		r.failed[route] = max(0, r.failed[route]+evidence(asked, failed, rate(usual.Failed, usual.Asked), failedGap))
		r.slow[route] = max(0, r.slow[route]+evidence(asked, slow, max(coldSlow, rate(usual.Slow, usual.Asked)), slowGap))
		bad = bad || max(r.failed[route], r.slow[route]) > badScore
	}
	return bad
}

// rate returns the part of the answers that are bad at a good release, one standard
// deviation above what was seen.
func rate(bad, asked int) float64 {
	seen := float64(bad + priorBad)
	return (seen + math.Sqrt(seen)) / float64(asked+priorAsked)
}

// evidence returns the logarithm of how much likelier the answers are at the rate
// of a bad release than at that of a good one.
func evidence(asked, bad int, good, gap float64) float64 {
	poor := min(good+gap, mostBad)
	return float64(bad)*math.Log(poor/good) + float64(asked-bad)*math.Log((1-poor)/(1-good))
}

// byRoute adds the tallies of a roll-out up by route, and over all under "".
func byRoute(tallies []Tally, release string) (base, trial map[string]Tally) {
	base, trial = make(map[string]Tally), make(map[string]Tally)
	for _, t := range tallies {
		if t.Release != release {
			continue
		}
		sums := base
		if t.New {
			sums = trial
		}
		for _, route := range []string{"", t.Route} {
			sum := sums[route]
			sum.Asked += t.Asked
			sum.Failed += t.Failed
			sum.Slow += t.Slow
			sums[route] = sum
		}
	}
	return base, trial
}
