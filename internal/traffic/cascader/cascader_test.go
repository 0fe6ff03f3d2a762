package cascader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

var (
	cheap     = Step{Version: samphireturn.VersionRef{Model: "small", Version: "v1"}, InputPrice: 1, OutputPrice: 1}
	expensive = Step{Version: samphireturn.VersionRef{Model: "large", Version: "v1"}, InputPrice: 10, OutputPrice: 10}
	other     = Step{Version: samphireturn.VersionRef{Model: "small", Version: "v2"}, InputPrice: 1, OutputPrice: 1}
	alias     = samphireturn.Alias{MinQuality: 0.7, TargetShare: 0.9}
	request   = samphireturn.Request{Team: "t", Class: "k", PromptTokens: 1000, OutputTokens: 1000}
)

func stepNames(p Plan) string {
	out := ""
	for _, s := range p.Steps {
		out += s.Version.Model + "@" + s.Version.Version + " "
	}
	return out
}

// newCascader returns a cascader and its clock, which the test advances.
func newCascader() (*Cascader, *time.Time) {
	now := time.Unix(1000, 0)
	return &Cascader{Now: func() time.Time { return now }, Rand: func() float64 { return 0.5 }}, &now
}

// recordRatings records n ratings of a step, of which the given number pass.
func recordRatings(c *Cascader, s Step, n, passed int, afterFailure bool, delay time.Duration) {
	for i := range n {
		o := Outcome{Team: "t", Class: "k", Version: s.Version, MinQuality: 0.7, AfterFailure: afterFailure, Rated: true, Rating: 0.2, Delay: delay}
		o.Cost = 2000 * s.InputPrice / tokensPerPrice
		if i < passed {
			o.Rating = 0.9
		}
		c.RecordOutcome(o)
	}
}

// TestPlan checks which steps are planned, given 100 ratings of one step and well-rated
// answers of the expensive one.
func TestPlan(t *testing.T) {
	const both, small, large = "small@v1 large@v1 ", "small@v1 ", "large@v1 "
	tests := []struct {
		name       string
		passed     int // of 100 ratings of the cheap step
		alias      samphireturn.Alias
		class      string
		ratedStep  Step
		cannotRate bool
		explore    float64
		want       string
	}{
		{name: "no outcomes yet", alias: alias, class: "new", ratedStep: cheap, want: both},
		{name: "cheap passes often", passed: 70, alias: alias, class: "k", ratedStep: cheap, want: both},
		{name: "cheap meets the target alone", passed: 99, alias: alias, class: "k", ratedStep: cheap, want: small},
		{name: "cheap seldom passes", passed: 5, alias: alias, class: "k", ratedStep: cheap, want: large},
		{name: "rating takes too long", passed: 70, alias: samphireturn.Alias{MinQuality: 0.7, TargetShare: 0.9, MaxDelayMs: 900}, class: "k", ratedStep: cheap, want: large},
		{name: "rating is quick enough", passed: 70, alias: samphireturn.Alias{MinQuality: 0.7, TargetShare: 0.9, MaxDelayMs: 1000}, class: "k", ratedStep: cheap, want: both},
		{name: "no rating available", passed: 70, alias: alias, class: "k", ratedStep: cheap, cannotRate: true, want: large},
		{name: "no rating available and cheap is good", passed: 99, alias: alias, class: "k", ratedStep: cheap, cannotRate: true, want: small},
		{name: "ratings of another version", passed: 100, alias: alias, class: "k", ratedStep: other, want: both},
		{name: "ratings of another class", passed: 100, alias: alias, class: "z", ratedStep: cheap, want: both},
		{name: "ratings at another minimum quality", passed: 100, alias: samphireturn.Alias{MinQuality: 0.8, TargetShare: 0.9}, class: "k", ratedStep: cheap, want: both},
		{name: "no exploration while fresh", passed: 5, alias: alias, class: "k", ratedStep: cheap, explore: 0.6, want: large},
		{name: "target out of reach", passed: 50, alias: samphireturn.Alias{MinQuality: 0.7, TargetShare: 1}, class: "k", ratedStep: cheap, want: both},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newCascader()
			recordRatings(c, tt.ratedStep, 100, tt.passed, false, time.Second)
			recordRatings(c, expensive, 100, 97, false, 3*time.Second)
			recordRatings(c, expensive, 100, 95, true, 3*time.Second)
			r := request
			r.Class = tt.class
			p := c.Plan(&r, &tt.alias, []Step{cheap, expensive}, !tt.cannotRate, tt.explore)
			qt.Assert(t, stepNames(p), qt.Equals, tt.want)
		})
	}
}

// TestPlanNoWorseThanItsSteps checks that a few failed ratings of the expensive
// step after the cheap one do not make the expensive step alone look better.
func TestPlanNoWorseThanItsSteps(t *testing.T) {
	k, _ := newCascader()
	recordRatings(k, cheap, 100, 30, false, time.Second)
	recordRatings(k, expensive, 100, 97, false, time.Second)
	recordRatings(k, expensive, 6, 3, true, time.Second)
	p := k.Plan(&request, &alias, []Step{cheap, expensive}, true, 0)
	qt.Check(t, stepNames(p), qt.Equals, "small@v1 large@v1 ")
	qt.Check(t, p.ExpectedPassRate >= 0.95, qt.IsTrue, qt.Commentf("%.3f", p.ExpectedPassRate))
}

// TestPlanPinned checks that answers of requests that only one step can run are
// rated until there are enough ratings, and that they have an estimate of their own.
func TestPlanPinned(t *testing.T) {
	c := qt.New(t)
	k, now := newCascader()
	rateAfterRelease := func() bool { return k.PlanPinned(&request, &alias, cheap).RateAfterRelease }
	c.Check(rateAfterRelease(), qt.IsTrue)
	pinned := Outcome{Team: "t", Class: "k", Version: cheap.Version, MinQuality: 0.7, Pinned: true, Rated: true, Rating: 0.9}
	for range enoughRatings {
		k.RecordOutcome(pinned)
	}
	c.Check(rateAfterRelease(), qt.IsFalse)
	c.Check(stepNames(k.Plan(&request, &alias, []Step{cheap, expensive}, true, 0)), qt.Equals, "small@v1 large@v1 ")
	*now = now.Add(defaultHalfLife)
	c.Check(rateAfterRelease(), qt.IsTrue)
	for range maxLateRatings {
		k.RecordRatingInTime(false)
	}
	c.Check(rateAfterRelease(), qt.IsFalse)
}

// TestRateAfterReleaseUntilEnoughRatings checks that answers of the last step are
// rated after release until their estimate rests on enough ratings.
func TestRateAfterReleaseUntilEnoughRatings(t *testing.T) {
	c := qt.New(t)
	k, _ := newCascader()
	recordRatings(k, cheap, 100, 50, false, time.Second)
	plan := func() Plan { return k.Plan(&request, &alias, []Step{cheap, expensive}, true, 0) }
	c.Check(plan().RateAfterRelease, qt.IsTrue)
	recordRatings(k, expensive, enoughRatings, enoughRatings, false, time.Second)
	c.Check(plan().RateAfterRelease, qt.IsTrue)
	recordRatings(k, expensive, enoughRatings, enoughRatings, true, time.Second)
	c.Check(plan().RateAfterRelease, qt.IsFalse)
}

// TestExploreStale checks that a step with a stale estimate is tried for the given share
// of requests only, and never if ratings are not available or take too long.
func TestExploreStale(t *testing.T) {
	c := qt.New(t)
	k, now := newCascader()
	recordRatings(k, cheap, 100, 0, false, time.Second)
	recordRatings(k, expensive, 100, 99, false, time.Second)
	*now = now.Add(defaultStaleAfter)
	draws := rand.New(rand.NewPCG(1, 1))
	k.Rand = draws.Float64
	tried := 0
	for range 10000 {
		if p := k.Plan(&request, &alias, []Step{cheap, expensive}, true, 0.05); len(p.Steps) == 2 {
			tried++
		}
	}
	c.Assert(tried > 400 && tried < 600, qt.IsTrue, qt.Commentf("%d", tried))
	c.Assert(stepNames(k.Plan(&request, &alias, []Step{cheap, expensive}, false, 1)), qt.Equals, "large@v1 ")
	slow := alias
	slow.MaxDelayMs = 900
	c.Assert(stepNames(k.Plan(&request, &slow, []Step{cheap, expensive}, true, 1)), qt.Equals, "large@v1 ")
}

// TestBoundedMemory guards against estimates that grow with the number of classes, which
// callers choose: the least recently used are evicted.
func TestBoundedMemory(t *testing.T) {
	c := qt.New(t)
	k, _ := newCascader()
	k.MaxEstimates = 10
	for i := range 100 {
		k.RecordOutcome(Outcome{Team: "t", Class: fmt.Sprint(i), Version: cheap.Version})
	}
	c.Assert(len(k.estimates), qt.Equals, 10)
	c.Assert(k.lru.Len(), qt.Equals, 10)
	c.Assert(k.estimates[key{team: "t", class: "99", version: cheap.Version}], qt.IsNotNil)
}

// TestCostAtTarget runs classes of different difficulty with delayed ratings and
// compares the cost with that of always running the expensive step and of the best
// fixed plan for each class.
func TestCostAtTarget(t *testing.T) {
	c := qt.New(t)
	k, now := newCascader()
	r := rand.New(rand.NewPCG(4, 2))
	k.Rand = r.Float64
	pass := map[string][2]float64{"easy": {0.97, 0.99}, "mixed": {0.6, 0.97}, "hard": {0.03, 0.95}}
	classes := []string{"easy", "mixed", "hard"}
	var cost, alwaysExpensive, best float64
	good, n := 0, 30000
	var pending []Outcome
	for range n {
		*now = now.Add(100 * time.Millisecond)
		class := classes[r.IntN(3)]
		oks := map[Step]bool{cheap: r.Float64() < pass[class][0], expensive: r.Float64() < pass[class][1]}
		req := request
		req.Class = class
		plan := k.Plan(&req, &alias, []Step{cheap, expensive}, true, 0.05)
		ok := false
		for j, s := range plan.Steps {
			o := Outcome{Team: "t", Class: class, Version: s.Version, MinQuality: 0.7, AfterFailure: j > 0, Cost: 2000 * s.InputPrice / tokensPerPrice, Delay: time.Second}
			cost += o.Cost
			ok = oks[s]
			if o.Rated = j < len(plan.Steps)-1 || plan.RateAfterRelease; ok {
				o.Rating = 1
			}
			pending = append(pending, o)
			if ok {
				break
			}
		}
		for len(pending) > 200 {
			k.RecordOutcome(pending[0])
			pending = pending[1:]
		}
		if ok {
			good++
		}
		alwaysExpensive += 0.02
		best += map[string]float64{"easy": 0.002, "mixed": 0.002 + 0.4*0.02, "hard": 0.02}[class]
	}
	t.Logf("pass rate %.4f, cost %.1f, always expensive %.1f, best fixed plan for each class %.1f", float64(good)/float64(n), cost, alwaysExpensive, best)
	c.Assert(float64(good)/float64(n) >= alias.TargetShare, qt.IsTrue)
	c.Assert(cost <= 1.15*best, qt.IsTrue)
}

// TestAcceptBelowQuality checks that an answer rated below MinQuality is released
// only while the team's answers of the class are above the target.
func TestAcceptBelowQuality(t *testing.T) {
	plan := Plan{Steps: []Step{cheap, expensive}}
	tests := []struct {
		name   string
		rating float64
		good   int // answers rated at least MinQuality
		missed int
		class  string
		at     int
		want   bool
	}{
		{name: "above the target", rating: 0.6, good: 50, class: "k", want: true},
		{name: "below the target", rating: 0.6, good: 50, missed: 10, class: "k"},
		{name: "surplus of another class", rating: 0.6, good: 50, class: "z"},
		{name: "rating far below the minimum", rating: 0.3, good: 50, class: "k"},
		{name: "last step", rating: 0.6, good: 50, class: "k", at: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, _ := newCascader()
			r := request
			r.Class = tt.class
			record := func(n int, rating float64) {
				for range n {
					k.RecordOutcome(Outcome{Team: "t", Class: "k", Version: cheap.Version, MinQuality: 0.7, Alias: &alias, Rated: true, Returned: true, Rating: rating})
				}
			}
			record(tt.good, 0.9)
			for range 20 { // lowers the price if there is a surplus
				k.AcceptBelowQuality(&r, &alias, plan, tt.at, tt.rating)
			}
			record(tt.missed, 0.1)
			accepted := k.AcceptBelowQuality(&r, &alias, plan, tt.at, tt.rating)
			qt.Assert(t, accepted, qt.Equals, tt.want)
		})
	}
}

// TestUnratedAnswersAddNoSurplus checks that answers of the cheap step without a
// rating do not count as good ones.
func TestUnratedAnswersAddNoSurplus(t *testing.T) {
	k, _ := newCascader()
	draft := samphireturn.Alias{Name: "draft", Steps: []string{"small", "large"}, MinQuality: 0.7, TargetShare: 0.8}
	for range 50 {
		k.RecordOutcome(Outcome{Team: "t", Class: "k", Version: cheap.Version, MinQuality: 0.7, Alias: &draft, Returned: true})
	}
	accepted := 0
	for range 50 {
		if k.AcceptBelowQuality(&request, &draft, Plan{Steps: []Step{cheap, expensive}}, 0, 0.6) {
			accepted++
		}
	}
	qt.Assert(t, accepted, qt.Equals, 0)
}

// TestFaultRatings checks that one late rating does not suspend rating before
// release, that several in a row do, and that it resumes after the pause.
func TestFaultRatings(t *testing.T) {
	tests := []struct {
		name   string
		inTime []bool
		after  time.Duration
		want   bool
	}{
		{"none requested", nil, 0, true},
		{"one late", []bool{false}, 0, true},
		{"late now and then", []bool{false, false, true, false, false}, 0, true},
		{"three in a row", []bool{true, false, false, false}, 0, false},
		{"after the pause", []bool{false, false, false}, ratingPause + 1, true},
		{"during the pause", []bool{false, false, false, false}, ratingPause, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, now := newCascader()
			for _, ok := range tt.inTime {
				k.RecordRatingInTime(ok)
			}
			*now = now.Add(tt.after)
			qt.Assert(t, k.RatingAvailable(), qt.Equals, tt.want)
		})
	}
}

// TestMaxDelayByRequestLength checks that MaxDelayMs is compared with the delay
// expected for the request's own output tokens, not with the mean delay.
func TestMaxDelayByRequestLength(t *testing.T) {
	k, _ := newCascader()
	for i := range 200 {
		for _, step := range []Step{cheap, expensive} {
			cost := step.Quote(&request)
			o := Outcome{Team: "t", Class: "k", Version: step.Version, MinQuality: 0.7, Rated: true, Rating: 0.9, EstimatedOutput: 1000, Delay: time.Second, Cost: cost, QuotedCost: cost}
			if step == cheap && i%2 == 0 {
				o.Rating = 0.2
			}
			k.RecordOutcome(o)
		}
	}
	bounded := alias
	bounded.MaxDelayMs = 1000
	for _, tt := range []struct {
		output int
		want   string
	}{{900, "small@v1 large@v1 "}, {1100, "large@v1 "}} {
		r := request
		r.OutputTokens = tt.output
		qt.Check(t, stepNames(k.Plan(&r, &bounded, []Step{cheap, expensive}, true, 0)), qt.Equals, tt.want)
	}
}

// TestDowngrade checks that the cheap step runs in place of the expensive one
// without a rating before release only while there is a surplus.
func TestDowngrade(t *testing.T) {
	for _, tt := range []struct {
		name   string
		missed int
		want   bool
	}{{"above the target", 0, true}, {"below the target", 20, false}} {
		t.Run(tt.name, func(t *testing.T) {
			k, _ := newCascader()
			recordRatings(k, cheap, 100, 50, false, time.Second)
			recordRatings(k, expensive, 100, 97, false, time.Second)
			final := Outcome{Team: "t", Class: "k", Version: expensive.Version, MinQuality: 0.7, Alias: &alias, Rated: true, Returned: true, Rating: 0.9}
			for range 50 {
				k.RecordOutcome(final)
			}
			for range 20 { // lowers the price
				k.Plan(&request, &alias, []Step{cheap, expensive}, false, 0)
			}
			final.Rating = 0.1
			for range tt.missed {
				k.RecordOutcome(final)
			}
			recordRatings(k, expensive, 1000, 990, false, time.Second)
			got := stepNames(k.Plan(&request, &alias, []Step{cheap, expensive}, false, 0))
			qt.Assert(t, got == "small@v1 ", qt.Equals, tt.want, qt.Commentf("%s", got))
		})
	}
}
