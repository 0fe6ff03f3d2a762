package stager

import (
	"math"
	"time"

	"samphireturn/internal/core/logger"
)

const (
	// assessmentInterval is the least time between two assessments of a roll-out.
	assessmentInterval = 100 * time.Millisecond
	// verdictTime is how long it takes until enough answers to requests that are sent now
	// are known at all daemons to prove or to condemn a release.
	verdictTime = 4 * time.Second
	// inconclusiveShare is the part of the bound on requests to a release after which it is
	// rolled back if it is not proven.
	inconclusiveShare = 0.9
	// answeredShare is the share of the requests to a release that must be answered before
	// it is proven: the first answers are those that were not slow.
	answeredShare = 0.7
	// provingRequests is the number of requests that suffices to prove a good release.
	provingRequests = 10
	// lateShare is the elapsed share of a roll-out from which the lesser proof suffices to
	// daemons that see the fleet, as it has to be decided then.
	lateShare = 0.75
	// suspectScore is the log likelihood ratio (faulty release to good one) of the answers on
	// one route from which a release is not proven.
	suspectScore = 5
)

// earlyProof and lateProof are the proofs of a good release until and from lateShare.
var (
	earlyProof = proof{gap: 0.2, score: 4.5}
	lateProof  = proof{gap: 0.3, score: 2}
)

// proof is what the answers of a release must show for it to be proven.
type proof struct {
	// gap is by how much the rate of slow answers of a faulty release exceeds that of a good
	// one, and score the log likelihood ratio (good release to faulty one) that is needed.
	gap, score float64
}

// assessment is what is known of a new release at a time.
type assessment struct {
	at time.Duration
	// changes is Stager.changes at that time.
	changes uint64
	// suspect is true if the answers are likelier to come from a faulty release.
	suspect bool
	// confirmAt is the number of answers from which the release is proven if they still show
	// that it is good: those to all requests sent when they first did. It is zero if they
	// don't.
	confirmAt int
	// affordsAll is true if so few requests are known to come that all of them may go to the
	// release until its deadline, whether or not it is good.
	affordsAll bool
	// scarce is true if so few requests are known to come that those of verdictTime can't prove
	// the release.
	scarce bool
}

// assess updates what is known of a roll-out's release. One that is not proven is rolled back
// if it has had most of the requests that it may get, or is suspect at the end. The caller
// holds mu.
func (s *Stager) assess(ro *rollout) {
	a, now := &ro.assessment, s.Clock()
	if a.at > 0 && a.changes == s.changes && now-a.at < assessmentInterval {
		return
	}
	a.at, a.changes = now, s.changes
	watch := s.watch(ro)
	base, canary := s.counts(ro)
	exposed := float64(canary[sendRoute].Answers)
	total := exposed + watch.sinceOrder(float64(base[sendRoute].Answers), now-ro.started)
	bound := s.CanaryShare*total + s.CanaryExtra
	exhausted := watch.broad() && exposed > inconclusiveShare*bound
	needed := earlyProof
	if exhausted || s.elapsedShare(ro) >= lateShare && watch.broad() {
		needed = lateProof
	}
	a.suspect = suspect(canary, base, proofPrior)
	s.prove(ro, canary, !a.suspect && needed.holds(canary, base))
	counted := exposed + float64(base[sendRoute].Answers)
	ahead := watch.expect(counted, max(ro.duration-(now-ro.started), verdictTime))
	a.affordsAll = watch.broad() && exposed+ahead <= unprovenShare*bound
	a.scarce = watch.broad() && watch.expect(counted, verdictTime) < provingRequests
	inconclusive := exhausted && a.confirmAt == 0 || s.elapsedShare(ro) >= forcedEnd && suspect(canary, base, faultPrior)
	if ro.provenAt == 0 && inconclusive && !ro.faulty && !ended(ro.state) {
		s.Log.Warn().Str("event", logger.EventReleaseUnproven).Str("pool", ro.pool).Str("release", ro.release).Float64("sent", exposed).
			Float64("bound", bound).Float64("passed", s.elapsedShare(ro)).Send()
		s.markFaulty(ro, false)
	}
}

// prove records that a release is proven, if it is not yet and its answers confirm that it is
// good. The caller holds mu.
func (s *Stager) prove(ro *rollout, canary map[string]Count, good bool) {
	if ro.provenAt != 0 || !ro.assessment.confirms(canary, good) {
		return
	}
	ro.provenAt = max(s.elapsedShare(ro), math.SmallestNonzeroFloat64)
	s.Log.Info().Str("event", logger.EventReleaseProven).Str("pool", ro.pool).Str("release", ro.release).Int("answers", canary[""].Answers).
		Int("paced", canary[paceSuffix].Answers).Float64("passed", ro.provenAt).Send()
}

// confirms reports whether the release is proven, given whether its answers show that it is
// good: they must do so until all requests that were sent before are answered, since the
// first answers are those that were not slow.
func (a *assessment) confirms(canary map[string]Count, good bool) bool {
	if !good {
		a.confirmAt = 0
		return false
	}
	if a.confirmAt == 0 {
		a.confirmAt = max(canary[sendRoute].Answers, canary[""].Answers)
	}
	return canary[""].Answers >= a.confirmAt
}

// heldShare returns the session share that a release gets after the first half until it is
// proven: that at which the requests of verdictTime stay within the part of the bound that
// is used for it. It depends on the order alone, so that it is the same at all daemons.
func (s *Stager) heldShare(ro *rollout) float64 {
	length := time.Duration(canaryEnd*float64(ro.duration)) + verdictTime
	return min(unprovenShare*s.CanaryShare*float64(length)/float64(verdictTime), 1)
}

// worstRoute returns the route, by the keys of testKeys, whose answers speak most against a
// release, and their score, given those of the others in base and a prior of scores.
func worstRoute(canary, base map[string]Count, prior int) (route string, score float64) {
	score = math.Inf(-1)
	for r, answers := range canary {
		if r == sendRoute {
			continue
		}
		failure, slow := scores(answers, base[r], slowRateGap, prior)
		if worse := max(failure, slow); worse > score {
			route, score = r, worse
		}
	}
	return route, max(score, -math.MaxFloat64)
}

// suspect reports whether a release's answers on any route are likelier to come from a faulty
// release, given those of the others in base and a prior of scores.
func suspect(canary, base map[string]Count, prior int) bool {
	_, score := worstRoute(canary, base, prior)
	return score > suspectScore
}

// holds reports whether a release's answers show that it neither fails nor is slow more often
// than the others, whose answers are counted in base.
func (p proof) holds(canary, base map[string]Count) bool {
	if float64(canary[""].Answers) < answeredShare*float64(canary[sendRoute].Answers) {
		return false
	}
	if failure, _ := scores(canary[""], base[""], p.gap, proofPrior); failure > -p.score {
		return false
	}
	for _, measure := range []string{timeSuffix, paceSuffix} {
		if _, slow := scores(canary[measure], base[measure], p.gap, proofPrior); base[measure].Answers > 0 && slow > -p.score {
			return false
		}
	}
	return true
}
