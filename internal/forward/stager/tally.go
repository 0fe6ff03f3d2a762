package stager

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// slowFactor is how many times the average time a slow answer takes at least. Some of a
	// good release do too, as endpoints without cached prompts take up to four times the
	// average.
	slowFactor = 2.5
	// minSlowTime is the least time of a slow answer: below it, delays of the daemon and the
	// network weigh too much. minSlowPace is that of the events of a stream by whose pace it
	// is slow.
	minSlowTime = 20 * time.Millisecond
	minSlowPace = 100 * time.Millisecond
	// paceFactor is how many times the average time between two events of a stream a slow
	// one takes at least. It varies less than the time to the first event, which depends
	// on the prompt.
	paceFactor = 2
	// timeSuffix and paceSuffix end the routes under which answers that may be slow, by the
	// time to their first bytes, and streams, by their pace, are counted. sendRoute is the
	// one under which requests are counted that are sent.
	timeSuffix = " time"
	paceSuffix = " pace"
	sendRoute  = " sent"
	// minLatencySamples is the number of answers from which an average is used.
	minLatencySamples = 10
	// latencyDecay is the weight of each new answer in the average time.
	latencyDecay = 0.05
	// failureRateGap is by how much the failure rate of a faulty release exceeds that
	// of a good one, slowRateGap the same for the rate of slow answers. maxBadRate is
	// the largest rate that is tested for.
	failureRateGap = 0.25
	slowRateGap    = 0.4
	maxBadRate     = 0.95
	// minGoodSlowRate is the rate of slow answers that a good release may have: about
	// one answer in eight is slow because the prompts of sessions that have just
	// migrated are not cached.
	minGoodSlowRate = 0.12
	// rollbackScore is the log likelihood ratio (faulty release to good one) of the
	// recent answers above which a release is rolled back.
	rollbackScore = 12.0
	// testInterval is the time between two updates of a test. The requests in flight at an
	// endpoint that crashes fail at the same moment and reach a daemon in a few messages;
	// they must weigh against all answers of the time around.
	testInterval = 550 * time.Millisecond
	// proofPrior and faultPrior are the numbers of answers, one of them bad, that are added to
	// the counts of the others. While few of theirs are known, as after a restart of many
	// daemons, a low rate is assumed to prove a release and a higher one to find it faulty.
	proofPrior, faultPrior = 50, 15
)

// Tally counts the answers of all releases but the new one on one route during a
// roll-out, over any number of daemons. Sums over daemons fall when a daemon's report is
// missing, so a tally gives a rate only; the answers of the new release are counted as
// Evidence. The JSON names are those of the log.
type Tally struct {
	Pool string `cbor:"1,keyasint"`
	// Release is the release that is being rolled out.
	Release string `cbor:"2,keyasint"`
	// Route is the route of the answers. With timeSuffix or paceSuffix at its end, the tally
	// counts answers or streams by their time; that of sendRoute counts requests.
	Route string `cbor:"3,keyasint"`
	// Canary is true for the state of the new release, which has no counts: MaxShare,
	// ProvenAt, FoundFaulty, Daemons and Watched.
	Canary  bool `cbor:"4,keyasint,omitempty" json:"New"`
	Answers int  `cbor:"5,keyasint" json:"Asked"`
	// Failed and Slow are included in Answers.
	Failed int `cbor:"6,keyasint,omitempty"`
	Slow   int `cbor:"8,keyasint,omitempty"`
	// MaxShare is the largest share of sessions that any daemon gave the new release;
	// it only grows too.
	MaxShare float64 `cbor:"7,keyasint,omitempty" json:"Peak"`
	// ProvenAt is the least elapsed share of the roll-out at which any daemon found the
	// release proven; zero if none has.
	ProvenAt float64 `cbor:"10,keyasint,omitempty" json:"Proven"`
	// FoundFaulty is true once any daemon found the new release faulty.
	FoundFaulty bool `cbor:"9,keyasint,omitempty" json:"Judged"`
	// Daemons is the number of daemons that the state is of, and Watched the sum of the times
	// for which each has counted the requests of the roll-out.
	Daemons int           `cbor:"11,keyasint,omitempty"`
	Watched time.Duration `cbor:"12,keyasint,omitempty"`
}

// sameKey reports whether two tallies count the same answers.
func (t *Tally) sameKey(o *Tally) bool {
	return t.Pool == o.Pool && t.Release == o.Release && t.Route == o.Route && t.Canary == o.Canary
}

// Sum returns the sum of two lists of tallies. It modifies neither.
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
		sum[at].ProvenAt = earlier(sum[at].ProvenAt, b[i].ProvenAt)
		sum[at].FoundFaulty = sum[at].FoundFaulty || b[i].FoundFaulty
		sum[at].Daemons += b[i].Daemons
		sum[at].Watched += b[i].Watched
	}
	return sum
}

// earlier returns the lesser of two values that are zero if not known.
func earlier(a, b float64) float64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// latency averages a time of the answers of a route.
type latency struct {
	mean    time.Duration
	samples int
}

// observe adds an answer of the old release. A time below floor is never slow.
func (l *latency) observe(elapsed, floor time.Duration) {
	l.samples++
	share := max(latencyDecay, 1/float64(l.samples))
	// A slow answer counts as twice the average at most, or twice the floor if that is
	// more, so that it moves the average by no more than the part that one average answer
	// has in it.
	elapsed = min(elapsed, time.Duration(2*float64(max(l.mean, floor))))
	l.mean += time.Duration(share * float64(elapsed-l.mean))
}

// slowFrom returns the time from which an answer is slow: factor times the average. It is not
// ok if too few are known, or if that is less than floor.
func (l *latency) slowFrom(floor time.Duration, factor float64) (from time.Duration, ok bool) {
	from = time.Duration(factor * float64(l.mean))
	return from, l.samples >= minLatencySamples && from >= floor
}

// latency returns the average of a route, or of the pace of its streams. The caller holds
// mu.
func (s *Stager) latency(route string) *latency {
	l := s.latencies[route]
	if l == nil {
		l = new(latency)
		s.latencies[route] = l
	}
	return l
}

// allRoutes returns the key under which a test counts all routes together with a route.
// Failures, times and the pace of streams are tested apart.
func allRoutes(route string) string {
	switch {
	case route == sendRoute:
		return sendRoute
	case strings.HasSuffix(route, timeSuffix):
		return timeSuffix
	case strings.HasSuffix(route, paceSuffix):
		return paceSuffix
	}
	return ""
}

// testKeys returns the keys under which a route is counted: all routes, and itself.
func testKeys(route string) []string {
	if all := allRoutes(route); all != route {
		return []string{all, route}
	}
	return []string{route}
}

// detector runs cumulative-sum (CUSUM) tests of a new release's answers against those
// of the other releases, over all routes (by the key of allRoutes) and on each.
type detector struct {
	// pending holds the answers that the scores do not include yet.
	pending      map[string]Count
	failureScore map[string]float64
	slowScore    map[string]float64
}

func newDetector() detector {
	return detector{pending: make(map[string]Count), failureScore: make(map[string]float64), slowScore: make(map[string]float64)}
}

// observe adds answers of the new release, which the next update includes.
func (d *detector) observe(route string, answers Count) {
	for _, key := range testKeys(route) {
		sum := d.pending[key]
		sum.add(answers)
		d.pending[key] = sum
	}
}

// update adds the answers observed since the last call to the scores and reports
// whether the release fails, or is slow, clearly more often than the others, whose
// answers are counted in base.
func (d *detector) update(base map[string]Count) bool {
	bad := false
	for route, added := range d.pending {
		failure, slow := scores(added, base[route], slowRateGap, faultPrior)
		d.failureScore[route] = max(0, d.failureScore[route]+failure)
		d.slowScore[route] = max(0, d.slowScore[route]+slow)
		bad = bad || max(d.failureScore[route], d.slowScore[route]) > rollbackScore
	}
	clear(d.pending)
	return bad
}

// scores returns the log likelihood ratios (faulty release to good one) of the failed and of
// the slow ones of a release's answers, given those of the others, to which a number of answers
// is added. gap is by how much the rate of slow answers of the faulty release exceeds that of
// the good one.
func scores(answers, old Count, gap float64, prior int) (failure, slow float64) {
	failure = logLikelihoodRatio(answers.Answers, answers.Failed, goodRate(old.Failed, old.Answers+prior), failureRateGap)
	slow = logLikelihoodRatio(answers.Answers, answers.Slow, max(minGoodSlowRate, goodRate(old.Slow, old.Answers+prior)), gap)
	return failure, slow
}

// goodRate returns the rate of bad answers of a good release, of which one more is assumed
// than was counted: one standard deviation above that rate.
func goodRate(bad, answers int) float64 {
	expected := float64(bad + 1)
	return (expected + math.Sqrt(expected)) / float64(answers)
}

// logLikelihoodRatio returns the logarithm of how much likelier the answers are at
// the rate of a faulty release, goodRate+rateGap, than at goodRate. It is zero if nearly all
// answers of a good release are bad, as a faulty one can't be told from it.
func logLikelihoodRatio(answers, bad int, goodRate, rateGap float64) float64 {
	badRate := min(goodRate+rateGap, maxBadRate)
	if badRate <= goodRate {
		return 0
	}
	return float64(bad)*math.Log(badRate/goodRate) + float64(answers-bad)*math.Log((1-badRate)/(1-goodRate))
}

// counts returns what all daemons are known to have counted of the other releases and of the
// new one, by route. The caller holds mu.
func (s *Stager) counts(ro *rollout) (base, canary map[string]Count) {
	return byRoute(Sum(ro.local, s.remote), ro.pool, ro.release), s.evidence[releaseKey{ro.pool, ro.release}].byRoute()
}

// byRoute sums the tallies of a roll-out by route, and those of all routes by allRoutes.
func byRoute(tallies []Tally, pool, release string) map[string]Count {
	base := make(map[string]Count)
	for _, t := range tallies {
		if t.Pool != pool || t.Release != release || t.Canary {
			continue
		}
		for _, route := range testKeys(t.Route) {
			sum := base[route]
			sum.add(Count{Answers: t.Answers, Failed: t.Failed, Slow: t.Slow})
			base[route] = sum
		}
	}
	return base
}
