package stager

import (
	"math"
	"slices"
	"time"
)

const (
	// slowOver is how many times as long as usual a slow answer takes.
	// Endpoints that have read no prompts yet are up to four times as slow.
	slowFactor = 5
	// slowLeast is the least time of a slow answer: below it a few times as long
	// as usual harms no caller.
	minSlowTime = 300 * time.Millisecond
	// usualDecay is the part of the usual time that each answer replaces.
	latencyDecay = 0.05
	// failedGap is how much more of its answers fail at a bad release, slowGap how
	// many more are slow, and mostBad the largest part that is tested for.
	failureRateGap = 0.25
	slowRateGap    = 0.4
	maxBadRate     = 0.95
	// coldSlow is the part of the answers that may be slow at a good release: the
	// prompts of sessions that have just moved are read anew, for about one in eight.
	minGoodSlowRate = 0.12
	// badScore is the logarithm of how much likelier the answers of late are from a
	// bad release than from a good one.
	rollbackScore = 12.0
	// priorAsked and priorBad stand for what is known of endpoints before any
	// answer: two in a hundred fail.
	priorAnswers, priorBadAnswers = 50, 1
)

// Tally counts the answers that one release gave on one route. Counts only grow.
type Tally struct {
	Pool    string `cbor:"1,keyasint"`
	Release string `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	// New is true for the release that is being rolled out.
	Canary  bool `cbor:"4,keyasint,omitempty" json:"New"`
	Answers int  `cbor:"5,keyasint" json:"Asked"`
	// Failed and Slow are parts of Asked.
	Failed int `cbor:"6,keyasint,omitempty"`
	Slow   int `cbor:"8,keyasint,omitempty"`
	// Peak is the largest share of sessions that any daemon gave the new release; it
	// only grows too.
	MaxShare float64 `cbor:"7,keyasint,omitempty" json:"Peak"`
	// Judged is true once any daemon found the new release bad.
	FoundFaulty bool `cbor:"9,keyasint,omitempty" json:"Judged"`
}

// same reports whether two tallies count the same thing.
func (t *Tally) sameKey(o *Tally) bool {
	return t.Pool == o.Pool && t.Release == o.Release && t.Route == o.Route && t.Canary == o.Canary
}

// Sum returns the sum of two lists of tallies. It may change neither.
func Sum(a, b []Tally) []Tally {
	sum := slices.Clone(a)
	for i := range b {
		at := slices.IndexFunc(sum, func(t Tally) bool { return t.sameKey(&b[i]) })
		if at < 0 {
			sum = append(sum, b[i])
			continue
		}
		sum[at].Answers += b[i].Answers
		sum[at].Failed += b[i].Failed
		sum[at].Slow += b[i].Slow
		sum[at].MaxShare = max(sum[at].MaxShare, b[i].MaxShare)
		sum[at].FoundFaulty = sum[at].FoundFaulty || b[i].FoundFaulty
	}
	return sum
}

// usual learns how long answers of a route take.
type latency struct {
	mean    time.Duration
	samples int
}

// learn takes an answer of the old release in.
func (l *latency) observe(elapsed time.Duration) {
	l.samples++
	share := max(latencyDecay, 1/float64(l.samples))
	// A slow answer moves the usual time by no more than one usual answer would.
	elapsed = min(elapsed, time.Duration(2*float64(max(l.mean, minSlowTime))))
	l.mean += time.Duration(share * float64(elapsed-l.mean))
}

// slow reports whether an answer took far longer than usual.
func (l *latency) isSlow(elapsed time.Duration) bool {
	return l.samples >= 10 && elapsed > minSlowTime && elapsed > time.Duration(slowFactor*float64(l.mean))
}

// rates are cumulative-sum tests of the answers that a release under trial gave
// against those of the others, over all routes and on each.
type detector struct {
	counted      map[string]Tally
	failureScore map[string]float64
	slowScore    map[string]float64
}

func newDetector() detector {
	return detector{counted: make(map[string]Tally), failureScore: make(map[string]float64), slowScore: make(map[string]float64)}
}

// judge takes in what was counted since the last time and reports whether the
// release fails, or is slow, clearly more often than the others.
func (d *detector) update(tallies []Tally, release string) bool {
	base, canary := byRoute(tallies, release)
	bad := false
	for route, current := range canary {
		previous := d.counted[route]
		answers, failed, slow := current.Answers-previous.Answers, current.Failed-previous.Failed, current.Slow-previous.Slow
		if answers <= 0 || failed < 0 || slow < 0 || failed+slow > answers {
			// A daemon's report is missing this time.
			continue
		}
		d.counted[route] = current
		baseline := base[route]
		d.failureScore[route] = max(0, d.failureScore[route]+logLikelihoodRatio(answers, failed, goodRate(baseline.Failed, baseline.Answers), failureRateGap))
		d.slowScore[route] = max(0, d.slowScore[route]+logLikelihoodRatio(answers, slow, max(minGoodSlowRate, goodRate(baseline.Slow, baseline.Answers)), slowRateGap))
		bad = bad || max(d.failureScore[route], d.slowScore[route]) > rollbackScore
	}
	return bad
}

// rate returns the part of the answers that are bad at a good release, one standard
// deviation above what was seen.
func goodRate(bad, answers int) float64 {
	expected := float64(bad + priorBadAnswers)
	return (expected + math.Sqrt(expected)) / float64(answers+priorAnswers)
}

// evidence returns the logarithm of how much likelier the answers are at the rate
// of a bad release than at that of a good one.
func logLikelihoodRatio(answers, bad int, goodRate, rateGap float64) float64 {
	badRate := min(goodRate+rateGap, maxBadRate)
	return float64(bad)*math.Log(badRate/goodRate) + float64(answers-bad)*math.Log((1-badRate)/(1-goodRate))
}

// byRoute adds the tallies of a roll-out up by route, and over all under "".
func byRoute(tallies []Tally, release string) (base, canary map[string]Tally) {
	base, canary = make(map[string]Tally), make(map[string]Tally)
	for _, t := range tallies {
		if t.Release != release {
			continue
		}
		sums := base
		if t.Canary {
			sums = canary
		}
		for _, route := range []string{"", t.Route} {
			sum := sums[route]
			sum.Answers += t.Answers
			sum.Failed += t.Failed
			sum.Slow += t.Slow
			sums[route] = sum
		}
	}
	return base, canary
}
